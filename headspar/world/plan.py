"""Generates all arrivals, servers and faults of a run from a scenario and a seed.  Performs no I/O.

The same scenario and seed give the same plan in every process, so that callers and servers each generate it and
need not exchange it: a call's id is its index, by which a server looks up the call's work.  ``digest`` identifies a
plan.  Servers, faults, arrival times and calls each have a random generator of their own, so that a change to one
does not shift the others.  Times are microseconds from the run's start.
"""

from __future__ import annotations

import hashlib
import math
import random
from bisect import bisect
from itertools import accumulate

import msgspec

from headspar.world.scenario import Callers, Choke, Fault, Scenario, Servers, to_json

SECOND = 1_000_000


class ServerPlan(msgspec.Struct, frozen=True):
    """One cash server."""

    id: str
    site: str
    machine: str
    cell: int
    cores: int
    speed: float
    slots: int
    queue: int
    connections: int
    connection_cost_us: float
    idle_us: int
    silent: bool
    cold_share: float
    ramp_us: int
    error_rate: float
    starts_at: int  # -1: it runs and is warm from the beginning
    choke: Choke | None = None

    @property
    def capacity(self) -> float:
        """Microseconds of work per second when warm."""
        return self.cores * self.speed * SECOND


class Call(msgspec.Struct, frozen=True, gc=False):
    """One call, by its first client attempt.  The pauses before its retries are drawn from ``seed``."""

    at: int
    cls: int
    agent: int
    target: str
    node: int
    work_us: int
    wait_us: int
    hint_us: int  # 0: the request carries no hint
    budget_us: int
    leave_us: int  # the caller closes its connection this long after sending; 0: never
    seed: int


class Step(msgspec.Struct, frozen=True):
    """One scheduled change.  Targets are servers (``s-…``), nodes (``n…``), discovery (``d``) or the callers
    (``c``)."""

    at: int
    kind: str
    targets: list[str]
    value: float = 0.0
    text: str = ""
    share: float = 1.0


class Plan(msgspec.Struct):
    """Everything that is generated for a run.  Server ids differ between seeds, so that no policy can recognise a
    server by its name."""

    seed: int
    salt: int
    servers: list[ServerPlan]
    calls: list[Call]
    steps: list[Step]
    capacity: float
    rps: float
    quota_rps: float  # of all agents together
    mean_us: float = 0.0  # mean work of a request

    def digest(self) -> str:
        """SHA-256 of the plan, in hexadecimal."""
        return hashlib.sha256(msgspec.msgpack.encode(self)).hexdigest()


def node_names(s: Scenario) -> list[str]:
    """The nodes' names, n1, n2 and so on."""
    return [f"n{i + 1}" for i in range(s.nodes.count)]


def call_id(salt: int, index: int, attempt: int) -> str:
    """The ``X-Call-Id`` of a client attempt: 16 hexadecimal digits."""
    return f"{salt:06x}{index:08x}{attempt:02x}"


def parse_call_id(salt: int, text: str) -> tuple[int, int] | None:
    """Call index and number of the client attempt, or None for an id that is not of this run."""
    if len(text) != 16 or text[:6] != f"{salt:06x}":
        return None
    try:
        return int(text[6:14], 16), int(text[14:], 16)
    except ValueError:
        return None


def idempotency_key(salt: int, index: int) -> str:
    """The ``Idempotency-Key`` of a call, the same for all its client attempts."""
    return f"{salt:06x}receipt{index:08x}"


