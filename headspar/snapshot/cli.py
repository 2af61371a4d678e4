"""``headspar state``: commands that inspect and delete a node's snapshots.

Exit status: 0 success; 1 no usable snapshot; 2 invalid option or folder, named in one line on standard error.
"""

from __future__ import annotations

import json
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from headspar.commands import check_output_folders, error_exit
from headspar.snapshot.expiry import FIELDS, LocalIdentity, restore
from headspar.snapshot.format import Snapshot
from headspar.snapshot.store import Store

app = typer.Typer(no_args_is_help=True, help="Inspect the learned state that a node keeps on its disk.")
FolderArgument = Annotated[Path, typer.Argument(help="The folder of [snapshot] in the operator's file.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print it as one line of JSON.")]


def _store(folder: Path) -> Store:
    if not folder.is_dir():
        raise error_exit(f"{folder}: there is no such folder", 2)
    return Store(folder)


def _newest(folder: Path) -> Snapshot:
    newest, errors = _store(folder).newest()
    if newest is None:
        raise error_exit(f"{folder}: {'; '.join(errors) or 'no snapshot found'}", 1)
    return newest


@app.command()
def show(folder: FolderArgument, as_json: JsonOption = False) -> None:
    """List both snapshot files with their origin and age."""
    rows: list[dict[str, Any]] = []
    for name, found in _store(folder).read_all():
        if isinstance(found, str):
            rows.append({"file": name, "wrong": found})
            continue
        rows.append({
            "file": name, "serial": found.serial, **asdict(found.header),
            "age_s": round(time.time() - found.header.wall_us / 1e6, 1),
            "servers": len(found.beliefs.experience.servers), "left": found.beliefs.left,
        })
    if as_json:
        sys.stdout.write(json.dumps(rows) + "\n")
    else:
        for row in rows:
            print(f"{row['file']}: " + (str(row["wrong"]) if "wrong" in row else
                  f"number {row['serial']}, of {row['name']} in {row['site']}, {row['age_s']} s old, "
                  f"{row['servers']} servers"))
    if not any("serial" in row for row in rows):
        raise error_exit(f"{folder}: no usable snapshot", 1)


@app.command()
def check(
    folder: FolderArgument,
    name: Annotated[str, typer.Option("--name", help="Name of the reading node; default: the writer's.")] = "",
    site: Annotated[str, typer.Option("--site", help="Site of the reading node.")] = "",
    settings: Annotated[str, typer.Option("--settings", help="Digest of the reading node's settings.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show, field by field, how much a node would restore from the newest snapshot now."""
    newest = _newest(folder)
    h, aims = newest.header, {cls: 1e12 for cls in newest.beliefs.experience.classes}
    here = LocalIdentity(name or h.name, site or h.site, settings or h.settings, time.time_ns() // 1000, h.offset_us,
                         aims)
    taken = restore(h, newest.beliefs, here)
    if as_json:
        sys.stdout.write(json.dumps({
            "whose": taken.origin.value, "age_s": taken.age_s, "weights": taken.weights, "notes": taken.notes,
        }) + "\n")
        return
    age = "of unknown age" if taken.age_s is None else f"{taken.age_s:.0f} s old"
    table = Table(box=None, header_style="bold", title=f"{taken.origin.value}, {age}", title_justify="left")
    for title in ("field", "weight", "source", "fallback"):
        table.add_column(title)
    for field, weight in taken.weights.items():
        table.add_row(field, f"{weight:.2f}" if weight else "-", FIELDS[field].source, FIELDS[field].fallback)
    Console().print(table)
    for note in taken.notes:
        print(note)


@app.command()
def export(
    folder: FolderArgument, out: Annotated[Path, typer.Option("--out", help="The file to write (JSON).")],
) -> None:
    """Write the newest snapshot as JSON, for inspection only: nodes can't import it."""
    check_output_folders(out)
    newest = _newest(folder)
    try:
        out.write_text(json.dumps(asdict(newest), indent=1) + "\n")
    except OSError as error:
        raise error_exit(f"{out}: {error.strerror}", 2) from None


@app.command()
def forget(
    folder: FolderArgument,
    yes: Annotated[bool, typer.Option("--yes", help="Delete; without it, only show what would be deleted.")] = False,
) -> None:
    """Delete the snapshots, so that the next start restores nothing.  Refused while a node writes to the folder."""
    store = _store(folder)
    if not yes:
        raise error_exit(f"{folder}: {len(store.read_all())} files would be deleted; --yes does it", 0)
    try:
        if not store.claim():
            raise error_exit(f"{folder}: in use by a running node; stop it first", 1)
        print(f"{store.delete_all()} files deleted")
    except OSError as error:
        raise error_exit(f"{folder}: {error.strerror}", 2) from None
    finally:
        store.release()
