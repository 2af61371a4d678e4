"""The process that starts: it asks for the sockets of the one that serves, and then serves what comes over."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from headspar.handover import meeting
from headspar.handover.beliefs import MOST_BYTES
from headspar.handover.messages import Clients, Held, Hello, MessageError, No, Offer, Ready
from headspar.handover.sides import Do, Taking, taker

PATIENCE_S = 1.5  # for the offer
BUSY_S = 3.0  # for another start that stands before this one
AGAIN_S = 0.1


@dataclass(slots=True)
class Taken:
    """What the serving process has offered; ``link`` is the connection to it."""

    link: socket.socket
    offer: Offer
    listener: socket.socket
    peers: socket.socket | None
    beliefs: bytes


def ask(path: Path | None, name: str, say: Callable[[str], None]) -> Taken | None:
    """Ask the process at ``path`` for its sockets; None where the start goes on alone, said in one line unless
    nobody was there.  Blocks: nothing is served yet."""
    if path is None or not path.exists():
        return None
    end = time.monotonic() + BUSY_S
    while True:
        try:
            link = meeting.connect(path, PATIENCE_S)
        except (ConnectionRefusedError, FileNotFoundError):
            return None  # its process has been killed
        except OSError as error:
            say(f"hand-over: starting alone: {error.strerror or error}")
            return None
        try:
            return _offer(link, name)
        except (OSError, MessageError) as error:
            link.close()
            reason = "no answer" if isinstance(error, TimeoutError) else str(error)
            if reason != "busy" or time.monotonic() > end:
                say(f"hand-over: starting alone: {reason}")
                return None
        time.sleep(AGAIN_S)


def _offer(link: socket.socket, name: str) -> Taken:
    meeting.send(link, Hello(name))
    got = meeting.receive(link)
    if got is None:
        raise MessageError("the other process has ended")
    message, files = got
    _, do = taker(Taking.ASKED, message)
    if do is not Do.TAKE or not isinstance(message, Offer):
        meeting.close(files)
        raise MessageError(message.reason if isinstance(message, No) else "no offer")
    sockets = [socket.socket(fileno=fd) for fd in files[:-1]]
    with os.fdopen(files[-1], "rb") as file:
        file.seek(0)
        beliefs = file.read(MOST_BYTES + 1)  # longer ones are turned down
    for sock in (link, *sockets):
        sock.setblocking(False)
    return Taken(link, message, sockets[0], sockets[1] if message.peers else None, beliefs)


class Taker:
    """The connection to the process that served before, from our yes to its end."""

    def __init__(
        self, taken: Taken, loop: asyncio.AbstractEventLoop, *,
        adopt: Callable[[socket.socket], None], share: Callable[[Held | None], None], log: Callable[[str], None],
    ) -> None:
        self.link, self.loop = taken.link, loop
        self.adopt, self.share, self.log = adopt, share, log
        self.state = Taking.TAKEN
        self.adopted = 0

    def ready(self) -> None:
        """Say that this process serves."""
        self.state = Taking.SERVING
        self.loop.add_reader(self.link.fileno(), self._read)
        try:
            meeting.send(self.link, Ready())
        except OSError as error:
            self._end(str(error))

    def _read(self) -> None:
        try:
            got = meeting.receive(self.link)
        except (BlockingIOError, InterruptedError):
            return
        except (OSError, MessageError) as error:
            self._end(str(error))
            return
        if got is None:
            self._end("")
            return
        message, files = got
        self.state, do = taker(self.state, message)
        if do is Do.ADOPT and isinstance(message, Clients):
            for fd in files:
                sock = socket.socket(fileno=fd)
                sock.setblocking(False)
                self.adopted += 1
                self.adopt(sock)
        elif do is Do.SHARE and isinstance(message, Held):
            self.share(message)
        else:
            meeting.close(files)
            self._end(f"said {type(message).__name__}")

    def _end(self, reason: str) -> None:
        """The other process has ended, or can't be understood: this one is alone."""
        self.log(f"hand-over: over, {self.adopted} connections came" + (f"; {reason}" if reason else ""))
        self.close()
        self.share(None)

    def close(self) -> None:
        self.loop.remove_reader(self.link.fileno())
        self.link.close()
