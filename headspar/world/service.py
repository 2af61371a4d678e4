"""Service level of a run: worth delivered over worth requested.  Performs no I/O.

A call is worth its class's worth per unit of work.  The full worth counts if a response arrives within the class's
aim after the first client attempt is sent, ``late_worth`` of it if one arrives later, nothing otherwise.  An agent's
traffic beyond its share of the quota is worth ``over_share_worth`` of that, both requested and delivered.  The goal
is a weighted mean over the whole run (0.55), its worst 10 s (0.15), the worst class (0.05) and the worst agent
within its share (0.25).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

import msgspec

from headspar.world.plan import SECOND
from headspar.world.records import ClientAttemptRecord, ClientOutcome, Recording

WORST_S = 10
BURST_S = 2.0  # seconds of an agent's quota that may arrive at once
GOAL_WEIGHTS = (0.55, 0.15, 0.05, 0.25)  # whole run, worst 10 s, worst class, worst agent


class Share(msgspec.Struct):
    """Worth requested and delivered, the number of calls, and of those answered in time."""

    asked: float = 0.0
    answered: float = 0.0
    calls: int = 0
    in_time: int = 0

    @property
    def ratio(self) -> float:
        """Worth delivered over worth requested; 1 where nothing was requested."""
        return self.answered / self.asked if self.asked > 0 else 1.0


class Second(msgspec.Struct):
    """One second of a run.  ``served``, ``refused`` and ``failed`` count client attempts that ended in it; ``asked``
    and ``worth`` are of the calls that were due in it."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    asked: int = 0
    worth: Share = msgspec.field(default_factory=Share)


class Service(msgspec.Struct):
    """Service level of a run.  ``goal`` to ``by_agent`` are shares from 0 to 1."""

    goal: float
    whole: float
    worst_10_s: float
    worst_class: float
    worst_agent: float
    by_class: dict[str, float]
    by_agent: dict[str, float]
    seconds: list[Second]
    first_tries: int
    tries: int
    amplification: float  # client attempts over calls


class Worth(msgspec.Struct, frozen=True):
    """Worth of one call, requested (``asked``) and delivered (``got``).  ``at``: when its first client attempt was
    due (us)."""

    call: int
    at: int
    asked: float
    got: float
    in_time: bool
    beyond: bool  # beyond its agent's share of the quota


def _over_share(recording: Recording, firsts: list[ClientAttemptRecord]) -> set[int]:
    """Calls beyond their agent's share of the quota, by a token bucket of ``BURST_S`` for each agent."""
    rules = recording.rules
    total = sum(share for _, share in rules.agents) or 1.0
    rates = [rules.quota_rps * share / total for _, share in rules.agents]
    tokens = [BURST_S * rate for rate in rates]
    last = [rules.began_at] * len(rates)
    over = set()
    for a in firsts:
        i = rules.calls[a.call].agent
        tokens[i] = min(max(BURST_S * rates[i], 1.0), tokens[i] + rates[i] * (a.planned_at - last[i]) / SECOND)
        last[i] = a.planned_at
        if tokens[i] < 1.0:
            over.add(a.call)
        else:
            tokens[i] -= 1.0
    return over


def worths(recording: Recording) -> Iterator[Worth]:
    """The worth of each call, in the order in which they were due."""
    rules = recording.rules
    firsts = sorted((a for a in recording.asks if a.attempt == 0), key=lambda a: a.planned_at)
    served: dict[int, int] = {}
    for a in recording.asks:
        if a.end is ClientOutcome.ANSWER and a.status == 200 and a.genuine:
            served[a.call] = min(served.get(a.call, a.ended_at), a.ended_at)
    calls_over_share = _over_share(recording, firsts)
    for a in firsts:
        call = rules.calls[a.call]
        spec = rules.classes[call.cls]
        worth = spec.worth * call.work_us / 1e4
        over_share = a.call in calls_over_share
        if over_share:
            worth *= rules.over_share_worth
        at = served.get(a.call)
        sent = a.sent_at or a.planned_at
        in_time = at is not None and at - sent <= spec.aim_us
        delivered = 0.0 if at is None else worth if in_time else worth * spec.late_worth
        yield Worth(a.call, a.planned_at, worth, delivered, in_time, over_share)


def measure(recording: Recording) -> Service:
    """Compute the service level of a run from its records."""
    rules = recording.rules
    count = -(-rules.length_us // SECOND)
    seconds = [Second() for _ in range(count)]
    whole = Share()
    classes: defaultdict[str, Share] = defaultdict(Share)
    agents: defaultdict[str, Share] = defaultdict(Share)
    first_tries = 0
    for w in worths(recording):
        call = rules.calls[w.call]
        first_tries += 1
        second = seconds[min(count - 1, max(0, (w.at - rules.began_at) // SECOND))]
        second.asked += 1
        rows = [whole, classes[rules.classes[call.cls].name], second.worth]
        if not w.beyond:
            rows.append(agents[rules.agents[call.agent][0]])
        for share in rows:
            share.asked += w.asked
            share.answered += w.got
            share.calls += 1
            share.in_time += w.in_time
    for a in recording.asks:
        second = seconds[min(count - 1, max(0, (a.ended_at - rules.began_at) // SECOND))]
        if a.end is ClientOutcome.ANSWER and a.status == 200:
            second.served += 1
        elif a.end is ClientOutcome.ANSWER and a.status in (429, 503):
            second.refused += 1
        elif a.end is not ClientOutcome.LEFT:
            second.failed += 1
    worst = whole.ratio
    for i in range(max(0, count - WORST_S) + 1):
        part = seconds[i:i + WORST_S]
        asked = sum(s.worth.asked for s in part)
        if asked > 0:
            worst = min(worst, sum(s.worth.answered for s in part) / asked)
    by_class = {name: share.ratio for name, share in sorted(classes.items())}
    by_agent = {name: share.ratio for name, share in sorted(agents.items())}
    worst_class = min(by_class.values(), default=1.0)
    worst_agent = min(by_agent.values(), default=1.0)
    parts = (whole.ratio, worst, worst_class, worst_agent)
    return Service(
        goal=sum(w * x for w, x in zip(GOAL_WEIGHTS, parts, strict=True)), whole=whole.ratio, worst_10_s=worst,
        worst_class=worst_class, worst_agent=worst_agent, by_class=by_class, by_agent=by_agent,
        seconds=seconds, first_tries=first_tries, tries=len(recording.asks),
        amplification=len(recording.asks) / first_tries if first_tries else 0.0,
    )
