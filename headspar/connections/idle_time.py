"""How long a server keeps an idle connection, learned from how its connections end; without I/O.

The time is told nowhere, or as an upper bound.  Two things are seen of it: a close by the server after so long
idle, and a reset (or silence) when a connection was used again after so long.  Both bound it from above; an
answer on a connection used again after so long bounds it from below.  The estimate follows the upper bounds down
at once and drifts up again by ``DRIFT`` a second, since a server that is replaced, or a timer that was only
early once, must not shorten connections' lives for good.  Connections go at ``MARGIN`` of it.
"""

from __future__ import annotations

MARGIN = 0.8  # of what is believed, at which a connection is retired
CUT = 0.9  # of the idle time at which one was seen to end
DRIFT = 0.01  # a second, of the time that was told
LEAST_US = 50_000  # beneath this no connection would be kept at all


class IdleTime:
    """One server's idle time, in microseconds."""

    __slots__ = ("told_us", "believed_us", "proven_us", "at")

    def __init__(self, told_us: int, now: int) -> None:
        """``told_us``: the longest that it can be, as the deployment says."""
        self.told_us = told_us
        self.believed_us = float(told_us)
        self.proven_us = 0  # the longest idleness after which one was answered, since the last cut
        self.at = now

    def _drift(self, now: int) -> None:
        if now > self.at:
            self.believed_us = min(self.told_us, self.believed_us + self.told_us * DRIFT * (now - self.at) / 1e6)
            self.at = now

    def ended(self, idle_us: int, now: int) -> None:
        """The server closed, or proved to have dropped, a connection that had been idle so long."""
        self._drift(now)
        self.believed_us = max(float(LEAST_US), min(self.believed_us, CUT * idle_us))
        self.proven_us = min(self.proven_us, int(self.believed_us))

    def answered(self, idle_us: int, now: int) -> None:
        """One was answered after it had been idle so long: it is kept at least that long."""
        self._drift(now)
        if idle_us > self.proven_us:
            self.proven_us = min(idle_us, self.told_us)
            self.believed_us = max(self.believed_us, float(self.proven_us))

    def retire_after_us(self, now: int) -> int:
        """How long a connection may stand idle before it goes."""
        self._drift(now)
        return int(MARGIN * self.believed_us)
