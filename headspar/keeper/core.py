"""The keeper's state machines: they compare the running generation with the wanted one and act on a difference.

No I/O, no clock.  Two transition tables describe the *phase* of the node's processes and the *course* of a change.
The wanted generation is the one on trial while a trial starts or is being proven, otherwise the present one.
``advance`` moves the node to the wanted generation in the least disruptive way that works: a settings reload by
SIGHUP, then a second process that takes over from the first, then, if the hand-over is impossible, a drain and a
restart.  Events enter with the current time in seconds; methods return actions, and the result of each action comes
back as an event.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Literal

import msgspec

from headspar.keeper.backoff import RestartBackoff
from headspar.keeper.slots import Clock, Slot


class Phase(Enum):
    """State of the node's processes."""

    ABSENT = "absent"
    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"
    BESIDE = "beside"  # one process serves while another starts beside it
    DRAINING = "draining"  # the process loses its clients before a restart


class Course(Enum):
    """State of the current change on this node."""

    SETTLED = "settled"
    TRYING = "trying"
    PROVING = "proving"
    ROLLING_BACK = "going back"
    HELD = "held"  # the wanted generation does not start: needs an operator; retried with the maximum backoff


class Cause(Enum):
    """Events that cause a transition of the phase or the course."""

    START = "start"
    READY = "ready"
    DIED = "died"
    RELOAD = "reload"
    SETTINGS_TAKEN = "settings taken"
    SETTINGS_REJECTED = "settings turned down"
    SECOND_STARTED = "second process"
    SECOND_FAILED = "second process failed"
    NO_HANDOVER = "no hand-over"
    DRAIN = "drain"
    ENDED = "ended"
    DRAIN_CANCELLED = "called off"
    TRIAL_ORDERED = "try"
    ROLL_BACK = "back"
    CONFIRM = "confirm"
    TRIAL_FAILED = "failed twice"
    CONTACT_LOST = "silence"
    ARRIVED = "there"
    STARTS_EXHAUSTED = "hopeless"


P, K, C = Phase, Course, Cause
PHASES: dict[tuple[Phase, Cause], Phase] = {
    (P.ABSENT, C.START): P.STARTING,
    (P.STARTING, C.READY): P.SERVING,
    (P.STARTING, C.DIED): P.ABSENT,
    (P.SERVING, C.DIED): P.ABSENT,
    (P.SERVING, C.RELOAD): P.RELOADING,
    (P.RELOADING, C.SETTINGS_TAKEN): P.SERVING,
    (P.RELOADING, C.SETTINGS_REJECTED): P.SERVING,
    (P.RELOADING, C.DIED): P.ABSENT,
    (P.SERVING, C.SECOND_STARTED): P.BESIDE,
    (P.BESIDE, C.READY): P.SERVING,
    (P.BESIDE, C.SECOND_FAILED): P.SERVING,
    (P.BESIDE, C.NO_HANDOVER): P.SERVING,
    (P.BESIDE, C.DIED): P.STARTING,  # the first process died; the second continues alone
    (P.SERVING, C.DRAIN): P.DRAINING,
    (P.DRAINING, C.DRAIN_CANCELLED): P.SERVING,
    (P.DRAINING, C.ENDED): P.ABSENT,
}
COURSES: dict[tuple[Course, Cause], Course] = {
    (K.SETTLED, C.TRIAL_ORDERED): K.TRYING,
    (K.HELD, C.TRIAL_ORDERED): K.TRYING,
    (K.TRYING, C.READY): K.PROVING,
    (K.TRYING, C.TRIAL_FAILED): K.ROLLING_BACK,
    (K.TRYING, C.SETTINGS_REJECTED): K.ROLLING_BACK,
    (K.TRYING, C.NO_HANDOVER): K.ROLLING_BACK,  # and the order allows no restart
    (K.TRYING, C.ROLL_BACK): K.ROLLING_BACK,
    (K.TRYING, C.CONTACT_LOST): K.ROLLING_BACK,
    (K.PROVING, C.TRIAL_FAILED): K.ROLLING_BACK,
    (K.PROVING, C.ROLL_BACK): K.ROLLING_BACK,
    (K.PROVING, C.CONTACT_LOST): K.ROLLING_BACK,
    (K.PROVING, C.CONFIRM): K.SETTLED,
    (K.SETTLED, C.ROLL_BACK): K.ROLLING_BACK,
    (K.HELD, C.ROLL_BACK): K.ROLLING_BACK,
    (K.ROLLING_BACK, C.ROLL_BACK): K.ROLLING_BACK,
    (K.ROLLING_BACK, C.ARRIVED): K.SETTLED,
    (K.ROLLING_BACK, C.STARTS_EXHAUSTED): K.HELD,
    (K.SETTLED, C.STARTS_EXHAUSTED): K.HELD,
    (K.HELD, C.ARRIVED): K.SETTLED,
}


