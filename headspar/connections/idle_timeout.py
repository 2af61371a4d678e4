"""Learns the idle timeout of servers from the results of connection reuse; without I/O.

Servers do not announce their idle timeout, or only an upper bound, and may drop idle connections silently.  The
node observes that a connection that was idle for some time was reused and answered, or that it broke on reuse or was
closed by the server while idle.  Both results are counted in buckets of idle time that double in width, and the
counts decay exponentially.  Connections are retired at the lower edge of the first bucket in which more than
``MAX_BREAK_SHARE`` of the results are breaks.

Breaks have to be weighed against answers: connections also break for other reasons, at any idle time, and these
breaks must not cause steadily used connections to be replaced; they are few compared with the answers in the same
bucket.  As counts decay, longer idle times are tried again, so a learned limit rises again by itself.  Servers of one
deployment mostly share their settings, so the observations of all servers count for each with a reduced weight.
"""

from __future__ import annotations

from math import exp

FIRST_BUCKET_US = 25_000  # upper edge of the first bucket, whose breaks do not come from idleness
MAX_BREAK_SHARE = 0.3  # of the results in a bucket; a lost attempt costs more than a new connection
MIN_BREAKS = 2.0  # decayed count; fewer breaks are no evidence
DECAY_US = 30_000_000  # time constant of the counts
POOL_WEIGHT = 0.3  # weight of the observations of all servers
NEGLIGIBLE_BREAKS = 0.05  # decayed count below which a server's own observations are dropped
IDLE_MARGIN = 0.8  # share of the announced idle timeout at which connections are retired
MIN_TRUST_ANSWERS = 12.0  # answers of all servers in a bucket for its idle time to be trusted
MAX_TRUST_BREAK_SHARE = 0.02  # of the results in a trusted bucket


def bucket(idle_us: int) -> int:
    """The bucket index of an idle time: 0 below ``FIRST_BUCKET_US``, then one more for each doubling."""
    return max(0, idle_us // FIRST_BUCKET_US).bit_length()


class Evidence:
    """Exponentially decaying counts of breaks (``broke``) and answers (``good``) by bucket of idle time."""

    __slots__ = ("broke", "good", "decayed_at")

    def __init__(self, buckets: int, now: int) -> None:
        self.broke, self.good, self.decayed_at = [0.0] * buckets, [0.0] * buckets, now

    def widen(self, buckets: int) -> None:
        """Extends to at least ``buckets`` buckets and keeps the counts."""
        for row in (self.broke, self.good):
            row.extend([0.0] * (buckets - len(row)))

    def decay(self, now: int) -> None:
        """Applies the decay up to ``now`` (us), at most once a second."""
        if now - self.decayed_at >= 1_000_000:
            keep = exp((self.decayed_at - now) / DECAY_US)
            self.decayed_at = now
            for row in (self.broke, self.good):
                for k, value in enumerate(row):
                    if value:
                        row[k] = value * keep


class IdleTime:
    """The idle timeout of one server, in us.

    ``pool`` holds the observations of all servers and ``max_idle_us`` the announced upper bound.  Connections are
    retired after ``limit_us`` idle; up to ``trusted_us`` idle, past answers are sufficient proof that a connection is
    alive.

    The server's own observations are kept only from its first break on: until then they add nothing to the pool, and
    keeping them costs time on every request.
    """

    __slots__ = ("max_idle_us", "min_trusted_us", "own", "pool", "limit_us", "trusted_us")

    def __init__(self, max_idle_us: int, pool: Evidence, now: int, min_trusted_us: int = 0) -> None:
        """``min_trusted_us``: up to this idle time a connection needs no other proof that it is alive."""
        self.max_idle_us, self.pool, self.min_trusted_us = max_idle_us, pool, min_trusted_us
        self.own: Evidence | None = None
        self._update_limits()

    def set_max_idle(self, max_idle_us: int) -> None:
        """Sets a new upper bound; the caller has already widened the pool."""
        self.max_idle_us = max_idle_us
        if self.own is not None:
            self.own.widen(len(self.pool.broke))
        self._update_limits()

    def ended(self, idle_us: int) -> None:
        """Counts a connection that the server closed, or that broke on reuse, after ``idle_us`` idle."""
        k = min(len(self.pool.broke) - 1, bucket(idle_us))
        if self.own is None:
            self.own = Evidence(len(self.pool.broke), self.pool.decayed_at)
        self.own.broke[k] += 1.0
        self.pool.broke[k] += 1.0
        self._update_limits()

    def answered(self, idle_us: int) -> None:
        """Counts a connection that was reused after ``idle_us`` idle and answered.

        It runs on every request's path, so it only counts.
        """
        good = self.pool.good
        k = (idle_us // FIRST_BUCKET_US).bit_length()
        if k >= len(good):
            k = len(good) - 1
        good[k] += 1.0
        if self.own is not None:
            self.own.good[k] += 1.0

    def refresh(self, now: int) -> None:
        """Applies the decay and recomputes the limits; called periodically."""
        self.pool.decay(now)
        if self.own is not None:
            self.own.decay(now)
            if sum(self.own.broke) < NEGLIGIBLE_BREAKS:
                self.own = None
        self._update_limits()

    def _update_limits(self) -> None:
        self.limit_us = self._compute_limit()
        self.trusted_us = min(self.limit_us, self._compute_trusted())

    def _compute_trusted(self) -> int:
        """A node that rarely sends to a server seldom has a recently proven connection to it.  Answers to repeatable
        requests, sent after the same idle time, therefore count as proof too."""
        own, pool, trusted = self.own, self.pool, self.min_trusted_us
        for k in range(bucket(self.min_trusted_us), len(pool.good)):
            good, broke = pool.good[k], pool.broke[k] + (own.broke[k] if own is not None else 0.0)
            if broke >= 1.0 and broke > MAX_TRUST_BREAK_SHARE * (good + broke):
                break
            if good >= MIN_TRUST_ANSWERS:  # a longer idle time implies the shorter ones
                trusted = max(trusted, FIRST_BUCKET_US << (k - 1))
        return trusted

    def _compute_limit(self) -> int:
        own, pool = self.own, self.pool
        if any(pool.broke):  # the pool includes each server's own breaks
            for k in range(1, len(pool.broke)):
                broke, good = POOL_WEIGHT * pool.broke[k], POOL_WEIGHT * pool.good[k]
                if own is not None:
                    broke, good = broke + own.broke[k], good + own.good[k]
                if broke >= MIN_BREAKS and broke > MAX_BREAK_SHARE * (broke + good):
                    return min(int(IDLE_MARGIN * self.max_idle_us), FIRST_BUCKET_US << (k - 1))
        return int(IDLE_MARGIN * self.max_idle_us)
