"""``headspar model``: runs in simulated time, and comparisons of two versions."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskID, TextColumn, TimeRemainingColumn
from rich.table import Table

from headspar import recovery_report as rr
from headspar.commands import check_output_folders, error_exit, scenario
from headspar.model.costs import Costs
from headspar.model.figures import LOWER_IS_BETTER, of_run
from headspar.model.results import CACHE, Store
from headspar.model.simulate import Tuning, TuningError, simulate
from headspar.model.versions import VersionError, resolve
from headspar.world.mass_failures import without_failure
from headspar.world.plan import draw
from headspar.world.recovery import measure_recovery
from headspar.world.scenario import Scenario

if TYPE_CHECKING:
    from headspar.model.compare import Comparison
    from headspar.model.figures import Outcome
    from headspar.model.gate import Draw, Runs

LOOKS = "8,12,16,20,24"
app = typer.Typer(no_args_is_help=True, help=__doc__)
ScenarioOption = Annotated[str, typer.Option("--scenario", "-s", help="A file, or one of the lab's names.")]
CostsOption = Annotated[Path | None, typer.Option("--costs", help="Processor and network costs, as JSON.")]
JsonOption = Annotated[Path | None, typer.Option("--json", help="Write the figures to a file as JSON; - for stdout.")]
LEADING = ("goal", "whole", "worst_10_s", "recovery_s", "refused", "attempts_per_try", "cold_peak")


def costs(path: Path | None) -> Costs:
    if path is None:
        return Costs()
    try:
        return msgspec.json.decode(path.read_bytes(), type=Costs)
    except OSError as error:
        raise error_exit(f"{path}: {error.strerror}", 2) from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise error_exit(f"{path}: {error}", 2) from None


def _write(path: Path | None, data: bytes) -> None:
    if path is None:
        return
    if str(path) == "-":
        print(data.decode())
        return
    path.write_bytes(data + b"\n")


@app.command()
def run(
    scenario_: Annotated[str, typer.Argument(metavar="SCENARIO", help="A file, or one of the lab's names.")],
    seed: Annotated[int, typer.Option(min=0)] = 1, costs_: CostsOption = None, json_to: JsonOption = None,
) -> None:
    """Run a scenario in simulated time and check it against the four rules."""
    check_output_folders(json_to)
    s, run_costs = scenario(scenario_), costs(costs_)
    began = time.perf_counter()
    try:
        result = simulate(s, seed, Tuning(), run_costs)
    except TuningError as error:
        raise error_exit(str(error), 2) from None
    took = time.perf_counter() - began
    v = result.verdict
    figures = of_run(result.recording, v, result.service)
    title = f"{s.name}, seed {seed}: {len(result.recording.asks)} client attempts in {took:.1f} s"
    table = Table(title=title, show_header=False)
    for name, value in figures.items():
        table.add_row(name, f"{value:.4f}")
    for name, count in v.kinds.items():
        table.add_row(name, str(count), style="red")
    Console(stderr=str(json_to) == "-").print(table)
    _write(json_to, json.dumps({"figures": figures, "broken": v.kinds, "doubts": v.doubts, "took_s": round(took, 3),
                                "digest": result.digest()}).encode())
    if not v.valid:
        raise typer.Exit(3)
    if not v.clean:
        raise typer.Exit(1)


@app.command("comeback")
def comeback_in_model(
    nodes: rr.NodesOption = 24, share: rr.ShareOption = 0.7, kind: rr.KindOption = "kill",
    spread_s: rr.SpreadOption = 0.2, back_s: rr.ReturnOption = 1.0, calls: rr.DiscoveryRateOption = 8.0,
    load: rr.LoadOption = 0.5, again: rr.RetriesOption = 2, deaf: rr.NoBackoffOption = False,
    seeds: Annotated[int, typer.Option(min=1, max=1000)] = 10, first: rr.FirstOption = 1, costs_: CostsOption = None,
    json_to: rr.JsonOption = None, picture_to: rr.PictureOption = None,
) -> None:
    """Simulate a mass failure of a fleet's nodes; report time to full service, causes of delay, load spikes and stale
    decisions.  Each seed is run twice: without and with the failure."""
    run_costs = costs(costs_)

    def run_draw(s: Scenario, seed: int) -> rr.Draw:
        plan = draw(s, seed)
        try:
            without = simulate(s, seed, costs=run_costs, plan=without_failure(plan))
            result = simulate(s, seed, costs=run_costs, plan=plan)
        except TuningError as error:
            raise error_exit(str(error), 2) from None
        c = measure_recovery(result.recording, without.recording, s.discovery.calls_per_s)
        return rr.Draw(seed, c, result.verdict, result.service.whole, without.service.whole)

    of = rr.mass_failure(kind, nodes=nodes, share=share, spread_s=spread_s, back_s=back_s, calls_per_s=calls,
                         utilisation=load, again=again, deaf=deaf)
    rr.run_command(of, range(first, first + seeds), run_draw, json_to, picture_to)


def table(c: Comparison) -> Table:
    """Returns a table of a comparison's figures, with its sentence as the title."""
    out = Table(title=c.sentence, title_justify="left")
    for name in ("figure", "A", "B", "B better by", "95%", "BCa 95%", "tipped A, B", ""):
        out.add_column(name, justify="left" if name in ("figure", "") else "right")
    for name in sorted(c.figures, key=lambda n: (LEADING.index(n) if n in LEADING else len(LEADING), n)):
        f = c.figures[name]
        what = f"{name} (lower is better)" if name in LOWER_IS_BETTER else name
        style = {"better": "green", "worse": "red"}.get(f.word.value, "")
        out.add_row(what, f"{f.a.mean:.4f}", f"{f.b.mean:.4f}", f"{f.plain.mean:+.4f}",
                    f"{f.plain.low:+.4f} .. {f.plain.high:+.4f}", f"{f.skewed.low:+.4f} .. {f.skewed.high:+.4f}",
                    f"{f.a.tipped:.0%}, {f.b.tipped:.0%}", f.word.value, style=style)
    return out


