"""``headspar rollout``: the command line for changes over the fleet.

Exit status: 0 done, or the output was shown; 1 rolled back, refused, or there is no such change; 2 a file or an
option is invalid (one line says which); 3 the change needs a person; 4 another controller holds the lease, or the
record fails; 5 paused.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
import time
from math import log2
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from msgspec.structs import replace
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from headspar import failpoints, operator_file
from headspar.commands import check_output_folders, error_exit
from headspar.events import Events
from headspar.keeper.cli import status_table
from headspar.keeper.generations import GenerationError, digest
from headspar.keeper.messages import Status
from headspar.keeper.slots import assign_slots
from headspar.operations.ledger import PER_OCTAVE
from headspar.operator_file import JudgeTable, Operator, OperatorError, RolloutTable, parse_shares
from headspar.rollout.controller import Controller, observe_fleet, poll_statuses
from headspar.rollout.fleet import FleetError, Member, load
from headspar.rollout.judge.types import BY_CLASS, FIGURES, JudgeSettings, Power
from headspar.rollout.judge.types import Limits as JudgeLimits
from headspar.rollout.limits import Limits
from headspar.rollout.record import Busy, Fenced, Record, RecordError
from headspar.rollout.stages import Candidate
from headspar.rollout.stages import plan as plan_stages
from headspar.rollout.state import OVER, Change, RolloutPolicy, State

app = typer.Typer(no_args_is_help=True, help="Roll out a change of program or settings over the fleet, in stages.")
FileArgument = Annotated[Path, typer.Argument(help="The operator's file, with a table [rollout].")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one line of JSON.")]
YesOption = Annotated[bool, typer.Option("--yes", help="Do it; without this, only say what would be done.")]
AnywayOption = Annotated[bool, typer.Option("--anyway", help="Start even if the plan has objections.")]
StayOption = Annotated[bool, typer.Option("--stay", help="Keep running after the end, for nodes that recover later.")]
END = {State.DONE: 0, State.TAKEN_BACK: 1, State.PERSON: 3, State.PAUSED: 5}


def setup(file: Path) -> tuple[Operator, list[Member], Record]:
    """Load the operator's file, the fleet and the record; exits with a message if one is unusable."""
    try:
        operator = operator_file.load(file)
        table = operator.rollout
        for name in ("record", "fleet"):
            if not getattr(table, name):
                raise error_exit(f"{file}: rollout.{name}: not set", 2)
        failpoints.arm(os.environ)
        return operator, load(Path(table.fleet)), Record(Path(table.record))
    except (OperatorError, FleetError, failpoints.FailpointError) as error:
        raise error_exit(str(error), 2) from None
    except RecordError as error:
        raise error_exit(str(error), 4) from None


def judge_settings(table: JudgeTable, lost_s: float) -> JudgeSettings:
    """Return the judge's settings with the operators' margins."""
    margins = [table.served, table.refused, table.failed, table.late, table.attempts, table.handshakes, table.cpu,
               PER_OCTAVE * log2(1.0 + table.time)]
    figures = tuple(replace(f, margin=margin) for f, margin in zip(FIGURES, margins, strict=True))
    by_class = tuple(replace(f, margin=getattr(table, key)) for f, key in zip(
        BY_CLASS, ("class_refused", "class_failed"), strict=True))
    return JudgeSettings(table.on, table.watch_s, table.every_s, JudgeLimits(
        figures, by_class, table.error, table.least_s, table.most_s, table.settle_s, table.first_s,
        lost_s=lost_s, memory_mb=table.memory_mb, restarts=table.restarts))


def rollout_policy(operator: Operator) -> RolloutPolicy:
    """Return how a change is carried out according to the operator's file."""
    table = operator.rollout
    limits = Limits(table.max_out, table.max_out_site, table.node_rps, table.headroom, table.cold_most)
    return RolloutPolicy(limits, table.proving_s, table.settle_s, table.ready_s, table.lost_s,
                         table.on_failure, table.silence, table.silence_s, table.restart,  # type: ignore[arg-type]
                         judge_settings(operator.judge, table.lost_s))


def print_json(value: Any) -> None:
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")


