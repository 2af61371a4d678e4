"""The controller: holds the lease, polls the keepers, and carries out what the director decides."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from headspar.config import parse_address
from headspar.events import Events
from headspar.failpoints import failpoint
from headspar.keeper import messages as m
from headspar.rollout.fleet import Member
from headspar.rollout.judge.types import JudgeSettings, Power
from headspar.rollout.record import Fenced, Record, Step
from headspar.rollout.state import (
    OVER,
    RESEND_STATES,
    TABLE,
    Cause,
    Change,
    Command,
    Decision,
    Director,
    State,
    command_message,
)

if TYPE_CHECKING:
    from headspar.rollout.change_judge import Judging

ANSWER_S = 2.0  # timeout of a keeper's answer
FETCH_S = 120.0  # timeout of a keeper that copies a generation
REQUESTS = {"pause": Cause.PAUSE, "resume": Cause.RESUME, "back": Cause.BACK}


async def send(member: Member, message: Any, seconds: float = ANSWER_S) -> m.Reply:
    """Send a message to a keeper and return its reply; raises ``OSError`` without a reply in ``seconds``."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*parse_address(member.keeper, "keeper"), limit=m.MAX_LINE)
            failpoint("rollout.sending" if not isinstance(message, m.QueryStatus | m.Heartbeat)
                      else "rollout.hearing")
            writer.write(m.encode(message))
            line = await reader.readline()
        return msgspec.json.decode(line, type=m.Reply)
    except (TimeoutError, ValueError, msgspec.MsgspecError) as error:
        raise OSError(f"{member.name}: no answer: {error or 'in time'}") from None
    finally:
        if writer is not None:
            writer.close()


async def poll_statuses(members: Sequence[Member], seconds: float = ANSWER_S) -> dict[str, m.Status | None]:
    """Return the status of each node's keeper; None without an answer."""
    async def one(member: Member) -> m.Status | None:
        try:
            return (await send(member, m.QueryStatus(), seconds)).status
        except OSError:
            return None

    found = await asyncio.gather(*(one(member) for member in members))
    return {member.name: status for member, status in zip(members, found, strict=True)}


