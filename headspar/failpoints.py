"""Named places at which a process can be made to fail, for tests that break it there; off unless told otherwise.

``HEADSPAR_FAILPOINTS="keeper.spawned=kill, record.intent=stop@3, keeper.state=ENOSPC"``: at the place (the third time
it is come by, with ``@3``) the process is killed, stopped, or the call there fails with that error.  With ``@3+`` it
fails from the third time on.
"""

from __future__ import annotations

import errno
import os
import signal
from collections.abc import Mapping

VARIABLE = "HEADSPAR_FAILPOINTS"


class FailpointError(ValueError):
    """A failpoint that can't be read; the text names it."""


class _Point:
    """What happens at one place, and at which of its passes."""

    def __init__(self, text: str) -> None:
        name, equals, rest = text.partition("=")
        self.name = name.strip()
        what, _, when = rest.strip().partition("@")
        self.what = what
        self.onward = when.endswith("+")
        number = when.rstrip("+") or "1"
        known = what in ("kill", "stop") or hasattr(errno, what)
        if not self.name or not equals or not known or not number.isdigit():
            raise FailpointError(f"{VARIABLE}: {text.strip()!r}: needs NAME=kill|stop|ERRNO[@N[+]]")
        self.at = int(number)
        self.passed = 0

    def meet(self) -> None:
        self.passed += 1
        if self.passed != self.at and not (self.onward and self.passed > self.at):
            return
        if self.what == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif self.what == "stop":
            os.kill(os.getpid(), signal.SIGSTOP)
        else:
            number = getattr(errno, self.what)
            raise OSError(number, os.strerror(number), self.name)


_points: dict[str, list[_Point]] = {}


def arm(environ: Mapping[str, str]) -> None:
    """Read the environment; ``FailpointError`` if it says what can't be."""
    _points.clear()
    for text in filter(str.strip, environ.get(VARIABLE, "").split(",")):
        point = _Point(text)
        _points.setdefault(point.name, []).append(point)


def failpoint(name: str) -> None:
    """A place; nothing happens here unless the environment has named it."""
    for point in _points.get(name, ()):
        point.meet()
