"""The process that serves: it listens for a successor and hands its sockets over, clients' ones between requests."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from pathlib import Path
from typing import Protocol

from headspar.handover import meeting
from headspar.handover.messages import MAX_SOCKETS, Clients, Held, MessageError, No, Offer
from headspar.handover.sides import Do, Giving, giver

LOOK_S = 0.1
AGAIN_S = 0.005  # when the successor has no room for a packet
HELLO_S = 1.0


class Serving(Protocol):
    """What a giver needs of the process it stands in."""

    def offered(self) -> tuple[Offer, list[int], bytes]:
        """A second process starts: the offer, its sockets, what is believed."""

    def succeeded(self) -> None:
        """It serves: stop accepting."""

    def idle(self, most: int) -> list[int]:
        """Descriptors of up to so many clients between requests; they stay ours until ``given``."""

    def given(self, files: list[int]) -> None:
        """These have gone over: end our side of them."""

    def held(self) -> Held:
        """What this process still holds."""

    def alone(self) -> None:
        """There is no second process any more."""


class Giver:
    """The socket for successors, and the one that has come."""

    def __init__(self, process: Serving, loop: asyncio.AbstractEventLoop, path: Path) -> None:
        self.process, self.loop, self.path = process, loop, path
        self.state = Giving.ALONE
        self.link: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._bind()

    def _bind(self) -> None:
        self.sock = meeting.bind(self.path)
        self.inode = os.stat(self.path).st_ino
        self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        try:
            link, _ = self.sock.accept()
        except OSError:
            return
        try:
            meeting.check_user(link)
            link.setblocking(False)
            if self.link is not None:
                meeting.send(link, No("busy"))
                link.close()
                return
        except OSError:
            link.close()
            return
        self.link = link
        self.loop.add_reader(link.fileno(), self._read)
        self.timer = self.loop.call_later(HELLO_S, self._no_hello)

    def _no_hello(self) -> None:
        if self.state is Giving.ALONE:
            self._stop()

    def _read(self) -> None:
        assert self.link is not None
        try:
            got = meeting.receive(self.link)
            if got is None:
                self._stop()
                return
            message, files = got
            meeting.close(files)  # a successor has none to give
            self.state, do = giver(self.state, message)
            if do is Do.OFFER:
                self._offer(self.link)
            elif do is Do.HAND_OVER:
                self.process.succeeded()
                self._look()
            else:
                self._stop()
        except (BlockingIOError, InterruptedError):
            return
        except (OSError, MessageError):
            self._stop()

    def _offer(self, link: socket.socket) -> None:
        offer, files, beliefs = self.process.offered()
        memory = os.memfd_create("headspar", os.MFD_CLOEXEC)
        try:
            with open(memory, "wb", closefd=False) as file:
                file.write(beliefs)
            meeting.send(link, offer, [*files, memory])
        finally:
            os.close(memory)

    # ------------------------------------------------------------ clients go over

    def changed(self) -> None:
        """A client stands between two requests: hand it over now."""
        if self.state is Giving.SUCCEEDED and self.link is not None:
            self._clients(self.link)

    def _look(self) -> None:
        self._cancel()
        if self.state is not Giving.SUCCEEDED or self.link is None:
            return
        full = not self._clients(self.link)
        if self.link is None:
            return
        with contextlib.suppress(OSError):  # the next one says it again
            meeting.send(self.link, self.process.held())
        self.timer = self.loop.call_later(AGAIN_S if full else LOOK_S, self._look)

    def _clients(self, link: socket.socket) -> bool:
        """Hand over all that can go; False if the successor has no room now."""
        while True:
            files = self.process.idle(MAX_SOCKETS)
            if not files:
                return True
            try:
                meeting.send(link, Clients(len(files)), files)
            except BlockingIOError:
                return False
            except OSError:
                self._stop()
                return True
            self.process.given(files)

    # ------------------------------------------------------------ the end

    def _cancel(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _stop(self) -> None:
        """No successor any more: it has died, or can't be understood."""
        self._cancel()
        link, self.link = self.link, None
        if link is not None:
            self.loop.remove_reader(link.fileno())
            link.close()
        before, self.state = self.state, Giving.ALONE
        if before is Giving.SUCCEEDED:  # its socket file stands over ours
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            with contextlib.suppress(OSError):
                self._bind()
        if before is not Giving.ALONE:
            self.process.alone()

    def close(self) -> None:
        """The process ends: the successor sees the connection end; our socket file goes, unless it is its own."""
        self._cancel()
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        if self.link is not None:
            self.loop.remove_reader(self.link.fileno())
            self.link.close()
            self.link = None
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self.inode:
                self.path.unlink()
