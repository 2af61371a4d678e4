"""The call ids of the requests that this node has taken; without I/O.

A client gives every request a new id, a retry too. An id that comes again while its request is open, or after its
client has left, would run once more, whatever its class; it is rejected. The ids of open requests are known as long
as those are open. The table of all others is bounded in time and in number.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

KEEP_US = 30_000_000  # far longer than any deadline; an id is forgotten after once to twice this time
MAX_IDS = 8192  # of both generations at a usual rate of requests
# At higher rates an id is kept for this time, longer than requests are open: the other process of an upgrade does not
# tell which of its requests are.
MIN_KEEP_US = 6_000_000
MAX_IDS_IN_ANY_CASE = 32_768


class TakenIds:
    """Ids in two generations: the newer one takes the place of the older one when it is full or old enough, so that
    nothing is searched for what to forget. Times are in microseconds of one clock."""

    __slots__ = ("newer", "older", "open", "next_at", "full_at", "on_taken")

    def __init__(self) -> None:
        self.newer: set[bytes] = set()
        self.older: set[bytes] = set()
        self.open: dict[bytes, object] = {}  # by the id of an open request: its owner
        self.next_at = 0  # when the next generation begins
        self.full_at = 0  # earliest time at which it begins because the newer one is full
        self.on_taken: Callable[[bytes], None] | None = None  # told of each id that is taken here

    def __len__(self) -> int:
        return len(self.newer) + len(self.older)

    def __iter__(self) -> Iterator[bytes]:
        yield from self.older
        yield from self.newer

    def take(self, call_id: bytes, now: int) -> bool:
        """Record the id of a request that has arrived. Return False if it has been taken before."""
        if now >= self.next_at:
            self._begin_generation(now)
        if call_id in self.newer or call_id in self.older or call_id in self.open:
            return False
        self.add(call_id, now)
        if self.on_taken is not None:
            self.on_taken(call_id)
        return True

    def add(self, call_id: bytes, now: int) -> None:
        """Record an id, also one that another process of this node has taken."""
        if now >= self.next_at or self._is_full(now):
            self._begin_generation(now)
        self.newer.add(call_id)

    def opened(self, call_id: bytes, owner: object) -> None:
        """A request that was taken is open from now on."""
        self.open[call_id] = owner

    def ended(self, call_id: bytes, owner: object) -> None:
        """The request of ``owner`` has ended with all its attempts."""
        if self.open.get(call_id) is owner:
            del self.open[call_id]

    def _is_full(self, now: int) -> bool:
        if len(self.newer) < MAX_IDS // 2:
            return False
        return now >= self.full_at or len(self.newer) >= MAX_IDS_IN_ANY_CASE // 2

    def _begin_generation(self, now: int) -> None:
        both_old = now >= self.next_at + KEEP_US
        self.older, self.newer = set() if both_old else self.newer, set()
        self.next_at = now + KEEP_US
        self.full_at = now + MIN_KEEP_US

    def release(self, call_id: bytes) -> None:
        """Forget the id of a request that never ran and was refused: it may come again."""
        self.newer.discard(call_id)
        self.older.discard(call_id)
        self.open.pop(call_id, None)
