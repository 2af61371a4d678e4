"""``headspar keeper``: runs and queries the supervisor of a machine's node.

Exit status: 0 success; 1 no keeper answers; 2 invalid file or option, named in one line on standard error.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from headspar import operator_file
from headspar.commands import error_exit
from headspar.identity import PACKAGE, SKIPPED_NAMES
from headspar.keeper import __main__ as keeper_main
from headspar.keeper.generations import GenerationError, digest
from headspar.keeper.messages import Status
from headspar.operator_file import KeeperTable, OperatorError

app = typer.Typer(no_args_is_help=True, help="Run and query the supervisor of a machine's node.")
FileArgument = Annotated[Path, typer.Argument(help="The operator's file; its table [keeper] is read.")]


def table_of(file: Path) -> KeeperTable:
    """The ``[keeper]`` table of a file; exits with status 2 if it is invalid."""
    try:
        return keeper_main.table_of(file)
    except OperatorError as error:
        raise error_exit(str(error), 2) from None


@app.command()
def run(file: FileArgument) -> None:
    """Supervise the node until SIGTERM; the node keeps running when the keeper stops."""
    raise typer.Exit(keeper_main.main([str(file)]))


def status_table(statuses: dict[str, Status | None]) -> Table:
    """A table with one row per keeper and its node; ``None`` stands for a keeper that did not answer."""
    table = Table(box=None, header_style="bold")
    for name in ("node", "site", "state", "runs", "present", "trial", "rate", "cold", "restarts", "last change"):
        table.add_column(name)
    for name, s in statuses.items():
        if s is None:
            table.add_row(name, "", "[red]not heard of[/red]")
            continue
        outcome = f"{s.outcome.change} {s.outcome.result} {s.outcome.reason}".strip() if s.outcome else ""
        state = s.state if s.answers else f"[red]{s.state}, silent[/red]"
        trial = s.trial[:8] + (" proven" if s.proved else "")
        table.add_row(name, s.site, state, s.running[:8], s.present[:8], trial,
                      f"{s.figures.rate:.1f}", f"{s.figures.cold}/{s.figures.servers}", str(s.restarts), outcome)
    return table


@app.command()
def status(
    file: FileArgument,
    as_json: Annotated[bool, typer.Option("--json", help="Print it as one line of JSON.")] = False,
) -> None:
    """Show the state of this machine's keeper and its node."""
    from headspar.rollout.controller import poll_statuses
    from headspar.rollout.fleet import Member

    table = table_of(file)
    found = asyncio.run(poll_statuses([Member("here", "", table.listen)]))["here"]
    if found is None:
        raise error_exit(f"{table.listen}: no keeper answers", 1)
    if as_json:
        sys.stdout.write(msgspec.json.encode(found).decode() + "\n")
    else:
        Console().print(status_table({found.name: found}))


@app.command()
def pack(
    to: Annotated[Path, typer.Argument(help="The folder to create.")],
    settings: Annotated[Path, typer.Option("--settings", help="The settings object, as JSON.")],
    operator: Annotated[Path | None, typer.Option("--operator", help="The operator's file of the nodes.")] = None,
    program: Annotated[Path, typer.Option("--program", help="The headspar package; default: this one.")] = PACKAGE,
) -> None:
    """Create the folder of a generation and print the generation's name."""
    if to.exists():
        raise error_exit(f"{to}: already exists", 2)
    try:
        if operator is not None:
            operator_file.load(operator)
        shutil.copytree(program, to / "program" / "headspar", ignore=shutil.ignore_patterns(*SKIPPED_NAMES, "*.pyc"))
        shutil.copyfile(settings, to / "settings.json")
        if operator is not None:
            shutil.copyfile(operator, to / "operator.toml")
        print(digest(to))
    except (OperatorError, GenerationError) as error:
        shutil.rmtree(to, ignore_errors=True)
        raise error_exit(str(error), 2) from None
    except OSError as error:
        shutil.rmtree(to, ignore_errors=True)
        raise error_exit(f"{error.filename}: {error.strerror}", 2) from None