class Order(msgspec.Struct, frozen=True):
    """A change's request for a trial.  Times in seconds.

    ``silence``: whether the trial continues (``hold``) or is rolled back (``back``, in this node's ``slot``) after
    ``silence_s`` without contact to a controller.
    """

    change: str
    generation: str
    proving_s: float
    restart: bool = True  # whether the node may be drained and restarted if the hand-over is impossible
    silence: Literal["hold", "back"] = "hold"
    silence_s: float = 30.0
    slot: Slot | None = None
    reload: bool = True  # whether a change of settings alone may use SIGHUP, which does not prove a start with them


class Timing(msgspec.Struct, frozen=True):
    """Time-outs in seconds, and limits on failed starts."""

    start: float = 20.0  # until a started process is ready
    drain: float = 5.0  # for clients to leave
    end: float = 8.0  # from SIGTERM to SIGKILL
    reload: float = 5.0
    retry: float = 1.0  # between two starts beside a serving process
    max_trial_failures: int = 2  # deaths or failed starts before a trial is abandoned
    max_failed_starts: int = 5  # consecutive failed starts of the wanted generation before an operator is needed


class Proc(msgspec.Struct):
    """A process.  Times in seconds: ``since`` its start, ``ready`` when it began to serve (-1: not yet),
    ``terminated_at`` when SIGTERM was sent (-1: not yet).  ``killed``: SIGKILL was sent."""

    key: int
    generation: str
    since: float
    ready: float = -1.0
    terminated_at: float = -1.0
    killed: bool = False


class Start(msgspec.Struct, frozen=True):
    """Start a process; ``beside``: it must take over from the serving one, or exit."""

    key: int
    generation: str
    beside: bool


class Term(msgspec.Struct, frozen=True):
    """Send SIGTERM."""

    key: int


class Kill(msgspec.Struct, frozen=True):
    """Send SIGKILL."""

    key: int


class Drain(msgspec.Struct, frozen=True):
    """Fail the process's health check, so that clients leave it."""

    key: int


class Undrain(msgspec.Struct, frozen=True):
    """Cancel a drain."""

    key: int


class Reload(msgspec.Struct, frozen=True):
    """Reload the process with the settings of this generation."""

    key: int
    generation: str


Action = Start | Term | Kill | Drain | Undrain | Reload


class Outcome(msgspec.Struct, frozen=True):
    """Result of the last trial: ``confirmed`` or ``back`` (rolled back), and the reason."""

    change: str
    generation: str
    result: Literal["confirmed", "back"]
    reason: str


class DurableState(msgspec.Struct):
    """State that survives the keeper; it is saved before the keeper acts on it.  ``present`` is the confirmed
    generation and ``before`` the previous one; empty if there is none."""

    present: str = ""
    before: str = ""
    order: Order | None = None
    course: Course = Course.SETTLED
    deaths: int = 0  # deaths and failed starts of the trial before it was proven
    outcome: Outcome | None = None


