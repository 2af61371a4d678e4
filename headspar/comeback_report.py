"""Coming back, for people: what lab and model show alike as tables, a picture and JSON."""

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
from headspar.world.comeback import CAUSES, Comeback, Spread, Summary, summary
from headspar.world.comebacks import Blow, scenario
from headspar.world.scenario import Scenario, ScenarioError

KINDS = {"kill": "node_kill", "term": "node_term", "stop": "node_stop"}

NodesOption = Annotated[int, typer.Option("--nodes", min=1, max=400, help="Nodes of the fleet.")]
ShareOption = Annotated[float, typer.Option("--share", min=0.0, max=1.0, help="Of the nodes, struck.")]
KindOption = Annotated[str, typer.Option("--kind", help="kill, term, or stop (they stand still).")]
SpreadOption = Annotated[float, typer.Option("--spread-s", min=0.0, max=10.0, help="Within which they are struck.")]
BackOption = Annotated[float, typer.Option("--back-s", min=0.05, max=15.0, help="Until each is started again.")]
CallsOption = Annotated[float, typer.Option("--discovery", min=0.0, help="Calls a second it works through; 0: any.")]
LoadOption = Annotated[float, typer.Option("--load", min=0.05, max=2.0, help="Of what warm servers can do.")]
AgainOption = Annotated[int, typer.Option("--again", min=0, max=10, help="How often callers ask again.")]
DeafOption = Annotated[bool, typer.Option("--deaf", help="They do so at once, whatever Retry-After says.")]
FirstOption = Annotated[int, typer.Option("--first-seed", min=0, help="Seeds go on from there.")]
JsonOption = Annotated[Path | None, typer.Option("--json", help="Write the figures as JSON there ('-': print).")]
PictureOption = Annotated[Path | None, typer.Option("--picture", help="Write a picture (PNG) there.")]


class Drawn(msgspec.Struct):
    """One draw: what it shows and how it was judged.  ``without``: the share of the worth that the same draw served
    with no node struck."""

    seed: int
    comeback: Comeback
    verdict: Verdict
    served: float
    without: float


Play = Callable[[Scenario, int], Drawn]


def blow(kind: str, **fields: Any) -> Blow:
    """From the options; exit status 2 for a kind that there is not."""
    if kind not in KINDS:
        raise error_exit(f"--kind: one of {', '.join(KINDS)}, not {kind!r}", 2)
    return Blow(kind=KINDS[kind], **fields)


def draws(of: Blow, seeds: range, play: Play, console: Console) -> list[Drawn]:
    """Play each seed; exit status 2 for a fleet that can't be."""
    out = []
    for seed in seeds:
        try:
            s = scenario(of, seed)
        except ScenarioError as error:
            raise error_exit(str(error), 2) from None
        out.append(play(s, seed))
        c = out[-1].comeback
        full = "never" if c.full_s is None else f"{c.full_s:.1f} s"
        console.print(f"seed {seed}: full service {full}, {c.lost_s:.2f} s of the worth lost")
    return out


def _number(value: float) -> str:
    return "never" if math.isinf(value) else f"{value:.2f}"


def _spread_row(table: Table, name: str, s: Spread) -> None:
    table.add_row(name, _number(s.median), f"{_number(s.low)} to {_number(s.high)}", _number(s.worst))


def text(rows: list[Drawn], of: Blow, console: Console) -> Summary:
    """All draws, then second by second the one that took longest."""
    s = summary([d.comeback for d in rows])
    table = Table(title=f"{of.nodes} nodes, {of.share:.0%} struck, {s.draws} draws", title_justify="left")
    for name in ("", "median", "95%", "worst"):
        table.add_column(name, justify="left" if not name else "right")
    _spread_row(table, "full service, s from the blow", s.full_s)
    _spread_row(table, "worth lost, s of all", s.lost_s)
    console.print(table)
    table = Table(title="lost to (mean of a draw)", title_justify="left", show_header=False, box=None)
    for name, seconds in s.causes.items():
        if seconds >= 0.005:
            table.add_row(name, f"{seconds:.2f} s")
    console.print(table)
    table = Table(title="most within 200 ms (worst of the draws)", title_justify="left", box=None)
    for name in ("", "most", "over steady", "over capacity", "at"):
        table.add_column(name, justify="left" if not name else "right")
    for name, p in s.peaks.items():
        over = f"{p.over_capacity:.2f}" if p.over_capacity else ""
        table.add_row(name, f"{p.most:.0f}", f"{p.over_steady:.1f}", over, f"{p.at / 1e6:.1f} s")
    console.print(table)
    longest = max(rows, key=lambda d: (d.comeback.full_s is None, d.comeback.full_s or 0.0, d.comeback.lost_s))
    c = longest.comeback
    title = f"what held it up, seed {longest.seed} (before the blow {c.before:.3f})"
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
            console.print(f"[red]seed {d.seed} broke {kind}, {count} times[/]")
        for doubt in d.verdict.doubts:
            console.print(f"[yellow]seed {d.seed}: no verdict: {doubt}[/]")
    return s


