"""The controllers' lease: one leader at a time, under a fencing epoch that only rises.  No I/O, no clock.

The record stores the lease and checks it in each transaction; keepers enforce the epoch.  Times are wall clock
seconds.
"""

from __future__ import annotations

import msgspec

# A lease that has more than this many lease lengths left was granted by a clock that has since been set back.
MAX_REMAINING_LENGTHS = 10


class Lease(msgspec.Struct, frozen=True):
    """The current or last holder, its epoch, and the time at which the lease expires."""

    holder: str = ""
    epoch: int = 0
    until: float = 0.0

    def acquired(self, holder: str, now: float, seconds: float) -> Lease | None:
        """Return a lease of ``seconds`` under the next epoch if this one is free or expired, else None."""
        if now < self.until <= now + MAX_REMAINING_LENGTHS * seconds:
            return None
        return Lease(holder, self.epoch + 1, now + seconds)

    def renewed(self, now: float, seconds: float) -> Lease:
        return Lease(self.holder, self.epoch, now + seconds)

    def raised_above(self, seen: int, unknown_steps: bool = False) -> Lease:
        """Return the lease with an epoch above one that a keeper has seen; unchanged if it is above already.

        A keeper sees a later epoch if the record was lost or restored from an older copy.  ``unknown_steps``: a
        keeper received steps under that epoch that the record does not know, so an equal epoch is not this holder's.
        """
        foreign = seen > self.epoch or unknown_steps and seen == self.epoch
        return Lease(self.holder, seen + 1, self.until) if foreign else self

    def released(self) -> Lease:
        return Lease(self.holder, self.epoch, 0.0)
