"""Timers and deadlines of the node fire on time, even when others are added meanwhile."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from headspar.interface import TimerFired
from headspar.node import core
from tests.helpers import settings


class Loop:
    """Stub of the event loop with a clock that only the test advances."""

    def __init__(self, now: int) -> None:
        self.now = now
        self.soon: list[tuple[Any, ...]] = []
        self.later: list[SimpleNamespace] = []

    def call_soon(self, *what: Any) -> None:
        self.soon.append(what)

    def call_later(self, seconds: float, call: Any) -> SimpleNamespace:
        handle = SimpleNamespace(at=self.now + int(seconds * 1e6), call=call)
        handle.cancel = lambda: self.later.remove(handle)
        self.later.append(handle)
        return handle

    def run(self, until: int) -> None:
        while True:
            while self.soon:
                call, *arguments = self.soon.pop(0)
                call(*arguments)
            handle = min((h for h in self.later if h.at <= until), key=lambda h: h.at, default=None)
            if handle is None:
                break
            self.now = max(self.now, handle.at)
            self.later.remove(handle)
            handle.call()
        self.now = until


def make_node(monkeypatch: pytest.MonkeyPatch) -> tuple[core.Node, Loop, list[tuple[int, int]]]:
    """Return a node whose balancer takes no action, its loop, and a log of (time, token) of the timers that fired."""
    loop = Loop(1_000_000)
    monkeypatch.setattr(core, "now_us", lambda: loop.now)
    node = core.Node(cast(Any, SimpleNamespace(settings=settings(), seed=1)), cast(Any, loop))
    fired: list[tuple[int, int]] = []

    def handle(now: int, events: list[Any]) -> list[Any]:
        fired.extend((now, event.token) for event in events if isinstance(event, TimerFired))
        return []

    monkeypatch.setattr(node.balancer, "handle", handle)
    return node, loop, fired


def test_what_comes_up_while_something_is_worked_off_puts_off_nothing_that_is_due_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A timer added while others expired delayed an earlier one until its own time, so answers were late or
    missing."""
    node, loop, fired = make_node(monkeypatch)
    original_handle = node.balancer.handle

    def handle_and_add_timer(now: int, events: list[Any]) -> list[Any]:
        original_handle(now, events)
        if any(isinstance(event, TimerFired) and event.token == 1 for event in events):
            node._schedule(now + 200_000, core.TIMER, 3, "")
        return []

    monkeypatch.setattr(node.balancer, "handle", handle_and_add_timer)
    post = node.post

    def post_and_settle(event: Any) -> None:  # as for an expired deadline: the balancer runs at once
        post(event)
        node.flush_events()

    monkeypatch.setattr(node, "post", post_and_settle)
    node._schedule(1_010_000, core.TIMER, 1, "")
    node._schedule(1_030_000, core.TIMER, 2, "")
    loop.run(1_300_000)
    assert [token for _, token in fired] == [1, 2, 3]
    assert fired[1][0] <= 1_030_000 + core.TIMER_RESOLUTION_US and 1_210_000 <= fired[2][0] <= 1_215_000


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_early_and_nothing_later_than_the_grain(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    node, loop, fired = make_node(monkeypatch)
    rng = random.Random(seed)
    due: dict[int, int] = {}

    def more() -> None:
        token = len(due)
        due[token] = loop.now + rng.choice((1_000, 5_000, 20_000, 200_000)) + rng.randint(0, 3_000)
        node._schedule(due[token], core.TIMER, token, "")

    original_handle = node.balancer.handle

    def handle(now: int, events: list[Any]) -> list[Any]:
        original_handle(now, events)
        if len(due) < 300:
            for _ in range(rng.randint(0, 3)):
                more()
        return []

    monkeypatch.setattr(node.balancer, "handle", handle)
    post = node.post

    def post_and_settle(event: Any) -> None:
        post(event)
        node.flush_events()

    monkeypatch.setattr(node, "post", post_and_settle)
    for _ in range(20):
        more()
        loop.run(loop.now + rng.randint(0, 30_000))
    loop.run(loop.now + 1_000_000)
    assert len(fired) == len(due) >= 100
    late = [now - due[token] for now, token in fired]
    assert min(late) >= 0 and max(late) <= 2 * core.TIMER_RESOLUTION_US