def picture(rows: list[Drawn], of: Blow) -> bytes:
    """A PNG: the share served second by second over all draws, and what the rest was lost to."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    length = min(len(d.comeback.rows) for d in rows)
    x = [i + 0.5 for i in range(length)]
    figure, (top, bottom) = plt.subplots(2, 1, figsize=(11, 7), sharex=True)
    for d in rows:
        top.plot(x, [row.share for row in d.comeback.rows[:length]], color="#4c9f70", alpha=0.35, linewidth=1)
        if d.comeback.full_s is not None:
            top.axvline(d.comeback.full_s, color="#2d6a8e", alpha=0.3, linewidth=0.8)
    mean = [sum(d.comeback.rows[i].share for d in rows) / len(rows) for i in range(length)]
    top.plot(x, mean, color="#22543d", linewidth=2, label="share of the worth served, mean of the draws")
    top.set_ylim(0, 1.02)
    top.legend(loc="lower right", fontsize=8)
    lost = {name: [sum(d.comeback.rows[i].lost.get(name, 0.0) for d in rows) / len(rows) for i in range(length)]
            for name in CAUSES}
    shown = {name: values for name, values in lost.items() if max(values) >= 0.003}
    if shown:
        bottom.stackplot(x, *shown.values(), labels=list(shown))
        bottom.legend(loc="upper right", fontsize=8)
    bottom.set_ylabel("lost, share of the worth")
    bottom.set_xlabel("seconds from the blow; lines above: full service")
    figure.suptitle(f"{of.nodes} nodes, {of.share:.0%} struck ({of.kind.removeprefix('node_')}), {len(rows)} draws",
                    fontsize=11)
    figure.tight_layout()
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    return data.getvalue()


def as_json(rows: list[Drawn], of: Blow, s: Summary) -> str:
    """One line; what never came is null."""
    def plain(value: Any) -> Any:
        if isinstance(value, dict):
            return {k: plain(v) for k, v in value.items()}
        if isinstance(value, list):
            return [plain(v) for v in value]
        return None if isinstance(value, float) and math.isinf(value) else value

    return json.dumps(plain({
        "blow": msgspec.structs.asdict(of), "summary": msgspec.to_builtins(s),
        "rules_broken": sum(sum(d.verdict.counts.values()) for d in rows),
        "draws": [{
            "seed": d.seed, "before": d.comeback.before, "full_s": d.comeback.full_s,
            "from_start_s": d.comeback.from_start_s, "lost_s": d.comeback.lost_s, "causes": d.comeback.causes,
            "stale": d.comeback.stale, "served": d.served, "without": d.without, "broken": d.verdict.kinds,
            "doubts": d.verdict.doubts,
        } for d in rows],
    }))


def whole(of: Blow, seeds: range, play: Play, json_to: Path | None, picture_to: Path | None) -> None:
    """A command's course.  Exit status 0: every rule kept; 1: one broken; 3: a run that can't be vouched for."""
    check_output_folders(json_to, picture_to)
    console = Console(stderr=str(json_to) == "-")
    rows = draws(of, seeds, play, console)
    s = text(rows, of, console)
    if picture_to is not None:
        picture_to.write_bytes(picture(rows, of))
    if json_to is not None:
        line = as_json(rows, of, s)
        if str(json_to) == "-":
            print(line)
        else:
            json_to.write_text(line + "\n")
    if any(not d.verdict.valid for d in rows):
        raise typer.Exit(3)
    if any(not d.verdict.clean for d in rows):
        raise typer.Exit(1)
