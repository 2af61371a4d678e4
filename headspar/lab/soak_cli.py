"""The command ``headspar lab soak``: plays drawn seeds, replays one run from a file, or shrinks it."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from headspar.commands import error_exit
from headspar.lab import soak
from headspar.lab.soak_file import SoakFileError, SoakRun, read_run, write_run

INTERRUPTED = "interrupted; all processes of the runs were stopped"


def soak_command(
    seeds: Annotated[int, typer.Option(min=1, max=10_000, help="Number of seeds.")] = 50,
    first: Annotated[int, typer.Option(min=0, help="First seed.")] = 1,
    seconds: Annotated[float, typer.Option(min=3, max=600, help="Length of each run.")] = 10.0,
    jobs: Annotated[int, typer.Option(min=1, max=8, help="Runs at once.")] = 2,
    as_json: Annotated[bool, typer.Option("--json", help="Print the totals as one JSON object.")] = False,
    keep: Annotated[Path | None, typer.Option(help="Keep logs, records and broken runs in this folder.")] = None,
    replay: Annotated[Path | None, typer.Option(help="Play the run in this file in place of drawn seeds.")] = None,
    shrink: Annotated[Path | None, typer.Option(help="Find a smaller run that breaks a rule of this file's.")] = None,
    to: Annotated[Path, typer.Option(help="Where --shrink writes the smaller run.")] = Path("soak-least.toml"),
) -> None:
    """Play drawn faults between real processes and audit each run; status 1 if a rule was broken, 3 if a run was
    invalid."""
    results: list[soak.SeedResult] = []
    try:
        if shrink is not None:
            _shrink(_read(shrink), to)
            return
        plays = iter([soak.play_run(_read(replay), keep)]) if replay is not None else soak.play(
            range(first, first + seeds), seconds, jobs, keep
        )
        for result in plays:
            results.append(result)
            print("\n  ".join([result.line(), *result.violations]), file=sys.stderr, flush=True)
    except KeyboardInterrupt:
        print(json.dumps(soak.summary(results)))
        raise error_exit(INTERRUPTED, 130) from None
    _finish(soak.summary(results), as_json)


def _finish(totals: dict[str, object], as_json: bool) -> None:
    print(json.dumps(totals) if as_json else "\n".join(f"{k}: {v}" for k, v in totals.items()))
    if totals["broken"]:
        raise typer.Exit(1)
    if totals["invalid"] or totals["not_played"]:
        raise typer.Exit(3)


def _read(path: Path) -> SoakRun:
    try:
        return read_run(path)
    except SoakFileError as error:
        raise error_exit(str(error), 2) from None


def _shrink(run: SoakRun, to: Path) -> None:
    def on_try(part: str, still: bool) -> None:
        print(f"without {part}: {'still broken' if still else 'needed'}", file=sys.stderr, flush=True)

    least = soak.shrink_run(run, on_try)
    if least is None:
        raise error_exit("the run breaks no rule in three of five plays", 3)
    write_run(to, least)
    print(f"{to}: {len(least.scenario.faults)} faults, {least.scenario.nodes.count} nodes, "
          f"{sum(g.count for g in least.scenario.servers)} servers, {least.scenario.length_s:g} s")
    raise typer.Exit(1)
