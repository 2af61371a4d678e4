"""Request handling of a cash server, including injected faults and idempotency keys.

Performs no I/O and reads no clock.  The host (a server on sockets, or one in simulated time) passes each complete
request to ``request`` and acts on the returned ``Reaction``.  It calls ``advance`` at the time that ``next_at`` names
to get the requests whose responses are due, and ``finish`` decides what is sent for each.  Every request has a row in
the shared ledger.
"""

from __future__ import annotations

import random
from enum import Enum

from headspar.world.machine import KeyMemory, Machine
from headspar.world.plan import Plan, ServerPlan, Step, idempotency_key
from headspar.world.records import AttemptResult, RunEvent, ServerAttempt, Start
from headspar.world.scenario import Scenario

REPEAT_WORK_US = 200  # work of answering a duplicate
SILENT_AFTER_US = 1_000_000  # idle time after which the fault "idle_silent" drops a connection without a FIN


class Ledger:
    """State that the servers of a run share: the plan, the remembered keys of each group, and the records."""

    def __init__(self, scenario: Scenario, plan: Plan) -> None:
        self.scenario, self.plan = scenario, plan
        self.rows: list[ServerAttempt] = []
        self.starts: list[Start] = []
        self.marks: list[RunEvent] = []
        self.memories: dict[tuple[int, str, int], KeyMemory] = {}

    def memory(self, cls: int, server: ServerPlan) -> KeyMemory | None:
        """The key memory of a class in the server's group; None for a class without keys."""
        spec = self.scenario.classes[cls]
        if spec.effect != "dedup":
            return None
        place = ("", 0) if spec.group == "all" else (server.site, server.cell if spec.group == "cell" else 0)
        found = self.memories.get((cls, *place))
        if found is None:
            max_keys = max(g.keys_remembered for g in self.scenario.servers)
            found = self.memories[cls, *place] = KeyMemory(int(spec.window_ms * 1000), max_keys)
        return found


    def first_duplicate(self, row: ServerAttempt, cls: int, server: ServerPlan) -> ServerAttempt | None:
        """The first request after ``row`` that is its duplicate and was answered as such, or may still be."""
        found = None
        memory = self.memory(cls, server)
        plans = {p.id: p for p in self.plan.servers}
        for other in reversed(self.rows):
            if other.arrived_at < row.arrived_at:
                break
            repeat = other.call == row.call and other is not row and not other.effect
            if (repeat and other.fate in (AttemptResult.OPEN, AttemptResult.REPEAT)
                    and self.memory(cls, plans[other.server]) is memory):
                found = other
        return found


class Faults:
    """Faults that are active at a server.  Each has the share of requests that it affects."""

    __slots__ = ("turn_away", "reset", "reset_byte", "reset_where", "spoil", "how", "stray", "stray_how",
                 "stray_delay_ms", "hang", "idle_silent", "long", "long_how", "long_ms")

    def __init__(self) -> None:
        self.turn_away = self.reset = self.spoil = self.stray = self.hang = 0.0
        self.stray_delay_ms = self.long = self.long_ms = 0.0
        self.long_how = "chunked"
        self.stray_how = "copy"
        self.reset_byte = 0
        self.reset_where = "answer"
        self.how = "noise"
        self.idle_silent = False

    def apply(self, step: Step) -> None:
        """Apply a step of the plan.  Steps that concern neither responses nor idle connections change nothing."""
        mend = step.kind == "mend"
        kind = step.text if mend else step.kind
        share = 0.0 if mend else step.share
        if kind == "turn_away":
            self.turn_away = share
        elif kind == "reset":
            self.reset, self.reset_byte, self.reset_where = share, int(step.value), step.text or "answer"
        elif kind == "spoil":
            self.spoil, self.how = share, step.text or "noise"
        elif kind == "stray":
            self.stray, self.stray_how, self.stray_delay_ms = share, step.text or "copy", step.value
        elif kind == "long":
            self.long, self.long_how, self.long_ms = share, step.text or "chunked", step.value
        elif kind == "hang":
            self.hang = share
        elif kind == "idle_silent":
            self.idle_silent = not mend


class Reaction(Enum):
    """What the server does with a complete request."""

    WORK = "work"  # accepted; ``advance`` will return it
    REJECTED = "turned away"  # rejected at once
    HUNG = "hung"  # accepted, and never answered
    OVERLOADED = "fell"  # it overloads the cold machine, whose process exits


class Job:
    """A request at the server: its row in the ledger, and its number at the machine (-1: not there)."""

    __slots__ = ("row", "number")

    def __init__(self, row: ServerAttempt) -> None:
        self.row, self.number = row, -1


