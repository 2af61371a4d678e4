"""Answers some part of which has no end: each part besides the content is bounded in bytes and in number."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from headspar.interface import Outcome
from headspar.node.backend_connection import Connection
from headspar.node.budget import Budget
from headspar.node.core import Attempt, Request
from headspar.node.trace import EndReason
from tests.helpers import settings
from tests.node.endless import PIECE, fields, parts_without_end, pieces, repeated
from tests.node.harness import Loop, Transport

MAX_BYTES = 512 * 1024  # far over the limit of 64 KiB for one part
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ONE_CHUNK = CHUNKED + b"2\r\nok\r\n"


ENDLESS = {
    **parts_without_end(CHUNKED),
    "interim responses": (b"", repeated(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "long interim responses": (b"", repeated(b"HTTP/1.1 103 Early Hints\r\nLink: " + b"a" * 3000 + b"\r\n\r\n")),
    "empty lines": (b"", repeated(b"\r\n")),
    "trailers of an error": (ONE_CHUNK.replace(b"200", b"500") + b"0\r\n", fields()),
}
ERROR_BODIES = {
    "body with a length": (b"HTTP/1.1 %d X\r\nContent-Length: 3000000000\r\n\r\n", repeated(b"x" * 1000)),
    "body in chunks": (
        b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n", repeated(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
    ),
    "body up to the close": (b"HTTP/1.1 %d X\r\n\r\n", repeated(b"x" * 1000)),
}


class Backend:
    """A connection to a backend that carries one request, on stubs; ``outcomes`` are those of its attempt."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.transport = Transport()
        node = SimpleNamespace(end=self._end, settings=settings(), error=self._error, trace=None,
                               ledger=SimpleNamespace(dispatches=0), input_turns=None, loop=Loop())
        pool = SimpleNamespace(node=node, budget=Budget(1 << 20), lost=lambda *_: None, put_back=lambda _: None,
                               trace_close=lambda *_: None)
        host = SimpleNamespace(name=b"s", id="s", last_received_at=0)
        self.connection = Connection(cast(Any, pool), cast(Any, host), 1)
        self.connection.connection_made(cast(Any, self.transport))
        self.attempt = Attempt(Request(cast(Any, None)), 0, "s", 0)
        self.connection.send(self.attempt, 0)

    def _end(self, attempt: Attempt, outcome: Outcome, *rest: Any) -> None:
        self.outcomes.append(outcome)
        self.connection.release()

    def _error(self, where: str, error: BaseException) -> None:
        raise error

    def feed(self, start: bytes, parts: Iterator[bytes]) -> int:
        """Feed an answer until the attempt ends; return how many bytes that took."""
        read = 0
        for piece in pieces(start, parts, MAX_BYTES):
            if self.outcomes:
                break
            self.connection.data_received(piece)
            read += len(piece)
        return read


@contextlib.contextmanager
def backend() -> Iterator[Backend]:
    made = Backend()
    try:
        yield made
    finally:
        made.transport.here.close()
        made.transport.there.close()


@pytest.mark.parametrize("part", ENDLESS)
def test_a_part_of_an_answer_without_an_end_ends_its_attempt(part: str) -> None:
    with backend() as b:
        assert b.feed(*ENDLESS[part]) <= 64 * 1024 + 2 * PIECE
        assert b.outcomes == [Outcome.RESET] and b.transport.aborted
        assert b.attempt.reason is EndReason.TOO_LARGE


@pytest.mark.parametrize("body", ERROR_BODIES)
def test_the_body_of_an_error_without_an_end_ends_its_attempt_as_that_error(body: str) -> None:
    start, parts = ERROR_BODIES[body]
    with backend() as b:
        assert b.feed(start % 500, parts) <= 64 * 1024 + 2 * PIECE
        assert b.outcomes == [Outcome.ERROR] and b.transport.aborted


def test_a_rejection_whose_body_has_no_end_still_proves_that_the_request_never_ran() -> None:
    start, parts = ERROR_BODIES["body with a length"]
    with backend() as b:
        b.feed((start % 503).replace(b"X\r\n", b"X\r\nX-Rejected: 1\r\n"), parts)
        assert b.outcomes == [Outcome.FULL]


def test_more_fields_than_the_limit_end_the_attempt_within_one_read() -> None:
    few = b"".join(b"a%d: b\r\n" % number for number in range(2000))
    with backend() as b:
        b.connection.data_received(ONE_CHUNK + b"0\r\n" + few)
        assert b.outcomes == [Outcome.RESET] and b.attempt.reason is EndReason.TOO_LARGE


def test_trailer_fields_are_no_header_fields() -> None:
    trailers = b"Content-Type: text/y\r\nX-Rejected: 1\r\nX-Load-Report: eps=1\r\n"
    with backend() as b:
        b.connection.data_received(CHUNKED.replace(b"200", b"503") + b"2\r\nok\r\n0\r\n" + trailers + b"\r\n")
        assert b.outcomes == [Outcome.ERROR]  # a trailer proves no rejection


def test_some_interim_responses_and_a_long_body_in_small_chunks_are_taken() -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 20
    body = b"".join(b"1\r\nx\r\n" for _ in range(60_000))
    with backend() as b:
        data = interim + CHUNKED + body + b"0\r\nA: b\r\n\r\n"
        for at in range(0, len(data), PIECE):
            b.connection.data_received(data[at:at + PIECE])
        assert b.outcomes == [Outcome.OK]
