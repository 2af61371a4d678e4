"""The states of a node's process, with every transition in one table; without I/O.

``/healthz``, ``/healthcheck``, SIGTERM, a drain and an upgrade all read and move this one state.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class State(Enum):
    """Where a process stands."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"  # clients are sent away until the second call
    HANDING_OVER = "handing over"  # a successor serves; connections go over to it
    LEAVING = "handing over, ending"  # and SIGTERM has come
    ENDING = "ending"  # SIGTERM has come, and there is no successor


class Cause(Enum):
    """What moves it."""

    STARTED = "started"
    FAIL = "fail"  # the operators' first call
    OK = "ok"  # their second
    SUCCEEDED = "succeeded"  # a second process has said yes
    ALONE = "alone"  # that process is gone again
    TERM = "term"


S, C = State, Cause
# What is missing is not allowed: the state stays, and a caller is told no.
TABLE: dict[tuple[State, Cause], State] = {
    (S.STARTING, C.STARTED): S.READY,
    (S.STARTING, C.TERM): S.ENDING,
    (S.READY, C.FAIL): S.DRAINING,
    (S.READY, C.OK): S.READY,
    (S.READY, C.SUCCEEDED): S.HANDING_OVER,
    (S.READY, C.TERM): S.ENDING,
    (S.DRAINING, C.FAIL): S.DRAINING,
    (S.DRAINING, C.OK): S.READY,
    (S.DRAINING, C.SUCCEEDED): S.HANDING_OVER,
    (S.DRAINING, C.TERM): S.ENDING,
    (S.HANDING_OVER, C.FAIL): S.HANDING_OVER,  # they are away already
    (S.HANDING_OVER, C.ALONE): S.READY,
    (S.HANDING_OVER, C.TERM): S.LEAVING,
    (S.LEAVING, C.FAIL): S.LEAVING,
    (S.LEAVING, C.TERM): S.LEAVING,
    (S.LEAVING, C.ALONE): S.ENDING,
    (S.ENDING, C.FAIL): S.ENDING,
    (S.ENDING, C.SUCCEEDED): S.LEAVING,
    (S.ENDING, C.ALONE): S.ENDING,
    (S.ENDING, C.TERM): S.ENDING,
}


class Lifecycle:
    """The state of this process; ``watchers`` are told of each change."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.watchers: list[Callable[[State], None]] = []

    def move(self, cause: Cause) -> bool:
        """Whether ``cause`` is allowed now; if so the state is what the table says."""
        after = TABLE.get((self.state, cause))
        if after is None:
            return False
        if after is not self.state:
            self.state = after
            for watcher in self.watchers:
                watcher(after)
        return True

    @property
    def ready(self) -> bool:
        """Whether clients may be sent here: the answer to ``/healthz`` and ``/healthcheck``."""
        return self.state is State.READY

    @property
    def sends_away(self) -> bool:
        """Whether each answer closes its connection."""
        return self.state is State.DRAINING or self.state is State.ENDING

    @property
    def hands_over(self) -> bool:
        """Whether a connection between two requests goes over to a successor."""
        return self.state is State.HANDING_OVER or self.state is State.LEAVING

    @property
    def ending(self) -> bool:
        """Whether SIGTERM has come."""
        return self.state is State.ENDING or self.state is State.LEAVING
