"""The new process's side of a hand-over: requests the sockets of the old process and adopts its connections."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from headspar.handover import unix_socket
from headspar.handover.beliefs import MAX_BYTES
from headspar.handover.id_exchange import IdExchange
from headspar.handover.messages import Clients, Held, Hello, MessageError, No, Offer, Ready, Taken
from headspar.handover.transitions import Action, NewProcessState, new_process_step
from headspar.node.taken_ids import TakenIds

OFFER_TIMEOUT_S = 1.5
BUSY_TIMEOUT_S = 3.0  # while the old process hands over to another new one
RETRY_S = 0.1


@dataclass(slots=True)
class ReceivedOffer:
    """The old process's offer, its sockets and serialized learned state; ``link`` is the connection to it."""

    link: socket.socket
    offer: Offer
    listener: socket.socket
    peers: socket.socket | None
    beliefs: bytes


def request_handover(path: Path | None, name: str, log: Callable[[str], None]) -> ReceivedOffer | None:
    """Requests the sockets of the process at ``path``; blocks, as nothing is served yet.

    Returns None if this process has to start alone.  The reason is logged in one line, unless there was no process.
    """
    if path is None or not path.exists():
        return None
    retry_until = time.monotonic() + BUSY_TIMEOUT_S
    while True:
        try:
            link = unix_socket.connect(path, OFFER_TIMEOUT_S)
        except (ConnectionRefusedError, FileNotFoundError):
            return None  # left over from a killed process
        except OSError as error:
            log(f"hand-over: starting alone: {error.strerror or error}")
            return None
        try:
            return _request_offer(link, name)
        except (OSError, MessageError) as error:
            link.close()
            reason = "no answer" if isinstance(error, TimeoutError) else str(error)
            if reason != "busy" or time.monotonic() > retry_until:
                log(f"hand-over: starting alone: {reason}")
                return None
        time.sleep(RETRY_S)


def _request_offer(link: socket.socket, name: str) -> ReceivedOffer:
    unix_socket.send(link, Hello(name, ids=True))
    received = unix_socket.receive(link)
    if received is None:
        raise MessageError("the other process has ended")
    message, files = received
    _, action = new_process_step(NewProcessState.ASKED, message)
    if action is not Action.TAKE or not isinstance(message, Offer):
        unix_socket.close(files)
        raise MessageError(message.reason if isinstance(message, No) else "no offer")
    sockets = [socket.socket(fileno=fd) for fd in files[:-1]]
    with os.fdopen(files[-1], "rb") as file:
        file.seek(0)
        beliefs = file.read(MAX_BYTES + 1)  # one byte more, so that a longer one is rejected
    for sock in (link, *sockets):
        sock.setblocking(False)
    return ReceivedOffer(link, message, sockets[0], sockets[1] if message.peers else None, beliefs)


class NewProcess:
    """The connection to the old process, from the offer until that process ends."""

    def __init__(
        self, offer: ReceivedOffer, loop: asyncio.AbstractEventLoop, *,
        adopt: Callable[[socket.socket], None], share: Callable[[Held | None], None], log: Callable[[str], None],
        ids: TakenIds,
    ) -> None:
        self.link, self.loop = offer.link, loop
        self.adopt, self.share, self.log = adopt, share, log
        self.state = NewProcessState.TAKEN
        self.adopted = 0
        self.exchange = IdExchange(ids, offer.link, loop) if offer.offer.ids else None

    def ready(self) -> None:
        """Notifies the old process that this one serves."""
        self.state = NewProcessState.SERVING
        self.loop.add_reader(self.link.fileno(), self._read)
        try:
            unix_socket.send(self.link, Ready())
        except OSError as error:
            self._finish(str(error))
            return
        if self.exchange is not None:
            self.exchange.start()

    def _read(self) -> None:
        try:
            received = unix_socket.receive(self.link)
        except (BlockingIOError, InterruptedError):
            return
        except (OSError, MessageError) as error:
            self._finish(str(error))
            return
        if received is None:
            self._finish("")
            return
        message, files = received
        self.state, action = new_process_step(self.state, message)
        if action is Action.ADOPT and isinstance(message, Clients):
            for fd in files:
                sock = socket.socket(fileno=fd)
                sock.setblocking(False)
                self.adopted += 1
                self.adopt(sock)
        elif action is Action.SHARE and isinstance(message, Held):
            self.share(message)
        elif action is Action.RECORD and isinstance(message, Taken) and self.exchange is not None:
            self.exchange.received(message)
        else:
            unix_socket.close(files)
            self._finish(f"unexpected {type(message).__name__}")

    def _finish(self, reason: str) -> None:
        """Ends the hand-over after the old process has ended or sent an invalid message; this process is alone."""
        self.log(f"hand-over: over, {self.adopted} connections taken over" + (f"; {reason}" if reason else ""))
        self.close()
        self.share(None)

    def close(self) -> None:
        """Closes the connection to the old process."""
        if self.exchange is not None:
            self.exchange.stop()
        self.loop.remove_reader(self.link.fileno())
        self.link.close()
