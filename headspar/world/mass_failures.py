"""Scenarios of mass failures of nodes, generated from a seed, on which recovery is measured.  Performs no I/O.

They combine conditions of real installations: little traffic, spread unevenly over the nodes; servers that hold few
connections and pay for each new one; a rolling release with cold servers; one slow server in eight; callers that
retry soon; and a discovery service of limited throughput.  Lab and model run the same scenarios.
"""

from __future__ import annotations

import random

import msgspec

from headspar.world.plan import Plan
from headspar.world.scenario import Callers, Discovery, Fault, Load, Nodes, Rules, Scenario, Servers, check

FAILURE_AT_S = 6.0  # time of the failure in the run
LENGTH_S = 26.0
SERVERS_A_NODE = 0.75


class MassFailure(msgspec.Struct, frozen=True):
    """A mass failure: at ``at_s`` of the run, ``share`` of ``nodes`` fail within ``spread_s``, and each returns after
    ``back_s``.

    ``kind``: "node_kill" or "node_term" (restart), or "node_stop" (process pause).  ``calls_per_s``: throughput of
    discovery, 0 if unlimited; ``utilisation``: load on the warm servers.  ``again``: how often callers retry; if
    ``deaf``, they do so without backoff and ignore Retry-After.  ``release``: meanwhile servers are replaced and one
    in eight is slow."""

    nodes: int = 24
    share: float = 0.7
    kind: str = "node_kill"
    spread_s: float = 0.2
    back_s: float = 1.0
    calls_per_s: float = 8.0
    utilisation: float = 0.5
    at_s: float = FAILURE_AT_S
    length_s: float = LENGTH_S
    again: int = 2
    deaf: bool = False
    release: bool = True


def scenario(failure: MassFailure, seed: int) -> Scenario:
    """Generate the scenario for ``seed``.  Raises ``ScenarioError`` if the parameters of ``failure`` are invalid."""
    rng = random.Random(f"{seed}/comeback")
    servers = max(6, round(failure.nodes * SERVERS_A_NODE))
    common = {
        "cell_size": 4, "cold_share": round(rng.uniform(0.15, 0.3), 3), "ramp_s": round(rng.uniform(8, 14), 1),
        "connections": max(24, failure.nodes), "connection_cost_us": round(rng.uniform(1500, 3000)), "idle_s": 8.0,
    }
    fast = rng.randint(1, servers - 1)
    failing = min(failure.nodes, max(1, round(failure.share * failure.nodes)))
    pauses = failure.kind == "node_stop"
    faults = [Fault(at_s=failure.at_s, kind=failure.kind, nodes=failing, spread_s=failure.spread_s or None,  # type: ignore[arg-type]
                    **({"for_s": failure.back_s} if pauses else {"back_s": failure.back_s}))]  # type: ignore[arg-type]
    if failure.release:
        faults += [
            Fault(at_s=failure.at_s - 2.5, kind="drain", servers=0.25, linger_s=2.0, back_s=2.5),
            Fault(at_s=failure.at_s - 1.0, kind="slow", servers=0.125, for_s=failure.length_s - failure.at_s,
                  factor=4.0),
        ]
    return check(Scenario(
        name=f"comeback-{failure.nodes}-{seed}", length_s=failure.length_s,
        nodes=Nodes(count=failure.nodes, connect_timeout_ms=250),
        servers=[
            Servers(count=fast, machine="fast", speed=(1.3, 1.7), **common),  # type: ignore[arg-type]
            Servers(count=servers - fast, machine="standard", **common),  # type: ignore[arg-type]
        ],
        load=Load(utilisation=failure.utilisation, swing=0.1, work_scale=2.0, node_skew=0.5),
        callers=Callers(retries=failure.again, backoff="none" if failure.deaf else "exp",
                        honour=0.0 if failure.deaf else 0.6, notice_s=1.0),
        discovery=Discovery(notice_s=(1.0, 2.0), add_s=(0.3, 0.8), calls_per_s=failure.calls_per_s),
        rules=Rules(ask_every_s=8.0),
        faults=sorted(faults, key=lambda f: f.at_s),
    ))


def without_failure(plan: Plan) -> Plan:
    """The same plan without faults of nodes; those of servers, discovery and callers stay."""
    servers = {p.id for p in plan.servers} | {"c", "d"}
    return msgspec.structs.replace(plan, steps=[s for s in plan.steps if servers.issuperset(s.targets)])
