"""Which servers a node keeps connections to when there are more servers than its descriptors carry; without I/O.

A node that sends to all of a thousand servers with a third as many descriptors closes a connection and opens
another for each request.  It is given a part of them instead, its *reach*; the decision module picks among those.

*Met often.*  Where many nodes share many servers, a node's requests are spread so thin that it meets each server
less than once a second: hardly a connection has been proven of late, what it learns of a server is of long ago, and
a cold server's part is less than a request.  From ``overlap`` nodes for each server on, a node keeps to ``reach``
servers, few enough to meet each often and enough to lose many of them.

*Even.*  The servers of each zone stand in one order, by hashes of their cells and ids, the same at every node.
Node i of n takes the servers from rank i*N/n on, as many as its part of the zone's N: each rank is then covered
by the same number of nodes, give or take one (the ring of Twitter's deterministic aperture; rendezvous hashing
per node would leave some servers with a third of what others get).  Nodes that follow one another in number, and
are restarted one after another, stand far apart on the ring.

*Slow.*  One server more or less moves a node's window by a rank at most.  What is gone is made up for at once;
beyond that one server is exchanged each ``swap_us``, in an order of the node's own: nodes whose windows overlap would
all turn to the same new server first.

*Nobody starved.*  Where all nodes together reach fewer servers than there are, the windows turn, a rank each
``turn_us``, and every server has its time.

*Cells.*  The members of a cell stand together, so that a repeat that has to stay in its cell finds another one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import gcd

AT_ONCE = 4  # exchanges at one look
GOLDEN = 0.618  # of the ring, between two nodes that follow one another


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """``most``: connections in all; ``node`` of ``nodes``, from 0; ``per_server``: connections that a server in
    reach should be able to have; ``room``: the share of ``most`` that one connection to every server may take
    before a part is chosen."""

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
        """How many of so many servers a node should keep to for the fleet's size; all, if that is no matter."""
        return self.reach if 0 < self.overlap * servers <= self.reach * self.nodes else servers


@dataclass(frozen=True, slots=True)
class Member:
    """A server that may be sent to."""

    id: str
    zone: str = ""
    cell: int = 0


@dataclass(slots=True)
class Change:
    """Servers that have come into reach, and that have left it."""

    entered: list[str]
    left: list[str]

    def __bool__(self) -> bool:
        return bool(self.entered or self.left)


def _hash(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()


def ring_place(node: int, nodes: int) -> int:
    """Where a node stands among ``nodes`` places: a stride prime to their number, near the golden section."""
    stride = max(1, round(GOLDEN * nodes))
    while gcd(stride, nodes) != 1:
        stride += 1
    return node * stride % nodes


def shares(sizes: dict[str, int], total: int) -> dict[str, int]:
    """``total`` split over zones by their sizes, by largest remainders; at least one of each zone."""
    servers = sum(sizes.values())
    exact = {zone: total * size / servers for zone, size in sizes.items()}
    out = {zone: min(sizes[zone], max(1, int(part))) for zone, part in exact.items()}
    for zone in sorted(exact, key=lambda z: (int(exact[z]) - exact[z], z)):
        if sum(out.values()) < total and out[zone] < sizes[zone]:
            out[zone] += 1
    return out


class Subset:
    """The reach of one node."""

    def __init__(self, settings: SubsetSettings) -> None:
        self.change(settings)
        self.zones: dict[str, list[str]] = {}  # the servers of each in the order that all nodes share
        self.members: dict[str, Member] = {}
        self.keys: dict[str, tuple[bytes, bytes]] = {}
        self.held: set[str] = set()
        self.size = 0  # how many are to be in reach
        self.whole = True  # all are
        self.begun_at = 0
        self.swapped_at = 0
        self.entering: list[str] = []  # still to be exchanged, one each ``swap_us``
        self.leaving: list[str] = []

    def change(self, settings: SubsetSettings) -> None:
        """Another place among the nodes, or other limits: the next ``update`` or ``tick`` goes by them."""
        self.settings = settings
        self.place = ring_place(settings.node, settings.nodes)

    def update(self, members: Iterable[Member], now: int) -> Change:
        """The list of servers has changed; what this does to the reach at once."""
        self.members = {m.id: m for m in members}
        self.keys = {id: self.keys.get(id) or _key(m) for id, m in self.members.items()}
        before = set(self.held)
        self.begun_at = self.begun_at or now
        settings = self.settings
        count = len(self.members)
        self.whole = count <= min(settings.room * settings.most, settings.kept(count))
        if self.whole:
            self.held = set(self.members)
            self.entering, self.leaving, self.zones = [], [], {}
            self.size = len(self.held)
            return _change(before, self.held)
        self._order()
        wanted = self.wanted(now)
        if len(self.held) > self.size:  # all were in reach until now
            self.held = wanted
        self.held &= self.members.keys()
        for id in sorted(wanted - self.held, key=self.keys.__getitem__):
            if len(self.held) >= self.size:
                break
            self.held.add(id)
        if not self.entering:
            self.swapped_at = now
        self._compare(wanted)
        return _change(before, self.held)

    def tick(self, now: int) -> Change:
        """Exchange the servers that are due; after a long pause no more than one look's worth, ``AT_ONCE``."""
        settings = self.settings
        due = min(AT_ONCE, (now - self.swapped_at) // settings.swap_us)
        if self.whole or due < 1:
            return Change([], [])
        self.swapped_at = now
        if self._turning():
            self._compare(self.wanted(now))
        entered = [self.entering.pop() for _ in range(min(due, len(self.entering)))]
        surplus = min(due, len(self.leaving), len(self.held) + len(entered) - self.size)
        left = [self.leaving.pop() for _ in range(surplus)]
        self.held.update(entered)
        self.held.difference_update(left)
        return Change(entered, left)

    def cover(self) -> float:
        """The share of the servers that is in reach; of all nodes, the share that reaches a server."""
        return len(self.held) / len(self.members) if self.members else 1.0

    # ------------------------------------------------------------

    def wanted(self, now: int) -> set[str]:
        """The servers of this node's window on each zone's ring."""
        settings = self.settings
        turned = (now - self.begun_at) // settings.turn_us if self._turning() else 0
        sizes = {zone: len(ids) for zone, ids in self.zones.items()}
        out: set[str] = set()
        for zone, count in shares(sizes, self.size).items():
            ids = self.zones[zone]
            first = self.place * len(ids) // settings.nodes + turned
            out.update(ids[(first + i) % len(ids)] for i in range(count))
        return out

    def _turning(self) -> bool:
        return self.size * self.settings.nodes < len(self.members)

    def _order(self) -> None:
        self.zones = {}
        for id in sorted(self.members, key=self.keys.__getitem__):
            self.zones.setdefault(self.members[id].zone, []).append(id)
        settings, count = self.settings, len(self.members)
        want = count if count <= settings.room * settings.most else settings.most // settings.per_server
        self.size = min(count, max(1, len(self.zones), min(want, settings.kept(count))))

    def _compare(self, wanted: set[str]) -> None:
        def own(id: str) -> bytes:
            return _hash(f"{self.settings.node}/{id}")

        self.entering = sorted(wanted - self.held, key=own)
        self.leaving = sorted(self.held - wanted, key=own)


def _key(m: Member) -> tuple[bytes, bytes]:
    return _hash(f"{m.zone}/{m.cell}"), _hash(m.id)


def _change(before: set[str], after: set[str]) -> Change:
    return Change(sorted(after - before), sorted(before - after))
