"""Figures of a node's flight record, to compare with the true state (``headspar.world.truth``); no I/O.

They show when a node's estimates fell, and how long after the servers were healthy again they recovered.
"""

from __future__ import annotations

from dataclasses import dataclass

from headspar.recorder.line import Row


@dataclass(slots=True)
class RecordTotals:
    """Totals of a node's record.  ``amplification``: attempts and callers' retries, divided by first tries."""

    firsts: int
    repeats: int
    refused: int
    failed: int
    served: int
    attempts: int
    amplification: float
    lowest_acc: float
    at_floor_s: float  # time with ACC at 0.3 or less, where admission control refuses
    at_zero_s: float


def record_totals(rows: list[Row]) -> RecordTotals:
    """Returns the totals of a record; ``rows`` are in order of time."""
    sums = {name: sum(r.counts[name] for r in rows) for name in rows[0].counts} if rows else {}
    floor = zero = 0.0
    for a, b in zip(rows, rows[1:], strict=False):
        span = (b.at_us - a.at_us) / 1e6
        floor += span if b.acc <= 0.3 else 0.0
        zero += span if b.acc <= 0.0 else 0.0
    firsts = sums.get("firsts", 0)
    sent = sums.get("attempts", 0) + sums.get("repeats", 0)
    return RecordTotals(
        firsts, sums.get("repeats", 0), sums.get("refused", 0), sums.get("failed", 0), sums.get("served", 0),
        sums.get("attempts", 0), sent / max(1, firsts), min((r.acc for r in rows), default=1.0), floor, zero,
    )


def recovery_s(rows: list[Row], healthy_at: int, share: float = 0.9, hold_us: int = 1_000_000) -> float | None:
    """Returns the seconds until admission has recovered after ``healthy_at`` (µs), or None if it has not by the end.

    It has recovered when at least ``share`` of the requests of the next ``hold_us`` are accepted.
    """
    later = [r for r in rows if r.at_us >= healthy_at]
    for i, row in enumerate(later):
        window = [r for r in later[i:] if r.at_us < row.at_us + hold_us]
        if later[-1].at_us < row.at_us + hold_us:
            return None
        arrived = sum(r.counts["firsts"] + r.counts["repeats"] for r in window)
        refused = sum(r.counts["refused"] for r in window)
        if arrived and refused <= (1 - share) * arrived:
            return (row.at_us - healthy_at) / 1e6
    return None
