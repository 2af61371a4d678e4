"""A node's flight record as figures, to hold beside what was true (``headspar.world.truth``); without I/O.

It shows where belief was lost, and how long after the servers were well it came back.
"""

from __future__ import annotations

from dataclasses import dataclass

from headspar.recorder.line import Row


@dataclass(slots=True)
class Account:
    """What a node's record tells as figures.  ``amplification``: attempts and callers' repeats over first tries."""

    firsts: int
    repeats: int
    refused: int
    failed: int
    served: int
    attempts: int
    amplification: float
    lowest_acc: float
    at_floor_s: float  # in which ACC stood at 0.3 or less: admission refuses
    at_zero_s: float


def account(rows: list[Row]) -> Account:
    """Sums over a record; rows in their order."""
    sums = {name: sum(r.counts[name] for r in rows) for name in rows[0].counts} if rows else {}
    floor = zero = 0.0
    for a, b in zip(rows, rows[1:], strict=False):
        span = (b.at_us - a.at_us) / 1e6
        floor += span if b.acc <= 0.3 else 0.0
        zero += span if b.acc <= 0.0 else 0.0
    firsts = sums.get("firsts", 0)
    more = sums.get("attempts", 0) + sums.get("repeats", 0)
    return Account(
        firsts, sums.get("repeats", 0), sums.get("refused", 0), sums.get("failed", 0), sums.get("served", 0),
        sums.get("attempts", 0), more / max(1, firsts), min((r.acc for r in rows), default=1.0), floor, zero,
    )


def recovery_s(rows: list[Row], well_at: int, share: float = 0.9, hold_us: int = 1_000_000) -> float | None:
    """Seconds from ``well_at`` until the accepted share of what came, over the ``hold_us`` that follow, is at least
    ``share``; None if it never is."""
    after = [r for r in rows if r.at_us >= well_at]
    for i, row in enumerate(after):
        window = [r for r in after[i:] if r.at_us < row.at_us + hold_us]
        if after[-1].at_us < row.at_us + hold_us:
            return None
        came = sum(r.counts["firsts"] + r.counts["repeats"] for r in window)
        refused = sum(r.counts["refused"] for r in window)
        if came and refused <= (1 - share) * came:
            return (row.at_us - well_at) / 1e6
    return None
