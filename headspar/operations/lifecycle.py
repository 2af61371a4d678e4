"""The lifecycle state machine of a node's process, with all transitions in one table; without I/O.

``/healthz``, ``/healthcheck``, SIGTERM, drains and upgrades all use this one state.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class State(Enum):
    """The state of a process."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"  # connections of clients are closed after their answers, until ``/healthcheck/ok``
    HANDING_OVER = "handing over"  # a new process serves; connections are handed over to it
    LEAVING = "handing over, ending"  # as above, after SIGTERM
    ENDING = "ending"  # after SIGTERM, without a new process


class Cause(Enum):
    """The cause of a transition."""

    STARTED = "started"
    FAIL = "fail"  # ``/healthcheck/fail``
    OK = "ok"  # ``/healthcheck/ok``
    NEW_PROCESS_READY = "succeeded"  # a new process has reported that it serves
    NEW_PROCESS_GONE = "alone"  # that process has ended
    TERM = "term"


S, C = State, Cause
# A transition that is not listed is rejected, and the state does not change.
TABLE: dict[tuple[State, Cause], State] = {
    (S.STARTING, C.STARTED): S.READY,
    (S.STARTING, C.TERM): S.ENDING,
    (S.READY, C.FAIL): S.DRAINING,
    (S.READY, C.OK): S.READY,
    (S.READY, C.NEW_PROCESS_READY): S.HANDING_OVER,
    (S.READY, C.TERM): S.ENDING,
    (S.DRAINING, C.FAIL): S.DRAINING,
    (S.DRAINING, C.OK): S.READY,
    (S.DRAINING, C.NEW_PROCESS_READY): S.HANDING_OVER,
    (S.DRAINING, C.TERM): S.ENDING,
    (S.HANDING_OVER, C.FAIL): S.HANDING_OVER,  # connections are already being handed over
    (S.HANDING_OVER, C.NEW_PROCESS_GONE): S.READY,
    (S.HANDING_OVER, C.TERM): S.LEAVING,
    (S.LEAVING, C.FAIL): S.LEAVING,
    (S.LEAVING, C.TERM): S.LEAVING,
    (S.LEAVING, C.NEW_PROCESS_GONE): S.ENDING,
    (S.ENDING, C.FAIL): S.ENDING,
    (S.ENDING, C.NEW_PROCESS_READY): S.LEAVING,
    (S.ENDING, C.NEW_PROCESS_GONE): S.ENDING,
    (S.ENDING, C.TERM): S.ENDING,
}


class Lifecycle:
    """Holds the state of this process and calls ``watchers`` on each change."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.watchers: list[Callable[[State], None]] = []

    def move(self, cause: Cause) -> bool:
        """Makes the transition for ``cause``; returns False if the table does not allow it."""
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
        """Whether load balancers may send clients here, as ``/healthz`` and ``/healthcheck`` report."""
        return self.state is State.READY

    @property
    def closes_connections(self) -> bool:
        """Whether each connection is closed after its answer."""
        return self.state is State.DRAINING or self.state is State.ENDING

    @property
    def hands_over(self) -> bool:
        """Whether connections between two requests are handed over to a new process."""
        return self.state is State.HANDING_OVER or self.state is State.LEAVING

    @property
    def ending(self) -> bool:
        """Whether SIGTERM has been received."""
        return self.state is State.ENDING or self.state is State.LEAVING
