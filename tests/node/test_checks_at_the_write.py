"""An attempt that waited for a connection is checked again right before it is written."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from headspar import decide
from headspar.interface import AttemptEnded, Outcome, RequestArrived, RequestClass, Send
from headspar.node import backend_connection, backends
from headspar.node.clock import now_us
from headspar.node.core import Attempt, Request
from tests.connections.test_socket_side import Core, Server, core, run, serving, until
from tests.helpers import PAY, full, settings
from tests.loopback import free_address
from tests.test_mechanism import tried

S = 1_000_000


class Clock:
    """Replaces the clock of the socket side."""

    def __init__(self) -> None:
        self.now = 100 * S

    def __call__(self) -> int:
        return self.now


class DelayedConnections:
    """Delays the completion of connections until ``up`` is set."""

    def __init__(self, c: Core) -> None:
        self.up = asyncio.Event()
        real = c.loop.create_connection

        async def create(*args: Any, **kw: Any) -> Any:
            await self.up.wait()
            return await real(*args, **kw)

        c.loop.create_connection = create  # type: ignore[method-assign]
        c.backends.connect_timeout = 10.0


def use_clock(monkeypatch: pytest.MonkeyPatch, clock: Clock) -> None:
    for module in (backends, backend_connection):
        monkeypatch.setattr(module, "now_us", clock)


@contextlib.asynccontextmanager
async def waiting(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[Core, list[Server], Clock, DelayedConnections]]:
    """A socket side with one server whose connections are delayed."""
    clock = Clock()
    use_clock(monkeypatch, clock)
    async with serving() as (c, made):
        yield c, made, clock, DelayedConnections(c)


def attempt(c: Core, clock: Clock, **changes: Any) -> Attempt:
    r = Request(cast(Any, None))
    r.head, r.call_id, r.cls, r.live = b"GET / HTTP/1.1\r\nHost: ", b"x", "crew", True
    r.deadline = clock.now + 9 * S
    made = Attempt(r, 0, "s", clock.now)
    for name, value in changes.items():
        setattr(made if name == "start_by" else r, name, value)
    c.backends.start(made)
    return made


class Client:
    """Stub of a request's client; ``here`` tells whether it is connected."""

    def __init__(self) -> None:
        self.here, self.asked, self.hidden = True, 0, False

    def is_connected(self) -> bool:
        self.asked += 1
        return self.here

    def close_may_be_hidden(self) -> bool:
        return self.hidden

    def disconnected(self) -> None:
        self.left = True


def client_left(c: Core, one: Attempt, clock: Clock) -> None:
    cast(Any, one.request.client).here = False


def close_may_be_hidden(c: Core, one: Attempt, clock: Clock) -> None:
    cast(Any, one.request.client).hidden = True


def time_is_up(c: Core, one: Attempt, clock: Clock) -> None:
    clock.now = one.request.deadline


def repeats_run_again(c: Core, one: Attempt, clock: Clock) -> None:
    one.start_by = clock.now = clock.now + S


def drain_is_due(c: Core, one: Attempt, clock: Clock) -> None:
    c.backends.draining = {"s": clock.now}
    clock.now += c.settings.drain_grace_us - backends.DRAIN_MARGIN_US


@pytest.mark.parametrize("meanwhile", [client_left, close_may_be_hidden, time_is_up, repeats_run_again, drain_is_due])
def test_what_may_go_no_more_when_its_connection_comes_up_never_goes(
    monkeypatch: pytest.MonkeyPatch, meanwhile: Callable[[Core, Attempt, Clock], None],
) -> None:
    async def scenario() -> None:
        async with waiting(monkeypatch) as (c, made, clock, delayed):
            one = attempt(c, clock, client=Client())
            assert not one.ended
            meanwhile(c, one, clock)
            delayed.up.set()
            await until(lambda: one.ended)
            assert c.outcomes() == [Outcome.MOOT]
            await until(lambda: made)
            await asyncio.sleep(0.02)
            assert made[0].requests == 0
            c.consistent()

    run(scenario())


@pytest.mark.parametrize("meanwhile", [client_left, close_may_be_hidden, time_is_up, repeats_run_again, drain_is_due])
def test_nor_does_it_take_the_place_of_one_that_may(
    monkeypatch: pytest.MonkeyPatch, meanwhile: Callable[[Core, Attempt, Clock], None],
) -> None:
    """The connection becomes free because another attempt on it has been answered."""
    async def scenario() -> None:
        async with serving() as (c, made):
            clock = Clock()
            use_clock(monkeypatch, clock)
            first = attempt(c, clock)
            await until(lambda: made and made[0].requests)
            DelayedConnections(c)
            one = attempt(c, clock, client=Client())
            meanwhile(c, one, clock)
            made[0].answer()
            await until(lambda: first.ended and one.ended)
            assert {first: Outcome.OK, one: Outcome.MOOT} == dict(c.ends) and made[0].requests == 1

    run(scenario())


