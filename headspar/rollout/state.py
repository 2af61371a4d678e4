"""A change as a whole: its table of states, and what is to be done about each node; without I/O or clock.

What is done follows from what the keepers say, not from what the controller remembers having sent: a controller that
was killed at any place, and another in its stead, come to the same next step.  The record holds what can't be read
off the fleet: that there is a change, its stages, its state and its running number of steps.
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
from headspar.rollout.judge.terms import Judged, Kind, Verdict
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
    FAILED = "failed"  # and the change says to go back
    FAILED_PAUSE = "failed, pause"
    AGAIN = "a trial is lost"  # with a keeper's state, and its node is back on the old generation
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
    (S.PERSON, C.RESUME): S.CONFIRMING,  # of a change that could not be confirmed
}
OVER = (S.DONE, S.TAKEN_BACK)
# In which states a word that was never answered may be said again.
HOLDING = {"try": (S.STAGE, S.PROVING), "hold": (S.CONFIRMING,), "confirm": (S.CONFIRMING, S.DONE),
           "back": (S.BACK, *OVER)}


class Ways(msgspec.Struct, frozen=True):
    """How a change is carried out.  Seconds."""

    limits: Limits
    proving_s: float = 20.0
    settle_s: float = 5.0
    ready_s: float = 60.0
    lost_s: float = 10.0
    on_failure: Literal["back", "pause"] = "back"
    silence: Literal["back", "hold"] = "hold"
    silence_s: float = 60.0
    restart: bool = True
    judge: Judged = Judged()


class Change(msgspec.Struct):
    """One change, as it lasts in the record.  ``since``: the change's clock when its state was entered."""

    id: str
    goal: str
    path: str  # where keepers find the goal's folder
    before: str  # the generation that it is to replace
    stages: list[list[str]]
    slots: dict[str, Slot]
    ways: Ways
    state: State = State.PLANNED
    stage: int = 0
    since: float = 0.0
    why: str = ""
    left: list[str] = []  # nodes that were not heard of when it ended
    confirming: bool = False  # whether it had come to be confirmed, when it needed a person
    tries_from: float = 0.0  # what nodes were told before was another try of it
    stage_since: float = 0.0  # the change's clock when the stage began, or was tried again
    judged: bool = False  # whether it was the judge that stopped it
    passed: int = -1  # the stage that a person has let pass after the judge had stopped it


class Seen(msgspec.Struct):
    """A node's last word, and the change's clock when it came; ``at`` -1: none yet."""

    status: Status | None = None
    at: float = -1.0
    told_at: float = -1.0  # when it was last told to change


class Command(msgspec.Struct, frozen=True):
    """A word to one node."""

    node: str
    say: Literal["fetch", "try", "hold", "confirm", "back"]
    generation: str = ""
    order: Order | None = None
    reason: str = ""
    down: bool = False  # only while the node serves nobody


def word(command: Command, epoch: int, clock: float, step: int) -> m.Word:
    """A command with an effect as the keeper is told it."""
    head: dict[str, Any] = {"node": command.node, "epoch": epoch, "clock": clock, "step": step}
    if command.say == "try":
        assert command.order is not None
        return m.Try(order=command.order, down=command.down, **head)
    if command.say == "hold":
        return m.Hold(generation=command.generation, **head)
    if command.say == "confirm":
        return m.Confirm(generation=command.generation, **head)
    return m.Back(generation=command.generation, reason=command.reason, down=command.down, **head)


class Decision(msgspec.Struct):
    """What is to be done now: words to nodes, then at most one move; and what holds the change up."""

    commands: list[Command] = []
    cause: Cause | None = None
    why: str = ""
    waits: str = ""
    judged: bool = False  # whether the judge is the cause


