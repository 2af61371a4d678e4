"""The event queue of the simulation: a heap of callbacks ordered by time; without I/O.

Times are integer microseconds and never decrease.  Callbacks that are due at the same time run in the order in which
they were scheduled.  A cancelled entry stays in the heap until it is due, or until more than half of the entries are
cancelled.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

Handle = list[Any]  # [when, order, callback or None, arguments]; opaque outside this module
MIN_CANCELLED_TO_COMPACT = 1024  # entries


class TimeInPast(ValueError):
    """A callback was scheduled for a time in the past."""


class Events:
    """The scheduled callbacks and the current time."""

    __slots__ = ("now", "heap", "order", "cancelled", "called")

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[Handle] = []
        self.order = 0
        self.cancelled = 0
        self.called = 0

    def at(self, when: int, call: Callable[..., None], *args: Any) -> Handle:
        """Schedules ``call(*args)`` at ``when``, us; raises ``TimeInPast`` if that time has passed."""
        if when < self.now:
            raise TimeInPast(f"cannot schedule a callback at {when}, as the current time is {self.now}")
        self.order += 1
        handle = [when, self.order, call, args]
        heappush(self.heap, handle)
        return handle

    def cancel(self, handle: Handle) -> None:
        """Cancels a callback; has no effect if it has already run."""
        if handle[2] is None:
            return
        handle[2], handle[3] = None, ()
        self.cancelled += 1
        if self.cancelled > MIN_CANCELLED_TO_COMPACT and 2 * self.cancelled > len(self.heap):
            self.heap = [h for h in self.heap if h[2] is not None]
            heapify(self.heap)
            self.cancelled = 0

    def run(self, until: int) -> None:
        """Runs all callbacks due up to and including ``until`` and advances the time to it."""
        while self.heap and self.heap[0][0] <= until:
            handle = heappop(self.heap)
            call = handle[2]
            if call is None:
                self.cancelled -= 1
                continue
            self.now = handle[0]
            args, handle[2] = handle[3], None
            self.called += 1
            call(*args)
        self.now = max(self.now, until)