class Server:
    """One cash server over all its processes."""

    def __init__(self, ledger: Ledger, plan: ServerPlan) -> None:
        self.ledger, self.plan = ledger, plan
        self.machine: Machine | None = None  # None while no process runs
        self.faults = Faults()
        self.rng = random.Random(f"{ledger.plan.seed}/{plan.id}")
        self.jobs: dict[int, Job] = {}
        self.serial = 0

    def start(self, now: int, cold: bool) -> None:
        """Start a new process at ``now``; ``cold``: with a slow start."""
        rules = self.ledger.scenario.rules
        self.machine = Machine(self.plan, now, now if cold else None, rules.fall_multiple, int(rules.fall_s * 1e6),
                               self.ledger.plan.mean_us)
        self.machine.on_begin = self._began
        if cold:
            self.ledger.starts.append(Start(self.plan.id, now))

    def stop(self) -> None:
        """End the process.  The host has already reported the outcome of each request."""
        self.machine = None
        self.jobs.clear()

    def _began(self, number: int, now: int) -> None:
        job = self.jobs.get(number)
        if job is not None:
            job.row.began_at = now

    def request(self, job: Job, now: int) -> Reaction:
        """Handle a request whose last byte has arrived; the server has been advanced to ``now`` before."""
        machine, row = self.machine, job.row
        assert machine is not None
        call = self.ledger.plan.calls[row.call]
        if machine.record_arrival(now, call.work_us):
            self.ledger.marks.append(RunEvent(now, "fell", self.plan.id, "pushed over while cold"))
            return Reaction.OVERLOADED
        f = self.faults
        if f.turn_away and self.rng.random() < f.turn_away or not machine.has_capacity():
            return Reaction.REJECTED
        memory = self.ledger.memory(call.cls, self.plan)
        repeat = memory is not None and memory.repeat(idempotency_key(self.ledger.plan.salt, row.call), now)
        row.effect = not repeat
        if f.hang and self.rng.random() < f.hang:
            row.fate = AttemptResult.HUNG
            return Reaction.HUNG
        self.serial += 1
        job.number = self.serial
        self.jobs[self.serial] = job
        work, wait = (REPEAT_WORK_US, 0) if repeat else (call.work_us, call.wait_us)
        machine.arrive(now, self.serial, work, wait)
        return Reaction.WORK

    def advance(self, now: int) -> list[Job]:
        """Advance to ``now``; returns the requests whose work has completed since, in order of completion."""
        if self.machine is None:
            return []
        done = [self.jobs.pop(number, None) for number, _ in self.machine.advance(now)]
        return [job for job in done if job is not None]

    def next_at(self) -> int | None:
        """When to call ``advance`` next if no other event happens; None if nothing is pending."""
        return self.machine.next_at() if self.machine is not None else None

    def finish(self, row: ServerAttempt) -> AttemptResult:
        """The outcome of a request whose work has completed: DIED (reset), CORRUPTED, ERROR, DONE or REPEAT."""
        f = self.faults
        if f.reset and f.reset_where == "answer" and self.rng.random() < f.reset:
            return AttemptResult.DIED
        if f.spoil and self.rng.random() < f.spoil:
            return AttemptResult.CORRUPTED
        if self.plan.error_rate and self.rng.random() < self.plan.error_rate:
            return AttemptResult.ERROR
        return AttemptResult.DONE if row.effect else AttemptResult.REPEAT

    def cancel(self, job: Job, fate: AttemptResult, now: int) -> None:
        """End a request without a response.  One that is cancelled before its work began has had no effect."""
        row, number = job.row, job.number
        self.jobs.pop(number, None)
        if row.fate is AttemptResult.OPEN:
            row.fate = fate
        row.ended_at = now
        machine = self.machine
        if machine is None or number < 0:
            return
        began = machine.cancel(now, number)
        if not began and row.effect and fate is AttemptResult.CANCELLED and row.fate is fate:
            row.effect = False
            cls = self.ledger.plan.calls[row.call].cls
            memory = self.ledger.memory(cls, self.plan)
            if memory is None:
                return
            duplicate = self.ledger.first_duplicate(row, cls, self.plan)
            if duplicate is not None:  # the request that was answered as its duplicate has had the effect instead
                duplicate.effect = True
            else:
                memory.forget(idempotency_key(self.ledger.plan.salt, row.call))

    def request_is_reset(self) -> bool:
        """Whether to reset the connection of a request that begins now, after ``faults.reset_byte`` bytes of it."""
        f = self.faults
        return f.reset_where == "request" and f.reset > 0 and self.rng.random() < f.reset

    def stray_bytes(self) -> tuple[str, float] | None:
        """What follows a response although it belongs to no request, and after how many seconds; None for nothing."""
        f = self.faults
        if not f.stray or self.rng.random() >= f.stray:
            return None
        return f.stray_how, self.rng.uniform(0.0, f.stray_delay_ms) / 1000

    def long_answer(self) -> tuple[str, float] | None:
        """How the answer is framed that is due, and over how many seconds it is written; None: it is short."""
        f = self.faults
        if not f.long or self.rng.random() >= f.long:
            return None
        return f.long_how, self.rng.uniform(0.0, f.long_ms) / 1000

    def idle_limit(self) -> tuple[int, bool]:
        """The idle timeout of connections (us), and whether they are then dropped without a FIN."""
        if self.faults.idle_silent:
            return min(self.plan.idle_us, SILENT_AFTER_US), True
        return self.plan.idle_us, self.plan.silent
