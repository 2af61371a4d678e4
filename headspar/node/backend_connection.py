"""One keep-alive connection to a backend: writes a request, parses its response and reports the outcome.

The outcomes are those of PROTOCOL's table and tell the balancer exactly what is known. Nothing is ever sent twice
here: an attempt is written once, to one connection.
"""

from __future__ import annotations

import asyncio
import select
import socket
from typing import TYPE_CHECKING, cast

import httptools

from headspar.interface import Outcome
from headspar.node.body_pieces import Piece, append_piece
from headspar.node.clock import now_us
from headspar.node.core import Attempt
from headspar.node.http_response import ResponseProtocol
from headspar.node.message_limits import MessageLimitError
from headspar.node.request_fields import read_decimal
from headspar.node.trace import CloseReason, EndReason

if TYPE_CHECKING:
    from headspar.node.backends import Backends, Host
    from headspar.node.clients import Client

MAX_BUFFERED = 64 * 1024  # bytes; answers up to this size are buffered, so that a broken one can be retried
FREE_ANSWER_BYTES = 4 * 1024  # of an answer that is held; what is held beyond that counts against the budget
MAX_ERROR_BODY = 64 * 1024  # bytes; it is read to keep the connection, and not passed on
MAX_BODY = 32 * 1024 * 1024  # bytes
# A long answer must not be held back for 2 s, and its first byte is due by the client's deadline.
MAX_HOLD_US = 1_000_000
DEADLINE_MARGIN_US = 50_000
TRICKLE_AFTER_US = 2_000_000  # beyond the deadline
TRICKLE_US_PER_BYTE = 32  # 32 kB a second; slow peers write 64 kB


