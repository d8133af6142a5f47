"""The idle time after which nodes close connections, as it is learnt from the outcomes of attempts."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.connections.idle_limits import (
    BUCKET_EDGES_MS,
    LIMIT_MARGIN,
    IdleAgeHistogram,
    IdleEvidence,
    bucket_index,
)


@pytest.mark.parametrize("limit_ms", [100, 460, 2200, 20_500])
@pytest.mark.parametrize("reset_share", [0.0, 0.08])
def test_the_limit_is_found_among_resets_at_all_ages(limit_ms, reset_share):
    rng, histogram, now = Random(limit_ms), IdleAgeHistogram(0.0), 0.0
    for _ in range(1200):
        now += 10.0
        age_ms = rng.choice(BUCKET_EDGES_MS[: bucket_index(limit_ms) + 4]) + 1.0
        stale = rng.random() < (0.5 if age_ms >= limit_ms else reset_share)
        histogram.learn(age_ms, IdleEvidence.RESET if stale else IdleEvidence.ANSWERED, now)
    assert limit_ms * 0.5 <= histogram.limit_ms <= limit_ms * 1.6


def test_resets_that_are_as_frequent_at_all_ages_set_no_limit():
    rng, histogram = Random(4), IdleAgeHistogram(0.0)
    for step in range(2000):
        age_ms = rng.choice(BUCKET_EDGES_MS[:24]) + 1.0
        histogram.learn(
            age_ms, IdleEvidence.RESET if rng.random() < 0.08 else IdleEvidence.ANSWERED, 10.0 * step
        )
    assert histogram.limit_ms == float("inf")


def test_evidence_decays_and_more_slowly_once_the_same_limit_is_found_again():
    def learn_limit(now):
        for _ in range(8):
            histogram.learn(20.0, IdleEvidence.ANSWERED, now)
            histogram.learn(700.0, IdleEvidence.RESET, now)

    def time_until_forgotten(now):
        start_ms = now
        while histogram.limit_ms < float("inf"):
            now += 1000.0
            histogram.decay(now)
        return now - start_ms

    histogram = IdleAgeHistogram(0.0)
    learn_limit(0.0)
    assert histogram.limit_ms == 580.0
    first_ms = time_until_forgotten(0.0)
    learn_limit(first_ms)
    assert time_until_forgotten(first_ms) > 1.5 * first_ms


@given(st.floats(0.0, 200_000.0))
def test_an_age_falls_into_the_bucket_whose_edges_enclose_it(age_ms):
    index = bucket_index(age_ms)
    assert BUCKET_EDGES_MS[index] <= age_ms
    assert index == len(BUCKET_EDGES_MS) - 1 or age_ms < BUCKET_EDGES_MS[index + 1]
    assert 0.0 < LIMIT_MARGIN < 1.0