async def observe_fleet(members: list[Member], settings: JudgeSettings, change: Change) -> tuple[list[Power], str]:
    """Take a baseline of the fleet for ``settings.watch_s`` seconds, as before a change.

    Returns the power of each stage, and why there is none (empty if there is).
    """
    from headspar.rollout.change_judge import Judging  # its libraries take a second to load

    judging = Judging(settings, {member.name: member.site for member in members}, time.monotonic(), None)

    async def measure(member: Member) -> None:
        while True:
            with contextlib.suppress(OSError):
                record_work(judging, member, await send(member, m.QueryWork()))
            await asyncio.sleep(settings.every_s)

    tasks = [asyncio.create_task(measure(member)) for member in members]
    await asyncio.sleep(settings.watch_s + settings.every_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    now = time.monotonic()
    why = judging.waits(now)
    if why:
        return [], why
    judging.take_baseline(now)
    return judging.powers(change), ""


def record_work(judging: Judging, member: Member, reply: m.Reply) -> None:
    """Pass on a node's work report, if the reply is that node's and has one."""
    if reply.work is not None and reply.status is not None and reply.status.name == member.name:
        judging.add_work(member.name, reply.work, time.monotonic())


class Controller:
    """A controller process.

    ``stay``: keep running after the end of the change, for nodes that recover later and for new changes.
    ``standby``: after losing the lease, wait for it again instead of ending.
    """

    def __init__(self, record: Record, members: Sequence[Member], events: Events, holder: str, *,
                 poll_s: float = 0.5, lease_s: float = 10.0, stay: bool = False, standby: bool = False,
                 show: Callable[[Controller], None] | None = None) -> None:
        self.record, self.events, self.holder = record, events, holder
        self.members = {member.name: member for member in members}
        self.poll_s, self.lease_s, self.stay, self.show = poll_s, lease_s, stay, show
        self.standby = standby
        self.stop_requested = False
        self._reset()

    def _reset(self) -> None:
        """Forget everything: state from an earlier epoch is older than what the next holder has done since."""
        self.epoch = 0
        self.director: Director | None = None
        self.began = 0.0  # wall clock at the start of the change
        self.decision = Decision()
        self.judging: Judging | None = None
        self.looks = 0  # number of looks at the current stage
        self.looked_stage: tuple[int, float] = (-1, -1.0)
        self.busy: dict[str, asyncio.Task[None]] = {}
        self.fetching: dict[str, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.renewed = 0.0
        self.stopping = asyncio.Event()
        self.last_wait_reason = ""
        self.failure: BaseException | None = None

    # ------------------------------------------------------------ life cycle

    async def run(self) -> Change | None:
        """Acquire the lease as soon as it is free, lead until the change is over, and return the change.

        With ``stay`` it leads until SIGTERM.  Raises ``Fenced`` if the lease is lost on the way, except with
        ``standby``: the controller then waits for the lease again, so that a stall of the machine does not leave
        the change without a controller.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._request_stop)
        while True:
            try:
                return await self._acquire_and_lead()
            except Fenced as error:
                if not self.standby or self.stop_requested:
                    raise
                self.events.emit("rollout.fenced", holder=self.holder, epoch=self.epoch, why=str(error))
                self._reset()

    def _request_stop(self) -> None:
        self.stop_requested = True
        self.stopping.set()

    async def _acquire_and_lead(self) -> Change | None:
        if not await self._acquire():
            return None
        try:
            await self._lead()
        finally:
            tasks = [*self.tasks, *self.busy.values(), *self.fetching.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)  # no command goes out after the release
            self.record.release(self.epoch)
            self.events.emit("rollout.lease", holder=self.holder, epoch=self.epoch, held=False)
        return self.director.change if self.director is not None else None

    async def _acquire(self) -> bool:
        while not self.stopping.is_set():
            now = time.time()
            epoch = self.record.acquire(self.holder, now, self.lease_s)
            if epoch is not None:
                self.epoch, self.renewed = epoch, now
                self.events.emit("rollout.lease", holder=self.holder, epoch=epoch, held=True)
                return True
            await self._sleep(min(1.0, self.lease_s / 10))
        return False

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.stopping.wait()
        except TimeoutError:
            pass

    async def _lead(self) -> None:
        for member in self.members.values():
            self.tasks.add(asyncio.create_task(self._poll_status(member)))
            self.tasks.add(asyncio.create_task(self._poll_work(member)))
        while not self.stopping.is_set():
            now = time.time()
            if now - self.renewed > self.lease_s / 4:
                self.record.renew(self.epoch, now, self.lease_s)
                self.renewed = now
            if self._load():
                self._step()
                assert self.director is not None
                if self.show is not None:
                    self.show(self)
                state = self.director.change.state
                if not self.stay and (state in OVER and not self.busy or state is State.PERSON):
                    return
            elif not self.stay:
                return
            await self._sleep(self.poll_s / 2)
        if self.failure is not None:
            raise self.failure

    def _load(self) -> bool:
        """Load the change to lead; return False if there is none."""
        if self.director is not None and self.director.change.state not in OVER:
            return True
        found = self.record.latest()
        if found is None:
            return False
        change, began = found
        if self.director is None or self.director.change.id != change.id:
            self.began = began
            sites = {member.name: member.site for member in self.members.values()}
            self.director = Director(change, sites, self.clock())
            for node, at in self.record.try_times(change.id).items():
                if node in sites:
                    self.director.record_try(node, at - began)
            judge = change.ways.judge
            self.judging = None
            if judge.on and change.state not in OVER:
                from headspar.rollout.change_judge import (
                    Judging,  # its libraries take longer to load than everything else
                )

                self.judging = Judging(judge, sites, time.monotonic(), self.record.baseline(change.id))
        return True

    def clock(self) -> float:
        """Return the seconds since the start of the change."""
        return time.time() - self.began

    # ------------------------------------------------------------ polling the keepers

    async def _poll_status(self, member: Member) -> None:
        """Poll a keeper's status forever; the first message also makes our epoch known to it."""
        while True:
            director = self.director
            try:
                clock = self.clock() if director is not None else 0.0
                reply = await send(member, m.Heartbeat(node=member.name, epoch=self.epoch, clock=clock))
                status = reply.status
                if status is not None and status.name == member.name:
                    self._raise_epoch(status)
                    if director is not None:
                        director.receive_status(member.name, status, self.clock())
            except Fenced as error:
                self.failure = error
                self.stopping.set()
                return
            except OSError:
                pass
            await asyncio.sleep(self.poll_s)

    async def _poll_work(self, member: Member) -> None:
        """Poll a node's work report while a change is judged."""
        while True:
            judging = self.judging
            if judging is None:
                await asyncio.sleep(self.poll_s)
                continue
            with contextlib.suppress(OSError):
                record_work(judging, member, await send(member, m.QueryWork()))
            await asyncio.sleep(judging.settings.every_s)

    def _raise_epoch(self, status: m.Status) -> None:
        """Raise our epoch and steps above a keeper's; raises ``Fenced`` if the lease is no longer ours.

        A keeper that has seen a later epoch or step than the record shows that the record was lost or restored from
        an older copy.
        """
        if status.epoch > self.epoch or status.step > self.record.last_step:
            self.epoch = self.record.raise_epoch(self.epoch, status.epoch, status.step)

    # ------------------------------------------------------------ one iteration

    def _step(self) -> None:
        director = self.director
        assert director is not None
        clock = self.clock()
        self._handle_requests(director)
        if director.change.state is State.PLANNED:
            if self._awaiting_baseline(director.change):
                return
            self._move(Cause.START, "")
        # Every reachable keeper answers before anything is decided, so that it knows our epoch.
        reported = sum(seen.at >= director.began for seen in director.observations.values())
        if reported < len(director.observations) and clock - director.began < max(2 * self.poll_s, ANSWER_S):
            return
        open_steps: dict[str, list[Step]] = {}
        for step in self.record.steps(director.change.id, open_only=True):
            open_steps.setdefault(step.node, []).append(step)
        director.unacknowledged = {*open_steps, *self.busy}
        self._judge(director, clock)
        decision = self.decision = director.decide(clock)
        self._report_wait(decision.waits)
        for command in decision.commands:
            if command.say == "fetch":
                self._start_fetch(command)
            elif command.node not in self.busy:
                self._spawn(command.node, self._send_command(command, open_steps.pop(command.node, [])))
        for node, steps in open_steps.items():
            if node not in self.busy and director.fresh_status(node, clock) is not None:
                self._spawn(node, self._resend(steps))
        if decision.cause is not None:
            self._move(decision.cause, decision.why, decision.judged)

    def _awaiting_baseline(self, change: Change) -> bool:
        """Return whether the change still waits for its baseline; take and store it when it is due."""
        judging, now = self.judging, time.monotonic()
        if judging is None or judging.before is not None:
            return False
        waits = judging.waits(now)
        self._report_wait(waits)
        if waits:
            return True
        before = judging.take_baseline(now)
        powers = judging.powers(change)
        self.record.store_baseline(self.epoch, change.id, before, powers, time.time())
        for p in powers:
            if not p.enough:
                self.events.emit("rollout.power", change=change.id, stage=p.stage, figure=p.figure, margin=p.margin,
                                 least=-1.0 if p.least is None else p.least)
        return False

    def _judge(self, director: Director, clock: float) -> None:
        """Have the current stage judged, and record a new verdict."""
        judging, change = self.judging, director.change
        if judging is None or judging.before is None or not director.is_judged \
                or change.state not in (State.STAGE, State.PROVING):
            return
        at = change.stage, change.stage_since
        if self.looked_stage != at:
            self.looked_stage = at
            self.looks = max((k.look for k in self.record.looks(change.id) if k.stage == change.stage), default=0)
        changed = frozenset(n for n, s in director.observations.items()
                            if s.status is not None and s.status.running == change.goal)
        verdict, new = judging.look(change, changed, clock, time.monotonic(), self.looks)
        director.verdict = verdict
        if new:
            assert judging.judge is not None
            self.looks = judging.judge.looks
            self.record.record_look(self.epoch, change, self.looks, verdict, time.time())
            self.events.emit("rollout.judged", change=change.id, stage=change.stage, look=self.looks,
                             verdict=verdict.kind.value, why=verdict.reason)

    def _report_wait(self, why: str) -> None:
        if why != self.last_wait_reason:
            self.last_wait_reason = why
            if why and self.director is not None:
                self.events.emit("rollout.waits", change=self.director.change.id, why=why)

    def _spawn(self, node: str, work: Any) -> None:
        task = asyncio.create_task(work)
        self.busy[node] = task
        task.add_done_callback(lambda done: self._task_done(node, done))

    def _task_done(self, node: str, task: asyncio.Task[None]) -> None:
        if self.busy.get(node) is task:
            del self.busy[node]
        if not task.cancelled() and task.exception() is not None:
            self.failure = task.exception()  # fenced, or the record's disk has failed: this controller must stop
            self.stopping.set()

    def _move(self, cause: Cause, why: str, judged: bool = False) -> None:
        director = self.director
        assert director is not None
        change, before = director.change, director.change.state
        failpoint("rollout.move")
        director.move(cause, why, self.clock(), judged)
        self.record.record_transition(self.epoch, change, before, cause, time.time())
        failpoint("rollout.moved")
        self.events.emit("rollout.moved", change=change.id, before=before.value, cause=cause.value,
                         after=change.state.value, why=why)
        if change.state is State.STAGE:
            self.events.emit("rollout.stage", change=change.id, stage=change.stage,
                             nodes=len(change.stages[change.stage]))

    def _handle_requests(self, director: Director) -> None:
        """Apply the requests that people have made of the change."""
        for number, what, by in self.record.requests(director.change.id):
            cause = REQUESTS[what]
            try:
                if (director.change.state, cause) not in TABLE:
                    raise KeyError(what)
                self._move(cause, f"{what}, by {by}")
                answer = "taken"
            except KeyError:
                answer = f"not while {director.change.state.value}"
            self.record.close_request(self.epoch, number, answer)

    # ------------------------------------------------------------ commands

    async def _send_command(self, command: Command, open_steps: list[Step]) -> None:
        """Send a command to a node; its open steps are superseded, or resent if one is the same command."""
        same = next((s for s in reversed(open_steps) if s.command == command), None)
        for step in open_steps:
            if step is not same:
                self.record.outcome(self.epoch, step.number, "overtaken", "", time.time())
        if same is not None:
            await self._deliver(same.number, command)
            return
        assert self.director is not None
        failpoint("rollout.before")
        number = self.record.intent(self.epoch, self.director.change.id, command, time.time())
        failpoint("rollout.intent")
        if command.say == "try":
            self.director.record_try(command.node, self.clock())
        await self._deliver(number, command)

    async def _resend(self, steps: list[Step]) -> None:
        """Resend the latest open step of a node, if its command still applies; earlier ones are superseded."""
        assert self.director is not None
        for step in steps:
            if self.director.change.state in RESEND_STATES[step.say] and step is steps[-1]:
                await self._deliver(step.number, step.command)
            elif step is not steps[-1]:
                self.record.outcome(self.epoch, step.number, "overtaken", "", time.time())

    async def _deliver(self, number: int, command: Command) -> None:
        director = self.director
        assert director is not None
        change = director.change.id
        self.events.emit("rollout.step", change=change, step=number, node=command.node, say=command.say)
        try:
            reply = await send(self.members[command.node], command_message(command, self.epoch, self.clock(), number))
        except OSError as error:
            self.events.emit("rollout.answered", change=change, step=number, node=command.node, ok=False,
                             why=str(error))
            return  # the step stays open: the keeper may or may not have taken it
        failpoint("rollout.answered")
        if reply.status is not None:
            director.receive_status(command.node, reply.status, self.clock())
        self.record.outcome(self.epoch, number, "ok" if reply.ok else "refused", reply.why, time.time())
        failpoint("rollout.outcome")
        self.events.emit("rollout.answered", change=change, step=number, node=command.node, ok=reply.ok,
                         why=reply.why)

    def _start_fetch(self, command: Command) -> None:
        """Have a node fetch a generation in the background, as this does not affect its service."""
        if command.node not in self.fetching:
            task = asyncio.create_task(self._fetch(command))
            self.fetching[command.node] = task
            task.add_done_callback(lambda _: self.fetching.pop(command.node, None))

    async def _fetch(self, command: Command) -> None:
        assert self.director is not None
        change = self.director.change
        try:
            reply = await send(self.members[command.node], m.Fetch(
                node=command.node, epoch=self.epoch, clock=self.clock(), generation=command.generation,
                path=change.path), FETCH_S)
        except OSError:
            return
        if reply.status is not None:
            self.director.receive_status(command.node, reply.status, self.clock())
        if not reply.ok:
            self.events.emit("rollout.answered", change=change.id, step=0, node=command.node, ok=False, why=reply.why)
            await asyncio.sleep(self.poll_s)


__all__ = ["Controller", "Fenced", "poll_statuses", "send"]
