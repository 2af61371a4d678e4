"""Which nodes change in which stage: one node, one in each other site, then shares of the fleet; without I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec


class Candidate(msgspec.Struct, frozen=True):
    """A node as the plan sees it; ``load`` in requests a second."""

    name: str
    site: str
    load: float = 0.0


def order(nodes: Iterable[Candidate]) -> list[Candidate]:
    """The order within a stage: sites take turns, and in each the nodes with the least load come first, so that a
    bad change meets the fewest requests and no site is left with few nodes before the others."""
    by_site: dict[str, list[Candidate]] = {}
    for node in sorted(nodes, key=lambda n: (n.load, n.name)):
        by_site.setdefault(node.site, []).append(node)
    ranked = [
        (rank / len(row), -len(row), row[rank].site, row[rank])
        for row in by_site.values() for rank in range(len(row))
    ]
    ranked.sort(key=lambda key: key[:3])
    return [node for *_, node in ranked]


def plan(nodes: Sequence[Candidate], shares: Sequence[float]) -> list[list[str]]:
    """Stages of names, each node in exactly one; empty stages are left out.  ``shares``: of the fleet, done by the
    end of each stage after the first two; the last is 1."""
    rest = order(nodes)
    if not rest:
        return []
    first = rest.pop(0)
    stages = [[first.name]]
    one_each: dict[str, str] = {}
    for node in rest:
        if node.site != first.site:
            one_each.setdefault(node.site, node.name)
    stages.append(list(one_each.values()))
    left = [node.name for node in rest if node.name not in one_each.values()]
    done = 1 + len(one_each)
    for share in shares:
        upto = math.ceil(share * len(nodes) - 1e-9) if share < 1 else len(nodes)
        take = max(0, upto - done)
        stages.append(left[:take])
        left = left[take:]
        done += take
    return [stage for stage in stages if stage]
