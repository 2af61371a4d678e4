"""How many nodes may be out at once, and where; without I/O or clock.

A node counts as out while it does not serve, for whatever reason, while it changes, and while it is not heard of.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Limits(msgspec.Struct, frozen=True):
    """``most``, ``most_of_site``: nodes out at once.  ``node_rps``: what a node carries (0: not known);
    ``headroom``: capacity over load that stays in a site.  ``cold_most``: share of servers that are cold now."""

    most: int = 2
    most_of_site: int = 1
    node_rps: float = 0.0
    headroom: float = 1.3
    cold_most: float = 0.3


class Now(msgspec.Struct, frozen=True):
    """A node at this moment; ``out``: not serving, changing or not heard of; ``down``: it is known to serve nobody.
    ``rate`` in requests a second."""

    name: str
    site: str
    out: bool
    rate: float = 0.0
    cold: float = 0.0  # the share of servers that it lists as cold
    down: bool = False


class Room:
    """Who may be taken out now.  Each that is taken counts at once."""

    def __init__(self, limits: Limits, nodes: Iterable[Now]) -> None:
        self.limits = limits
        self.nodes = {node.name: node for node in nodes}
        self.out = {node.name for node in self.nodes.values() if node.out}

    def _site(self, site: str) -> list[Now]:
        return [node for node in self.nodes.values() if node.site == site]

    def refusal(self, name: str, *, stays: bool, needed: bool = False) -> str:
        """Why a node may not be taken now; empty if it may.  ``stays``: it goes on serving while it changes, as a
        second process takes over; ``needed``: it goes back, and cold servers are no reason to leave it."""
        node, limits = self.nodes[name], self.limits
        if node.down:
            return ""  # nothing is taken away
        others = len(self.out - {name})  # what may be changing just now counts, but not against itself
        if others >= limits.most:
            return f"{others} nodes are out, {limits.most} may be"
        site = self._site(node.site)
        out = sum(n.name in self.out for n in site if n.name != name)
        if out >= limits.most_of_site:
            return f"{out} nodes of {node.site} are out, {limits.most_of_site} may be"
        left = len(site) - out - 1
        if left < 1 and not stays:
            return f"it is the last healthy node of {node.site}"
        load = sum(n.rate for n in site)
        room = left * limits.node_rps
        if limits.node_rps > 0 and limits.headroom > 0 and not stays and room < limits.headroom * load:
            return f"{node.site}: {left} nodes would carry {load:.0f} requests a second"
        cold = sorted(n.cold for n in self.nodes.values() if not n.out)
        if not needed and cold and cold[len(cold) // 2] > limits.cold_most:
            return f"{cold[len(cold) // 2]:.0%} of the servers are cold now"
        return ""

    def take(self, name: str) -> None:
        """It is out from now on."""
        self.out.add(name)
