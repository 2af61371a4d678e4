"""The node's clock."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return the node's monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000
