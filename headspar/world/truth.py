"""Actual state of the servers over a run, reconstructed from the lab's records.  Performs no I/O."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from headspar.world.machine import warm_share
from headspar.world.records import Recording

DOWN, UP = ("die", "fell", "vanish"), ("start", "return")


@dataclass(slots=True)
class Change:
    """State of a server from ``at`` (us) on: whether it is up, when it ``started`` cold (us; -1: warm since before
    the run), its slowdown factor, and the share of requests that it turns away."""

    at: int
    up: bool
    started: int
    slow: float
    away: float


class Truth:
    """State of each server at any time of a run."""

    def __init__(self, recording: Recording) -> None:
        self.rules = recording.rules
        self.changes: dict[str, list[Change]] = {}
        started_at = {step.server: step.at for step in reversed(recording.starts)}
        for id in self.rules.servers:
            own = sorted((m for m in recording.marks if m.target == id), key=lambda m: m.at)
            # A server whose first event is a start did not exist at the beginning of the run.
            initially_up = not (id in started_at and (not own or own[0].what == "start"))
            rows = [Change(0, initially_up, -1, 1.0, 0.0)]
            for m in own:
                last = rows[-1]
                new = Change(m.at, last.up, last.started, last.slow, last.away)
                if m.what in DOWN:
                    new.up = False
                elif m.what in UP:
                    new.up = True
                    if m.what == "start":
                        new.started = m.at
                elif m.what == "slow":
                    new.slow = 1.0 if m.text == "mend" else max(0.01, m.value)
                elif m.what == "turn_away":
                    new.away = 0.0 if m.text == "mend" else m.value
                else:
                    continue
                rows.append(new)
            self.changes[id] = rows

    def at(self, server: str, at: int) -> Change:
        """State of ``server`` at a time of the monotonic clock (us)."""
        rows = self.changes[server]
        return rows[max(0, bisect_right([row.at for row in rows], at) - 1)]

    def share(self, server: str, at: int) -> float:
        """The share of its warm capacity that ``server`` has available for requests at a time of the monotonic
        clock (us)."""
        c = self.at(server, at)
        if not c.up:
            return 0.0
        rule = self.rules.servers[server]
        warm = 1.0 if c.started < 0 else warm_share(rule.cold_share, rule.ramp_us, at - c.started)
        return warm / c.slow * (1 - c.away)

    def capacity(self, at: int) -> float:
        """Capacity of all servers together at a time of the monotonic clock, in microseconds of work per second."""
        return sum(rule.capacity * self.share(id, at) for id, rule in self.rules.servers.items())
