"""Routes operators' HTTP requests to their handlers; without I/O."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from headspar.operations.lifecycle import Cause, Lifecycle
from headspar.reason_phrases import REASONS
from headspar.request_target import read_path


@dataclass(slots=True)
class Reply:
    """One HTTP response; ``body`` is sent as JSON, ``allow`` as the ``Allow`` header."""

    status: int
    body: dict[str, Any] = field(default_factory=dict)
    allow: str = ""

    def encode(self) -> bytes:
        """Serializes the response, after which the connection closes."""
        body = json.dumps(self.body, separators=(",", ":")).encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status} {REASONS[self.status]}\r\nContent-Type: application/json\r\n{allow}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body


class Calls:
    """The endpoints of one process."""

    def __init__(
        self, lifecycle: Lifecycle, figures: Callable[[], dict[str, Any]],
        identity: Callable[[], dict[str, Any]] = dict, work: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        self.lifecycle, self.figures, self.identity, self.work = lifecycle, figures, identity, work
        self.table: dict[str, tuple[str, Callable[[], Reply]]] = {
            "/healthcheck": ("GET", self._healthcheck),
            "/stats": ("GET", lambda: Reply(200, self.figures())),
            "/identity": ("GET", lambda: Reply(200, self.identity())),
            "/work": ("GET", lambda: Reply(200, self.work())),
            "/healthcheck/fail": ("POST", lambda: self._change_state(Cause.FAIL)),
            "/healthcheck/ok": ("POST", lambda: self._change_state(Cause.OK)),
        }

    def answer(self, method: str, target: str) -> Reply:
        """Returns the response to a complete request; ``target`` as in the request line."""
        route = self.table.get(read_path(target.encode("latin-1")).decode("latin-1"))
        if route is None:
            return Reply(404, {"error": "no such endpoint"})
        allowed, handler = route
        if method != allowed:
            return Reply(405, {"error": f"method not allowed, use {allowed}"}, allowed)
        return handler()

    def _state_reply(self, status: int) -> Reply:
        return Reply(status, {"state": self.lifecycle.state.value})

    def _healthcheck(self) -> Reply:
        return self._state_reply(200 if self.lifecycle.ready else 503)

    def _change_state(self, cause: Cause) -> Reply:
        return self._state_reply(200 if self.lifecycle.move(cause) else 409)
