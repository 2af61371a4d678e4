"""Data types of the judge: figures with their margins, limits, stages and verdicts.

No I/O, and no imports of the statistics libraries, which take long to load.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec


class VerdictKind(Enum):
    GO_ON = "go on"
    WAIT = "wait"
    PAUSE = "pause"
    BACK = "take back"


class Figure(msgspec.Struct, frozen=True):
    """A ratio of two counts, ``of / per``.

    ``margin`` is the maximum harm accepted, in the figure's own unit, or as a share of its baseline if ``relative``.
    ``up``: a higher value is better.
    """

    name: str
    of: str
    per: str
    margin: float
    up: bool = False
    relative: bool = False


FIGURES = (
    Figure("served in time", "in_time", "taken", 0.02, up=True),
    Figure("refused", "refused", "taken", 0.02),
    Figure("failed", "failed", "taken", 0.01),
    Figure("late", "late", "taken", 0.02),
    Figure("attempts a request", "attempts", "taken", 0.15, relative=True),
    Figure("handshakes a request", "handshakes", "taken", 0.5, relative=True),
    Figure("processor time a request", "cpu_ms", "taken", 0.25, relative=True),
    Figure("time to answer", "quarters", "served", 0.2),  # in quarters of an octave; 0.2 of them are 3.5%
)
BY_CLASS = (Figure("refused", "refused", "taken", 0.03), Figure("failed", "failed", "taken", 0.02))


class Limits(msgspec.Struct, frozen=True):
    """The parameters of a judge.

    ``error`` is the probability, per stage, of stopping a harmless change.  ``least_s`` and ``most_s`` are the
    minimum and maximum duration of a stage.  The first ``settle_s`` seconds of each new process are ignored.  The
    first look is after ``first_s`` seconds; each later one is at ``ratio`` times the time of the one before.
    """

    figures: tuple[Figure, ...] = FIGURES
    by_class: tuple[Figure, ...] = BY_CLASS
    error: float = 0.05
    least_s: float = 30.0
    most_s: float = 600.0
    settle_s: float = 15.0
    first_s: float = 30.0
    ratio: float = 1.3
    lost_s: float = 10.0
    memory_mb: float = 0.0  # memory limit of a process; 0: unknown
    restarts: int = 1  # maximum restarts of changed nodes; with more the stage is rolled back

    def next_look(self, at: float) -> float:
        """Return the time of the look after one at ``at``, in seconds of the stage.

        One look falls exactly on the stage's maximum duration.
        """
        return min(at * self.ratio, self.most_s) if at < self.most_s else at * self.ratio


class JudgeSettings(msgspec.Struct, frozen=True):
    """Whether and how a change is judged.  ``watch_s`` is the length of the baseline."""

    on: bool = False
    watch_s: float = 120.0
    every_s: float = 1.0  # polling interval of a node
    limits: Limits = Limits()


class Stage(msgspec.Struct, frozen=True):
    """A stage: its start (judge's time), the nodes that get the new generation, and the placebo nodes.

    ``shams`` are the placebo nodes of an A/A comparison: they were restarted with their old generation.
    """

    since: float
    new: frozenset[str]
    generation: str
    shams: frozenset[str] = frozenset()
    before_s: float = 120.0  # length of the baseline if it is taken when the stage begins


class Environment(msgspec.Struct, frozen=True):
    """Changes of the environment, by site, for which the rollout is not responsible.

    ``servers_lost`` is the share of the site's servers that are gone or cold compared with the baseline; ``traffic``
    is the ratio of the current traffic to the baseline's.
    """

    servers_lost: Mapping[str, float] = {}
    traffic: Mapping[str, float] = {}

    def has_changed(self, site: str) -> bool:
        """Return whether the site's servers or traffic differ from the baseline."""
        return self.servers_lost.get(site, 0.0) > 0.05 or not 0.75 <= self.traffic.get(site, 1.0) <= 1.33


LIMITS, UNCHANGED_ENVIRONMENT = Limits(), Environment()


class Comparison(msgspec.Struct, frozen=True):
    """One figure at one look: its harm (above 0: worse) with its confidence interval and margin."""

    figure: str
    harm: float
    low: float
    high: float
    margin: float
    new: int
    old: int


class Verdict(msgspec.Struct, frozen=True):
    """The judge's decision.  ``more_s`` is the estimated time to wait; ``seen``: the figures, worst first."""

    kind: VerdictKind
    reason: str
    seen: tuple[Comparison, ...] = ()
    more_s: float = 0.0


class Power(msgspec.Struct, frozen=True):
    """The power of one stage for one figure.

    ``least`` is the smallest harm that is detectable by the end of the stage (None: none).  ``needs_s`` is how long
    the stage must last to detect the margin (None: more than a day).
    """

    stage: int
    new: int
    old: int
    figure: str
    margin: float
    least: float | None
    needs_s: float | None

    @property
    def enough(self) -> bool:
        return self.least is not None and self.least <= self.margin
