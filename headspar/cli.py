"""``headspar``: the command line for operators and developers.

The platform starts nodes with ``python -m headspar``, which does not import this module.

Exit status: 0 success; 1 a rule was violated; 2 invalid file or option (one line names it); 3 the run is not valid,
so it has no verdict; 4 the run could not be carried out; 130 interrupted.
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

from headspar import operator_file
from headspar import recovery_report as rr
from headspar.commands import check_output_folders, error_exit, scenario_names
from headspar.commands import scenario as scenario_of
from headspar.events import table as events_table
from headspar.fleet import cli as fleet_cli
from headspar.keeper import cli as keeper_cli
from headspar.lab import explain, report, soak_cli
from headspar.lab.result import Result, RunError
from headspar.lab.run import run_scenario
from headspar.model import cli as model_cli
from headspar.rollout import cli as rollout_cli
from headspar.snapshot import cli as snapshot_cli
from headspar.world.recovery import measure_recovery
from headspar.world.scenario import Scenario

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="A reverse proxy node that balances by estimated capacity, and its test lab.")
lab = typer.Typer(no_args_is_help=True, help="A fleet on loopback with fault injection, and an audit of each run.")
app.add_typer(lab, name="lab")
lab.command("soak")(soak_cli.soak_command)
app.add_typer(model_cli.app, name="model")
app.add_typer(keeper_cli.app, name="keeper")
app.add_typer(rollout_cli.app, name="rollout")
app.add_typer(fleet_cli.app, name="fleet")
app.add_typer(snapshot_cli.app, name="state")
PROGRESS_BAR_MIN_LENGTH_S = 3.0  # shorter scenarios run without a progress bar

ScenarioArgument = Annotated[str, typer.Argument(help="A scenario file, or the name of a built-in scenario.")]
NodesOption = Annotated[int | None, typer.Option("--nodes", help="Number of nodes; overrides the scenario's.")]
SeedOption = Annotated[int, typer.Option("--seed", help="Random seed; the same seed draws the same run.")]
JsonOption = Annotated[Path | None, typer.Option("--json", help="Write figures as JSON to a file ('-': stdout).")]
ReportOption = Annotated[Path | None, typer.Option("--report", help="Write an HTML page with tables and chart.")]
PictureOption = Annotated[Path | None, typer.Option("--picture", help="Write the chart as a PNG file.")]
KeepOption = Annotated[Path | None, typer.Option("--keep", help="Keep logs and records of the run in this folder.")]
RecordOption = Annotated[bool, typer.Option("--record", help="Write a flight record of each node to --keep.")]


def _run(s: Scenario, seed: int, keep: Path | None, on_progress: Any, record: bool = False) -> Result:
    """Runs a scenario, with its files in ``keep`` or a temporary folder; exits with one line if it cannot."""
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
        raise error_exit("interrupted; all processes of the run were stopped", 130) from None


def _finish(result: Result, json_to: Path | None, report_to: Path | None, picture_to: Path | None) -> None:
    """Writes the requested files and exits with status 3 or 1 if the run is invalid or a rule was violated."""
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
def check_operator(file: Annotated[Path, typer.Argument(help="The operator's settings file.")]) -> None:
    """Validate an operator's file and print its settings, with the default where a value differs."""
    try:
        operator = operator_file.load(file)
    except operator_file.OperatorError as error:
        raise error_exit(str(error), 2) from None
    for name, value, default in operator_file.settings_rows(operator):
        print(f"{name} = {value}" + ("" if value == default else f"  (default {default})"))


@app.command()
def events() -> None:
    """Print the table of keeper and controller events, as in docs/operators/events.md."""
    print(events_table(), end="")


@app.command()
def node() -> None:
    """Run one node, configured by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONFIG."""
    from headspar.__main__ import main as node_main

    raise typer.Exit(node_main())


