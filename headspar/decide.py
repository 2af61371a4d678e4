"""Load-balancing and admission decisions of a headspar node.  The types are in ``headspar/interface.py``.

The mechanism is that of Sharifian, Motamedi and Akbari, "Estimation-Based Load-Balancing with Admission Control for
Cluster Web Servers".  Names are the paper's:

  W(j)   weight of cost class j: how many of its requests equal one request of the costliest class.  Here
         classes are half-octave buckets of the cost hint; 1/W(j) is kept as the bucket's mid-point in
         microseconds of work, the same ratio in another unit.  A request without a valid hint is counted in
         the costliest class seen.
  n(i,j) this node's outstanding requests of class j at backend i.
  Nm_i   the critical amount of this node's work at backend i.  It is learned: timeouts, errors, "full"
         responses and failed connections lower it, prompt responses raise it.
  AC(i)  = Nm_i - sum_j n(i,j)/W(j), the available capacity.  A request goes to the backend with the largest
         AC(i).
  ACC    the fleet's average AC(i)/Nm_i.  While it is at or below 0.3, a request of class j is accepted with
         probability Pa(j), which falls with ACC x k, k = 1/0.3.  Above 0.3 every request is accepted.

The classes below extend this to a fleet of many nodes.  Each owns its part of the state:

  Capacity    n(i,j), Nm_i.  One node sends only a small part of a backend's load, often less than one request
              at a time, so the work of a request also counts as decaying load: it is added at the send and
              decays over a horizon T, whether or not the request has completed.
              Nm_i = K x speed_i x health_i^2 x warm_i, where K is this node's critical work for an average
              backend, raised while latencies are well below their aims and lowered while they are not;
              speed_i is expected over observed latency, pooled over machines of a kind; health_i falls with
              failures; warm_i is the share of its capacity that a cold backend is presumed to have.
  Picker      the largest AC(i) in a random sample, probe requests to unhealthy backends, the budget of cold ones.
  Peers       the outstanding work that other nodes report, subtracted from AC(i) by this node's share of it.
  Admission   shares P_j, ACC, Pa(j), with the worth of classes and the shares of tenants.
  Membership  discovery's list, its watch, drains and cold starts.
  Balancer    the life of a request: attempts, safe retries, overdue attempts and the final response in time.

``may_send`` and ``may_refuse`` are the only places that state when a request may be repeated or refused.
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
# ---- constants of this implementation
INTERVAL_US = 200_000  # Delta-t
SAMPLE = 24  # backends compared for a pick
HORIZON_SENDS = 0.6  # sends to a backend within the horizon T
HORIZON_BOUNDS_US = (200_000, 5_000_000)  # minimum and maximum of T
CRITICAL = 0.62  # lateness in aims at which the offered load brings ACC to its floor
# bounds of the share of Nm_i that a pick assumes in use; low ones send too much to the fastest backends
USED_BOUNDS = (0.95, 0.97)
EVIDENCE_DECAY_US = 1_000_000  # time constant of lateness
# per aim of lateness; if steeper, all nodes refuse and admit in step, as lateness reports load of a second ago or
# more
K_SLOPE = 1.5
K_LAG_US = 1_000_000  # time constant of K
QUEUE_DRAIN_SHARE = 0.7  # minimum share of the completed work that is admitted, and the cut per aim of lateness
PAUSE_RATIO = 1.5  # tick intervals between two ticks from which the node's own process has been paused
OVERLOAD_LATENESS = 1.0  # lateness in aims above which the completion rate no longer measures capacity
BREAK_EVEN_WORTH = 0.2  # worth beyond a share from which early refusal costs more than the capacity it frees
# like ACC_FLOOR, for requests of no worth: about the ACC at which responses come without queueing
OVER_SHARE_ACC_FLOOR = 0.57
OVER_SHARE_ACC_SPAN = 0.1  # width of the ramp of ACC around that floor
PEER_WEIGHT = 0.7  # of peers' outstanding work in AC(i), divided by the nodes that send to the backend
PEER_MESSAGE_SHARE = 0.4  # full messages per request; at one point per message, 0.4 points per request
PEER_STALE_US = 3_000_000  # age at which a peer's report is dropped
PEER_UNIT_US = 4_096  # work per unit in a message
PEER_MAX_BACKENDS = 70  # backends in a message of at most 256 bytes, not counting those reported as out
OUT_REPORT_US = 6_000_000  # how long this node reports a backend to peers as out
OUT_MAX_BACKENDS = 20  # backends reported as out in one message
OUT_MESSAGE_SHARE = 0.3  # full messages per request, for backends reported as out
AVOID_US = 10_000_000  # how long a backend is avoided on peers' reports alone
SPEED_MEMORY_US = 12_000_000  # time constant of latencies, at least
PRIOR_REQUESTS = 3.0  # weight of the prior of a backend's speed, in typical requests
UNHEALTHY = 0.4  # health below which a backend is unhealthy
DEPENDENCY_WAIT_SHARE = 0.8  # share of a class's base latency that is taken for waits on dependencies
OVERDUE_FACTOR = 0.5  # of health, for an overdue attempt without any answer from the backend since
OVERDUE = 2.5  # times the expected latency, from which an attempt is overdue
RETRY_SHARE = 0.1  # retry tokens earned per admitted request
RETRY_TOKENS = (10.0, 20.0)  # retry tokens: initial, maximum
# tokens earned per admitted request for hedged requests and replaced attempts, which only assume that another server
# is faster
HEDGE_SHARE = 0.1
# All nodes of a fleet spend these tokens in the same second, when latencies rise, so most of them are a fixed number
# for the whole fleet.
HEDGE_TOKENS = (1.0, 3.0)  # tokens of one node: initial, maximum
FLEET_HEDGE_TOKENS = 20.0  # tokens of the fleet, divided evenly among its nodes
COLD_SAFETY = 0.5  # share of its budget that a cold backend gets at an ACC of 1
COLD_PLENTY = 0.6  # ACC up to which a cold backend gets its whole budget
# maximum of the multiplier of a cold backend's budget, as a share of the multiple at which it fails
COLD_MULTIPLIER_SHARE = 2 / 3
PREFERRED = 2  # preferred backends of a key
PREFERRED_MARGIN = 1.5  # of Nm_i, by which the AC of a preferred backend may be below the best
PREFERRED_CACHE_KEYS = 10_000  # keys whose preferred backends are cached
COLD_MAX_COST_SHARE = 0.1  # maximum size of a request, as a share of a cold backend's budget for the time fall_us
# subtracted from the deduplication window: a node may stall this long between its decision and the write
WINDOW_MARGIN_US = 150_000
KNOWN_ANSWERS = 20  # answers from which the work of a typical request is known
PROBE_PAUSE_US = (1_000_000, 8_000_000)  # pause between probe requests to an unhealthy backend: first, maximum
LOG_EVERY_US = 10_000_000  # minimum time between two log lines with the counts of reasons
CHECK_GRID_US = 20_000  # checks are aligned to multiples of it
# ---- attributes that are handed over to the next process, under these names
CAPACITY_FIGURES = (
    "k", "linger_us", "rate", "work_rate", "served_rate", "steady", "sent_rate", "late_num", "late_den", "pressure",
    "proven", "typical_work", "typical_own", "mean_load", "acc", "ticks",
)
CLASS_FIGURES = ("count", "m_lat", "m_cost", "v_cost", "cov", "base", "slope")
WATCH_RETRY_US = (500_000, 2_000_000)  # half the first pause after a failed call to discovery, and the maximum pause
RESTORED_WATCH_US = 500_000  # a new process starts its watch within this time, as the old process stops soon

OK, ERROR, FULL, TIMEOUT = Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
HEALTH_AFTER = {  # factor of health by outcome
    ERROR: 0.75,
    FULL: 0.85,
    TIMEOUT: 0.5,
    Outcome.CONNECT_FAILED: 0.4,
    Outcome.RESET: 0.4,
}


class Backend:
    """What this node knows of one backend."""

    __slots__ = (
        "id", "tag", "zone", "kind", "cell", "usable", "drained", "started_at", "n", "outstanding", "decaying",
        "seen", "expected", "health", "warm", "nm", "nm_full", "peers", "probe_at", "probe_pause", "last_ok",
        "budget_at", "multiplier",
    )

    def __init__(self, entry: BackendEntry) -> None:
        self.id = entry.backend
        self.tag = crc32(self.id.encode()) & 0xFFFF
        self.outstanding = 0  # sum_j n(i,j)/W(j), us of work; exact, as the mid-points are integers
        self.peers = 0  # outstanding work of other nodes, as last reported, us
        self.n: dict[int, int] = {}  # n(i,j) by the class's 1/W(j)
        self.apply_entry(entry)
        self.reset()

    def apply_entry(self, entry: BackendEntry) -> None:
        """Take over the fields of a new entry of discovery's list."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.drained = entry.health is not Health.READY
        self.usable = entry.reachable and not self.drained
        self.started_at = entry.started_at_us

    def reset(self) -> None:
        """Discard what has been learned, as for a new server."""
        self.decaying = 0.0
        self.seen = self.expected = 0.0
        self.health = self.warm = 1.0
        self.nm = self.nm_full = 0.0
        self.probe_at, self.probe_pause = 0, PROBE_PAUSE_US[0]
        self.last_ok = -1
        # time up to which its cold budget has been spent, by a draw or as the only choice; -1: never
        self.budget_at = -1
        # multiplier of its budget while it is cold: how prompt it is compared with the warm backends
        self.multiplier = 1.0

    def postpone_probe(self, now: int) -> None:
        """Schedule the next probe request; the pause doubles up to its maximum."""
        self.probe_at = now + self.probe_pause
        self.probe_pause = min(PROBE_PAUSE_US[1], 2 * self.probe_pause)


