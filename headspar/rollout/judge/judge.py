"""The verdict on a stage, look by look: go on, wait, pause or take back, each with its reason.  No I/O, no clock.

The checks, in this order:

1. *Guards*, which need no statistics: a rule broken by a changed node, restarts of changed nodes, changed nodes whose
   figures have stopped arriving, memory that will exceed its limit within the hour.  If the unchanged nodes of a site
   fare the same at the same time, the site is the cause and the change is not blamed there.
2. *Changed against unchanged nodes* in the same site and the same seconds (``compare``), over the whole stage and
   over its last part, so that good first minutes do not hide a version that turns bad later.  Sites whose servers or
   traffic have changed in the meantime are left out if others can be compared, because nodes there differ more than
   in the baseline.
3. *Neighbours*: unchanged nodes of sites with changed nodes against unchanged nodes of the other sites.

A figure is *worse* if its harm is significantly above 0 and its estimate is at or above the margin.  It is *harmless*
if its harm is significantly below the margin.  If all figures are harmless and the stage has lasted for its minimum,
the verdict is to go on.  If neither holds when the stage's time is up, the verdict is to pause, with the harm that
would have been detected.  While the changed nodes are still warming up, placebo nodes (unchanged nodes that were
restarted with their old generation at the same time) replace the other unchanged nodes of their sites as controls.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import ceil

import msgspec

from headspar.rollout.judge.baseline import Baseline, take_baseline
from headspar.rollout.judge.compare import (
    Difference,
    NodeDelta,
    Spread,
    Value,
    difference,
    error_share,
    placebo,
    ratios,
)
from headspar.rollout.judge.readings import Intake
from headspar.rollout.judge.types import (
    LIMITS,
    UNCHANGED_ENVIRONMENT,
    Comparison,
    Environment,
    Figure,
    Limits,
    Stage,
    Verdict,
    VerdictKind,
)

WARM_UP_S = 60.0  # warm-up of a restarted node, during which only placebo nodes are its controls, if a site has any
MIN_BASELINE = 0.02  # minimum baseline of a relative figure, so that a rare event still has a margin
CLASS_SHARE = 0.05  # minimum share of the traffic from which a class has its own figures
RECENT_DIVISOR = 3  # the last part of a stage is its last third


class Judge:
    """Judges one stage.

    ``look`` may be called at any rate: it compares at the scheduled times and otherwise returns the last verdict,
    unless a guard has been violated.
    """

    def __init__(self, intake: Intake, stage: Stage, limits: Limits = LIMITS, before: Baseline | None = None,
                 looks: int = 0) -> None:
        """``before`` is the baseline (None: taken from the time right before the stage).  ``looks`` is the number of
        looks at this stage that an earlier controller has made."""
        self.intake, self.stage, self.limits = intake, stage, limits
        self.before = before or take_baseline(intake, stage.since, stage.before_s)
        self.looks = looks
        # A controller that takes over has no readings of the stage: its schedule starts anew, but the error that
        # earlier looks have spent stays spent.
        self.next_at = max(stage.since, intake.started_at) + limits.first_s
        self.looked_at = stage.since
        self.last = Verdict(VerdictKind.WAIT, "no look has been made yet", more_s=limits.first_s)
        self.sites = sorted(set(self.before.sites.values()))
        self.old = frozenset(self.before.sites) - stage.new
        self.sums: dict[tuple[object, ...], Mapping[str, float]] = {}  # cache of one look, by query
        self.baseline = {n: self.before.totals(n) for n in self.before.sites}

    def look(self, now: float, world: Environment = UNCHANGED_ENVIRONMENT, changed: frozenset[str] | None = None,
             ) -> Verdict:
        """Return the verdict at ``now`` (the clock of ``Intake.add``).

        ``changed`` are the nodes that run the new generation by now (None: all of the stage).
        """
        if self.last.kind in (VerdictKind.BACK, VerdictKind.PAUSE):
            return self.last  # these verdicts are final
        violation = self._guards(now, self.stage.new if changed is None else self.stage.new & changed)
        if violation is not None:
            self.last = violation
            return violation
        if now < self.next_at:
            return self.last
        self.looked_at = now
        if not self.old:
            lasted = now - self.stage.since
            self.last = Verdict(VerdictKind.GO_ON, f"no unchanged node is left to compare with; no guard was "
                                                   f"violated in {lasted:.0f} s") \
                if lasted >= self.limits.least_s else Verdict(VerdictKind.WAIT, "no unchanged node is left")
            return self.last
        self.looks += 1
        self.sums.clear()
        self.next_at = max(now, self.stage.since + self.limits.next_look(self.next_at - self.stage.since))
        self.last = self._compare(now, world)
        return self.last

    # ------------------------------------------------------------ guards

    def _dead_sites(self, now: float, silent_for_s: float) -> set[str]:
        """Return the sites in which at least half of the unchanged nodes were silent for ``silent_for_s`` seconds."""
        out = set()
        for site in self.sites:
            old = [n for n in self.old if self._site(n) == site]
            silent = sum(self.intake.silent_s(n, now) > silent_for_s for n in old)
            if old and 2 * silent >= len(old):
                out.add(site)
        return out

    def _guards(self, now: float, changed: frozenset[str]) -> Verdict | None:
        """Return the verdict of the first guard that is violated; None if none is."""
        stage, limits = self.stage, self.limits
        dead = self._dead_sites(now, limits.lost_s)
        new = sorted(n for n in changed if self._site(n) not in dead)
        for n in new:
            broken = self.intake.sums(n, stage.since, now, stage.generation).get("broken", 0.0)
            if broken:
                return Verdict(VerdictKind.BACK, f"{n} broke a rule {broken:.0f} times since it was changed")
        # The change itself starts one new process per node; restarts of unchanged nodes have other causes.
        restarts = sum(max(0, self.intake.starts(n, stage.since) - 1) for n in new)
        others = [self.intake.starts(n, stage.since) - (n in stage.shams) for n in self.old
                  if self._site(n) not in dead]
        expected = len(new) * sum(max(0, s) for s in others) / len(others) if others else 0.0
        if restarts > limits.restarts + 2 * expected:
            return Verdict(VerdictKind.BACK, f"changed nodes restarted {restarts} times, expected from the unchanged "
                                             f"nodes: {expected:.1f}")
        if now - stage.since > limits.lost_s:
            # In a site that fails, the last readings of the nodes arrive at slightly different times.  The nodes of
            # a site that is falling silent are not counted until it is known whether the whole site has failed.
            failing = self._dead_sites(now, limits.lost_s / 3)
            lost = [n for n in new if self.intake.silent_s(n, now) > limits.lost_s and self._site(n) not in failing]
            if lost and len(lost) >= max(1, ceil(0.2 * len(new))):
                return Verdict(VerdictKind.BACK, f"{len(lost)} of {len(new)} changed nodes have not reported figures "
                                                 f"for {limits.lost_s:.0f} s ({', '.join(lost[:3])})")
        return self._memory(new, now) if limits.memory_mb else None

    def _memory(self, new: list[str], now: float) -> Verdict | None:
        """Return a verdict if at least three in four changed nodes will exceed the memory limit within the hour.

        The trend of a minute or more is extrapolated, and counts only if it is steeper than that of every unchanged
        node.  A single node may just be filling a table.
        """
        slopes = {n: _slope(self.intake.gauge(n, "memory_mb", self.stage.since + WARM_UP_S))
                  for n in [*new, *self.old]}
        baseline = sorted(s[0] for n in self.old if (s := slopes[n]) is not None)
        steepest = baseline[-1] if baseline else 0.0
        leaking = [n for n in new if (s := slopes[n]) is not None and s[0] > max(0.0, steepest)
                   and s[1] + 3600 * s[0] > self.limits.memory_mb]
        reporting = sum(slopes[n] is not None for n in new)
        if reporting and len(leaking) >= max(1, ceil(0.75 * reporting)):
            rate = sorted(s[0] for n in leaking if (s := slopes[n]) is not None)[0]
            return Verdict(VerdictKind.BACK, f"memory of {len(leaking)} changed nodes grows by {60 * rate:.2f} MB "
                                             f"per minute or more and exceeds {self.limits.memory_mb:.0f} MB within "
                                             f"the hour")
        return None

    # ------------------------------------------------------------ figures

    def _site(self, node: str) -> str:
        return self.before.sites.get(node, "")

    def _figures(self) -> list[Figure]:
        """Return the figures to compare: those of all requests, then those of each class with enough traffic."""
        sums = list(self.baseline.values())
        # A count that no unchanged node has reported belongs to a later version: there is no baseline for it.
        out = [f for f in self.limits.figures if any(f.per in s for s in sums)] or list(self.limits.figures)
        taken = sum(s.get("taken", 0.0) for s in sums)
        classes = sorted({name.partition(":")[2] for s in sums for name in s if name.startswith("taken:")})
        for c in classes:
            if taken and sum(s.get(f"taken:{c}", 0.0) for s in sums) >= CLASS_SHARE * taken:
                out += [msgspec.structs.replace(f, name=f"{f.name}, {c}", of=f"{f.of}:{c}", per=f"{f.per}:{c}")
                        for f in self.limits.by_class]
        return out

    def _compare(self, now: float, world: Environment) -> Verdict:
        figures, since = self._figures(), self.stage.since
        # Both groups are compared over the same seconds: the changed nodes' settling time is left out for all.
        whole = since + self.limits.settle_s
        views = [("", whole)]
        if now - since >= RECENT_DIVISOR * self.limits.first_s:
            views.append((" of late", max(whole, now - (now - since) / RECENT_DIVISOR)))
        tests = len(figures) * (len(views) + 1)
        level = self.limits.error * error_share(self.looks) / tests
        new, controls = self._stable_nodes(world, self.stage.new, self._controls(now))
        seen: list[Comparison] = []
        missing = []
        for f in figures:
            for suffix, start in views:
                found = self._compare_figure(f, start, now, level, new, controls)
                if found is None:
                    missing.append(f.name)
                else:
                    seen.append(msgspec.structs.replace(found, figure=f.name + suffix))
        seen.sort(key=lambda s: s.margin - s.harm)
        worse = [s for s in seen if s.low > 0 and s.harm >= s.margin]
        if worse:
            return Verdict(VerdictKind.BACK, f"{_describe(worse[0])}: significantly worse, by the margin or more",
                           tuple(seen))
        violation = self._neighbours(figures, now, level, world)
        if violation is not None:
            return violation
        lasted = now - since
        undecided = [s for s in seen if s.high >= s.margin]
        if not undecided and not missing and seen and lasted >= self.limits.least_s:
            return Verdict(VerdictKind.GO_ON, f"no figure is worse by its margin after {lasted:.0f} s", tuple(seen))
        if lasted >= self.limits.most_s:
            return self._undecided(undecided, missing, lasted, seen)
        if not undecided and not missing:
            return Verdict(VerdictKind.WAIT, "no figure is worse; the stage's minimum duration is not over",
                           tuple(seen), self.limits.least_s - lasted)
        if missing and not seen:
            return Verdict(VerdictKind.WAIT, "no site has both changed and unchanged nodes with figures", (), lasted)
        widest = max(undecided, key=lambda s: (s.high - s.harm) / max(1e-9, s.margin - max(0.0, s.harm)),
                     default=seen[0])
        gap = max(0.05 * widest.margin, widest.margin - max(0.0, widest.harm))
        factor = min(100.0, ((widest.high - widest.harm) / gap) ** 2)
        return Verdict(VerdictKind.WAIT, f"{_describe(widest)}: not significant yet", tuple(seen),
                       max(1.0, lasted * (factor - 1.0)))

    def _undecided(self, undecided: list[Comparison], missing: list[str], lasted: float,
                   seen: list[Comparison]) -> Verdict:
        """Return the verdict to pause when the time of the stage is up."""
        if missing and not seen:
            return Verdict(VerdictKind.PAUSE,
                           f"after {lasted:.0f} s there is nothing to compare the changed nodes with")
        if not undecided:
            return Verdict(VerdictKind.PAUSE, f"after {lasted:.0f} s some figures are missing: {missing[0]}",
                           tuple(seen))
        w = undecided[0]
        if w.low > 0:
            return Verdict(VerdictKind.PAUSE, f"{_describe(w)}: significantly worse, undecided whether by the margin",
                           tuple(seen))
        return Verdict(VerdictKind.PAUSE, f"{_describe(w)}: undecided after {lasted:.0f} s; harm of "
                                          f"{w.high - w.harm:.3f} or more would have been detected", tuple(seen))

    def _stable_nodes(self, world: Environment, new: frozenset[str], old: frozenset[str],
                      ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the nodes of sites whose environment is unchanged, if one of them has both groups; else all."""
        sites = {s for s in self.sites if not world.has_changed(s)}
        a, b = ({n for n in nodes if self._site(n) in sites} for nodes in (new, old))
        if {self._site(n) for n in a} & {self._site(n) for n in b}:
            return frozenset(a), frozenset(b)
        return new, old

    def _controls(self, now: float) -> frozenset[str]:
        """Return the control nodes; while changed nodes warm up, only the placebo nodes of sites that have some."""
        placebos = self.stage.shams
        if not placebos or now - self.stage.since > WARM_UP_S:
            return self.old
        placebo_sites = {self._site(n) for n in placebos}
        return frozenset(n for n in self.old if n in placebos or self._site(n) not in placebo_sites)

    def _values(self, f: Figure, nodes: Iterable[str], since: float, until: float, changed: frozenset[str],
                ) -> dict[str, Value]:
        """Return the figure by node; nodes whose denominator is 0 are omitted."""
        rows: dict[str, Mapping[str, float]] = {}
        for n in nodes:
            key = (n, since, until, n in changed)
            sums = self.sums.get(key)
            if sums is None:
                if n in changed:
                    sums = self.intake.sums(n, since, until, self.stage.generation, self.limits.settle_s)
                else:
                    sums = self.intake.sums(n, since, until)
                self.sums[key] = sums
            rows[n] = sums
        return ratios(f.of, f.per, rows)

    def _spread(self, f: Figure, length: float) -> Spread:
        """Return the placebo spread over baseline pieces of about ``length`` seconds, as far as it is long enough."""
        return placebo([ratios(f.of, f.per, piece) for piece in self.before.merged_pieces(length)])

    def _compare_figure(self, f: Figure, since: float, until: float, level: float, of: frozenset[str],
                        controls: frozenset[str], by_site: bool = True) -> Comparison | None:
        """Compare one figure of the nodes ``of`` with that of the controls; None if no site has both."""
        before = ratios(f.of, f.per, {n: self.baseline[n] for n in [*of, *controls] if n in self.baseline})
        after = self._values(f, [*of, *controls], since, until, self.stage.new)
        total = sum(v.per for v in before.values())
        baseline = sum(v.ratio * v.per for v in before.values()) / total if total else 0.0
        margin = f.margin * max(MIN_BASELINE, baseline) if f.relative else f.margin
        sign = -1.0 if f.up else 1.0
        changes = []
        for n in sorted(after.keys() & before.keys()):
            a, b = after[n], before[n]
            changes.append(NodeDelta(n, self._site(n) if by_site else "", n in of, sign * (a.ratio - b.ratio), a.per,
                                     a.variance + b.variance))
        found: Difference | None = difference(changes, self._spread(f, until - since), level)
        if found is None:
            return None
        return Comparison(f.name, found.by, found.low, found.high, margin, found.new, found.old)

    def _neighbours(self, figures: list[Figure], now: float, level: float, world: Environment) -> Verdict | None:
        """Compare the unchanged nodes of sites with changed nodes with those of the other sites."""
        touched = {self._site(n) for n in self.stage.new}
        near = frozenset(n for n in self.old if self._site(n) in touched and n not in self.stage.shams)
        far = frozenset(n for n in self.old if self._site(n) not in touched and n not in self.stage.shams)
        if not near or not far:
            return None
        for f in figures:
            found = self._compare_figure(f, self.stage.since + self.limits.settle_s, now, level, near, far,
                                         by_site=False)
            if found is not None and found.low > 0 and found.harm >= found.margin:
                text = f"unchanged nodes next to changed ones: {_describe(found)}"
                moved = sorted(s for s in touched if world.has_changed(s))
                if moved:
                    return Verdict(VerdictKind.PAUSE, f"{text}; but servers or traffic of {', '.join(moved)} have "
                                                      f"changed, which may be the cause", (found,))
                return Verdict(VerdictKind.BACK, f"{text}: significantly worse, by the margin or more", (found,))
        return None


def _describe(s: Comparison) -> str:
    return (f"{s.figure} worse by {s.harm:.3f} ({s.low:.3f} to {s.high:.3f}, margin {s.margin:.3f}, "
            f"{s.new} nodes against {s.old})")


def _slope(rows: list[tuple[float, float]]) -> tuple[float, float] | None:
    """Return the least-squares slope per second and the last value; None for less than a minute of readings."""
    if len(rows) < 5 or rows[-1][0] - rows[0][0] < WARM_UP_S:
        return None
    mean_t = sum(t for t, _ in rows) / len(rows)
    mean_v = sum(v for _, v in rows) / len(rows)
    square = sum((t - mean_t) ** 2 for t, _ in rows)
    return sum((t - mean_t) * (v - mean_v) for t, v in rows) / square, rows[-1][1]
