"""The pauses after calls to discovery that failed: each sequence of failures fits into the page's time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.settings import read_settings
from cloverwell.membership.list_retry import (
    ANSWER_MS,
    BEHIND_MS,
    LONGEST_MS,
    MARGIN_MS,
    PUSHED_MS,
    TOLD_MS,
    ListRetry,
)
from lab.proxy_testbed import SETTINGS


def retry_of(seed, proxies=1, **changes):
    return ListRetry(read_settings(SETTINGS | {"peers-total": proxies} | changes), seed)


def test_a_pause_and_a_call_and_the_margin_are_the_time_after_which_a_change_counts_as_told():
    assert LONGEST_MS + ANSWER_MS + MARGIN_MS == TOLD_MS == 6000.0
    assert ANSWER_MS + BEHIND_MS[1] + MARGIN_MS < TOLD_MS  # one that hangs leaves time for another


@given(st.integers(0, 2**64), st.integers(1, 1024), st.lists(st.floats(0.0, 20_000.0), max_size=40))
def test_the_next_call_begins_in_time_whatever_failed_before(seed, proxies, failures):
    retry = retry_of(seed, proxies)
    for took_ms in failures:
        pause_ms = retry.failed(took_ms)
        assert BEHIND_MS[0] <= pause_ms
        assert took_ms + pause_ms <= max(LONGEST_MS, took_ms + BEHIND_MS[1])
        assert retry.failing
    retry.answered()
    assert not retry.failing


def test_pauses_grow_from_a_short_one_and_begin_anew_after_an_answer():
    retry = retry_of(1)
    grown = [retry.failed(0.0) for _ in range(8)]
    assert grown[0] <= 600.0 < grown[1] < grown[2]
    assert min(grown[2:]) >= 0.5 * LONGEST_MS
    retry.answered()
    assert retry.failed(0.0) <= 600.0


@pytest.mark.parametrize("proxies", [200, 480, 1024])
def test_many_that_lose_their_watch_at_once_spread_their_calls_from_the_first_on(proxies):
    pauses = sorted(retry_of(seed, proxies).failed(0.0) for seed in range(proxies))
    tenths = [sum(at <= pause < at + 100.0 for pause in pauses) for at in range(0, int(LONGEST_MS), 100)]
    assert max(tenths) < 0.25 * proxies, tenths


def test_where_lists_are_pushed_it_pauses_within_the_drain_time_however_slow_or_frequent_failures_are():
    for grace_ms, pause_ms in ((10.0, PUSHED_MS[0]), (100.0, 50.0), (1000.0, PUSHED_MS[1])):
        rules = SETTINGS["guarantees"] | {"drain-grace": grace_ms}
        retry = retry_of(1, 200, **{"membership-mode": "pushed", "guarantees": rules})
        assert {retry.failed(took_ms) for took_ms in (0.0, 50.0, 5000.0) * 9} == {pause_ms}
