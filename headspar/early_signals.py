"""SIGHUP before the node can act on it; to be imported before anything that takes time.

Python's default ends the process on SIGHUP.  From the import on the signal is noted; once the node serves, it takes
the handler over and reads the configuration anew if one has come meanwhile.
"""

from __future__ import annotations

import signal
from types import FrameType

_came = False


def _note(number: int, frame: FrameType | None) -> None:
    global _came
    _came = True


def reload_wanted() -> bool:
    """Whether SIGHUP has come since the import, or since this was asked last."""
    global _came
    came, _came = _came, False
    return came


signal.signal(signal.SIGHUP, _note)
