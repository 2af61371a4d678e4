"""The attempts that wait for a connection to one server, the one that has waited longest first; without I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from headspar.connections.plan import Plan


class Waiter(Protocol):
    """An attempt, as far as waiting goes."""

    ended: bool
    sent_at: int


W = TypeVar("W", bound=Waiter)


class Waiters(Generic[W]):
    """``fit(attempt)``: whether one may still be sent now.  ``moot(attempt)`` ends one that will get no connection:
    it never ran, and may go elsewhere.  ``making``: connections that are being made, the attempts' and spares."""

    __slots__ = ("server", "plan", "fit", "moot", "line", "making")

    def __init__(
        self, server: str, plan: Plan, fit: Callable[[W], bool], moot: Callable[[W], None]
    ) -> None:
        self.server, self.plan, self.fit, self.moot = server, plan, fit, moot
        self.line: deque[W] = deque()
        self.making = 0

    def next(self) -> W | None:
        """The one that is to have a connection now, taken out of the line."""
        while self.line:
            attempt = self.line.popleft()
            self.plan.waits_no_more(self.server)
            if attempt.ended:
                continue
            if self.fit(attempt):
                return attempt
            self.moot(attempt)
        return None

    def wait_no_longer(self, now: int, connect_us: int) -> None:
        """None waits once no connection is being made, nor for longer than one may take and a half again."""
        while self.line and (not self.making or now - self.line[0].sent_at > 3 * connect_us // 2):
            attempt = self.next()
            if attempt is not None:
                self.moot(attempt)

    def leave(self) -> list[W]:
        """Empty the line, of a server that is gone: the plan has forgotten it with all that waited."""
        out = list(self.line)
        self.line.clear()
        return out
