"""Charts a node's flight record: its estimates, and the true state if the run's records are in the same folder."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from headspar.lab.record_totals import record_totals
from headspar.lab.report import png
from headspar.lab.run import TRUTH
from headspar.recorder.file import read
from headspar.recorder.line import LineError, Row
from headspar.world.records import Recording, decode
from headspar.world.truth import Truth

MAX_SERVERS = 40  # rows of the chart; of more servers, those with the largest change of health


class ExplainError(Exception):
    """A flight record that cannot be charted; the message is one line."""


def load(path: Path) -> tuple[str, list[Row], Recording | None]:
    """Reads a flight record; returns the node's name, its rows and, if in the same folder, the records of the run.

    Raises ``ExplainError`` if a file cannot be read or the record has fewer than two rows.
    """
    try:
        name, rows = read(path)
    except OSError as error:
        raise ExplainError(f"{path}: {error.strerror}") from None
    except LineError as error:
        raise ExplainError(str(error)) from None
    if len(rows) < 2:
        raise ExplainError(f"{path}: holds {len(rows)} rows; at least 2 are needed")
    truth = path.with_name(TRUTH)
    if not truth.exists():
        return name, rows, None
    try:
        return name, rows, decode(truth.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise ExplainError(f"{truth}: {error}") from None


def text(name: str, rows: list[Row], console: Console) -> None:
    """Prints the totals of a record as a table."""
    a = record_totals(rows)
    table = Table(title=f"{name}, {(rows[-1].at_us - rows[0].at_us) / 1e6:.1f} s", show_header=False)
    for label, value in (
        ("first tries", f"{a.firsts}"), ("callers' retries", f"{a.repeats}"), ("refused", f"{a.refused}"),
        ("failed", f"{a.failed}"), ("served", f"{a.served}"), ("attempts", f"{a.attempts}"),
        ("attempts and retries per first try", f"{a.amplification:.2f}"),
        ("lowest ACC", f"{a.lowest_acc:.2f}"),
        ("ACC at or below its floor", f"{a.at_floor_s:.1f} s"), ("ACC at 0", f"{a.at_zero_s:.1f} s"),
    ):
        table.add_row(label, value)
    console.print(table)


def select_servers(rows: list[Row]) -> list[str]:
    """Returns the names of the servers to chart: all, or those whose health changed most."""
    spread: dict[str, list[float]] = {}
    for row in rows:
        for id, s in row.servers.items():
            span = spread.setdefault(id, [s.health, s.health])
            span[0], span[1] = min(span[0], s.health), max(span[1], s.health)
    ranked = sorted(spread, key=lambda id: (spread[id][0] - spread[id][1], id))[:MAX_SERVERS]
    return sorted(ranked)


def picture(name: str, rows: list[Row], recording: Recording | None) -> bytes:
    """Returns a PNG of requests, ACC, and capacity and each server's share of it, both estimated and true.

    The true values need ``recording``.
    """
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    began = recording.rules.began_at if recording is not None else rows[0].at_us
    at = [(r.at_us - began) / 1e6 for r in rows]
    truth = Truth(recording) if recording is not None else None
    heights = [2, 1.4, 2, 2.4] + ([2.4] if truth is not None else [])
    figure, axes = plt.subplots(len(heights), 1, figsize=(11, 2.2 * len(heights) + 2), sharex=True,
                                height_ratios=heights, layout="constrained")
    _requests(axes[0], at, rows)
    axes[1].plot(at, [r.acc for r in rows], color="#2d6a8e", label="ACC")
    axes[1].plot(at, [min(2.0, r.late) for r in rows], color="#c8553d", linewidth=0.8, label="late (1: at the aim)")
    axes[1].axhline(0.3, color="#777777", linewidth=0.8, linestyle="--")
    axes[1].set_ylim(-0.05, 2.05)
    axes[1].legend(loc="upper right", fontsize=7, ncols=2)
    axes[2].plot(at, [r.capacity / 1e6 for r in rows], color="#2d6a8e", label="estimated: K x healthy / T")
    axes[2].plot(at, [r.carried * r.sound / max(1, r.horizon_us) for r in rows], color="#4c9f70",
                 linewidth=1, label="carried")
    top = max(r.carried * r.sound / max(1, r.horizon_us) for r in rows)
    if truth is not None and recording is not None:
        nodes = max(1, len({t.node for t in recording.told}))
        true = [truth.capacity(r.at_us) / nodes / 1e6 for r in rows]
        axes[2].plot(at, true, color="#333333", linestyle="--", label="true, per node")
        top = max(top, *true)
    axes[2].set_ylim(0, 1.6 * max(top, 1e-9))
    axes[2].set_ylabel("seconds of work\nper second")
    axes[2].legend(loc="upper right", fontsize=7, ncols=3)
    ids = select_servers(rows)
    _shares(axes[3], at, ids, lambda i, id: _estimated_share(rows[i], id), "estimated: health² x warm")
    if truth is not None:
        known_truth = truth
        _shares(axes[4], at, ids,
                lambda i, id: known_truth.share(id, rows[i].at_us) if id in known_truth.changes else 0.0, "true")
    axes[-1].set_xlabel("seconds")
    figure.suptitle(f"{name}: its estimates" + (" and the true state" if truth is not None else ""), fontsize=11)
    return png(figure)


def _estimated_share(row: Row, id: str) -> float:
    s = row.servers.get(id)
    return s.health * s.health * s.warm if s is not None and s.usable else 0.0


def _requests(axes: Any, at: list[float], rows: list[Row]) -> None:
    spans = [max(1e-3, b - a) for a, b in zip(at, at[1:], strict=False)]
    spans = [spans[0], *spans]
    rate = {n: [r.counts[n] / s for r, s in zip(rows, spans, strict=True)] for n in rows[0].counts}
    axes.stackplot(at, rate["firsts"], rate["repeats"], labels=["first tries", "callers' retries"],
                   colors=["#b8d4c4", "#e9b44c"])
    axes.plot(at, rate["refused"], color="#c8553d", linewidth=1, label="refused")
    axes.plot(at, rate["attempts"], color="#333333", linewidth=0.8, label="attempts")
    axes.set_ylabel("per second")
    axes.legend(loc="upper right", fontsize=7, ncols=4)


def _shares(axes: Any, at: list[float], ids: list[str], share: Any, label: str) -> None:
    grid = [[min(1.0, share(i, id)) for i in range(len(at))] for id in ids]
    axes.imshow(grid, aspect="auto", cmap="RdYlGn", vmin=0, vmax=1, interpolation="nearest",
                extent=(at[0], at[-1], len(ids), 0))
    axes.set_yticks([i + 0.5 for i in range(len(ids))], ids, fontsize=6)
    axes.set_ylabel(label, fontsize=8)
