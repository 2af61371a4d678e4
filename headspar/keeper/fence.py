"""Fencing of commands: only the highest epoch seen is accepted, and each step is executed once.  No I/O.

The epoch is the fencing token of a controller's lease; the step is a sequence number from the controllers' record.
A keeper persists both before it acts.  Commands from a controller whose lease has expired, delayed commands and
duplicates therefore have no effect.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec


class Verdict(Enum):
    """Result of checking a command against the fence."""

    NEW = "new"
    AGAIN = "again"  # duplicate of the last step: gets the same answer
    FENCED = "fenced"  # from an expired epoch
    OLD = "old"  # a step before the last accepted one


class Fence(msgspec.Struct):
    """The highest epoch seen, the last step accepted, and the answer to that step."""

    epoch: int = 0
    step: int = 0
    answer: dict[str, Any] | None = None

    def judge(self, epoch: int, step: int) -> Verdict:
        """Check a command; ``step`` 0 marks one without effect, which may be repeated."""
        if epoch < self.epoch:
            return Verdict.FENCED
        if step == 0:
            return Verdict.NEW
        if step == self.step and self.answer is not None:
            return Verdict.AGAIN
        return Verdict.NEW if step > self.step else Verdict.OLD

    def accept(self, epoch: int, step: int, answer: dict[str, Any] | None) -> Fence:
        """The fence after accepting a command that was judged new."""
        if step == 0:
            return Fence(epoch, self.step, self.answer)
        return Fence(epoch, step, answer)
