"""Confidence intervals of paired differences, multiple testing and group-sequential stopping bounds; without I/O.

A *figure* is one number of a run; its *differences* are B minus A, by seed.  A *look* is an interim analysis.

Sources: Efron and Tibshirani, An Introduction to the Bootstrap, ch. 14 (BCa); Holm 1979; Lan and DeMets 1983 with the
spending function of O'Brien and Fleming; Armitage, McPherson and Rowe 1969 for the recursion behind the bounds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from math import sqrt

import msgspec
import numpy as np
from scipy import special, stats  # type: ignore[import-untyped]

Row = Sequence[float] | np.ndarray  # one figure, one value per seed
BCA_MIN_SEEDS = 20  # with fewer the tails of the bootstrap are too short
RESAMPLES = 4000
GRID_INTERVALS = 400  # intervals of the numerical integration in the recursion


class Interval(msgspec.Struct, frozen=True):
    """The mean of paired differences and its confidence interval.

    ``method`` is t, bca, or exact if all differences are equal."""

    mean: float
    low: float
    high: float
    level: float
    seeds: int
    method: str

    def excludes(self, value: float) -> bool:
        return value < self.low or value > self.high


def paired(differences: Row, level: float = 0.95) -> Interval:
    """Returns Student's interval of the mean difference, on which all verdicts are based.

    The differences of two equal versions are symmetric even if the figure itself is skewed, so Student's test keeps
    its nominal error rate, also at the small levels of early looks.  A bootstrap of a dozen seeds errs two to four
    times as often there (see ``benchmarks.model``).  Raises ``ValueError`` for fewer than two differences or a level
    outside (0, 1)."""
    d = _checked(differences, level)
    mean = float(d.mean())
    if float(np.ptp(d)) == 0.0:
        # The variance is 0 if the difference is the same on every seed.
        return Interval(mean, mean, mean, level, len(d), "exact")
    half = float(stats.t.ppf((1 + level) / 2, len(d) - 1) * d.std(ddof=1) / sqrt(len(d)))
    return Interval(mean, mean - half, mean + half, level, len(d), "t")


def bootstrapped(differences: Row, level: float = 0.95) -> Interval:
    """Returns the BCa interval, which is displayed and not used for verdicts.

    If the true differences are skewed, as when service collapses on some seeds, it extends to the side that Student's
    interval misses.  With fewer than ``BCA_MIN_SEEDS`` seeds or equal differences it is Student's interval."""
    d = _checked(differences, level)
    if len(d) < BCA_MIN_SEEDS or float(np.ptp(d)) == 0.0:
        return paired(differences, level)
    low, high = _bca(d, level)
    return Interval(float(d.mean()), low, high, level, len(d), "bca")


def _checked(differences: Row, level: float) -> np.ndarray:
    d = np.asarray(differences, dtype=float)
    if len(d) < 2:
        raise ValueError("differences: at least two are needed")
    if not 0.0 < level < 1.0:
        raise ValueError(f"level: must be between 0 and 1, got {level!r}")
    return d


def _bca(d: np.ndarray, level: float) -> tuple[float, float]:
    """Returns the bounds of the bias-corrected and accelerated bootstrap interval."""
    n = len(d)
    rng = np.random.Generator(np.random.Philox(20_240_901))
    mean = d.mean()
    means = d[rng.integers(0, n, (RESAMPLES, n))].mean(axis=1)
    share = (np.sum(means < mean) + 0.5 * np.sum(means == mean)) / RESAMPLES
    z0 = special.ndtri(min(1 - 1 / RESAMPLES, max(1 / RESAMPLES, share)))
    influence = (d - mean) / (n - 1)
    denominator = 6.0 * float(np.sum(influence**2)) ** 1.5
    a = float(np.sum(influence**3)) / denominator
    out = []
    for tail in ((1 - level) / 2, (1 + level) / 2):
        z = z0 + float(special.ndtri(tail))
        out.append(float(np.quantile(means, float(special.ndtr(z0 + z / max(0.1, 1 - a * z))))))
    return out[0], out[1]


def p_value(differences: Row) -> float:
    """Returns the p-value of Student's two-sided paired test; 1 if all differences are 0."""
    d = np.asarray(differences, dtype=float)
    if len(d) < 2 or float(np.ptp(d)) == 0.0:
        return 1.0 if len(d) < 2 or d[0] == 0 else 0.0
    t = d.mean() / (d.std(ddof=1) / sqrt(len(d)))
    return float(2 * stats.t.sf(abs(t), len(d) - 1))


