"""What a keeper does with one word of a controller; without I/O.

In this order: is it for us, does it count (``fence``), can it be done now, and then its effect on what lasts.  The
host writes effect and fence down in one, answers, and only then lets the core act on it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable

import msgspec

from headspar.keeper import messages as m
from headspar.keeper.core import Core, Course
from headspar.keeper.fence import Fence, Verdict


class Weighed(msgspec.Struct, frozen=True):
    """What is to be said to a word.  ``why``: empty, or why nothing is done; ``counts``: whether its step, or its
    epoch, has to be written down before the answer."""

    verdict: Verdict
    ok: bool
    why: str
    counts: bool
    step: int = 0


def weigh(
    word: m.Word, name: str, fence: Fence, core: Core, has: Callable[[str], bool], down: bool,
) -> Weighed:
    """``name``: the keeper's own; ``has``: whether a generation lies here; ``down``: the node serves nobody."""
    step = getattr(word, "step", 0)
    verdict = fence.judge(word.epoch, step)
    if word.node != name:
        return Weighed(verdict, False, f"meant for {word.node!r}", False, step)
    if verdict is Verdict.FENCED:
        return Weighed(verdict, False, f"epoch {word.epoch} is over, {fence.epoch} has begun", False, step)
    if verdict is Verdict.OLD:
        return Weighed(verdict, False, f"step {step} comes after step {fence.step}", False, step)
    if verdict is Verdict.AGAIN:
        assert fence.answer is not None
        return Weighed(verdict, bool(fence.answer["ok"]), str(fence.answer["why"]), False, step)
    why = _refusal(word, core, has)
    if not why and isinstance(word, m.Try | m.Back) and word.down and not down:
        why = "it serves by now"
    # A refusal uses its step up as well: the same word, held up on the way, must not be taken later on.
    return Weighed(verdict, not why, why, step > 0 or word.epoch > fence.epoch, step)


def _refusal(word: m.Word, core: Core, has: Callable[[str], bool]) -> str:
    """Why it can't be done now; empty if it can."""
    if isinstance(word, m.Try):
        return core.refusal(word.order) if has(word.order.generation) else "this generation is not here"
    if isinstance(word, m.Back):
        return "" if has(word.generation) else "this generation is not here"
    if isinstance(word, m.Hold | m.Confirm):
        if core.trial != word.generation:
            return "this generation is not on trial"
        if isinstance(word, m.Confirm) and (core.course is not Course.PROVING or core.running != core.trial):
            return "the trial does not serve"
    return ""


def take(
    word: m.Word, weighed: Weighed, fence: Fence, core: Core, now: float, keep: Callable[[Fence], bool],
) -> Fence:
    """Carry out a word that counts: its effect on what lasts, written down with the fence by ``keep``.  The fence
    from now on: the one before, and no effect, where nothing could be written."""
    after = fence.take(word.epoch, weighed.step, {"ok": weighed.ok, "why": weighed.why} if weighed.step else None)
    before = copy.deepcopy(core.lasting)
    if weighed.ok:
        if isinstance(word, m.Try):
            core.try_(word.order, now)
        elif isinstance(word, m.Back):
            core.back(word.generation, word.reason[:200], now)
        elif isinstance(word, m.Hold):
            core.hold()
        elif isinstance(word, m.Confirm):
            core.confirm()
    if keep(after):
        core.heard(word.clock, now)
        return after
    core.restore(before, now)
    return fence
