"""Reduces a scenario that breaks a rule to a minimal one that still does; without I/O.

The search is greedy: each step makes the scenario smaller, with fewer nodes or servers, without a fault, or shorter.
A step is kept if the run still fails in the same way.  Every run is deterministic, so the result can be replayed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from headspar.model.figures import Outcome
from headspar.world.scenario import Scenario, ScenarioError, check

MAX_RUNS = 120
Run = Callable[[Scenario, int], Outcome]


def failure_modes(outcome: Outcome) -> set[str]:
    """Returns the rules that a run broke, or only ``crash`` if it crashed, whatever the message."""
    return {"crash"} if outcome.crash else set(outcome.broken)


def size(s: Scenario) -> tuple[int, int, int, float]:
    """Returns the counts of nodes, servers and faults, and the length in seconds."""
    return s.nodes.count, sum(g.count for g in s.servers), len(s.faults), s.length_s


def copy(s: Scenario) -> Scenario:
    return msgspec.convert(msgspec.to_builtins(s), Scenario)


def _nodes(s: Scenario, count: int) -> Scenario:
    """Sets the number of nodes.

    Faults affect the same share of the nodes, and the load and the rate of discovery calls per node stay the same."""
    out = copy(s)
    share = count / s.nodes.count
    out.nodes.count = count
    out.discovery.calls_per_s = s.discovery.calls_per_s * share
    for f in out.faults:
        if f.nodes is not None:
            f.nodes = max(1, round(f.nodes * share))
    return out


def _servers(s: Scenario, share: float) -> Scenario:
    out = copy(s)
    out.servers = [g for g in out.servers if round(g.count * share) >= 1] or out.servers[:1]
    for g in out.servers:
        g.count = max(1, round(g.count * share))
    out.load.rps = s.load.rps * share
    for f in out.faults:
        if f.servers is not None and f.servers >= 1:
            f.servers = float(max(1, round(f.servers * share)))
    return out


def _without(s: Scenario, first: int, count: int) -> Scenario:
    out = copy(s)
    del out.faults[first:first + count]
    return out


def _shorter(s: Scenario, length_s: float) -> Scenario:
    out = copy(s)
    out.length_s = length_s
    out.faults = [f for f in out.faults if f.at_s < length_s]
    return out


def smaller(s: Scenario) -> Iterator[Scenario]:
    """Yields scenarios that are one step smaller, the largest steps first."""
    nodes, servers, faults, length_s = size(s)
    for count in sorted({max(1, nodes // 4), max(1, nodes // 2), max(1, nodes - max(1, nodes // 4)), nodes - 1}):
        if 1 <= count < nodes:
            yield _nodes(s, count)
    for share in (0.25, 0.5, 0.75):
        candidate = _servers(s, share)
        if size(candidate)[1] < servers:
            yield candidate
    if faults:
        step = max(1, faults // 2)
        while step:
            for first in range(0, faults, step):
                yield _without(s, first, step)
            step //= 2
    for share in (0.5, 0.75):
        if length_s * share >= 2:
            yield _shorter(s, round(length_s * share, 2))
    yield from _with_defaults(s)


def _with_defaults(s: Scenario) -> Iterator[Scenario]:
    """Yields scenarios of the same size with one setting reset to its default, so that the relevant ones remain."""
    defaults = Scenario(name=s.name, length_s=s.length_s)
    for table, fields in {
        "callers": ("retries", "backoff", "try_share", "impatient", "honour"),
        "load": ("swing", "shape", "node_skew", "zipf"),
    }.items():
        for field in fields:
            default: Any = getattr(getattr(defaults, table), field)
            if getattr(getattr(s, table), field) != default:
                out = copy(s)
                setattr(getattr(out, table), field, default)
                yield out


def shrink(s: Scenario, seed: int, run: Run, max_runs: int = MAX_RUNS) -> tuple[Scenario, Outcome, int]:
    """Returns the smallest scenario found that shares a failure mode with ``s``, its outcome and the number of runs.

    Raises ``ValueError`` if ``s`` does not fail."""
    found = run(s, seed)
    modes = failure_modes(found)
    if not modes:
        raise ValueError(f"{s.name}, seed {seed}: breaks no rule")
    runs = 1
    reduced = True
    while reduced:
        reduced = False
        for candidate in smaller(s):
            if runs >= max_runs:
                return s, found, runs
            try:
                candidate = check(candidate)
            except ScenarioError:
                continue
            runs += 1
            outcome = run(candidate, seed)
            if failure_modes(outcome) & modes:
                s, found, reduced = candidate, outcome, True
                break
    return s, found, runs


def to_toml(s: Scenario) -> str:
    """Returns the scenario as TOML for the lab and the model, without values that are the default."""
    default = msgspec.to_builtins(Scenario(name="", length_s=0.0))
    rows = msgspec.to_builtins(s)
    lines = [f"{name} = {_value(rows[name])}" for name in ("name", "length_s")]
    for name in ("nodes", "load", "callers", "discovery", "rules"):
        changed = {k: v for k, v in rows[name].items() if name == "load" and v or v != default[name].get(k)}
        if changed:
            lines += ["", f"[{name}]", *(f"{k} = {_value(v)}" for k, v in changed.items())]
    usual = default["servers"][0]
    for g in rows["servers"]:
        lines += ["", "[[servers]]", *(f"{k} = {_value(v)}" for k, v in g.items() if k == "count" or v != usual[k])]
    for f in rows["faults"]:
        lines += ["", "[[faults]]", *(f"{k} = {_value(v)}" for k, v in f.items() if v is not None)]
    return "\n".join(lines) + "\n"


def _value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(_value, value)) + "]"
    return repr(value)