def holm(figures: Mapping[str, Row], alpha: float) -> dict[str, tuple[Interval, bool]]:
    """Returns each figure's interval at the level of Holm's step-down procedure, and whether it differs from 0.

    Figures are tested in the order of their p-values, the k-th of m (from 0) at alpha / (m - k); after the first one
    that is not significant, no other counts as significant.  The family-wise error rate is at most ``alpha``."""
    order = sorted(figures, key=lambda name: (p_value(figures[name]), name))
    out: dict[str, tuple[Interval, bool]] = {}
    rejecting = True
    for k, name in enumerate(order):
        interval = paired(figures[name], 1 - alpha / (len(order) - k))
        rejecting = rejecting and interval.excludes(0.0)
        out[name] = interval, rejecting
    return out


def alpha_spent(alpha: float, share: float) -> float:
    """Returns the cumulative part of ``alpha`` spent at the information fraction ``share`` (O'Brien and Fleming)."""
    if share <= 0:
        return 0.0
    z = float(special.ndtri(1 - alpha / 2))
    return float(2 - 2 * special.ndtr(z / sqrt(min(1.0, share))))


class _RandomWalk:
    """The density of a random walk that has not crossed a bound at any look so far, on a grid."""

    def __init__(self) -> None:
        self.positions = np.empty(0)
        self.density = np.empty(0)
        self.time = 0.0

    def crossing(self, z: float, t: float) -> float:
        """Returns the probability that the walk lies beyond ``z`` standard deviations, on either side, at ``t``."""
        if not len(self.positions):
            return float(2 * special.ndtr(-z))
        edge, spread = z * sqrt(t), sqrt(t - self.time)
        out = special.ndtr((-edge - self.positions) / spread) + special.ndtr((self.positions - edge) / spread)
        return float(np.sum(out * self.density))

    def advance(self, z: float, t: float) -> None:
        """Advances the density to ``t`` and removes the part beyond ``z`` standard deviations."""
        edge, spread = z * sqrt(t), sqrt(t - self.time)
        grid = np.linspace(-edge, edge, GRID_INTERVALS + 1)
        if not len(self.positions):
            density = np.exp(-0.5 * (grid / spread) ** 2)
        else:
            density = np.exp(-0.5 * ((grid[:, None] - self.positions[None, :]) / spread) ** 2) @ self.density
        weight = np.full(GRID_INTERVALS + 1, grid[1] - grid[0])
        weight[0] = weight[-1] = weight[0] / 2
        self.positions, self.density, self.time = grid, density * weight / (spread * sqrt(2 * np.pi)), t


def bounds(alpha: float, looks: Sequence[int]) -> list[float]:
    """Returns the two-sided significance level of each look, so that the overall error rate is ``alpha``.

    ``looks`` are the increasing numbers of seeds; raises ``ValueError`` if they do not increase or start below 2.
    The mean follows a random walk between looks, and the crossing probability at each look equals the error that the
    spending function allows by then."""
    if not looks or any(b <= a for a, b in zip(looks, looks[1:], strict=False)) or looks[0] < 2:
        raise ValueError("looks: must increase and start at 2 or more")
    out: list[float] = []
    walk = _RandomWalk()
    for n in looks:
        t = n / looks[-1]
        allowed = alpha_spent(alpha, t) - alpha_spent(alpha, walk.time)
        low, high = 0.0, 12.0
        for _ in range(60):
            mid = (low + high) / 2
            low, high = (mid, high) if walk.crossing(mid, t) > allowed else (low, mid)
        out.append(float(2 * special.ndtr(-high)))
        walk.advance(high, t)
    return out


class Conclusion(Enum):
    """The conclusion of a comparison."""

    BETTER = "better"
    WORSE = "worse"
    ALIKE = "no difference larger than the margin"
    UNKNOWN = "not known yet"


def judge(interval: Interval, differs: bool, margin: float) -> Conclusion:
    """Returns the verdict on a figure for which higher is better."""
    if differs:
        return Conclusion.BETTER if interval.mean > 0 else Conclusion.WORSE
    if -margin < interval.low and interval.high < margin:
        return Conclusion.ALIKE
    return Conclusion.UNKNOWN


class Spread(msgspec.Struct, frozen=True):
    """The distribution of one figure of one version over its seeds.

    ``tipped`` is the share of seeds below half of the pooled median of both versions, which a mean hides."""

    mean: float
    lowest: float
    quarter: float
    median: float
    three_quarters: float
    tipped: float


def spread(values: Row, both: Row) -> Spread:
    v = np.asarray(values, dtype=float)
    low, quarter, median, upper = (float(x) for x in np.quantile(v, (0.0, 0.25, 0.5, 0.75)))
    threshold = 0.5 * float(np.median(np.asarray(both, dtype=float)))
    return Spread(float(v.mean()), low, quarter, median, upper, float(np.mean(v < threshold)))
