"""Limits on how many nodes may be out at once, in total and per site.  No I/O, no clock.

A node counts as out while it does not serve for any reason, while it is changing, and while it is unreachable.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Limits(msgspec.Struct, frozen=True):
    """The limits under which nodes are changed.

    ``most`` and ``most_of_site`` are the maximum number of nodes out at once, in total and per site.  ``node_rps`` is
    the capacity of a node in requests per second (0: unknown), and ``headroom`` the minimum ratio of capacity to load
    that a site must keep.  ``cold_most`` is the maximum share of servers that may be cold.
    """

    most: int = 2
    most_of_site: int = 1
    node_rps: float = 0.0
    headroom: float = 1.3
    cold_most: float = 0.3


class NodeCondition(msgspec.Struct, frozen=True):
    """The current condition of a node.

    ``out``: the node is not serving, changing or unreachable.  ``down``: it is known to serve no requests.  ``rate``
    is in requests per second.
    """

    name: str
    site: str
    out: bool
    rate: float = 0.0
    cold: float = 0.0  # share of the servers that the node lists as cold
    down: bool = False


class DisruptionBudget:
    """Decides which nodes may be taken out now.  A node that is taken counts against the limits at once."""

    def __init__(self, limits: Limits, nodes: Iterable[NodeCondition]) -> None:
        self.limits = limits
        self.nodes = {node.name: node for node in nodes}
        self.out = {node.name for node in self.nodes.values() if node.out}

    def _site(self, site: str) -> list[NodeCondition]:
        return [node for node in self.nodes.values() if node.site == site]

    def refusal(self, name: str, *, keeps_serving: bool, rolling_back: bool = False) -> str:
        """Return why a node may not be taken out now; empty if it may.

        ``stays``: the node keeps serving during the change because a second process takes over.  ``needed``: the node
        is being rolled back, which cold servers do not delay.
        """
        node, limits = self.nodes[name], self.limits
        if node.down:
            return ""  # it serves no requests, so no capacity is lost
        others = len(self.out - {name})  # a node that may be changing counts against others, not against itself
        if others >= limits.most:
            return f"{others} nodes are out, {limits.most} are allowed"
        site = self._site(node.site)
        out = sum(n.name in self.out for n in site if n.name != name)
        if out >= limits.most_of_site:
            return f"{out} nodes of {node.site} are out, {limits.most_of_site} are allowed"
        left = len(site) - out - 1
        if left < 1 and not keeps_serving:
            return f"it is the last healthy node of {node.site}"
        load = sum(n.rate for n in site)
        capacity = left * limits.node_rps
        if limits.node_rps > 0 and limits.headroom > 0 and not keeps_serving and capacity < limits.headroom * load:
            return f"{node.site}: {left} nodes would carry {load:.0f} requests per second"
        cold = sorted(n.cold for n in self.nodes.values() if not n.out)
        if not rolling_back and cold and cold[len(cold) // 2] > limits.cold_most:
            return f"{cold[len(cold) // 2]:.0%} of the servers are cold"
        return ""

    def take(self, name: str) -> None:
        """Count the node as out from now on."""
        self.out.add(name)
