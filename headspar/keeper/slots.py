"""Time slots for nodes that roll back while no controller is reachable.  No I/O, no clock.

Keepers don't communicate with each other and so can't count how many nodes are out of service.  Therefore each node
gets a slot at random before a change starts.  A slot contains at most as many nodes as may be out at once, in total
and per site, and slots repeat in rotation.  Time is measured on the clock of the change, which every command carries.
A delayed command makes a keeper's estimate too small, never too large, so the largest reading is the most accurate.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import msgspec


class Slot(msgspec.Struct, frozen=True):
    """The ``index``-th of ``count`` slots of ``length`` seconds each."""

    index: int
    count: int
    length: float

    def open(self, clock: float) -> bool:
        """Whether a move may start at this time of the change.  Only the first third of a slot, less 5 % at its
        start, allows it, so that the move ends before the next slot despite clock differences."""
        number, within = divmod(clock, self.length)
        return int(number) % self.count == self.index and self.length * 0.05 <= within < self.length / 3


class Clock:
    """A keeper's estimate of the clock of the change, seconds."""

    def __init__(self) -> None:
        self.offset: float | None = None

    def update(self, clock: float, now: float) -> None:
        """Take a reading received at ``now``; only a larger offset replaces the estimate."""
        offset = clock - now
        if self.offset is None or offset > self.offset:
            self.offset = offset

    def read(self, now: float) -> float | None:
        return None if self.offset is None else now + self.offset


def assign_slots(nodes: Sequence[str], sites: Mapping[str, str], maximum: int, maximum_per_site: int, length: float,
                 rng: random.Random) -> dict[str, Slot]:
    """Assign a slot of ``length`` seconds to each node: at most ``maximum`` nodes per slot and ``maximum_per_site``
    of one site.  Nodes are placed round-robin over the sites, so that a slot contains several sites."""
    order = list(nodes)
    rng.shuffle(order)
    count_by_site: dict[str, int] = {}
    ranked = []
    for node in order:
        site = sites[node]
        count_by_site[site] = count_by_site.get(site, 0) + 1
        ranked.append((count_by_site[site], node))
    ranked.sort(key=lambda pair: pair[0])
    slots: list[list[str]] = []
    for _, node in ranked:
        for slot in slots:
            if len(slot) < maximum and sum(sites[x] == sites[node] for x in slot) < maximum_per_site:
                slot.append(node)
                break
        else:
            slots.append([node])
    return {node: Slot(i, len(slots), length) for i, slot in enumerate(slots) for node in slot}
