"""The recorder's file, rotated in two halves (the older with suffix ``.1``) that never exceed the configured size."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path
from typing import IO

from headspar.interface import Belief
from headspar.recorder.line import LineError, Reader, Row, Writer

MAX_LINE = 4 << 20  # characters; a row of 20,000 servers has some 600,000
FLUSH_LINES = 5  # rows between two flushes, about 1 s


class Recorder:
    """Writes the record of a node; a write error ends the record with one log line, but not the node."""

    def __init__(
        self, path: Path, size: int, node: str, log: Callable[[str], None], began: int = 0, wall: int = 0
    ) -> None:
        """Opens the file; raises ``OSError`` if it cannot be created.

        ``size`` in bytes, for both halves; ``began`` and ``wall`` as in the first line of a record.
        """
        self.path, self.half, self.log = path, size // 2, log
        self.writer = Writer(node, began, wall)
        self.file: IO[str] | None = None
        self.written = self.unflushed = 0
        self._open()

    def _open(self) -> None:
        if self.path.exists():  # of this process or of an earlier one
            os.replace(self.path, rotated_path(self.path))
        self.file = self.path.open("w", encoding="utf-8")
        self.written = self.file.write(self.writer.head() + "\n")

    def write(self, belief: Belief, done: tuple[int, int, int] = (0, 0, 0)) -> None:
        """Writes one row, and the servers before it if they changed; ``done``: cumulative counts as in ``HOST``."""
        if self.file is None:
            return
        try:
            names, row = self.writer.names_line(belief), self.writer.row_line(belief, done)
            if self.written + len(names or "") + len(row) + 2 > self.half:
                self.file.close()
                self._open()
                names = self.writer.names_line(belief)
                if self.written + len(names or "") + len(row) + 2 > self.half:
                    raise OSError("one row is more than half of the configured size")
            self.written += self.file.write(f"{names}\n{row}\n" if names else f"{row}\n")
            self.unflushed += 1
            if self.unflushed >= FLUSH_LINES:
                self.unflushed = 0
                self.file.flush()
        except OSError as error:
            self.log(f"recorder: {self.path}: {error.strerror or error}; recording stopped")
            self.close()

    def close(self) -> None:
        """Closes the file; nothing is recorded after that."""
        file, self.file = self.file, None
        if file is not None:
            try:
                file.close()
            except OSError as error:
                self.log(f"recorder: {self.path}: {error.strerror or error}")


def rotated_path(path: Path) -> Path:
    """The path of the older half."""
    return path.with_name(path.name + ".1")


def lines(part: Path) -> Iterator[tuple[int, str]]:
    """Yields the complete lines of one half with their numbers, from 1; an incomplete last line is left out.

    A line longer than ``MAX_LINE`` is split, so that a file of another kind is not read into memory as a whole.
    """
    with part.open(encoding="utf-8", errors="replace") as file:
        for number in count(1):
            text = file.readline(MAX_LINE)
            if not text.endswith("\n"):
                if len(text) < MAX_LINE:
                    return
            yield number, text.rstrip("\n")


def read(path: Path) -> tuple[str, list[Row]]:
    """Returns the node's name and the rows of both halves in order.

    An incomplete last line, cut off when the node ended, is left out.  Raises ``LineError`` that names file and
    line for an invalid line, ``OSError`` if the file cannot be read.
    """
    rows: list[Row] = []
    node = ""
    for part in (rotated_path(path), path):
        if part != path and not part.exists():
            continue
        reader = Reader()
        lines = part.read_text(encoding="utf-8", errors="replace").split("\n")
        partial = lines.pop()
        for number, text in enumerate(lines, 1):
            try:
                row = reader.read_line(text)
            except LineError as error:
                raise LineError(f"{part}: line {number}: {error}") from None
            if row is not None:
                rows.append(row)
        if not reader.has_header and part == path:
            raise LineError(f"{part}: line 1: no flight record" + (f" but {partial[:40]!r}" if partial else ""))
        node = reader.node or node
    return node, rows
