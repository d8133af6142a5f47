"""What came of one run of the soak, and how it is told."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from lab.soak.oracle import SoakBreach

SHOWN_BREACHES = 5  # of one run, in the text for people


class Verdict(Enum):
    """How a run ended; one that was not run, or could not be judged, has not passed."""

    PASSED = "passed"
    BROKEN = "broken"
    NOT_RUN = "not run"


@dataclass(frozen=True)
class SoakResult:
    """One run: its seed, verdict and breaches; `why` it was not run; times in s."""

    seed: int
    verdict: Verdict
    why: str = ""
    took_s: float = 0.0
    late_s: float = 0.0  # the longest time that this process waited for its turn
    counts: dict[str, int] = field(default_factory=dict)
    breaches: list[SoakBreach] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return it as values that JSON knows."""
        return asdict(self) | {"verdict": self.verdict.value}

    def as_text(self, command: str) -> str:
        """Return it for people; `command` plays it again."""
        counts = ", ".join(f"{name} {number}" for name, number in sorted(self.counts.items()))
        head = f"seed {self.seed}: {self.verdict.value} in {self.took_s:.1f} s"
        late = f"; late by {1000.0 * self.late_s:.0f} ms at most" if self.late_s else ""
        lines = [f"{head}{late}{': ' + self.why if self.why else ''}{'; ' + counts if counts else ''}"]
        for breach in self.breaches[:SHOWN_BREACHES]:
            lines.append(f"  {breach.at_s:.3f} {breach.rule} at {breach.where}: {breach.why}")
            if breach.story:
                lines.append(f"    {breach.story}")
        if len(self.breaches) > SHOWN_BREACHES:
            lines.append(f"  and {len(self.breaches) - SHOWN_BREACHES} more")
        if self.breaches:
            lines.append(f"  again: {command}")
        return "\n".join(lines)