class Director:
    """Decides over one change.  ``sites``: of all nodes of the fleet."""

    def __init__(self, change: Change, sites: Mapping[str, str], began: float) -> None:
        self.change, self.sites = change, sites
        self.began = began  # the clock when this controller began: silence before it is not held against nodes
        self.last = began
        self.seen = {name: Seen() for name in sites}
        # Nodes to which a word is on its way, or went and was never answered: they may be changing at this moment.
        self.doubtful: set[str] = set()
        self.verdict: Verdict | None = None  # the judge's, on the stage under way

    # ------------------------------------------------------------ reading the fleet

    def heard(self, name: str, status: Status, clock: float) -> None:
        seen, last = self.seen[name], self.seen[name].status
        if last is not None and last.keeper == status.keeper and status.serial < last.serial:
            return  # two answers have overtaken one another: this one is the older
        seen.status, seen.at = status, clock

    def told(self, name: str, clock: float) -> None:
        """It was told to change."""
        self.seen[name].told_at = clock

    def age(self, name: str, clock: float) -> float:
        """Seconds since its last word."""
        return clock - max(self.seen[name].at, self.began)

    def fresh(self, name: str, clock: float) -> Status | None:
        """Its status, if it was heard of lately."""
        seen = self.seen[name]
        short = self.change.ways.lost_s / 3
        return seen.status if seen.at >= 0 and clock - seen.at <= short else None

    def _now(self, name: str, clock: float) -> NodeCondition:
        status = self.fresh(name, clock)
        if status is None or name in self.doubtful:
            return NodeCondition(name, self.sites[name], True, down=False)
        # On its way it may serve for a moment, between a start that failed and the next.
        moving = status.course in ("trying", "going back") or status.state not in ("serving", "proving", "held")
        f = status.figures
        cold = f.cold / f.servers if f.servers else 0.0
        # One answer that is late on a busy machine is no proof that it serves nobody, and frees nobody's place.
        down = not status.running or status.silent > m.DOWN_S
        return NodeCondition(name, self.sites[name], moving or down or not status.answers, f.rate, cold, down)

    def room(self, clock: float) -> DisruptionBudget:
        return DisruptionBudget(self.change.ways.limits, [self._now(name, clock) for name in self.sites])

    def on_goal(self, status: Status) -> bool:
        """Whether it has the goal in any way: on trial, present, or running."""
        return self.change.goal in (status.trial, status.present, status.running)

    def _changed(self, name: str) -> bool:
        """Whether it had the goal when it was last heard of."""
        status = self.seen[name].status
        return status is not None and self.on_goal(status)

    def _proved(self, status: Status) -> bool:
        goal = self.change.goal
        return status.trial == goal and status.proved and status.answers or self._confirmed(status)

    def _confirmed(self, status: Status) -> bool:
        """It has the goal for good, though it may be down just now."""
        return status.present == self.change.goal and status.course == "settled"

    def _gave_up(self, status: Status) -> bool:
        """Whether it has left the trial of this change."""
        outcome, change = status.outcome, self.change
        return (outcome is not None and (outcome.change, outcome.generation) == (change.id, change.goal)
                and outcome.result == "back")

    def _lost_trial(self, status: Status) -> bool:
        """Whether it is settled on the old generation without having given the trial up: its state was lost."""
        settled = status.course == "settled" and status.present == self.change.before
        return settled and not self.on_goal(status) and not self._gave_up(status)

    def _to_go_back(self, name: str, status: Status) -> bool:
        """Whether it has anything of the goal, is on its way from it, or may still be told to try it by a word that
        is on the way: one more step makes that word an old one."""
        on_way = status.course in ("going back", "held") and self._gave_up(status)
        return self.on_goal(status) or on_way or name in self.doubtful

    def nodes(self) -> list[str]:
        """Those that ought to be changed by now."""
        return [name for stage in self.change.stages[: self.change.stage + 1] for name in stage]

    # ------------------------------------------------------------ deciding

    def decide(self, clock: float) -> Decision:
        """What is to be done now."""
        state = self.change.state
        if clock - self.last > self.change.ways.lost_s / 3:
            self.began = clock  # it was we who stood still: nobody's silence in that time tells anything
        self.last = clock
        if state is S.STAGE or state is S.PROVING:
            failure = self._failure(clock)
            if failure:
                back = self.change.ways.on_failure == "back" and not failure.startswith("site ")
                return Decision(cause=C.FAILED if back else C.FAILED_PAUSE, why=failure)
            worse = self._judged()
            if worse is not None:
                return worse
            return self._stage(clock) if state is S.STAGE else self._prove(clock)
        if state is S.CONFIRMING:
            return self._confirm(clock)
        if state is S.BACK:
            return self._go_back(clock)
        if state in OVER:
            return self._bring(clock)
        return Decision(waits=self.change.why)

    @property
    def judges(self) -> bool:
        """Whether the stage under way is judged: a person may have let it pass."""
        change = self.change
        return change.ways.judge.on and change.passed != change.stage

    def _judged(self) -> Decision | None:
        """What the judge's verdict stops."""
        verdict = self.verdict
        if not self.judges or verdict is None or verdict.kind not in (Kind.BACK, Kind.PAUSE):
            return None
        back = verdict.kind is Kind.BACK and self.change.ways.on_failure == "back"
        return Decision(cause=C.FAILED if back else C.FAILED_PAUSE, why=f"judge: {verdict.reason}", judged=True)

    def _failure(self, clock: float) -> str:
        """What stops a stage without a judge: a node that does not get ready, ends, restarts, or is not heard of."""
        ways, change = self.change.ways, self.change
        lost = []
        for name in self.nodes():
            seen = self.seen[name]
            status = seen.status
            if status is not None and seen.at >= self.began:
                if seen.told_at >= change.tries_from and self._gave_up(status):
                    assert status.outcome is not None
                    return f"{name} went back by itself: {status.outcome.reason}"
                if status.trial == change.goal:
                    if status.deaths > 0:
                        return f"{name} died or did not start, {status.deaths} times"
                    if status.course == "proving" and status.running and status.figures_age > ways.lost_s \
                            and clock - seen.told_at > ways.lost_s:
                        return f"{name} gives no figures"
                    if 0 <= seen.told_at < clock - ways.ready_s - ways.proving_s and not status.proved:
                        return f"{name} has not got ready in {ways.ready_s:.0f} s"
            touched = seen.told_at >= 0 or status is not None and self.on_goal(status)
            if touched and self.age(name, clock) > ways.lost_s:
                lost.append(name)
        if not lost:
            return ""
        site = self.sites[lost[0]]
        others = [n for n, s in self.sites.items() if s == site and not self._changed(n)]
        gone = [n for n in others if self.age(n, clock) > 0.75 * ways.lost_s]  # last heard a little later, say
        if others and 2 * len(gone) >= len(others):
            return f"site {site} is not heard of, old nodes and new ones alike"
        silent = [n for n in others if self.age(n, clock) > ways.lost_s / 3]
        if others and 2 * len(silent) >= len(others):
            return ""  # they have fallen silent as well, last heard of later still: soon it will be known
        return f"{lost[0]} is not heard of"

    def _order(self, name: str) -> Order:
        ways = self.change.ways
        last = sum(site == self.sites[name] for site in self.sites.values()) == 1
        return Order(self.change.id, self.change.goal, ways.proving_s, ways.restart and not last,
                     ways.silence, ways.silence_s, self.change.slots.get(name),
                     reload=name not in self.change.stages[0])  # the first one proves that it starts as well

    def _fetches(self, names: list[str], generation: str, clock: float) -> list[Command]:
        return [
            Command(name, "fetch", generation) for name in names
            if (s := self.fresh(name, clock)) is not None and generation not in s.generations and not s.fetching
        ]

    def _stage(self, clock: float) -> Decision:
        out, change = Decision(), self.change
        room = self.room(clock)
        out.commands = self._fetches(list(self.sites), change.goal, clock)
        open_, waits = 0, ""
        for name in self.nodes():
            status = self.fresh(name, clock)
            if status is not None and self.on_goal(status) and status.running == change.goal:
                continue
            open_ += 1
            if status is None:
                waits = waits or f"{name} is not heard of"
                continue
            if status.trial == change.goal or change.goal not in status.generations:
                waits = waits or f"{name} is {status.state if status.trial else 'being given the generation'}"
                continue
            if status.course == "going back":
                waits = waits or f"{name} is {status.state}"
                continue
            # Where it has a restart to fall back on, it must be able to bear one.
            refusal = room.refusal(name, keeps_serving=not self._order(name).restart)
            if refusal:
                waits = waits or f"{name}: {refusal}"
                continue
            room.take(name)
            out.commands.append(Command(name, "try", change.goal, self._order(name), down=room.nodes[name].down))
        out.waits = waits
        if open_ == 0:
            out.cause = C.SERVED
        return out

    def _prove(self, clock: float) -> Decision:
        change = self.change
        for name in self.nodes():
            status = self.fresh(name, clock)
            if status is None:
                return Decision(waits=f"{name} is not heard of")
            if self._lost_trial(status):
                return Decision(cause=C.AGAIN, why=f"{name} has lost its trial")
            if not self._proved(status):
                return Decision(waits=f"{name} is {status.state}")
        if clock - change.since < change.ways.settle_s:
            return Decision(waits="the stage settles")
        if self.judges and (self.verdict is None or self.verdict.kind is not Kind.GO_ON):
            return Decision(waits=f"judge: {self.verdict.reason if self.verdict is not None else 'no figures yet'}")
        last = change.stage + 1 >= len(change.stages)
        return Decision(cause=C.LAST if last else C.NEXT)

    def _confirm(self, clock: float) -> Decision:
        """First all hold through any silence, then all are confirmed: a controller that dies between the two leaves
        no half of the fleet to go back by itself."""
        change, ways = self.change, self.change.ways
        out = Decision()
        holds, confirms, away = [], [], []
        for name in self.nodes():
            status = self.fresh(name, clock)
            if status is None:
                away.append(name)
            elif self._confirmed(status):
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
        late = clock - change.since > ways.ready_s
        if holds:
            out.commands = [Command(name, "hold", change.goal) for name in holds]
            return out
        if away and not late:
            out.waits = f"{away[0]} is not heard of"
            return out
        if out.waits and late:
            out.cause, out.why = C.STUCK, out.waits
            return out
        out.commands = [Command(name, "confirm", change.goal) for name in confirms]
        if not confirms and not out.waits:
            change.left = away
            out.cause, out.why = C.CONFIRMED, f"not heard of: {', '.join(away)}" if away else ""
        return out

    def _go_back(self, clock: float) -> Decision:
        """As many at once as the limits allow; those that serve nobody first, and without limit."""
        change, ways = self.change, self.change.ways
        out, room = Decision(), self.room(clock)
        todo, away, stuck = [], [], ""
        for name in self.sites:
            status = self.fresh(name, clock)
            if status is None:
                away.append(name)
            elif self._to_go_back(name, status):
                todo.append((name, status))
        todo.sort(key=lambda row: not room.nodes[row[0]].down)
        for name, status in todo:
            if status.present == change.before and not status.trial and name not in self.doubtful:
                out.waits = out.waits or f"{name} is {status.state}"
                if status.state == "held":
                    stuck = stuck or f"{name}: {change.before[:12]} does not start"
                continue
            if change.before not in status.generations:
                stuck = stuck or f"{name} has no longer {change.before[:12]}"
                continue
            refusal = room.refusal(name, keeps_serving=True, rolling_back=True)
            if refusal:
                out.waits = out.waits or f"{name}: {refusal}"
                continue
            room.take(name)
            out.commands.append(Command(name, "back", change.before, reason=change.why, down=room.nodes[name].down))
        if todo and stuck and clock - change.since > ways.ready_s:
            out.cause, out.why = C.STUCK, stuck
        elif not todo:
            if not away or clock - change.since > ways.ready_s:
                change.left = away
                out.cause, out.why = C.ALL_BACK, f"not heard of: {', '.join(away)}" if away else ""
            else:
                out.waits = out.waits or f"{away[0]} is not heard of"
        return out

    def _bring(self, clock: float) -> Decision:
        """The change is over: what comes back from where it was not heard of is brought to what holds."""
        change = self.change
        goal = change.goal if change.state is S.DONE else change.before
        wrong = change.before if change.state is S.DONE else change.goal
        out, room = Decision(), self.room(clock)
        for name in self.sites:
            status = self.fresh(name, clock)
            if status is None or status.course == "going back":
                continue
            if change.state is S.DONE and status.trial == goal:
                if status.proved:  # it had lost its state, and was told to try once more by a word that came late
                    out.commands.append(Command(name, "confirm", goal))
                continue
            if wrong not in (status.trial, status.present, status.running) and name not in self.doubtful:
                continue
            if goal not in status.generations:
                out.commands += self._fetches([name], goal, clock) if change.state is S.DONE else []
                continue
            if not room.refusal(name, keeps_serving=True, rolling_back=True):
                room.take(name)
                out.commands.append(
                    Command(name, "back", goal, reason="the change is over", down=room.nodes[name].down))
        return out

    # ------------------------------------------------------------ moving

    def move(self, cause: Cause, why: str, clock: float, judged: bool = False) -> State:
        """The state after a cause; ``KeyError`` where the table has none.  ``judged``: the judge is the cause."""
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
            change.passed = change.stage  # a person has looked, and says so
        change.judged = judged
        change.state, change.why, change.since = after, why, clock
        return after
