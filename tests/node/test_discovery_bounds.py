"""Answers of discovery that have no end or name too much: bounded in bytes, number and the time they take."""

from __future__ import annotations

import asyncio
import json
import tracemalloc
from typing import Any

import pytest

from headspar.node import discovery
from headspar.node.discovery import MAX_ANSWER_BYTES, MAX_BACKENDS, MAX_NAME
from tests.node.endless import PIECE, parts_without_end, pieces, repeated
from tests.node.test_discovery_crossings import answer, rounds, row, watching

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD_LIMIT = 64 * 1024 + 2 * PIECE


ENDLESS = {
    **{part: (*endless, HEAD_LIMIT) for part, endless in parts_without_end(CHUNKED).items()},
    "interim responses": (b"", repeated(b"HTTP/1.1 100 Continue\r\n\r\n"), HEAD_LIMIT),
    "body": (CHUNKED, repeated(b"3e8\r\n" + b" " * 1000 + b"\r\n"), MAX_ANSWER_BYTES + MAX_ANSWER_BYTES // 50),
    "body of an error": (b"HTTP/1.1 503 X\r\n\r\n", repeated(b" " * 1000), MAX_ANSWER_BYTES + 2 * PIECE),
}


@pytest.mark.parametrize("part", ENDLESS)
def test_a_part_of_an_answer_without_an_end_ends_the_call(part: str) -> None:
    start, parts, limit = ENDLESS[part]

    async def scenario() -> None:
        w, call, transport = await watching()
        read = 0
        for piece in pieces(start, parts, 2 * MAX_ANSWER_BYTES):
            if transport.paused:
                break
            call.data_received(piece)
            read += len(piece)
        assert transport.paused and read <= limit
        await rounds()
        assert transport.aborted and w.discovery.generation == 5
        w.discovery.watch(False)

    asyncio.run(scenario())


@pytest.mark.parametrize("change", [
    {"instanceId": "s" * (MAX_NAME + 1)}, {"zone": "z" * (MAX_NAME + 1)}, {"machineType": "m" * (MAX_NAME + 1)},
])
def test_an_entry_with_a_name_that_is_too_long_is_skipped(change: dict[str, Any]) -> None:
    async def scenario() -> None:
        w, call, _ = await watching()
        call.data_received(answer(6, [{**row("s-3"), **change}, row("s-4")]))
        await rounds()
        assert [e.backend for e in w.lists[-1].entries] == ["s-4"] and "s-4" in w.hosts
        w.discovery.watch(False)

    asyncio.run(scenario())


def test_a_list_that_grows_with_each_answer_ends_at_its_limit() -> None:
    async def scenario() -> None:
        w, call, _ = await watching()
        for generation in range(6, 9):
            rows = [row(f"s-{generation}-{number}") for number in range(MAX_BACKENDS // 2)]
            call.data_received(answer(generation, rows))
            await rounds()
            w.discovery._ask_if_idle()
        assert len(w.hosts) == MAX_BACKENDS
        call.data_received(answer(9, [row("s-6-0", "draining")]))  # known ones are still updated
        await rounds()
        assert w.lists[-1].entries[0].backend == "s-6-0"
        w.discovery.watch(False)

    asyncio.run(scenario())


@pytest.mark.parametrize("value", [b"[]", b"{}", b'""', b"1.5"])
def test_an_answer_of_many_small_values_is_not_decoded(value: bytes) -> None:
    """Guards against an answer within the limit of bytes that takes twenty times as much memory."""
    many = b", ".join([value] * (MAX_ANSWER_BYTES // (len(value) + 3)))
    body = b'{"generation": 6, "instances": [' + many + b"]}"

    async def scenario() -> None:
        w, call, _ = await watching()
        tracemalloc.start()
        try:
            call.data_received(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await rounds()
            most = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert w.discovery.generation == 5 and "values" in w.log[-1]
        assert most < 4 * MAX_ANSWER_BYTES
        w.discovery.watch(False)

    asyncio.run(scenario())


def test_the_largest_list_is_decoded() -> None:
    async def scenario() -> None:
        w, call, _ = await watching()
        more = {"machineType": "m", "cell": 0, "weight": 1.0}
        rows = [{**row(f"s-{number}"), **more} for number in range(MAX_BACKENDS)]
        call.data_received(answer(6, rows, reset=True))
        await rounds()
        assert w.discovery.generation == 6 and len(w.hosts) == MAX_BACKENDS
        w.discovery.watch(False)

    asyncio.run(scenario())


def test_the_next_call_comes_after_a_pause_as_long_as_the_answer_took(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        w, call, transport = await watching()
        clock, real = [0], json.loads
        monkeypatch.setattr(discovery, "now_us", lambda: clock[0])

        def slow(body: bytes) -> Any:
            clock[0] += 30_000
            return real(body)

        monkeypatch.setattr(json, "loads", slow)
        delays: list[float] = []

        def call_later(delay: float, *_: Any) -> _Timer:
            delays.append(delay)
            return _Timer()

        monkeypatch.setattr(w.loop, "call_later", call_later)
        call.data_received(answer(6, [row("s-3")]))
        await rounds()
        assert len(transport.asked) == 1 and delays == [0.03]
        w.discovery.watch(True)  # the balancer need not wait for it
        assert len(transport.asked) == 2
        w.discovery._ask_if_idle()
        assert len(transport.asked) == 2
        w.discovery.watch(False)

    asyncio.run(scenario())


class _Timer:
    """A stub of a timer."""

    def cancel(self) -> None:
        """Nothing to cancel."""
