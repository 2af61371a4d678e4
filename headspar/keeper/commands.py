"""Validation and execution of one command of a controller.  No I/O.

The checks are, in this order: the addressee, the fence, and whether the command is possible now.  Then the command
changes the durable state.  The host saves this change and the fence in one write before the core acts on it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable

import msgspec

from headspar.keeper import messages as m
from headspar.keeper.core import Core, Course
from headspar.keeper.fence import Fence, Verdict


class Assessment(msgspec.Struct, frozen=True):
    """Result of the checks.  ``why``: reason of a refusal, else empty; ``counts``: whether the command's step or
    epoch must be saved before the answer is sent."""

    verdict: Verdict
    ok: bool
    why: str
    counts: bool
    step: int = 0


def check_command(
    command: m.KeeperCommand, name: str, fence: Fence, core: Core, has: Callable[[str], bool], down: bool,
) -> Assessment:
    """Check a command.  ``name``: this keeper's node; ``has``: whether a generation is stored here; ``down``: the
    node is not serving."""
    step = getattr(command, "step", 0)
    verdict = fence.judge(command.epoch, step)
    if command.node != name:
        return Assessment(verdict, False, f"meant for {command.node!r}", False, step)
    if verdict is Verdict.FENCED:
        return Assessment(verdict, False, f"epoch {command.epoch} has expired, {fence.epoch} is the current one",
                          False, step)
    if verdict is Verdict.OLD:
        return Assessment(verdict, False, f"step {step} is older than the last step {fence.step}", False, step)
    if verdict is Verdict.AGAIN:
        assert fence.answer is not None
        return Assessment(verdict, bool(fence.answer["ok"]), str(fence.answer["why"]), False, step)
    why = _refusal(command, core, has)
    if not why and isinstance(command, m.StartTrial | m.RollBack) and command.down and not down:
        why = "the node is serving now"
    # A refusal consumes its step too: a delayed copy of the command must not be accepted later.
    return Assessment(verdict, not why, why, step > 0 or command.epoch > fence.epoch, step)


def _refusal(command: m.KeeperCommand, core: Core, has: Callable[[str], bool]) -> str:
    """Why the command is not possible now; empty if it is."""
    if isinstance(command, m.StartTrial):
        return core.refusal(command.order) if has(command.order.generation) else "this generation is not stored here"
    if isinstance(command, m.RollBack):
        return "" if has(command.generation) else "this generation is not stored here"
    if isinstance(command, m.PinTrial | m.Confirm):
        if core.trial != command.generation:
            return "this generation is not on trial"
        if isinstance(command, m.Confirm) and (core.course is not Course.PROVING or core.running != core.trial):
            return "the generation on trial is not serving"
    return ""


def apply_command(
    command: m.KeeperCommand, assessment: Assessment, fence: Fence, core: Core, now: float,
    keep: Callable[[Fence], bool],
) -> Fence:
    """Apply a command that counts to the durable state, and save the state with the new fence through ``keep``.
    Returns the fence in force: the previous one, with the state restored, if saving failed."""
    after = fence.accept(command.epoch, assessment.step,
                       {"ok": assessment.ok, "why": assessment.why} if assessment.step else None)
    before = copy.deepcopy(core.durable)
    if assessment.ok:
        if isinstance(command, m.StartTrial):
            core.begin_trial(command.order, now)
        elif isinstance(command, m.RollBack):
            core.roll_back(command.generation, command.reason[:200], now)
        elif isinstance(command, m.PinTrial):
            core.pin()
        elif isinstance(command, m.Confirm):
            core.confirm()
    if keep(after):
        core.record_contact(command.clock, now)
        return after
    core.restore(before, now)
    return fence
