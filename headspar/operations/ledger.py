"""Counters of requests and attempts by outcome; without I/O.

At any time ``taken`` = success + overload + error + abandoned + ``concurrent``.  Class names come from outside the
process, so only those in the settings get their own counters, at most ``MAX_CLASSES``.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil, log2
from typing import Any

MAX_CLASSES = 64  # so that a response always fits an empty socket buffer
REFUSAL_STATUSES = (429, 503)
# Buckets of the time to answer relative to the latency target, a quarter of an octave wide, from 1/16 to 16 times it.
PER_OCTAVE = 4
OCTAVES = 4  # on each side
BUCKETS = 2 * OCTAVES * PER_OCTAVE + 1


class Counts:
    """The numbers of one class's requests by outcome.

    Of the served requests, ``late`` counts those that took longer than the latency target.  ``times`` is the
    histogram of their time as a ratio of the target: bucket i holds ratios up to 2 ** ((i - 16) / 4).
    ``quarters`` is the sum of the base-2 logarithms of the ratios, in quarters of an octave above the first
    bucket's bound.
    """

    __slots__ = ("success", "overload", "error", "late", "times", "quarters")

    def __init__(self) -> None:
        self.success = self.overload = self.error = self.late = 0
        self.times = [0] * BUCKETS
        self.quarters = 0.0

    def served(self, share: float) -> None:
        """Counts a served request; ``share`` is its time as a ratio of the latency target."""
        self.success += 1
        self.late += share > 1.0
        quarters = PER_OCTAVE * (log2(share) + OCTAVES) if share > 0 else 0.0
        quarters = min(BUCKETS - 1.0, max(0.0, quarters))
        self.quarters += quarters
        self.times[ceil(quarters)] += 1

    def as_dict(self) -> dict[str, int]:
        """The counters as ``GET /stats`` reports them."""
        return {"success": self.success, "overload": self.overload, "error": self.error}


class Ledger:
    """All counters of one process, from 0 at its start."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.classes: dict[str, Counts] = {}
        self.others = Counts()  # of classes that are not in the settings
        self.taken = self.abandoned = self.ended = 0
        self.dispatches = 0
        self.broken = 0  # attempts sent to draining servers later than the rule allows
        self.connections = self.calls = self.datagrams = 0  # begun to servers; to discovery; to peers
        self.reload_success = self.reload_failure = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Adds counters for these classes of the settings; earlier classes keep theirs."""
        for cls in classes:
            if cls not in self.classes and len(self.classes) < MAX_CLASSES:
                self.classes[cls] = Counts()

    @property
    def concurrent(self) -> int:
        """The number of requests accepted and not yet ended."""
        return self.taken - self.ended

    def request_accepted(self) -> None:
        """Counts a request that was accepted."""
        self.taken += 1

    def answered(self, cls: str, status: int, share: float = 0.0) -> None:
        """Counts the final answer to a request; ``share``: its time as a ratio of the latency target."""
        self.ended += 1
        counts = self.classes.get(cls, self.others)
        if status == 200:
            counts.served(share)
        elif status in REFUSAL_STATUSES:
            counts.overload += 1
        else:
            counts.error += 1

    def client_disconnected(self) -> None:
        """Counts a request whose client disconnected before the answer."""
        self.ended += 1
        self.abandoned += 1

    def figures(self, targets: int, disabled: int) -> dict[str, Any]:
        """The counters as ``GET /stats`` reports them."""
        return {
            "replies": {name: counts.as_dict() for name, counts in self.classes.items()},
            "dispatches": self.dispatches, "concurrent": self.concurrent,
            "targets": targets, "targets_disabled": disabled,
            "reload_success": self.reload_success, "reload_failure": self.reload_failure,
        }
