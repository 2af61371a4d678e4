"""Simulates a change with the real director, fences and keeper cores, and random faults of processes and messages.

No I/O.  The results about limits and final states are valid for the decisions, not for the sockets.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import msgspec

from headspar.keeper import messages as m
from headspar.keeper.backoff import BackoffSettings, RestartBackoff
from headspar.keeper.commands import apply_command, check_command
from headspar.keeper.core import Core, Course, Drain, DurableState, Kill, Phase, Reload, Start, Term, Timing
from headspar.keeper.fence import Fence, Verdict
from headspar.keeper.messages import Figures, Status
from headspar.keeper.slots import assign_slots
from headspar.rollout.limits import Limits
from headspar.rollout.stages import Candidate, plan
from headspar.rollout.state import (
    OVER,
    RESEND_STATES,
    Cause,
    Change,
    Command,
    Director,
    RolloutPolicy,
    State,
    command_message,
)

OLD, NEW = "old", "new"
TICK = 0.25  # s of simulated time


class Faults(msgspec.Struct, frozen=True):
    """Random faults.

    Shares are of messages.  Deaths and cuts are rates per second, of each node or of the controller.
    """

    drop: float = 0.0
    lose: float = 0.0  # share of answers lost
    late: float = 0.0
    late_s: float = 20.0
    twice: float = 0.0
    node_deaths: float = 0.0
    keeper_deaths: float = 0.0
    state_lost: float = 0.0  # share of keeper deaths in which its state is lost
    controller_deaths: float = 0.0
    cuts: float = 0.0  # network partitions between a node and the controller
    cut_s: float = 20.0
    until: float = 0.0  # no faults after this time
    back_at: float = -1.0  # when a person rolls the change back; -1: never
    bad: str = ""  # fault of the new generation: "dies", "no start", "no hand-over"
    silence: str = "hold"


class Node:
    """A machine: a keeper's core, its fence and its processes."""

    def __init__(self, world: Simulation, name: str, site: str) -> None:
        self.world, self.name, self.site = world, name, site
        self.rng = random.Random(f"{world.seed}/{name}")
        self.fence = Fence()
        self.restarts = 0
        self.core = self._core()
        self.core.resume(DurableState(present=OLD), [], None, None, world.now)
        self.cut_until = -1.0
        self.ordered = False  # whether it is moving by command or by the change's rule on silence
        self.goal_starts = 0
        self.epochs: list[tuple[int, int]] = []

    def _core(self) -> Core:
        backoff = RestartBackoff(BackoffSettings(), self.rng)
        return Core(Timing(), backoff, lambda a, b: self.world.settings_only, self._moved)

    def _moved(self, table: str, before: str, cause: str, after: str) -> None:
        if table == "course" and cause == "silence":
            self.ordered = True
        if table == "course" and cause in ("ready", "there", "failed twice", "hopeless"):
            self.ordered = False

    @property
    def moving(self) -> bool:
        """Whether the node is out of service because of the change."""
        return self.ordered and self.core.phase not in (Phase.SERVING, Phase.RELOADING)

    def do(self, actions: list[Any]) -> None:
        world = self.world
        for a in actions:
            if isinstance(a, Start):
                self.goal_starts += a.generation == NEW
                bad = world.faults.bad if a.generation == NEW else ""
                if bad == "no start":
                    world.later(0.5, self._end, a.key, False)
                elif a.beside and bad == "no hand-over":
                    world.later(0.3, self._end, a.key, True)
                else:
                    world.later(self.rng.uniform(0.3, 1.5), self._ready, a.key)
                    if bad == "dies":
                        world.later(self.rng.uniform(2.0, 4.0), self._end, a.key, False)
            elif isinstance(a, Term):
                world.later(self.rng.uniform(0.3, 2.0), self._end, a.key, False)
            elif isinstance(a, Kill):
                world.later(0.05, self._end, a.key, False)
            elif isinstance(a, Drain):
                world.later(2.0, self._drained, a.key)
            elif isinstance(a, Reload):
                world.later(0.3, self._reloaded, a.key)

    def _ready(self, key: int) -> None:
        self.do(self.core.ready(key, self.world.now))

    def _end(self, key: int, no_handover: bool) -> None:
        self.do(self.core.ended(key, no_handover, self.world.now))

    def _drained(self, key: int) -> None:
        self.do(self.core.drain_finished(key, self.world.now))

    def _reloaded(self, key: int) -> None:
        self.do(self.core.reloaded(key, True, "", self.world.now))

    def tick(self) -> None:
        f, now, rng = self.world.faults, self.world.now, self.rng
        if now < f.until:
            if self.core.serving is not None and rng.random() < f.node_deaths * TICK:
                self.ordered = False
                self._end(self.core.serving, False)
            if rng.random() < f.keeper_deaths * TICK:
                self.restart_keeper(rng.random() < f.state_lost)
            if now > self.cut_until and rng.random() < f.cuts * TICK:
                self.cut_until = min(f.until, now + rng.uniform(0.5, 1.5) * f.cut_s)
        self.do(self.core.advance(now))

    def restart_keeper(self, lost: bool) -> None:
        """Replace the keeper; the node's processes keep running and the new keeper adopts them."""
        old = self.core
        durable = DurableState() if lost else old.durable
        if lost:
            self.fence = Fence(self.fence.epoch, self.fence.step)  # the fence is stored in a separate file
            if not old.procs:
                durable = DurableState(present=OLD)
        self.core = self._core()
        serving = old.serving if old.serving is not None and old.procs[old.serving].ready >= 0 else None
        self.core.resume(durable, list(old.procs.values()), serving, old.starting, self.world.now)

    def status(self) -> Status:
        core, order = self.core, self.core.durable.order
        return Status(
            self.name, self.site, core.state, core.course.value, core.durable.present, core.durable.before,
            core.trial, order.change if order else "", core.running, core.proved(self.world.now),
            order is not None and order.silence == "hold", core.durable.deaths, core.restarts, self.fence.epoch,
            self.fence.step, core.durable.outcome, [NEW, OLD], core.serving is not None, 0.0, Figures(), 1, "", "")

    def take(self, message: m.KeeperCommand) -> tuple[bool, Status]:
        """Handle a command that has arrived; return whether it was accepted, and the status."""
        now, core = self.world.now, self.core
        assessment = check_command(message, self.name, self.fence, core, lambda generation: True,
                                   core.serving is None)
        self.world.refused += assessment.verdict in (Verdict.FENCED, Verdict.OLD)
        if assessment.counts:
            if assessment.step:
                self.epochs.append((message.epoch, assessment.step))
            if assessment.ok and isinstance(message, m.StartTrial | m.RollBack):
                self.ordered |= core.serving is not None  # a node that is down takes no capacity away
            self.fence = apply_command(message, assessment, self.fence, core, now, lambda fence: True)
            self.do(core.advance(now))
        elif assessment.ok:
            core.record_contact(message.clock, now)
        return assessment.ok, self.status()


