"""Reports on the recovery from a mass failure, as tables, a chart and JSON; shared by the lab and the model."""

from __future__ import annotations

import io
import json
import math
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from headspar.commands import check_output_folders, error_exit
from headspar.world.audit import Verdict
from headspar.world.mass_failures import MassFailure, scenario
from headspar.world.recovery import CAUSES, Recovery, Spread, Summary, summary
from headspar.world.scenario import Scenario, ScenarioError

KINDS = {"kill": "node_kill", "term": "node_term", "stop": "node_stop"}

NodesOption = Annotated[int, typer.Option("--nodes", min=1, max=400, help="Number of nodes.")]
ShareOption = Annotated[float, typer.Option("--share", min=0.0, max=1.0, help="Share of the nodes that fail.")]
KindOption = Annotated[str, typer.Option("--kind", help="kill, term, or stop (process pause).")]
SpreadOption = Annotated[float, typer.Option("--spread-s", min=0.0, max=10.0, help="Time within which they fail.")]
ReturnOption = Annotated[float, typer.Option("--back-s", min=0.05, max=15.0, help="Time until each returns.")]
DiscoveryRateOption = Annotated[
    float, typer.Option("--discovery", min=0.0, help="Its calls per second; 0: unlimited.")]
LoadOption = Annotated[float, typer.Option("--load", min=0.05, max=2.0, help="Share of the servers' warm capacity.")]
RetriesOption = Annotated[int, typer.Option("--again", min=0, max=10, help="How often callers retry.")]
NoBackoffOption = Annotated[bool, typer.Option("--deaf", help="They retry at once and ignore Retry-After.")]
FirstOption = Annotated[int, typer.Option("--first-seed", min=0, help="First seed; the others follow it.")]
JsonOption = Annotated[Path | None, typer.Option("--json", help="Write JSON to this file ('-': stdout).")]
PictureOption = Annotated[Path | None, typer.Option("--picture", help="Write a chart (PNG) to this file.")]


class Draw(msgspec.Struct):
    """One draw: its recovery and its verdict.  ``served``: share of the worth that was delivered; ``without``: the
    same without the mass failure."""

    seed: int
    recovery: Recovery
    verdict: Verdict
    served: float
    without: float


RunDraw = Callable[[Scenario, int], Draw]


def mass_failure(kind: str, **fields: Any) -> MassFailure:
    """The mass failure that the options describe.  Exits with status 2 for an unknown kind."""
    if kind not in KINDS:
        raise error_exit(f"--kind: must be one of {', '.join(KINDS)}, not {kind!r}", 2)
    return MassFailure(kind=KINDS[kind], **fields)


def run_draws(failure: MassFailure, seeds: range, run_draw: RunDraw, console: Console) -> list[Draw]:
    """Run each seed with ``run_draw``.  Exits with status 2 if the scenario is invalid."""
    rows = []
    for seed in seeds:
        try:
            s = scenario(failure, seed)
        except ScenarioError as error:
            raise error_exit(str(error), 2) from None
        rows.append(run_draw(s, seed))
        c = rows[-1].recovery
        full = "not reached" if c.full_s is None else f"after {c.full_s:.1f} s"
        console.print(f"seed {seed}: full service {full}, {c.lost_s:.2f} s of the worth lost")
    return rows


def _seconds(value: float) -> str:
    return "never" if math.isinf(value) else f"{value:.2f}"


def _spread_row(table: Table, name: str, s: Spread) -> None:
    table.add_row(name, _seconds(s.median), f"{_seconds(s.low)} to {_seconds(s.high)}", _seconds(s.worst))


def print_report(rows: list[Draw], failure: MassFailure, console: Console) -> Summary:
    """Print the summary of all draws, then a table by second of the draw with the slowest recovery."""
    s = summary([d.recovery for d in rows])
    table = Table(title=f"{failure.nodes} nodes, {failure.share:.0%} failed, {s.draws} draws", title_justify="left")
    for name in ("", "median", "95%", "worst"):
        table.add_column(name, justify="left" if not name else "right")
    _spread_row(table, "full service, s from the failure", s.full_s)
    _spread_row(table, "worth lost, s of the mean worth", s.lost_s)
    console.print(table)
    table = Table(title="lost to (mean over the draws)", title_justify="left", show_header=False, box=None)
    for name, seconds in s.causes.items():
        if seconds >= 0.005:
            table.add_row(name, f"{seconds:.2f} s")
    console.print(table)
    table = Table(title="maximum within 200 ms (highest of all draws)", title_justify="left", box=None)
    for name in ("", "maximum", "over steady", "over capacity", "at"):
        table.add_column(name, justify="left" if not name else "right")
    for name, p in s.peaks.items():
        over = f"{p.over_capacity:.2f}" if p.over_capacity else ""
        table.add_row(name, f"{p.most:.0f}", f"{p.over_steady:.1f}", over, f"{p.at / 1e6:.1f} s")
    console.print(table)
    slowest = max(rows, key=lambda d: (d.recovery.full_s is None, d.recovery.full_s or 0.0, d.recovery.lost_s))
    c = slowest.recovery
    title = f"causes of loss by second, seed {slowest.seed} (served before the failure: {c.before:.3f})"
    table = Table(title=title, title_justify="left", box=None)
    for name in ("second", "nodes", "calls", "served", "lost to"):
        table.add_column(name, justify="left" if name == "lost to" else "right")
    for row in c.rows:
        lost = ", ".join(f"{name} {share:.3f}" for name, share in sorted(row.lost.items(), key=lambda x: -x[1])
                         if share >= 0.005)
        table.add_row(str(row.second), str(row.nodes), str(row.calls), f"{row.share:.3f}", lost)
    console.print(table)
    for name, count in s.stale.items():
        console.print(f"[red]stale decision:[/] {name}, {count} times")
    for d in rows:
        for kind, count in d.verdict.kinds.items():
            console.print(f"[red]seed {d.seed}: rule violated: {kind}, {count} times[/]")
        for doubt in d.verdict.doubts:
            console.print(f"[yellow]seed {d.seed}: no valid verdict: {doubt}[/]")
    return s


