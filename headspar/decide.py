"""Every decision of a headspar node.  The types are in ``headspar/interface.py``.

The mechanism is that of Sharifian, Motamedi and Akbari, "Estimation-Based Load-Balancing with Admission
Control for Cluster Web Servers".  Names are the paper's:

  W(j)   weight of cost class j: how many of its requests weigh as much as one of the costliest class.
         Here classes are half-octave buckets of the cost hint; 1/W(j) is kept as the bucket's mid-point in
         microseconds of work, the same ratio in another unit.  No valid hint: the costliest class seen.
  n(i,j) this node's outstanding requests of class j at backend i.
  Nm_i   the critical amount of this node's work at backend i, learned: timeouts, errors, refusals as full
         and failed connections lower it, prompt answers raise it.
  AC(i)  = Nm_i - sum_j n(i,j)/W(j), the available capacity.  A request goes to the largest AC(i).
  ACC    the fleet's average AC(i)/Nm_i.  While it is at or below 0.3, a request of class j is accepted with
         probability Pa(j), falling with ACC x k, k = 1/0.3.  Above 0.3 all pass.

What a fleet of many nodes adds, each part with one owner of its state:

  Capacity    n(i,j), Nm_i.  One node holds a sliver of a backend's load, often less than one request, so a
              sent weight also *lingers*: it is added at the send and decays over a horizon T instead of
              vanishing on completion.  Nm_i = K x speed_i x health_i^2 x warm_i: K is this node's critical
              work for an average backend, raised while answers are prompt against their aims and lowered
              while they are not; speed_i is expected over seen latency, pooled over machines of a kind;
              health_i falls with failures; warm_i is the capacity a cold backend must be presumed to have.
  Picker      largest AC(i) among a seeded sample; a trickle of trials to suspects; the budget of cold ones.
  Peers       what other nodes say they have outstanding, counted in AC by this node's share of it.
  Admission   shares P_j, ACC, Pa, with worth and tenants' shares.
  Membership  discovery's list, subscriptions, drains, cold starts.
  Balancer    a request's life: attempts, safety of repeats, overdue attempts, the answer in time.

``may_send`` and ``may_refuse`` are the one statement of what repeating is allowed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from heapq import heappop, heappush
from math import exp
from zlib import crc32

from headspar.interface import (
    Action,
    AttemptEnded,
    BackendBelief,
    BackendEntry,
    BackendList,
    Belief,
    CancelAttempt,
    ClientGone,
    Effect,
    Event,
    Experience,
    Fail,
    Group,
    Health,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    ProbeEnded,
    Recalled,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    ServerExperience,
    SetTimer,
    Settings,
    SettingsChanged,
    StreamStarted,
    TellPeers,
    TimerFired,
    Watch,
)

# ---- the paper's constants
ALPHA = 0.8  # smoothing of class shares (paper, eq. 6)
ACC_FLOOR = 0.3  # admission acts at or below this ACC (paper, eq. 9)
ACC_SCALE = 1 / ACC_FLOOR
# ---- ours
INTERVAL_US = 200_000
SAMPLE = 24
LINGER_SENDS = 0.6
LINGER_US = (200_000, 5_000_000)
CRITICAL = 0.62
USED_BOUNDS = (0.95, 0.97)  # share of Nm_i in use that a pick assumes: low values herd onto the fastest
EVIDENCE_US = 1_000_000
K_SLOPE = 1.5  # steeper, all nodes refuse and admit in step: lateness tells of load a second and more ago
K_LAG_US = 1_000_000
DRAIN = 0.7  # of what is finished, the least that is admitted; and the cut for each aim by which answers are late
STOOD_STILL = 1.5  # of a tick's time since the one before
OVERDRIVEN = 1.0  # lateness, in aims, beyond which what servers finish says nothing of what they can
BREAK_EVEN = 0.2  # worth beyond a tenant's share from which refusing it early costs more than the room it leaves
BEYOND_FLOOR = 0.57  # like ACC_FLOOR, for what is worth nothing: about the ACC of answers that come without a wait
BEYOND_SPAN = 0.1  # of ACC, around such a floor
PEER_WEIGHT = 0.7
PEER_SHARE = 0.4  # full messages a request: at a price of a point each, four tenths of a point
PEER_STALE_US = 3_000_000
PEER_UNIT_US = 4_096
PEER_MOST = 70  # backends in a message of at most 256 bytes, beside those that are out
OUT_TOLD_US = 6_000_000  # how long peers are told of a backend that discovery has told to be out
OUT_MOST = 20  # of them in a message
OUT_SHARE = 0.3  # full messages a request, for these
SPARED_US = 10_000_000  # how long their word holds without discovery's own
SPEED_MEMORY_US = 12_000_000
PRIOR_REQUESTS = 3.0
SUSPECT = 0.4
FLOOR = 0.8  # share of a class's base latency that is taken for waits on others
SILENT = 0.5
OVERDUE = 2.5
RETRY_SHARE = 0.1  # of what is admitted
RETRIES = (10.0, 20.0)  # of a new node, and saved up at most
COPY_SHARE = 0.1  # as above, of second copies and replacements: mere guesses that another server is sooner
COPIES = (1.0, 3.0)  # all nodes of a fleet spend them in the same second, when answers begin to come late,
COPIES_SHARED = 20.0  # and those that all of a fleet's nodes have beside, evenly parted
COLD_SAFETY = 0.5  # of a cold backend's part, at an ACC of 1
COLD_PLENTY = 0.6  # ACC up to which it has all of its part
COLD_EARNED = 2 / 3  # of the multiple that it falls at: the most that prompt answers earn it
HOMES = 2
HOME_MARGIN = 1.5
HOME_KEYS = 10_000  # keys whose homes are remembered
COLD_HEAVY = 0.1
WINDOW_MARGIN_US = 150_000  # of the time for repeats: a node may be held up so long between its clock and its write
KNOWN = 20  # answers, from which the work of a typical request is known
TRIAL_US = (1_000_000, 8_000_000)  # pause between trials of a suspect: first, longest
LOG_EVERY_US = 10_000_000  # at most one line of reasons in this time
GRID_US = 20_000
# ---- what goes over to a successor, by attribute
CAPACITY_FIGURES = (
    "k", "linger_us", "rate", "work_rate", "served_rate", "steady", "sent_rate", "late_num", "late_den", "pressure",
    "proven", "typical_work", "typical_own", "mean_load", "acc", "ticks",
)
CLASS_FIGURES = ("count", "m_lat", "m_cost", "v_cost", "cov", "base", "slope")
ASK_AGAIN_US = (500_000, 2_000_000)  # half the pause after a call to discovery that failed, and the longest
RECALLED_ASK_US = 500_000  # a successor watches discovery within it: the process before it stops soon

OK, ERROR, FULL, TIMEOUT = Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
HEALTH_AFTER = {
    ERROR: 0.75,
    FULL: 0.85,
    TIMEOUT: 0.5,
    Outcome.CONNECT_FAILED: 0.4,
    Outcome.RESET: 0.4,
}


class Backend:
    """What this node knows of one backend."""

    __slots__ = (
        "id", "tag", "zone", "kind", "cell", "usable", "drained", "started_at", "n", "out", "linger", "seen",
        "expected", "health", "warm", "nm", "nm_full", "peers", "trial_at", "trial_pause", "last_ok", "drawn_at",
        "earned",
    )

    def __init__(self, entry: BackendEntry) -> None:
        self.id = entry.backend
        self.tag = crc32(self.id.encode()) & 0xFFFF
        self.out = 0  # sum_j n(i,j)/W(j), us of work; exact, as mid-points are whole
        self.peers = 0  # outstanding from other nodes, as last told
        self.n: dict[int, int] = {}  # n(i,j) by the class's 1/W(j)
        self.place(entry)
        self.reset()

    def place(self, entry: BackendEntry) -> None:
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.drained = entry.health is not Health.READY
        self.usable = entry.reachable and not self.drained
        self.started_at = entry.started_at_us

    def reset(self) -> None:
        self.linger = 0.0
        self.seen = self.expected = 0.0
        self.health = self.warm = 1.0
        self.nm = self.nm_full = 0.0
        self.trial_at, self.trial_pause = 0, TRIAL_US[0]
        self.last_ok = -1
        self.drawn_at = -1  # up to when its budget has been spent, by lot or for want of others; -1: never
        self.earned = 1.0  # times its part while it is cold, by how prompt it is beside the warm ones

    def put_off_trial(self, now: int) -> None:
        self.trial_at = now + self.trial_pause
        self.trial_pause = min(TRIAL_US[1], 2 * self.trial_pause)


class Attempt:
    """One send of a request; where it went decides where repeats may go."""

    __slots__ = ("backend", "zone", "cell", "sent_at", "may_have_run", "in_flight")

    def __init__(self, backend: Backend, now: int) -> None:
        self.backend, self.zone, self.cell, self.sent_at = backend, backend.zone, backend.cell, now
        self.may_have_run = True
        self.in_flight = True


def repeat_by(cls: RequestClass, attempts: Iterable[Attempt]) -> int:
    """The latest that another attempt may be written; 0 where the class or what has gone before sets no limit."""
    if cls.effect is not Effect.DEDUP:
        return 0
    margin = min(WINDOW_MARGIN_US, cls.window_us // 2)
    return min((a.sent_at + cls.window_us - margin for a in attempts if a.may_have_run), default=0)


def may_send(
    cls: RequestClass, attempts: list[Attempt], zone: str, cell: int, now: int, limit: int, copies: bool
) -> bool:
    if len(attempts) >= limit:
        return False
    if 0 < repeat_by(cls, attempts) <= now:
        return False
    for a in attempts:
        if a.in_flight and not copies:
            return False
        if not a.may_have_run or cls.effect is Effect.RETRYABLE:
            continue
        if cls.effect is Effect.FRAGILE:
            return False
        if cls.group is Group.ZONE and a.zone != zone:
            return False
        if cls.group is Group.CELL and (a.cell != cell or a.zone != zone):
            return False
    return True


def may_refuse(cls: RequestClass, attempts: list[Attempt]) -> bool:
    if cls.effect is Effect.RETRYABLE:
        return True
    if cls.effect is Effect.DEDUP and cls.group is Group.ALL:
        return True
    return not any(a.may_have_run for a in attempts)


def cost_class(hint_us: int) -> int:
    """1/W(j) of the half-octave bucket that a hint falls into, as its mid-point in us of work."""
    if hint_us < 4:
        return 4
    shift = hint_us.bit_length() - 2  # the two leading bits tell the half-octave
    return ((hint_us >> shift) * 2 + 1) << (shift - 1)


class Request:
    """A request that this node owes an answer."""

    __slots__ = ("id", "cls", "cost", "arrived", "deadline", "limit", "attempts", "expect", "streaming", "key")

    def __init__(self, id: str, cls: ClassState, cost: int, arrived: int, deadline: int, limit: int) -> None:
        self.id, self.cls, self.cost, self.arrived, self.deadline = id, cls, cost, arrived, deadline
        self.limit = limit  # of attempts
        self.attempts: list[Attempt] = []
        self.expect = cls.base + cls.slope * cost
        self.streaming = False
        self.key: str | None = None


class ClassState:
    """Latency seen in one request class, as base + slope x work: what an ordinary answer takes."""

    __slots__ = ("spec", "index", "count", "m_lat", "m_cost", "v_cost", "cov", "base", "slope", "repeatable")

    def __init__(self, spec: RequestClass, index: int) -> None:
        self.spec, self.index = spec, index
        self.repeatable = spec.effect is not Effect.FRAGILE
        self.count = 0
        self.m_lat = self.m_cost = self.v_cost = self.cov = 0.0
        self.base, self.slope = 0.1 * spec.aim_us, 1.0

    def learn(self, cost: int, latency: int) -> None:
        self.count += 1
        a = max(0.01, 1.0 / self.count)
        dc, dl = cost - self.m_cost, latency - self.m_lat
        self.m_cost += a * dc
        self.m_lat += a * dl
        b = 1.0 - a
        self.v_cost = b * (self.v_cost + a * dc * dc)
        self.cov = b * (self.cov + a * dc * dl)

    def refit(self) -> None:
        if self.count < 8 or self.v_cost <= 0.0:
            return
        self.slope = max(0.0, self.cov / self.v_cost)
        self.base = max(0.0, self.m_lat - self.slope * self.m_cost)


class Capacity:
    """n(i,j), Nm_i and what they are learned from."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.k = 0.0
        self.linger_us = 1_000_000.0  # T
        self.rate = 0.0
        self.work_rate = 0.0  # us of work per second asked of this node
        self.served_rate = 0.0  # us of work per second that was served
        self.steady = 0.0
        self.weight = 0.0  # in AC, of peers' work
        self.senders = float(settings.balancers)  # nodes that send to one backend
        self.sent_rate = 0.0  # us of work per second sent by this node of late
        self.sent = self.sent_work = 0
        self.offered_work = 0
        self.served_work = 0
        self.answers = 0
        self.late_num = self.late_den = 0.0
        self.pressure = 0.0
        self.proven = 0  # us in which there was evidence of lateness or promptness
        self.typical_work = 10_000.0  # work of a typical request, us
        self.typical_own = 50_000.0  # the part of it beyond the floor
        self.mean_load = 0.0
        self.kinds: dict[str, list[float]] = {}
        self.acc = 1.0
        self.sound = self.carried = 0.0  # as ``Belief`` has them
        self.capacity_sum = 1.0  # sum of warm_i
        self.ticks = 0
        self.standing = 1.0  # the mean of health_i^2

    def send(self, b: Backend, cost: int) -> None:
        b.n[cost] = b.n.get(cost, 0) + 1
        b.out += cost
        b.linger += cost
        self.sent += 1
        self.sent_work += cost

    def ac(self, b: Backend) -> float:
        """AC(i), with what lingers and this node's share of what peers have outstanding."""
        return b.nm - b.linger - b.out - self.weight * b.peers

    def unit(self, cost: int) -> float:
        """What a request spends of a cold backend's budget, us of work: as much as any other.  Drawn by what its hint
        tells, light ones came, and with its part of the work 2.8 times its part of the requests."""
        return self.typical_work if self.answers >= KNOWN else max(cost, self.typical_work)

    def done(self, b: Backend, cost: int) -> None:
        b.n[cost] -= 1
        b.out -= cost

    def learn(self, b: Backend, r: Request, outcome: Outcome, latency: int, now: int) -> None:
        """Raise or lower what Nm_i stands on."""
        if outcome is OK:
            b.health += 0.3 * (1.0 - b.health)
            b.last_ok = now
            self.served_work += r.cost
            b.trial_pause = TRIAL_US[0]
            own = max(0.2 * r.expect, r.expect - FLOOR * r.cls.base)
            over = max(0.1 * own, latency - (r.expect - own))
            b.seen += over
            b.expected += own
            kind = self.kinds[b.kind]
            kind[0] += over
            kind[1] += own
            self.typical_own += 0.02 * (own - self.typical_own)
            self.answers += 1
            self.typical_work += max(0.02, 1.0 / self.answers) * (r.cost - self.typical_work)
            r.cls.learn(r.cost, latency)
            weight = r.cost * self.weight_of(b)
            self.late_num += weight * self.lateness(r, latency)
            self.late_den += weight
            return
        factor = HEALTH_AFTER.get(outcome)
        if factor is None or (outcome is TIMEOUT and latency < r.expect):
            return
        if outcome is FULL or outcome is TIMEOUT:
            weight = r.cost * self.weight_of(b)
            self.late_den += weight
            self.late_num += 2.0 * weight
        self.blame(b, factor, now)

    def weight_of(self, b: Backend) -> float:
        """Evidence on K counts as far as the server stands beside the others: one that turns all away is ill and says
        nothing of what a sound one carries; where most do, none is ill and all are asked too much."""
        return min(1.0, b.health * b.health / self.standing)

    def lateness(self, r: Request, wait: int) -> float:
        """In aims, two at most."""
        return min(2.0, wait / (r.cls.spec.aim_us + r.cls.spec.aim_stretch * r.cost))

    def waiting(self, requests: Iterable[Request], now: int) -> tuple[float, float]:
        """What late_num and late_den lack of what is out and late already, as if its answers came now.

        Lateness known at the answer tells of the line that was there when the request came; of one that grows it
        tells only once it has grown.
        """
        num = den = 0.0
        for r in requests:
            for a in r.attempts:
                if a.in_flight and (late := self.lateness(r, now - a.sent_at)) > CRITICAL:
                    weight = r.cost * self.weight_of(a.backend)
                    num += weight * late
                    den += weight
        return num, den

    def blame(self, b: Backend, factor: float, now: int) -> None:
        b.health = max(0.05, b.health * factor)
        b.nm = b.nm_full * b.health * b.health
        if b.health < SUSPECT and now >= b.trial_at:
            b.put_off_trial(now)

    def tick(self, pool: list[Backend], now: int, dt: int, requests: Iterable[Request] = ()) -> None:
        """Every Delta-t: decay, fit, K, Nm_i, ACC."""
        self.ticks += 1
        seconds = dt / 1e6
        a = min(1.0, seconds / 3.0)
        if self.ticks < 15:
            a = max(a, 1.0 / self.ticks)
        self.rate += a * (self.sent / seconds - self.rate)
        self.work_rate += a * (self.offered_work / seconds - self.work_rate)
        self.served_rate += a * (self.served_work / seconds - self.served_rate)
        self.sent_rate += min(1.0, seconds) * (self.sent_work / seconds - self.sent_rate)
        self.sent = self.sent_work = self.offered_work = self.served_work = 0
        if not pool:
            return
        self._set_horizon(len(pool))
        keep = exp(-dt / self.linger_us)
        memory = max(SPEED_MEMORY_US, 3.0 * self.linger_us)
        fade = max(0.0, 1.0 - dt / memory)
        prior = PRIOR_REQUESTS * self.typical_own
        kinds: dict[str, float] = {}
        for kind, sums in self.kinds.items():
            sums[0] *= fade
            sums[1] *= fade
            kinds[kind] = (sums[0] + prior) / (sums[1] + prior)
        load = 0.0
        out = 0
        quality: list[float] = []
        cold: list[tuple[Backend, float]] = []
        seen = expected = prior  # of the warm ones
        for b in pool:
            b.linger *= keep
            b.seen *= fade
            b.expected *= fade
            stretch = (b.seen + prior * kinds[b.kind]) / (b.expected + prior)
            b.warm = self.settings.warm_share(b.started_at, now)
            q = min(3.0, max(0.15, 1.0 / stretch)) * b.warm
            quality.append(q)
            if b.warm < 1.0:
                cold.append((b, stretch))
            else:
                seen += b.seen
                expected += b.expected
            load += b.linger + b.out + self.weight * b.peers
            out += b.out
        # The least that a cold backend must be presumed to carry is well under what most do: while warm ones are late
        # and it is prompt, it gets more than that.
        most = max(1.0, COLD_EARNED * self.settings.fall_multiple)
        for b, stretch in cold:
            b.earned = min(most, max(1.0, seen / expected / stretch))
        self.capacity_sum = sum(b.warm for b in pool)
        if self.capacity_sum > 0.5 * len(pool):
            per_unit = self.served_rate / self.capacity_sum
            if per_unit > self.steady or self.pressure <= OVERDRIVEN:
                self.steady += a * (per_unit - self.steady)
        sound = sum(q * b.health * b.health for b, q in zip(pool, quality, strict=False))
        # Ordinary requests go to warm ones: what cold ones are like is no measure for these.
        warm = [b for b in pool if b.warm >= 1.0] or pool
        self.standing = max(0.0025, sum(b.health * b.health for b in warm) / len(warm))
        self._learn_pressure(dt, *self.waiting(requests, now))
        # What is carried now, in the unit of K; the counters' lingering part would answer a second late.
        carried = (self.sent_rate * self.linger_us / 1e6 + out) / sound
        self.sound, self.carried = sound, carried
        self._learn_k(carried, self.work_rate * self.linger_us / 1e6 / sound, dt)
        self.acc = max(0.0, 1.0 - carried / self.k)
        # A pick's Nm_i is never far from what is carried: in deep overload speeds must go on counting.
        k = load / sound / min(USED_BOUNDS[1], max(USED_BOUNDS[0], 1.0 - self.acc)) + 1.0
        for b, q in zip(pool, quality, strict=False):
            b.nm_full = k * q
            b.nm = b.nm_full * b.health * b.health
        self.mean_load = load / len(pool)

    def _learn_k(self, carried: float, offered: float, dt: int) -> None:
        edge = 1.0 / (1.0 - ACC_FLOOR)  # at CRITICAL, all that is asked brings ACC just to its floor
        # Before its first answers a node admits what is asked.  From them on K has its lag: those of the first second
        # come from lines that are still empty, and K that followed them let a fleet that had come back together take
        # whatever its callers asked again.
        young = not self.proven
        least = edge if young else 0.1
        # The more is late, the less counts what is asked beyond what is carried: refused callers ask again.
        times = min(4.0, max(least, edge + K_SLOPE * (CRITICAL - self.pressure)))
        beyond = min(1.0, max(0.0, (times - 1.0) / (edge - 1.0))) * max(0.0, offered - carried)
        want = (carried + beyond) * times
        # Servers that are late finish what they can carry: K falls short of it by as much as drains the line of what
        # waits, no further.  Nodes that all cut by lateness alone leave servers empty until they hear of it.
        done = edge * self.served_rate * self.linger_us / 1e6 / self.sound
        want = max(want, done * max(DRAIN, 1.0 - DRAIN * (self.pressure - CRITICAL)))
        if want > self.k and (young or self.acc > ACC_FLOOR):
            self.k = want  # all that is asked is answered promptly: a jump of it is no overload
        else:
            self.k += min(1.0, dt / K_LAG_US) * (want - self.k)
        self.k += 1.0

    def _set_horizon(self, backends: int) -> None:
        if self.rate <= 0.0:
            return
        want = min(LINGER_US[1], max(LINGER_US[0], LINGER_SENDS * 1e6 * backends / self.rate))
        ratio = want / self.linger_us
        if ratio > 1.3 or ratio < 0.7:
            self.linger_us = want

    def _learn_pressure(self, dt: int, num: float = 0.0, den: float = 0.0) -> None:
        fade = max(0.0, 1.0 - dt / EVIDENCE_US)
        if self.late_den > 0.0:
            self.proven += dt
        self.pressure = (self.late_num + num) / max(self.late_den + den, self.typical_work)
        self.late_num *= fade
        self.late_den *= fade