@lab.command()
def run(
    scenario: ScenarioArgument, nodes: NodesOption = None, seed: SeedOption = 1, json_to: JsonOption = None,
    report_to: ReportOption = None, picture_to: PictureOption = None, keep: KeepOption = None,
    record: RecordOption = False,
) -> None:
    """Run a scenario with real node processes and audit the run."""
    s = scenario_of(scenario, nodes)
    if record and keep is None:
        raise error_exit("--record: needs --keep DIR, the folder that the records are written to", 2)
    check_output_folders(json_to, report_to, picture_to, keep)
    console = Console(stderr=str(json_to) == "-")
    if s.length_s < PROGRESS_BAR_MIN_LENGTH_S:
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
    _finish(result, json_to, report_to, picture_to)


@lab.command("comeback")
def comeback_in_lab(
    nodes: rr.NodesOption = 24, share: rr.ShareOption = 0.7, kind: rr.KindOption = "kill",
    spread_s: rr.SpreadOption = 0.2, back_s: rr.ReturnOption = 1.0, calls: rr.DiscoveryRateOption = 8.0,
    load: rr.LoadOption = 0.5, again: rr.RetriesOption = 2, deaf: rr.NoBackoffOption = False,
    seeds: Annotated[int, typer.Option(min=1, max=100)] = 1, first: rr.FirstOption = 1,
    json_to: rr.JsonOption = None, picture_to: rr.PictureOption = None, keep: KeepOption = None,
) -> None:
    """Fail most nodes of a fleet of processes at once, and measure its recovery.

    Reports the time to full service, what delayed it, thundering herds and decisions on stale lists.  Each seed is
    played twice: without the node failures, and with them."""
    check_output_folders(keep)

    def run_draw(s: Scenario, seed: int) -> rr.Draw:
        results = []
        for with_node_faults in (False, True):
            with tempfile.TemporaryDirectory(prefix="headspar-lab-") as dir:
                name = f"{seed}-{'struck' if with_node_faults else 'not'}"
                run_dir = keep / name if keep is not None else Path(dir)
                try:
                    results.append(run_scenario(s, seed, run_dir, with_node_faults=with_node_faults))
                except RunError as error:
                    raise error_exit(str(error), 4) from None
        without, result = results
        c = measure_recovery(result.recording, without.recording, s.discovery.calls_per_s)
        return rr.Draw(seed, c, result.verdict, result.service.whole, without.service.whole)

    experiment = rr.mass_failure(kind, nodes=nodes, share=share, spread_s=spread_s, back_s=back_s, calls_per_s=calls,
                                 utilisation=load, again=again, deaf=deaf)
    rr.run_command(experiment, range(first, first + seeds), run_draw, json_to, picture_to)


@lab.command("check")
def check_scenario(scenario: ScenarioArgument) -> None:
    """Validate a scenario file and print a one-line summary."""
    s = scenario_of(scenario, None)
    print(f"{s.name}: {s.nodes.count} nodes, {sum(g.count for g in s.servers)} servers, {s.length_s:g} s, "
          f"{len(s.faults)} faults")


@lab.command("explain")
def explain_record(
    file: Annotated[Path, typer.Argument(help="A node's flight record (NAME.flight).")],
    picture_to: PictureOption = None,
) -> None:
    """Chart a node's estimates of its servers, and their true state if the lab's records are in the same folder."""
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
    """List the built-in scenarios."""
    for name in scenario_names():
        print(name)


@app.command()
def demo(
    seed: SeedOption = 1, json_to: JsonOption = None, report_to: ReportOption = None,
    picture_to: PictureOption = Path("headspar-demo.png"), keep: KeepOption = None,
) -> None:
    """Run three nodes and nine cash servers through the due-date peak, in which 23% of the servers fail together."""
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
    _finish(result, json_to, report_to, picture_to)


def main() -> None:
    """Entry point of the ``headspar`` script."""
    app()


if __name__ == "__main__":
    main()
