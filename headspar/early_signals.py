"""Records a SIGHUP that arrives before the node can handle it. Import this module before anything that takes time.

By default SIGHUP ends a Python process. From the import on the signal is recorded; once the node serves, it installs
its own handler and reloads the configuration if a SIGHUP has arrived in the meantime.
"""

from __future__ import annotations

import signal
from types import FrameType

_sighup_received = False


def _on_sighup(number: int, frame: FrameType | None) -> None:
    global _sighup_received
    _sighup_received = True


def reload_wanted() -> bool:
    """Return whether SIGHUP has arrived since the import or since the previous call."""
    global _sighup_received
    received, _sighup_received = _sighup_received, False
    return received


signal.signal(signal.SIGHUP, _on_sighup)
