"""Commands of a controller: acceptance, effect, and that the effect and the fence are saved in one write."""

from __future__ import annotations

import random
from typing import Any

import pytest

from headspar.keeper import messages as m
from headspar.keeper.backoff import BackoffSettings, RestartBackoff
from headspar.keeper.commands import apply_command, check_command
from headspar.keeper.core import Core, Course, DurableState, Order, Phase, Proc, Timing
from headspar.keeper.fence import Fence, Verdict


def core(present: str = "old", trial: str = "") -> Core:
    c = Core(Timing(), RestartBackoff(BackoffSettings(), random.Random(1)), lambda a, b: False, lambda *_: None)
    order = Order("c", trial, 5.0) if trial else None
    durable = DurableState(present, "", order, Course.PROVING if trial else Course.SETTLED)
    c.resume(durable, [Proc(1, trial or present, 0.0, 0.0)], 1, None, 100.0)
    return c


def command_of(kind: type[m.Step], step: int = 5, epoch: int = 2, node: str = "n", **more: Any) -> m.KeeperCommand:
    return kind(node=node, epoch=epoch, clock=1.0, step=step, **more)


class Host:
    """Calls the two functions as the keeper's host does; ``disk`` False makes saving fail."""

    def __init__(self, c: Core, fence: Fence | None = None) -> None:
        self.core, self.fence = c, fence or Fence(2, 4, {"ok": True, "why": ""})
        self.written: list[tuple[Fence, DurableState]] = []
        self.disk = True
        self.down = False

    def keep(self, fence: Fence) -> bool:
        if self.disk:
            self.written.append((fence, self.core.durable))
        return self.disk

    def handle(self, command: m.KeeperCommand) -> tuple[bool, str]:
        assessment = check_command(command, "n", self.fence, self.core, {"old", "new"}.__contains__, self.down)
        if assessment.counts:
            self.fence = apply_command(command, assessment, self.fence, self.core, 100.0, self.keep)
        return assessment.ok, assessment.why


TRY = command_of(m.StartTrial, order=Order("c", "new", 5.0))


@pytest.mark.parametrize(("command", "why"), [
    (command_of(m.StartTrial, node="x", order=Order("c", "new", 5.0)), "meant for 'x'"),
    (command_of(m.StartTrial, epoch=1, order=Order("c", "new", 5.0)), "epoch 1 has expired, 2 is the current one"),
    (command_of(m.StartTrial, step=3, order=Order("c", "new", 5.0)), "step 3 is older than the last step 4"),
])
def test_what_does_not_count_is_told_why_and_leaves_no_trace(command: m.KeeperCommand, why: str) -> None:
    host = Host(core())
    assert host.handle(command) == (False, why) and host.written == []
    assert host.core.course is Course.SETTLED and host.fence.step == 4


@pytest.mark.parametrize(("command", "why"), [
    (command_of(m.StartTrial, order=Order("c", "other", 5.0)), "this generation is not stored here"),
    (command_of(m.RollBack, generation="other", reason=""), "this generation is not stored here"),
    (command_of(m.Confirm, generation="new"), "this generation is not on trial"),
    (command_of(m.PinTrial, generation="new"), "this generation is not on trial"),
])
def test_a_refusal_uses_its_step_up(command: m.KeeperCommand, why: str) -> None:
    host = Host(core())
    assert host.handle(command) == (False, why) and host.fence.step == 5
    assert host.handle(command) == (False, why)  # a duplicate gets the same answer
    assert host.core.course is Course.SETTLED


def test_effect_and_fence_are_written_in_one_before_anything_is_done() -> None:
    host = Host(core())
    assert host.handle(TRY) == (True, "")
    (fence, durable), = host.written
    assert (fence.epoch, fence.step) == (2, 5) and durable.order is not None and durable.course is Course.TRYING
    assert host.core.phase is Phase.SERVING  # no process has been started yet
    assert host.core.advance(100.0)
    assert host.handle(TRY) == (True, "") and len(host.written) == 1


@pytest.mark.parametrize(("trial", "command"), [
    ("", TRY), ("new", command_of(m.RollBack, generation="old", reason="x")),
    ("new", command_of(m.Confirm, generation="new")),
])
def test_what_can_not_be_written_was_never_taken(trial: str, command: m.KeeperCommand) -> None:
    host = Host(core(trial=trial))
    before = (host.core.course, host.core.trial, host.core.durable.present)
    host.disk = False
    host.handle(command)
    assert (host.core.course, host.core.trial, host.core.durable.present) == before
    assert host.fence.step == 4 and host.core.advance(100.0) == []
    assert host.core.proved(106.0) == bool(trial)  # its proving time starts again
    host.disk = True
    assert host.handle(command) == (True, "")


def test_a_later_epoch_is_written_down_though_it_only_says_that_it_is_there() -> None:
    host = Host(core())
    heartbeat = m.Heartbeat(node="n", epoch=3, clock=7.0)
    assert host.handle(heartbeat) == (True, "") and host.fence.epoch == 3 and len(host.written) == 1
    assert host.handle(heartbeat) == (True, "") and len(host.written) == 1
    assert host.handle(TRY)[1].startswith("epoch 2 has expired")
    assert check_command(heartbeat, "n", host.fence, host.core, lambda _: True, False).verdict is Verdict.NEW


def test_a_trial_of_another_change_can_be_replaced_confirmed_and_taken_back() -> None:
    """A change whose record was lost is taken over by the next: the epoch identifies the leader, not the change."""
    host = Host(core(trial="new"))
    assert host.handle(command_of(m.Confirm, generation="new"))[0] and host.core.durable.present == "new"
    host = Host(core(trial="new"))
    assert host.handle(command_of(m.StartTrial, order=Order("another", "old", 5.0)))[0] and host.core.trial == "old"


def test_a_word_for_a_node_that_is_down_is_refused_once_it_serves() -> None:
    """The controller does not count a node that is down against the limits, and its knowledge may be 2 s old."""
    order = Order("c", "new", 5.0)
    host = Host(core())
    assert host.handle(command_of(m.StartTrial, order=order, down=True)) == (False, "the node is serving now")
    assert host.handle(command_of(m.RollBack, 6, generation="new", reason="x", down=True)) == (
        False, "the node is serving now")
    assert host.core.course is Course.SETTLED and host.fence.step == 6
    host.down = True
    assert host.handle(command_of(m.StartTrial, 7, order=order, down=True))[0] and host.core.trial == "new"
