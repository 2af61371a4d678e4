"""Reading HTTP/1.1 responses: their framing and their end, by the same rules on every connection of the node."""

from __future__ import annotations

from typing import Any

import httptools

from headspar.node.message_limits import MessageOverhead
from headspar.node.paced_input import InputTurns, PacedProtocol


class TransferCodingError(Exception):
    """A response has a transfer coding besides chunked, which the node could neither decode nor pass on."""


class ResponseProtocol(PacedProtocol):
    """A connection on which responses are read, one at a time.

    A response ends with its length, with its last chunk, or, if it has neither, with its connection (RFC 9112 section
    6.3). Interim responses and trailer fields are read and dropped. Subclasses get the fields and the content of the
    final response: ``on_field`` and ``on_content``.
    """

    __slots__ = (
        "parser", "overhead", "status", "length", "framed", "coded", "in_body", "complete", "keep_alive",
        "excess_input",
    )

    def __init__(self, turns: InputTurns) -> None:
        super().__init__(turns)
        self.parser: Any = httptools.HttpResponseParser(self)
        self.overhead = MessageOverhead()
        self.expect_response()

    def expect_response(self) -> None:
        """The next input belongs to a new response."""
        self.overhead.restart()
        self.reset_response()

    def reset_response(self) -> None:
        """Forget what has been read of a response; called for each interim one as well."""
        self.status = 0  # of the final response; 0: its head is not complete
        self.length = -1  # bytes of content that were announced; -1: none
        self.framed = self.coded = self.in_body = False
        self.complete = self.keep_alive = self.excess_input = False

    def parse(self, data: bytes | memoryview) -> Exception | None:
        """Parse a read. Return why the response can't be continued; what follows a complete one is excess input."""
        self.overhead.received(len(data))
        try:
            self.parser.feed_data(data)
        except Exception as error:
            if not self.complete:
                return error
            self.excess_input = True
        return None

    def ends_with_connection(self, error: Exception | None) -> bool:
        """Return whether the end of the connection, by ``error`` or by a close, completes the response."""
        return self.in_body and not self.framed and not self.complete and error is None

    def reusable(self) -> bool:
        """Return whether the connection may carry another request: the response was complete, with nothing behind it
        and no close announced."""
        return self.complete and self.keep_alive and not self.excess_input

    def on_field(self, name: bytes, value: bytes) -> None:
        """A header field that does not belong to the framing; ``name`` is in lower case."""

    def on_content(self, data: bytes) -> None:
        """A piece of the final response's content."""

    # ------------------------------------------------------------ callbacks of the parser

    def on_message_begin(self) -> None:
        if self.complete:
            self.excess_input = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self.overhead.field()
        if self.complete or self.in_body:  # in the body: a trailer field
            return
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            self.framed = True
            self.length = int(value)
        elif name == b"transfer-encoding":
            self.coded = self.framed or value.lower() != b"chunked"
            self.framed = True
        else:
            self.on_field(name, value)

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return
        if self.coded:
            raise TransferCodingError("transfer coding not supported")
        self.overhead.head_complete()
        self.status, self.in_body = status, True

    def on_chunk_header(self) -> None:
        self.overhead.chunk()

    def on_body(self, data: bytes) -> None:
        self.overhead.content(len(data))
        if not self.complete:
            self.on_content(data)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.status:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()  # read it here: after this callback it is always False
        else:
            self.reset_response()
            self.overhead.interim_complete()
