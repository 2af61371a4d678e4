"""The baseline: each node's counts before the change, against which the change is judged.  No I/O, no clock.

The baseline is taken once, when the change begins, and stored in the record, because a controller that takes over in
the middle of a change has no readings from before it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from headspar.rollout.judge.readings import Intake

PIECES = 8  # for placebo comparisons; a power of two, so that pieces can be merged in pairs
GAUGES = ("servers", "cold")


class Baseline(msgspec.Struct, frozen=True):
    """The baseline of a fleet.

    ``pieces`` are consecutive periods of ``piece_s`` seconds, newest first, each with the counts by node and name.
    ``gauges`` are each node's gauges at the end of the baseline.
    """

    piece_s: float
    sites: dict[str, str]
    pieces: list[dict[str, dict[str, float]]]
    gauges: dict[str, dict[str, float]] = {}

    def totals(self, node: str) -> dict[str, float]:
        """Return a node's counts over the whole baseline; ``spans`` is the number of seconds that they cover."""
        return sum_counts(piece[node] for piece in self.pieces if node in piece)

    def merged_pieces(self, length: float) -> list[dict[str, dict[str, float]]]:
        """Return the pieces merged to about ``length`` seconds each.

        At least four remain, which gives two pairs, unless there are fewer to begin with.
        """
        count = len(self.pieces)
        size = 1
        while size * 2 * self.piece_s <= 1.5 * length and count // (size * 2) >= 4:
            size *= 2
        out = []
        for i in range(0, count - size + 1, size):
            group = self.pieces[i : i + size]
            names = {name for piece in group for name in piece}
            out.append({n: sum_counts(piece[n] for piece in group if n in piece) for n in sorted(names)})
        return out

    @property
    def seconds(self) -> float:
        return self.piece_s * len(self.pieces)


def sum_counts(rows: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the sum of the rows by name."""
    out: dict[str, float] = {}
    for row in rows:
        for name, value in row.items():
            out[name] = out.get(name, 0.0) + value
    return out


def take_baseline(intake: Intake, until: float, length: float) -> Baseline:
    """Return the baseline over the ``length`` seconds up to ``until``.

    A node without readings in a piece is missing from that piece.
    """
    piece_s = length / PIECES
    pieces = []
    for i in range(PIECES):
        end = until - i * piece_s
        sums = {n: intake.sums(n, end - piece_s, end) for n in sorted(intake.nodes)}
        pieces.append({n: s for n, s in sums.items() if s["spans"] > 0})
    gauges = {n: {g: v for g, v in latest.items() if g in GAUGES}
              for n in sorted(intake.nodes) if (latest := intake.latest(n))}
    return Baseline(piece_s, {n: known.site for n, known in sorted(intake.nodes.items())}, pieces, gauges)