def plan_change(operator: Operator, members: list[Member], statuses: dict[str, Status | None], name: str,
                folder: Path) -> tuple[Change, list[str]]:
    """Return the planned change and the objections to starting it."""
    table = operator.rollout
    try:
        goal = digest(folder)
    except GenerationError as error:
        raise error_exit(str(error), 2) from None
    present = [s.present for s in statuses.values() if s is not None and s.present]
    before = max(set(present), key=present.count) if present else ""
    nodes = [
        Candidate(m.name, m.site, s.figures.rate if (s := statuses[m.name]) is not None else 0.0) for m in members
    ]
    sites = {m.name: m.site for m in members}
    slots = assign_slots([m.name for m in members], sites, table.max_out, table.max_out_site, table.slot_s,
                         random.Random(name))
    stages = plan_stages(nodes, parse_shares(table.shares) or [1.0])
    objections = []
    if goal == before:
        objections.append("the fleet already runs this generation")
    if not before:
        objections.append("no keeper reports a running generation")
    third_generation = sorted(n for n, s in statuses.items() if s is not None and s.present not in (before, goal))
    if third_generation:
        objections.append(f"on a third generation: {', '.join(third_generation)}")
    unsettled = sorted(n for n, s in statuses.items() if s is not None and s.course not in ("settled", "held"))
    if unsettled:
        objections.append(f"not settled: {', '.join(unsettled)}")
    unreachable = sorted(n for n, s in statuses.items() if s is None)
    if len(unreachable) >= table.max_out:
        objections.append(f"unreachable, and only {table.max_out} may be out: {', '.join(unreachable)}")
    change = Change(name, goal, str(folder.absolute()), before, stages, slots, rollout_policy(operator))
    return change, objections


def show_plan(change: Change, objections: list[str], statuses: dict[str, Status | None]) -> Group:
    table = Table(box=None, header_style="bold")
    for title in ("stage", "nodes", "which"):
        table.add_column(title)
    for i, stage in enumerate(change.stages):
        table.add_row(str(i + 1), str(len(stage)), ", ".join(stage[:8]) + (" ..." if len(stage) > 8 else ""))
    notes = "" if not objections else "\n".join(f"objection: {text}" for text in objections)
    head = f"change {change.id}: {change.before[:12]} -> {change.goal[:12]}, {len(statuses)} nodes"
    return Group(Text(head), table, Text(notes, style="red"))


@app.command()
def plan(
    file: FileArgument, folder: Annotated[Path, typer.Argument(help="The new generation's folder.")],
    name: Annotated[str, typer.Option("--name", help="The change's name.")] = "change",
    watch: Annotated[float, typer.Option("--watch", min=0.0, max=3600.0, help="Take a baseline for so many seconds "
                                         "and show the power of each stage.")] = 0.0,
    as_json: JsonOption = False,
) -> None:
    """Show the stages of a change and the objections to it, without doing anything."""
    operator, members, _ = setup(file)
    statuses = asyncio.run(poll_statuses(members))
    change, objections = plan_change(operator, members, statuses, name, folder)
    powers: list[Power] = []
    if watch:
        powers, reason = asyncio.run(observe_fleet(members, replace(change.ways.judge, watch_s=watch), change))
        if reason:
            raise error_exit(f"--watch: {reason}", 1)
    if as_json:
        print_json({"change": change, "against": objections, "powers": powers})
    else:
        Console().print(show_plan(change, objections, statuses))
        for p in powers:
            print(("" if p.enough else "TOO LITTLE: ") + power_line(p))
    if objections:
        raise typer.Exit(1)


@app.command()
def start(
    file: FileArgument, folder: Annotated[Path, typer.Argument(help="The new generation's folder.")],
    name: Annotated[str, typer.Option("--name", help="A name for the change that has not been used.")],
    yes: YesOption = False, anyway: AnywayOption = False, stay: StayOption = False, as_json: JsonOption = False,
) -> None:
    """Start a change and lead it to its end."""
    operator, members, record = setup(file)
    table = operator.rollout
    statuses = asyncio.run(poll_statuses(members))
    change, objections = plan_change(operator, members, statuses, name, folder)
    if objections and not anyway or not yes:
        Console(stderr=as_json).print(show_plan(change, objections, statuses))
        if objections and not anyway:
            raise error_exit("not started; --anyway starts it despite the objections", 1)
        raise error_exit("nothing done; --yes does it", 0)
    try:
        record.create(change, time.time())
    except Busy as error:
        raise error_exit(str(error), 1) from None
    except OSError as error:
        raise error_exit(f"{table.record}: {error.strerror}", 4) from None
    _lead(table, members, record, stay, as_json)