def chart(rows: list[Draw], failure: MassFailure) -> bytes:
    """A chart (PNG): the share of the worth served in each second of all draws, and the causes of loss."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    length = min(len(d.recovery.rows) for d in rows)
    x = [i + 0.5 for i in range(length)]
    figure, (top, bottom) = plt.subplots(2, 1, figsize=(11, 7), sharex=True)
    for d in rows:
        top.plot(x, [row.share for row in d.recovery.rows[:length]], color="#4c9f70", alpha=0.35, linewidth=1)
        if d.recovery.full_s is not None:
            top.axvline(d.recovery.full_s, color="#2d6a8e", alpha=0.3, linewidth=0.8)
    mean = [sum(d.recovery.rows[i].share for d in rows) / len(rows) for i in range(length)]
    top.plot(x, mean, color="#22543d", linewidth=2, label="share of the worth served, mean over the draws")
    top.set_ylim(0, 1.02)
    top.legend(loc="lower right", fontsize=8)
    lost = {name: [sum(d.recovery.rows[i].lost.get(name, 0.0) for d in rows) / len(rows) for i in range(length)]
            for name in CAUSES}
    shown = {name: values for name, values in lost.items() if max(values) >= 0.003}
    if shown:
        bottom.stackplot(x, *shown.values(), labels=list(shown))
        bottom.legend(loc="upper right", fontsize=8)
    bottom.set_ylabel("lost, share of the worth")
    bottom.set_xlabel("seconds from the failure; vertical lines: full service")
    figure.suptitle(f"{failure.nodes} nodes, {failure.share:.0%} failed ({failure.kind.removeprefix('node_')}), "
                    f"{len(rows)} draws", fontsize=11)
    figure.tight_layout()
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    return data.getvalue()


def as_json(rows: list[Draw], failure: MassFailure, s: Summary) -> str:
    """The figures as one line of JSON; infinite values become null."""
    def plain(value: Any) -> Any:
        if isinstance(value, dict):
            return {k: plain(v) for k, v in value.items()}
        if isinstance(value, list):
            return [plain(v) for v in value]
        return None if isinstance(value, float) and math.isinf(value) else value

    return json.dumps(plain({
        "blow": msgspec.structs.asdict(failure), "summary": msgspec.to_builtins(s),
        "rules_broken": sum(sum(d.verdict.counts.values()) for d in rows),
        "draws": [{
            "seed": d.seed, "before": d.recovery.before, "full_s": d.recovery.full_s,
            "from_start_s": d.recovery.from_start_s, "lost_s": d.recovery.lost_s, "causes": d.recovery.causes,
            "stale": d.recovery.stale, "served": d.served, "without": d.without, "broken": d.verdict.kinds,
            "doubts": d.verdict.doubts,
        } for d in rows],
    }))


def run_command(
    failure: MassFailure, seeds: range, run_draw: RunDraw, json_to: Path | None, picture_to: Path | None
) -> None:
    """Run the command.  Exit status 0: no rule violated; 1: a rule violated; 3: a run without a valid verdict."""
    check_output_folders(json_to, picture_to)
    console = Console(stderr=str(json_to) == "-")
    rows = run_draws(failure, seeds, run_draw, console)
    s = print_report(rows, failure, console)
    if picture_to is not None:
        picture_to.write_bytes(chart(rows, failure))
    if json_to is not None:
        line = as_json(rows, failure, s)
        if str(json_to) == "-":
            print(line)
        else:
            json_to.write_text(line + "\n")
    if any(not d.verdict.valid for d in rows):
        raise typer.Exit(3)
    if any(not d.verdict.clean for d in rows):
        raise typer.Exit(1)
