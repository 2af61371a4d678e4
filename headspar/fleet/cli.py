"""``headspar fleet``: statistics of a fleet from its nodes' flight records."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from headspar.commands import check_output_folders, error_exit
from headspar.fleet.count import Count, CountError, FleetCounter
from headspar.recorder.file import lines, rotated_path
from headspar.recorder.line import LineError, Reader

app = typer.Typer(no_args_is_help=True, help=__doc__)
MAX_SECONDS_SHOWN = 120  # rows of the table


@app.callback()
def fleet() -> None:
    """Statistics of a fleet from its nodes' flight records."""


def read_into(counter: FleetCounter, path: Path) -> None:
    """Read one node's flight record line by line, its older (rotated) half first, into ``counter``.

    Raises ``OSError`` if it can't be read, ``LineError`` if it is malformed, and ``CountError`` if it can't be
    counted together with the records read before."""
    for part in (rotated_path(path), path):
        if part != path and not part.exists():
            continue
        reader, begun = Reader(), False
        for number, text in lines(part):
            try:
                row = reader.read_line(text)
            except LineError as error:
                raise LineError(f"{part}: line {number}: {error}") from None
            if reader.has_header and not begun:
                begun = True
                counter.begin_record(reader.node, reader.began, reader.wall)
            if row is not None:
                try:
                    counter.add_row(reader.node, row, reader.wall)
                except CountError as error:
                    raise CountError(f"{part}: line {number}: {error}") from None
        if not begun and part == path:
            raise LineError(f"{part}: no flight record")


def show(c: Count, console: Console) -> None:
    """Print totals, peaks, and a table by second."""
    t = c.totals
    firsts = max(1, t["firsts"])
    console.print(f"{c.nodes} nodes, {c.seconds:.1f} s, {c.starts} processes, {c.silences} silences; "
                  f"{t['firsts']} first client attempts, {t['served'] / firsts:.3f} of them served, "
                  f"{t['attempts'] / firsts:.2f} attempts for each")
    if c.blow_s is None:
        console.print("no mass failure: at no time a tenth of the nodes fell silent within 2 s")
    else:
        full = "not reached" if c.full_s is None else f"after {c.full_s:.1f} s"
        since = "" if c.from_start_s is None else f", {c.from_start_s:.1f} s after the last process's start"
        console.print(f"mass failure at {c.blow_s:.1f} s, {c.struck} nodes; served before it: {c.before:.3f}; "
                      f"full service: {full}{since}")
    table = Table(title="maximum within 200 ms", title_justify="left", box=None)
    for name in ("", "maximum", "over steady", "at"):
        table.add_column(name, justify="left" if not name else "right")
    for name, p in c.peaks.items():
        table.add_row(name, str(p.most), f"{p.over_steady:.1f}", f"{p.at_s:.1f} s")
    console.print(table)
    console.print(f"in the same 200 ms: at most {c.in_step['shut']} nodes began to refuse, "
                  f"at most {c.in_step['opened']} stopped")
    table = Table(box=None)
    for name in ("second", "nodes", "calls", "served", "refused", "attempts per call", "connections",
                 "discovery calls", "datagrams", "refusing"):
        table.add_column(name, justify="right")
    first = 0 if c.blow_s is None else max(0, int(c.blow_s) - 5)
    rows = c.table[first:first + MAX_SECONDS_SHOWN]
    for s in rows:
        table.add_row(str(s.second), str(s.nodes), str(s.firsts), f"{s.served:.3f}", f"{s.refused:.3f}",
                      f"{s.per_first:.2f}", str(s.connections), str(s.calls), str(s.datagrams), f"{s.shut:.2f}")
    console.print(table)
    if len(rows) < len(c.table):
        console.print(f"{len(rows)} of {len(c.table)} seconds are shown; use --json for all")


@app.command("count")
def count(
    logs: Annotated[list[Path], typer.Argument(help="Flight records (NAME.flight), one per node.")],
    json_to: Annotated[Path | None, typer.Option("--json", help="Write JSON to this file; - for stdout.")] = None,
) -> None:
    """Compute a fleet's statistics from its nodes' flight records: time to full service, peaks, figures by second.
    Exits with status 2 and a one-line message if a file is not a flight record."""
    check_output_folders(json_to)
    counter = FleetCounter()
    try:
        for path in logs:
            read_into(counter, path)
        result = counter.count()
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
