"""Reports of a run: tables on the terminal, a chart and an HTML page.

All figures come from ``Result``.  The modules that this one imports use neither ``rich`` nor ``matplotlib``.
"""

from __future__ import annotations

import base64
import html
import io
from itertools import groupby
from pathlib import Path
from typing import Any

from rich.console import Console, Group, RenderableType
from rich.panel import Panel
from rich.table import Table
from rich.text import Text

from headspar.lab.result import Result
from headspar.world.plan import SECOND

BARS = " ▁▂▃▄▅▆▇█"
STATE_STYLE = {"warm": "green", "cold": "cyan", "draining": "yellow", "down": "red", "silent": "magenta"}
NOT_FAULTS = ("node_start", "node_exit", "lab", "stale")  # marks that the reports leave out


def sparkline(values: list[float], top: float | None = None) -> str:
    """Renders values as one row of bars, scaled to ``top`` or to the maximum."""
    peak = top or max(values, default=0.0) or 1.0
    return "".join(BARS[min(8, max(0, round(8 * v / peak)))] for v in values)


def faults(result: Result) -> list[tuple[float, str]]:
    """Returns (time in s, description) of each fault in a run; servers hit at the same time share an entry."""
    began = result.recording.rules.began_at
    rows = []
    for mark in sorted(result.recording.marks, key=lambda m: m.at):
        if mark.what in NOT_FAULTS:
            continue
        what = f"end of {mark.what}" if mark.text == "mend" else mark.what
        rows.append((round((mark.at - began) / SECOND, 1), what.replace("_", " ")))
    end = result.recording.rules.length_us / SECOND
    entries = []
    for (at, what), group in groupby(sorted(rows)):
        count = len(list(group))
        if 0 <= at <= end:
            entries.append((at, f"{what} ({count})" if count > 1 else what))
    return entries


# ---------------------------------------------------------------- during the run


def live(title: str, length_s: float, state: dict[str, Any], previous: dict[str, Any]) -> RenderableType:
    """Returns a live view of the fleet: rates of requests and answers, and the state of each server.

    ``previous`` holds the totals of earlier calls; pass the same dict each time.
    """
    callers = list(state["callers"].values())
    totals = {k: sum(c[k] for c in callers) for k in ("asked", "served", "refused", "failed", "open")}
    span = state["at_s"] - previous.get("at_s", 0.0)
    names = ("asked", "served", "refused", "failed")
    if span >= 1.0:  # rates over less than a second are noisy
        previous["rates"] = {k: (totals[k] - previous.get(k, 0)) / span for k in names}
        previous.update({k: totals[k] for k in names}, at_s=state["at_s"])
    rates = previous.get("rates", dict.fromkeys(names, 0.0))
    at = min(state["at_s"], length_s)
    done = int(40 * at / length_s)
    bar = Text("█" * done + "░" * (40 - done), style="blue") + Text(f"  {at:4.1f} of {length_s:.0f} s")
    figures = Table.grid(padding=(0, 3))
    figures.add_row(*(
        Text(f"{name} {rates[name]:6.0f}/s", style=style) for name, style in
        (("asked", "bold"), ("served", "green"), ("refused", "yellow"), ("failed", "red"))
    ), f"open {totals['open']}")
    table = Table(box=None, pad_edge=False)
    for name, justify in (("server", "left"), ("state", "left"), ("in progress", "right"), ("queued", "right"),
                          ("connections", "right"), ("", "left")):
        table.add_column(name, justify=justify)  # type: ignore[arg-type]
    for id, (server_state, in_progress, queued, connections) in sorted(state["servers"].items()):
        table.add_row(id, Text(server_state, style=STATE_STYLE.get(server_state, "")), str(in_progress), str(queued),
                      str(connections), Text("▪" * min(60, in_progress) + "·" * min(40, queued), style="green"))
    last = [f"{what.replace('_', ' ')} {target}" for what, target in state["marks"][-4:]]
    return Panel(Group(bar, figures, table, Text("\n".join(last) or " ", style="yellow")), title=title)


# ---------------------------------------------------------------- after the run