class Connection(ResponseProtocol):
    """One connection to a backend, from its creation to its close."""

    __slots__ = (
        "pool", "host", "number", "poller", "attempt", "unsent", "silent", "last_received_at", "closed", "uses",
        "last_answer_at", "rejected", "report", "content_type", "body", "size", "streaming", "budgeted", "hold_timer",
        "waited_for_client",
    )

    def __init__(self, pool: Backends, host: Host, number: int) -> None:
        super().__init__(pool.node.input_turns)
        self.pool, self.host, self.number = pool, host, number
        self.attempt: Attempt | None = None
        self.unsent = True
        self.closed = False
        self.uses = 0  # requests written to it
        self.last_answer_at = 0  # when its last attempt ended, us
        self.last_received_at = 0
        self.silent = True  # no byte has been received since the last request
        self.budgeted = 0  # bytes of the answer that count against the budget
        self.hold_timer: asyncio.TimerHandle | None = None  # until the answer is passed on before it is complete

    def reset_response(self) -> None:
        super().reset_response()
        self.size = 0  # bytes of the content
        self.rejected = self.streaming = False
        self.report: dict[str, float] | None = None
        self.content_type = b""
        self.body: list[Piece] = []
        self.waited_for_client = False  # the client has read more slowly than the backend wrote

    # ------------------------------------------------------------ connection lifecycle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.poller = select.poll()
        self.poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def usable(self) -> bool:
        return not self.closed and not self.poller.poll(0)

    def send(self, attempt: Attempt, now: int) -> None:
        transport, r = self.transport, attempt.request
        assert transport is not None
        self.attempt, attempt.conn = attempt, self
        self.uses += 1
        if self.pool.node.trace is not None:
            self.pool.node.trace.write(
                "sent", id=r.call_id, attempt=attempt.number, backend=attempt.backend, connection=self.number,
                use=self.uses, idle_us=now - self.last_answer_at if self.last_answer_at else None,
            )
        self.silent = True
        self.last_received_at = now
        self.unsent = True
        head = b"".join((
            r.head, self.host.name, b"\r\nX-Call-Id: ", r.call_id,
            b"\r\nX-Budget: %du\r\n" % max(1, r.deadline - now), r.extra, b"\r\n",
        ))
        if r.body:
            transport.writelines([head, *r.body])
        else:
            transport.write(head)
        self.unsent = transport.get_write_buffer_size() > 0 or transport.is_closing()
        if not self.unsent:
            self.pool.node.ledger.dispatches += 1
        elif attempt.start_by:
            left_us = max(0, attempt.start_by - now)
            self.pool.node.loop.call_later(left_us / 1e6, self._write_timed_out, attempt)

    def _write_timed_out(self, attempt: Attempt) -> None:
        """Servers soon stop dropping repeats, and the last byte has not been sent: the request never ran and must not
        run now."""
        if self.attempt is attempt and self.unsent:
            attempt.reason = EndReason.NOT_WRITTEN
            self.pool.node.end(attempt, Outcome.MOOT)

    def resume_writing(self) -> None:
        if self.unsent and self.attempt is not None:
            self.pool.node.ledger.dispatches += 1
        self.unsent = False

    def release(self) -> None:
        """The attempt has ended: keep the connection if its answer was complete and well-formed, otherwise close
        it."""
        self.attempt = None
        self._stop_holding()
        self.last_answer_at = now_us()
        self._give_back()
        transport = self.transport
        if transport is None:
            return
        if not self.closed:
            if self.reusable() and not self.unsent:
                self.expect_response()
                self.pool.put_back(self)
            else:
                self.close(self._why_not_kept())

    def _why_not_kept(self) -> CloseReason:
        if not self.complete or self.unsent:
            return CloseReason.NO_ANSWER
        return CloseReason.EXCESS_BYTES if self.excess_input else CloseReason.CLOSE_ANNOUNCED

    def close(self, reason: CloseReason) -> None:
        if not self.closed:
            self.closed = True
            self.pool.trace_close(self, reason)
            self.pool.lost(self, False, self.silent and not self.unsent)
            if self.transport is not None:
                if self.unsent:
                    stop_sending(self.transport)
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        attempt = self.attempt
        if not self.closed:
            self.closed = True
            self.pool.trace_close(self, CloseReason.ENDED_BY_BACKEND)
            self.pool.lost(self, attempt is None or self.silent)
        if attempt is None:
            self.parser = None
            return
        if self.status == 200 and self.ends_with_connection(exc):
            self._finish(Outcome.OK)
        elif self.in_body and self.status != 200:
            self._finish(self._outcome())
        elif self.unsent:
            self._finish(Outcome.CONNECT_FAILED, EndReason.BROKEN)
        else:
            self._finish(Outcome.RESET, EndReason.BROKEN)
        self.parser = None

    # ------------------------------------------------------------ the answer

    def data_received(self, data: bytes | memoryview) -> None:
        attempt = self.attempt
        if attempt is None:
            self.pool.stray_bytes(self._close_on_stray_bytes(len(data)))
            return
        if self.unsent and self.uses > 1:
            self.pool.stray_bytes(self._close_on_stray_bytes(len(data)))
            self._finish(Outcome.CONNECT_FAILED, EndReason.STRAY_BYTES)
            return
        now = now_us()
        self.last_received_at = self.host.last_received_at = now
        self.silent = False
        error = self.parse(data)
        if error is not None:
            self._finish_unparsable(error)
            return
        if self.attempt is not attempt:
            return  # the data has ended the attempt
        if self.streaming:
            self._forward()
        if self.complete:
            self._finish(self._outcome())
        elif self.overhead.too_large() or self.size > MAX_BODY:
            self._finish(Outcome.RESET, EndReason.TOO_LARGE)
        elif self.status != 200 and self.size > MAX_ERROR_BODY:
            self._finish(self._outcome(), EndReason.TOO_LARGE)  # its head has told the outcome
        elif not self.streaming:
            self._hold(attempt, now)

    # ------------------------------------------------------------ answers that come slowly

    def _may_be_long(self) -> bool:
        """Return whether an answer has begun that is longer than what is buffered, or does not tell its length."""
        return self.status == 200 and not 0 <= self.length <= MAX_BUFFERED

    def _hold(self, attempt: Attempt, now: int) -> None:
        """Hold an incomplete answer, so that a broken one can be retried, until it has to be passed on."""
        if self.size and max(self.length, self.size) > MAX_BUFFERED:
            self._stream_or_drop(attempt)
        if self.streaming:
            return
        if not self._reserve():
            if self.status == 200:
                self._stream_or_drop(attempt)
            if not self.streaming:
                self._finish(Outcome.RESET, EndReason.TOO_LARGE)
            return
        if self.hold_timer is None and self._may_be_long():
            pass_on_at = min(now + MAX_HOLD_US, attempt.request.deadline - DEADLINE_MARGIN_US)
            self.hold_timer = self.pool.node.loop.call_later(max(0, pass_on_at - now) / 1e6, self.pass_on)

    def _stream_or_drop(self, attempt: Attempt) -> None:
        """Begin to stream an answer, or drop what has come of it if nobody waits for it any more.

        With requests queued behind it, the answer is held until it has to be passed on: if a streamed one breaks, the
        client's connection ends, and those requests stay unanswered.
        """
        client = attempt.request.client
        if client is not None and client.has_queued_requests():
            return
        if client is not None:
            self._begin_streaming(attempt, client)
        if not self.streaming:
            self.body.clear()  # the balancer cancels the attempt

    def _reserve(self) -> bool:
        """Count what is held of the answer against the budget. Return whether there is room for it."""
        held = sum(map(len, self.body)) + len(self.content_type) if self.status else self.overhead.size
        more = max(0, held - FREE_ANSWER_BYTES) - self.budgeted
        if more > 0:
            if not self.pool.budget.take(more):
                return False
            self.budgeted += more
        return True

    def _give_back(self) -> None:
        self.pool.budget.give_back(self.budgeted)
        self.budgeted = 0

    def _stop_holding(self) -> None:
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    def pass_on(self) -> bool:
        """Pass on what has come of a long answer, and the rest as it comes, also with requests queued behind it: held
        any longer, it would be late. Return whether it is being passed on."""
        attempt = self.attempt
        if attempt is None or self.complete or not self._may_be_long():
            return False
        client = attempt.request.client
        if not self.streaming and client is not None:
            self._begin_streaming(attempt, client)
        return self.streaming

    def trickles(self, now: int) -> bool:
        """Return whether a streamed answer comes so slowly that it may have no end; not if its client is slow."""
        attempt = self.attempt
        if attempt is None or self.waited_for_client:
            return False
        since = max(attempt.first_at, attempt.request.deadline)
        return now - since > TRICKLE_AFTER_US + self.size * TRICKLE_US_PER_BYTE

    def pause_reading(self) -> None:
        """Stop reading, because the client has not read what has been passed on."""
        self.waited_for_client = True
        super().pause_reading()

    def _begin_streaming(self, attempt: Attempt, client: Client) -> None:
        if not self.pool.node.stream_started(attempt):
            return
        self._stop_holding()
        self.streaming = True
        client.stream_begin(self, self.length, self.content_type)
        self._forward()
        self._give_back()

    def _finish_unparsable(self, error: Exception) -> None:
        """End the attempt whose answer the parser can't continue with."""
        if isinstance(error.__context__, MessageLimitError):
            self._finish(Outcome.RESET, EndReason.TOO_LARGE)
            return
        if not isinstance(error, httptools.HttpParserError | httptools.HttpParserUpgrade):
            self.pool.node.error("backend", error)
        self._finish(Outcome.RESET, EndReason.MALFORMED)

    def _close_on_stray_bytes(self, size: int) -> int:
        """No request is open, or the open one is not yet written: these bytes are not its answer.

        Returns the time since the connection's last answer (us).
        """
        gap_us = now_us() - self.last_answer_at
        self.pool.node.log(
            f"backend {self.host.id}: {size} unexpected bytes on connection {self.number},"
            f" {gap_us / 1000:.1f} ms after its last answer"
        )
        self.close(CloseReason.UNEXPECTED_BYTES)
        return gap_us

    def progress(self) -> dict[str, object]:
        """Return how far the answer has come, for the trace: its status (0: no head yet), the bytes of its body, the
        announced length in bytes (-1: none), and whether it is being passed on."""
        return {"status": self.status, "body": self.size, "length": self.length, "passed_on": self.streaming}

    def _outcome(self) -> Outcome:
        if self.status == 200:
            return Outcome.OK
        if self.status in (503, 504) and self.rejected:
            return Outcome.FULL
        return Outcome.ERROR

    def _finish(self, outcome: Outcome, reason: EndReason | None = None) -> None:
        attempt = self.attempt
        if attempt is not None:
            attempt.reason = reason
            if self.streaming:
                self._forward()
            self.pool.node.end(attempt, outcome, self.body, self.content_type, self.report)

    def on_field(self, name: bytes, value: bytes) -> None:
        if name == b"content-type":
            self.content_type = value
        elif name == b"x-rejected":
            self.rejected = value == b"1"
        elif name == b"x-load-report":
            self.report = read_report(value, self.pool.node.settings.report_fields)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.status == 200 and self.length > MAX_BODY:
            self.size = self.length

    def on_content(self, data: bytes) -> None:
        self.size += len(data)
        if self.status == 200 and self.size <= MAX_BODY:
            append_piece(self.body, data)

    def _forward(self) -> None:
        """Pass on what has been read of a streamed answer, in one piece: small chunks cost a write each."""
        data, self.body = b"".join(self.body), []
        client = self.attempt.request.client if self.attempt is not None else None
        if client is not None and data:
            client.stream_write(data)

    def on_reading_resumed(self) -> None:
        self.last_received_at = now_us()


def stop_sending(transport: asyncio.Transport) -> None:
    """Let nothing more out that the transport has not written yet.

    An aborted transport writes on until the loop closes it. A request whose last byte went out by then may run,
    though its attempt has ended as never sent.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # the connection has already broken
    finally:
        sock.detach()


def read_report(value: bytes, fields: tuple[str, ...]) -> dict[str, float] | None:
    """Parse the named fields of a load report; fields that cannot be parsed are left out."""
    report = {}
    for pair in value.split(b","):
        name, _, figure = pair.strip().partition(b"=")
        number = read_decimal(figure.strip())
        if number is not None and (field := name.decode("latin-1")) in fields:
            report[field] = number
    return report or None