def _looks(text: str) -> list[int]:
    try:
        looks = [int(x) for x in text.split(",")]
    except ValueError:
        raise error_exit(f"--looks: must be integers separated by commas, got {text!r}", 2) from None
    if looks[0] < 2 or any(b <= a for a, b in zip(looks, looks[1:], strict=False)) or looks[-1] > 1000:
        raise error_exit("--looks: must increase, from 2 up to 1000", 2)
    return looks


@app.command()
def compare(
    a: Annotated[str, typer.Argument(help="A TOML file, a folder, a git revision, or . for this program.")],
    b: Annotated[str, typer.Argument(help="The other one.")],
    scenario_: ScenarioOption = "due-date", costs_: CostsOption = None, json_to: JsonOption = None,
    looks: Annotated[str, typer.Option(help="Seeds at each look.")] = LOOKS,
    margin: Annotated[float, typer.Option(min=0.0, max=1.0, help="Differences up to this are ignored.")] = 0.005,
    budget_s: Annotated[float, typer.Option(min=1.0, max=86_400.0, help="Time limit in seconds.")] = 240.0,
    workers: Annotated[int, typer.Option(min=0, max=256, help="Worker processes; 0: half of the processors.")] = 0,
    first_seed: Annotated[int, typer.Option(min=0)] = 1,
    independent: Annotated[bool, typer.Option(help="Run B on other seeds than A.")] = False,
    results: Annotated[Path, typer.Option(help="The folder of cached runs.")] = CACHE,
) -> None:
    """Compare two versions on the same traffic until the result is conclusive.  Exit status 0: conclusive, 4:
    inconclusive, 1: a version broke a rule or crashed."""
    from headspar.model.compare import Comparing  # importing scipy takes 0.5 s, which other commands avoid
    from headspar.model.statistics import Conclusion

    check_output_folders(json_to)
    s, run_costs, planned = scenario(scenario_), costs(costs_), _looks(looks)
    try:
        store = Store(results)
        versions = [resolve(name, results) for name in (a, b)]
    except VersionError as error:
        raise error_exit(str(error), 2) from None
    except OSError as error:
        raise error_exit(f"--results: {results}: {error.strerror}", 2) from None
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}/{task.total} runs"),
               TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True)) as progress:
        task_id = progress.add_task("looking", total=None)

        def report(done: int, all_: int, what: str) -> None:
            progress.update(task_id, completed=done, total=all_, description=what)

        found = Comparing(versions[0], versions[1], s, store, costs=run_costs, looks=planned, margin=margin,
                          budget_s=budget_s, first_seed=first_seed, workers=workers, independent=independent,
                          progress=report).run()
    console = Console(stderr=str(json_to) == "-")
    console.print(table(found))
    for row in found.bad[:10]:
        console.print(f"[red]seed {row.seed}, {row.version}: {row.text}")
    _write(json_to, msgspec.json.encode(found))
    if found.ended == "interrupted":
        raise typer.Exit(130)
    if found.bad:
        raise typer.Exit(1)
    if found.word is Conclusion.UNKNOWN and not found.same:
        raise typer.Exit(4)


