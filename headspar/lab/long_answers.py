"""Long answers that a server writes slowly, in pieces; what a caller may expect of their content."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LONG_BYTES = 150_000  # more than a node buffers
PIECES = 20
FILLER = b"."
HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES,
}


def long_body(body: bytes) -> bytes:
    """The content of the long answer that begins with ``body``."""
    return body + FILLER * (LONG_BYTES - len(body))


class LongAnswer:
    """Writes one answer over ``over_s`` seconds; ``finished`` is called after its last byte."""

    def __init__(
        self, framing: str, body: bytes, over_s: float, write: Callable[[bytes], None], finished: Callable[[], None]
    ) -> None:
        self.framing, self.body, self.write, self.finished = framing, long_body(body), write, finished
        self.interval_s = over_s / PIECES
        self.sent = 0
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Write the head and the first piece."""
        self.write(HEADS[self.framing])
        self._next()

    def stop(self) -> None:
        """Write nothing more."""
        if self.timer is not None:
            self.timer.cancel()

    def _next(self) -> None:
        size = LONG_BYTES // PIECES
        piece = self.body[self.sent:self.sent + size]
        self.sent += len(piece)
        self.write(b"%x\r\n%b\r\n" % (len(piece), piece) if self.framing == "chunked" else piece)
        if self.sent < LONG_BYTES:
            self.timer = asyncio.get_running_loop().call_later(self.interval_s, self._next)
            return
        if self.framing == "chunked":
            self.write(b"0\r\n\r\n")
        self.finished()