@app.command("run")
def lead(file: FileArgument, stay: StayOption = False, as_json: JsonOption = False) -> None:
    """Lead the change in the record as soon as no other controller does."""
    operator, members, record = setup(file)
    _lead(operator.rollout, members, record, stay, as_json, standby=True)


def _lead(table: RolloutTable, members: list[Member], record: Record, stay: bool, as_json: bool,
          standby: bool = False) -> None:
    holder = f"{socket.gethostname()}/{os.getpid()}"
    console = Console(stderr=True)
    live = Live(console=console, refresh_per_second=4) if console.is_terminal and not as_json else None
    controller = Controller(
        record, members, Events(), holder, poll_s=table.poll_s, lease_s=table.lease_s, stay=stay,
        standby=standby,
        show=(lambda c: live.update(screen(c))) if live is not None else None,
    )
    try:
        if live is not None:
            live.start()
        change = asyncio.run(controller.run())
    except Fenced as error:
        raise error_exit(str(error), 4) from None
    except OSError as error:
        raise error_exit(f"{error.filename or table.record}: {error.strerror or error}", 4) from None
    finally:
        if live is not None:
            live.stop()
    if change is None:
        raise error_exit("there is no change", 1)
    _print_change(change, as_json)
    raise typer.Exit(END.get(change.state, 0))


def _print_change(change: Change, as_json: bool) -> None:
    if as_json:
        print_json(change)
    else:
        print(f"change {change.id}: {change.state.value}, stage {change.stage + 1} of {len(change.stages)}"
              + (f"; {change.why}" if change.why else ""))


def screen(controller: Controller) -> Group:
    """Return the live view of a change: stage, nodes by site and state, and what it waits for."""
    director = controller.director
    assert director is not None
    change, clock = director.change, controller.clock()
    stage = f"stage {change.stage + 1} of {len(change.stages)}"
    head = f"change {change.id}: {change.state.value}, {stage}, {clock:.0f} s"
    table = Table(box=None, header_style="bold")
    for title in ("site", "nodes", "old", "changing", "on trial", "proven", "new", "unreachable"):
        table.add_column(title)
    for site in sorted(set(director.sites.values())):
        counts = dict.fromkeys(("old", "changing", "on trial", "proven", "new", "unreachable"), 0)
        names = [n for n, s in director.sites.items() if s == site]
        for name in names:
            counts[node_stage(director.fresh_status(name, clock), change)] += 1
        table.add_row(site, str(len(names)), *(str(n) for n in counts.values()))
    return Group(Text(head), table, Text(f"waits: {controller.decision.waits}" if controller.decision.waits else ""))


def node_stage(status: Status | None, change: Change) -> str:
    """Return a node's state within a change, as a column of the live view."""
    if status is None:
        return "unreachable"
    if status.trial == change.goal:
        return "proven" if status.proved else "on trial" if status.course == "proving" else "changing"
    if status.present == change.goal and status.course == "settled":
        return "new"
    return "old" if status.course == "settled" else "changing"


@app.command()
def status(file: FileArgument, as_json: JsonOption = False) -> None:
    """Show the current or last change, and every node."""
    _, members, record = setup(file)
    found = record.latest()
    statuses = asyncio.run(poll_statuses(members))
    holder, epoch, until = record.holder()
    leader = holder if until > time.time() else ""
    if as_json:
        print_json({"change": found[0] if found else None, "led_by": leader, "epoch": epoch, "nodes": statuses})
        return
    if found is not None:
        _print_change(found[0], False)
        print(f"led by {leader}, epoch {epoch}" if leader else f"no controller leads it; last epoch {epoch}")
    Console().print(status_table(statuses))


@app.command()
def watch(
    file: FileArgument, seconds: Annotated[float, typer.Option("--every", min=0.1)] = 1.0,
    as_json: JsonOption = False,
) -> None:
    """Follow the change until it is over; with --json, print a line for each state that it enters."""
    _, members, record = setup(file)
    seen: tuple[State, int] | None = None
    while as_json and (found := record.latest()) is not None:
        change = found[0]
        if (change.state, change.stage) != seen:
            seen = change.state, change.stage
            print_json(change)
            sys.stdout.flush()
        if change.state in OVER:
            raise typer.Exit(END[change.state])
        time.sleep(seconds)
    if as_json:
        raise error_exit("there is no change", 1)
    with Live(refresh_per_second=4) as live:
        while (found := record.latest()) is not None:
            statuses = asyncio.run(poll_statuses(members))
            change = found[0]
            head = f"change {change.id}: {change.state.value}, stage {change.stage + 1} of {len(change.stages)}"
            live.update(Group(Text(f"{head} {change.why}"), status_table(statuses)))
            if change.state in OVER:
                raise typer.Exit(END[change.state])
            time.sleep(seconds)
    raise error_exit("there is no change", 1)


