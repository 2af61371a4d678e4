"""The event queue under random operations."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from headspar.model.events import MIN_CANCELLED_TO_COMPACT, Events, Handle, TimeInPast

STEPS = st.lists(st.tuples(st.sampled_from(["at", "cancel", "run"]), st.integers(0, 50), st.integers(0, 5)),
                 max_size=80)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_time_never_goes_back_and_what_is_cancelled_is_never_called(steps: list[tuple[str, int, int]]) -> None:
    events = Events()
    handles: list[Handle] = []
    called: list[tuple[int, int]] = []
    due: dict[int, int] = {}

    def call(number: int, repeats: int) -> None:
        assert events.now == due.pop(number)  # on time, once, and not cancelled
        called.append((events.now, number))
        if repeats:
            schedule(repeats, repeats - 1)

    def schedule(delay: int, repeats: int) -> None:
        number = len(handles)
        due[number] = events.now + delay
        handles.append(events.at(events.now + delay, call, number, repeats))

    for operation, value, repeats in steps:
        if operation == "at":
            schedule(value, repeats)
        elif operation == "cancel" and handles:
            number = value % len(handles)
            events.cancel(handles[number])
            due.pop(number, None)
        else:
            events.run(events.now + value)
    events.run(events.now + 1000)
    assert not due and called == sorted(called, key=lambda row: row[0]) and events.called == len(called)
    at_once = [(a, b) for a, b in zip(called, called[1:], strict=False) if a[0] == b[0]]
    assert all(a[1] < b[1] for a, b in at_once)  # in the order in which they were scheduled


def test_the_past_is_refused_and_cancelled_entries_are_swept() -> None:
    events = Events(10)
    with pytest.raises(TimeInPast):
        events.at(9, print)
    handles = [events.at(100 + i, print) for i in range(3 * MIN_CANCELLED_TO_COMPACT)]
    for handle in handles[:-1]:
        events.cancel(handle)
        events.cancel(handle)  # cancelling twice has no further effect
    assert len(events.heap) < MIN_CANCELLED_TO_COMPACT + 2
