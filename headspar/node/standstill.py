"""A process that stood still and goes on (SIGSTOP, a frozen machine): what it may still rest on; without I/O.

The process is noticed to have stood by its own clock, before the first decision after it.  What lay in its sockets
meanwhile may be as old as the whole standstill, and nothing tells how old: requests count as having come when it
began, peers' words are dropped, and the time that servers took is counted without it.  Lists are read before anything
is decided.  What is read within ``BACKLOG_US`` after it counts as having lain there.
"""

from __future__ import annotations

LEAST_US = 2_000_000  # without a beat; far beyond a busy moment, of which there are ten beats to this
BACKLOG_US = 100_000


class Standstill:
    """The beats of one process; times are its own clock in microseconds."""

    __slots__ = ("beat", "since", "until", "count")

    def __init__(self, now: int) -> None:
        self.beat = now  # when it was last known to run
        self.since = 0  # the last standstill: from its last beat ...
        self.until = 0  # ... to the end of what lay in its sockets
        self.count = 0

    def noticed(self, now: int) -> bool:
        """Whether it has stood still until just now; said once for each standstill."""
        if now - self.beat < LEAST_US:
            return False
        self.since, self.until = self.beat, now + BACKLOG_US
        self.beat = now
        self.count += 1
        return True

    def beats(self, now: int) -> None:
        """It runs.  ``noticed`` has been asked before."""
        self.beat = now

    def came(self, now: int) -> int:
        """When something that is read now came, at the earliest."""
        return self.since if now < self.until else now

    def stale(self, now: int) -> bool:
        """Whether what is read now may have lain there."""
        return now < self.until

    def lasted(self, sent_at: int, now: int) -> int:
        """How long something has taken that was sent at ``sent_at`` and ends now, without a standstill within it."""
        took = now - sent_at
        if now < self.until and sent_at <= self.since:
            took -= self.until - BACKLOG_US - self.since
        return max(0, took)
