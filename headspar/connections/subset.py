"""Deterministic subsetting: the servers that a node keeps connections to in a large fleet; without I/O.

A node that sends to all of a thousand servers with a third as many descriptors closes a connection and opens another
for each request.  It therefore uses a subset of the servers, and the decision module picks among those.

*Request density.*  Where many nodes share many servers, a node sends to each server less than once a second: hardly
any connection is recently proven, the learned state of a server is stale, and a cold server's share is less than one
request.  Where a subset of ``reach`` servers leaves at least ``overlap`` nodes for each server, a node uses ``reach``
servers: few enough to send to each often, and enough to survive the loss of many.

*Balance.*  The servers of each zone form a ring, ordered by hashes of their cells and ids and identical at every
node.  Node i of n takes a window that begins at rank i*N/n of the N servers of the zone and has the size of its share
of them.  Each rank is then covered by the same number of nodes, give or take one (the ring of Twitter's deterministic
aperture; rendezvous hashing per node would leave some servers with a third of the nodes of others).  Nodes with
consecutive numbers, which are restarted one after another, are far apart on the ring.

*Stability.*  Adding or removing one server shifts a node's window by at most one rank.  Removed servers are replaced
at once; other differences are exchanged one server per ``swap_us``, in an order that differs by node, because nodes
with overlapping windows would otherwise all turn to the same new server first.

*Rotation.*  Where all nodes together cover fewer servers than there are, the windows rotate by one rank per
``turn_us``, so that every server is used for some of the time.

*Cells.*  The servers of a cell are adjacent on the ring, so that a retry that must stay in its cell finds another
server there.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import gcd

MAX_SWAPS = 4  # maximum number of exchanges in one tick
GOLDEN = 0.618  # fraction of the ring between nodes with consecutive numbers


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Settings of a ``Subset``.

    ``most`` is the maximum number of connections in total; ``node`` is the index of this node among ``nodes``, from
    0.  ``per_server`` is the number of connections that each server of the subset should be able to have.  All
    servers are used as long as one connection to each takes at most the share ``room`` of ``most``.  ``reach`` is the
    subset size in a large fleet (0: all servers) and ``overlap`` the minimum number of nodes for each server then.
    One server is exchanged per ``swap_us``; windows rotate by one rank per ``turn_us``.

    Raises ``ValueError`` that names the field for a value out of range.
    """

    most: int
    node: int = 0
    nodes: int = 1
    per_server: int = 2
    room: float = 0.875
    swap_us: int = 1_000_000
    turn_us: int = 4_000_000
    reach: int = 0
    overlap: int = 6

    def __post_init__(self) -> None:
        for name in ("most", "nodes", "per_server", "swap_us", "turn_us"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")
        if not 0 <= self.node < self.nodes:
            raise ValueError("node: must lie in 0 .. nodes - 1")
        if not 0 < self.room <= 1:
            raise ValueError("room: must lie above 0 and at most 1")
        if self.reach < 0 or self.overlap < 1:
            raise ValueError("reach: must not be negative; overlap: must be above 0")

    def kept(self, servers: int) -> int:
        """The subset size that the fleet's size calls for, out of ``servers``; all where the fleet is small."""
        return self.reach if 0 < self.overlap * servers <= self.reach * self.nodes else servers


@dataclass(frozen=True, slots=True)
class SubsetMember:
    """A server that requests may be sent to."""

    id: str
    zone: str = ""
    cell: int = 0


@dataclass(slots=True)
class SubsetChange:
    """The ids of servers that have entered and left the subset."""

    entered: list[str]
    left: list[str]

    def __bool__(self) -> bool:
        return bool(self.entered or self.left)


def _hash(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()


def ring_position(node: int, nodes: int) -> int:
    """The position of a node among ``nodes`` on the ring: multiples of a stride coprime to their number, near the
    golden section."""
    stride = max(1, round(GOLDEN * nodes))
    while gcd(stride, nodes) != 1:
        stride += 1
    return node * stride % nodes


def shares(sizes: dict[str, int], total: int) -> dict[str, int]:
    """Splits ``total`` over zones in proportion to their sizes by the largest remainder method; at least one each."""
    servers = sum(sizes.values())
    exact = {zone: total * size / servers for zone, size in sizes.items()}
    out = {zone: min(sizes[zone], max(1, int(part))) for zone, part in exact.items()}
    for zone in sorted(exact, key=lambda z: (int(exact[z]) - exact[z], z)):
        if sum(out.values()) < total and out[zone] < sizes[zone]:
            out[zone] += 1
    return out


class Subset:
    """The subset of servers of one node."""

    def __init__(self, settings: SubsetSettings) -> None:
        self.change(settings)
        self.zones: dict[str, list[str]] = {}  # the ring of each zone: server ids in the order shared by all nodes
        self.members: dict[str, SubsetMember] = {}
        self.keys: dict[str, tuple[bytes, bytes]] = {}
        self.held: set[str] = set()
        self.size = 0  # target number of servers in the subset
        self.whole = True  # the subset holds all servers
        self.started_at = 0
        self.swapped_at = 0
        self.entering: list[str] = []  # still to be added; one exchange per ``swap_us``
        self.leaving: list[str] = []  # still to be removed

    def change(self, settings: SubsetSettings) -> None:
        """Sets another position among the nodes, or other limits, for the next ``update`` or ``tick``."""
        self.settings = settings
        self.ring_position = ring_position(settings.node, settings.nodes)

    def update(self, members: Iterable[SubsetMember], now: int) -> SubsetChange:
        """Applies a new list of servers; returns the immediate change of the subset.  ``now`` in us."""
        self.members = {m.id: m for m in members}
        self.keys = {id: self.keys.get(id) or _key(m) for id, m in self.members.items()}
        before = set(self.held)
        self.started_at = self.started_at or now
        settings = self.settings
        count = len(self.members)
        self.whole = count <= min(settings.room * settings.most, settings.kept(count))
        if self.whole:
            self.held = set(self.members)
            self.entering, self.leaving, self.zones = [], [], {}
            self.size = len(self.held)
            return _change(before, self.held)
        self._build_rings()
        wanted = self.wanted(now)
        if len(self.held) > self.size:  # all servers were in the subset until now
            self.held = wanted
        self.held &= self.members.keys()
        for id in sorted(wanted - self.held, key=self.keys.__getitem__):
            if len(self.held) >= self.size:
                break
            self.held.add(id)
        if not self.entering:
            self.swapped_at = now
        self._plan_swaps(wanted)
        return _change(before, self.held)

    def tick(self, now: int) -> SubsetChange:
        """Makes the exchanges that are due; at most ``MAX_SWAPS`` of them, however long the last tick is ago."""
        settings = self.settings
        due = min(MAX_SWAPS, (now - self.swapped_at) // settings.swap_us)
        if self.whole or due < 1:
            return SubsetChange([], [])
        self.swapped_at = now
        if self._rotating():
            self._plan_swaps(self.wanted(now))
        entered = [self.entering.pop() for _ in range(min(due, len(self.entering)))]
        surplus = min(due, len(self.leaving), len(self.held) + len(entered) - self.size)
        left = [self.leaving.pop() for _ in range(surplus)]
        self.held.update(entered)
        self.held.difference_update(left)
        return SubsetChange(entered, left)

    def coverage(self) -> float:
        """The share of the servers in the subset, which is also the share of nodes that use a given server."""
        return len(self.held) / len(self.members) if self.members else 1.0

    # ------------------------------------------------------------

    def wanted(self, now: int) -> set[str]:
        """The servers in this node's window on the ring of each zone."""
        settings = self.settings
        rotation = (now - self.started_at) // settings.turn_us if self._rotating() else 0
        sizes = {zone: len(ids) for zone, ids in self.zones.items()}
        out: set[str] = set()
        for zone, count in shares(sizes, self.size).items():
            ids = self.zones[zone]
            first = self.ring_position * len(ids) // settings.nodes + rotation
            out.update(ids[(first + i) % len(ids)] for i in range(count))
        return out

    def _rotating(self) -> bool:
        return self.size * self.settings.nodes < len(self.members)

    def _build_rings(self) -> None:
        self.zones = {}
        for id in sorted(self.members, key=self.keys.__getitem__):
            self.zones.setdefault(self.members[id].zone, []).append(id)
        settings, count = self.settings, len(self.members)
        want = count if count <= settings.room * settings.most else settings.most // settings.per_server
        self.size = min(count, max(1, len(self.zones), min(want, settings.kept(count))))

    def _plan_swaps(self, wanted: set[str]) -> None:
        def node_order(id: str) -> bytes:
            return _hash(f"{self.settings.node}/{id}")

        self.entering = sorted(wanted - self.held, key=node_order)
        self.leaving = sorted(self.held - wanted, key=node_order)


def _key(m: SubsetMember) -> tuple[bytes, bytes]:
    return _hash(f"{m.zone}/{m.cell}"), _hash(m.id)


def _change(before: set[str], after: set[str]) -> SubsetChange:
    return SubsetChange(sorted(after - before), sorted(before - after))
