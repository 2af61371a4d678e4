"""Protocols between the parts of the model, so that no module imports another only for a type.

``node`` imports ``servers``; callers, discovery and servers use a node only through the protocols below, and
``simulate`` connects them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from headspar.interface import BackendList, Outcome, Settings
from headspar.world.plan import Call


class InboundAttempt(Protocol):
    """A client attempt as a node sees it.  ``request`` belongs to the node; ``over`` is set when the attempt ends."""

    call: Call
    index: int
    number: int
    names: Any
    sent_at: int
    over: bool
    request: Any


class Attempt(Protocol):
    """A node's attempt as a server sees it; ``request.t`` is the client attempt."""

    call: int
    number: int
    request: Any
    ended: bool


class CallerFacingNode(Protocol):
    """A node's process as callers see it."""

    name: str
    alive: bool

    def arrived(self, t: Any, budget_us: int) -> None:
        """The last byte of a client attempt has arrived."""

    def client_gone(self, t: Any) -> None:
        """The client has closed the connection."""


class DiscoveryFacingNode(Protocol):
    """A node's process as discovery sees it."""

    name: str
    alive: bool
    settings: Settings

    def enqueue(self, cost: float, call: Callable[..., None], *args: Any) -> None:
        """Queues a message that takes ``cost`` us of processor time."""

    def start(self, event: BackendList) -> None:
        """Starts the node with its initial backend list."""

    def on_backend_list(self, event: BackendList) -> None:
        """Handles a list update or a failed call."""


class ServerFacingNode(Protocol):
    """A node's process as servers see it; connections are ``servers.Connection``."""

    name: str

    def connected(self, conn: Any, up: bool) -> None:
        """A connection was established (``up``) or refused."""

    def answered(self, conn: Any, attempt: Any, outcome: Outcome, in_order: bool = True) -> None:
        """Handles the result of an attempt."""

    def server_ended(self, conns: list[Any]) -> None:
        """The server's process has ended and reset these connections."""
