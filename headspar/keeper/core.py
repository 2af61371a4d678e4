"""What runs on a machine, what ought to run, and what is done about it; without I/O or clock.

Two tables: the *phase* of the node's processes, and the *course* that the keeper is on.  The generation wanted is
the trial's while one is tried or proven, else the present one; ``advance`` brings what runs to what is wanted by the
gentlest way there is: new settings by SIGHUP, a second process beside the first, and where the hand-over can't be
had a drain and a start.  Events come in with the time; actions go out, and each has an end that comes back in.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Literal

import msgspec

from headspar.keeper.pauses import Pauses
from headspar.keeper.slots import Clock, Slot


class Phase(Enum):
    """The node's processes."""

    ABSENT = "absent"
    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"
    BESIDE = "beside"  # one serves, another starts beside it
    DRAINING = "draining"  # one is sent away, to be started anew


class Course(Enum):
    """What the keeper is about."""

    SETTLED = "settled"
    TRYING = "trying"
    PROVING = "proving"
    BACK = "going back"
    HELD = "held"  # what is wanted does not start: a person is needed, and it is tried again at the ceiling


class Cause(Enum):
    """What moves either."""

    START = "start"
    READY = "ready"
    DIED = "died"
    RELOAD = "reload"
    TAKEN = "settings taken"
    TURNED_DOWN = "settings turned down"
    SECOND = "second process"
    SECOND_FAILED = "second process failed"
    NO_HANDOVER = "no hand-over"
    DRAIN = "drain"
    ENDED = "ended"
    CALLED_OFF = "called off"
    TRY = "try"
    BACK = "back"
    CONFIRM = "confirm"
    FAILED_TWICE = "failed twice"
    SILENCE = "silence"
    THERE = "there"
    HOPELESS = "hopeless"


P, K, C = Phase, Course, Cause
PHASES: dict[tuple[Phase, Cause], Phase] = {
    (P.ABSENT, C.START): P.STARTING,
    (P.STARTING, C.READY): P.SERVING,
    (P.STARTING, C.DIED): P.ABSENT,
    (P.SERVING, C.DIED): P.ABSENT,
    (P.SERVING, C.RELOAD): P.RELOADING,
    (P.RELOADING, C.TAKEN): P.SERVING,
    (P.RELOADING, C.TURNED_DOWN): P.SERVING,
    (P.RELOADING, C.DIED): P.ABSENT,
    (P.SERVING, C.SECOND): P.BESIDE,
    (P.BESIDE, C.READY): P.SERVING,
    (P.BESIDE, C.SECOND_FAILED): P.SERVING,
    (P.BESIDE, C.NO_HANDOVER): P.SERVING,
    (P.BESIDE, C.DIED): P.STARTING,  # the first has died: the second is on its own
    (P.SERVING, C.DRAIN): P.DRAINING,
    (P.DRAINING, C.CALLED_OFF): P.SERVING,
    (P.DRAINING, C.ENDED): P.ABSENT,
}
COURSES: dict[tuple[Course, Cause], Course] = {
    (K.SETTLED, C.TRY): K.TRYING,
    (K.HELD, C.TRY): K.TRYING,
    (K.TRYING, C.READY): K.PROVING,
    (K.TRYING, C.FAILED_TWICE): K.BACK,
    (K.TRYING, C.TURNED_DOWN): K.BACK,
    (K.TRYING, C.NO_HANDOVER): K.BACK,  # and none other was allowed
    (K.TRYING, C.BACK): K.BACK,
    (K.TRYING, C.SILENCE): K.BACK,
    (K.PROVING, C.FAILED_TWICE): K.BACK,
    (K.PROVING, C.BACK): K.BACK,
    (K.PROVING, C.SILENCE): K.BACK,
    (K.PROVING, C.CONFIRM): K.SETTLED,
    (K.SETTLED, C.BACK): K.BACK,
    (K.HELD, C.BACK): K.BACK,
    (K.BACK, C.BACK): K.BACK,
    (K.BACK, C.THERE): K.SETTLED,
    (K.BACK, C.HOPELESS): K.HELD,
    (K.SETTLED, C.HOPELESS): K.HELD,
    (K.HELD, C.THERE): K.SETTLED,
}