def text(result: Result, console: Console) -> None:
    """Prints the service, the audit and the lab's lateness as tables."""
    v, s = result.verdict, result.service
    table = Table(title=f"{result.scenario}: service", box=None)
    table.add_column("")
    table.add_column("worth in time", justify="right")
    for name, value in (("whole run", s.whole), ("worst 10 s", s.worst_10_s), ("goal", s.goal)):
        table.add_row(name, f"{100 * value:.1f}%")
    for name, value in s.by_class.items():
        table.add_row(f"  class {name}", f"{100 * value:.1f}%")
    for name, value in s.by_agent.items():
        table.add_row(f"  agent {name}", f"{100 * value:.1f}%")
    console.print(table)
    for name, style in (("served", "green"), ("refused", "yellow"), ("failed", "red")):
        row = [float(getattr(x, name)) for x in s.seconds]
        top = max((x.served + x.refused + x.failed for x in s.seconds), default=1)
        console.print(Text(f"{name:>8} ", style=style) + Text(sparkline(row, top), style=style)
                      + Text(f" {int(sum(row))}"))
    for at, what in faults(result):
        console.print(f"  [yellow]{at:6.1f} s[/]  {what}")
    console.print(f"{v.taken} taken: {v.served} served, {v.refused} refused, {v.failed} failed, {v.excused} excused "
                  f"(their node was killed); {s.amplification:.2f} tries per first try")
    for rule, count in v.counts.items():
        kept = f"[red]broken {count}x[/]" if count else "[green]kept[/]"
        console.print(f"  rule [bold]{rule:<11}[/] {kept}")
    for violation in v.violations[:10]:
        console.print(Text("  " + violation.line(), style="red"))
    lateness = ", ".join(f"{x.part} {x.p50 / 1000:.1f} / {x.p99 / 1000:.1f} ms" for x in result.recording.lateness)
    console.print(f"the lab's own lateness, p50 / p99: {lateness}")
    if not v.valid:
        console.print("[bold red]no verdict:[/] " + "; ".join(v.doubts))
    elif v.clean:
        console.print("[bold green]all rules kept[/]")
    else:
        console.print("[bold red]rules broken[/]")


def picture(result: Result) -> bytes:
    """Returns a PNG: answers per second with the faults marked, and the share of worth answered in time."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    seconds = result.service.seconds
    x = [i + 0.5 for i in range(len(seconds))]
    figure, (top, bottom) = plt.subplots(2, 1, figsize=(11, 7), sharex=True, height_ratios=[3, 2])
    rows = [[getattr(s, name) for s in seconds] for name in ("served", "refused", "failed")]
    top.stackplot(x, *rows, labels=["served", "refused", "failed"], colors=["#4c9f70", "#e9b44c", "#c8553d"])
    top.step([i for i in range(len(seconds))] + [len(seconds)], [s.asked for s in seconds] + [seconds[-1].asked],
             where="post", color="#333333", linewidth=1, label="first tries sent")
    top.set_ylabel("per second")
    peak = top.get_ylim()[1]
    top.set_ylim(0, peak * 1.45)
    for i, (at, what) in enumerate(faults(result)):
        for axes in (top, bottom):
            axes.axvline(at, color="#777777", linewidth=0.8, linestyle=":")
        top.annotate(what, (at, peak * (1.38 - 0.065 * (i % 6))), fontsize=7, ha="left", va="center",
                     xytext=(2, 0), textcoords="offset points")
    top.legend(loc="lower left", fontsize=8, ncols=4)
    shares = [100 * s.worth.ratio for s in seconds]
    bottom.plot(x, shares, color="#2d6a8e", linewidth=1.5)
    bottom.fill_between(x, shares, color="#2d6a8e", alpha=0.15)
    bottom.axhline(100 * result.service.worst_10_s, color="#c8553d", linewidth=0.8, linestyle="--")
    bottom.annotate("worst 10 s", (0, 100 * result.service.worst_10_s), fontsize=7, color="#c8553d", va="bottom")
    bottom.set_ylim(0, 105)
    bottom.set_ylabel("worth in time, %")
    bottom.set_xlabel("seconds")
    verdict = "no verdict" if not result.verdict.valid else (
        "all rules kept" if result.verdict.clean else "rules broken")
    figure.suptitle(f"{result.scenario}, seed {result.seed}: {100 * result.service.whole:.1f}% of the worth in time; "
                    f"{verdict}", fontsize=11)
    figure.tight_layout()
    return png(figure)


def png(figure: Any) -> bytes:
    """Renders a matplotlib figure as a PNG and closes it."""
    import matplotlib.pyplot as plt

    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    return data.getvalue()


def page(result: Result) -> str:
    """Returns a self-contained HTML page."""
    console = Console(record=True, width=110, file=io.StringIO(), force_terminal=False)
    text(result, console)
    tables = console.export_html(inline_styles=True, code_format="<pre>{code}</pre>")
    image = base64.b64encode(picture(result)).decode()
    title = html.escape(f"{result.scenario}, seed {result.seed}")
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title>"
        "<style>body{font:14px sans-serif;margin:2em;max-width:70em}img{max-width:100%}</style>"
        f"<h1>{title}</h1><img alt='answers per second with the faults marked' src='data:image/png;base64,{image}'>"
        f"{tables}</html>\n"
    )


def write(result: Result, *, page_to: Path | None = None, picture_to: Path | None = None) -> None:
    """Writes the page and the chart to the given paths."""
    if page_to is not None:
        page_to.write_text(page(result))
    if picture_to is not None:
        picture_to.write_bytes(picture(result))
