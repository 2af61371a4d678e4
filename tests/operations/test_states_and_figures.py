"""Tests of the lifecycle, the ledger and the endpoints, without sockets."""

from __future__ import annotations

import json
import random

import pytest

from headspar.operations.calls import Calls
from headspar.operations.ledger import MAX_CLASSES, Ledger
from headspar.operations.lifecycle import Cause, Lifecycle, State


def at(*causes: Cause) -> Lifecycle:
    lifecycle = Lifecycle()
    for cause in causes:
        lifecycle.move(cause)
    return lifecycle


@pytest.mark.parametrize(("causes", "state", "ready", "closes"), [
    ((), State.STARTING, False, False),
    ((Cause.STARTED,), State.READY, True, False),
    ((Cause.STARTED, Cause.FAIL), State.DRAINING, False, True),
    ((Cause.STARTED, Cause.FAIL, Cause.FAIL), State.DRAINING, False, True),
    ((Cause.STARTED, Cause.FAIL, Cause.OK), State.READY, True, False),
    ((Cause.STARTED, Cause.OK, Cause.FAIL), State.DRAINING, False, True),
    ((Cause.STARTED, Cause.NEW_PROCESS_READY), State.HANDING_OVER, False, False),
    ((Cause.STARTED, Cause.FAIL, Cause.NEW_PROCESS_READY), State.HANDING_OVER, False, False),
    ((Cause.STARTED, Cause.NEW_PROCESS_READY, Cause.NEW_PROCESS_GONE), State.READY, True, False),
    ((Cause.STARTED, Cause.NEW_PROCESS_READY, Cause.TERM), State.LEAVING, False, False),
    ((Cause.STARTED, Cause.NEW_PROCESS_READY, Cause.TERM, Cause.NEW_PROCESS_GONE), State.ENDING, False, True),
    ((Cause.STARTED, Cause.TERM, Cause.NEW_PROCESS_READY), State.LEAVING, False, False),
    ((Cause.STARTED, Cause.FAIL, Cause.TERM, Cause.OK), State.ENDING, False, True),
    ((Cause.TERM,), State.ENDING, False, True),
])
def test_each_cause_leads_where_the_table_says(
    causes: tuple[Cause, ...], state: State, ready: bool, closes: bool
) -> None:
    lifecycle = at(*causes)
    assert (lifecycle.state, lifecycle.ready, lifecycle.closes_connections) == (state, ready, closes)


def test_nothing_leads_out_of_ending_and_every_state_has_a_way_there() -> None:
    for state in State:
        for cause in Cause:
            lifecycle = Lifecycle()
            lifecycle.state = state
            lifecycle.move(cause)
            if state in (State.ENDING, State.LEAVING) or cause is Cause.TERM:
                assert lifecycle.ending
            assert lifecycle.state is not State.STARTING or state is State.STARTING


def test_watchers_hear_of_changes_only() -> None:
    states: list[State] = []
    lifecycle = at(Cause.STARTED)
    lifecycle.watchers.append(states.append)
    for cause in (Cause.OK, Cause.FAIL, Cause.FAIL, Cause.NEW_PROCESS_GONE, Cause.OK):
        lifecycle.move(cause)
    assert states == [State.DRAINING, State.READY]


def test_taken_is_always_the_sum_of_what_became_of_it() -> None:
    rng = random.Random(4)
    ledger, in_progress = Ledger(["look", "pay"]), 0
    for _ in range(2000):
        if rng.random() < 0.55 or not in_progress:
            ledger.request_accepted()
            in_progress += 1
        else:
            in_progress -= 1
            if rng.random() < 0.1:
                ledger.client_disconnected()
            else:
                ledger.answered(rng.choice(["look", "pay", "strange"]), rng.choice([200, 429, 503, 502, 504]))
        ends = [*ledger.classes.values(), ledger.others]
        counted = sum(c.success + c.overload + c.error for c in ends)
        assert ledger.concurrent == in_progress
        assert ledger.taken == counted + ledger.abandoned + ledger.concurrent
    assert min(ledger.others.success, ledger.others.overload, ledger.others.error) > 0


def test_the_ledger_keeps_a_bound_on_names_and_what_vanished_classes_counted() -> None:
    ledger = Ledger(["old"])
    ledger.request_accepted()
    ledger.answered("old", 200)
    ledger.add_classes(["new"])
    ledger.add_classes(f"c{i}" for i in range(5000))
    assert ledger.figures(0, 0)["replies"]["old"]["success"] == 1
    assert "new" in ledger.classes and len(ledger.classes) == MAX_CLASSES


@pytest.mark.parametrize(("method", "path", "status"), [
    ("GET", "/healthcheck", 200), ("GET", "/healthcheck?x=1", 200), ("GET", "/stats", 200),
    ("POST", "/healthcheck/fail", 200), ("POST", "/healthcheck/ok", 200),
    ("POST", "/healthcheck", 405), ("GET", "/healthcheck/fail", 405), ("GET", "/healthcheck/ok", 405),
    ("GET", "/", 404), ("GET", "/healthcheck/", 404), ("POST", "/backends/s-1/maint", 404),
])
def test_what_a_call_is_answered(method: str, path: str, status: int) -> None:
    lifecycle = at(Cause.STARTED)
    calls = Calls(lifecycle, lambda: Ledger(["look"]).figures(9, 1))
    reply = calls.answer(method, path)
    assert reply.status == status
    head, _, body = reply.encode().partition(b"\r\n\r\n")
    assert b"Connection: close" in head and b"Content-Length: %d" % len(body) in head
    assert (b"Allow: " in head) == (status == 405)
    assert json.loads(body) == reply.body


def test_a_call_that_the_state_does_not_allow_is_told_no() -> None:
    calls = Calls(at(Cause.STARTED, Cause.TERM), dict)
    assert calls.answer("POST", "/healthcheck/ok").status == 409
    assert calls.answer("GET", "/healthcheck").status == 503