class Attempt:
    """One attempt of a request; its zone and cell decide where a repeat may go."""

    __slots__ = ("backend", "zone", "cell", "sent_at", "may_have_run", "in_flight")

    def __init__(self, backend: Backend, now: int) -> None:
        self.backend, self.zone, self.cell, self.sent_at = backend, backend.zone, backend.cell, now
        self.may_have_run = True
        self.in_flight = True


def repeat_by(cls: RequestClass, attempts: Iterable[Attempt]) -> int:
    """The latest time, in us, at which another attempt may be written; 0 if the class and the attempts so far set no
    limit."""
    if cls.effect is not Effect.DEDUP:
        return 0
    margin = min(WINDOW_MARGIN_US, cls.window_us // 2)
    return min((a.sent_at + cls.window_us - margin for a in attempts if a.may_have_run), default=0)


def may_send(
    cls: RequestClass, attempts: list[Attempt], zone: str, cell: int, now: int, limit: int, copies: bool
) -> bool:
    """Whether another attempt may go to a backend in ``zone`` and ``cell``.  ``limit``: the maximum number of
    attempts; ``copies``: whether attempts may run concurrently."""
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
    """Whether the request may be answered with a refusal, after which the client may safely try again."""
    if cls.effect is Effect.RETRYABLE:
        return True
    if cls.effect is Effect.DEDUP and cls.group is Group.ALL:
        return True
    return not any(a.may_have_run for a in attempts)


def cost_class(hint_us: int) -> int:
    """1/W(j) of the half-octave bucket of a hint: the bucket's mid-point in us of work."""
    if hint_us < 4:
        return 4
    shift = hint_us.bit_length() - 2  # the two leading bits select the half-octave
    return ((hint_us >> shift) * 2 + 1) << (shift - 1)


class Request:
    """A request that this node has accepted and not yet answered."""

    __slots__ = ("id", "cls", "cost", "arrived", "deadline", "limit", "attempts", "expect", "streaming", "key")

    def __init__(self, id: str, cls: ClassState, cost: int, arrived: int, deadline: int, limit: int) -> None:
        self.id, self.cls, self.cost, self.arrived, self.deadline = id, cls, cost, arrived, deadline
        self.limit = limit  # maximum number of attempts
        self.attempts: list[Attempt] = []
        self.expect = cls.base + cls.slope * cost
        self.streaming = False
        self.key: str | None = None


class ClassState:
    """Latency model of one request class, base + slope x work: the latency to expect from a healthy backend, in
    us."""

    __slots__ = ("spec", "index", "count", "m_lat", "m_cost", "v_cost", "cov", "base", "slope", "repeatable")

    def __init__(self, spec: RequestClass, index: int) -> None:
        self.spec, self.index = spec, index
        self.repeatable = spec.effect is not Effect.FRAGILE
        self.count = 0
        self.m_lat = self.m_cost = self.v_cost = self.cov = 0.0
        self.base, self.slope = 0.1 * spec.aim_us, 1.0

    def learn(self, cost: int, latency: int) -> None:
        """Add one observation to the exponentially weighted means, variance and covariance."""
        self.count += 1
        a = max(0.01, 1.0 / self.count)
        dc, dl = cost - self.m_cost, latency - self.m_lat
        self.m_cost += a * dc
        self.m_lat += a * dl
        b = 1.0 - a
        self.v_cost = b * (self.v_cost + a * dc * dc)
        self.cov = b * (self.cov + a * dc * dl)

    def refit(self) -> None:
        """Fit base and slope by least squares, from eight observations on."""
        if self.count < 8 or self.v_cost <= 0.0:
            return
        self.slope = max(0.0, self.cov / self.v_cost)
        self.base = max(0.0, self.m_lat - self.slope * self.m_cost)


class Capacity:
    """n(i,j), Nm_i and the observations from which they are learned."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.k = 0.0
        self.linger_us = 1_000_000.0  # T
        self.rate = 0.0  # sends per second
        self.work_rate = 0.0  # us of work per second offered to this node
        self.served_rate = 0.0  # us of work per second that was completed
        self.steady = 0.0  # us of work per second that a warm backend completes for this node
        self.peer_weight = 0.0  # weight of peers' outstanding work in AC(i)
        self.senders = float(settings.balancers)  # number of nodes that send to one backend
        self.sent_rate = 0.0  # us of work per second that this node has sent recently
        self.sent = self.sent_work = 0
        self.offered_work = 0
        self.served_work = 0
        self.answers = 0
        self.late_num = self.late_den = 0.0
        self.pressure = 0.0  # mean lateness in aims
        self.proven = 0  # us with observations of latency
        self.typical_work = 10_000.0  # work of a typical request, us
        self.typical_own = 50_000.0  # expected latency of a typical request without the waits on dependencies, us
        self.mean_load = 0.0  # us of work per backend, decaying load and peers' work included
        self.kinds: dict[str, list[float]] = {}  # sums of observed and expected latency by kind of machine
        self.acc = 1.0
        self.effective_backends = self.carried = 0.0  # as in ``Belief``
        self.capacity_sum = 1.0  # sum of warm_i
        self.ticks = 0
        self.mean_squared_health = 1.0  # mean of health_i^2 over the warm backends

    def send(self, b: Backend, cost: int) -> None:
        """Count an attempt at its send."""
        b.n[cost] = b.n.get(cost, 0) + 1
        b.outstanding += cost
        b.decaying += cost
        self.sent += 1
        self.sent_work += cost

    def ac(self, b: Backend) -> float:
        """AC(i), with decaying load and this node's share of the peers' outstanding work subtracted."""
        return b.nm - b.decaying - b.outstanding - self.peer_weight * b.peers

    def budget_cost(self, cost: int) -> float:
        """What one request takes from a cold backend's budget, us of work: the same for all requests.  With the
        hint's work instead, a cold backend received light requests: 2.8 times its share of the requests with its
        share of the work."""
        return self.typical_work if self.answers >= KNOWN_ANSWERS else max(cost, self.typical_work)

    def complete(self, b: Backend, cost: int) -> None:
        """Count an attempt at its end."""
        b.n[cost] -= 1
        b.outstanding -= cost

    def learn(self, b: Backend, r: Request, outcome: Outcome, latency: int, now: int) -> None:
        """Update health, speed and lateness of a backend from the outcome of one attempt."""
        if outcome is OK:
            b.health += 0.3 * (1.0 - b.health)
            b.last_ok = now
            self.served_work += r.cost
            b.probe_pause = PROBE_PAUSE_US[0]
            # Both latencies without the waits on dependencies.
            expected = max(0.2 * r.expect, r.expect - DEPENDENCY_WAIT_SHARE * r.cls.base)
            observed = max(0.1 * expected, latency - (r.expect - expected))
            b.seen += observed
            b.expected += expected
            kind = self.kinds[b.kind]
            kind[0] += observed
            kind[1] += expected
            self.typical_own += 0.02 * (expected - self.typical_own)
            self.answers += 1
            self.typical_work += max(0.02, 1.0 / self.answers) * (r.cost - self.typical_work)
            r.cls.learn(r.cost, latency)
            weight = r.cost * self.evidence_weight(b)
            self.late_num += weight * self.lateness(r, latency)
            self.late_den += weight
            return
        factor = HEALTH_AFTER.get(outcome)
        if factor is None or (outcome is TIMEOUT and latency < r.expect):
            return
        if outcome is FULL or outcome is TIMEOUT:
            weight = r.cost * self.evidence_weight(b)
            self.late_den += weight
            self.late_num += 2.0 * weight
        self.penalize(b, factor, now)

    def evidence_weight(self, b: Backend) -> float:
        """Weight of a backend's lateness in K: its squared health relative to the mean of the warm backends, at most
        1.  A backend that alone refuses everything is unhealthy and gives no information on the capacity of healthy
        ones; where most backends refuse, the fleet is overloaded and each of them counts."""
        return min(1.0, b.health * b.health / self.mean_squared_health)

    def lateness(self, r: Request, wait: int) -> float:
        """Latency relative to the request's aim, at most 2."""
        return min(2.0, wait / (r.cls.spec.aim_us + r.cls.spec.aim_stretch * r.cost))

    def pending_lateness(self, requests: Iterable[Request], now: int) -> tuple[float, float]:
        """What the attempts in flight add to late_num and late_den if they are late already, as if they were answered
        now.

        The lateness of an answer reflects the queue at the time of the send; a growing queue would show only after it
        has grown.
        """
        num = den = 0.0
        for r in requests:
            for a in r.attempts:
                if a.in_flight and (late := self.lateness(r, now - a.sent_at)) > CRITICAL:
                    weight = r.cost * self.evidence_weight(a.backend)
                    num += weight * late
                    den += weight
        return num, den

    def penalize(self, b: Backend, factor: float, now: int) -> None:
        """Multiply the health of a backend by ``factor`` and postpone the next probe request if it is unhealthy."""
        b.health = max(0.05, b.health * factor)
        b.nm = b.nm_full * b.health * b.health
        if b.health < UNHEALTHY and now >= b.probe_at:
            b.postpone_probe(now)

    def tick(self, pool: list[Backend], now: int, dt: int, requests: Iterable[Request] = ()) -> None:
        """Every Delta-t: apply decay and update rates, Nm_i, K and ACC."""
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
        decay = exp(-dt / self.linger_us)
        memory = max(SPEED_MEMORY_US, 3.0 * self.linger_us)
        fade = max(0.0, 1.0 - dt / memory)
        prior = PRIOR_REQUESTS * self.typical_own
        kinds: dict[str, float] = {}
        for kind, sums in self.kinds.items():
            sums[0] *= fade
            sums[1] *= fade
            kinds[kind] = (sums[0] + prior) / (sums[1] + prior)
        load = 0.0
        outstanding = 0
        quality: list[float] = []
        cold: list[tuple[Backend, float]] = []
        seen = expected = prior  # sums over the warm backends
        for b in pool:
            b.decaying *= decay
            b.seen *= fade
            b.expected *= fade
            latency_ratio = (b.seen + prior * kinds[b.kind]) / (b.expected + prior)
            b.warm = self.settings.warm_share(b.started_at, now)
            q = min(3.0, max(0.15, 1.0 / latency_ratio)) * b.warm
            quality.append(q)
            if b.warm < 1.0:
                cold.append((b, latency_ratio))
            else:
                seen += b.seen
                expected += b.expected
            load += b.decaying + b.outstanding + self.peer_weight * b.peers
            outstanding += b.outstanding
        # The capacity that a cold backend is presumed to have is well below what most have.  Its budget is raised
        # while warm backends are late and it is prompt.
        max_multiplier = max(1.0, COLD_MULTIPLIER_SHARE * self.settings.fall_multiple)
        for b, latency_ratio in cold:
            b.multiplier = min(max_multiplier, max(1.0, seen / expected / latency_ratio))
        self.capacity_sum = sum(b.warm for b in pool)
        if self.capacity_sum > 0.5 * len(pool):
            per_unit = self.served_rate / self.capacity_sum
            if per_unit > self.steady or self.pressure <= OVERLOAD_LATENESS:
                self.steady += a * (per_unit - self.steady)
        effective = sum(q * b.health * b.health for b, q in zip(pool, quality, strict=False))
        # Ordinary requests go to warm backends, so the health of cold ones is left out of the mean.
        warm = [b for b in pool if b.warm >= 1.0] or pool
        self.mean_squared_health = max(0.0025, sum(b.health * b.health for b in warm) / len(warm))
        self._learn_pressure(dt, *self.pending_lateness(requests, now))
        # Current load in the unit of K.  The counters' decaying load would lag by a second.
        carried = (self.sent_rate * self.linger_us / 1e6 + outstanding) / effective
        self.effective_backends, self.carried = effective, carried
        self._learn_k(carried, self.work_rate * self.linger_us / 1e6 / effective, dt)
        self.acc = max(0.0, 1.0 - carried / self.k)
        # The Nm_i used for picks stay close to the current load: in deep overload, differences in speed must still
        # count.
        k = load / effective / min(USED_BOUNDS[1], max(USED_BOUNDS[0], 1.0 - self.acc)) + 1.0
        for b, q in zip(pool, quality, strict=False):
            b.nm_full = k * q
            b.nm = b.nm_full * b.health * b.health
        self.mean_load = load / len(pool)

    def _learn_k(self, carried: float, offered: float, dt: int) -> None:
        """Move K towards the load at which latencies meet their aims.  ``carried``: current load, ``offered``: load
        if every offered request was accepted, both in the unit of K."""
        edge = 1.0 / (1.0 - ACC_FLOOR)  # at a lateness of CRITICAL, the offered load brings ACC just to its floor
        # Before its first answers a node admits the offered load.  After them K changes with a lag: the answers of
        # the first second come from empty queues, and a K that followed them at once let a fleet that had recovered
        # together accept all retries of its clients.
        no_evidence = not self.proven
        min_multiple = edge if no_evidence else 0.1
        # With rising lateness, offered load beyond the current load counts less, as refused clients retry.
        multiple = min(4.0, max(min_multiple, edge + K_SLOPE * (CRITICAL - self.pressure)))
        extra = min(1.0, max(0.0, (multiple - 1.0) / (edge - 1.0))) * max(0.0, offered - carried)
        target = (carried + extra) * multiple
        # Late servers complete what they can.  K stays below that rate only by as much as drains their queues.  Nodes
        # that all cut by lateness alone leave servers idle until lower latencies are observed.
        completed = edge * self.served_rate * self.linger_us / 1e6 / self.effective_backends
        target = max(target, completed * max(QUEUE_DRAIN_SHARE, 1.0 - QUEUE_DRAIN_SHARE * (self.pressure - CRITICAL)))
        if target > self.k and (no_evidence or self.acc > ACC_FLOOR):
            self.k = target  # latencies are low at the offered load: a jump of the load is no overload
        else:
            self.k += min(1.0, dt / K_LAG_US) * (target - self.k)
        self.k += 1.0

    def _set_horizon(self, backends: int) -> None:
        """Choose T so that a backend gets about HORIZON_SENDS sends from this node within it."""
        if self.rate <= 0.0:
            return
        target = min(HORIZON_BOUNDS_US[1], max(HORIZON_BOUNDS_US[0], HORIZON_SENDS * 1e6 * backends / self.rate))
        ratio = target / self.linger_us
        if ratio > 1.3 or ratio < 0.7:
            self.linger_us = target

    def _learn_pressure(self, dt: int, num: float = 0.0, den: float = 0.0) -> None:
        """Update the mean lateness, the attempts in flight (``num``, ``den``) included, and decay the evidence."""
        fade = max(0.0, 1.0 - dt / EVIDENCE_DECAY_US)
        if self.late_den > 0.0:
            self.proven += dt
        self.pressure = (self.late_num + num) / max(self.late_den + den, self.typical_work)
        self.late_num *= fade
        self.late_den *= fade


class Peers:
    """Messages between nodes: outstanding work, and the backends that discovery has reported as out.

    The paper's switch sees all traffic, a node only a small part of it.  And where discovery has more callers than it
    can answer, other nodes learn of a drain before this one.

    A message is a sequence of triples (backend's tag of two bytes, work in units of PEER_UNIT_US): the outstanding
    work.  If any backend is out, a triple (version of the sender's list, 0) follows, and the tags of those backends,
    two bytes each.  If two peers with newer lists than this node's report a backend as out, this node sends no new
    requests to it until discovery updates the list; the reports have no other effect.
    """

    def __init__(self, settings: Settings, capacity: Capacity, rng: random.Random) -> None:
        self.count = settings.balancers - 1 if settings.may_tell_peers else 0
        self.capacity, self.rng = capacity, rng
        self.by_tag: dict[int, Backend] = {}
        # by peer: time of its last report, and the work that it reported for each backend
        self.reports: dict[int, tuple[int, list[tuple[Backend, int]]]] = {}
        self.message_at = self.out_message_at = 0
        self.version = 0  # version of discovery's list
        self.out_since: dict[int, int] = {}  # by tag: when discovery reported the backend as out
        self.first_reporter: dict[int, int] = {}  # by tag: the first peer that reported the backend as out
        # by tag: until when a backend that two peers reported as out is avoided
        self.avoided_until: dict[int, int] = {}

    def list_updated(self, event: BackendList, before: dict[int, Backend], now: int) -> None:
        """Handle an update of discovery's list: it replaces the peers' reports, and decides which backends are
        reported to peers as out."""
        self.version = event.version
        self.first_reporter.clear()
        self.avoided_until.clear()
        draining = {tag for tag, b in self.by_tag.items() if b.drained}
        gone = self.out_since.keys() | before.keys()
        self.out_since = {
            tag: self.out_since.get(tag, now) for tag in sorted(draining | gone - self.by_tag.keys())
            if tag in draining or now - self.out_since.get(tag, now) < OUT_REPORT_US
        }

    def next_message(self, pool: list[Backend], now: int) -> bytes | None:
        """The message to the peers that is due now, or None."""
        for peer in [p for p, (at, _) in self.reports.items() if now - at > PEER_STALE_US]:
            self._drop_report(peer)
        data = bytearray()
        if self.count and now >= self.message_at:
            for b in sorted(
                (b for b in pool if b.outstanding), key=lambda b: (-b.outstanding, b.id)
            )[:PEER_MAX_BACKENDS]:
                data += b.tag.to_bytes(2, "big")
                data.append(min(255, -(-b.outstanding // PEER_UNIT_US)))
            data = data or bytearray(1)  # an idle node reports too; a datagram can't be empty
            self.message_at = now + self._pause(len(data), PEER_MESSAGE_SHARE)
        tags = [tag for tag, at in self.out_since.items() if now - at < OUT_REPORT_US]
        if self.count and tags and now >= self.out_message_at:
            data = data[:len(data) // 3 * 3]
            size = len(data)
            data += (self.version & 0xFFFF).to_bytes(2, "big") + b"\0"
            for tag in self.rng.sample(tags, min(OUT_MAX_BACKENDS, len(tags))):
                data += tag.to_bytes(2, "big")
            self.out_message_at = now + self._pause(len(data) - size, OUT_MESSAGE_SHARE)
        return bytes(data) or None

    def _pause(self, size: int, share: float) -> int:
        """Pause after a message of ``size`` bytes, us, so that the cost of the messages stays a fixed share of this
        node's requests."""
        units = self.count * max(8, size) / 256
        return int(max(INTERVAL_US, 1e6 * units / (share * max(1.0, self.capacity.rate)))
                   * (0.75 + 0.5 * self.rng.random()))

    def receive(self, event: PeerMessage, now: int) -> bool:
        """Handle a peer's message; returns whether another backend is avoided from now on.  A message of any other
        form than ``next_message`` writes, such as one of a newer version, is ignored."""
        data, reported = event.data, list[tuple[Backend, int]]()
        end = next((i for i in range(0, len(data) - 2, 3) if not data[i + 2]), len(data) // 3 * 3)
        rest = len(data) - end  # nothing, the single byte of an idle node, or a report of backends that are out
        if rest and data != b"\0" and not (rest > 3 and rest % 2 and rest <= 3 + 2 * OUT_MAX_BACKENDS):
            return False
        if len(data) < 3 or data[2]:  # a report of out backends alone leaves the peer's outstanding work unchanged
            self._drop_report(event.peer)
            self.reports[event.peer] = (now, reported)
            self.capacity.peer_weight = PEER_WEIGHT / self.capacity.senders
        at = 0
        while at + 2 < len(data) and data[at + 2]:
            b = self.by_tag.get(data[at] << 8 | data[at + 1])
            if b is not None:
                work = data[at + 2] * PEER_UNIT_US
                b.peers += work
                reported.append((b, work))
            at += 3
        newly_avoided = False
        if at + 2 < len(data) and 0 < ((data[at] << 8 | data[at + 1]) - self.version) & 0xFFFF < 0x8000:
            for i in range(at + 3, len(data) - 1, 2):  # the peer's list is newer
                tag = data[i] << 8 | data[i + 1]
                if tag in self.by_tag and self.first_reporter.setdefault(tag, event.peer) != event.peer:
                    newly_avoided |= tag not in self.avoided_until
                    self.avoided_until[tag] = now + AVOID_US
        return newly_avoided

    def expire(self, now: int) -> bool:
        """Drop expired reports; returns whether any backend is no longer avoided, as discovery has sent no update
        since."""
        ended = [tag for tag, until in self.avoided_until.items() if now >= until]
        for tag in ended:
            del self.avoided_until[tag], self.first_reporter[tag]
        return bool(ended)

    def _drop_report(self, peer: int) -> None:
        """Remove the outstanding work that a peer has reported."""
        for b, work in self.reports.pop(peer, (0, []))[1]:
            b.peers -= work


class Picker:
    """Picks the backend with the largest AC(i), with two exceptions: probe requests to unhealthy backends and the
    budgets of cold ones."""

    def __init__(self, settings: Settings, capacity: Capacity, rng: random.Random) -> None:
        self.settings, self.capacity, self.rng = settings, capacity, rng
        self.pool: list[Backend] = []  # usable backends, shuffled per node
        self.ring: list[Backend] = []
        self.unhealthy: list[Backend] = []
        self.cold: list[Backend] = []
        self.preferred_cache: dict[str, list[Backend]] = {}
        self.cold_turn = 0

    def set_pool(self, backends: list[Backend]) -> None:
        """Replace the usable backends."""
        self.pool = backends[:]
        self.rng.shuffle(self.pool)
        self.ring = self.pool + self.pool[:SAMPLE]
        self.preferred_cache.clear()

    def classify(self) -> None:
        """Every Delta-t, and when the pool has changed: find the unhealthy and the cold backends."""
        self.unhealthy = [b for b in self.pool if b.health < UNHEALTHY]
        self.cold = [b for b in self.pool if b.warm < 1.0]

    def draw_cold(self, r: Request, now: int) -> Backend | None:
        """A cold backend whose budget covers this request, or None.

        Each request is offered to one cold backend, in turn, and accepted with the probability that spends the budget
        that has accrued since the last offer.  A node of a large fleet sends to each backend rarely: when a cold
        backend was used only if it had the largest AC, it was offered a tenth of its budget and stayed idle.  Each
        backend has its own budget clock: with one for all, a healthy backend also received the budgets of those that
        were unhealthy or too cold for most requests.
        """
        cold = self.cold
        if not cold:
            return None
        self.cold_turn += 1
        b = cold[self.cold_turn % len(cold)]
        if b.health < UNHEALTHY:
            # At most one window's budget accrues for a probe request, or until the backend is healthy again.
            b.budget_at = max(b.budget_at, now - self.settings.fall_us) if b.budget_at >= 0 else -1
            return None
        window, rate = self.budget(b, now)
        if r.cost > COLD_MAX_COST_SHARE * window:
            return None
        fall = self.settings.fall_us
        elapsed = min(fall * len(cold), now - b.budget_at) if b.budget_at >= 0 else self.rng.random() * fall
        b.budget_at = now
        chance = rate * elapsed / 1e6 / self.capacity.budget_cost(r.cost)
        if chance > 1.0:  # the unspent budget stays for the next request
            b.budget_at -= int(elapsed * (1.0 - 1.0 / chance))
        return b if self.rng.random() < chance else None

    def budget(self, b: Backend, now: int) -> tuple[float, float]:
        """The work, in us, that all nodes may send to a cold backend within ``fall_us``, and the rate of this node's
        part, us of work per second."""
        c, s = self.capacity, self.settings
        warm = s.warm_share(b.started_at, now)
        # The steady rate of a node that has just started is still rising.  With that rate alone, nodes that recover
        # together send too little to cold servers and overload the warm ones.
        per_unit = max(c.steady, c.served_rate / c.capacity_sum)
        if per_unit <= 0.0:
            per_unit = c.work_rate / len(self.pool)
        # A cold backend gets a reduced budget while capacity is plentiful, and its whole budget from an ordinary load
        # on.
        plenty = max(0.0, c.acc - COLD_PLENTY) / (1.0 - COLD_PLENTY)
        rate = (1.0 - (1.0 - COLD_SAFETY) * plenty) * warm * per_unit * b.multiplier
        return s.fall_multiple * warm * per_unit * c.senders * s.fall_us / 1e6, rate

    def admit_cold(self, b: Backend, cost: int, now: int) -> bool:
        """Whether the budget of a cold backend covers a request for which no other backend is left."""
        if self.settings.warm_share(b.started_at, now) >= 1.0:
            return True
        window, rate = self.budget(b, now)
        fall = self.settings.fall_us
        elapsed = min(fall, now - b.budget_at) if b.budget_at >= 0 else self.rng.random() * fall
        b.budget_at = now
        return (
            cost <= COLD_MAX_COST_SHARE * window
            and self.rng.random() * self.capacity.budget_cost(cost) < rate * elapsed / 1e6
        )

    def preferred(self, key: str) -> list[Backend]:
        """The preferred backends of a key, by rendezvous hashing: all nodes with the same pool choose the same
        ones."""
        found = self.preferred_cache.get(key)
        if found is None:
            if len(self.preferred_cache) >= PREFERRED_CACHE_KEYS:
                self.preferred_cache.clear()
            data = key.encode()
            ranked = sorted((crc32(b.id.encode(), crc32(data)), b.id, b) for b in self.pool)
            found = self.preferred_cache[key] = [b for _, _, b in ranked[:PREFERRED]]
        return found

    def allowed(self, r: Request, now: int) -> list[Backend]:
        """The backends to which another attempt may be sent."""
        s, spec = self.settings, r.cls.spec
        return [
            b for b in self.pool
            if may_send(spec, r.attempts, b.zone, b.cell, now, r.limit, s.second_copies)
        ]

    def pick(self, r: Request, now: int, probe: bool) -> Backend | None:
        """The backend for the next attempt, or None.  ``probe``: whether the request may be a probe request."""
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
            if probe and self.unhealthy:
                b = self.unhealthy[0]
                if now >= b.probe_at and b.usable and self.admit_cold(b, r.cost, now):
                    b.postpone_probe(now)
                    self.unhealthy.append(self.unhealthy.pop(0))
                    return b
            drawn = self.draw_cold(r, now)
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
                if self.admit_cold(b, r.cost, now):
                    return b
        elif r.key is not None and not attempts:
            for b in self.preferred(r.key):
                ac = available(b)
                if b.warm >= 1.0 and b.health >= UNHEALTHY and ac > best_ac - PREFERRED_MARGIN * b.nm:
                    return b
        return best


class Admission:
    """P_j, Pa(j) and the tenants' shares."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng = rng
        self.refused = 0
        self.index: dict[str, int] = {}
        self.smooth: list[float] = []  # L_j
        self.smooth_work: list[float] = []
        self.pa: list[float] = []
        self.tenants: dict[str, list[float]] = {}
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; classes and tenants that stay keep their state."""
        self.settings = settings
        names = [c.name for c in settings.classes]
        half = len(self.index)
        # Old index of each class, followed by the old index of its requests beyond a tenant's share.
        old = [self.index.get(name) for name in names] + [
            self.index[name] + half if name in self.index else None for name in names
        ]

        def kept(row: list[float], new: float) -> list[float]:
            return [new if j is None else row[j] for j in old]

        self.arrivals = [0.0] * len(old)  # requests of each class in this interval
        self.work = [0.0] * len(old)
        self.smooth, self.smooth_work = kept(self.smooth, 0.0), kept(self.smooth_work, 0.0)
        self.pa = kept(self.pa, 1.0)
        self.index = {name: i for i, name in enumerate(names)}
        share = settings.balancers
        self.tenants = {
            t.name: [t.quota_rps / share, *self.tenants.get(t.name, (0.0, 0.0, -1.0))[1:]] for t in settings.tenants
        }

    def over_share(self, tenant: str | None, now: int) -> bool:
        """Whether a request exceeds this node's part of its tenant's quota: a token bucket of two seconds."""
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
        """Count an arrival and accept it with probability Pa(j)."""
        self.arrivals[index] += 1.0
        self.work[index] += cost
        pa = self.pa[index]
        if pa >= 1.0 or self.rng.random() < pa:
            return True
        self.refused += 1
        return False

    def tick(self, acc: float, min_share: float = 0.0) -> None:
        """Every Delta-t: smooth the shares, then compute Pa(j).  ``min_share``: the share of the offered work that is
        accepted at any ACC.

        As printed in the paper, Pa(j) sums to one over the classes and favours floods of cheap requests.  Here the
        same product, share x preference x (ACC x k), is scaled so that ACC x k is the accepted share of all offered
        work, and the preference is the class's worth per work.
        """
        n = len(self.pa)
        for j in range(n):
            self.smooth[j] += ALPHA * (self.arrivals[j] - self.smooth[j])
            self.smooth_work[j] += ALPHA * (self.work[j] - self.smooth_work[j])
            self.arrivals[j] = self.work[j] = 0.0
        half = n // 2
        worth = self.settings.over_share_worth
        # beyond its share a request is worth less than the delay that it causes to the others
        cheap = worth < BREAK_EVEN_WORTH
        if acc > ACC_FLOOR:
            floor = ACC_FLOOR + (OVER_SHARE_ACC_FLOOR - ACC_FLOOR) * (1.0 - worth / BREAK_EVEN_WORTH)
            beyond = min(1.0, max(0.0, 0.5 + (acc - floor) / OVER_SHARE_ACC_SPAN)) if cheap else 1.0
            self.pa = [1.0] * half + [beyond] * half
            return
        work, worths = self.smooth_work, [self._value(j) for j in range(n)]
        budget = min_share * sum(work)
        if cheap:  # requests beyond shares get the rest of the budget
            usual = sum(work[:half])
            budget = max(budget, acc * ACC_SCALE * usual)
            self.pa = fill(work[:half], worths[:half], budget) + fill(work[half:], worths[half:], budget - usual)
        else:
            self.pa = fill(work, worths, max(budget, acc * ACC_SCALE * sum(work)))

    def _value(self, j: int) -> float:
        """The preference of a class: its worth per work, lowered by ``over_share_worth`` for requests beyond a
        tenant's share."""
        s = self.settings
        half = len(s.classes)
        value = s.classes[j % half].worth
        if not s.worth_by_work and self.smooth_work[j] > 0:
            value *= self.smooth[j] / self.smooth_work[j] * 1e4
        value += 3.0 * s.worst_class_weight * max(c.worth for c in s.classes) / 2
        return value * (s.over_share_worth if j >= half else 1.0) + 1e-6


def fill(work: list[float], values: list[float], budget: float) -> list[float]:
    """Acceptance probabilities in proportion to ``values``, each at most 1, so that the accepted work is
    ``budget``."""
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
    """The backends of discovery's list, and when the list is to be watched."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.backends: dict[str, Backend] = {}
        self.subscribes = settings.must_subscribe
        self.watch_at: int | None = None
        self.failures = 0

    def start(self, now: int) -> None:
        """Schedule the first watch, at a random time so that nodes don't call discovery together."""
        if self.subscribes:
            self.watch_at = now + int(self.rng.random() * 0.4 * self.settings.ask_every_us)

    def apply(self, event: BackendList, now: int) -> list[Backend]:
        """Apply a message of discovery; returns the backends that are new or have restarted."""
        added: list[Backend] = []
        if event.kind is ListKind.FAILED:
            if self.subscribes:
                # The maximum pause is short: the node whose calls fail most often has the oldest list.
                self.failures += 1
                pause = min(0.8 * self.settings.ask_every_us, WATCH_RETRY_US[1], WATCH_RETRY_US[0] * 2**self.failures)
                self.watch_at = now + int(pause * (0.5 + self.rng.random()))
            return added
        if event.kind in (ListKind.DELTA, ListKind.FULL):
            self.failures = 0
        listed = set()
        for entry in event.entries:
            listed.add(entry.backend)
            b = self.backends.get(entry.backend)
            if b is None:
                b = self.backends[entry.backend] = Backend(entry)
                added.append(b)
                continue
            restarted = entry.started_at_us > b.started_at
            started = max(b.started_at, entry.started_at_us)
            b.apply_entry(entry)
            b.started_at = started
            if restarted:
                b.reset()
                added.append(b)
        # Backends that are gone are removed: ids are never reused, and the table would only grow.  Attempts in flight
        # keep a reference to theirs.
        last = {entry.backend: entry.health for entry in event.entries}
        gone = {id for id, health in last.items() if health is Health.GONE}
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            gone.update(id for id in self.backends if id not in listed)
        for id in gone:
            self.backends.pop(id).usable = False
        return [b for b in added if b.id not in gone]


class Balancer:
    """The decisions of one node: ``handle`` takes the events at ``now_us`` and returns the actions to take."""

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
        self.finished: dict[str, Request] = {}  # answered, with attempts still in flight
        self.costliest = cost_class(1000)
        self.retries, self.hedge_tokens = RETRY_TOKENS[0], HEDGE_TOKENS[0] + FLEET_HEDGE_TOKENS / settings.balancers
        self.reach = 1.0  # the share of the backends to which this node may send
        self.checks: list[tuple[int, int, Request]] = []  # heap of (due at, serial number, request)
        self.serial = 0
        self.tick_at: int | None = None
        self.ticked_at = 0
        self.timer_at: int | None = None
        self.log_at = 0
        self.reasons: dict[str, int] = {}  # counts for the log line
        self.actions: list[Action] = []
        self.firsts = self.repeats = self.refused = self.failed = self.served = self.attempts = 0
        self.handlers = {
            RequestArrived: self._request_arrived,
            AttemptEnded: self._attempt_ended,
            StreamStarted: self._stream_started,
            ClientGone: self._client_gone,
            BackendList: self._backend_list,
            TimerFired: self._timer_fired,
            ProbeEnded: self._ignore,
            PeerMessage: self._peer_message,
            SettingsChanged: self._settings_changed,
            Recalled: self._restore,
        }

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Process the events in order, then the tick and the checks that are due; returns the actions in order."""
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
        self._arm_timer(now_us)
        return self.actions

    def _arm_timer(self, now: int) -> None:
        """Set a timer for the next tick or check if none is set that is due earlier."""
        assert self.tick_at is not None
        due = self.tick_at
        if self.checks and self.checks[0][0] < due:
            due = self.checks[0][0]
        if self.timer_at is None or due < self.timer_at:
            self.timer_at = due
            self.actions.append(SetTimer(1, max(1, due - now)))

    def _timer_fired(self, event: TimerFired, now: int) -> None:
        if self.timer_at is not None and now >= self.timer_at:
            self.timer_at = None

    def _set_pool(self) -> None:
        """Use the backends that discovery lists as ready and that peers don't report as out."""
        self.picker.set_pool([
            b for b in self.membership.backends.values() if b.usable and b.tag not in self.peers.avoided_until
        ])
        self.picker.classify()

    def _peer_message(self, event: PeerMessage, now: int) -> None:
        if self.peers.receive(event, now):
            self._count("spared")
            self._set_pool()

    def _ignore(self, event: Event, now: int) -> None:
        """Ignore the event: this node sends no active health checks."""

    def _count(self, reason: str) -> None:
        self.reasons[reason] = self.reasons.get(reason, 0) + 1

    def _tick(self, now: int) -> None:
        """Every Delta-t: refit latencies, update capacity and admission, report to peers, renew the watch and log."""
        dt = max(1, now - self.ticked_at)
        self.ticked_at = now
        self.tick_at = now + INTERVAL_US
        for cls in self.classes:
            cls.refit()
        if self.peers.avoided_until and self.peers.expire(now):
            self._set_pool()
        # After a pause of the node's own process, unread answers are still in its sockets, so the apparent wait of
        # attempts in flight is not evidence of a slow server.
        on_time = dt < PAUSE_RATIO * INTERVAL_US
        self.capacity.tick(self.picker.pool, now, dt, self.requests.values() if on_time else ())
        message = self.peers.next_message(self.picker.pool, now)
        if message is not None:
            self.actions.append(TellPeers(message))
        self.picker.classify()
        c = self.capacity
        # While all queues are full, ACC is 0 until they drain.  Meanwhile the node admits, most worth first, what
        # servers complete, rather than nothing followed by everything.
        self.admission.tick(c.acc, min(1.0, QUEUE_DRAIN_SHARE * c.served_rate / max(1.0, c.work_rate)))
        m = self.membership
        if m.watch_at is not None and now >= m.watch_at:
            m.watch_at = None
            self.actions.append(Watch(True))
        if self.reasons and now >= self.log_at:
            self.log_at = now + LOG_EVERY_US
            reasons = " ".join(f"{k}={v}" for k, v in sorted(self.reasons.items()))
            self.actions.append(Log(
                f"ACC {c.acc:.2f} late {c.pressure:.2f} K {c.k:.0f} T {c.linger_us / 1e6:.1f}s"
                f" unhealthy {len(self.picker.unhealthy)}/{len(self.picker.pool)} {reasons}"
            ))

    # ------------------------------------------------------------ request handling

    def _request_arrived(self, e: RequestArrived, now: int) -> None:
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
        self.retries = min(self.retries + RETRY_SHARE, RETRY_TOKENS[1])
        self.hedge_tokens = min(
            self.hedge_tokens + HEDGE_SHARE, HEDGE_TOKENS[1] + FLEET_HEDGE_TOKENS / self.settings.balancers
        )
        if self.settings.warm_keys:
            r.key = e.key
        self.requests[e.id] = r
        self._dispatch(r, now, True)

    def _retry_after(self) -> int:
        """The Retry-After of a refusal, us; 0 if the site does not allow one."""
        s = self.settings
        return min(s.max_retry_after_us, 1_000_000) if s.retry_after else 0

    def _dispatch(self, r: Request, now: int, first: bool) -> None:
        """Send an attempt, or check again later if no backend may take it."""
        s = self.settings
        margin = 2 * s.quantum_us
        if now >= r.deadline - margin:
            self._answer_unserved(r)
            return
        b = self.picker.pick(r, now, first and r.cls.spec.effect is not Effect.FRAGILE)
        if b is None:
            self._count("held")
            self._schedule_check(r, min(now + 50_000, r.deadline - margin))
            return
        self._send(r, b, now)

    def _send(self, r: Request, b: Backend, now: int) -> None:
        """Start an attempt, and schedule the check for an overdue one."""
        start_by = repeat_by(r.cls.spec, r.attempts)
        r.attempts.append(Attempt(b, now))
        self.attempts += 1
        self.capacity.send(b, r.cost)
        self.actions.append(Send(r.id, b.id, start_by_us=start_by))
        if r.cls.repeatable and len(r.attempts) < r.limit:
            wait = (1.5 if b.health < 0.6 else OVERDUE) * r.expect
            self._schedule_check(r, min(now + int(wait), r.deadline))

    def _schedule_check(self, r: Request, at: int) -> None:
        """Schedule a check of the request, aligned to CHECK_GRID_US unless the deadline is near."""
        self.serial += 1
        at = -(-at // CHECK_GRID_US) * CHECK_GRID_US if at + CHECK_GRID_US < r.deadline else at
        heappush(self.checks, (at, self.serial, r))

    def _check(self, r: Request, now: int) -> None:
        """Dispatch a request that is held, or handle an overdue attempt: lower the backend's health, and hedge or
        replace the attempt if that can still help."""
        if r.id not in self.requests or r.streaming:
            return
        in_flight = [a for a in r.attempts if a.in_flight]
        if not in_flight:
            self._dispatch(r, now, False)
            return
        last = in_flight[-1]
        if last.backend.last_ok >= last.sent_at:
            return
        if now - last.sent_at < 1.4 * r.expect:
            return
        self.capacity.penalize(last.backend, OVERDUE_FACTOR, now)
        self._count("overdue")
        spec, s = r.cls.spec, self.settings
        aim_at = r.arrived + spec.aim_us
        worth_it = now + r.expect < (r.deadline if spec.late_worth > 0 else min(aim_at, r.deadline))
        if not worth_it or self.hedge_tokens < 1.0 or self.capacity.acc <= ACC_FLOOR:
            return
        if s.second_copies and len(in_flight) == 1:
            b = self.picker.pick(r, now, False)
            if b is not None and b is not last.backend:
                self.hedge_tokens -= 1.0
                self._count("copied")
                self._send(r, b, now)
        elif not s.second_copies and s.may_cancel:
            self._count("replaced")
            self.hedge_tokens -= 1.0
            self.actions.append(CancelAttempt(r.id, len(r.attempts) - 1))

    def _attempt_ended(self, e: AttemptEnded, now: int) -> None:
        """Handle the end of an attempt: release its load, learn from it, and retry or give the final answer."""
        r = self.requests.get(e.id) or self.finished.get(e.id)
        if r is None or e.attempt >= len(r.attempts):
            return
        a = r.attempts[e.attempt]
        if not a.in_flight:
            return
        a.in_flight = False
        outcome = e.outcome
        if outcome in NEVER_RAN:
            a.may_have_run = False
            self.capacity.sent_work -= r.cost  # no backend carries it
        self.capacity.complete(a.backend, r.cost)
        self.capacity.learn(a.backend, r, outcome, e.latency_us, now)
        live = e.id in self.requests
        if not live or e.final:
            self.served += live and outcome is OK
            self._finish(r)
            return
        if any(x.in_flight for x in r.attempts):
            return
        if now >= r.deadline - 2 * self.settings.quantum_us or outcome is TIMEOUT:
            self._answer_unserved(r)
            return
        # Retries after a refusal need a token too: unlimited, they caused a retry storm.  Retries of attempts that
        # never left the node need none.
        if outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            if self.retries < 1.0:
                self._answer_unserved(r)
                return
            self.retries -= 1.0
        if not self.picker.allowed(r, now):
            self._answer_unserved(r)
            return
        self._count("again")
        self._count(f"after_{outcome.name.lower()}")
        self._dispatch(r, now, False)

    def _finish(self, r: Request) -> None:
        """The request has its answer; cancel attempts in flight where that is allowed."""
        was_live = self.requests.pop(r.id, None) is not None
        in_flight = [i for i, a in enumerate(r.attempts) if a.in_flight]
        if not in_flight:
            self.finished.pop(r.id, None)
            return
        self.finished[r.id] = r
        if was_live and self.settings.may_cancel and not r.streaming:
            for i in in_flight:
                self.actions.append(CancelAttempt(r.id, i))

    def _answer_unserved(self, r: Request) -> None:
        """Give the final answer of a request that was not served: a refusal if nothing may have run, else a
        failure."""
        if may_refuse(r.cls.spec, r.attempts) and not any(a.may_have_run for a in r.attempts):
            self.actions.append(Refuse(r.id, self._retry_after()))
            self.refused += 1
        else:
            self.actions.append(Fail(r.id))
            self.failed += 1
        self._finish(r)

    def unavailable_count(self) -> int:
        """How many listed backends get no ordinary requests now: draining, not reachable or unhealthy."""
        return sum(1 for b in self.membership.backends.values() if not b.usable or b.health < UNHEALTHY)

    def belief(self) -> Belief:
        """The state behind the decisions since the last tick; the host calls this after a tick."""
        c = self.capacity
        servers = [
            BackendBelief(b.id, b.health, b.nm, b.outstanding, b.warm, b.usable)
            for b in self.membership.backends.values()
        ]
        return Belief(
            self.ticked_at, c.k, c.acc, c.effective_backends, c.carried, c.linger_us, c.pressure, self.retries,
            self.firsts, self.repeats, self.refused, self.failed, self.served, self.attempts, servers,
        )

    def _stream_started(self, e: StreamStarted, now: int) -> None:
        r = self.requests.get(e.id)
        if r is None:
            return
        r.streaming = True
        # A hedged attempt can no longer provide the answer and must not run alongside.
        if self.settings.may_cancel:
            for i, a in enumerate(r.attempts):
                if a.in_flight and i != e.attempt:
                    self.actions.append(CancelAttempt(r.id, i))

    def _client_gone(self, e: ClientGone, now: int) -> None:
        r = self.requests.get(e.id)
        if r is not None:
            self._finish(r)

    def experience(self) -> Experience:
        """The learned state, for the next process on this machine; called by the host."""
        c, a = self.capacity, self.admission
        half = len(self.classes)
        return Experience(
            {name: getattr(c, name) for name in CAPACITY_FIGURES}, {k: v[:] for k, v in c.kinds.items()},
            {s.spec.name: [getattr(s, name) for name in CLASS_FIGURES] for s in self.classes},
            {name: [x[j] for j in (i, i + half) for x in (a.smooth, a.smooth_work)] for name, i in a.index.items()},
            {name: t[1:] for name, t in a.tenants.items()}, self.costliest, self.retries,
            [
                ServerExperience(b.id, b.started_at, b.health, b.seen, b.expected, b.decaying + b.outstanding,
                                 b.last_ok, b.probe_at, b.probe_pause)
                for b in self.membership.backends.values()
            ],
        )

    def _restore(self, e: Recalled, now: int) -> None:
        """Restore the learned state of another process, for the backends, classes and tenants that are here too."""
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
        self.retries = min(RETRY_TOKENS[1], max(0.0, x.retries))
        for s in x.servers:
            b = self.membership.backends.get(s.id)
            if b is None or abs(b.started_at - s.started_at_us) > 1_000_000:
                continue  # it has restarted since and is another server
            b.health, b.seen, b.expected, b.decaying = s.health, s.seen, s.expected, s.linger
            b.last_ok, b.probe_at, b.probe_pause = s.last_ok, s.trial_at, s.trial_pause
        m = self.membership
        if m.subscribes and e.soon:
            m.watch_at = now + int(self.rng.random() * RESTORED_WATCH_US)
        self.tick_at = now  # recompute Nm_i from the restored state

    def _settings_changed(self, e: SettingsChanged, now: int) -> None:
        """Apply new settings.  The learned state of backends, K and remaining classes is kept; requests in progress
        keep the class under which they arrived."""
        s = self.settings = e.settings
        self.capacity.settings = self.picker.settings = self.membership.settings = s
        self.admission.update_settings(s)
        self.peers.count = s.balancers - 1 if s.may_tell_peers else 0
        self.capacity.senders = max(1.0, s.balancers * self.reach)
        self.membership.subscribes = s.must_subscribe
        self.classes = [self._class_state(spec, i) for i, spec in enumerate(s.classes)]
        self.by_name = {c.spec.name: c for c in self.classes}

    def _class_state(self, spec: RequestClass, index: int) -> ClassState:
        """The state of a class under new settings, with the latency model that was learned for its name."""
        before = self.by_name.get(spec.name)
        if before is not None and before.spec == spec:
            before.index = index
            return before
        state = ClassState(spec, index)
        if before is not None:
            for name in CLASS_FIGURES:
                setattr(state, name, getattr(before, name))
        return state

    def _backend_list(self, e: BackendList, now: int) -> None:
        """Handle a message of discovery, or a change of the reachable backends."""
        added = self.membership.apply(e, now)
        c = self.capacity
        if e.kind is ListKind.FAILED:
            return
        self.reach = e.reach
        c.senders = max(1.0, self.settings.balancers * e.reach)
        before = self.peers.by_tag
        self.peers.by_tag = {b.tag: b for b in self.membership.backends.values()}
        if e.kind is not ListKind.REACH:
            self.peers.list_updated(e, before, now)
        for b in self.membership.backends.values():
            c.kinds.setdefault(b.kind, [0.0, 0.0])
        self._set_pool()
        for b in added:
            b.warm = self.settings.warm_share(b.started_at, now)
            b.nm_full = b.nm = c.k * b.warm
            b.decaying = c.mean_load * b.warm * (0.5 + self.rng.random())
        self.picker.classify()
