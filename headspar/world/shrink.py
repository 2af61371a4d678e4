"""Finds a smaller scenario that still breaks a rule; without I/O.

``shrink`` removes one part after another (faults, proxies, half of the time, a node, a server) and keeps each smaller
scenario that ``breaks`` confirms, until no part can be removed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from msgspec.structs import replace

from headspar.world.scenario import Fault, Scenario, ScenarioError, check

MIN_LENGTH_S = 3.0
PROOFS_NEEDED = 3  # plays that break the same rule
PLAYS = 5  # real time differs from play to play


@dataclass(frozen=True, slots=True)
class Removal:
    """A scenario with one part less; ``part`` names it."""

    part: str
    scenario: Scenario


def removals(s: Scenario) -> Iterator[Removal]:
    """The valid scenarios with one part less, the largest parts first."""
    for part, smaller in _smaller(s):
        try:
            yield Removal(part, check(smaller))
        except ScenarioError:
            continue


def _smaller(s: Scenario) -> Iterator[tuple[str, Scenario]]:
    if s.length_s / 2 >= MIN_LENGTH_S:
        half_s = s.length_s / 2
        yield "the second half", replace(s, length_s=half_s, faults=[f for f in s.faults if f.at_s < half_s])
    if len(s.faults) > 1:
        middle = len(s.faults) // 2
        yield "the first half of the faults", replace(s, faults=s.faults[middle:])
        yield "the second half of the faults", replace(s, faults=s.faults[:middle])
    if s.links is not None:
        yield "links", replace(s, links=None)
    for i, fault in enumerate(s.faults):
        yield f"fault {i} ({fault.kind})", replace(s, faults=s.faults[:i] + s.faults[i + 1:])
    if s.nodes.count > 1:
        count = s.nodes.count - 1
        yield "a node", replace(
            s, nodes=replace(s.nodes, count=count), faults=[_on_nodes(f, count) for f in s.faults]
        )
    for i, group in enumerate(s.servers):
        if group.count > 1:
            servers = s.servers[:i] + [replace(group, count=group.count - 1)] + s.servers[i + 1:]
            total = sum(g.count for g in servers)
            yield "a server", replace(s, servers=servers, faults=[_on_servers(f, total) for f in s.faults])


def _on_nodes(fault: Fault, count: int) -> Fault:
    return fault if fault.nodes is None else replace(fault, nodes=min(fault.nodes, count))


def _on_servers(fault: Fault, count: int) -> Fault:
    return fault if fault.servers is None else replace(fault, servers=min(fault.servers, count))


def shrink(s: Scenario, breaks: Callable[[Removal], bool]) -> Scenario:
    """Removes parts of ``s`` as long as ``breaks`` holds for the rest; returns the least scenario found."""
    while True:
        found = next((r.scenario for r in removals(s) if breaks(r)), None)
        if found is None:
            return s
        s = found


def confirmed(play: Callable[[], bool]) -> bool:
    """Whether at least ``PROOFS_NEEDED`` of up to ``PLAYS`` plays break the rule; stops once that is decided."""
    proofs = 0
    for played in range(1, PLAYS + 1):
        proofs += play()
        if proofs >= PROOFS_NEEDED:
            return True
        if PLAYS - played < PROOFS_NEEDED - proofs:
            return False
    return False
