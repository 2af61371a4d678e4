"""The call ids of the requests that this node has taken; without I/O.

A client gives every request a new id, a retry too. An id that comes again while its request is open, or after its
client has left, would run once more, whatever its class; it is rejected. The table is bounded in time and in number.
"""

from __future__ import annotations

from collections.abc import Callable

KEEP_US = 30_000_000  # far longer than any deadline
MAX_IDS = 8192


class TakenIds:
    """Ids by the time at which they are forgotten, oldest first; all times in microseconds of one clock."""

    __slots__ = ("until", "on_taken")

    def __init__(self) -> None:
        self.until: dict[bytes, int] = {}
        self.on_taken: Callable[[bytes], None] | None = None  # told of each id that is taken here

    def take(self, call_id: bytes, now: int) -> bool:
        """Record the id of a request that has arrived. Return False if it has been taken before."""
        if self.until.get(call_id, 0) > now:
            return False
        self.add(call_id, now)
        if self.on_taken is not None:
            self.on_taken(call_id)
        return True

    def add(self, call_id: bytes, now: int) -> None:
        """Record an id, also one that another process of this node has taken."""
        self.until.pop(call_id, None)
        self.until[call_id] = now + KEEP_US
        oldest = next(iter(self.until))
        if len(self.until) > MAX_IDS or self.until[oldest] <= now:
            del self.until[oldest]

    def release(self, call_id: bytes) -> None:
        """Forget the id of a request that never ran and was refused: it may come again."""
        self.until.pop(call_id, None)
