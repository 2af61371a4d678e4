"""``headspar``: the command line for people.  The platform starts ``python -m headspar`` and needs none of it.

Exit status: 0 all well; 1 a rule was broken; 2 a file or an option is no good (one line says which); 3 the lab
could not vouch for its run; 4 the run could not be carried out; 130 interrupted.
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.live import Live
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from headspar import comeback_report as cr
from headspar import operator_file
from headspar.commands import check_output_folders, error_exit, scenario_names
from headspar.commands import scenario as scenario_of
from headspar.events import table as events_table
from headspar.fleet import cli as fleet_cli
from headspar.keeper import cli as keeper_cli
from headspar.lab import explain, report
from headspar.lab.run import Result, RunError, run_scenario
from headspar.model import cli as model_cli
from headspar.rollout import cli as rollout_cli
from headspar.snapshot import cli as snapshot_cli
from headspar.world.comeback import comeback
from headspar.world.scenario import Scenario

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="A reverse proxy node that balances by estimation, and the lab that it is tried in.")
lab = typer.Typer(no_args_is_help=True, help="A fleet on loopback that breaks on purpose, and its audit.")
app.add_typer(lab, name="lab")
app.add_typer(model_cli.app, name="model")
app.add_typer(keeper_cli.app, name="keeper")
app.add_typer(rollout_cli.app, name="rollout")
app.add_typer(fleet_cli.app, name="fleet")
app.add_typer(snapshot_cli.app, name="state")
PROGRESS_FROM_S = 3.0

ScenarioArgument = Annotated[str, typer.Argument(help="A scenario file, or the name of one that comes along.")]
NodesOption = Annotated[int | None, typer.Option("--nodes", help="Nodes, in place of the scenario's.")]
SeedOption = Annotated[int, typer.Option("--seed", help="The same seed draws the same run.")]
JsonOption = Annotated[Path | None, typer.Option("--json", help="Write the figures as JSON here ('-': print).")]
ReportOption = Annotated[Path | None, typer.Option("--report", help="Write a page (HTML) with tables and picture.")]
PictureOption = Annotated[Path | None, typer.Option("--picture", help="Write the picture (PNG).")]
KeepOption = Annotated[Path | None, typer.Option("--keep", help="Keep logs and records of the run in this folder.")]
RecordOption = Annotated[bool, typer.Option("--record", help="Let each node keep a flight record, in --keep.")]


def _run(s: Scenario, seed: int, keep: Path | None, on_progress: Any, record: bool = False) -> Result:
    try:
        if keep is not None:
            return run_scenario(s, seed, keep, on_progress, record=record)
        with tempfile.TemporaryDirectory(prefix="headspar-lab-") as dir:
            return run_scenario(s, seed, Path(dir), on_progress)
    except RunError as error:
        raise error_exit(str(error), 4) from None
    except OSError as error:
        raise error_exit(f"{error.filename or 'run'}: {error.strerror or error}", 4) from None
    except KeyboardInterrupt:
        raise error_exit("interrupted; nothing is left running", 130) from None


def _end(result: Result, json_to: Path | None, report_to: Path | None, picture_to: Path | None) -> None:
    if json_to is not None:
        line = json.dumps(result.summary())
        if str(json_to) == "-":
            print(line)
        else:
            json_to.write_text(line + "\n")
    report.write(result, page_to=report_to, picture_to=picture_to)
    if not result.verdict.valid:
        raise typer.Exit(3)
    if not result.verdict.clean:
        raise typer.Exit(1)


@app.command("check")
def check_operator(file: Annotated[Path, typer.Argument(help="An operator's file.")]) -> None:
    """Read an operator's file; print what it sets, or say what is wrong with it."""
    try:
        operator = operator_file.load(file)
    except operator_file.OperatorError as error:
        raise error_exit(str(error), 2) from None
    for name, value, default in operator_file.rows(operator):
        print(f"{name} = {value}" + ("" if value == default else f"  (default {default})"))


@app.command()
def events() -> None:
    """Print the table of what keepers and controllers say, as docs/operators/events.md holds it."""
    print(events_table(), end="")


@app.command()
def node() -> None:
    """Run one node; ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG say all it needs."""
    from headspar.__main__ import main as node_main

    raise typer.Exit(node_main())


