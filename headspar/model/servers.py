"""Cash servers and the connections to them, in simulated time."""

from __future__ import annotations

from typing import Any

from headspar.interface import Outcome
from headspar.model.costs import Delays
from headspar.model.events import Events, Handle
from headspar.model.ports import Attempt, ServerFacingNode
from headspar.world.plan import ServerPlan, Step
from headspar.world.records import AttemptResult, ServerAttempt
from headspar.world.server import Job, Ledger, Reaction, Server

OUTCOMES = {
    AttemptResult.DONE: Outcome.OK, AttemptResult.REPEAT: Outcome.OK, AttemptResult.ERROR: Outcome.ERROR,
    AttemptResult.REJECTED: Outcome.FULL, AttemptResult.DIED: Outcome.RESET, AttemptResult.CORRUPTED: Outcome.RESET,
}


class Connection:
    """One connection of a node to a server."""

    __slots__ = ("number", "node", "server", "incarnation", "idle_at", "attempt", "serving", "job", "open",
                 "unanswered", "timer", "written_until")

    def __init__(self, number: int, node: ServerFacingNode, server: CashServer) -> None:
        self.number, self.node, self.server = number, node, server
        self.incarnation = -1  # the incarnation of the server process that accepted it; -1: not accepted
        self.idle_at = 0  # when the connection last became idle, at the server
        self.attempt: Any = None  # the node's current attempt on it, or None
        self.serving: Attempt | None = None  # the attempt that the server is processing or has processed last
        self.job: Job | None = None
        self.open = True  # at the node
        self.unanswered = True
        self.timer: Handle | None = None
        self.written_until = 0  # when the last bytes written by the node reach the server


