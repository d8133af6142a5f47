"""Samples of the CPU time and the memory of a run's processes, from the first change to the last."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lab.scale import machine
from lab.scale.measure import ProcessCost
from lab.scale.process_group import ChildProcess

SAMPLE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class IdentifiedSample:
    """A sample and the id of its process: a process that is started again keeps its name alone."""

    pid: int
    sample: machine.ProcessSample


class CostSampler:
    """Samples the processes of a run, which may end and start again meanwhile."""

    def __init__(self, children: Mapping[str, ChildProcess], proxies_in: Callable[[str], int]) -> None:
        """`children` are the present processes by name; `proxies_in` returns a process's hollow proxies."""
        self._children = children
        self._proxies_in = proxies_in
        self._first: dict[str, IdentifiedSample] = {}
        self._max_rss_mb: dict[str, float] = {}

    def begin(self) -> None:
        """Takes the samples from which CPU time is counted."""
        self._first = self._sample_all()

    async def sample_memory(self) -> None:
        """Samples memory periodically, until the task is cancelled."""
        while True:
            for name, identified in self._sample_all().items():
                self._max_rss_mb[name] = max(identified.sample.rss_mb, self._max_rss_mb.get(name, 0.0))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def costs(self) -> list[ProcessCost]:
        """Returns the costs up to now of the processes that are the same as at the begin."""
        costs = []
        for name, last in self._sample_all().items():
            first = self._first.get(name)
            if first is None or first.pid != last.pid:
                continue
            cpu_s = last.sample.cpu_s - first.sample.cpu_s
            rss_mb = max(last.sample.rss_mb, self._max_rss_mb.get(name, 0.0))
            costs.append(ProcessCost(name, cpu_s, rss_mb, self._proxies_in(name)))
        return costs

    def _sample_all(self) -> dict[str, IdentifiedSample]:
        samples = {}
        for name, child in self._children.items():
            if not child.ended and (sample := machine.sample_process(child.pid)) is not None:
                samples[name] = IdentifiedSample(child.pid, sample)
        return samples
