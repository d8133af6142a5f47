"""The idle time after which nodes close connections, learnt from how attempts end."""

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
@pytest.mark.parametrize("resets", [0.0, 0.08])
def test_the_limit_is_found_among_resets_that_befall_all_ages(limit_ms, resets):
    rng, ages, now = Random(limit_ms), IdleAgeHistogram(0.0), 0.0
    for _ in range(1200):
        now += 10.0
        age = rng.choice(BUCKET_EDGES_MS[: bucket_index(limit_ms) + 4]) + 1.0
        stale = rng.random() < (0.5 if age >= limit_ms else resets)
        ages.learn(age, IdleEvidence.RESET if stale else IdleEvidence.ANSWERED, now)
    assert limit_ms * 0.5 <= ages.limit_ms <= limit_ms * 1.6


def test_resets_at_all_ages_alike_set_no_limit():
    rng, ages = Random(4), IdleAgeHistogram(0.0)
    for step in range(2000):
        age = rng.choice(BUCKET_EDGES_MS[:24]) + 1.0
        ages.learn(age, IdleEvidence.RESET if rng.random() < 0.08 else IdleEvidence.ANSWERED, 10.0 * step)
    assert ages.limit_ms == float("inf")


def test_evidence_is_forgotten_and_the_same_limit_found_again_is_kept_longer():
    def found(now):
        for _ in range(8):
            ages.learn(20.0, IdleEvidence.ANSWERED, now)
            ages.learn(700.0, IdleEvidence.RESET, now)

    def forgotten_after(now):
        start = now
        while ages.limit_ms < float("inf"):
            now += 1000.0
            ages.decay(now)
        return now - start

    ages = IdleAgeHistogram(0.0)
    found(0.0)
    assert ages.limit_ms == 580.0
    first = forgotten_after(0.0)
    found(first)
    assert forgotten_after(first) > 1.5 * first


@given(st.floats(0.0, 200_000.0))
def test_an_age_stands_in_the_step_that_holds_it(age):
    place = bucket_index(age)
    assert BUCKET_EDGES_MS[place] <= age
    assert place == len(BUCKET_EDGES_MS) - 1 or age < BUCKET_EDGES_MS[place + 1]
    assert 0.0 < LIMIT_MARGIN < 1.0