class CashServer:
    """One cash server across the restarts of its process; nodes access it through connections."""

    def __init__(self, events: Events, ledger: Ledger, plan: ServerPlan, delays: Delays) -> None:
        self.events, self.ledger, self.plan, self.delays = events, ledger, plan, delays
        self.core = Server(ledger, plan)
        self.incarnation = 0
        self.unreachable = False  # a network partition: it neither receives nor sends anything
        self.connections: set[Connection] = set()
        self.by_job: dict[Job, Connection] = {}
        self.timer: Handle | None = None
        self.timer_at = 0
        self.accepted: list[int] = []  # times at which connections were accepted

    # ------------------------------------------------------------ process

    def start(self, cold: bool) -> None:
        if self.core.machine is None:
            self.incarnation += 1
            self.core.start(self.events.now, cold)

    def die(self) -> None:
        """Ends the process and resets its connections."""
        now = self.events.now
        by_node: dict[ServerFacingNode, list[Connection]] = {}
        for conn in self.connections:
            if conn.job is not None:
                self.core.cancel(conn.job, AttemptResult.HUNG if self.unreachable else AttemptResult.DIED, now)
                conn.job = None
            by_node.setdefault(conn.node, []).append(conn)
        for node, conns in by_node.items():
            conns.sort(key=lambda c: c.number)
            self.events.at(now + self.delays.server(0, 0), node.server_ended, conns)
        self.connections.clear()
        self.by_job.clear()
        self.core.stop()
        self.incarnation += 1
        self.unreachable = False
        if self.timer is not None:
            self.events.cancel(self.timer)
            self.timer = None

    def apply(self, step: Step) -> None:
        """Applies a step of the plan."""
        kind, machine = step.kind, self.core.machine
        if kind == "die":
            self.die()
        elif kind == "start":
            self.start(cold=True)
        elif kind == "vanish":
            self.unreachable = machine is not None
        elif kind == "return":
            self._become_reachable()
        elif kind == "drain":
            if machine is not None:
                machine.draining = True
        elif "slow" in (kind, step.text):
            if machine is not None:
                self._advance()
                machine.slow = 1.0 if kind == "mend" else step.value
                self._schedule_timer()
        else:
            self.core.faults.apply(step)

    def _become_reachable(self) -> None:
        """Ends the partition: the old connections are reset, the process keeps running."""
        machine = self.core.machine
        if not self.unreachable or machine is None:
            return
        self._advance()
        self.die()
        self.core.machine = machine
        for number in list(machine.jobs):
            machine.cancel(self.events.now, number)

    def expected_wait_us(self, more_us: float) -> float:
        """Estimates the time to finish the current work and ``more_us`` of additional work, us.

        The time is divided by the success rate under the server's faults.  It is infinite if the server accepts no
        requests."""
        machine, faults = self.core.machine, self.core.faults
        success_rate = 1.0 - max(faults.turn_away, faults.reset, faults.spoil, faults.hang)
        if (machine is None or self.unreachable or machine.draining or not machine.has_capacity()
                or success_rate <= 0.0):
            return float("inf")
        rate = self.plan.cores * self.plan.speed * machine.warm(self.events.now) / machine.slowness
        return (sum(job.work for job in machine.jobs.values()) + more_us) / rate / success_rate

    # ------------------------------------------------------------ connections

    def connect(self, conn: Connection, delay: int) -> None:
        """Handles a connect.  An unreachable server does not respond, so the node's connect timeout applies."""
        if self.unreachable:
            return
        now, machine = self.events.now, self.core.machine
        if machine is None or len(self.connections) >= self.plan.connections:
            self.events.at(now + delay, conn.node.connected, conn, False)
            return
        self.accepted.append(now)
        conn.incarnation, conn.idle_at = self.incarnation, now
        self.connections.add(conn)
        self._advance()
        machine.connected(now, self.plan.connection_cost_us)
        self._schedule_timer()
        self.events.at(now + delay, conn.node.connected, conn, True)

    def closed(self, conn: Connection) -> None:
        """Handles the close of a connection by the node."""
        self.connections.discard(conn)
        job, conn.job = conn.job, None
        if job is not None:
            self.by_job.pop(job, None)
            self._advance()
            self.core.cancel(job, AttemptResult.CANCELLED, self.events.now)
            self._schedule_timer()

    def known_closed(self, conn: Connection, now: int) -> bool:
        """Returns whether the node knows at ``now`` that the server has closed the connection as idle."""
        limit, silent = self.core.idle_limit()
        return not silent and conn.incarnation == self.incarnation and now - conn.idle_at >= limit + 1_000

    # ------------------------------------------------------------ requests

    def request(self, conn: Connection, attempt: Attempt, delay: int) -> None:
        """Handles a request whose last byte has arrived."""
        now, core = self.events.now, self.core
        if self.unreachable:
            return
        if conn.incarnation != self.incarnation or core.machine is None:
            self.events.at(now + delay, conn.node.answered, conn, attempt, Outcome.RESET)
            return
        limit, silent = core.idle_limit()
        if now - conn.idle_at >= limit:
            if not silent:
                self.events.at(now + delay, conn.node.answered, conn, attempt, Outcome.RESET)
            return
        if core.request_is_reset() or self.delays.connection_breaks(attempt.call, attempt.number):
            self.connections.discard(conn)
            self.events.at(now + delay, conn.node.answered, conn, attempt, Outcome.RESET)
            return
        t = attempt.request.t
        call = self.ledger.plan.calls[t.index]
        row = ServerAttempt(t.index, t.number, self.plan.id, conn.node.name, now, 0, AttemptResult.OPEN, call.work_us,
                            False)
        self.ledger.rows.append(row)
        job = conn.job = Job(row)
        conn.serving = attempt
        self._advance()
        reaction = core.request(job, now)
        if reaction is Reaction.OVERLOADED:
            self.die()
        elif reaction is Reaction.REJECTED:
            self._answer(conn, AttemptResult.REJECTED)
        elif reaction is Reaction.WORK:
            self.by_job[job] = conn
            self._schedule_timer()

    def _answer(self, conn: Connection, result: AttemptResult) -> None:
        job, now = conn.job, self.events.now
        assert job is not None and conn.serving is not None
        job.row.fate, job.row.ended_at = result, now
        conn.job, conn.idle_at = None, now
        if result is AttemptResult.DIED:
            self.connections.discard(conn)
        attempt = conn.serving
        delay = self.delays.server(attempt.call, 2 * attempt.number + 1)
        if result is AttemptResult.CORRUPTED and self.core.faults.how == "again":
            job.row.fate = AttemptResult.DONE if job.row.effect else AttemptResult.REPEAT
            self.events.at(now + delay, conn.node.answered, conn, attempt, Outcome.OK, False)
            return
        self.events.at(now + delay, conn.node.answered, conn, attempt, OUTCOMES[result])

    # ------------------------------------------------------------ time

    def _advance(self) -> None:
        for job in self.core.advance(self.events.now):
            conn = self.by_job.pop(job, None)
            if conn is None:
                continue
            if self.unreachable:
                job.row.fate, job.row.ended_at = AttemptResult.HUNG, self.events.now
                conn.job = None
            else:
                self._answer(conn, self.core.finish(job.row))

    def _schedule_timer(self) -> None:
        due = self.core.next_at()
        if due is None:
            return
        if self.timer is not None:
            if self.timer_at == due:
                return
            self.events.cancel(self.timer)
        self.timer_at = due
        self.timer = self.events.at(max(due, self.events.now), self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._advance()
        self._schedule_timer()
