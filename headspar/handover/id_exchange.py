"""During a hand-over: each process tells the other which call ids it has taken, so that neither serves one again."""

from __future__ import annotations

import asyncio
import socket
from collections import deque

from headspar.handover import unix_socket
from headspar.handover.messages import Taken, pack_ids, unpack_ids
from headspar.node.clock import now_us
from headspar.node.taken_ids import MAX_IDS, TakenIds

RETRY_S = 0.005  # while the socket to the other process is full


class IdExchange:
    """Sends the ids of ``ids`` over ``link``, those known now and each that is taken later; adds those received.

    A failing link ends the exchange; its owner notices the failure itself.
    """

    def __init__(self, ids: TakenIds, link: socket.socket, loop: asyncio.AbstractEventLoop) -> None:
        self.ids, self.link, self.loop = ids, link, loop
        self.pending: deque[bytes] = deque(maxlen=MAX_IDS)
        self.scheduled: asyncio.Handle | None = None

    def start(self) -> None:
        """Send what is known, and from now on each id that is taken."""
        self.pending.extend(self.ids)
        self.ids.on_taken = self._on_taken
        self._send()

    def stop(self) -> None:
        """Send nothing more."""
        self.ids.on_taken = None
        self.pending.clear()
        if self.scheduled is not None:
            self.scheduled.cancel()

    def received(self, message: Taken) -> None:
        """Record the ids that the other process has taken."""
        now = now_us()
        for call_id in unpack_ids(message):
            self.ids.add(call_id, now)

    def _on_taken(self, call_id: bytes) -> None:
        self.pending.append(call_id)
        if self.scheduled is None:
            self.scheduled = self.loop.call_soon(self._send)

    def _send(self) -> None:
        self.scheduled = None
        while self.pending:
            message, count = pack_ids(self.pending)
            try:
                unix_socket.send(self.link, message)
            except BlockingIOError:
                self.scheduled = self.loop.call_later(RETRY_S, self._send)
                return
            except OSError:
                self.stop()
                return
            for _ in range(count):
                self.pending.popleft()
