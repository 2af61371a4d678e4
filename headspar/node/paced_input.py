"""Reading from connections in turns: input that is expensive to process leaves the event loop to the others.

The event loop reads a connection many times in a row while bytes are there. Here each read is small, the time that
its processing takes is measured, and a connection that has used up its turn is not read until the loop has served
everybody else once. Of all connections that wait for their next turn, one goes on in each iteration of the loop.
"""

from __future__ import annotations

import asyncio
from collections import deque

from headspar.node.clock import now_us

READ_BYTES = 64 * 1024  # read from a connection at a time
UNMETERED_BYTES = 2 * 1024  # reads up to this size are too short to be worth measuring
TURN_US = 2_000  # processing time of one connection's input, beyond what time has passed since its last read

_read_buffer = bytearray(READ_BYTES)  # shared, because a read is processed before the next one begins
_read_view = memoryview(_read_buffer)


class InputTurns:
    """The connections of one event loop that have used up their turn, in the order in which they go on."""

    __slots__ = ("loop", "resting")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.resting: deque[PacedProtocol] = deque()

    def rest(self, protocol: PacedProtocol) -> None:
        """Stop reading a connection until its next turn."""
        protocol.rest()
        self.resting.append(protocol)
        if len(self.resting) == 1:
            self.loop.call_soon(self._next)

    def _next(self) -> None:
        self.resting.popleft().end_rest()
        if self.resting:
            self.loop.call_soon(self._next)


class PacedProtocol(asyncio.BufferedProtocol):
    """A connection that is read in turns. Subclasses process the input in ``data_received``."""

    __slots__ = ("turns", "transport", "reading_paused", "resting", "used_us", "used_at")

    def __init__(self, turns: InputTurns) -> None:
        self.turns = turns
        self.transport: asyncio.Transport | None = None
        self.reading_paused = False  # by the protocol itself
        self.resting = False  # its turn is over
        self.used_us = 0  # of its turn, at ``used_at``
        self.used_at = 0

    def data_received(self, data: bytes | memoryview) -> None:
        """Process what has been read; a view is valid until this returns."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where the event loop puts what it reads (``asyncio.BufferedProtocol``)."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process a read of ``nbytes`` (``asyncio.BufferedProtocol``)."""
        if nbytes <= UNMETERED_BYTES:
            self.data_received(bytes(_read_view[:nbytes]))
            return
        began_at = now_us()
        self.data_received(_read_view[:nbytes])
        self._account(began_at, now_us())

    def _account(self, began_at: int, ended_at: int) -> None:
        """Account for the time that a read has taken; the turn is regained while the connection is not read."""
        regained = began_at - self.used_at
        self.used_us = max(0, self.used_us - regained) + ended_at - began_at
        self.used_at = ended_at
        if self.used_us > TURN_US and not self.resting and self.transport is not None:
            self.used_us = 0
            self.turns.rest(self)

    # ------------------------------------------------------------ pauses in reading

    def pause_reading(self) -> None:
        """Stop reading until ``resume_reading``; further input stays in the socket's buffer."""
        if self.transport is not None and not self.reading_paused:
            self.reading_paused = True
            self._stop_reading()

    def resume_reading(self) -> None:
        """Read on, unless the connection still waits for its turn."""
        if self.reading_paused:
            self.reading_paused = False
            self._read_on()

    def rest(self) -> None:
        """The turn is over (called by ``InputTurns``)."""
        self.resting = True
        self._stop_reading()

    def end_rest(self) -> None:
        """The next turn begins (called by ``InputTurns``)."""
        self.resting = False
        self._read_on()

    def _stop_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.on_reading_stopped()
            self.transport.pause_reading()

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing() and self.may_read():
            self.on_reading_resumed()
            self.transport.resume_reading()

    def may_read(self) -> bool:
        """Return whether nothing keeps the connection from being read."""
        return not self.reading_paused and not self.resting

    def on_reading_stopped(self) -> None:
        """Called before reading stops."""

    def on_reading_resumed(self) -> None:
        """Called before reading goes on."""