class Order(msgspec.Struct, frozen=True):
    """A trial as a change wants it.  Times in seconds."""

    change: str
    generation: str
    proving_s: float
    restart: bool = True  # whether it may be drained and started anew where the hand-over can't be had
    silence: Literal["hold", "back"] = "hold"
    silence_s: float = 30.0
    slot: Slot | None = None
    reload: bool = True  # whether settings alone may go by signal: that proves no start with them


class Timing(msgspec.Struct, frozen=True):
    """Seconds, and starts in vain before a person is called."""

    start: float = 20.0  # for a process to say yes
    drain: float = 5.0  # for clients to go
    end: float = 8.0  # from SIGTERM to SIGKILL
    reload: float = 5.0
    again: float = 1.0  # between two tries beside a process that serves
    tries: int = 2
    hopeless: int = 5


class Proc(msgspec.Struct):
    """A process: its generation, since when it runs, since when it serves (-1: not yet), and its SIGTERM (-1)."""

    key: int
    generation: str
    since: float
    ready: float = -1.0
    termed: float = -1.0
    killed: bool = False


class Start(msgspec.Struct, frozen=True):
    """Start a process; ``beside``: with the hand-over, or not at all."""

    key: int
    generation: str
    beside: bool


class Term(msgspec.Struct, frozen=True):
    key: int


class Kill(msgspec.Struct, frozen=True):
    key: int


class Drain(msgspec.Struct, frozen=True):
    key: int


class Undrain(msgspec.Struct, frozen=True):
    key: int


class Reload(msgspec.Struct, frozen=True):
    """Give it this generation's settings."""

    key: int
    generation: str


Action = Start | Term | Kill | Drain | Undrain | Reload


class Outcome(msgspec.Struct, frozen=True):
    """How the last trial ended: ``confirmed`` or ``back``, and why."""

    change: str
    generation: str
    result: Literal["confirmed", "back"]
    reason: str


class Lasting(msgspec.Struct):
    """What must survive the keeper: written before it is acted upon."""

    present: str = ""
    before: str = ""
    order: Order | None = None
    course: Course = Course.SETTLED
    deaths: int = 0  # of the trial, before it was proven
    outcome: Outcome | None = None


Same = Callable[[str, str], bool]
Say = Callable[[str, str, str, str], None]


