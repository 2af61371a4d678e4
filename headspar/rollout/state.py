"""A change's state machine, and the decisions about each node.  No I/O, no clock.

Decisions follow from what the keepers report, not from what the controller remembers having sent.  A controller that
was killed at any point and its successor therefore arrive at the same next step.  The record holds only what cannot
be read off the fleet: that there is a change, its stages, its state and its step numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, Literal

import msgspec

from headspar.keeper import messages as m
from headspar.keeper.core import Order
from headspar.keeper.messages import Status
from headspar.keeper.slots import Slot
from headspar.rollout.judge.types import JudgeSettings, Verdict, VerdictKind
from headspar.rollout.limits import DisruptionBudget, Limits, NodeCondition


class State(Enum):
    PLANNED = "planned"
    STAGE = "stage under way"
    PROVING = "proving"
    CONFIRMING = "confirming"
    PAUSED = "paused"
    BACK = "going back"
    DONE = "done"
    TAKEN_BACK = "taken back"
    PERSON = "needs a person"


class Cause(Enum):
    START = "start"
    SERVED = "all of the stage serve"
    NEXT = "next stage"
    LAST = "last stage proven"
    CONFIRMED = "all confirmed"
    PAUSE = "pause"
    RESUME = "resume"
    BACK = "back"
    FAILED = "failed"  # and the change is configured to roll back on failure
    FAILED_PAUSE = "failed, pause"
    AGAIN = "a trial is lost"  # a keeper lost its state, and its node is back on the old generation
    ALL_BACK = "all back"
    STUCK = "stuck"


S, C = State, Cause
TABLE: dict[tuple[State, Cause], State] = {
    (S.PLANNED, C.START): S.STAGE,
    (S.PLANNED, C.BACK): S.BACK,
    (S.STAGE, C.SERVED): S.PROVING,
    (S.STAGE, C.PAUSE): S.PAUSED,
    (S.STAGE, C.BACK): S.BACK,
    (S.STAGE, C.FAILED): S.BACK,
    (S.STAGE, C.FAILED_PAUSE): S.PAUSED,
    (S.PROVING, C.NEXT): S.STAGE,
    (S.PROVING, C.LAST): S.CONFIRMING,
    (S.PROVING, C.PAUSE): S.PAUSED,
    (S.PROVING, C.BACK): S.BACK,
    (S.PROVING, C.FAILED): S.BACK,
    (S.PROVING, C.FAILED_PAUSE): S.PAUSED,
    (S.PROVING, C.AGAIN): S.STAGE,
    (S.CONFIRMING, C.AGAIN): S.STAGE,
    (S.CONFIRMING, C.CONFIRMED): S.DONE,
    (S.CONFIRMING, C.BACK): S.BACK,
    (S.CONFIRMING, C.STUCK): S.PERSON,
    (S.PAUSED, C.RESUME): S.STAGE,
    (S.PAUSED, C.BACK): S.BACK,
    (S.BACK, C.ALL_BACK): S.TAKEN_BACK,
    (S.BACK, C.STUCK): S.PERSON,
    (S.PERSON, C.BACK): S.BACK,
    (S.PERSON, C.RESUME): S.CONFIRMING,  # only if the change got stuck while confirming
}
OVER = (S.DONE, S.TAKEN_BACK)
# States in which a command without an answer may be sent again, by kind of command.
RESEND_STATES = {"try": (S.STAGE, S.PROVING), "hold": (S.CONFIRMING,), "confirm": (S.CONFIRMING, S.DONE),
                 "back": (S.BACK, *OVER)}


class RolloutPolicy(msgspec.Struct, frozen=True):
    """How a change is carried out.  Times are in seconds."""

    limits: Limits
    proving_s: float = 20.0
    settle_s: float = 5.0
    ready_s: float = 60.0
    lost_s: float = 10.0
    on_failure: Literal["back", "pause"] = "back"
    silence: Literal["back", "hold"] = "hold"
    silence_s: float = 60.0
    restart: bool = True
    judge: JudgeSettings = JudgeSettings()


class Change(msgspec.Struct):
    """One change, as stored in the record.

    ``since`` is the change's clock (seconds since its start) at which its state was entered.
    """

    id: str
    goal: str
    path: str  # where keepers find the folder of the goal
    before: str  # the generation that the goal replaces
    stages: list[list[str]]
    slots: dict[str, Slot]
    ways: RolloutPolicy
    state: State = State.PLANNED
    stage: int = 0
    since: float = 0.0
    why: str = ""
    left: list[str] = []  # nodes that were unreachable when the change ended
    confirming: bool = False  # whether it was confirming when it came to need a person
    tries_from: float = 0.0  # commands before this time belong to an earlier attempt at the change
    stage_since: float = 0.0  # the change's clock when the stage began or was resumed
    judged: bool = False  # whether the judge stopped it
    passed: int = -1  # the stage that a person resumed after the judge had stopped it


class Observation(msgspec.Struct):
    """A node's last status and the change's clock at its arrival; ``at`` is -1 before the first."""

    status: Status | None = None
    at: float = -1.0
    told_at: float = -1.0  # when it was last sent the command to change; -1: never


class Command(msgspec.Struct, frozen=True):
    """A command to one node."""

    node: str
    say: Literal["fetch", "try", "hold", "confirm", "back"]
    generation: str = ""
    order: Order | None = None
    reason: str = ""
    down: bool = False  # valid only while the node serves no requests


def command_message(command: Command, epoch: int, clock: float, step: int) -> m.KeeperCommand:
    """Return the message to the keeper for a command that has an effect (any but a fetch)."""
    head: dict[str, Any] = {"node": command.node, "epoch": epoch, "clock": clock, "step": step}
    if command.say == "try":
        assert command.order is not None
        return m.StartTrial(order=command.order, down=command.down, **head)
    if command.say == "hold":
        return m.PinTrial(generation=command.generation, **head)
    if command.say == "confirm":
        return m.Confirm(generation=command.generation, **head)
    return m.RollBack(generation=command.generation, reason=command.reason, down=command.down, **head)


class Decision(msgspec.Struct):
    """What to do now: commands to nodes, then at most one transition; and what the change waits for."""

    commands: list[Command] = []
    cause: Cause | None = None
    why: str = ""
    waits: str = ""
    judged: bool = False  # whether the judge is the cause


class Director:
    """Decides about one change.  ``sites`` maps every node of the fleet to its site."""

    def __init__(self, change: Change, sites: Mapping[str, str], began: float) -> None:
        self.change, self.sites = change, sites
        self.began = began  # clock at which this controller started: silence before it is not held against nodes
        self.last_decision_at = began
        self.observations = {name: Observation() for name in sites}
        # Nodes with a command in flight or without an answer: they may be changing at this moment.
        self.unacknowledged: set[str] = set()
        self.verdict: Verdict | None = None  # the judge's verdict on the current stage

    # ------------------------------------------------------------ state of the fleet

    def receive_status(self, name: str, status: Status, clock: float) -> None:
        """Store a node's status, unless a later one of the same keeper has arrived before it."""
        observation, previous = self.observations[name], self.observations[name].status
        if previous is not None and previous.keeper == status.keeper and status.serial < previous.serial:
            return  # answers arrived out of order: this one is older
        observation.status, observation.at = status, clock

    def record_try(self, name: str, clock: float) -> None:
        """Note that the node was sent the command to change."""
        self.observations[name].told_at = clock

    def age(self, name: str, clock: float) -> float:
        """Return the seconds since the node's last status, or since this controller started."""
        return clock - max(self.observations[name].at, self.began)

    def fresh_status(self, name: str, clock: float) -> Status | None:
        """Return the node's status if it is recent, else None."""
        observation = self.observations[name]
        max_age = self.change.ways.lost_s / 3
        return observation.status if observation.at >= 0 and clock - observation.at <= max_age else None

    def _condition(self, name: str, clock: float) -> NodeCondition:
        """Return whether the node counts as out, and its load, for the limits."""
        status = self.fresh_status(name, clock)
        if status is None or name in self.unacknowledged:
            return NodeCondition(name, self.sites[name], True, down=False)
        # A node that is changing may serve for a moment between a failed start and the next one.
        moving = status.course in ("trying", "going back") or status.state not in ("serving", "proving", "held")
        f = status.figures
        cold = f.cold / f.servers if f.servers else 0.0
        # One late answer on a busy machine does not prove that the node is down, so the node still counts as out.
        down = not status.running or status.silent > m.DOWN_S
        return NodeCondition(name, self.sites[name], moving or down or not status.answers, f.rate, cold, down)

    def budget(self, clock: float) -> DisruptionBudget:
        """Return the disruption budget at ``clock``."""
        return DisruptionBudget(self.change.ways.limits, [self._condition(name, clock) for name in self.sites])

    def has_goal(self, status: Status) -> bool:
        """Return whether the node has the goal in any way: on trial, present or running."""
        return self.change.goal in (status.trial, status.present, status.running)

    def _had_goal(self, name: str) -> bool:
        """Return whether the node's last status had the goal."""
        status = self.observations[name].status
        return status is not None and self.has_goal(status)

    def _is_proved(self, status: Status) -> bool:
        goal = self.change.goal
        return status.trial == goal and status.proved and status.answers or self._is_confirmed(status)

    def _is_confirmed(self, status: Status) -> bool:
        """Return whether the node has the goal for good; it may be down at the moment."""
        return status.present == self.change.goal and status.course == "settled"

    def _left_trial(self, status: Status) -> bool:
        """Return whether the node has left the trial of this change by itself."""
        outcome, change = status.outcome, self.change
        return (outcome is not None and (outcome.change, outcome.generation) == (change.id, change.goal)
                and outcome.result == "back")

    def _lost_trial(self, status: Status) -> bool:
        """Return whether the keeper lost its state: it is settled on the old generation, but never left the trial."""
        settled = status.course == "settled" and status.present == self.change.before
        return settled and not self.has_goal(status) and not self._left_trial(status)

    def _needs_rollback(self, name: str, status: Status) -> bool:
        """Return whether the node must be rolled back.

        It must if it has the goal, is on its way back, or may still receive a command to try the goal: one more step
        makes a command in flight an old one, which the keeper refuses.
        """
        leaving = status.course in ("going back", "held") and self._left_trial(status)
        return self.has_goal(status) or leaving or name in self.unacknowledged

    def target_nodes(self) -> list[str]:
        """Return the nodes of all stages up to the current one."""
        return [name for stage in self.change.stages[: self.change.stage + 1] for name in stage]

    # ------------------------------------------------------------ deciding

    def decide(self, clock: float) -> Decision:
        """Return what to do at ``clock``."""
        state = self.change.state
        if clock - self.last_decision_at > self.change.ways.lost_s / 3:
            self.began = clock  # this controller was paused: silence in that time is not held against nodes
        self.last_decision_at = clock
        if state is S.STAGE or state is S.PROVING:
            failure = self._failure_reason(clock)
            if failure:
                back = self.change.ways.on_failure == "back" and not failure.startswith("site ")
                return Decision(cause=C.FAILED if back else C.FAILED_PAUSE, why=failure)
            stop = self._judge_decision()
            if stop is not None:
                return stop
            return self._decide_stage(clock) if state is S.STAGE else self._decide_proving(clock)
        if state is S.CONFIRMING:
            return self._decide_confirming(clock)
        if state is S.BACK:
            return self._roll_back(clock)
        if state in OVER:
            return self._converge(clock)
        return Decision(waits=self.change.why)

    @property
    def is_judged(self) -> bool:
        """Return whether the current stage is judged; it is not if a person resumed it after a verdict."""
        change = self.change
        return change.ways.judge.on and change.passed != change.stage

    def _judge_decision(self) -> Decision | None:
        """Return the decision to stop if the judge's verdict demands it, else None."""
        verdict = self.verdict
        if not self.is_judged or verdict is None or verdict.kind not in (VerdictKind.BACK, VerdictKind.PAUSE):
            return None
        back = verdict.kind is VerdictKind.BACK and self.change.ways.on_failure == "back"
        return Decision(cause=C.FAILED if back else C.FAILED_PAUSE, why=f"judge: {verdict.reason}", judged=True)

    def _failure_reason(self, clock: float) -> str:
        """Return why the stage has failed, apart from the judge; empty if it has not.

        A stage fails if a node does not become ready, dies, leaves the trial, or stops reporting.
        """
        ways, change = self.change.ways, self.change
        lost = []
        for name in self.target_nodes():
            observation = self.observations[name]
            status = observation.status
            if status is not None and observation.at >= self.began:
                if observation.told_at >= change.tries_from and self._left_trial(status):
                    assert status.outcome is not None
                    return f"{name} rolled back by itself: {status.outcome.reason}"
                if status.trial == change.goal:
                    if status.deaths > 0:
                        return f"{name} died or did not start, {status.deaths} times"
                    if status.course == "proving" and status.running and status.figures_age > ways.lost_s \
                            and clock - observation.told_at > ways.lost_s:
                        return f"{name} reports no figures"
                    if 0 <= observation.told_at < clock - ways.ready_s - ways.proving_s and not status.proved:
                        return f"{name} did not become ready within {ways.ready_s:.0f} s"
            involved = observation.told_at >= 0 or status is not None and self.has_goal(status)
            if involved and self.age(name, clock) > ways.lost_s:
                lost.append(name)
        if not lost:
            return ""
        site = self.sites[lost[0]]
        others = [n for n, s in self.sites.items() if s == site and not self._had_goal(n)]
        gone = [n for n in others if self.age(n, clock) > 0.75 * ways.lost_s]  # last statuses differ a little in time
        if others and 2 * len(gone) >= len(others):
            return f"site {site} is unreachable, old and new nodes alike"
        silent = [n for n in others if self.age(n, clock) > ways.lost_s / 3]
        if others and 2 * len(silent) >= len(others):
            return ""  # the others are falling silent too: it will soon be known whether the site has failed
        return f"{lost[0]} is unreachable"

    def _order(self, name: str) -> Order:
        """Return the order for a node's trial; the last node of a site is never restarted."""
        ways = self.change.ways
        is_last = sum(site == self.sites[name] for site in self.sites.values()) == 1
        return Order(self.change.id, self.change.goal, ways.proving_s, ways.restart and not is_last,
                     ways.silence, ways.silence_s, self.change.slots.get(name),
                     reload=name not in self.change.stages[0])  # the first stage also tests a start

    def _fetch_commands(self, names: list[str], generation: str, clock: float) -> list[Command]:
        return [
            Command(name, "fetch", generation) for name in names
            if (s := self.fresh_status(name, clock)) is not None
            and generation not in s.generations and not s.fetching
        ]

    def _decide_stage(self, clock: float) -> Decision:
        out, change = Decision(), self.change
        budget = self.budget(clock)
        out.commands = self._fetch_commands(list(self.sites), change.goal, clock)
        remaining, waits = 0, ""
        for name in self.target_nodes():
            status = self.fresh_status(name, clock)
            if status is not None and self.has_goal(status) and status.running == change.goal:
                continue
            remaining += 1
            if status is None:
                waits = waits or f"{name} is unreachable"
                continue
            if status.trial == change.goal or change.goal not in status.generations:
                waits = waits or f"{name} is {status.state if status.trial else 'fetching the generation'}"
                continue
            if status.course == "going back":
                waits = waits or f"{name} is {status.state}"
                continue
            # If the node may fall back to a restart, the limits must allow for one.
            refusal = budget.refusal(name, keeps_serving=not self._order(name).restart)
            if refusal:
                waits = waits or f"{name}: {refusal}"
                continue
            budget.take(name)
            out.commands.append(Command(name, "try", change.goal, self._order(name), down=budget.nodes[name].down))
        out.waits = waits
        if remaining == 0:
            out.cause = C.SERVED
        return out

    def _decide_proving(self, clock: float) -> Decision:
        change = self.change
        for name in self.target_nodes():
            status = self.fresh_status(name, clock)
            if status is None:
                return Decision(waits=f"{name} is unreachable")
            if self._lost_trial(status):
                return Decision(cause=C.AGAIN, why=f"{name} has lost its trial")
            if not self._is_proved(status):
                return Decision(waits=f"{name} is {status.state}")
        if clock - change.since < change.ways.settle_s:
            return Decision(waits="the stage is settling")
        if self.is_judged and (self.verdict is None or self.verdict.kind is not VerdictKind.GO_ON):
            return Decision(waits=f"judge: {self.verdict.reason if self.verdict is not None else 'no figures yet'}")
        is_last = change.stage + 1 >= len(change.stages)
        return Decision(cause=C.LAST if is_last else C.NEXT)

    def _decide_confirming(self, clock: float) -> Decision:
        """Make all nodes hold the goal through a controller's silence, then confirm them all.

        Otherwise a controller that dies halfway would leave the unconfirmed part of the fleet to roll back by itself.
        """
        change, ways = self.change, self.change.ways
        out = Decision()
        holds, confirms, unreachable = [], [], []
        for name in self.target_nodes():
            status = self.fresh_status(name, clock)
            if status is None:
                unreachable.append(name)
            elif self._is_confirmed(status):
                continue
            elif self._lost_trial(status):
                return Decision(cause=C.AGAIN, why=f"{name} has lost its trial")
            elif status.trial != change.goal:
                out.cause, out.why = C.STUCK, f"{name} is on {(status.running or status.state)[:12]}"
                return out
            elif status.course != "proving" or not status.running:
                out.waits = f"{name} is {status.state}"
            elif ways.silence == "back" and not status.holds:
                holds.append(name)
            else:
                confirms.append(name)
        overdue = clock - change.since > ways.ready_s
        if holds:
            out.commands = [Command(name, "hold", change.goal) for name in holds]
            return out
        if unreachable and not overdue:
            out.waits = f"{unreachable[0]} is unreachable"
            return out
        if out.waits and overdue:
            out.cause, out.why = C.STUCK, out.waits
            return out
        out.commands = [Command(name, "confirm", change.goal) for name in confirms]
        if not confirms and not out.waits:
            change.left = unreachable
            out.cause, out.why = C.CONFIRMED, f"unreachable: {', '.join(unreachable)}" if unreachable else ""
        return out

    def _roll_back(self, clock: float) -> Decision:
        """Roll back as many nodes at once as the limits allow; nodes that are down come first and are not limited."""
        change, ways = self.change, self.change.ways
        out, budget = Decision(), self.budget(clock)
        pending, unreachable, stuck = [], [], ""
        for name in self.sites:
            status = self.fresh_status(name, clock)
            if status is None:
                unreachable.append(name)
            elif self._needs_rollback(name, status):
                pending.append((name, status))
        pending.sort(key=lambda row: not budget.nodes[row[0]].down)
        for name, status in pending:
            if status.present == change.before and not status.trial and name not in self.unacknowledged:
                out.waits = out.waits or f"{name} is {status.state}"
                if status.state == "held":
                    stuck = stuck or f"{name}: {change.before[:12]} does not start"
                continue
            if change.before not in status.generations:
                stuck = stuck or f"{name} no longer has {change.before[:12]}"
                continue
            refusal = budget.refusal(name, keeps_serving=True, rolling_back=True)
            if refusal:
                out.waits = out.waits or f"{name}: {refusal}"
                continue
            budget.take(name)
            out.commands.append(Command(name, "back", change.before, reason=change.why, down=budget.nodes[name].down))
        if pending and stuck and clock - change.since > ways.ready_s:
            out.cause, out.why = C.STUCK, stuck
        elif not pending:
            if not unreachable or clock - change.since > ways.ready_s:
                change.left = unreachable
                out.cause, out.why = C.ALL_BACK, f"unreachable: {', '.join(unreachable)}" if unreachable else ""
            else:
                out.waits = out.waits or f"{unreachable[0]} is unreachable"
        return out

    def _converge(self, clock: float) -> Decision:
        """After the end of the change, bring nodes that become reachable again to the generation that holds."""
        change = self.change
        goal = change.goal if change.state is S.DONE else change.before
        unwanted = change.before if change.state is S.DONE else change.goal
        out, budget = Decision(), self.budget(clock)
        for name in self.sites:
            status = self.fresh_status(name, clock)
            if status is None or status.course == "going back":
                continue
            if change.state is S.DONE and status.trial == goal:
                if status.proved:  # it lost its state, and a late command made it try once more
                    out.commands.append(Command(name, "confirm", goal))
                continue
            if unwanted not in (status.trial, status.present, status.running) and name not in self.unacknowledged:
                continue
            if goal not in status.generations:
                out.commands += self._fetch_commands([name], goal, clock) if change.state is S.DONE else []
                continue
            if not budget.refusal(name, keeps_serving=True, rolling_back=True):
                budget.take(name)
                out.commands.append(
                    Command(name, "back", goal, reason="the change is over", down=budget.nodes[name].down))
        return out

    # ------------------------------------------------------------ transitions

    def move(self, cause: Cause, why: str, clock: float, judged: bool = False) -> State:
        """Apply a transition and return the new state; raises ``KeyError`` if the table has none.

        ``judged``: the judge is the cause.
        """
        change = self.change
        after = TABLE[change.state, cause]
        if change.state is S.PERSON and cause is C.RESUME and not change.confirming:
            raise KeyError((change.state, cause))
        change.confirming = change.state is S.CONFIRMING and cause is C.STUCK
        if cause is C.NEXT:
            change.stage += 1
        if cause in (C.START, C.RESUME):
            change.tries_from = clock
        if cause in (C.START, C.RESUME, C.NEXT):
            change.stage_since, self.verdict = clock, None
        if cause is C.RESUME and change.judged:
            change.passed = change.stage  # a person overrides the judge for this stage
        change.judged = judged
        change.state, change.why, change.since = after, why, clock
        return after