class Simulation:
    """A fleet, a change, and a succession of controllers."""

    def __init__(self, nodes: int, sites: int, seed: int, faults: Faults, limits: Limits,
                 settings_only: bool = False) -> None:
        self.seed, self.faults, self.limits, self.settings_only = seed, faults, limits, settings_only
        self.rng = random.Random(f"{seed}/world")
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.serial = self.refused = 0
        self.nodes = {f"n{i}": Node(self, f"n{i}", f"s{i % sites}") for i in range(nodes)}
        self.sites = {n.name: n.site for n in self.nodes.values()}
        ways = RolloutPolicy(limits, proving_s=3.0, settle_s=1.0, ready_s=40.0, lost_s=6.0,
                             silence=faults.silence, silence_s=15.0)  # type: ignore[arg-type]
        slots = assign_slots(list(self.nodes), self.sites, limits.most, limits.most_of_site, 20.0, self.rng)
        stages = plan([Candidate(n.name, n.site) for n in self.nodes.values()], [0.2, 1.0])
        self.change = Change("c", NEW, "", OLD, stages, slots, ways)
        self.stored = msgspec.json.encode(self.change)
        self.epoch, self.steps = 1, 0
        self.open: dict[str, tuple[int, Command]] = {}
        self.try_times: dict[str, float] = {}
        self.director = Director(self.change, self.sites, 0.0)
        self.most_moving = self.most_of_site = self.limit_violations = 0
        self.controller_back_at = 0.0

    def later(self, seconds: float, call: Callable[..., None], *arguments: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + seconds, self.serial, call, arguments))

    # ------------------------------------------------------------ messages

    def _send(self, name: str, command: Command | None, step: int) -> None:
        """Send a command (None: a poll) subject to the faults; a late one arrives with the epoch of its sending."""
        f, rng, node = self.faults, self.rng, self.nodes[name]
        faulty = self.now < f.until
        if self.now < node.cut_until or faulty and rng.random() < f.drop:
            return
        message: m.KeeperCommand = m.Heartbeat(node=name, epoch=self.epoch, clock=self.now)
        if command is not None:
            message = command_message(command, self.epoch, self.now, step)
        if faulty and command is not None and rng.random() < f.late:
            self.later(rng.uniform(0.5, 1.0) * f.late_s, self._deliver, name, message, step, False)
            return
        if faulty and command is not None and rng.random() < f.twice:
            self.later(rng.uniform(0, 1.0) * f.late_s, self._deliver, name, message, step, False)
        answered = not (faulty and rng.random() < f.lose)
        self._deliver(name, message, step, answered)

    def _deliver(self, name: str, message: m.KeeperCommand, step: int, answered: bool) -> None:
        _, status = self.nodes[name].take(message)
        if answered and message.epoch == self.epoch:
            self.director.receive_status(name, status, self.now)
            if step and self.open.get(name, (0, None))[0] == step:
                del self.open[name]

    # ------------------------------------------------------------ the controller

    def _replace_controller(self) -> None:
        """Kill the controller now; another one reads the record some time later."""
        self.epoch += 1
        self.change = msgspec.json.decode(self.stored, type=Change)
        self.controller_back_at = self.now + self.rng.uniform(0.5, 8.0)
        self.director = Director(self.change, self.sites, self.controller_back_at)
        for name, at in self.try_times.items():
            self.director.record_try(name, at)

    def _lead(self) -> None:
        f, director = self.faults, self.director
        if self.now < f.until and self.rng.random() < f.controller_deaths * TICK:
            self._replace_controller()
        if self.now < self.controller_back_at:
            return
        for name in self.nodes:
            self._send(name, None, 0)
        if self.now < director.began + 2.0:
            return
        if self.change.state is State.PLANNED:
            self._move(Cause.START, "")
        if 0 <= f.back_at <= self.now and self.change.state in (State.STAGE, State.PROVING, State.PAUSED):
            self._move(Cause.BACK, "by request")
        if self.change.state is State.PAUSED and self.now > f.until:
            self._move(Cause.RESUME, "by request")
        director.unacknowledged = set(self.open)
        decision = director.decide(self.now)
        for command in decision.commands:
            if command.say == "fetch":
                continue
            number, same = self.open.get(command.node, (0, None))
            if same != command:
                self.steps += 1
                number = self.steps
                self.open[command.node] = (number, command)
            if command.say == "try":
                self.try_times[command.node] = self.now
                director.record_try(command.node, self.now)
            if self.now < f.until and self.rng.random() < f.controller_deaths:
                self._replace_controller()  # between recording the intent and sending the command
                return
            self._send(command.node, command, number)
        commanded = {command.node for command in decision.commands}
        for name, (number, command) in list(self.open.items()):
            if name not in commanded and self.change.state in RESEND_STATES[command.say]:
                self._send(name, command, number)
        if decision.cause is not None:
            self._move(decision.cause, decision.why)

    def _move(self, cause: Cause, why: str) -> None:
        self.director.move(cause, why, self.now)
        self.stored = msgspec.json.encode(self.change)

    # ------------------------------------------------------------ running

    def run(self, seconds: float) -> None:
        """Simulate up to ``seconds``, checking the limits in each tick; ends early once the fleet has settled."""
        end = self.now + seconds
        while self.now < end:
            target = self.now + TICK
            while self.queue and self.queue[0][0] <= target:
                self.now, _, call, arguments = heapq.heappop(self.queue)
                call(*arguments)
            self.now = target
            for node in self.nodes.values():
                node.tick()
            self._lead()
            self._check_limits()
            if self.change.state in (*OVER, State.PERSON) and self.now > self.faults.until + 60 and self.settled():
                return

    def _check_limits(self) -> None:
        moving = [n for n in self.nodes.values() if n.moving]
        by_site: dict[str, int] = {}
        for n in moving:
            by_site[n.site] = by_site.get(n.site, 0) + 1
        most = max(by_site.values(), default=0)
        self.most_moving = max(self.most_moving, len(moving))
        self.most_of_site = max(self.most_of_site, most)
        self.limit_violations += len(moving) > self.limits.most or most > self.limits.most_of_site

    def settled(self) -> bool:
        """Return whether every node serves its present generation and none is on trial."""
        return all(n.core.course is Course.SETTLED and n.core.running == n.core.durable.present
                   for n in self.nodes.values())

    def running(self) -> dict[str, int]:
        """Return the number of nodes by running generation."""
        counts: dict[str, int] = {}
        for n in self.nodes.values():
            counts[n.core.running] = counts.get(n.core.running, 0) + 1
        return counts

