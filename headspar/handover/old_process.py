"""The old process's side of a hand-over: listens for a new process and passes it the sockets.

Connections of clients are passed between two requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from pathlib import Path
from typing import Protocol

from headspar.handover import unix_socket
from headspar.handover.id_exchange import IdExchange
from headspar.handover.messages import MAX_SOCKETS, Clients, Held, Hello, MessageError, No, Offer, Taken
from headspar.handover.transitions import Action, OldProcessState, old_process_step
from headspar.node.taken_ids import TakenIds

REPORT_INTERVAL_S = 0.1
RETRY_S = 0.005  # while the socket to the new process is full
HELLO_TIMEOUT_S = 1.0


class HandoverHost(Protocol):
    """The interface that ``OldProcess`` needs of its process."""

    def make_offer(self) -> tuple[Offer, list[int], bytes]:
        """A new process starts: returns the offer, the descriptors for it, and the serialized learned state."""

    def on_successor_ready(self) -> None:
        """The new process serves: stops accepting connections."""

    def idle_clients(self, most: int) -> list[int]:
        """Returns the descriptors of up to ``most`` clients between requests.

        They stay owned until ``on_clients_transferred``.
        """

    def on_clients_transferred(self, files: list[int]) -> None:
        """The new process has these descriptors: closes them here."""

    def held_resources(self) -> Held:
        """Returns the numbers of clients, backend connections and requests that this process still holds."""

    def on_successor_gone(self) -> None:
        """The new process has ended."""


class OldProcess:
    """Listens for a new process and hands over to the one that has connected."""

    def __init__(self, process: HandoverHost, loop: asyncio.AbstractEventLoop, path: Path, ids: TakenIds) -> None:
        self.process, self.loop, self.path, self.ids = process, loop, path, ids
        self.exchange: IdExchange | None = None
        self.state = OldProcessState.ALONE
        self.link: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._bind()

    def _bind(self) -> None:
        self.sock = unix_socket.bind(self.path)
        self.inode = os.stat(self.path).st_ino
        self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        try:
            link, _ = self.sock.accept()
        except OSError:
            return
        try:
            unix_socket.check_user(link)
            link.setblocking(False)
            if self.link is not None:
                unix_socket.send(link, No("busy"))
                link.close()
                return
        except OSError:
            link.close()
            return
        self.link = link
        self.loop.add_reader(link.fileno(), self._read)
        self.timer = self.loop.call_later(HELLO_TIMEOUT_S, self._hello_timeout)

    def _hello_timeout(self) -> None:
        if self.state is OldProcessState.ALONE:
            self._stop()

    def _read(self) -> None:
        assert self.link is not None
        try:
            received = unix_socket.receive(self.link)
            if received is None:
                self._stop()
                return
            message, files = received
            unix_socket.close(files)  # a new process sends none
            self.state, action = old_process_step(self.state, message)
            if action is Action.OFFER:
                self._send_offer(self.link)
                if isinstance(message, Hello) and message.ids:
                    self.exchange = IdExchange(self.ids, self.link, self.loop)
                    self.exchange.start()
            elif action is Action.RECORD and self.exchange is not None and isinstance(message, Taken):
                self.exchange.received(message)
            elif action is Action.HAND_OVER:
                self.process.on_successor_ready()
                self._hand_over()
            else:
                self._stop()
        except (BlockingIOError, InterruptedError):
            return
        except (OSError, MessageError):
            self._stop()

    def _send_offer(self, link: socket.socket) -> None:
        offer, files, beliefs = self.process.make_offer()
        memory = os.memfd_create("headspar", os.MFD_CLOEXEC)
        try:
            with open(memory, "wb", closefd=False) as file:
                file.write(beliefs)
            unix_socket.send(link, offer, [*files, memory])
        finally:
            os.close(memory)

    # ------------------------------------------------------------ hand-over of clients

    def on_client_idle(self) -> None:
        """A client has become idle between two requests: hands it over at once."""
        if self.state is OldProcessState.SUCCEEDED and self.link is not None:
            self._send_clients(self.link)

    def _hand_over(self) -> None:
        """Hands over idle clients and reports what is still held, then repeats this after a delay."""
        self._cancel()
        if self.state is not OldProcessState.SUCCEEDED or self.link is None:
            return
        socket_full = not self._send_clients(self.link)
        if self.link is None:
            return
        with contextlib.suppress(OSError):  # the next report repeats it
            unix_socket.send(self.link, self.process.held_resources())
        self.timer = self.loop.call_later(RETRY_S if socket_full else REPORT_INTERVAL_S, self._hand_over)

    def _send_clients(self, link: socket.socket) -> bool:
        """Hands over all idle clients; returns False if the socket to the new process is full."""
        while True:
            files = self.process.idle_clients(MAX_SOCKETS)
            if not files:
                return True
            try:
                unix_socket.send(link, Clients(len(files)), files)
            except BlockingIOError:
                return False
            except OSError:
                self._stop()
                return True
            self.process.on_clients_transferred(files)

    # ------------------------------------------------------------ end of the hand-over

    def _cancel(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _stop(self) -> None:
        """Ends the hand-over after the new process has died or sent an invalid message."""
        self._cancel()
        self._stop_exchange()
        link, self.link = self.link, None
        if link is not None:
            self.loop.remove_reader(link.fileno())
            link.close()
        previous, self.state = self.state, OldProcessState.ALONE
        if previous is OldProcessState.SUCCEEDED:  # its socket file has replaced ours
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            with contextlib.suppress(OSError):
                self._bind()
        if previous is not OldProcessState.ALONE:
            self.process.on_successor_gone()

    def _stop_exchange(self) -> None:
        if self.exchange is not None:
            self.exchange.stop()
            self.exchange = None

    def close(self) -> None:
        """Closes all sockets; removes the socket file unless it is the new process's."""
        self._cancel()
        self._stop_exchange()
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        if self.link is not None:
            self.loop.remove_reader(self.link.fileno())
            self.link.close()
            self.link = None
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self.inode:
                self.path.unlink()