@lab.command()
def run(
    scenario: ScenarioArgument, nodes: NodesOption = None, seed: SeedOption = 1, json_to: JsonOption = None,
    report_to: ReportOption = None, picture_to: PictureOption = None, keep: KeepOption = None,
    record: RecordOption = False,
) -> None:
    """Run a scenario through real nodes and judge it."""
    s = scenario_of(scenario, nodes)
    if record and keep is None:
        raise error_exit("--record: needs --keep DIR, where the records go", 2)
    check_output_folders(json_to, report_to, picture_to, keep)
    console = Console(stderr=str(json_to) == "-")
    if s.length_s < PROGRESS_FROM_S:
        result = _run(s, seed, keep, None, record)
    else:
        columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed:.0f} s"),
                   TimeRemainingColumn())
        with Progress(*columns, console=Console(stderr=True)) as progress:
            task = progress.add_task(s.name, total=s.length_s)

            def show(state: dict[str, Any]) -> None:
                progress.update(task, completed=min(s.length_s, state["at_s"]))

            result = _run(s, seed, keep, show, record)
    report.text(result, console)
    _end(result, json_to, report_to, picture_to)


@lab.command("comeback")
def comeback_in_lab(
    nodes: cr.NodesOption = 24, share: cr.ShareOption = 0.7, kind: cr.KindOption = "kill",
    spread_s: cr.SpreadOption = 0.2, back_s: cr.BackOption = 1.0, calls: cr.CallsOption = 8.0,
    load: cr.LoadOption = 0.5, again: cr.AgainOption = 2, deaf: cr.DeafOption = False,
    seeds: Annotated[int, typer.Option(min=1, max=100)] = 1, first: cr.FirstOption = 1,
    json_to: cr.JsonOption = None, picture_to: cr.PictureOption = None, keep: KeepOption = None,
) -> None:
    """Strike most nodes of a fleet of processes; time to full service, what held it up, stampedes, stale decisions.
    Each seed is played twice: with nothing done to nodes, and with it."""
    check_output_folders(keep)

    def play(s: Scenario, seed: int) -> cr.Drawn:
        results = []
        for struck in (False, True):
            with tempfile.TemporaryDirectory(prefix="headspar-lab-") as dir:
                to = keep / f"{seed}-{'struck' if struck else 'not'}" if keep is not None else Path(dir)
                try:
                    results.append(run_scenario(s, seed, to, struck=struck))
                except RunError as error:
                    raise error_exit(str(error), 4) from None
        without, result = results
        c = comeback(result.recording, without.recording, s.discovery.calls_per_s)
        return cr.Drawn(seed, c, result.verdict, result.service.whole, without.service.whole)

    of = cr.blow(kind, nodes=nodes, share=share, spread_s=spread_s, back_s=back_s, calls_per_s=calls,
                 utilisation=load, again=again, deaf=deaf)
    cr.whole(of, range(first, first + seeds), play, json_to, picture_to)


@lab.command("check")
def check_scenario(scenario: ScenarioArgument) -> None:
    """Read a scenario file and say what is wrong with it, if anything is."""
    s = scenario_of(scenario, None)
    print(f"{s.name}: {s.nodes.count} nodes, {sum(g.count for g in s.servers)} servers, {s.length_s:g} s, "
          f"{len(s.faults)} faults")


@lab.command("explain")
def explain_record(
    file: Annotated[Path, typer.Argument(help="A node's flight record (NAME.flight).")],
    picture_to: PictureOption = None,
) -> None:
    """Draw what a node believed of its servers, beside what was true where the lab's records lie by it."""
    to = picture_to if picture_to is not None else file.with_name(file.name + ".png")
    check_output_folders(to)
    try:
        name, rows, recording = explain.load(file)
    except explain.ExplainError as error:
        raise error_exit(str(error), 2) from None
    explain.text(name, rows, Console())
    to.write_bytes(explain.picture(name, rows, recording))
    print(f"picture: {to}")


@lab.command("list")
def list_scenarios() -> None:
    """The scenarios that come along."""
    for name in scenario_names():
        print(name)


@app.command()
def demo(
    seed: SeedOption = 1, json_to: JsonOption = None, report_to: ReportOption = None,
    picture_to: PictureOption = Path("headspar-demo.png"), keep: KeepOption = None,
) -> None:
    """Three nodes, nine cash servers, the due-date queue with 23% of the servers dying together."""
    s = scenario_of("due-date", None)
    check_output_folders(json_to, report_to, picture_to, keep)
    console = Console(stderr=str(json_to) == "-")
    before: dict[str, Any] = {}
    with Live(console=console, refresh_per_second=4, transient=True) as screen:

        def show(state: dict[str, Any]) -> None:
            screen.update(report.live(s.name, s.length_s, state, before))

        result = _run(s, seed, keep, show)
    report.text(result, console)
    if picture_to is not None:
        console.print(f"picture: {picture_to}")
    _end(result, json_to, report_to, picture_to)


def main() -> None:
    """The ``headspar`` script."""
    app()


if __name__ == "__main__":
    main()
