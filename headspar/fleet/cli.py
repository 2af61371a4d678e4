"""``headspar fleet``: what a fleet's own records say of it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from headspar.commands import check_output_folders, error_exit
from headspar.fleet.count import Count, CountError, Counting
from headspar.recorder.file import lines, older
from headspar.recorder.line import LineError, Reader

app = typer.Typer(no_args_is_help=True, help=__doc__)
MOST_SHOWN = 120  # seconds of the table


@app.callback()
def fleet() -> None:
    """What a fleet's own records say of it."""


def read_into(counting: Counting, path: Path) -> None:
    """One node's record, its older half first, a line at a time.  ``LineError``, ``CountError`` and ``OSError`` say
    what is wrong."""
    for part in (older(path), path):
        if part != path and not part.exists():
            continue
        reader, begun = Reader(), False
        for number, text in lines(part):
            try:
                row = reader.take(text)
            except LineError as error:
                raise LineError(f"{part}: line {number}: {error}") from None
            if reader.begun and not begun:
                begun = True
                counting.begin(reader.node, reader.began, reader.wall)
            if row is not None:
                try:
                    counting.take(reader.node, row, reader.wall)
                except CountError as error:
                    raise CountError(f"{part}: line {number}: {error}") from None
        if not begun and part == path:
            raise LineError(f"{part}: no flight record")


def show(c: Count, console: Console) -> None:
    """Totals, peaks, and second by second."""
    t = c.totals
    firsts = max(1, t["firsts"])
    console.print(f"{c.nodes} nodes, {c.seconds:.1f} s, {c.starts} processes, {c.silences} silences; of {t['firsts']}"
                  f" first tries {t['served'] / firsts:.3f} served, attempts for each {t['attempts'] / firsts:.2f}")
    if c.blow_s is None:
        console.print("no blow: no tenth of the nodes fell silent within 2 s")
    else:
        full = "not seen again" if c.full_s is None else f"{c.full_s:.1f} s"
        since = "" if c.from_start_s is None else f", {c.from_start_s:.1f} s after the last process's start"
        console.print(f"blow at {c.blow_s:.1f} s, {c.struck} nodes; before it {c.before:.3f}; "
                      f"full service: {full}{since}")
    table = Table(title="most within 200 ms", title_justify="left", box=None)
    for name in ("", "most", "over steady", "at"):
        table.add_column(name, justify="left" if not name else "right")
    for name, p in c.peaks.items():
        table.add_row(name, str(p.most), f"{p.over_steady:.1f}", f"{p.at_s:.1f} s")
    console.print(table)
    console.print(f"in step, within 200 ms: {c.in_step['shut']} nodes began to refuse, {c.in_step['opened']} ceased")
    table = Table(box=None)
    for name in ("second", "nodes", "first tries", "served", "refused", "att+rep", "connections", "calls",
                 "datagrams", "shut"):
        table.add_column(name, justify="right")
    first = 0 if c.blow_s is None else max(0, int(c.blow_s) - 5)
    rows = c.table[first:first + MOST_SHOWN]
    for s in rows:
        table.add_row(str(s.second), str(s.nodes), str(s.firsts), f"{s.served:.3f}", f"{s.refused:.3f}",
                      f"{s.per_first:.2f}", str(s.connections), str(s.calls), str(s.datagrams), f"{s.shut:.2f}")
    console.print(table)
    if len(rows) < len(c.table):
        console.print(f"{len(rows)} of {len(c.table)} seconds are shown; --json has all")


@app.command("count")
def count(
    logs: Annotated[list[Path], typer.Argument(help="Flight records (NAME.flight), one for each node.")],
    json_to: Annotated[Path | None, typer.Option("--json", help="Write the figures there; - for the output.")] = None,
) -> None:
    """Count over a fleet from its nodes' flight records: time to full service, peaks, what happened each second.
    Exit status 2, with one line, for a file that is none."""
    check_output_folders(json_to)
    counting = Counting()
    try:
        for path in logs:
            read_into(counting, path)
        result = counting.count()
    except OSError as error:
        raise error_exit(f"{error.filename}: {error.strerror}", 2) from None
    except (LineError, CountError) as error:
        raise error_exit(str(error), 2) from None
    data = msgspec.json.encode(result)
    if str(json_to) == "-":
        print(data.decode())
        return
    if json_to is not None:
        json_to.write_bytes(data + b"\n")
    show(result, Console())
