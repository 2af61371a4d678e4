"""The FIFO queue of attempts that wait for a connection to one server; without I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from headspar.connections.plan import Plan


class Waiter(Protocol):
    """The fields of an attempt that the queue uses; ``sent_at`` in us."""

    ended: bool
    sent_at: int


W = TypeVar("W", bound=Waiter)


class Waiters(Generic[W]):
    """The waiting attempts of one server.

    ``may_send(attempt)`` tells whether an attempt may still be sent.  ``abandon(attempt)`` ends one that gets no
    connection: it was never sent and may go elsewhere.  ``making`` counts the connections that are being opened, for
    attempts and as spares.
    """

    __slots__ = ("server", "plan", "may_send", "abandon", "line", "making")

    def __init__(
        self, server: str, plan: Plan, may_send: Callable[[W], bool], abandon: Callable[[W], None]
    ) -> None:
        self.server, self.plan, self.may_send, self.abandon = server, plan, may_send, abandon
        self.line: deque[W] = deque()
        self.making = 0

    def next(self) -> W | None:
        """Removes and returns the next attempt to get a connection; None if there is none."""
        while self.line:
            attempt = self.line.popleft()
            self.plan.stop_waiting(self.server)
            if attempt.ended:
                continue
            if self.may_send(attempt):
                return attempt
            self.abandon(attempt)
        return None

    def wait_no_longer(self, now: int, connect_us: int) -> None:
        """Abandons attempts when no connection is being opened or in quarantine, or after 1.5 times the connect
        timeout."""
        expected = self.making or self.plan.next_usable_at(self.server, now) is not None
        while self.line and (not expected or now - self.line[0].sent_at > 3 * connect_us // 2):
            attempt = self.next()
            if attempt is not None:
                self.abandon(attempt)

    def take_all(self) -> list[W]:
        """Empties the queue, because each of its attempts asks the plan again; returns those that may be sent."""
        out: list[W] = []
        while (attempt := self.next()) is not None:
            out.append(attempt)
        return out

    def leave(self) -> list[W]:
        """Empties the queue after the server was removed; the plan has already dropped its waiting count."""
        out = list(self.line)
        self.line.clear()
        return out
