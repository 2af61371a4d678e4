"""Intervals and verdicts on synthetic differences with known distributions."""

from __future__ import annotations

from math import sqrt

import numpy as np
import pytest

from headspar.model.statistics import (
    Conclusion,
    alpha_spent,
    bootstrapped,
    bounds,
    holm,
    judge,
    p_value,
    paired,
    spread,
)

LOOKS = (8, 12, 16, 20, 24)


def rng(seed: int = 1) -> np.random.Generator:
    return np.random.Generator(np.random.Philox(seed))


def significant_share(rows: np.ndarray) -> float:
    """Returns the share of comparisons that find a significant difference at some look."""
    errors = bounds(0.05, LOOKS)
    return sum(
        any(paired(d[:n], 1 - e).excludes(0.0) for n, e in zip(LOOKS, errors, strict=True)) for d in rows
    ) / len(rows)


def test_like_versions_are_called_different_no_more_often_than_planned() -> None:
    assert 0.02 <= significant_share(rng().normal(0, 0.02, (300, 24))) <= 0.09
    # A figure that collapses on one seed in ten, with independent seeds: the differences are symmetric.
    collapses = rng(2).random((2, 300, 24)) < 0.1
    a, b = (np.where(x, 0.3, 0.9) for x in collapses)
    assert significant_share(a - b + rng(3).normal(0, 0.01, (300, 24))) <= 0.09


def test_looking_often_without_a_plan_finds_what_is_not_there() -> None:
    """Without the bounds, the same looks at 5 % each have an inflated error rate."""
    rows = rng().normal(0, 0.02, (300, 24))
    naive = sum(any(paired(d[:n]).excludes(0.0) for n in LOOKS) for d in rows) / len(rows)
    assert naive > 0.1


def test_a_planted_change_of_two_points_is_found() -> None:
    assert significant_share(rng().normal(0.02, 0.03, (300, 24))) >= 0.8


def test_bounds_spend_the_whole_error_and_little_of_it_early() -> None:
    errors = bounds(0.05, LOOKS)
    assert errors == sorted(errors) and errors[0] < 0.001 and 0.035 < errors[-1] < 0.05
    assert bounds(0.05, (24,)) == pytest.approx([0.05], abs=1e-6)
    assert alpha_spent(0.05, 0.0) == 0.0 and alpha_spent(0.05, 1.0) == pytest.approx(0.05)
    # The recursion agrees with simulated random walks.
    steps = rng(4).normal(0, 1, (40_000, 24)).cumsum(axis=1)
    z = {n: abs(steps[:, n - 1]) / sqrt(n) for n in LOOKS}
    from scipy.special import ndtri  # type: ignore[import-untyped]
    crossed = np.zeros(len(steps), dtype=bool)
    for n, e in zip(LOOKS, errors, strict=True):
        crossed |= z[n] > -ndtri(e / 2)
        assert crossed.mean() == pytest.approx(alpha_spent(0.05, n / 24), abs=0.004)
    for looks in ((), (1, 2), (3, 3)):
        with pytest.raises(ValueError, match="looks"):
            bounds(0.05, looks)


@pytest.mark.parametrize("n", [6, 24])
def test_intervals_hold_the_truth_as_often_as_they_say(n: int) -> None:
    rows = rng().normal(0.3, 1, (800, n))
    assert sum(not paired(d).excludes(0.3) for d in rows) / 800 == pytest.approx(0.95, abs=0.025)
    assert sum(not bootstrapped(d).excludes(0.3) for d in rows[:300]) / 300 > 0.9


def test_the_bootstrap_leans_to_the_side_of_the_skew() -> None:
    d = rng().exponential(1.0, 30)
    skewed, straight = bootstrapped(d), paired(d)
    assert skewed.method == "bca" and straight.method == "t"
    assert skewed.high - skewed.mean > skewed.mean - skewed.low
    assert bootstrapped(d[:10]) == paired(d[:10])


def test_differences_that_are_all_alike_are_exact() -> None:
    assert paired([0.0] * 5).method == "exact" and not paired([0.0] * 5).excludes(0.0)
    assert paired([0.1] * 5).excludes(0.0) and p_value([0.1] * 5) == 0.0 and p_value([0.0] * 5) == 1.0
    for wrong in ([], [1.0]):
        with pytest.raises(ValueError, match="at least two"):
            paired(wrong)
    with pytest.raises(ValueError, match="level"):
        paired([1.0, 2.0], 1.0)


def test_many_figures_at_once_err_no_more_than_one_would() -> None:
    draws = rng().normal(0, 1, (200, 12, 12))
    wrong = sum(any(x[1] for x in holm({str(i): d for i, d in enumerate(row)}, 0.05).values()) for row in draws)
    assert wrong / 200 <= 0.09
    plain = sum(any(paired(d).excludes(0.0) for d in row) for row in draws)
    assert plain / 200 > 0.3
    row = {str(i): draws[0][i] for i in range(11)} | {"planted": draws[0][11] + 3.0}
    assert [name for name, (_, differs) in holm(row, 0.05).items() if differs] == ["planted"]


def test_words_and_spreads() -> None:
    near = paired([0.001, -0.001, 0.0005, -0.0005])
    assert judge(near, False, 0.01) is Conclusion.ALIKE and judge(near, False, 0.001) is Conclusion.UNKNOWN
    assert judge(paired([0.1, 0.11]), True, 0.01) is Conclusion.BETTER
    assert judge(paired([-0.1, -0.11]), True, 0.01) is Conclusion.WORSE
    s = spread([0.9, 0.92, 0.3, 0.91], [0.9, 0.92, 0.3, 0.91] * 2)
    assert s.tipped == 0.25 and s.lowest == 0.3 and s.mean < s.median
