"""Plans the stages of a change: one node, then one node in each other site, then shares of the fleet.  No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec


class Candidate(msgspec.Struct, frozen=True):
    """A node to be planned; ``load`` is in requests per second."""

    name: str
    site: str
    load: float = 0.0


def order(nodes: Iterable[Candidate]) -> list[Candidate]:
    """Return the nodes in the order in which they change.

    Sites take turns, so that no site is down to few unchanged nodes before the others.  Within a site the nodes with
    the lowest load come first, so that a bad change affects the fewest requests.
    """
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
    """Return the stages as lists of node names.  Each node is in exactly one stage; empty stages are omitted.

    ``shares`` are the cumulative shares of the fleet that have changed by the end of each stage after the first two;
    the last one is 1.
    """
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
