"""Connects the judge to one change: the incoming figures, the baseline, and the judge of the current stage.

No I/O.  ``now`` is the controller's monotonic clock in seconds, ``clock`` the change's clock.
"""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from math import inf

from headspar.keeper.messages import Work
from headspar.rollout.judge.baseline import Baseline, take_baseline
from headspar.rollout.judge.judge import Judge
from headspar.rollout.judge.power import powers
from headspar.rollout.judge.readings import Intake, Reading
from headspar.rollout.judge.types import Environment, JudgeSettings, Power, Stage, Verdict, VerdictKind
from headspar.rollout.state import Change, State

MIN_REPORTING = 0.75  # share of the nodes that must have reported, each for this share of the baseline
TRAFFIC_S = 30.0  # window over which the current traffic is averaged


class Judging:
    """Judges one change on behalf of one controller.

    ``before`` is the baseline from the record; None if it has still to be taken.
    """

    def __init__(
        self, settings: JudgeSettings, sites: Mapping[str, str], now: float, before: Baseline | None,
    ) -> None:
        self.settings, self.sites, self.began, self.before = settings, dict(sites), now, before
        self.intake = Intake(now)
        self.judge: Judge | None = None
        self.stage: tuple[int, float] | None = None

    def add_work(self, node: str, work: Work, now: float) -> None:
        """Add a node's report of its work."""
        self.intake.add(Reading(node, self.sites[node], work.generation, work.process, work.up_s, work.counts,
                                work.gauges), now)

    # ------------------------------------------------------------ before the change

    def waits(self, now: float) -> str:
        """Return why the change cannot begin yet; empty once the baseline can be taken."""
        if now < self.began + self.settings.watch_s:
            return f"the baseline of the fleet is being taken for {self.settings.watch_s:.0f} s"
        least = MIN_REPORTING * self.settings.watch_s
        since = now - self.settings.watch_s
        reporting = sum(self.intake.sums(n, since, now)["spans"] >= least for n in self.sites)
        if reporting < MIN_REPORTING * len(self.sites):
            return f"only {reporting} of {len(self.sites)} nodes report their work: the change could not be judged"
        return ""

    def take_baseline(self, now: float) -> Baseline:
        """Take the baseline from the time up to ``now`` and return it."""
        self.before = take_baseline(self.intake, now, self.settings.watch_s)
        return self.before

    def powers(self, change: Change) -> list[Power]:
        """Return the power of each stage; empty without a baseline."""
        return powers(self.before, change.stages, self.settings.limits) if self.before is not None else []

    # ------------------------------------------------------------ a stage

    def look(self, change: Change, changed: frozenset[str], clock: float, now: float, looks: int,
             ) -> tuple[Verdict, bool]:
        """Return the verdict on the current stage, and whether it is new.

        ``changed`` are the nodes that run the goal by now; ``looks`` is the number of looks at this stage in the
        record.
        """
        assert self.before is not None
        at = change.stage, change.stage_since
        if self.judge is None or self.stage != at:
            self.stage = at
            new = frozenset(n for stage in change.stages[: change.stage + 1] for n in stage)
            since = now - (clock - change.stage_since)
            self.judge = Judge(self.intake, Stage(since, new, change.goal), self.settings.limits, self.before, looks)
        judge = self.judge
        previous = judge.looks, judge.last.kind
        verdict = judge.look(now, self.world(judge.old, now), changed)
        fresh = (judge.looks, verdict.kind) != previous
        proving = now - (clock - change.since) if change.state is State.PROVING else inf
        if verdict.kind is VerdictKind.GO_ON and judge.looked_at < proving:
            # That look was made while only part of the stage's nodes had changed.
            verdict = Verdict(VerdictKind.WAIT, f"{verdict.reason}; not all nodes of the stage have been judged",
                              verdict.seen)
        return verdict, fresh

    def world(self, old: frozenset[str], now: float) -> Environment:
        """Compare servers, as unchanged nodes list them, and traffic of all nodes with the baseline, by site."""
        assert self.before is not None
        traffic, lost = {}, {}
        for site in sorted(set(self.sites.values())):
            names = [n for n, s in self.sites.items() if s == site]
            base_rate = sum(w.get("taken", 0.0) for n in names if (w := self.before.totals(n))) / self.before.seconds
            rates = [s.get("taken", 0.0) / s["spans"] for n in names
                     if (s := self.intake.sums(n, now - TRAFFIC_S, now))["spans"] > 0]
            if base_rate > 0 and rates:
                traffic[site] = sum(rates) / base_rate
            shares = [share for n in names if n in old and (share := self._servers_lost(n)) is not None]
            if shares:
                lost[site] = statistics.median(shares)
        return Environment(lost, traffic)

    def _servers_lost(self, node: str) -> float | None:
        """Return the share of the node's baseline servers that are gone or newly cold; None if unknown."""
        assert self.before is not None
        baseline, now = self.before.gauges.get(node, {}), self.intake.latest(node)
        if not baseline.get("servers") or not now.get("servers"):
            return None
        gone = max(0.0, 1.0 - now["servers"] / baseline["servers"])
        cold = now.get("cold", 0.0) / now["servers"] - baseline.get("cold", 0.0) / baseline["servers"]
        return gone + max(0.0, cold)