def _seeds(text: str) -> range:
    """Parses ``A..B``, both ends included, or a single seed."""
    first, dots, last = text.partition("..")
    try:
        found = range(int(first), int(last if dots else first) + 1)
    except ValueError:
        raise error_exit(f"--seeds: must be A..B or one seed, got {text!r}", 2) from None
    if not 1 <= len(found) <= 1000 or found[0] < 0:
        raise error_exit(f"--seeds: must be 1 to 1000 seeds in ascending order, got {text!r}", 2)
    return found


def _days(text: str) -> list[str]:
    from headspar.model.days import DAYS

    found = text.split(",") if text else [name for name in DAYS if name != "soak"]
    for name in found:
        if name not in DAYS:
            raise error_exit(f"--days: {name!r} is not one of {', '.join(DAYS)}", 2)
    return list(dict.fromkeys(found))


@app.command()
def gate(
    days: Annotated[str, typer.Option(help="Names separated by commas; all but the soak if empty.")] = "",
    seeds: Annotated[str, typer.Option(help="A..B, both ends included.")] = "1..10",
    nodes: Annotated[int, typer.Option(min=2, max=400)] = 200,
    version: Annotated[str, typer.Option(help="As for compare: a file, folder, revision, or .")] = ".",
    shrink: Annotated[bool, typer.Option(help="Reduce the first failing draw to a minimal scenario.")] = True,
    references: Annotated[bool, typer.Option(help="Run the same draws with the two reference policies too.")] = True,
    shrunk: Annotated[Path, typer.Option(help="Where to write the minimal scenario.")] = Path("shrunk.toml"),
    workers: Annotated[int, typer.Option(min=0, max=256, help="Worker processes; 0: all processors but one.")] = 0,
    costs_: CostsOption = None, json_to: JsonOption = None,
    results: Annotated[Path, typer.Option(help="The folder of cached runs.")] = CACHE,
) -> None:
    """Run the days of the standing fleet test in the model under many seeds.  Exit status 0: no rule broken and no
    crash, 1: a draw failed, 130: interrupted."""
    from headspar.model.gate import Runs, by_day, search
    from headspar.model.references import NAMES

    names, range_, run_costs = _days(days), _seeds(seeds), costs(costs_)
    check_output_folders(json_to)
    if shrink:
        check_output_folders(shrunk)
    try:
        runs = Runs(resolve(version, results), Store(results), workers, run_costs)
    except VersionError as error:
        raise error_exit(str(error), 2) from None
    except OSError as error:
        raise error_exit(f"--results: {results}: {error.strerror}", 2) from None
    console = Console(stderr=True)
    with Progress(TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}/{task.total} draws"),
                  TimeRemainingColumn(), console=console) as progress:
        found: dict[str, list[Draw]] = {}
        for policy in ("", *(NAMES if references else ())):
            task_id = progress.add_task("drawing", total=len(names) * len(range_))

            def report(done: int, _: int, what: str, at: TaskID = task_id, policy: str = policy) -> None:
                progress.update(at, completed=done, description=f"{what} {policy}")

            found[policy] = search(runs, names, range_, nodes, report, policy)
    draws = found[""]
    figures = by_day(draws)
    baselines = {policy: {f.day: f.served[1] for f in by_day(found[policy])} for policy in found if policy}
    rows = Table(title=f"{len(draws)} draws of {nodes} nodes, {runs.executed} of them run now", title_justify="left")
    columns = ("day", "draws", "failed", "served: min", "mean", "max", *(f"{policy}, mean" for policy in baselines),
               "worst seeds", "s per draw", "rules broken")
    for name in columns:
        rows.add_column(name, justify="left" if name in ("day", "worst seeds", "rules broken") else "right")
    for f in figures:
        rows.add_row(f.day, str(f.draws), str(len(f.failed)), *(f"{x:.3f}" for x in f.served),
                     *(f"{means[f.day]:.3f}" if f.day in means else "" for means in baselines.values()),
                     " ".join(map(str, f.worst)), f"{f.seconds:.0f}",
                     "; ".join(f"{kind} in {count}" for kind, count in f.broken.items()),
                     style="red" if f.failed else "")
    Console(stderr=str(json_to) == "-").print(rows)
    failing = [d for d in draws if d.failed]
    for d in failing[:10]:
        console.print(f"[red]{d.day}, seed {d.seed}: {d.text}")
    _write(json_to, json.dumps({"nodes": nodes, "draws": len(draws), "failed": len(failing),
                                "days": msgspec.to_builtins(figures), "references": baselines}).encode())
    if runs.stop.is_set():
        raise typer.Exit(130)
    if failing and shrink:
        _shrink(runs, failing[0].day, failing[0].seed, nodes, shrunk, console)
    if failing:
        raise typer.Exit(1)


