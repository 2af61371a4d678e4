"""When what has died is started again: growing, drawn and with a ceiling; without I/O or clock.

Nodes of one host or site that die together draw each for itself, so that they don't come back in step.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PauseSettings:
    """Seconds.  ``spread``: within it the first start after long health is drawn."""

    first: float = 0.25
    ceiling: float = 30.0
    spread: float = 0.5
    healthy: float = 60.0  # after so long a node's earlier deaths are forgotten


class Pauses:
    """The deaths in a row of one node."""

    def __init__(self, settings: PauseSettings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.deaths = 0

    def died(self, lived: float) -> float:
        """Seconds until the next start, after a process that had served for ``lived`` seconds (0: never)."""
        s = self.settings
        if lived >= s.healthy:
            self.deaths = 0
        self.deaths += 1
        if self.deaths == 1:
            return self.begin()
        grown = min(s.ceiling, s.spread + s.first * 2.0 ** min(30, self.deaths - 2))
        return grown * self.rng.uniform(0.25, 1.0)

    def begin(self) -> float:
        """Seconds until the start of a node that has not run before: a machine's own start is no death."""
        return self.rng.uniform(0, self.settings.spread)

    def served(self, lived: float) -> None:
        """It serves, since ``lived`` seconds."""
        if lived >= self.settings.healthy:
            self.deaths = 0
