"""Turns the nodes' cumulative counters into counts per interval of the judge's own time.  No I/O, no clock.

The nodes' wall clocks are not trusted: a reading is dated by its arrival, and the length of its interval comes from
the process's uptime.  A clock that is minutes off, a duplicate, late or reordered reading, and counters that a
restart has reset to 0 therefore do not distort the counts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import inf

import msgspec

MAX_INTERVALS = 4_000  # per node; over an hour at one reading per second
MAX_NODES = 5_000
MAX_PROCESSES = 8  # earlier processes remembered per node, so that a late reading of one is recognised
MAX_COUNTS = 200  # per reading


class Reading(msgspec.Struct, frozen=True):
    """A report of one process: its counters since its start and its current ``gauges``.

    ``process`` identifies it (pid with start time and boot); ``up_s`` is its uptime by its own monotonic clock.
    """

    node: str
    site: str
    generation: str
    process: str
    up_s: float
    counts: Mapping[str, float]
    gauges: Mapping[str, float]


class Interval(msgspec.Struct, frozen=True):
    """The counts of one process in the ``span_s`` seconds up to ``at`` (seconds of the judge's time).

    ``age_s`` is the uptime of the process at the end of the interval.
    """

    at: float
    span_s: float
    age_s: float
    generation: str
    counts: Mapping[str, float]
    gauges: Mapping[str, float]


class _NodeHistory:
    __slots__ = ("site", "process", "up_s", "counts", "past_processes", "intervals", "received_at", "starts")

    def __init__(self, site: str) -> None:
        self.site, self.process, self.up_s = site, "", -1.0
        self.counts: Mapping[str, float] = {}
        self.past_processes: deque[str] = deque(maxlen=MAX_PROCESSES)
        self.intervals: deque[Interval] = deque(maxlen=MAX_INTERVALS)
        self.received_at = 0.0
        self.starts: list[float] = []  # arrival of the first reading of each process after the first one


class Intake:
    """Collects the readings of all nodes.

    ``rejected`` counts the rejected readings by reason.  ``started_at`` is when the intake started; silence before it
    is not held against a node.
    """

    def __init__(self, started_at: float = -inf) -> None:
        self.started_at = started_at
        self.nodes: dict[str, _NodeHistory] = {}
        self.rejected: dict[str, int] = {}

    def add(self, r: Reading, now: float) -> bool:
        """Add a reading and return whether it was accepted.  ``now``: seconds of the judge's monotonic clock."""
        history = self.nodes.get(r.node)
        if history is None:
            if len(self.nodes) >= MAX_NODES:
                return self._reject("too many nodes")
            history = self.nodes[r.node] = _NodeHistory(r.site)
        if len(r.counts) > MAX_COUNTS or any(not 0 <= v < 1e15 for v in r.counts.values()) or not r.up_s >= 0:
            return self._reject("invalid figures")
        if r.process in history.past_processes:
            return self._reject("from an earlier process")
        first = not history.process
        if r.process != history.process:
            if not first:
                history.past_processes.append(history.process)
                history.starts.append(now)
                del history.starts[:-MAX_INTERVALS]
            history.process, history.up_s, history.counts = r.process, 0.0, {}
        elif r.up_s <= history.up_s:
            return self._reject("duplicate or out of order")
        before, history.counts = history.counts, dict(r.counts)
        span, history.up_s = r.up_s - history.up_s, r.up_s
        history.site, history.received_at = r.site, now
        if first:
            return True  # counts from before the first reading cannot be dated
        delta = {name: value - before.get(name, 0.0) for name, value in r.counts.items()}
        if any(value < 0 for value in delta.values()):
            return self._reject("counts went backwards")
        history.intervals.append(Interval(now, span, r.up_s, r.generation, delta, dict(r.gauges)))
        return True

    def _reject(self, reason: str) -> bool:
        self.rejected[reason] = self.rejected.get(reason, 0) + 1
        return False

    def sums(
        self, node: str, since: float, until: float, generation: str | None = None, min_age_s: float = 0.0,
    ) -> dict[str, float]:
        """Return a node's counts over the intervals that lie entirely between ``since`` and ``until``.

        Only processes of ``generation`` (None: any) with an uptime of at least ``min_age_s`` count.  ``spans`` is
        the total length of the intervals in seconds.
        """
        out: dict[str, float] = {"spans": 0.0}
        history = self.nodes.get(node)
        for s in history.intervals if history is not None else ():
            if s.at > until or s.at - s.span_s < since - 1e-9 or s.age_s - s.span_s < min_age_s - 1e-9:
                continue
            if generation is not None and s.generation != generation:
                continue
            out["spans"] += s.span_s
            for name, value in s.counts.items():
                out[name] = out.get(name, 0.0) + value
        return out

    def gauge(self, node: str, name: str, since: float) -> list[tuple[float, float]]:
        """Return the (time, value) pairs of a gauge since ``since``, of the current process only."""
        history = self.nodes.get(node)
        if history is None:
            return []
        rows = [(s.at, s.age_s, s.gauges[name]) for s in history.intervals if s.at >= since and name in s.gauges]
        while rows and any(b[1] < a[1] for a, b in zip(rows, rows[1:], strict=False)):
            rows.pop(0)
        return [(at, value) for at, _, value in rows]

    def silent_s(self, node: str, now: float) -> float:
        """Return the seconds since the node's last accepted reading, or since the intake started."""
        history = self.nodes.get(node)
        return now - (max(history.received_at, self.started_at)
                      if history is not None and history.process else self.started_at)

    def latest(self, node: str) -> Mapping[str, float]:
        """Return the node's last gauges; empty with fewer than two readings."""
        history = self.nodes.get(node)
        return history.intervals[-1].gauges if history is not None and history.intervals else {}

    def starts(self, node: str, since: float) -> int:
        """Return the number of the node's new processes whose first reading came at or after ``since``."""
        history = self.nodes.get(node)
        return sum(at >= since for at in history.starts) if history is not None else 0