class Core:
    """The keeper's decisions.  ``only_settings(a, b)``: whether two generations differ in settings alone, or not at
    all.  ``say(table, before, cause, after)`` hears of each transition."""

    def __init__(self, timing: Timing, pauses: Pauses, only_settings: Same, say: Say) -> None:
        self.timing, self.pauses, self.only_settings, self.say = timing, pauses, only_settings, say
        self.lasting = Lasting()
        self.phase = Phase.ABSENT
        self.clock = Clock()
        self.procs: dict[int, Proc] = {}
        self.serving: int | None = None
        self.coming: int | None = None
        self.next_key = 1
        self.start_at = 0.0  # when an absent node may be started, or a second process
        self.phase_at = 0.0
        self.heard_at = 0.0
        self.proving_until = -1.0
        self.vain = 0  # starts of what is wanted, one after the other, that came to nothing
        self.restarts = 0
        self.no_handover = False  # what serves can't hand over to what is wanted
        self.drained = False
        self.out: list[Action] = []

    # ------------------------------------------------------------ reading

    @property
    def course(self) -> Course:
        return self.lasting.course

    @property
    def trial(self) -> str:
        """The generation on trial; empty if there is none."""
        order = self.lasting.order
        return order.generation if order is not None and self.course in (K.TRYING, K.PROVING) else ""

    @property
    def wanted(self) -> str:
        return self.trial or self.lasting.present

    @property
    def running(self) -> str:
        """The generation that serves; empty if none does."""
        return self.procs[self.serving].generation if self.serving is not None else ""

    @property
    def state(self) -> str:
        """The state as people are shown it."""
        return self.phase.value if self.course in (K.SETTLED, K.TRYING) else self.course.value

    def proved(self, now: float) -> bool:
        """Whether the trial has served its proving time."""
        return self.course is K.PROVING and self.phase is P.SERVING and 0 <= self.proving_until <= now

    # ------------------------------------------------------------ transitions

    def _phase(self, cause: Cause, now: float) -> None:
        after = PHASES[self.phase, cause]
        self.say("phase", self.phase.value, cause.value, after.value)
        self.phase, self.phase_at = after, now

    def _course(self, cause: Cause) -> None:
        after = COURSES[self.course, cause]
        self.say("course", self.course.value, cause.value, after.value)
        self.lasting.course = after

    def _act(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    # ------------------------------------------------------------ a keeper's start

    def resume(self, lasting: Lasting, procs: list[Proc], serving: int | None, coming: int | None,
               now: float) -> None:
        """Go on from what lasts and what was found to run.  All else that runs is to end.  A generation that serves
        and of which nothing is known is on trial from now on; with nothing known at all it is the present one."""
        self.lasting = lasting
        self.procs = {p.key: p for p in procs}
        self.next_key = max(self.procs, default=0) + 1
        self.serving, self.coming = serving, coming
        self.heard_at = self.phase_at = now
        if not lasting.present and procs:  # nothing lasts: what runs, or starts, is what there is
            known = serving if serving is not None else coming if coming is not None else procs[-1].key
            lasting.present = self.procs[known].generation
        if serving is not None:
            self.phase = P.BESIDE if coming is not None else P.SERVING
            running = self.running
            if running not in (lasting.present, lasting.order.generation if lasting.order else ""):
                lasting.order = Order("", running, 0.0)
                lasting.course = K.PROVING
            if self.course is K.PROVING and running == self.trial:
                self.proving_until = now + (lasting.order.proving_s if lasting.order else 0.0)
        elif coming is not None:
            self.phase = P.STARTING
        else:
            self.phase = P.ABSENT
            self.start_at = now + self.pauses.begin()
        for p in procs:
            if p.key not in (serving, coming):
                p.termed = now
                self.out.append(Term(p.key))

    # ------------------------------------------------------------ commands

    def refusal(self, order: Order) -> str:
        """Why a trial can't be taken now; empty if it can.  One that is under way may be replaced: whether two
        changes may go on at once is the record's to say, and who leads the epoch's."""
        if self.course is K.BACK:
            return "going back"
        if not self.lasting.present:
            return "nothing runs that could be gone back to"
        return ""

    def try_(self, order: Order, now: float) -> None:
        """Take a trial that was not refused; ``advance`` acts on it, as with all commands."""
        if self.trial == order.generation:
            self.lasting.order = order
            return
        if self.trial:  # another generation in place of the one on trial
            self._course(C.BACK)
            self._course(C.THERE)
        self.lasting.order, self.lasting.deaths = order, 0
        self.lasting.outcome = None
        self._new_goal(now)
        self._course(C.TRY)

    def confirm(self) -> bool:
        """The trial is the present generation from now on; False where there is none that serves."""
        order = self.lasting.order
        if self.course is not K.PROVING or order is None or self.running != order.generation:
            return False
        if order.generation != self.lasting.present:
            self.lasting.before, self.lasting.present = self.lasting.present, order.generation
        self.lasting.outcome = Outcome(order.change, order.generation, "confirmed", "")
        self._course(C.CONFIRM)
        self.lasting.order = None
        return True

    def back(self, generation: str, reason: str, now: float) -> None:
        """Go to a generation, whatever runs."""
        if generation != self.lasting.present:
            self.lasting.before, self.lasting.present = self.lasting.present, generation
        if self.trial:
            self._give_up(C.BACK, reason, now)
        else:
            self._course(C.BACK)
            self._new_goal(now)

    def hold(self) -> None:
        """The trial stays through any silence from now on: the change is about to be confirmed."""
        order = self.lasting.order
        if order is not None:
            self.lasting.order = msgspec.structs.replace(order, silence="hold")

    def restore(self, lasting: Lasting, now: float) -> None:
        """A command could not be written down: it was never taken.  A trial is to be proven anew."""
        self.lasting = lasting
        self._new_goal(now)
        if self.course is K.PROVING and lasting.order is not None:
            self.proving_until = now + lasting.order.proving_s

    def heard(self, clock: float, now: float) -> None:
        """A word of the controller."""
        self.heard_at = now
        self.clock.told(clock, now)

    def _new_goal(self, now: float) -> None:
        self.vain, self.no_handover, self.proving_until = 0, False, -1.0
        self.start_at = min(self.start_at, now)

    # ------------------------------------------------------------ what happens to processes

    def ready(self, key: int, now: float) -> list[Action]:
        """A process says yes."""
        p = self.procs.get(key)
        if p is None or key != self.coming or p.killed:
            return []
        p.ready = now
        first, self.serving, self.coming = self.serving, key, None
        self._phase(C.READY, now)
        if first is not None:
            self._end(first, now)
        self.vain = 0
        self.no_handover = False
        if p.generation == self.trial:
            if self.course is K.TRYING:
                self._course(C.READY)
            order = self.lasting.order
            self.proving_until = now + (order.proving_s if order is not None else 0.0)
        return self.advance(now)

    def ended(self, key: int, no_handover: bool, now: float) -> list[Action]:
        """A process is gone; ``no_handover``: it says that it could not start beside the one that serves."""
        p = self.procs.pop(key, None)
        if p is None:
            return []
        if key == self.coming:
            self.coming = None
            if self.serving is None:
                self._phase(C.DIED, now)
                self._vain(p, now)
            elif no_handover:
                self._phase(C.NO_HANDOVER, now)
                self._without_handover(now)
            else:
                self._phase(C.SECOND_FAILED, now)
                self.start_at = now + self.timing.again
                self._vain(p, now)
        elif key == self.serving:
            self.serving = None
            self._lost(p, now)
        return self.advance(now)

    def _lost(self, p: Proc, now: float) -> None:
        """The process that served is gone."""
        if self.phase is P.DRAINING:
            self._phase(C.ENDED, now)
            self.start_at = now
            return
        self.restarts += 1
        lived = now - p.ready if p.ready >= 0 else 0.0
        pause = self.pauses.died(lived)
        if p.generation == self.trial and not 0 <= self.proving_until <= now:
            self._trial_died(now)
        self._phase(C.DIED, now)
        if self.phase is P.ABSENT:
            self.start_at = now + pause

    def _trial_died(self, now: float) -> None:
        self.lasting.deaths += 1
        if self.lasting.deaths >= self.timing.tries:
            self._give_up(C.FAILED_TWICE, f"died or failed to start {self.lasting.deaths} times", now)

    def _give_up(self, cause: Cause, reason: str, now: float) -> None:
        """Leave the trial."""
        order = self.lasting.order
        assert order is not None
        self.lasting.outcome = Outcome(order.change, order.generation, "back", reason)
        self._course(cause)
        self.lasting.order = None
        self._new_goal(now)

    def _vain(self, p: Proc, now: float) -> None:
        """A start has come to nothing."""
        self.vain += 1
        if self.phase is P.ABSENT:
            self.start_at = now if p.killed and p.generation != self.wanted else now + self.pauses.died(0.0)
        if p.generation == self.trial:
            self._trial_died(now)
        elif self.vain >= self.timing.hopeless and self.course in (K.BACK, K.SETTLED):
            self._course(C.HOPELESS)

    def _without_handover(self, now: float) -> None:
        order = self.lasting.order
        if self.trial and order is not None and not order.restart:
            self._give_up(C.NO_HANDOVER, "no hand-over, and no restart allowed", now)
        else:
            self.no_handover = True

    def reloaded(self, key: int, taken: bool, reason: str, now: float) -> list[Action]:
        """A process has taken new settings, or not."""
        if key != self.serving or self.phase is not P.RELOADING:
            return []
        p = self.procs[key]
        wanted = self.wanted
        if taken:
            self._phase(C.TAKEN, now)
            p.generation = wanted
            if wanted == self.trial:
                if self.course is K.TRYING:
                    self._course(C.READY)
                order = self.lasting.order
                self.proving_until = now + (order.proving_s if order is not None else 0.0)
            return self.advance(now)
        self._phase(C.TURNED_DOWN, now)
        if wanted == self.trial and self.course is K.TRYING:
            self._give_up(C.TURNED_DOWN, f"settings turned down: {reason}", now)
        else:
            self.no_handover = True  # going back must not rest on a process that takes nothing
        return self.advance(now)

    def drained_(self, key: int, now: float) -> list[Action]:
        """Its clients have gone, or it can't be asked."""
        if key == self.serving and self.phase is P.DRAINING:
            self.drained = True
        return self.advance(now)

    def unwell(self, key: int, now: float) -> None:
        """What serves did not answer just now: time in which it does not is no proof of a trial."""
        order = self.lasting.order
        if key == self.serving and self.course is K.PROVING and order is not None:
            self.proving_until = now + order.proving_s

    def silent(self, key: int, now: float) -> list[Action]:
        """What serves answers nothing any more: a trial that is not proven yet is ended for it."""
        p = self.procs.get(key)
        if p is not None and key == self.serving and self.course is K.PROVING and not self.proved(now):
            self._kill(p)
        return self.advance(now)

    # ------------------------------------------------------------ the way to what is wanted

    def _end(self, key: int, now: float) -> None:
        p = self.procs[key]
        if p.termed < 0:
            p.termed = now
            self.out.append(Term(key))

    def _kill(self, p: Proc) -> None:
        if not p.killed:
            p.killed = True
            self.out.append(Kill(p.key))

    def _start(self, beside: bool, now: float) -> None:
        key, self.next_key = self.next_key, self.next_key + 1
        self.procs[key] = Proc(key, self.wanted, now)
        self.coming = key
        self._phase(C.SECOND if beside else C.START, now)
        self.out.append(Start(key, self.wanted, beside))

    def advance(self, now: float) -> list[Action]:
        """What is to be done by now; also called as time goes by."""
        t = self.timing
        self._silence(now)
        for p in self.procs.values():
            if 0 <= p.termed <= now - t.end:
                self._kill(p)
        if self.coming is not None and (coming := self.procs[self.coming]):
            if now - coming.since > t.start or coming.generation != self.wanted:
                self._kill(coming)
        if self.serving is not None and (serving := self.procs[self.serving]).ready >= 0:
            self.pauses.served(now - serving.ready)
        if self.phase is P.ABSENT:
            if now >= self.start_at and self.wanted and not self._ending():
                self._start(False, now)
        elif self.phase is P.DRAINING and self.serving is not None:
            p = self.procs[self.serving]
            if p.generation == self.wanted and p.termed < 0:
                self._phase(C.CALLED_OFF, now)
                self.out.append(Undrain(p.key))
                self._serve(p.key, now)
            elif self.drained or now - self.phase_at > t.drain:
                self._end(p.key, now)
        elif self.phase is P.SERVING and self.serving is not None:
            self._serve(self.serving, now)
        return self._act()

    def _serve(self, key: int, now: float) -> None:
        running = self.procs[key].generation
        if running == self.wanted:
            if self.course in (K.BACK, K.HELD):
                self._course(C.THERE)
            elif self.course is K.TRYING:  # it had been there all along
                self._course(C.READY)
                order = self.lasting.order
                self.proving_until = now + (order.proving_s if order is not None else 0.0)
            return
        if now < self.start_at or self._ending() or self.procs[key].termed >= 0 or self.procs[key].killed:
            return
        if self.no_handover:
            self.drained = False
            self._phase(C.DRAIN, now)
            self.out.append(Drain(key))
        elif self._may_reload() and self.only_settings(running, self.wanted):
            self._phase(C.RELOAD, now)
            self.out.append(Reload(key, self.wanted))
        else:
            self._start(True, now)

    def _may_reload(self) -> bool:
        order = self.lasting.order
        return order is None or not self.trial or order.reload

    def _ending(self) -> bool:
        """Whether a process that is neither serving nor coming still runs: it holds an operators' address."""
        return any(key not in (self.serving, self.coming) for key in self.procs)

    def _silence(self, now: float) -> None:
        """Nobody leads: what the change has said for that."""
        order = self.lasting.order
        if not self.trial or order is None or order.silence != "back" or now - self.heard_at < order.silence_s:
            return
        clock = self.clock.read(now)
        if order.slot is None or clock is None or order.slot.open(clock):
            self._give_up(C.SILENCE, f"no controller heard for {now - self.heard_at:.0f} s", now)