def body_of(index: int, size: int) -> bytes:
    """The body of call number ``index``, ``size`` bytes, the same in every process."""
    return (f"{index:08x}".encode() * (size // 8 + 1))[:size]


def retry_backoff(spec: Callers, call: Call, number: int, retry_after_us: int) -> int:
    """The backoff before a caller's next client attempt, in us, after attempt ``number`` was not served.  The same in
    every process."""
    rng = random.Random(call.seed * 8 + number)
    low, high = spec.backoff_ms
    pause = {"none": 0.0, "fixed": high, "exp": min(high * 8, low * 2 ** number * 2)}[spec.backoff] * 1000
    pause *= rng.uniform(0.5, 1.0)
    if retry_after_us > 0 and rng.random() < spec.honour:
        pause = retry_after_us * rng.uniform(1.0, 1.2)
    return int(pause)


def _server(g: Servers, i: int, number: int, rng: random.Random, starts_at: int) -> ServerPlan:
    return ServerPlan(
        id=f"s-{number:03d}-{rng.getrandbits(24):06x}",
        site=g.sites[i % len(g.sites)],
        machine=g.machine,
        cell=i // len(g.sites) // g.cell_size,
        cores=g.cores,
        speed=round(rng.uniform(*g.speed), 4),
        slots=max(1, round(g.slots_per_core * g.cores)),
        queue=round(g.queue_per_core * g.cores),
        connections=g.connections,
        connection_cost_us=g.connection_cost_us,
        idle_us=int(g.idle_s * SECOND),
        silent=g.idle_close == "silent",
        cold_share=g.cold_share,
        ramp_us=int(g.ramp_s * SECOND),
        error_rate=g.error_rate,
        starts_at=starts_at,
        choke=g.choke,
    )


def _servers(s: Scenario, seed: int) -> list[ServerPlan]:
    rng = random.Random(f"{seed}/servers")
    rows: list[ServerPlan] = []
    for g in s.servers:
        for i in range(g.count):
            rows.append(_server(g, i, len(rows), rng, -1))
    for f in s.faults:
        if f.kind != "grow":
            continue
        assert f.servers is not None and f.over_s is not None
        total = sum(g.count for g in s.servers)
        added = max(1, round(f.servers if f.servers >= 1 else f.servers * total))
        for i in range(added):
            at = int((f.at_s + f.over_s * i / added) * SECOND)
            rows.append(_server(s.servers[i % len(s.servers)], i // len(s.servers), len(rows), rng, at))
    return rows


LEAVING = ("die", "vanish", "drain")  # faults that take a server out of service


def _steps(s: Scenario, seed: int, servers: list[ServerPlan]) -> list[Step]:
    rng = random.Random(f"{seed}/faults")
    initial = [p.id for p in servers if p.starts_at < 0]
    nodes = node_names(s)
    steps: list[Step] = []
    away: dict[str, float] = {}  # servers that an earlier fault took out of service, and until when
    for f in s.faults:
        at = int(f.at_s * SECOND)
        end = at + int((f.for_s or 0.0) * SECOND)
        chosen: list[str] = []
        if f.kind == "grow":
            continue  # it consists of the new servers' starts
        if f.servers is not None:
            candidates = initial
            if f.site is not None:
                candidates = [p.id for p in servers if p.starts_at < 0 and p.site == f.site]
            count = int(f.servers) if f.servers >= 1 else max(1, round(f.servers * len(candidates)))
            count = min(count, len(candidates))
            # A server that drains and dies by two faults at once shows the effect of neither, and its return ends
            # both.
            available = [id for id in candidates if away.get(id, 0) <= at] if f.kind in LEAVING else candidates
            chosen = sorted(rng.sample(available if len(available) >= count else candidates, count))
            if f.kind in LEAVING:
                back = at + f.back_s * SECOND if f.back_s else end if f.for_s else float("inf")
                away.update(dict.fromkeys(chosen, back))
        if f.nodes is not None:
            chosen = sorted(rng.sample(nodes, f.nodes))
        if f.spread_s and f.nodes is not None:
            for i, node in enumerate(rng.sample(chosen, len(chosen))):
                delay = int(f.spread_s * SECOND * i / len(chosen))
                steps += _steps_of_fault(f, at + delay, end + delay, [node])
            continue
        steps += _steps_of_fault(f, at, end, chosen)
    steps += [Step(p.starts_at, "start", [p.id]) for p in servers if p.starts_at >= 0]
    steps.sort(key=lambda step: (step.at, step.kind, step.targets))
    return steps


def _steps_of_fault(f: Fault, at: int, end: int, chosen: list[str]) -> list[Step]:
    back = at + int((f.back_s or 0.0) * SECOND)
    share = 1.0 if f.share is None else f.share
    if f.kind == "die":
        rows = [Step(at, "die", chosen)]
        return rows + ([Step(back, "start", chosen)] if f.back_s else [])
    if f.kind == "vanish":
        return [Step(at, "vanish", chosen), Step(end, "return", chosen)]
    if f.kind == "drain":
        gone = at + int((f.linger_s or 3.0) * SECOND)
        rows = [Step(at, "drain", chosen), Step(gone, "die", chosen)]
        return rows + ([Step(max(back, gone + 1), "start", chosen)] if f.back_s else [])
    if f.kind in ("slow", "turn_away", "reset", "spoil", "stray", "long", "hang", "idle_silent"):
        value = f.factor or f.delay_ms or float(f.byte or 0)
        text = f.how or f.where or ""
        return [Step(at, f.kind, chosen, value, text, share), Step(end, "mend", chosen, text=f.kind)]
    if f.kind in ("discovery_gone", "discovery_silent"):
        return [Step(at, f.kind, ["d"]), Step(end, "discovery_back", ["d"])]
    if f.kind in ("discovery_break", "discovery_move"):
        return [Step(at, f.kind, ["d"])]
    if f.kind in ("node_term", "node_kill"):
        rows = [Step(at, f.kind, chosen)]
        return rows + ([Step(back, "node_start", chosen)] if f.back_s else [])
    if f.kind == "node_drain":
        return [Step(at, f.kind, chosen), Step(end, "node_undrain", chosen)]
    if f.kind == "node_stop":
        return [Step(at, f.kind, chosen), Step(end, "node_cont", chosen)]
    if f.kind == "node_crowd":
        return [Step(at, f.kind, chosen, float(f.count or 0)), Step(end, "node_crowd_end", chosen)]
    if f.kind in ("node_hup", "node_upgrade"):
        return [Step(at, f.kind, chosen)]
    # Floods and hot keys are part of the arrivals; these steps only record when they begin and end.
    return [Step(at, f.kind, ["c"], text=f.agent or ""), Step(end, "mend", ["c"], text=f.kind)]


class _Rates:
    """Arrival rate (calls per second) over the run."""

    def __init__(self, s: Scenario, base: float, servers: list[ServerPlan], phase: float) -> None:
        self.s, self.base, self.phase = s, base, phase
        self.initial_capacity = sum(p.capacity for p in servers if p.starts_at < 0)
        follows = any(f.kind == "grow" and f.traffic for f in s.faults)
        self.added = sorted((p.starts_at, p.capacity) for p in servers if p.starts_at >= 0) if follows else []
        self.maximum = base * (1 + s.load.swing) * (1 + sum(c for _, c in self.added) / self.initial_capacity)

    def at(self, t: float) -> float:
        """The rate ``t`` seconds after the run's start; at most ``maximum``."""
        load, whole = self.s.load, self.s.length_s
        x = t / whole
        shape = {"steady": 1.0, "ramp": 0.5 + 0.5 * x, "due-date": 1.0 - 0.6 * abs(2 * x - 1) ** 2}[load.shape]
        wave = 1 + load.swing * math.sin(2 * math.pi * 2 * x + self.phase)
        growth = sum(c for at, c in self.added if at <= t * SECOND) / self.initial_capacity
        return self.base * shape * wave * (1 + growth)


def _calls(s: Scenario, seed: int, base: float, servers: list[ServerPlan]) -> list[Call]:
    times = random.Random(f"{seed}/times")
    draws = random.Random(f"{seed}/calls")
    load = s.load
    rates = _Rates(s, base, servers, times.uniform(0, 2 * math.pi))
    starts: list[tuple[float, int | None, Fault | None]] = []
    t = 0.0
    while True:
        t += times.expovariate(rates.maximum)
        if t >= s.length_s:
            break
        if times.random() * rates.maximum < rates.at(t):
            starts.append((t, None, None))
    if load.bursts_per_s > 0:
        t = times.expovariate(load.bursts_per_s)
        while t < s.length_s:
            agent = times.randrange(len(s.agents))
            starts += [(t, agent, None)] * load.burst_size
            t += times.expovariate(load.bursts_per_s)
    names = [a.name for a in s.agents]
    total = sum(a.share * a.usage for a in s.agents)
    for f in s.faults:
        if f.kind != "flood":
            continue
        assert f.agent is not None and f.factor is not None and f.for_s is not None
        agent = names.index(f.agent)
        extra = base * s.agents[agent].share * s.agents[agent].usage / total * max(0.0, f.factor - 1)
        t = f.at_s
        while extra > 0:
            t += times.expovariate(extra)
            if t >= min(s.length_s, f.at_s + f.for_s):
                break
            starts.append((t, agent, f))
    starts.sort(key=lambda row: row[0])

    classes = list(accumulate(c.share for c in s.classes))
    agents = list(accumulate(a.share * a.usage for a in s.agents))
    keys = list(accumulate((i + 1) ** -load.zipf for i in range(load.keys)))
    class_names = [c.name for c in s.classes]
    hot = [f for f in s.faults if f.kind == "hot_key"]
    parts: list[float] = []
    if load.node_skew > 0:
        skews = random.Random(f"{seed}/nodes")
        parts = list(accumulate(math.exp(skews.gauss(0.0, load.node_skew)) for _ in range(s.nodes.count)))
    calls = []
    for t, agent_drawn, flood in starts:
        if flood is not None and flood.classes:
            j = class_names.index(draws.choice(flood.classes))
        else:
            j = bisect(classes, draws.random() * classes[-1])
        a = bisect(agents, draws.random() * agents[-1]) if agent_drawn is None else agent_drawn
        key = bisect(keys, draws.random() * keys[-1])
        for f in hot:
            assert f.for_s is not None and f.share is not None
            if f.at_s <= t < f.at_s + f.for_s and draws.random() < f.share:
                key = load.keys + draws.randrange(f.keys or 1)
        c = s.classes[j]
        work = draws.uniform(*c.work_ms) * load.work_scale * 1000
        budget = c.deadline_ms * 1000 * draws.uniform(*s.callers.try_share)
        leaves = draws.random() < s.callers.impatient
        calls.append(Call(
            at=int(t * SECOND), cls=j, agent=a, target=f"r{key:05d}",
            node=bisect(parts, draws.random() * parts[-1]) if parts else draws.randrange(s.nodes.count),
            work_us=max(1, int(work)),
            wait_us=int(draws.uniform(*c.wait_ms) * load.work_scale * 1000),
            hint_us=max(1, int(work * math.exp(draws.gauss(0.0, load.hint_error)))) * load.hints,
            budget_us=int(budget), leave_us=int(draws.uniform(0.02, 0.3) * budget) if leaves else 0,
            seed=draws.getrandbits(32),
        ))
    return calls


def draw(s: Scenario, seed: int) -> Plan:
    """Generate the plan of scenario ``s`` for ``seed``."""
    servers = _servers(s, seed)
    capacity = sum(p.capacity for p in servers if p.starts_at < 0)
    shares = sum(c.share for c in s.classes)
    mean = sum(c.share * sum(c.work_ms) / 2 for c in s.classes) / shares * s.load.work_scale * 1000
    rps = s.load.rps or s.load.utilisation * capacity / mean
    salt = int.from_bytes(hashlib.sha256(to_json(s) + f"{seed}".encode()).digest()[:3], "big")
    return Plan(
        seed=seed, salt=salt, servers=servers, calls=_calls(s, seed, rps, servers),
        steps=_steps(s, seed, servers), capacity=capacity, rps=rps,
        quota_rps=s.load.quota_of_capacity * capacity / mean, mean_us=mean,
    )
