"""One word of a controller: whether it counts, what it does, and that effect and fence are written down in one."""

from __future__ import annotations

import random
from typing import Any

import pytest

from headspar.keeper import messages as m
from headspar.keeper.core import Core, Course, Lasting, Order, Phase, Proc, Timing
from headspar.keeper.fence import Fence, Verdict
from headspar.keeper.pauses import Pauses, PauseSettings
from headspar.keeper.words import take, weigh


def core(present: str = "old", trial: str = "") -> Core:
    c = Core(Timing(), Pauses(PauseSettings(), random.Random(1)), lambda a, b: False, lambda *_: None)
    order = Order("c", trial, 5.0) if trial else None
    lasting = Lasting(present, "", order, Course.PROVING if trial else Course.SETTLED)
    c.resume(lasting, [Proc(1, trial or present, 0.0, 0.0)], 1, None, 100.0)
    return c


def said(kind: type[m.Step], step: int = 5, epoch: int = 2, node: str = "n", **more: Any) -> m.Word:
    return kind(node=node, epoch=epoch, clock=1.0, step=step, **more)


class Desk:
    """What a host does around the two functions."""

    def __init__(self, c: Core, fence: Fence | None = None) -> None:
        self.core, self.fence = c, fence or Fence(2, 4, {"ok": True, "why": ""})
        self.written: list[tuple[Fence, Lasting]] = []
        self.disk = True
        self.down = False

    def keep(self, fence: Fence) -> bool:
        if self.disk:
            self.written.append((fence, self.core.lasting))
        return self.disk

    def hear(self, word: m.Word) -> tuple[bool, str]:
        weighed = weigh(word, "n", self.fence, self.core, {"old", "new"}.__contains__, self.down)
        if weighed.counts:
            self.fence = take(word, weighed, self.fence, self.core, 100.0, self.keep)
        return weighed.ok, weighed.why


TRY = said(m.Try, order=Order("c", "new", 5.0))


@pytest.mark.parametrize(("word", "why"), [
    (said(m.Try, node="x", order=Order("c", "new", 5.0)), "meant for 'x'"),
    (said(m.Try, epoch=1, order=Order("c", "new", 5.0)), "epoch 1 is over, 2 has begun"),
    (said(m.Try, step=3, order=Order("c", "new", 5.0)), "step 3 comes after step 4"),
])
def test_what_does_not_count_is_told_why_and_leaves_no_trace(word: m.Word, why: str) -> None:
    desk = Desk(core())
    assert desk.hear(word) == (False, why) and desk.written == []
    assert desk.core.course is Course.SETTLED and desk.fence.step == 4


@pytest.mark.parametrize(("word", "why"), [
    (said(m.Try, order=Order("c", "other", 5.0)), "this generation is not here"),
    (said(m.Back, generation="other", reason=""), "this generation is not here"),
    (said(m.Confirm, generation="new"), "this generation is not on trial"),
    (said(m.Hold, generation="new"), "this generation is not on trial"),
])
def test_a_refusal_uses_its_step_up(word: m.Word, why: str) -> None:
    desk = Desk(core())
    assert desk.hear(word) == (False, why) and desk.fence.step == 5
    assert desk.hear(word) == (False, why)  # the same again, as the first time
    assert desk.core.course is Course.SETTLED


def test_effect_and_fence_are_written_in_one_before_anything_is_done() -> None:
    desk = Desk(core())
    assert desk.hear(TRY) == (True, "")
    (fence, lasting), = desk.written
    assert (fence.epoch, fence.step) == (2, 5) and lasting.order is not None and lasting.course is Course.TRYING
    assert desk.core.phase is Phase.SERVING  # nothing has been started yet
    assert desk.core.advance(100.0)
    assert desk.hear(TRY) == (True, "") and len(desk.written) == 1


@pytest.mark.parametrize(("trial", "word"), [
    ("", TRY), ("new", said(m.Back, generation="old", reason="x")), ("new", said(m.Confirm, generation="new")),
])
def test_what_can_not_be_written_was_never_taken(trial: str, word: m.Word) -> None:
    desk = Desk(core(trial=trial))
    before = (desk.core.course, desk.core.trial, desk.core.lasting.present)
    desk.disk = False
    desk.hear(word)
    assert (desk.core.course, desk.core.trial, desk.core.lasting.present) == before
    assert desk.fence.step == 4 and desk.core.advance(100.0) == []
    assert desk.core.proved(106.0) == bool(trial)  # it is proven anew
    desk.disk = True
    assert desk.hear(word) == (True, "")


def test_a_later_epoch_is_written_down_though_it_only_says_that_it_is_there() -> None:
    desk = Desk(core())
    touch = m.Touch(node="n", epoch=3, clock=7.0)
    assert desk.hear(touch) == (True, "") and desk.fence.epoch == 3 and len(desk.written) == 1
    assert desk.hear(touch) == (True, "") and len(desk.written) == 1
    assert desk.hear(TRY)[1].startswith("epoch 2 is over")
    assert weigh(touch, "n", desk.fence, desk.core, lambda _: True, False).verdict is Verdict.NEW


def test_a_trial_of_another_change_can_be_replaced_confirmed_and_taken_back() -> None:
    """Its record was lost, and who leads now says the epoch."""
    desk = Desk(core(trial="new"))
    assert desk.hear(said(m.Confirm, generation="new"))[0] and desk.core.lasting.present == "new"
    desk = Desk(core(trial="new"))
    assert desk.hear(said(m.Try, order=Order("another", "old", 5.0)))[0] and desk.core.trial == "old"


def test_a_word_for_a_node_that_is_down_is_refused_once_it_serves() -> None:
    """The controller kept no limit for it; what it knew may be two seconds old."""
    order = Order("c", "new", 5.0)
    desk = Desk(core())
    assert desk.hear(said(m.Try, order=order, down=True)) == (False, "it serves by now")
    assert desk.hear(said(m.Back, 6, generation="new", reason="x", down=True)) == (False, "it serves by now")
    assert desk.core.course is Course.SETTLED and desk.fence.step == 6
    desk.down = True
    assert desk.hear(said(m.Try, 7, order=order, down=True))[0] and desk.core.trial == "new"