class Peers:
    """What other nodes say: what they have outstanding, and which backends discovery has told them to be out.

    The paper's switch saw all traffic, a node sees a sliver of it.  And where discovery has more callers than it can
    answer, some node has always heard of a drain before this one.

    A message is a row of triples (backend's tag, work in units): what is outstanding.  Then, if any backend is out,
    one triple (version of the sender's list, 0) and the tags of those, two bytes each.  A backend that two peers with
    newer lists than ours call out gets nothing new until discovery tells us ourselves; nothing else follows from it.
    """

    def __init__(self, settings: Settings, capacity: Capacity, rng: random.Random) -> None:
        self.count = settings.balancers - 1 if settings.may_tell_peers else 0
        self.capacity, self.rng = capacity, rng
        self.by_hash: dict[int, Backend] = {}
        self.heard: dict[int, tuple[int, list[tuple[Backend, int]]]] = {}
        self.tell_at = self.call_out_at = 0
        self.version = 0  # of discovery's list
        self.out: dict[int, int] = {}  # by tag: when discovery has told that a backend is out
        self.called_out: dict[int, int] = {}  # by tag: the first peer that calls a backend out
        self.spared: dict[int, int] = {}  # by tag: until when, for the word of two

    def told(self, event: BackendList, before: dict[int, Backend], now: int) -> None:
        """Discovery's own word: it ends what peers have said, and is what they are told."""
        self.version = event.version
        self.called_out.clear()
        self.spared.clear()
        draining = {tag for tag, b in self.by_hash.items() if b.drained}
        gone = self.out.keys() | before.keys()
        self.out = {
            tag: self.out.get(tag, now) for tag in sorted(draining | gone - self.by_hash.keys())
            if tag in draining or now - self.out.get(tag, now) < OUT_TOLD_US
        }

    def tell(self, pool: list[Backend], now: int) -> bytes | None:
        for peer in [p for p, (at, _) in self.heard.items() if now - at > PEER_STALE_US]:
            self._forget(peer)
        data = bytearray()
        if self.count and now >= self.tell_at:
            for b in sorted((b for b in pool if b.out), key=lambda b: (-b.out, b.id))[:PEER_MOST]:
                data += b.tag.to_bytes(2, "big")
                data.append(min(255, -(-b.out // PEER_UNIT_US)))
            data = data or bytearray(1)  # nothing outstanding, still to be said: no datagram is empty
            self.tell_at = now + self._pause(len(data), PEER_SHARE)
        tags = [tag for tag, at in self.out.items() if now - at < OUT_TOLD_US]
        if self.count and tags and now >= self.call_out_at:
            data = data[:len(data) // 3 * 3]
            size = len(data)
            data += (self.version & 0xFFFF).to_bytes(2, "big") + b"\0"
            for tag in self.rng.sample(tags, min(OUT_MOST, len(tags))):
                data += tag.to_bytes(2, "big")
            self.call_out_at = now + self._pause(len(data) - size, OUT_SHARE)
        return bytes(data) or None

    def _pause(self, size: int, share: float) -> int:
        """Between two messages of so many bytes, us: what all of them cost is a share of this node's requests."""
        units = self.count * max(8, size) / 256
        return int(max(INTERVAL_US, 1e6 * units / (share * max(1.0, self.capacity.rate)))
                   * (0.75 + 0.5 * self.rng.random()))

    def hear(self, event: PeerMessage, now: int) -> bool:
        """Whether another backend is spared from now on.  What is of another form than ``tell`` writes, a newer
        version's say, moves nothing."""
        data, told = event.data, list[tuple[Backend, int]]()
        end = next((i for i in range(0, len(data) - 2, 3) if not data[i + 2]), len(data) // 3 * 3)
        rest = len(data) - end  # none, the byte that says nothing, or a word on drains
        if rest and data != b"\0" and not (rest > 3 and rest % 2 and rest <= 3 + 2 * OUT_MOST):
            return False
        if len(data) < 3 or data[2]:  # else a word on drains alone, which leaves the peer's figures as they were
            self._forget(event.peer)
            self.heard[event.peer] = (now, told)
            self.capacity.weight = PEER_WEIGHT / self.capacity.senders
        at = 0
        while at + 2 < len(data) and data[at + 2]:
            b = self.by_hash.get(data[at] << 8 | data[at + 1])
            if b is not None:
                work = data[at + 2] * PEER_UNIT_US
                b.peers += work
                told.append((b, work))
            at += 3
        spares = False
        if at + 2 < len(data) and 0 < ((data[at] << 8 | data[at + 1]) - self.version) & 0xFFFF < 0x8000:
            for i in range(at + 3, len(data) - 1, 2):  # its list is newer than ours
                tag = data[i] << 8 | data[i + 1]
                if tag in self.by_hash and self.called_out.setdefault(tag, event.peer) != event.peer:
                    spares |= tag not in self.spared
                    self.spared[tag] = now + SPARED_US
        return spares

    def over(self, now: int) -> bool:
        """Whether a backend that was spared is so no longer: discovery has kept silent, and peers' word is old."""
        ended = [tag for tag, until in self.spared.items() if now >= until]
        for tag in ended:
            del self.spared[tag], self.called_out[tag]
        return bool(ended)

    def _forget(self, peer: int) -> None:
        for b, work in self.heard.pop(peer, (0, []))[1]:
            b.peers -= work


class Picker:
    """The largest AC(i), and the two exceptions: trials of suspects, budgets of cold backends."""

    def __init__(self, settings: Settings, capacity: Capacity, rng: random.Random) -> None:
        self.settings, self.capacity, self.rng = settings, capacity, rng
        self.pool: list[Backend] = []  # usable, in an order of this node's own
        self.ring: list[Backend] = []
        self.suspects: list[Backend] = []
        self.cold: list[Backend] = []
        self.home_cache: dict[str, list[Backend]] = {}
        self.turn = 0

    def set_pool(self, backends: list[Backend]) -> None:
        self.pool = backends[:]
        self.rng.shuffle(self.pool)
        self.ring = self.pool + self.pool[:SAMPLE]
        self.home_cache.clear()

    def sort_out(self) -> None:
        """Every Delta-t, and when the pool has changed: who is suspect, who is cold."""
        self.suspects = [b for b in self.pool if b.health < SUSPECT]
        self.cold = [b for b in self.pool if b.warm < 1.0]

    def draw(self, r: Request, now: int) -> Backend | None:
        """A cold backend that a request is part of the budget of, or none.

        Each request is offered to one cold backend, in turn, and taken with the probability that spends that one's
        budget since it was offered one before.  A node of a large fleet meets each backend seldom: asked only when
        they had the largest AC, cold ones were offered a tenth of their budgets and stood idle.  Each has a clock of
        its own: with one for all, a sound one got the parts of those that were suspect too, or too cold for most.
        """
        cold = self.cold
        if not cold:
            return None
        self.turn += 1
        b = cold[self.turn % len(cold)]
        if b.health < SUSPECT:
            # No more than one window's part is saved up for a trial, or for when it is sound again.
            b.drawn_at = max(b.drawn_at, now - self.settings.fall_us) if b.drawn_at >= 0 else -1
            return None
        window, rate = self.budget(b, now)
        if r.cost > COLD_HEAVY * window:
            return None
        fall = self.settings.fall_us
        elapsed = min(fall * len(cold), now - b.drawn_at) if b.drawn_at >= 0 else self.rng.random() * fall
        b.drawn_at = now
        chance = rate * elapsed / 1e6 / self.capacity.unit(r.cost)
        if chance > 1.0:  # the rest stays for the next
            b.drawn_at -= int(elapsed * (1.0 - 1.0 / chance))
        return b if self.rng.random() < chance else None

    def budget(self, b: Backend, now: int) -> tuple[float, float]:
        """What all nodes may send a cold backend within the time that it takes to fall over, us of work; and the
        rate of this node's part, us of work a second."""
        c, s = self.capacity, self.settings
        warm = s.warm_share(b.started_at, now)
        # A node that started a moment ago has a steady rate still on its way up; with that alone, nodes that come
        # back together starve the cold servers and push the warm ones over.
        per_unit = max(c.steady, c.served_rate / c.capacity_sum)
        if per_unit <= 0.0:
            per_unit = c.work_rate / len(self.pool)
        # Gentle while there is plenty; from an ordinary load on a cold server does its part like a warm one.
        plenty = max(0.0, c.acc - COLD_PLENTY) / (1.0 - COLD_PLENTY)
        rate = (1.0 - (1.0 - COLD_SAFETY) * plenty) * warm * per_unit * b.earned
        return s.fall_multiple * warm * per_unit * c.senders * s.fall_us / 1e6, rate

    def gate(self, b: Backend, cost: int, now: int) -> bool:
        """Whether a cold backend's own budget takes a request that nothing else is left for."""
        if self.settings.warm_share(b.started_at, now) >= 1.0:
            return True
        window, rate = self.budget(b, now)
        fall = self.settings.fall_us
        elapsed = min(fall, now - b.drawn_at) if b.drawn_at >= 0 else self.rng.random() * fall
        b.drawn_at = now
        return cost <= COLD_HEAVY * window and self.rng.random() * self.capacity.unit(cost) < rate * elapsed / 1e6

    def homes(self, key: str) -> list[Backend]:
        found = self.home_cache.get(key)
        if found is None:
            if len(self.home_cache) >= HOME_KEYS:
                self.home_cache.clear()
            data = key.encode()
            ranked = sorted((crc32(b.id.encode(), crc32(data)), b.id, b) for b in self.pool)
            found = self.home_cache[key] = [b for _, _, b in ranked[:HOMES]]
        return found

    def allowed(self, r: Request, now: int) -> list[Backend]:
        s, spec = self.settings, r.cls.spec
        return [
            b for b in self.pool
            if may_send(spec, r.attempts, b.zone, b.cell, now, r.limit, s.second_copies)
        ]

    def pick(self, r: Request, now: int, trial: bool) -> Backend | None:
        pool = self.pool
        size = len(pool)
        if not size:
            return None
        attempts = r.attempts
        if attempts:
            used = {a.backend for a in attempts}
            allowed = self.allowed(r, now)
            candidates = [b for b in allowed if b not in used] or allowed
        else:
            if trial and self.suspects:
                b = self.suspects[0]
                if now >= b.trial_at and b.usable and self.gate(b, r.cost, now):
                    b.put_off_trial(now)
                    self.suspects.append(self.suspects.pop(0))
                    return b
            drawn = self.draw(r, now)
            if drawn is not None:
                return drawn
            start = int(self.rng.random() * size)
            candidates = self.ring[start:start + SAMPLE] if size > SAMPLE else pool[start:] + pool[:start]
        available = self.capacity.ac
        best, best_ac = None, -1e30
        for b in candidates:
            if b.warm >= 1.0 and (ac := available(b)) > best_ac:
                best, best_ac = b, ac
        if best is None and not attempts:
            for b in pool:
                if b.warm >= 1.0 and (ac := available(b)) > best_ac:
                    best, best_ac = b, ac
        if best is None:
            for b in candidates:
                if self.gate(b, r.cost, now):
                    return b
        elif r.key is not None and not attempts:
            for b in self.homes(r.key):
                ac = available(b)
                if b.warm >= 1.0 and b.health >= SUSPECT and ac > best_ac - HOME_MARGIN * b.nm:
                    return b
        return best


class Admission:
    """P_j, Pa(j), tenants' shares."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng = rng
        self.refused = 0
        self.index: dict[str, int] = {}
        self.smooth: list[float] = []  # L_j
        self.smooth_work: list[float] = []
        self.pa: list[float] = []
        self.tenants: dict[str, list[float]] = {}
        self.change(settings)

    def change(self, settings: Settings) -> None:
        """New settings: classes and tenants that stay keep their figures."""
        self.settings = settings
        names = [c.name for c in settings.classes]
        half = len(self.index)
        # Where a class's figures stood, and the same beyond its tenant's share.
        old = [self.index.get(name) for name in names] + [
            self.index[name] + half if name in self.index else None for name in names
        ]

        def kept(row: list[float], new: float) -> list[float]:
            return [new if j is None else row[j] for j in old]

        self.lq = [0.0] * len(old)  # arrivals in this interval
        self.work = [0.0] * len(old)
        self.smooth, self.smooth_work = kept(self.smooth, 0.0), kept(self.smooth_work, 0.0)
        self.pa = kept(self.pa, 1.0)
        self.index = {name: i for i, name in enumerate(names)}
        share = settings.balancers
        self.tenants = {
            t.name: [t.quota_rps / share, *self.tenants.get(t.name, (0.0, 0.0, -1.0))[1:]] for t in settings.tenants
        }

    def over_share(self, tenant: str | None, now: int) -> bool:
        """Whether a request is beyond this node's part of its tenant's quota: a bucket of two seconds."""
        t = self.tenants.get(tenant) if tenant is not None else None
        if t is None:
            return False
        rate, tokens, at = t
        cap = max(2.0 * rate, 2.0)
        tokens = cap if at < 0 else min(cap, tokens + rate * (now - at) / 1e6)
        t[2] = now
        if tokens < 1.0:
            t[1] = tokens
            return True
        t[1] = tokens - 1.0
        return False

    def accept(self, index: int, cost: int) -> bool:
        self.lq[index] += 1.0
        self.work[index] += cost
        pa = self.pa[index]
        if pa >= 1.0 or self.rng.random() < pa:
            return True
        self.refused += 1
        return False

    def tick(self, acc: float, least: float = 0.0) -> None:
        """Every Delta-t: smooth the shares, then Pa.  ``least``: the share of offered work that passes at any ACC.

        As printed, Pa(j) sums to one over classes and prefers floods of cheap requests.  Here the same
        product, share x preference x (ACC x k), is scaled so that ACC x k is the accepted share of all
        offered work, and the preference is the class's worth for its work.
        """
        n = len(self.pa)
        for j in range(n):
            self.smooth[j] += ALPHA * (self.lq[j] - self.smooth[j])
            self.smooth_work[j] += ALPHA * (self.work[j] - self.smooth_work[j])
            self.lq[j] = self.work[j] = 0.0
        half = n // 2
        worth = self.settings.over_share_worth
        cheap = worth < BREAK_EVEN  # beyond the share it is worth less than the wait that it makes for the rest
        if acc > ACC_FLOOR:
            floor = ACC_FLOOR + (BEYOND_FLOOR - ACC_FLOOR) * (1.0 - worth / BREAK_EVEN)
            beyond = min(1.0, max(0.0, 0.5 + (acc - floor) / BEYOND_SPAN)) if cheap else 1.0
            self.pa = [1.0] * half + [beyond] * half
            return
        work, worths = self.smooth_work, [self._value(j) for j in range(n)]
        budget = least * sum(work)
        if cheap:  # what is beyond shares gets what the rest leaves
            usual = sum(work[:half])
            budget = max(budget, acc * ACC_SCALE * usual)
            self.pa = fill(work[:half], worths[:half], budget) + fill(work[half:], worths[half:], budget - usual)
        else:
            self.pa = fill(work, worths, max(budget, acc * ACC_SCALE * sum(work)))

    def _value(self, j: int) -> float:
        s = self.settings
        half = len(s.classes)
        value = s.classes[j % half].worth
        if not s.worth_by_work and self.smooth_work[j] > 0:
            value *= self.smooth[j] / self.smooth_work[j] * 1e4
        value += 3.0 * s.worst_class_weight * max(c.worth for c in s.classes) / 2
        return value * (s.over_share_worth if j >= half else 1.0) + 1e-6


def fill(work: list[float], values: list[float], budget: float) -> list[float]:
    pa = [0.0] * len(work)
    open_ = [j for j in range(len(work)) if work[j] > 0]
    for j in range(len(work)):
        if work[j] <= 0:
            pa[j] = 1.0
    while open_:
        weight = sum(work[j] * values[j] for j in open_)
        x = max(0.0, budget) / weight
        full = [j for j in open_ if x * values[j] >= 1.0]
        if not full:
            for j in open_:
                pa[j] = x * values[j]
            break
        for j in full:
            pa[j] = 1.0
            budget -= work[j]
        open_ = [j for j in open_ if pa[j] < 1.0]
    return pa


class Membership:
    """Discovery's list: who may be sent to, and how the list is followed."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.backends: dict[str, Backend] = {}
        self.wants = settings.must_subscribe
        self.ask_at: int | None = None
        self.failures = 0

    def start(self, now: int) -> None:
        if self.wants:
            self.ask_at = now + int(self.rng.random() * 0.4 * self.settings.ask_every_us)

    def take(self, event: BackendList, now: int) -> list[Backend]:
        fresh: list[Backend] = []
        if event.kind is ListKind.FAILED:
            if self.wants:
                # It stays short: the node that is turned away most often has the oldest list.
                self.failures += 1
                pause = min(0.8 * self.settings.ask_every_us, ASK_AGAIN_US[1], ASK_AGAIN_US[0] * 2**self.failures)
                self.ask_at = now + int(pause * (0.5 + self.rng.random()))
            return fresh
        if event.kind in (ListKind.DELTA, ListKind.FULL):
            self.failures = 0
        listed = set()
        for entry in event.entries:
            listed.add(entry.backend)
            b = self.backends.get(entry.backend)
            if b is None:
                b = self.backends[entry.backend] = Backend(entry)
                fresh.append(b)
                continue
            restarted = entry.started_at_us > b.started_at
            started = max(b.started_at, entry.started_at_us)
            b.place(entry)
            b.started_at = started
            if restarted:
                b.reset()
                fresh.append(b)
        # What is gone is forgotten: ids are ever new, and this table would only grow.  Attempts that are
        # still out hold on to theirs.
        last = {entry.backend: entry.health for entry in event.entries}
        gone = {id for id, health in last.items() if health is Health.GONE}
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            gone.update(id for id in self.backends if id not in listed)
        for id in gone:
            self.backends.pop(id).usable = False
        return [b for b in fresh if b.id not in gone]


class Balancer:
    """One node's decisions: ``handle`` takes what happened at ``now_us`` and returns what to do."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.capacity = Capacity(settings)
        self.picker = Picker(settings, self.capacity, self.rng)
        self.peers = Peers(settings, self.capacity, self.rng)
        self.admission = Admission(settings, self.rng)
        self.membership = Membership(settings, self.rng)
        self.classes = [ClassState(c, i) for i, c in enumerate(settings.classes)]
        self.by_name = {c.spec.name: c for c in self.classes}
        self.requests: dict[str, Request] = {}
        self.late: dict[str, Request] = {}  # over, with attempts still out
        self.costliest = cost_class(1000)
        self.retries, self.copies = RETRIES[0], COPIES[0] + COPIES_SHARED / settings.balancers
        self.reach = 1.0  # the share of the backends that this node may send to
        self.checks: list[tuple[int, int, Request]] = []
        self.serial = 0
        self.tick_at: int | None = None
        self.ticked_at = 0
        self.timer_at: int | None = None
        self.log_at = 0
        self.reasons: dict[str, int] = {}
        self.actions: list[Action] = []
        self.firsts = self.repeats = self.refused = self.failed = self.served = self.attempts = 0
        self.handlers = {
            RequestArrived: self._arrived,
            AttemptEnded: self._ended,
            StreamStarted: self._started,
            ClientGone: self._gone,
            BackendList: self._list,
            TimerFired: self._timer,
            ProbeEnded: self._nothing,
            PeerMessage: self._peer,
            SettingsChanged: self._settings_changed,
            Recalled: self._recalled,
        }

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        self.actions = []
        if self.tick_at is None:
            self.tick_at = now_us
            self.ticked_at = now_us - INTERVAL_US
            self.membership.start(now_us)
        handlers = self.handlers
        for event in events:
            handlers[type(event)](event, now_us)  # type: ignore[operator]
        if now_us >= self.tick_at:
            self._tick(now_us)
        checks = self.checks
        while checks and checks[0][0] <= now_us:
            self._check(heappop(checks)[2], now_us)
        self._arm(now_us)
        return self.actions

    def _arm(self, now: int) -> None:
        assert self.tick_at is not None
        due = self.tick_at
        if self.checks and self.checks[0][0] < due:
            due = self.checks[0][0]
        if self.timer_at is None or due < self.timer_at:
            self.timer_at = due
            self.actions.append(SetTimer(1, max(1, due - now)))

    def _timer(self, event: TimerFired, now: int) -> None:
        if self.timer_at is not None and now >= self.timer_at:
            self.timer_at = None

    def _set_pool(self) -> None:
        self.picker.set_pool([
            b for b in self.membership.backends.values() if b.usable and b.tag not in self.peers.spared
        ])
        self.picker.sort_out()

    def _peer(self, event: PeerMessage, now: int) -> None:
        if self.peers.hear(event, now):
            self._count("spared")
            self._set_pool()

    def _nothing(self, event: Event, now: int) -> None:
        """Probes are not used."""

    def _count(self, reason: str) -> None:
        self.reasons[reason] = self.reasons.get(reason, 0) + 1

    def _tick(self, now: int) -> None:
        dt = max(1, now - self.ticked_at)
        self.ticked_at = now
        self.tick_at = now + INTERVAL_US
        for cls in self.classes:
            cls.refit()
        if self.peers.spared and self.peers.over(now):
            self._set_pool()
        # A node that has stood still itself has answers yet to read: what seems to wait then says nothing.
        known = dt < STOOD_STILL * INTERVAL_US
        self.capacity.tick(self.picker.pool, now, dt, self.requests.values() if known else ())
        told = self.peers.tell(self.picker.pool, now)
        if told is not None:
            self.actions.append(TellPeers(told))
        self.picker.sort_out()
        c = self.capacity
        # Where all lines are full ACC is 0 until they have gone: what servers go on finishing is admitted meanwhile,
        # the most worth first, not nothing and then everything.
        self.admission.tick(c.acc, min(1.0, DRAIN * c.served_rate / max(1.0, c.work_rate)))
        m = self.membership
        if m.ask_at is not None and now >= m.ask_at:
            m.ask_at = None
            self.actions.append(Watch(True))
        if self.reasons and now >= self.log_at:
            self.log_at = now + LOG_EVERY_US
            why = " ".join(f"{k}={v}" for k, v in sorted(self.reasons.items()))
            self.actions.append(Log(
                f"ACC {c.acc:.2f} late {c.pressure:.2f} K {c.k:.0f} T {c.linger_us / 1e6:.1f}s"
                f" suspects {len(self.picker.suspects)}/{len(self.picker.pool)} {why}"
            ))

    # ------------------------------------------------------------ a request's life

    def _arrived(self, e: RequestArrived, now: int) -> None:
        cls = self.by_name.get(e.cls)
        if cls is None:
            cls = ClassState(RequestClass(e.cls, 1_000_000, 1_000_000, effect=Effect.FRAGILE), 0)
        if e.hint_us is None:
            cost = self.costliest
        else:
            cost = cost_class(e.hint_us)
            if cost > self.costliest:
                self.costliest = cost
        if e.is_repeat:
            self.repeats += 1
        else:
            self.firsts += 1
        r = Request(e.id, cls, cost, now, e.deadline_us, self.settings.max_attempts)
        self.capacity.offered_work += cost
        a = self.admission
        index = cls.index
        if a.tenants and a.over_share(e.tenant, now):
            index += len(self.classes)
        if not a.accept(index, cost):
            self._count("refused")
            self.refused += 1
            self.actions.append(Refuse(e.id, self._retry_after()))
            return
        self.retries = min(self.retries + RETRY_SHARE, RETRIES[1])
        self.copies = min(self.copies + COPY_SHARE, COPIES[1] + COPIES_SHARED / self.settings.balancers)
        if self.settings.warm_keys:
            r.key = e.key
        self.requests[e.id] = r
        self._dispatch(r, now, True)

    def _retry_after(self) -> int:
        s = self.settings
        return min(s.max_retry_after_us, 1_000_000) if s.retry_after else 0

    def _dispatch(self, r: Request, now: int, first: bool) -> None:
        s = self.settings
        margin = 2 * s.quantum_us
        if now >= r.deadline - margin:
            self._answer(r)
            return
        b = self.picker.pick(r, now, first and r.cls.spec.effect is not Effect.FRAGILE)
        if b is None:
            self._count("held")
            self._later(r, min(now + 50_000, r.deadline - margin))
            return
        self._send(r, b, now)

    def _send(self, r: Request, b: Backend, now: int) -> None:
        by = repeat_by(r.cls.spec, r.attempts)
        r.attempts.append(Attempt(b, now))
        self.attempts += 1
        self.capacity.send(b, r.cost)
        self.actions.append(Send(r.id, b.id, start_by_us=by))
        if r.cls.repeatable and len(r.attempts) < r.limit:
            wait = (1.5 if b.health < 0.6 else OVERDUE) * r.expect
            self._later(r, min(now + int(wait), r.deadline))

    def _later(self, r: Request, at: int) -> None:
        self.serial += 1
        at = -(-at // GRID_US) * GRID_US if at + GRID_US < r.deadline else at
        heappush(self.checks, (at, self.serial, r))

    def _check(self, r: Request, now: int) -> None:
        if r.id not in self.requests or r.streaming:
            return
        out = [a for a in r.attempts if a.in_flight]
        if not out:
            self._dispatch(r, now, False)
            return
        last = out[-1]
        if last.backend.last_ok >= last.sent_at:
            return
        if now - last.sent_at < 1.4 * r.expect:
            return
        self.capacity.blame(last.backend, SILENT, now)
        self._count("overdue")
        spec, s = r.cls.spec, self.settings
        aim_at = r.arrived + spec.aim_us
        worth_it = now + r.expect < (r.deadline if spec.late_worth > 0 else min(aim_at, r.deadline))
        if not worth_it or self.copies < 1.0 or self.capacity.acc <= ACC_FLOOR:
            return
        if s.second_copies and len(out) == 1:
            b = self.picker.pick(r, now, False)
            if b is not None and b is not last.backend:
                self.copies -= 1.0
                self._count("copied")
                self._send(r, b, now)
        elif not s.second_copies and s.may_cancel:
            self._count("replaced")
            self.copies -= 1.0
            self.actions.append(CancelAttempt(r.id, len(r.attempts) - 1))

    def _ended(self, e: AttemptEnded, now: int) -> None:
        r = self.requests.get(e.id) or self.late.get(e.id)
        if r is None or e.attempt >= len(r.attempts):
            return
        a = r.attempts[e.attempt]
        if not a.in_flight:
            return
        a.in_flight = False
        outcome = e.outcome
        if outcome in NEVER_RAN:
            a.may_have_run = False
            self.capacity.sent_work -= r.cost  # it is carried by nobody
        self.capacity.done(a.backend, r.cost)
        self.capacity.learn(a.backend, r, outcome, e.latency_us, now)
        live = e.id in self.requests
        if not live or e.final:
            self.served += live and outcome is OK
            self._over(r)
            return
        if any(x.in_flight for x in r.attempts):
            return
        if now >= r.deadline - 2 * self.settings.quantum_us or outcome is TIMEOUT:
            self._answer(r)
            return
        # Repeats of the turned-away too, which made a storm of their own; not of what never left the node.
        if outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            if self.retries < 1.0:
                self._answer(r)
                return
            self.retries -= 1.0
        if not self.picker.allowed(r, now):
            self._answer(r)
            return
        self._count("again")
        self._dispatch(r, now, False)

    def _over(self, r: Request) -> None:
        """The request has its answer; attempts still out are called off where that is allowed."""
        was_live = self.requests.pop(r.id, None) is not None
        out = [i for i, a in enumerate(r.attempts) if a.in_flight]
        if not out:
            self.late.pop(r.id, None)
            return
        self.late[r.id] = r
        if was_live and self.settings.may_cancel and not r.streaming:
            for i in out:
                self.actions.append(CancelAttempt(r.id, i))

    def _answer(self, r: Request) -> None:
        """The final answer that nothing was served."""
        if may_refuse(r.cls.spec, r.attempts) and not any(a.may_have_run for a in r.attempts):
            self.actions.append(Refuse(r.id, self._retry_after()))
            self.refused += 1
        else:
            self.actions.append(Fail(r.id))
            self.failed += 1
        self._over(r)

    def avoided(self) -> int:
        """How many listed backends get no ordinary request now: draining, out of reach or suspect."""
        return sum(1 for b in self.membership.backends.values() if not b.usable or b.health < SUSPECT)

    def belief(self) -> Belief:
        """What stands behind the decisions since the last tick; the host asks after one."""
        c = self.capacity
        servers = [
            BackendBelief(b.id, b.health, b.nm, b.out, b.warm, b.usable) for b in self.membership.backends.values()
        ]
        return Belief(
            self.ticked_at, c.k, c.acc, c.sound, c.carried, c.linger_us, c.pressure, self.retries, self.firsts,
            self.repeats, self.refused, self.failed, self.served, self.attempts, servers,
        )

    def _started(self, e: StreamStarted, now: int) -> None:
        r = self.requests.get(e.id)
        if r is None:
            return
        r.streaming = True
        # A second copy can no longer become the answer: it must not run on beside the first.
        if self.settings.may_cancel:
            for i, a in enumerate(r.attempts):
                if a.in_flight and i != e.attempt:
                    self.actions.append(CancelAttempt(r.id, i))

    def _gone(self, e: ClientGone, now: int) -> None:
        r = self.requests.get(e.id)
        if r is not None:
            self._over(r)

    def experience(self) -> Experience:
        """What was learned, for the process that comes after this one; the host asks for it."""
        c, a = self.capacity, self.admission
        half = len(self.classes)
        return Experience(
            {name: getattr(c, name) for name in CAPACITY_FIGURES}, {k: v[:] for k, v in c.kinds.items()},
            {s.spec.name: [getattr(s, name) for name in CLASS_FIGURES] for s in self.classes},
            {name: [x[j] for j in (i, i + half) for x in (a.smooth, a.smooth_work)] for name, i in a.index.items()},
            {name: t[1:] for name, t in a.tenants.items()}, self.costliest, self.retries,
            [
                ServerExperience(b.id, b.started_at, b.health, b.seen, b.expected, b.linger + b.out, b.last_ok,
                                 b.trial_at, b.trial_pause)
                for b in self.membership.backends.values()
            ],
        )

    def _recalled(self, e: Recalled, now: int) -> None:
        """Go on from what another process has learned of the backends, classes and tenants that are here too."""
        x, c, a = e.experience, self.capacity, self.admission
        half = len(self.classes)
        for name in CAPACITY_FIGURES:
            setattr(c, name, type(getattr(c, name))(x.capacity.get(name, getattr(c, name))))
        c.kinds.update({kind: v[:] for kind, v in x.kinds.items() if kind in c.kinds})
        for cls in self.classes:
            for name, value in zip(CLASS_FIGURES, x.classes.get(cls.spec.name, ()), strict=False):
                setattr(cls, name, type(getattr(cls, name))(value))
        for name, i in a.index.items():
            if name in x.shares:
                a.smooth[i], a.smooth_work[i], a.smooth[i + half], a.smooth_work[i + half] = x.shares[name]
        for name, t in a.tenants.items():
            t[1:] = x.tenants.get(name, t[1:])
        self.costliest = max(self.costliest, x.costliest)
        self.retries = min(RETRIES[1], max(0.0, x.retries))
        for s in x.servers:
            b = self.membership.backends.get(s.id)
            if b is None or abs(b.started_at - s.started_at_us) > 1_000_000:
                continue  # it has started anew since, and is another one by now
            b.health, b.seen, b.expected, b.linger = s.health, s.seen, s.expected, s.linger
            b.last_ok, b.trial_at, b.trial_pause = s.last_ok, s.trial_at, s.trial_pause
        m = self.membership
        if m.wants and e.soon:
            m.ask_at = now + int(self.rng.random() * RECALLED_ASK_US)
        self.tick_at = now  # Nm_i follow from all this

    def _settings_changed(self, e: SettingsChanged, now: int) -> None:
        """What was learned of backends, K and classes that stay is kept; requests under way hold on to the class
        that they came under."""
        s = self.settings = e.settings
        self.capacity.settings = self.picker.settings = self.membership.settings = s
        self.admission.change(s)
        self.peers.count = s.balancers - 1 if s.may_tell_peers else 0
        self.capacity.senders = max(1.0, s.balancers * self.reach)
        self.membership.wants = s.must_subscribe
        self.classes = [self._class(spec, i) for i, spec in enumerate(s.classes)]
        self.by_name = {c.spec.name: c for c in self.classes}

    def _class(self, spec: RequestClass, index: int) -> ClassState:
        before = self.by_name.get(spec.name)
        if before is not None and before.spec == spec:
            before.index = index
            return before
        state = ClassState(spec, index)
        if before is not None:
            for name in CLASS_FIGURES:
                setattr(state, name, getattr(before, name))
        return state

    def _list(self, e: BackendList, now: int) -> None:
        fresh = self.membership.take(e, now)
        c = self.capacity
        if e.kind is ListKind.FAILED:
            return
        self.reach = e.reach
        c.senders = max(1.0, self.settings.balancers * e.reach)
        before = self.peers.by_hash
        self.peers.by_hash = {b.tag: b for b in self.membership.backends.values()}
        if e.kind is not ListKind.REACH:
            self.peers.told(e, before, now)
        for b in self.membership.backends.values():
            c.kinds.setdefault(b.kind, [0.0, 0.0])
        self._set_pool()
        for b in fresh:
            b.warm = self.settings.warm_share(b.started_at, now)
            b.nm_full = b.nm = c.k * b.warm
            b.linger = c.mean_load * b.warm * (0.5 + self.rng.random())
        self.picker.sort_out()
