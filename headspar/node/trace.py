"""The trace of a node: one JSON line for each event of a request, an attempt or a connection, with its reason.

Off by default; ``[trace]`` of the operator's file names the file.  Its size is bounded by rotation and its volume by
a limit of lines per second; lines beyond the limit are counted and the count is written with the next line.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable
from enum import Enum
from pathlib import Path

SECOND_US = 1_000_000


class EndReason(Enum):
    """Why an attempt ended without a complete answer, where its outcome alone does not tell."""

    MALFORMED = "malformed answer"
    TOO_LARGE = "answer too large"
    BROKEN = "connection broke"
    STRAY_BYTES = "bytes before the request was written"
    UNKNOWN_BACKEND = "backend not listed"
    BACKEND_REMOVED = "backend removed while the attempt waited"
    NO_CONNECTION = "no connection available"
    NOT_WRITTEN = "not written in time"
    TOO_LATE = "answered, or its time was over, before the write"
    DRAINING = "the backend's drain grace ended before the write"
    WAITED_FOR_COLD = "waited too long for a backend in slow start"
    CLIENT_GONE = "the client left before the write"
    CLOSE_HIDDEN = "unread input may hide that the client left"
    CONNECT_FAILED = "connection not established"
    STREAM_STALLED = "streamed answer stalled"


class CloseReason(Enum):
    """Why a connection to a backend was closed."""

    UNEXPECTED_BYTES = "bytes while no request was open"
    EXCESS_BYTES = "bytes behind the answer"
    NO_ANSWER = "attempt ended without a complete answer"
    CLOSE_ANNOUNCED = "answer with Connection: close"
    NOT_KEPT = "not kept by the plan"
    ENDED_BY_BACKEND = "ended by the backend"
    FOUND_UNUSABLE = "found unusable before a write"
    RETIRED = "retired, evicted or beyond the demand"
    NOT_WANTED = "opened, and no longer wanted"
    NOT_ESTABLISHED = "not established"


class Trace:
    """Writes trace lines to a rotated file; a write error ends the trace with one log line, but not the node."""

    def __init__(
        self, path: Path, size: int, lines_per_s: int, clock: Callable[[], int], log: Callable[[str], None]
    ) -> None:
        """``size`` in bytes, for the file and its older half; ``clock`` in us.  Raises ``OSError`` if the file cannot
        be created."""
        import logging.handlers  # imported late: most nodes write no trace

        self.lines_per_s, self.clock, self.log = lines_per_s, clock, log
        self.second = self.lines = self.dropped = 0
        self._make_record = logging.makeLogRecord
        self.handler: logging.handlers.RotatingFileHandler | None = logging.handlers.RotatingFileHandler(
            path, maxBytes=size // 2, backupCount=1, encoding="utf-8"
        )
        self.handler.handleError = self._on_error  # type: ignore[method-assign]

    def write(self, event: str, **fields: object) -> None:
        """Write one line: the time in us, the event and its fields; enums by their values, bytes as text."""
        handler = self.handler
        if handler is None:
            return
        now = self.clock()
        if now // SECOND_US != self.second:
            self.second, self.lines = now // SECOND_US, 0
        if self.lines >= self.lines_per_s:
            self.dropped += 1
            return
        self.lines += 1
        row: dict[str, object] = {"at": now, "event": event, **fields}
        if self.dropped:
            row["dropped"], self.dropped = self.dropped, 0
        handler.handle(self._make_record({"msg": json.dumps(row, default=_plain)}))

    def _on_error(self, record: object) -> None:
        self.log("trace: the file could not be written; tracing stopped")
        self.close()

    def close(self) -> None:
        """Close the file; nothing is traced after that."""
        handler, self.handler = self.handler, None
        if handler is not None:
            with contextlib.suppress(OSError):
                handler.close()


def _plain(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.decode("latin-1")
    raise TypeError(f"no trace field: {type(value).__name__}")
