"""The seven days of the standing fleet test, drawn as scenarios; without I/O.

The operators' page defines what happens on each day.  What it leaves open (zones, shares, limits, times, targets) is
drawn here at random, together with one additional fault of a kind that has been recorded at the counters.  A day and
a seed give the same scenario in every process.

The model does not support, and the days therefore omit: a zone that is cut off only from the other zones (it becomes
unreachable for all), corrupted requests from callers, lists that arrive out of order, and temporary loss of
datagrams.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from headspar.world.scenario import Callers, Discovery, Fault, Load, Nodes, Rules, Scenario, Servers, check

NODES = 200
ALL = 0.9999  # share of servers for a fault that affects all of them; a share must be less than 1
LENGTH_S = 26.0
SOAK_S = 2700.0
Rng = random.Random


def _log_uniform(rng: Rng, low: float, high: float) -> float:
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _interval(rng: Rng, low: float, high: float) -> tuple[float, float]:
    one, two = sorted((rng.uniform(low, high), rng.uniform(low, high)))
    return round(one, 3), round(two, 3)


def _sites(rng: Rng) -> list[str]:
    return ["site-a", "site-b", "site-c", "site-d", "site-e", "site-f"][:rng.randint(1, 6)]


def _deployment(rng: Rng, name: str, nodes: int, length_s: float) -> Scenario:
    """Draws the sites, servers, nodes, load and callers, with their limits."""
    servers = max(6, round(nodes * rng.uniform(0.4, 1.0)))
    fast = rng.randint(1, servers - 1)
    sites = _sites(rng)
    common = {
        "sites": sites, "cell_size": rng.randint(4, 8), "cold_share": round(rng.uniform(0.14, 0.3), 3),
        "ramp_s": round(rng.uniform(10, 23), 1), "idle_s": round(_log_uniform(rng, 2, 20), 1),
        "connections": round(_log_uniform(rng, max(24, nodes / 4), 640)),
        "connection_cost_us": round(rng.uniform(650, 3000)),
        "error_rate": round(rng.uniform(0, 0.002), 5),
    }
    groups = [
        Servers(count=fast, machine="fast", speed=(1.3, 1.7), **common),  # type: ignore[arg-type]
        Servers(count=servers - fast, machine="standard", **common),  # type: ignore[arg-type]
    ]
    low, high = sorted((rng.uniform(5, 160), rng.uniform(5, 160)))
    return Scenario(
        name=name, length_s=length_s,
        nodes=Nodes(count=nodes, sockets=rng.choice([256, 384, 512, 640, 1024]),
                    memory_mb=rng.choice([64, 80, 96, 192]),
                    connect_timeout_ms=round(rng.uniform(150, 400))),
        servers=groups,
        load=Load(utilisation=round(rng.uniform(0.45, 0.8), 3), shape=rng.choice(["steady", "ramp"]),
                  swing=round(rng.uniform(0.1, 0.36), 3), work_scale=round(rng.uniform(2.0, 3.5), 3),
                  keys=rng.randint(1400, 3700), zipf=round(rng.uniform(0.6, 1.1), 3),
                  node_skew=round(rng.uniform(0.2, 0.8), 3)),
        callers=Callers(retries=rng.randint(0, 2), backoff=rng.choice(["none", "fixed", "exp"]),
                        backoff_ms=(round(low, 1), round(high, 1)), honour=round(rng.uniform(0.3, 1.0), 3),
                        try_share=_interval(rng, 0.34, 1.0), impatient=round(rng.uniform(0, 0.02), 4),
                        notice_s=round(rng.uniform(1, 4), 2)),
        discovery=Discovery(notice_s=_interval(rng, 1.9, 5.0), add_s=_interval(rng, 0.36, 2.5),
                            calls_per_s=round(nodes / rng.uniform(2, 8), 2)),
        rules=Rules(ask_every_s=round(rng.uniform(6, 12), 2)),
    )


def _faulty_servers(rng: Rng, share: float, at: float, length_s: float) -> Fault:
    """Draws a fault that makes a share of the servers slow or failing for some seconds."""
    kind = rng.choice(["slow", "turn_away", "hang", "reset", "spoil"])
    for_s = round(min(length_s - at, rng.uniform(6, 14)), 2)
    if kind == "slow":
        return Fault(at_s=at, kind="slow", servers=share, for_s=for_s, factor=round(rng.uniform(2, 9.5), 2))
    extra = {"how": "noise"} if kind == "spoil" else {}
    return Fault(at_s=at, kind=kind, servers=share, for_s=for_s,  # type: ignore[arg-type]
                 share=round(rng.uniform(0.3, 1.0), 3), **extra)  # type: ignore[arg-type]


def _extra_fault(rng: Rng, s: Scenario) -> Fault:
    """Draws one additional fault of a kind that has been recorded at the counters."""
    at = round(rng.uniform(0.15, 0.6) * s.length_s, 2)
    kind = rng.choice(["die", "slow", "flood", "hot_key", "bad"])
    if kind == "die":
        return Fault(at_s=at, kind="die", servers=round(rng.uniform(0.05, 0.23), 3),
                     back_s=round(rng.uniform(8, 21), 2))
    if kind == "slow":
        return Fault(at_s=at, kind="slow", servers=round(rng.uniform(0.05, 0.24), 3),
                     for_s=round(rng.uniform(10, 35), 2), factor=round(rng.uniform(2, 9.5), 2))
    if kind == "flood":
        agents = ["agent-a", "agent-b", "agent-c", "agent-d"]
        return Fault(at_s=at, kind="flood", agent=rng.choice(agents), for_s=round(rng.uniform(8.5, 18), 2),
                     factor=round(rng.uniform(2.4, 5.5), 2))
    if kind == "hot_key":
        return Fault(at_s=at, kind="hot_key", share=round(rng.uniform(0.065, 0.21), 3), keys=rng.randint(1, 3),
                     for_s=round(rng.uniform(5, 20), 2))
    return _faulty_servers(rng, round(rng.uniform(0.03, 0.15), 3), at, s.length_s)


def _calm(rng: Rng, s: Scenario) -> list[Fault]:
    """No fault, but a load burst of 50 %, caused by the flood of one agent."""
    share = {"agent-a": 0.22, "agent-b": 0.19}
    agent = rng.choice(sorted(share))
    return [Fault(at_s=round(rng.uniform(4, 12), 2), kind="flood", agent=agent, for_s=round(rng.uniform(3, 8), 2),
                  factor=round(1 + 0.5 / share[agent], 2))]


def _roll(rng: Rng, s: Scenario) -> list[Fault]:
    """A rolling release: half of the servers are replaced in steps, nodes restart by tenths, discovery moves."""
    begin, gap, steps = rng.uniform(2, 4), rng.uniform(1.0, 1.8), rng.randint(4, 8)
    # The nodes of each tenth are drawn independently, as a restart may be repeated: some restart twice, some never.
    faults = [Fault(at_s=round(begin + i * gap, 2), kind="node_term", nodes=max(1, s.nodes.count // 10), back_s=0.6)
              for i in range(10)]
    faults += [Fault(at_s=round(begin + 0.5 + i * gap * 10 / steps, 2), kind="drain", servers=round(0.5 / steps, 4),
                     linger_s=round(rng.uniform(2, 5), 2), back_s=round(rng.uniform(0.5, 2), 2))
               for i in range(steps)]
    return [*faults, Fault(at_s=round(begin + rng.uniform(2, 9) * gap, 2), kind="discovery_move")]


def _herd(rng: Rng, s: Scenario) -> list[Fault]:
    """A release, 70 % of the nodes killed at once, discovery overloaded by calls, and one in eight servers faulty."""
    at = round(rng.uniform(5, 10), 2)
    return [
        Fault(at_s=round(rng.uniform(2, 4), 2), kind="drain", servers=round(rng.uniform(0.1, 0.3), 3),
              linger_s=round(rng.uniform(2, 5), 2), back_s=round(rng.uniform(0.5, 2), 2)),
        _faulty_servers(rng, 0.125, round(rng.uniform(2, 8), 2), s.length_s),
        Fault(at_s=at, kind="node_kill", nodes=max(1, round(0.7 * s.nodes.count)),
              back_s=round(rng.uniform(0.5, 2), 2)),
    ]


def _zone(rng: Rng, s: Scenario) -> list[Fault]:
    """A zone fails for 5 s and restarts cold, another becomes unreachable, and one in eight servers is faulty."""
    sites = s.servers[0].sites
    at = round(rng.uniform(3, 9), 2)
    faults = [_faulty_servers(rng, 0.125, round(rng.uniform(2, 10), 2), s.length_s)]
    if len(sites) < 2:
        return [*faults, Fault(at_s=at, kind="die", servers=0.3, back_s=5.0)]
    lost, cut = rng.sample(sites, 2)
    return [*faults, Fault(at_s=at, kind="die", servers=ALL, site=lost, back_s=5.0),
            Fault(at_s=round(at + rng.uniform(0, 8), 2), kind="vanish", servers=ALL, site=cut,
                  for_s=round(rng.uniform(2, 5), 2))]


def _split(rng: Rng, s: Scenario) -> list[Fault]:
    """A 6 s partition: a zone (or a fifth of the servers) is unreachable, lists are late, there are no peer messages,
    and some answers are lost or reset."""
    at = round(rng.uniform(4, 9), 2)
    s.nodes.peers = False
    s.discovery.notice_s, s.discovery.add_s = (4.0, 5.0), (4.0, 5.0)
    sites = s.servers[0].sites
    if len(sites) > 1:
        silent = Fault(at_s=at, kind="vanish", servers=ALL, site=rng.choice(sites), for_s=6.0)
    else:
        silent = Fault(at_s=at, kind="vanish", servers=0.2, for_s=6.0)
    return [
        silent,
        Fault(at_s=at, kind="hang", servers=0.3, share=round(rng.uniform(0.02, 0.1), 3), for_s=6.0),
        Fault(at_s=at, kind="reset", servers=0.3, share=round(rng.uniform(0.02, 0.15), 3), for_s=6.0, byte=0,
              where=rng.choice(["request", "answer"])),
    ]


def _join(rng: Rng, s: Scenario) -> list[Fault]:
    """60 % of the servers are replaced within 7 s; answers are corrupted; callers leave early or retry too often."""
    at, steps = rng.uniform(3, 7), rng.randint(1, 6)
    c = s.callers
    if rng.random() < 0.5:
        c.impatient = round(rng.uniform(0.05, 0.2), 3)
    else:
        c.retries, c.backoff = 2, "none"
    drains = [Fault(at_s=round(at + 7 * i / steps, 2), kind="drain", servers=round(0.6 / steps, 4),
                    linger_s=round(rng.uniform(1.5, 5), 2), back_s=round(rng.uniform(0.2, 1.5), 2))
              for i in range(steps)]
    return [*drains, Fault(at_s=round(at, 2), kind="spoil", servers=0.1, for_s=7.0,
                           how=rng.choice(["noise", "again"]), share=round(rng.uniform(0.02, 0.1), 3))]


def _soak(rng: Rng, s: Scenario) -> list[Fault]:
    """45 minutes with few nodes, during which servers are replaced continuously."""
    gap = rng.uniform(20, 40)
    return [Fault(at_s=round(10 + i * gap, 2), kind="drain", servers=0.15, linger_s=round(rng.uniform(2, 5), 2),
                  back_s=round(rng.uniform(0.5, 2), 2)) for i in range(int((s.length_s - 30) / gap))]


FAULTS: dict[str, Callable[[Rng, Scenario], list[Fault]]] = {
    "calm": _calm, "roll": _roll, "herd": _herd, "zone": _zone, "split": _split, "join": _join, "soak": _soak,
}
DAYS = tuple(FAULTS)


def day(name: str, seed: int, nodes: int = NODES) -> Scenario:
    """Returns the scenario of a day; raises ``KeyError`` for an unknown day.  The soak has 1/40 of the nodes."""
    faults = FAULTS[name]
    rng = random.Random(f"{name}/{seed}/day")
    soak = name == "soak"
    s = _deployment(rng, f"{name}-{seed}", max(2, nodes // 40) if soak else nodes, SOAK_S if soak else LENGTH_S)
    s.faults = faults(rng, s)
    if name != "calm":
        s.faults.append(_extra_fault(rng, s))
    s.faults.sort(key=lambda f: f.at_s)
    return check(s)
