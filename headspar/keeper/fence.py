"""Which commands count: those of the highest epoch heard of, each step once; without I/O.

An epoch is a controller's turn at the lease; a step is its record's running number.  What a keeper has taken lasts
on its disk before it acts, so a controller that slept through its lease, a command that was held up on the way and
one that comes twice can do nothing more.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec


class Verdict(Enum):
    NEW = "new"
    AGAIN = "again"  # answered as the first time
    FENCED = "fenced"  # of an epoch that is over
    OLD = "old"  # a step before one that was taken


class Fence(msgspec.Struct):
    """The highest epoch heard of, and the last step taken with its answer."""

    epoch: int = 0
    step: int = 0
    answer: dict[str, Any] | None = None

    def judge(self, epoch: int, step: int) -> Verdict:
        """``step`` 0: a word without an effect of its own, which may come as often as it likes."""
        if epoch < self.epoch:
            return Verdict.FENCED
        if step == 0:
            return Verdict.NEW
        if step == self.step and self.answer is not None:
            return Verdict.AGAIN
        return Verdict.NEW if step > self.step else Verdict.OLD

    def take(self, epoch: int, step: int, answer: dict[str, Any] | None) -> Fence:
        """The fence after a command that was judged new."""
        if step == 0:
            return Fence(epoch, self.step, self.answer)
        return Fence(epoch, step, answer)