OnlySettings = Callable[[str, str], bool]
TransitionListener = Callable[[str, str, str, str], None]


class Core:
    """The keeper's decisions.  ``only_settings(a, b)``: whether two generations differ at most in their settings.
    ``on_transition(table, before, cause, after)`` is called for each transition."""

    def __init__(
        self, timing: Timing, backoff: RestartBackoff, only_settings: OnlySettings, on_transition: TransitionListener,
    ) -> None:
        self.timing, self.backoff, self.only_settings, self.on_transition = (
            timing, backoff, only_settings, on_transition)
        self.durable = DurableState()
        self.phase = Phase.ABSENT
        self.clock = Clock()
        self.procs: dict[int, Proc] = {}
        self.serving: int | None = None
        self.starting: int | None = None
        self.next_key = 1
        self.start_not_before = 0.0  # backoff: earliest start of an absent node or of a second process
        self.phase_since = 0.0
        self.last_contact_at = 0.0  # with a controller
        self.proving_until = -1.0
        self.failed_starts = 0  # consecutive, of the wanted generation
        self.restarts = 0
        self.no_handover = False  # the serving process can't hand over to the wanted generation
        self.drained = False
        self.pending_actions: list[Action] = []

    # ------------------------------------------------------------ reading

    @property
    def course(self) -> Course:
        return self.durable.course

    @property
    def trial(self) -> str:
        """The generation on trial; empty if there is none."""
        order = self.durable.order
        return order.generation if order is not None and self.course in (K.TRYING, K.PROVING) else ""

    @property
    def wanted(self) -> str:
        return self.trial or self.durable.present

    @property
    def running(self) -> str:
        """The generation that serves; empty if none does."""
        return self.procs[self.serving].generation if self.serving is not None else ""

    @property
    def state(self) -> str:
        """The state shown to operators: the phase, or the course while a trial is proven, rolled back or held."""
        return self.phase.value if self.course in (K.SETTLED, K.TRYING) else self.course.value

    def proved(self, now: float) -> bool:
        """Whether the trial has served without interruption for its proving time."""
        return self.course is K.PROVING and self.phase is P.SERVING and 0 <= self.proving_until <= now

    # ------------------------------------------------------------ transitions

    def _phase(self, cause: Cause, now: float) -> None:
        after = PHASES[self.phase, cause]
        self.on_transition("phase", self.phase.value, cause.value, after.value)
        self.phase, self.phase_since = after, now

    def _course(self, cause: Cause) -> None:
        after = COURSES[self.course, cause]
        self.on_transition("course", self.course.value, cause.value, after.value)
        self.durable.course = after

    def _take_actions(self) -> list[Action]:
        actions, self.pending_actions = self.pending_actions, []
        return actions

    # ------------------------------------------------------------ start of a keeper

    def resume(self, durable: DurableState, procs: list[Proc], serving: int | None, starting: int | None,
               now: float) -> None:
        """Continue from the durable state and the processes found running.  Processes that are neither serving nor
        starting are terminated.  A serving generation that the state does not name is put on trial; without any state
        it becomes the present one."""
        self.durable = durable
        self.procs = {p.key: p for p in procs}
        self.next_key = max(self.procs, default=0) + 1
        self.serving, self.starting = serving, starting
        self.last_contact_at = self.phase_since = now
        if not durable.present and procs:  # no durable state: adopt the running or starting generation
            adopted = serving if serving is not None else starting if starting is not None else procs[-1].key
            durable.present = self.procs[adopted].generation
        if serving is not None:
            self.phase = P.BESIDE if starting is not None else P.SERVING
            running = self.running
            if running not in (durable.present, durable.order.generation if durable.order else ""):
                durable.order = Order("", running, 0.0)
                durable.course = K.PROVING
            if self.course is K.PROVING and running == self.trial:
                self.proving_until = now + (durable.order.proving_s if durable.order else 0.0)
        elif starting is not None:
            self.phase = P.STARTING
        else:
            self.phase = P.ABSENT
            self.start_not_before = now + self.backoff.initial_delay()
        for p in procs:
            if p.key not in (serving, starting):
                p.terminated_at = now
                self.pending_actions.append(Term(p.key))

    # ------------------------------------------------------------ commands

    def refusal(self, order: Order) -> str:
        """Why a trial can't start now; empty if it can.  A trial in progress may be replaced: the controllers' record
        decides whether two changes may run at once, and the epoch decides who leads."""
        if self.course is K.ROLLING_BACK:
            return "going back"
        if not self.durable.present:
            return "no generation to roll back to"
        return ""

    def begin_trial(self, order: Order, now: float) -> None:
        """Accept a trial that was not refused.  As with all commands, ``advance`` then acts on it."""
        if self.trial == order.generation:
            self.durable.order = order
            return
        if self.trial:  # replaces another generation on trial
            self._course(C.ROLL_BACK)
            self._course(C.ARRIVED)
        self.durable.order, self.durable.deaths = order, 0
        self.durable.outcome = None
        self._target_changed(now)
        self._course(C.TRIAL_ORDERED)

    def confirm(self) -> bool:
        """Make the generation on trial the present one; returns False unless it serves."""
        order = self.durable.order
        if self.course is not K.PROVING or order is None or self.running != order.generation:
            return False
        if order.generation != self.durable.present:
            self.durable.before, self.durable.present = self.durable.present, order.generation
        self.durable.outcome = Outcome(order.change, order.generation, "confirmed", "")
        self._course(C.CONFIRM)
        self.durable.order = None
        return True

    def roll_back(self, generation: str, reason: str, now: float) -> None:
        """Make ``generation`` the present one and move to it, whatever runs."""
        if generation != self.durable.present:
            self.durable.before, self.durable.present = self.durable.present, generation
        if self.trial:
            self._abandon_trial(C.ROLL_BACK, reason, now)
        else:
            self._course(C.ROLL_BACK)
            self._target_changed(now)

    def pin(self) -> None:
        """Let the trial continue without contact to a controller: the change is about to be confirmed."""
        order = self.durable.order
        if order is not None:
            self.durable.order = msgspec.structs.replace(order, silence="hold")

    def restore(self, durable: DurableState, now: float) -> None:
        """Undo a command that could not be saved.  A trial's proving time starts again."""
        self.durable = durable
        self._target_changed(now)
        if self.course is K.PROVING and durable.order is not None:
            self.proving_until = now + durable.order.proving_s

    def record_contact(self, clock: float, now: float) -> None:
        """Record contact with a controller; ``clock``: the time on the clock of the change."""
        self.last_contact_at = now
        self.clock.update(clock, now)

    def _target_changed(self, now: float) -> None:
        self.failed_starts, self.no_handover, self.proving_until = 0, False, -1.0
        self.start_not_before = min(self.start_not_before, now)

    # ------------------------------------------------------------ events of processes

    def ready(self, key: int, now: float) -> list[Action]:
        """A started process passed its health check."""
        p = self.procs.get(key)
        if p is None or key != self.starting or p.killed:
            return []
        p.ready = now
        previous, self.serving, self.starting = self.serving, key, None
        self._phase(C.READY, now)
        if previous is not None:
            self._terminate(previous, now)
        self.failed_starts = 0
        self.no_handover = False
        if p.generation == self.trial:
            if self.course is K.TRYING:
                self._course(C.READY)
            order = self.durable.order
            self.proving_until = now + (order.proving_s if order is not None else 0.0)
        return self.advance(now)

    def ended(self, key: int, no_handover: bool, now: float) -> list[Action]:
        """A process has exited; ``no_handover``: its exit status says that it could not take over."""
        p = self.procs.pop(key, None)
        if p is None:
            return []
        if key == self.starting:
            self.starting = None
            if self.serving is None:
                self._phase(C.DIED, now)
                self._start_failed(p, now)
            elif no_handover:
                self._phase(C.NO_HANDOVER, now)
                self._handover_failed(now)
            else:
                self._phase(C.SECOND_FAILED, now)
                self.start_not_before = now + self.timing.retry
                self._start_failed(p, now)
        elif key == self.serving:
            self.serving = None
            self._serving_exited(p, now)
        return self.advance(now)

    def _serving_exited(self, p: Proc, now: float) -> None:
        if self.phase is P.DRAINING:
            self._phase(C.ENDED, now)
            self.start_not_before = now
            return
        self.restarts += 1
        served_s = now - p.ready if p.ready >= 0 else 0.0
        delay = self.backoff.restart_delay(served_s)
        if p.generation == self.trial and not 0 <= self.proving_until <= now:
            self._trial_failed(now)
        self._phase(C.DIED, now)
        if self.phase is P.ABSENT:
            self.start_not_before = now + delay

    def _trial_failed(self, now: float) -> None:
        self.durable.deaths += 1
        if self.durable.deaths >= self.timing.max_trial_failures:
            self._abandon_trial(C.TRIAL_FAILED, f"died or failed to start {self.durable.deaths} times", now)

    def _abandon_trial(self, cause: Cause, reason: str, now: float) -> None:
        """End the trial and return to the present generation."""
        order = self.durable.order
        assert order is not None
        self.durable.outcome = Outcome(order.change, order.generation, "back", reason)
        self._course(cause)
        self.durable.order = None
        self._target_changed(now)

    def _start_failed(self, p: Proc, now: float) -> None:
        """A process exited before it was ready."""
        self.failed_starts += 1
        if self.phase is P.ABSENT:
            self.start_not_before = (now if p.killed and p.generation != self.wanted
                                     else now + self.backoff.restart_delay(0.0))
        if p.generation == self.trial:
            self._trial_failed(now)
        elif self.failed_starts >= self.timing.max_failed_starts and self.course in (K.ROLLING_BACK, K.SETTLED):
            self._course(C.STARTS_EXHAUSTED)

    def _handover_failed(self, now: float) -> None:
        order = self.durable.order
        if self.trial and order is not None and not order.restart:
            self._abandon_trial(C.NO_HANDOVER, "no hand-over, and the order allows no restart", now)
        else:
            self.no_handover = True

    def reloaded(self, key: int, taken: bool, reason: str, now: float) -> list[Action]:
        """A reload ended; ``taken``: whether the process applied the new settings."""
        if key != self.serving or self.phase is not P.RELOADING:
            return []
        p = self.procs[key]
        wanted = self.wanted
        if taken:
            self._phase(C.SETTINGS_TAKEN, now)
            p.generation = wanted
            if wanted == self.trial:
                if self.course is K.TRYING:
                    self._course(C.READY)
                order = self.durable.order
                self.proving_until = now + (order.proving_s if order is not None else 0.0)
            return self.advance(now)
        self._phase(C.SETTINGS_REJECTED, now)
        if wanted == self.trial and self.course is K.TRYING:
            self._abandon_trial(C.SETTINGS_REJECTED, f"settings turned down: {reason}", now)
        else:
            self.no_handover = True  # a rollback must not depend on a process that rejects settings
        return self.advance(now)

    def drain_finished(self, key: int, now: float) -> list[Action]:
        """A drain ended: the process has no requests left, or does not answer."""
        if key == self.serving and self.phase is P.DRAINING:
            self.drained = True
        return self.advance(now)

    def health_check_failed(self, key: int, now: float) -> None:
        """The serving process did not answer a poll: the proving time of a trial starts again."""
        order = self.durable.order
        if key == self.serving and self.course is K.PROVING and order is not None:
            self.proving_until = now + order.proving_s

    def unresponsive(self, key: int, now: float) -> list[Action]:
        """The serving process has stopped answering: it is killed if it is a trial that is not proven yet."""
        p = self.procs.get(key)
        if p is not None and key == self.serving and self.course is K.PROVING and not self.proved(now):
            self._kill(p)
        return self.advance(now)

    # ------------------------------------------------------------ moving to the wanted generation

    def _terminate(self, key: int, now: float) -> None:
        p = self.procs[key]
        if p.terminated_at < 0:
            p.terminated_at = now
            self.pending_actions.append(Term(key))

    def _kill(self, p: Proc) -> None:
        if not p.killed:
            p.killed = True
            self.pending_actions.append(Kill(p.key))

    def _start(self, beside: bool, now: float) -> None:
        key, self.next_key = self.next_key, self.next_key + 1
        self.procs[key] = Proc(key, self.wanted, now)
        self.starting = key
        self._phase(C.SECOND_STARTED if beside else C.START, now)
        self.pending_actions.append(Start(key, self.wanted, beside))

    def advance(self, now: float) -> list[Action]:
        """Actions due now.  Called after each event and periodically."""
        t = self.timing
        self._check_contact(now)
        for p in self.procs.values():
            if 0 <= p.terminated_at <= now - t.end:
                self._kill(p)
        if self.starting is not None and (starting := self.procs[self.starting]):
            if now - starting.since > t.start or starting.generation != self.wanted:
                self._kill(starting)
        if self.serving is not None and (serving := self.procs[self.serving]).ready >= 0:
            self.backoff.note_uptime(now - serving.ready)
        if self.phase is P.ABSENT:
            if now >= self.start_not_before and self.wanted and not self._has_leftover():
                self._start(False, now)
        elif self.phase is P.DRAINING and self.serving is not None:
            p = self.procs[self.serving]
            if p.generation == self.wanted and p.terminated_at < 0:
                self._phase(C.DRAIN_CANCELLED, now)
                self.pending_actions.append(Undrain(p.key))
                self._converge(p.key, now)
            elif self.drained or now - self.phase_since > t.drain:
                self._terminate(p.key, now)
        elif self.phase is P.SERVING and self.serving is not None:
            self._converge(self.serving, now)
        return self._take_actions()

    def _converge(self, key: int, now: float) -> None:
        """Start to replace the serving process if its generation is not the wanted one."""
        running = self.procs[key].generation
        if running == self.wanted:
            if self.course in (K.ROLLING_BACK, K.HELD):
                self._course(C.ARRIVED)
            elif self.course is K.TRYING:  # the generation was already running
                self._course(C.READY)
                order = self.durable.order
                self.proving_until = now + (order.proving_s if order is not None else 0.0)
            return
        if (now < self.start_not_before or self._has_leftover()
                or self.procs[key].terminated_at >= 0 or self.procs[key].killed):
            return
        if self.no_handover:
            self.drained = False
            self._phase(C.DRAIN, now)
            self.pending_actions.append(Drain(key))
        elif self._may_reload() and self.only_settings(running, self.wanted):
            self._phase(C.RELOAD, now)
            self.pending_actions.append(Reload(key, self.wanted))
        else:
            self._start(True, now)

    def _may_reload(self) -> bool:
        order = self.durable.order
        return order is None or not self.trial or order.reload

    def _has_leftover(self) -> bool:
        """Whether a process that is neither serving nor starting still runs: it occupies an operators' address."""
        return any(key not in (self.serving, self.starting) for key in self.procs)

    def _check_contact(self, now: float) -> None:
        """Roll a trial back if no controller is reachable and the order asks for it; waits for the node's slot, if it
        has one."""
        order = self.durable.order
        if (not self.trial or order is None or order.silence != "back"
                or now - self.last_contact_at < order.silence_s):
            return
        clock = self.clock.read(now)
        if order.slot is None or clock is None or order.slot.open(clock):
            self._abandon_trial(
                C.CONTACT_LOST, f"no contact with a controller for {now - self.last_contact_at:.0f} s", now)
