"""Failpoints: named places at which tests make a process fail.  Off unless the environment enables them.

``HEADSPAR_FAILPOINTS="keeper.spawned=kill, record.intent=stop@3, keeper.state=ENOSPC"``: when execution reaches the
failpoint, the process receives SIGKILL or SIGSTOP, or an ``OSError`` with that error number is raised.  ``@3``
selects the third time the failpoint is reached, ``@3+`` the third and all later times.  The default is the first.
"""

from __future__ import annotations

import errno
import os
import signal
from collections.abc import Mapping

VARIABLE = "HEADSPAR_FAILPOINTS"


class FailpointError(ValueError):
    """A failpoint definition that can't be parsed; the text quotes it."""


class _Point:
    """The action of one failpoint and the hits that trigger it."""

    def __init__(self, text: str) -> None:
        name, equals, rest = text.partition("=")
        self.name = name.strip()
        action, _, when = rest.strip().partition("@")
        self.action = action
        self.repeats = when.endswith("+")
        number = when.rstrip("+") or "1"
        known = action in ("kill", "stop") or hasattr(errno, action)
        if not self.name or not equals or not known or not number.isdigit():
            raise FailpointError(f"{VARIABLE}: {text.strip()!r}: needs NAME=kill|stop|ERRNO[@N[+]]")
        self.first_hit = int(number)
        self.hits = 0

    def hit(self) -> None:
        self.hits += 1
        if self.hits != self.first_hit and not (self.repeats and self.hits > self.first_hit):
            return
        if self.action == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif self.action == "stop":
            os.kill(os.getpid(), signal.SIGSTOP)
        else:
            number = getattr(errno, self.action)
            raise OSError(number, os.strerror(number), self.name)


_points: dict[str, list[_Point]] = {}


def arm(environ: Mapping[str, str]) -> None:
    """Replace all failpoints by those of the environment; ``FailpointError`` if one can't be parsed."""
    _points.clear()
    for text in filter(str.strip, environ.get(VARIABLE, "").split(",")):
        point = _Point(text)
        _points.setdefault(point.name, []).append(point)


def failpoint(name: str) -> None:
    """Run the actions enabled for this failpoint, if any."""
    for point in _points.get(name, ()):
        point.hit()
