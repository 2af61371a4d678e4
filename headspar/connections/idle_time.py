"""How long servers keep an idle connection, learned from how reuse ends; without I/O.

The time is told nowhere, or as an upper bound, and a server may drop connections without a word.  What is seen:
after so long idle a connection was used again and answered, or it broke (or was closed by the server as it stood
idle).  Both are counted in buckets of idle time that double in width, and fade.  Connections are retired at the
lower edge of the first bucket in which more than ``TOO_MANY`` of the ends were breaks.

Breaks alone would not do: connections also break for other reasons, at any idle time, and those must not turn
over connections in steady use; they are few beside the answers of the same bucket.  As counts fade, longer idle
times are tried again, so a bound that was learned drifts up by itself.  Servers of one deployment mostly share
their settings: what is seen of all counts for each as a part of its own evidence.
"""

from __future__ import annotations

from math import exp

FIRST_US = 25_000  # upper edge of the first bucket; what broke there did not break of its idleness
TOO_MANY = 0.3  # of a bucket's ends: a lost attempt costs more than a new connection
ENOUGH = 2.0  # breaks that are evidence at all
MEMORY_US = 30_000_000
SHARED = 0.3  # weight of what was seen of other servers
FORGOTTEN = 0.05  # breaks, faded, that are none any more
MARGIN = 0.8  # of the time that was told
TRUSTED = 12.0  # answers after so long idle, of all servers, that vouch for a connection
TRUSTED_BREAKS = 0.02  # of the ends in a bucket that vouches


def bucket(idle_us: int) -> int:
    """0 beneath ``FIRST_US``, then one more for each doubling."""
    return max(0, idle_us // FIRST_US).bit_length()


class Evidence:
    """Breaks and answers by bucket of idle time, fading."""

    __slots__ = ("broke", "good", "at")

    def __init__(self, buckets: int, now: int) -> None:
        self.broke, self.good, self.at = [0.0] * buckets, [0.0] * buckets, now

    def widen(self, buckets: int) -> None:
        """At least so many buckets; what was seen stays."""
        for row in (self.broke, self.good):
            row.extend([0.0] * (buckets - len(row)))

    def fade(self, now: int) -> None:
        if now - self.at >= 1_000_000:
            keep = exp((self.at - now) / MEMORY_US)
            self.at = now
            for row in (self.broke, self.good):
                for k, value in enumerate(row):
                    if value:
                        row[k] = value * keep


class IdleTime:
    """One server's idle time; ``pool`` is what was seen of all servers, ``told_us`` the longest it can be.
    ``limit_us``: at which connections are retired; ``trusted_us``: up to which what was seen vouches for one.

    What was seen of the server itself is only kept from its first break on: until then it has nothing to tell
    that the pool has not, and every request would pay for it.
    """

    __slots__ = ("told_us", "least_us", "own", "pool", "limit_us", "trusted_us")

    def __init__(self, told_us: int, pool: Evidence, now: int, least_us: int = 0) -> None:
        """``least_us``: for so long a connection vouches for itself."""
        self.told_us, self.pool, self.least_us = told_us, pool, least_us
        self.own: Evidence | None = None
        self._judge()

    def tell(self, told_us: int) -> None:
        """The longest that it can be has changed; the pool has been widened."""
        self.told_us = told_us
        if self.own is not None:
            self.own.widen(len(self.pool.broke))
        self._judge()

    def ended(self, idle_us: int) -> None:
        """A connection was closed by the server, or broke as it was used again, after so long idle."""
        k = min(len(self.pool.broke) - 1, bucket(idle_us))
        if self.own is None:
            self.own = Evidence(len(self.pool.broke), self.pool.at)
        self.own.broke[k] += 1.0
        self.pool.broke[k] += 1.0
        self._judge()

    def answered(self, idle_us: int) -> None:
        """One was used again after so long idle, and answered.  On every request's path: it only counts."""
        good = self.pool.good
        k = (idle_us // FIRST_US).bit_length()
        if k >= len(good):
            k = len(good) - 1
        good[k] += 1.0
        if self.own is not None:
            self.own.good[k] += 1.0

    def refresh(self, now: int) -> None:
        """Let what was seen fade; the host asks for it now and then."""
        self.pool.fade(now)
        if self.own is not None:
            self.own.fade(now)
            if sum(self.own.broke) < FORGOTTEN:
                self.own = None
        self._judge()

    def _judge(self) -> None:
        self.limit_us = self._limit()
        self.trusted_us = min(self.limit_us, self._trusted())

    def _trusted(self) -> int:
        """A node that meets each server seldom has hardly ever a connection that was proven of late.  What has been
        used again after as long idle, by requests that may be repeated, and been answered, vouches as well."""
        own, pool, trusted = self.own, self.pool, self.least_us
        for k in range(bucket(self.least_us), len(pool.good)):
            good, broke = pool.good[k], pool.broke[k] + (own.broke[k] if own is not None else 0.0)
            if broke >= 1.0 and broke > TRUSTED_BREAKS * (good + broke):
                break
            if good >= TRUSTED:  # what was kept for longer is kept for so long, and for less
                trusted = max(trusted, FIRST_US << (k - 1))
        return trusted

    def _limit(self) -> int:
        own, pool = self.own, self.pool
        if any(pool.broke):  # every break of a server's is in the pool's too
            for k in range(1, len(pool.broke)):
                broke, good = SHARED * pool.broke[k], SHARED * pool.good[k]
                if own is not None:
                    broke, good = broke + own.broke[k], good + own.good[k]
                if broke >= ENOUGH and broke > TOO_MANY * (broke + good):
                    return min(int(MARGIN * self.told_us), FIRST_US << (k - 1))
        return int(MARGIN * self.told_us)