def _request(file: Path, what: str, yes: bool, as_json: bool) -> None:
    _, _, record = setup(file)
    found = record.latest()
    if found is None or found[0].state in OVER:
        raise error_exit("no change is under way", 1)
    if not yes:
        raise error_exit(f"nothing done; --yes asks the controller to {what} change {found[0].id!r}", 0)
    by = f"{os.environ.get('USER', 'uid')} {os.getuid()}"
    record.request(found[0].id, what, by, time.time())
    holder, _, until = record.holder()
    leader = holder if until > time.time() else ""
    if as_json:
        print_json({"change": found[0].id, "asked": what, "led_by": leader})
    else:
        print(f"asked {leader}" if leader else "no controller leads it now; start one with 'headspar rollout run'")


@app.command()
def pause(file: FileArgument, as_json: JsonOption = False) -> None:
    """Pause the change."""
    _request(file, "pause", True, as_json)


@app.command()
def resume(file: FileArgument, as_json: JsonOption = False) -> None:
    """Resume the change, and retry what failed."""
    _request(file, "resume", True, as_json)


@app.command()
def back(file: FileArgument, yes: YesOption = False, as_json: JsonOption = False) -> None:
    """Roll the change back, in steps within the limits."""
    _request(file, "back", yes, as_json)


def power_line(p: Power) -> str:
    """Return one line about the power of a stage for a figure."""
    least = f"{p.least:.3f}" if p.least is not None else "none"
    needs = f"{p.needs_s:.0f} s" if p.needs_s is not None else "over a day"
    return (f"stage {p.stage + 1}: {p.figure}: {p.new} nodes against {p.old}, smallest detectable harm "
            f"{least}; the margin of {p.margin:g} needs {needs}")


@app.command()
def report(
    file: FileArgument, name: Annotated[str, typer.Argument(help="The change.")],
    out: Annotated[Path, typer.Option("--out", help="The page to write (HTML).")] = Path("change.html"),
) -> None:
    """Write an HTML page about a change: its stages over time, the looks of the judge, and the transitions."""
    from headspar.rollout.report import collect, page  # its libraries take a second to load

    check_output_folders(out)
    _, _, record = setup(file)
    found = collect(record, name)
    if found is None:
        raise error_exit(f"there has been no change {name!r}", 1)
    try:
        out.write_text(page(found))
    except OSError as error:
        raise error_exit(f"{out}: {error.strerror}", 2) from None


@app.command()
def history(
    file: FileArgument,
    name: Annotated[str | None, typer.Argument(help="A change, to list its transitions and steps.")] = None,
    as_json: JsonOption = False,
) -> None:
    """List all changes, or all transitions and steps of one."""
    _, _, record = setup(file)
    if name is None:
        changes = record.changes()
        if as_json:
            print_json([{"change": change, "began": began} for change, began in changes])
            return
        for change, began in changes:
            print(f"{time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(began))}  ", end="")
            _print_change(change, False)
        return
    moves, steps, looks = record.moves(name), record.steps(name), record.looks(name)
    powers = record.powers(name)
    if not moves and not steps:
        raise error_exit(f"there has been no change {name!r}", 1)
    if as_json:
        print_json({"moves": moves, "steps": steps, "looks": looks, "powers": powers})
        return
    lines = [(m.at, f"{m.before} -> {m.after}: {m.cause} {m.why} (epoch {m.epoch})") for m in moves]
    lines += [(s.at, f"step {s.number}: {s.node} {s.say}: {s.outcome or 'no answer'} {s.why}") for s in steps]
    lines += [(k.at, f"judge, stage {k.stage + 1}, look {k.look}: {k.kind}: {k.reason}") for k in looks]
    for p in powers:
        print(power_line(p))
    for at, text in sorted(lines):
        print(f"{time.strftime('%H:%M:%S', time.localtime(at))}  {text.strip()}")