def _shrink(runs: Runs, name: str, seed: int, nodes: int, path: Path, console: Console) -> None:
    """Writes the smallest scenario found that fails like this draw to a file that can be replayed."""
    from headspar.model.days import day
    from headspar.model.shrink import shrink, size, to_toml

    def one(s: Scenario, at: int) -> Outcome:
        outcome = runs([(s, at)])[0]
        if outcome is None:
            raise KeyboardInterrupt
        return outcome

    try:
        small, outcome, made = shrink(day(name, seed, nodes), seed, one)
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
    except ValueError as error:  # the draw failed without a broken rule or a crash, so it cannot be reduced
        console.print(str(error))
        return
    path.write_text(f"# {name}, seed {seed}: {', '.join(outcome.broken) or outcome.crash}\n"
                    f"# headspar model run {path.name} --seed {seed}\n{to_toml(small)}")
    count, servers, faults, length_s = size(small)
    console.print(f"{name}, seed {seed}: after {made} runs {count} nodes, {servers} servers, {faults} faults, "
                  f"{length_s:g} s still fail: {path}, seed {seed}")


@app.command()
def calibrate(
    scenario_: Annotated[str, typer.Argument(metavar="SCENARIO", help="The scenario that the lab ran.")],
    truth: Annotated[Path, typer.Argument(help="The lab's records of it: truth.bin of a run with --record --keep.")],
    seed: Annotated[int, typer.Option(min=0, help="The seed of the lab's run.")] = 1,
    out: Annotated[Path | None, typer.Option(help="Write the costs to this file, for --costs.")] = None,
    costs_: CostsOption = None,
) -> None:
    """Fit the network costs to a lab run and show where the model deviates from it."""
    from headspar.model.calibrate import CalibrationError, fit, residuals
    from headspar.world.records import decode

    check_output_folders(out)
    s, known = scenario(scenario_), costs(costs_)
    try:
        recording = decode(truth.read_bytes())
        found = fit([recording], known)
    except OSError as error:
        raise error_exit(f"{truth}: {error.strerror}", 2) from None
    except (msgspec.MsgspecError, CalibrationError) as error:
        raise error_exit(f"{truth}: {error}", 2) from None
    model = simulate(s, seed, Tuning(), found).recording
    if len(model.rules.calls) != len(recording.rules.calls):
        raise error_exit(f"{truth}: was not recorded with this scenario and seed", 2)
    rows = Table(title=f"{s.name}, seed {seed}: the lab and the model")
    for name in ("", "lab", "model", "difference"):
        rows.add_column(name, justify="left" if not name else "right")
    for row in residuals(recording, model):
        rows.add_row(row.what, f"{row.lab:.3f}", f"{row.model:.3f}", f"{row.off:+.3f}")
    Console().print(rows)
    _write(out, msgspec.json.encode(found))


@app.command()
def predict(
    scenario_: Annotated[str, typer.Argument(metavar="SCENARIO", help="A file, or one of the lab's names.")],
    seed: Annotated[int, typer.Option(min=0)] = 1, costs_: CostsOption = None, json_to: JsonOption = None,
    runs: Annotated[int, typer.Option(min=3, max=1000, help="Runs of the model, each with other delays.")] = 12,
    level: Annotated[float, typer.Option(min=0.5, max=0.999)] = 0.9,
) -> None:
    """Predict the service of one more run of this scenario and seed."""
    from headspar.model.calibrate import predict as predicted

    check_output_folders(json_to)
    s, run_costs = scenario(scenario_), costs(costs_)
    found: dict[str, list[float]] = {}
    with Progress(TextColumn("{task.description}"), BarColumn(), TimeRemainingColumn(),
                  console=Console(stderr=True)) as progress:
        for i in progress.track(range(runs), description=s.name):
            result = simulate(s, seed, Tuning(), run_costs, noise=i)
            if not result.verdict.clean:
                raise error_exit(f"run {i} of the model broke rules: {'; '.join(result.verdict.kinds)}", 2)
            for name, value in of_run(result.recording, result.verdict, result.service).items():
                found.setdefault(name, []).append(value)
    rows = Table(title=f"{s.name}, seed {seed}: {level:.0%} of runs lie within")
    for name in ("figure", "low", "mean", "high"):
        rows.add_column(name, justify="left" if name == "figure" else "right")
    out = {}
    for name in ("goal", "whole", "worst_10_s"):
        p = predicted(name, found[name], level)
        rows.add_row(name, f"{p.low:.4f}", f"{p.mean:.4f}", f"{p.high:.4f}")
        out[name] = msgspec.to_builtins(p)
    Console(stderr=str(json_to) == "-").print(rows)
    _write(json_to, json.dumps(out).encode())
