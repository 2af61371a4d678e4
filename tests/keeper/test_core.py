"""The keeper's state machines: single courses of a trial, and random sequences of events."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from headspar.keeper.backoff import BackoffSettings, RestartBackoff
from headspar.keeper.core import (
    COURSES,
    PHASES,
    Core,
    Course,
    Drain,
    DurableState,
    Kill,
    Order,
    Phase,
    Proc,
    Reload,
    Start,
    Term,
    Timing,
    Undrain,
)
from headspar.keeper.slots import Slot

OLD, NEW, LIKE = "old", "new", "like-old"  # LIKE differs from OLD in settings alone


class Harness:
    """A core with simulated processes, which change state only when a test says so."""

    def __init__(self, present: str = OLD, seed: int = 1) -> None:
        self.now = 100.0
        self.transitions: list[tuple[str, str, str, str]] = []
        backoff = RestartBackoff(BackoffSettings(), random.Random(seed))
        self.core = Core(Timing(), backoff, lambda a, b: {a, b} <= {OLD, LIKE}, self.on_transition)
        self.live: dict[int, str] = {}
        self.begun: list[Start] = []
        self.log: list[object] = []
        self.answers = True
        self.core.resume(DurableState(present=present), [], None, None, self.now)

    def on_transition(self, table: str, before: str, cause: str, after: str) -> None:
        self.transitions.append((table, before, cause, after))

    def do(self, actions: list[object]) -> None:
        for action in actions:
            self.log.append(action)
            if isinstance(action, Start):
                self.live[action.key] = action.generation
                self.begun.append(action)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            self.do(list(self.core.advance(self.now)))

    def ready(self, key: int | None = None) -> None:
        key = key if key is not None else self.core.starting
        assert key is not None
        self.do(list(self.core.ready(key, self.now)))

    def end(self, key: int, no_handover: bool = False) -> None:
        del self.live[key]
        self.do(list(self.core.ended(key, no_handover, self.now)))

    def serve(self) -> Harness:
        self.run(1)
        self.ready()
        return self

    def order(self, generation: str = NEW, **more: object) -> None:
        order = Order("c", generation, 10.0, **more)  # type: ignore[arg-type]
        assert self.core.refusal(order) == ""
        self.core.begin_trial(order, self.now)
        self.do(list(self.core.advance(self.now)))

    def roll_back(self, generation: str = OLD) -> None:
        self.core.roll_back(generation, "told", self.now)
        self.do(list(self.core.advance(self.now)))

    def last(self, kind: type) -> object:
        return next(a for a in reversed(self.log) if isinstance(a, kind))

    def old_ends(self) -> None:
        for key in [k for k in self.live if k not in (self.core.serving, self.core.starting)]:
            self.end(key)


def test_a_trial_beside_the_old_one_proven_and_confirmed() -> None:
    m = Harness().serve()
    m.order()
    start = m.begun[-1]
    assert start.beside and start.generation == NEW and m.core.running == OLD
    m.ready()
    assert m.last(Term) == Term(1) and m.core.running == NEW and m.core.state == "proving"
    m.old_ends()
    assert not m.core.proved(m.now)
    m.run(10.1)
    assert m.core.proved(m.now) and m.core.durable.present == OLD
    assert m.core.confirm()
    assert (m.core.durable.present, m.core.durable.before, m.core.state) == (NEW, OLD, "serving")
    assert m.core.durable.outcome is not None and m.core.durable.outcome.result == "confirmed"


def test_time_in_which_it_does_not_answer_proves_nothing() -> None:
    m = Harness().serve()
    m.order()
    m.ready()
    m.run(9.0)
    assert m.core.serving is not None
    m.core.health_check_failed(m.core.serving, m.now)
    m.run(9.0)
    assert not m.core.proved(m.now)
    m.do(list(m.core.unresponsive(m.core.serving, m.now)))
    assert isinstance(m.log[-1], Kill)


def test_a_trial_that_does_not_start_leaves_the_old_one_where_it_is() -> None:
    m = Harness().serve()
    m.order()
    for _ in range(2):
        assert m.core.starting is not None
        m.end(m.core.starting)
        m.run(1.5)
    assert m.core.running == OLD and m.core.state == "serving" and m.core.course is Course.SETTLED
    assert m.core.durable.outcome is not None and "failed to start 2 times" in m.core.durable.outcome.reason
    assert not any(isinstance(a, Term | Kill) for a in m.log) and m.core.restarts == 0


def test_one_that_never_says_yes_is_killed_and_counts_as_failed() -> None:
    m = Harness().serve()
    m.order()
    m.run(Timing().start + 0.2)
    assert m.last(Kill) == Kill(2)
    m.end(2)
    assert m.core.durable.deaths == 1 and m.core.running == OLD


def test_a_trial_that_dies_twice_goes_back_untold_and_after_proving_it_does_not() -> None:
    m = Harness().serve()
    m.order()
    m.ready()
    m.old_ends()
    m.run(3)
    m.end(2)  # the first death: the trial is restarted
    m.run(1)
    assert m.begun[-1].generation == NEW and not m.begun[-1].beside
    m.ready()
    m.run(3)
    m.end(3)
    assert m.core.state == "going back"
    m.run(1)
    assert m.begun[-1].generation == OLD
    m.ready()
    assert m.core.running == OLD and m.core.state == "serving" and m.core.restarts == 2

    m = Harness().serve()
    m.order()
    m.ready()
    m.old_ends()
    m.run(200)
    for _ in range(2):  # the trial is proven again before each death
        assert m.core.serving is not None
        m.end(m.core.serving)
        m.run(1)
        assert m.begun[-1].generation == NEW and m.core.course is Course.PROVING
        m.ready()
        m.run(20)


def test_without_a_hand_over_it_is_drained_and_started_or_left_where_that_is_not_allowed() -> None:
    m = Harness().serve()
    m.order()
    m.end(2, no_handover=True)
    assert m.last(Drain) == Drain(1) and m.core.phase is Phase.DRAINING
    m.do(list(m.core.drain_finished(1, m.now)))
    assert m.last(Term) == Term(1)
    m.end(1)
    assert m.begun[-1] == Start(3, NEW, False)
    m.ready()
    assert m.core.state == "proving" and m.core.restarts == 0

    m = Harness().serve()
    m.order(restart=False)
    m.end(2, no_handover=True)
    assert m.core.running == OLD and m.core.course is Course.SETTLED
    assert m.core.durable.outcome is not None and "no hand-over" in m.core.durable.outcome.reason


def test_a_drain_is_called_off_when_the_change_is() -> None:
    m = Harness().serve()
    m.order()
    m.end(2, no_handover=True)
    m.roll_back()
    assert m.last(Undrain) == Undrain(1) and m.core.state == "serving" and m.core.course is Course.SETTLED


def test_going_back_from_one_that_hangs_ends_it_by_force() -> None:
    m = Harness().serve()
    m.order()
    m.ready()
    m.old_ends()
    m.roll_back()
    assert m.begun[-1] == Start(3, OLD, True)
    m.end(3, no_handover=True)  # the hanging process can't hand over
    m.run(Timing().drain + 0.2)  # and its drain does not end
    assert m.last(Term) == Term(2)
    m.run(Timing().end + 0.2)
    assert m.last(Kill) == Kill(2)
    m.end(2)
    assert m.begun[-1] == Start(4, OLD, False)
    m.ready()
    assert m.core.course is Course.SETTLED and m.core.running == OLD


def test_settings_alone_go_by_signal_and_settings_turned_down_go_back() -> None:
    m = Harness().serve()
    m.order(LIKE)
    assert m.last(Reload) == Reload(1, LIKE) and len(m.begun) == 1
    m.do(list(m.core.reloaded(1, True, "", m.now)))
    assert m.core.running == LIKE and m.core.state == "proving"
    m.roll_back()
    m.do(list(m.core.reloaded(1, True, "", m.now)))
    assert m.core.running == OLD and m.core.state == "serving"
    m.order(LIKE)
    m.do(list(m.core.reloaded(1, False, "limits", m.now)))
    assert m.core.running == OLD and m.core.course is Course.SETTLED
    assert m.core.durable.outcome is not None and "limits" in m.core.durable.outcome.reason


def test_where_a_start_is_to_be_proven_settings_alone_go_by_a_second_process_too() -> None:
    m = Harness().serve()
    m.order(LIKE, reload=False)
    assert m.begun[-1] == Start(2, LIKE, True) and not any(isinstance(a, Reload) for a in m.log)


def test_silence_goes_back_in_its_own_slot_only() -> None:
    m = Harness().serve()
    m.core.record_contact(0.0, m.now)
    m.order(silence="back", silence_s=5.0, slot=Slot(2, 4, 30.0))
    m.ready()
    m.old_ends()
    m.core.record_contact(0.0, m.now)
    m.run(59)
    assert m.core.state == "proving"
    m.run(10)
    assert m.core.state == "going back" and 60 <= m.now - 101 < 71
    pinned = Harness().serve()
    pinned.order(silence="hold", silence_s=5.0)
    pinned.ready()
    pinned.run(200)
    assert pinned.core.course is Course.PROVING


def test_a_hold_before_the_confirming_outlasts_any_silence() -> None:
    m = Harness().serve()
    m.order(silence="back", silence_s=5.0)
    m.ready()
    m.core.pin()
    m.run(100)
    assert m.core.course is Course.PROVING


def test_what_can_not_be_started_is_held_and_tried_on() -> None:
    m = Harness()
    for _ in range(Timing().max_failed_starts):
        while m.core.starting is None:
            m.run(1)
        m.end(m.core.starting)
    assert m.core.state == "held"
    while m.core.starting is None:
        m.run(1)
    m.ready()
    assert m.core.state == "serving" and m.core.course is Course.SETTLED


def test_a_process_of_a_generation_that_the_state_does_not_know_is_on_trial() -> None:
    m = Harness()
    m.core.resume(DurableState(present=OLD), [Proc(7, NEW, 0.0, 0.0)], 7, None, m.now)
    assert m.core.state == "proving" and m.core.trial == NEW and m.core.durable.present == OLD
    m.core.resume(DurableState(), [Proc(7, NEW, 0.0, 0.0)], 7, None, m.now)
    assert m.core.state == "serving" and m.core.durable.present == NEW
    m.core.resume(DurableState(), [Proc(7, NEW, m.now)], None, 7, m.now)  # still starting
    m.ready(7)
    assert m.core.state == "serving" and m.core.durable.present == NEW and not any(isinstance(a, Kill) for a in m.log)


def test_nodes_that_die_together_do_not_start_in_step() -> None:
    starts = []
    for seed in range(200):
        m = Harness(seed=seed).serve()
        m.end(1)
        starts.append(m.core.start_not_before - m.now)
    counts = Counter(int(s / 0.05) for s in starts)
    assert max(starts) <= 0.5 and len(counts) >= 9 and max(counts.values()) <= 45


class Orders(RuleBasedStateMachine):
    """Random sequences of a keeper's events: each transition is in the tables (others raise ``KeyError``), at most
    one process starts beside the serving one, and without disturbances the node reaches the wanted generation."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.m = Harness(seed=seed)
        self.good = {OLD: True, NEW: True, LIKE: True}
        self.step = 0

    def keys(self) -> list[int]:
        return sorted(self.m.live)

    @rule(seconds=st.sampled_from([0.06, 0.6, 3.0, 25.0]))
    def wait(self, seconds: float) -> None:
        self.m.run(seconds)

    @precondition(lambda self: self.m.core.starting is not None)
    @rule()
    def says_yes(self) -> None:
        self.m.ready()

    @precondition(lambda self: self.m.live)
    @rule(data=st.data(), no_handover=st.booleans())
    def dies(self, data: st.DataObject, no_handover: bool) -> None:
        self.m.end(data.draw(st.sampled_from(self.keys())), no_handover)

    @rule(generation=st.sampled_from([OLD, NEW, LIKE]), change=st.sampled_from(["c", "d"]),
          restart=st.booleans(), silence=st.sampled_from(["hold", "back"]))
    def is_told_to_try(self, generation: str, change: str, restart: bool, silence: str) -> None:
        order = Order(change, generation, 2.0, restart, silence, 5.0)  # type: ignore[arg-type]
        if not self.m.core.refusal(order):
            self.m.core.begin_trial(order, self.m.now)
            self.m.do(list(self.m.core.advance(self.m.now)))

    @rule(generation=st.sampled_from([OLD, NEW, LIKE]))
    def is_told_back(self, generation: str) -> None:
        self.m.roll_back(generation)

    @rule()
    def is_told_to_confirm(self) -> None:
        trial = self.m.core.trial
        if self.m.core.confirm():
            assert self.m.core.running == trial == self.m.core.durable.present

    @rule(taken=st.booleans())
    def settings_come_back(self, taken: bool) -> None:
        if self.m.core.phase is Phase.RELOADING and self.m.core.serving is not None:
            self.m.do(list(self.m.core.reloaded(self.m.core.serving, taken, "x", self.m.now)))

    @rule(key=st.integers(1, 9))
    def drained(self, key: int) -> None:
        self.m.do(list(self.m.core.drain_finished(key, self.m.now)))

    @rule(key=st.integers(1, 9))
    def falls_silent(self, key: int) -> None:
        self.m.do(list(self.m.core.unresponsive(key, self.m.now)))

    @rule(keep=st.booleans())
    def keeper_is_killed(self, keep: bool) -> None:
        """A new keeper replaces it, with or without the durable state."""
        core = self.m.core
        durable, procs = core.durable if keep else DurableState(), list(core.procs.values())
        fresh = Harness.__new__(Harness)
        fresh.__dict__.update(self.m.__dict__)
        fresh.core = Core(core.timing, core.backoff, core.only_settings, self.m.on_transition)
        serving = core.serving if core.serving is not None and core.procs[core.serving].ready >= 0 else None
        if not keep and not procs:
            durable = DurableState(present=OLD)
        fresh.core.resume(durable, procs, serving, core.starting, self.m.now)
        self.m = fresh
        self.m.do(list(self.m.core.advance(self.m.now)))

    @invariant()
    def holds(self) -> None:
        core = self.m.core
        assert set(core.procs) == set(self.m.live)
        assert len(self.m.live) <= 3  # one serves, one starts, one ends
        serving = core.serving
        if core.phase in (Phase.SERVING, Phase.RELOADING, Phase.BESIDE, Phase.DRAINING):
            assert serving in core.procs and core.procs[serving].ready >= 0
        else:
            assert serving is None
        assert (core.starting is not None) == (core.phase in (Phase.STARTING, Phase.BESIDE))

    @precondition(lambda self: True)
    @rule()
    def quiet_times_bring_what_is_wanted(self) -> None:
        m = self.m
        for _ in range(400):
            m.run(0.5)
            core = m.core
            if core.starting is not None and not core.procs[core.starting].killed:
                m.ready()
            for key in [k for k, p in core.procs.items() if p.killed or p.terminated_at >= 0]:
                m.end(key)
            if core.phase is Phase.RELOADING and core.serving is not None:
                m.do(list(core.reloaded(core.serving, True, "", m.now)))
            if core.phase is Phase.DRAINING and core.serving is not None:
                m.do(list(core.drain_finished(core.serving, m.now)))
            if core.running == core.wanted and core.course in (Course.SETTLED, Course.PROVING):
                return
        raise AssertionError((core.phase, core.course, core.running, core.wanted, m.transitions[-10:]))


Orders.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
TestOrders = Orders.TestCase


@pytest.mark.parametrize("table", [PHASES, COURSES], ids=["phases", "courses"])
def test_every_state_can_be_reached_and_left(table: dict[tuple[object, object], object]) -> None:
    states_left, states_entered = {before for before, _ in table}, set(table.values())
    kind = type(next(iter(states_entered)))
    assert states_left == states_entered == set(kind)  # type: ignore[call-overload]
