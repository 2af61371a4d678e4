"""Who may move when nobody leads: drawn slots over the fleet's size, in the change's own time; without I/O or clock.

Keepers that can't hear each other can't count how many of them are out.  So the change gives each a slot before it
moves anything: a slot holds at most as many nodes as may be out at once, in all and by site, and the same slot comes
round again after all others.  Time is the change's, told with every word of the controller.  A word that was held up
makes a keeper's time too small, never too large, so the largest reading is the truest one.
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
        """Whether a move may begin at this time of the change.  Only in the first third: it must be over, and the
        clocks' difference allowed for, when the next slot begins."""
        turn, within = divmod(clock, self.length)
        return int(turn) % self.count == self.index and self.length * 0.05 <= within < self.length / 3


class Clock:
    """The change's time as a keeper knows it."""

    def __init__(self) -> None:
        self.offset: float | None = None

    def told(self, clock: float, now: float) -> None:
        offset = clock - now
        if self.offset is None or offset > self.offset:
            self.offset = offset

    def read(self, now: float) -> float | None:
        return None if self.offset is None else now + self.offset


def deal(nodes: Sequence[str], sites: Mapping[str, str], most: int, most_of_site: int, length: float,
         rng: random.Random) -> dict[str, Slot]:
    """A slot for each node: never more than ``most`` in one, nor ``most_of_site`` of one site.  Sites take turns, so
    that a slot is filled from many."""
    order = list(nodes)
    rng.shuffle(order)
    seen: dict[str, int] = {}
    ranked = []
    for node in order:
        site = sites[node]
        seen[site] = seen.get(site, 0) + 1
        ranked.append((seen[site], node))
    ranked.sort(key=lambda pair: pair[0])
    slots: list[list[str]] = []
    for _, node in ranked:
        for slot in slots:
            if len(slot) < most and sum(sites[x] == sites[node] for x in slot) < most_of_site:
                slot.append(node)
                break
        else:
            slots.append([node])
    return {node: Slot(i, len(slots), length) for i, slot in enumerate(slots) for node in slot}
