"""The backoff between polls of discovery: a change is known in time after any sequence of failures."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.settings import read_settings
from cloverwell.membership.poll_backoff import (
    APPLY_MARGIN_MS,
    INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
    MAX_CHANGE_DELAY_MS,
    MAX_PUSHED_BACKOFF_MS,
    MAX_SLOW_FAILURE_BACKOFF_MS,
    MIN_PUSHED_BACKOFF_MS,
    MIN_SLOW_FAILURE_BACKOFF_MS,
    RETRY_TIMEOUT_MS,
    PollBackoff,
)
from lab.proxy_testbed import SETTINGS


def backoff_of(seed, proxy_count=1, **changes):
    return PollBackoff(read_settings(SETTINGS | {"peers-total": proxy_count} | changes), seed)


def test_a_backoff_and_a_poll_fit_into_the_time_within_which_a_change_must_be_known():
    assert MAX_BACKOFF_MS + RETRY_TIMEOUT_MS + APPLY_MARGIN_MS == MAX_CHANGE_DELAY_MS == 6000.0


def test_a_poll_that_times_out_leaves_time_for_another():
    assert RETRY_TIMEOUT_MS + MAX_SLOW_FAILURE_BACKOFF_MS + APPLY_MARGIN_MS < MAX_CHANGE_DELAY_MS


@given(st.integers(0, 2**64), st.integers(1, 1024), st.lists(st.floats(0.0, 20_000.0), max_size=40))
def test_the_next_poll_begins_in_time_whichever_polls_failed_before(seed, proxy_count, failures):
    backoff = backoff_of(seed, proxy_count)
    for elapsed_ms in failures:
        backoff_ms = backoff.record_failure(elapsed_ms)
        assert backoff_ms >= MIN_SLOW_FAILURE_BACKOFF_MS
        assert elapsed_ms + backoff_ms <= max(MAX_BACKOFF_MS, elapsed_ms + MAX_SLOW_FAILURE_BACKOFF_MS)
        assert backoff.is_failing
    backoff.reset()
    assert not backoff.is_failing


def test_the_backoff_grows_from_a_short_one_and_is_reset_by_an_answer():
    backoff = backoff_of(1)
    backoffs_ms = [backoff.record_failure(0.0) for _ in range(8)]
    assert backoffs_ms[0] <= INITIAL_BACKOFF_MS == 600.0
    assert INITIAL_BACKOFF_MS < backoffs_ms[1] < backoffs_ms[2]
    assert min(backoffs_ms[2:]) >= 0.5 * MAX_BACKOFF_MS
    backoff.reset()
    assert backoff.record_failure(0.0) <= INITIAL_BACKOFF_MS


@pytest.mark.parametrize("proxy_count", [200, 480, 1024])
def test_many_proxies_that_lose_their_watch_at_once_spread_even_their_first_polls(proxy_count):
    backoffs_ms = sorted(backoff_of(seed, proxy_count).record_failure(0.0) for seed in range(proxy_count))
    polls_per_tenth = [
        sum(start <= backoff_ms < start + 100.0 for backoff_ms in backoffs_ms)
        for start in range(0, int(MAX_BACKOFF_MS), 100)
    ]
    assert max(polls_per_tenth) < 0.25 * proxy_count, polls_per_tenth


@pytest.mark.parametrize(
    ("drain_grace_ms", "expected_ms"),
    [(10.0, MIN_PUSHED_BACKOFF_MS), (100.0, 50.0), (1000.0, MAX_PUSHED_BACKOFF_MS)],
)
def test_in_the_pushed_mode_the_backoff_is_shorter_than_the_drain_time_after_any_failures(
    drain_grace_ms, expected_ms
):
    guarantees = SETTINGS["guarantees"] | {"drain-grace": drain_grace_ms}
    backoff = backoff_of(1, 200, **{"membership-mode": "pushed", "guarantees": guarantees})
    assert {backoff.record_failure(elapsed_ms) for elapsed_ms in (0.0, 50.0, 5000.0) * 9} == {expected_ms}
