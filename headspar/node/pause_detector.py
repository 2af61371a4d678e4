"""Detects process pauses (SIGSTOP, a frozen machine) and tells which data received afterwards may be stale; without
I/O.

The process detects a pause by its own clock, before the first decision after it. Data that was waiting in its sockets
may be as old as the whole pause, and its real age is unknown. Requests therefore count as having arrived when the
pause began, messages from peers are dropped, and the pause is subtracted from the response times of servers. Lists
are read before any decision. Anything read within ``BACKLOG_US`` after the pause counts as having waited in a socket.
"""

from __future__ import annotations

MIN_PAUSE_US = 2_000_000  # gap without a heartbeat: ten heartbeat intervals, far longer than a busy moment
MIN_STALL_US = 300_000  # gap without a heartbeat in which a client's close may have come behind unread input
BACKLOG_US = 100_000


class PauseDetector:
    """Tracks the heartbeats of one process; all times are its own clock in microseconds."""

    __slots__ = ("last_beat", "since", "until", "count", "stall_began_at", "stall_until")

    def __init__(self, now: int) -> None:
        self.last_beat = now  # time of the last heartbeat
        self.since = 0  # start of the last pause: its last heartbeat
        self.until = 0  # end of the time in which data read may have waited in a socket
        self.count = 0
        self.stall_began_at = self.stall_until = 0  # of the last gap of ``MIN_STALL_US``, as for a pause

    def detect(self, now: int) -> bool:
        """Return whether the process has been paused until just now; true only once for each pause."""
        self._note_stall(now)
        if now - self.last_beat < MIN_PAUSE_US:
            return False
        self.since, self.until = self.last_beat, now + BACKLOG_US
        self.last_beat = now
        self.count += 1
        return True

    def heartbeat(self, now: int) -> None:
        """Record a heartbeat. Call ``detect`` first."""
        self._note_stall(now)
        self.last_beat = now

    def _note_stall(self, now: int) -> None:
        if now - self.last_beat >= MIN_STALL_US and now >= self.stall_until:
            self.stall_began_at, self.stall_until = self.last_beat, now + BACKLOG_US

    def stalled_since(self, now: int) -> int:
        """Return when the stall began in which data that is read now may have waited in a socket; 0 if there was
        none."""
        return self.stall_began_at if now < self.stall_until else 0

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest time at which data that is read now may have arrived."""
        return self.since if now < self.until else now

    def stale(self, now: int) -> bool:
        """Return whether data that is read now may have waited in a socket during the pause."""
        return now < self.until

    def elapsed(self, sent_at: int, now: int) -> int:
        """Return the time from ``sent_at`` to now, without a pause that fell within it."""
        elapsed_us = now - sent_at
        if now < self.until and sent_at <= self.since:
            elapsed_us -= self.until - BACKLOG_US - self.since
        return max(0, elapsed_us)
