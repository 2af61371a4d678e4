"""Callers and the front-end load balancer ("front") in simulated time: arrivals, client retries, choice of a node."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

from headspar.model.costs import Delays
from headspar.model.events import Events
from headspar.model.ports import CallerFacingNode
from headspar.world.plan import Call, Plan, retry_backoff
from headspar.world.records import ClientAttemptRecord, ClientOutcome
from headspar.world.scenario import Scenario

LATE_ANSWER_US = 250_000  # an answer up to this long after the limit of an attempt is late, not missing
REROUTE_US = 20_000  # pause before a client attempt that found no process is sent to the next node


class Names:
    """The names of classes and agents, by the indexes that calls use."""

    def __init__(self, scenario: Scenario) -> None:
        self.classes = [c.name for c in scenario.classes]
        self.agents = [a.name for a in scenario.agents]


class ClientAttempt:
    """One client attempt of a call."""

    __slots__ = ("call", "index", "number", "endpoint_index", "planned_at", "sent_at", "connect_attempts_left",
                 "over", "request", "names", "leave_at", "process", "endpoint")

    def __init__(self, call: Call, index: int, number: int, planned_at: int, names: Names) -> None:
        self.call, self.index, self.number, self.planned_at, self.names = call, index, number, planned_at, names
        self.endpoint_index = call.node + number
        self.sent_at = self.leave_at = 0
        self.connect_attempts_left = 4
        self.over = False
        self.request: Any = None
        self.process: CallerFacingNode | None = None
        self.endpoint: Endpoint[Any] | None = None


P = TypeVar("P", bound=CallerFacingNode)


class Endpoint(Generic[P]):
    """A node as the front sees it: its current process and whether the front routes to it."""

    __slots__ = ("name", "process", "up", "open")

    def __init__(self, name: str) -> None:
        self.name = name
        self.process: P | None = None
        self.up = True
        self.open: dict[ClientAttempt, None] = {}  # client attempts at this node, in order of arrival


class Callers:
    """The callers of a run, with all their calls."""

    def __init__(self, events: Events, scenario: Scenario, plan: Plan, delays: Delays, endpoints: list[Endpoint[Any]],
                 began_at: int) -> None:
        self.events, self.scenario, self.plan, self.delays, self.endpoints = events, scenario, plan, delays, endpoints
        self.began_at = began_at
        self.names = Names(scenario)
        self.answer_slack_us = int(scenario.rules.answer_slack_ms * 1000)
        self.finished_attempts: list[ClientAttemptRecord] = []
        self.next_call = 0
        self.calls_in_progress = 0
        if plan.calls:
            events.at(began_at + plan.calls[0].at, self._arrive)

    def _arrive(self) -> None:
        """Sends the call that is due and schedules the next one."""
        i = self.next_call
        self.next_call += 1
        calls = self.plan.calls
        if self.next_call < len(calls):
            self.events.at(self.began_at + calls[self.next_call].at, self._arrive)
        self.calls_in_progress += 1
        self.send(ClientAttempt(calls[i], i, 0, self.events.now, self.names))

    def send(self, t: ClientAttempt) -> None:
        """Sends a client attempt to its assigned node, or to the next one that is up."""
        endpoints, size = self.endpoints, len(self.endpoints)
        first = t.endpoint_index % size
        endpoint = endpoints[first]
        for i in range(size):
            if endpoints[(first + i) % size].up:
                endpoint = endpoints[(first + i) % size]
                break
        process = endpoint.process
        if process is None or not process.alive:
            t.connect_attempts_left -= 1
            if t.connect_attempts_left <= 0:
                self._ended(t, self.events.now, ClientOutcome.UNCONNECTED, endpoint.name)
                return
            t.endpoint_index += 1
            self.events.at(self.events.now + REROUTE_US, self.send, t)
            return
        now = self.events.now
        t.sent_at = t.sent_at or now
        t.process, t.endpoint = process, endpoint
        endpoint.open[t] = None
        call = t.call
        self.events.at(now + self.delays.client(t.index, 2 * t.number), self._at_node, t, process, endpoint)
        if call.leave_us and t.number == 0:
            t.leave_at = now + call.leave_us
            self.events.at(t.leave_at, self._leave, t)

    def _at_node(self, t: ClientAttempt, process: CallerFacingNode, endpoint: Endpoint[Any]) -> None:
        """Delivers the last byte of a client attempt.

        If the process has ended by then, the connection is refused and the front sends the attempt to the next
        node."""
        if process.alive or t.over:
            process.arrived(t, t.call.budget_us)
            return
        endpoint.open.pop(t, None)
        t.endpoint_index += 1
        self.send(t)

    def _leave(self, t: ClientAttempt) -> None:
        if not t.over and t.process is not None:
            process = t.process
            self._ended(t, self.events.now, ClientOutcome.LEFT, process.name)
            self.events.at(self.events.now + self.delays.client(t.index, 1), process.client_gone, t)

    def answered(self, t: ClientAttempt, leaves_at: int, status: int, retry_after_us: int) -> None:
        """Handles a node's answer that leaves the node at ``leaves_at``."""
        assert t.process is not None
        at = leaves_at + self.delays.client(t.index, 2 * t.number + 1)
        limit = t.sent_at + t.call.budget_us + self.answer_slack_us + LATE_ANSWER_US
        if t.leave_at and t.leave_at <= at:
            return  # the caller leaves before the answer arrives
        if at > limit:
            self._ended(t, limit, ClientOutcome.NONE, t.process.name)
        else:
            self._ended(t, at, ClientOutcome.ANSWER, t.process.name, status, retry_after_us)

    def killed(self, endpoint: Endpoint[Any]) -> None:
        """Resets the client connections of a node whose process was killed."""
        at = self.events.now + self.delays.client(0, 0)
        attempts, endpoint.open = list(endpoint.open), {}
        for t in attempts:
            if not t.over:
                self._ended(t, max(at, t.sent_at), ClientOutcome.CLOSED, endpoint.name)

    def _ended(self, t: ClientAttempt, at: int, end: ClientOutcome, node: str, status: int = 0,
               retry_after_us: int = -1) -> None:
        t.over = True
        if t.endpoint is not None:
            t.endpoint.open.pop(t, None)
        self.finished_attempts.append(
            ClientAttemptRecord(t.index, t.number, node, t.planned_at, t.sent_at, t.call.budget_us, at, end, status,
                                True, retry_after_us))
        served = end is ClientOutcome.ANSWER and status == 200
        if not served and end is not ClientOutcome.LEFT and t.number < self.scenario.callers.retries:
            pause = retry_backoff(self.scenario.callers, t.call, t.number, retry_after_us)
            retry = ClientAttempt(t.call, t.index, t.number + 1, at + pause, self.names)
            self.events.at(max(self.events.now, at + pause), self.send, retry)
        else:
            self.calls_in_progress -= 1