def test_what_may_still_go_goes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with waiting(monkeypatch) as (c, made, clock, delayed):
            client = Client()
            one = attempt(c, clock, client=client, start_by=clock.now + S)
            c.backends.draining = {"s": clock.now}
            clock.now += c.settings.drain_grace_us - backends.DRAIN_MARGIN_US - 1
            delayed.up.set()
            await until(lambda: made and made[0].requests)
            assert client.asked >= 2 and not one.ended

    run(scenario())


def test_what_waited_for_a_cold_server_does_not_come_as_one_burst(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a burst at a cold server: the slow-start budget is charged when attempts are decided, one by
    one, and a late connection would release all of them at once."""
    async def scenario() -> None:
        async with waiting(monkeypatch) as (c, made, clock, delayed):
            c.backends.add_or_update("s", c.backends.hosts["s"].address, clock.now)
            c.backends.plan.warmth("s", 1.0)  # lets more attempts wait
            spread = c.settings.fall_us // 10
            waits = []
            for _ in range(10):
                waits.append(attempt(c, clock))
                clock.now += spread
            delayed.up.set()
            await until(lambda: made and made[0].requests)
            old = [one for one in waits if clock.now - one.sent_at > c.settings.fall_us // backends.COLD_WAIT_DIVISOR]
            assert len(old) == 8
            await until(lambda: all(one.ended for one in old))
            assert set(c.outcomes()) == {Outcome.MOOT} and len(c.ends) == len(old)

    run(scenario())


def test_a_body_whose_last_byte_has_not_gone_out_in_time_is_broken_off_before_it() -> None:
    """A backend starts a request when its last byte has arrived, and by then it may no longer drop repeats."""
    async def scenario() -> None:
        received = bytearray()
        transports: list[asyncio.Transport] = []

        class NonReader(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                transports.append(cast(asyncio.Transport, transport))
                transports[0].pause_reading()

            def data_received(self, data: bytes) -> None:
                received.extend(data)

        server = await asyncio.get_running_loop().create_server(NonReader, *free_address())
        async with core() as c:
            c.backends.add_or_update("s", server.sockets[0].getsockname(), 0)
            body = bytes(16_000_000)
            one = attempt(c, Clock(), body=[body], deadline=now_us() + 9 * S, start_by=now_us() + S // 10)
            await until(lambda: one.ended)
            assert c.outcomes() == [Outcome.MOOT] and one.conn is None
            assert now_us() >= one.start_by
            transports[0].resume_reading()
            await until(lambda: transports[0].is_closing())
            assert len(received) < len(body)
            c.consistent()
        server.close()

    run(scenario())


# ---------------------------------------------------------------- the time in which servers drop repeats


def test_a_repeat_is_decided_only_while_a_held_up_write_would_still_be_in_time() -> None:
    latest = PAY.window_us - decide.WINDOW_MARGIN_US
    assert decide.may_send(PAY, [tried()], "a", 0, latest - 1, 3, False)
    assert not decide.may_send(PAY, [tried()], "a", 0, latest, 3, False)
    assert decide.may_send(PAY, [tried(ran=False)], "a", 0, latest, 3, False)


def test_a_short_window_keeps_half_of_it() -> None:
    cls = RequestClass(**{**{f: getattr(PAY, f) for f in PAY.__slots__}, "window_us": 100_000})
    assert decide.may_send(cls, [tried()], "a", 0, 49_999, 3, False)
    assert not decide.may_send(cls, [tried()], "a", 0, 50_000, 3, False)


def test_a_repeat_carries_the_latest_time_at_which_it_may_be_written() -> None:
    """It counts from the earliest attempt that may have run; the first attempt has no limit."""
    balancer = decide.Balancer(settings(), 1)
    balancer.handle(0, [full(12)])
    actions = balancer.handle(S, [RequestArrived("r", "pay", 3 * S, 10_000)])
    first = next(a for a in actions if isinstance(a, Send))
    assert first.start_by_us == 0
    after = balancer.handle(S + 50_000, [AttemptEnded("r", 0, first.backend, Outcome.RESET, 50_000, False)])
    again = next(a for a in after if isinstance(a, Send))
    assert again.start_by_us == S + PAY.window_us - decide.WINDOW_MARGIN_US


def test_the_socket_side_hears_of_drains_as_they_are_told() -> None:
    """A full list replaces the table of drains, so the socket side must get the new one."""
    from headspar.interface import BackendList, Health, ListKind
    from headspar.node import core
    from tests.helpers import entry

    event = BackendList(ListKind.FULL, 2, [entry(1, Health.DRAINING)])
    reach = SimpleNamespace(told=lambda e, now: (e, []), draining={"10.0.0.1:80": 5})
    side = SimpleNamespace(draining={}, close_unreachable=lambda ids: None)
    node = SimpleNamespace(reach=reach, backends=side, post=lambda e: None)
    core.Node.on_list(cast(Any, node), event)
    assert side.draining is reach.draining
