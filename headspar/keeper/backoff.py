"""Restart backoff: exponential with jitter and a ceiling.  No I/O, no clock.

Each node draws its own delay, so that nodes of one host or site that fail together don't restart in step.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackoffSettings:
    """Times in seconds.  ``spread``: upper end of the random delay before the first start and before the first
    restart after a long healthy run."""

    first: float = 0.25
    ceiling: float = 30.0
    spread: float = 0.5
    healthy: float = 60.0  # a run of this length resets the backoff


class RestartBackoff:
    """Backoff state of one node: its consecutive failures."""

    def __init__(self, settings: BackoffSettings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.failures = 0

    def restart_delay(self, served_s: float) -> float:
        """Seconds until the next start, after a process that had served for ``served_s`` seconds (0: never ready)."""
        s = self.settings
        if served_s >= s.healthy:
            self.failures = 0
        self.failures += 1
        if self.failures == 1:
            return self.initial_delay()
        delay = min(s.ceiling, s.spread + s.first * 2.0 ** min(30, self.failures - 2))
        return delay * self.rng.uniform(0.25, 1.0)

    def initial_delay(self) -> float:
        """Seconds until the first start on a machine, which is not counted as a failure."""
        return self.rng.uniform(0, self.settings.spread)

    def note_uptime(self, served_s: float) -> None:
        """Reset the backoff once the running process has served for long enough."""
        if served_s >= self.settings.healthy:
            self.failures = 0
