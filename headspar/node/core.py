"""Requests, attempts, timers and deadlines: passes events to the balancer and carries out its actions.

All decisions are the balancer's. This module translates, keeps time and enforces three hard limits: nothing is sent
for a request that has been answered, no request is left unanswered at its deadline, and at most ``most_held``
requests are held. Two of the balancer's types have no counterpart on sockets: ``ProbeEnded``, since the balancer has
no action that asks for a probe, and ``RequestArrived.is_write``, which no header carries.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any

from headspar.config import Config
from headspar.decide import Balancer
from headspar.interface import (
    AttemptEnded,
    BackendList,
    CancelAttempt,
    ClientGone,
    Event,
    Experience,
    Fail,
    Log,
    Outcome,
    PeerMessage,
    Recalled,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    StreamStarted,
    TellPeers,
    TimerFired,
    Watch,
)
from headspar.node.body_pieces import Piece
from headspar.node.clock import now_us
from headspar.node.paced_input import InputTurns
from headspar.node.pause_detector import PauseDetector
from headspar.node.taken_ids import TakenIds
from headspar.operations.ledger import Ledger
from headspar.operations.lifecycle import Lifecycle

if TYPE_CHECKING:
    from headspar.node.backend_connection import Connection
    from headspar.node.backend_subset import Reach
    from headspar.node.backends import Backends
    from headspar.node.budget import Budget
    from headspar.node.clients import Client
    from headspar.node.discovery import Discovery
    from headspar.node.peers import Peers
    from headspar.node.trace import EndReason, Trace
    from headspar.recorder.file import Recorder

TIMER_RESOLUTION_US = 2_000
NODE_RETRY_AFTER_US = 1_000_000  # Retry-After of requests that the node itself refuses
MAX_LOG_LINES = 20  # of the node's own, in each LOG_INTERVAL_US
LOG_INTERVAL_US = 10_000_000
TIMER, DEADLINE, ATTEMPT_TIMEOUT = 0, 1, 2


def aims(settings: Settings) -> dict[str, tuple[int, float]]:
    """Return, by class, the latency target in microseconds and its increase per microsecond of the cost hint."""
    return {c.name: (c.aim_us, c.aim_stretch) for c in settings.classes}


class Request:
    """A client's request, from its head to the end of its last attempt."""

    __slots__ = (
        "key", "client", "head", "call_id", "cls", "tenant", "target_key", "budget_us", "hint_us",
        "is_repeat", "extra", "body", "size", "head_size", "deadline", "live", "attempts", "outstanding", "stream",
        "client_left", "attempt_limit", "proven_only", "arrived_at",
    )

    def __init__(self, client: Client) -> None:
        self.key = ""
        self.client: Client | None = client
        self.head = b""
        self.call_id = b""
        self.cls = ""
        self.tenant: str | None = None
        self.target_key: str | None = None
        self.budget_us = 0
        self.hint_us: int | None = None
        self.is_repeat = False
        self.extra = b""
        self.body: list[Piece] = []
        self.size = 0  # bytes that count against the budget: its body, and ``head_size`` of its head
        self.head_size = 0
        self.arrived_at = 0  # earliest time at which it may have been complete, us
        self.deadline = 0
        self.live = False
        self.client_left = False  # the client disconnected before it was answered
        self.attempt_limit = 0  # maximum number of attempts, by the settings at its arrival
        self.proven_only = True  # whether it may use only connections proven alive, by its class at its arrival
        self.attempts: list[Attempt] = []
        self.outstanding = 0
        self.stream: Attempt | None = None

    def release(self, budget: Budget) -> None:
        """Drop the body, and give back what the request has taken of the budget."""
        budget.give_back(self.size)
        self.size = self.head_size = 0
        self.body = []


class Attempt:
    """One send of a request to one backend."""

    __slots__ = ("request", "number", "backend", "sent_at", "start_by", "first_at", "ended", "conn", "reason")

    def __init__(self, request: Request, number: int, backend: str, now: int, start_by: int = 0) -> None:
        self.request, self.number, self.backend, self.sent_at = request, number, backend, now
        self.start_by = start_by  # latest time at which it may be written, us; 0: no limit
        self.first_at = 0
        self.ended = False
        self.conn: Connection | None = None
        self.reason: EndReason | None = None


class Node:
    """The only caller of ``Balancer.handle``: collects events and passes them on once per loop iteration."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.settings = config.settings
        self.loop = loop
        self.input_turns = InputTurns(loop)
        self.balancer = Balancer(config.settings, config.seed)
        self.backends: Backends
        self.reach: Reach
        self.discovery: Discovery
        self.peers: Peers | None = None
        self.requests: dict[str, Request] = {}
        self.lifecycle = Lifecycle()
        self.taken_ids = TakenIds()
        self.ledger = Ledger(c.name for c in config.settings.classes)
        self.aims = aims(config.settings)
        self.most_held = config.settings.most_held
        self.serial = 0
        self.events: list[Event] = []
        self.ended: list[Request] = []  # to be forgotten after these events
        self.processing_scheduled = False
        self.due: list[tuple[int, int, int, str]] = []  # heap of (time, kind, number, request's key)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.pause_detector = PauseDetector(now_us())
        self.lists_first = False  # a process pause has just ended: lists are applied before anything is decided
        self.closing = False  # the process ends soon: new requests are refused
        self.recorder: Recorder | None = None
        self.recorded_at = 0
        self.trace: Trace | None = None
        self.log_from, self.log_count = 0, 0
        self.actions = {
            Send: self._send,
            Refuse: self._refuse,
            Fail: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._set_timer,
            Watch: self._watch,
            TellPeers: self._tell_peers,
            Log: self._log,
        }

    def log(self, text: str) -> None:
        """Write one of the node's own log lines for the operators, at a limited rate."""
        now = now_us()
        if now - self.log_from > LOG_INTERVAL_US:
            self.log_from, self.log_count = now, 0
        self.log_count += 1
        if self.log_count <= MAX_LOG_LINES:
            print(text.replace("\n", " "), file=sys.stderr, flush=True)

    def error(self, where: str, error: BaseException) -> None:
        at, tb = "", error.__traceback__
        while tb is not None:
            at, tb = f" ({tb.tb_frame.f_code.co_filename}:{tb.tb_lineno})", tb.tb_next
        self.log(f"{where}: {type(error).__name__}: {error}{at}")

    # ------------------------------------------------------------ events to the balancer

    def post(self, event: Event) -> None:
        """Queue an event; the balancer gets it with the others of this loop iteration."""
        self.events.append(event)
        if not self.processing_scheduled:
            self.processing_scheduled = True
            self.loop.call_soon(self._process_events)

    def flush_events(self) -> None:
        """Pass the queued events to the balancer now."""
        self._process_events()

    def heartbeat(self) -> None:
        """Record a heartbeat; called several times a second."""
        self.pause_detector.heartbeat(self._check_pause())

    def _check_pause(self) -> int:
        """Return the time, after checking whether a process pause has just ended."""
        now = now_us()
        if self.pause_detector.detect(now):
            self._on_pause_end(now)
        return now

    def _on_pause_end(self, now: int) -> None:
        """A process pause has ended: read what has arrived meanwhile, lists first, before any decision."""
        self.log(f"stood still for {(now - self.pause_detector.since) / 1e6:.1f} s")
        self.lists_first = self.processing_scheduled = True
        # Each hop is one iteration of the loop, in which it reads its sockets.
        self.loop.call_soon(self.loop.call_soon, self.loop.call_soon, self._process_events_after_pause)

    def _process_events_after_pause(self) -> None:
        self.lists_first = False
        self.events.sort(key=lambda event: not isinstance(event, BackendList))
        self._process_events()

    def _process_events(self) -> None:
        now = self._check_pause()
        if self.lists_first:
            return
        self.processing_scheduled = False
        events, self.events = self.events, []
        ended, self.ended = self.ended, []
        if not events:
            return
        try:
            actions = self.balancer.handle(now, events)
        except Exception as error:
            # An exception in one decision must not end the node. Actions decided before it are carried out; requests
            # left undecided are answered at their deadlines.
            self.error("decide", error)
            actions = self.balancer.actions
        for action in actions:
            try:
                self.actions[type(action)](action, now)  # type: ignore[operator]
            except Exception as error:
                self.error(type(action).__name__, error)
        for r in ended:
            self._drop(r)
        if self.recorder is not None and self.balancer.ticked_at != self.recorded_at:
            self.recorded_at = self.balancer.ticked_at
            ledger = self.ledger
            self.recorder.write(self.balancer.belief(), (ledger.connections, ledger.calls, ledger.datagrams))

    # ------------------------------------------------------------ request lifecycle

    def arrival_time(self) -> int:
        """Return the earliest time at which what is read now may have arrived, us."""
        return self.pause_detector.earliest_arrival(self._check_pause())

    def stalled_since(self) -> int:
        """Return since when what is read now may have waited while the process stood still, us; 0: it has not."""
        return self.pause_detector.stalled_since(now_us())

    def retry_after(self) -> int:
        """Return the Retry-After of requests that the node itself refuses, us; 0 if the settings send none."""
        s = self.settings
        return min(s.max_retry_after_us, NODE_RETRY_AFTER_US) if s.retry_after else 0

    def arrived(self, r: Request) -> None:
        """Take a complete request. ``r.deadline`` counts from the time it was complete, however long it then waited
        behind others."""
        now = self._check_pause()
        self.ledger.request_accepted()
        if self.closing or len(self.requests) >= self.most_held:
            self.answer(r, 503, self.retry_after())
            return
        if not self.taken_ids.take(r.call_id, now):
            self.log(f"client: the id {r.call_id[:60]!r} has been taken before")
            self._answer(r, 409)
            return
        self.serial += 1
        r.key = str(self.serial)
        r.live = True
        r.attempt_limit = self.settings.max_attempts
        r.proven_only = r.cls not in self.backends.repeatable
        self.requests[r.key] = r
        self.taken_ids.opened(r.call_id, r)
        if r.deadline <= now:  # it waited in the socket during a pause for longer than its budget
            self.answer(r, 504)
            return
        self._schedule(r.deadline, DEADLINE, 0, r.key)
        if self.trace is not None:
            self.trace.write("accepted", id=r.call_id, cls=r.cls, left_us=r.deadline - now)
        self.post(
            RequestArrived(r.key, r.cls, r.deadline, r.hint_us, r.target_key, r.tenant, r.is_repeat)
        )

    def shorten_deadline(self, r: Request, deadline: int) -> None:
        """Shorten the deadline of a request, because a later one on its connection has to be answered earlier."""
        if r.live and deadline < r.deadline:
            r.deadline = deadline
            self._schedule(deadline, DEADLINE, 0, r.key)

    def count_rejected(self, r: Request) -> None:
        """Count a request that was rejected with 503 before it reached the balancer: it is taken and ended at
        once."""
        self.ledger.request_accepted()
        self.ledger.answered(r.cls, 503)

    def answer(self, r: Request, status: int, retry_after_us: int = 0) -> None:
        """Give a request its final answer, which has no body."""
        if status == 503 and r.live:
            self.taken_ids.release(r.call_id)
        self._answer(r, status, retry_after_us)

    def _answer(self, r: Request, status: int, retry_after_us: int = 0) -> None:
        r.live = False
        self.ledger.answered(r.cls, status)
        if self.trace is not None:
            self._trace_answer(r, status, retry_after_us)
        client, r.client = r.client, None
        if client is not None:
            client.refuse(r, status, retry_after_us)
        self._forget(r)

    def reject(self, r: Request, status: int) -> None:
        """Answer a request that has turned out to be malformed after it was taken, and cancel what is left of it."""
        r.client_left = True
        self.answer(r, status)
        self.post(ClientGone(r.key))

    def _trace_answer(self, r: Request, status: int, retry_after_us: int = 0) -> None:
        assert self.trace is not None
        self.trace.write(
            "answered", id=r.call_id, status=status, retry_after_us=retry_after_us, attempts=len(r.attempts)
        )

    def client_gone(self, r: Request) -> None:
        """The client has disconnected: cancel what is left of its request."""
        if self.trace is not None:
            self.trace.write("client_gone", id=r.call_id, answered=not r.live)
        r.client = None
        if r.live:
            if not r.attempts:
                self.taken_ids.release(r.call_id)
            r.live, r.client_left = False, True
            self.ledger.client_disconnected()
            self.post(ClientGone(r.key))
        if r.stream is not None:
            self.ledger.client_disconnected()
            self.end(r.stream, Outcome.CANCELLED)
        self._forget(r)

    def _forget(self, r: Request) -> None:
        """Forget a request that has ended, once the balancer has handled the events that it caused: until then an
        attempt may be decided for it, and the balancer has to learn how that ended."""
        if self.events:
            self.ended.append(r)
        else:
            self._drop(r)

    def _drop(self, r: Request) -> None:
        if not r.live and not r.outstanding and r.stream is None:
            self.requests.pop(r.key, None)
            self.taken_ids.ended(r.call_id, r)
            r.attempts.clear()
            if r.size:
                r.release(self.backends.budget)

    def _pass_on(self, attempt: Attempt) -> bool:
        """Pass on the answer of an attempt that would be given up, if a long one has begun. Return whether it has."""
        return not attempt.ended and attempt.conn is not None and attempt.conn.pass_on()

    def stream_started(self, attempt: Attempt) -> bool:
        """The first bytes of a streamed answer have arrived. Return whether they go to the client."""
        r = attempt.request
        if not r.live or r.client is None:
            return False
        r.live = False
        r.stream = attempt
        attempt.first_at = now_us()
        self.post(StreamStarted(r.key, attempt.number, attempt.backend, attempt.first_at - attempt.sent_at))
        return True

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        body: Sequence[Piece] = (),
        content_type: bytes = b"",
        report: dict[str, float] | None = None,
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        conn, attempt.conn = attempt.conn, None
        if self.trace is not None:
            self.trace.write(
                "attempt_ended", id=attempt.request.call_id, attempt=attempt.number, backend=attempt.backend,
                connection=conn.number if conn is not None else None, outcome=outcome.name, reason=attempt.reason,
                answer=conn.progress() if conn is not None else None,
            )
        if conn is not None:
            conn.release()
        r = attempt.request
        if conn is not None and (outcome is Outcome.TIMEOUT or outcome is Outcome.CANCELLED and not r.client_left):
            self.backends.distrust_idle(attempt)
        r.outstanding -= 1
        now = now_us()
        client = r.client
        if r.stream is attempt:
            r.stream = r.client = None
            final = True
            if client is not None:
                self.ledger.answered(
                    r.cls, 200 if outcome is Outcome.OK else 502, self._relative_time(r, attempt.first_at)
                )
                client.stream_end(outcome is Outcome.OK)
        else:
            final = not r.live or outcome is Outcome.OK
            if r.live and outcome is Outcome.OK:
                r.live = False
                r.client = None
                self.ledger.answered(r.cls, 200, self._relative_time(r, now))
                if self.trace is not None:
                    self._trace_answer(r, 200)
                if client is not None:
                    client.serve(body, content_type)
        sent_at = attempt.sent_at
        latency = attempt.first_at - sent_at if attempt.first_at else self.pause_detector.elapsed(sent_at, now)
        self.post(AttemptEnded(r.key, attempt.number, attempt.backend, outcome, latency, final, report))
        # The end of the last attempt of an answered request also ends the request. If it were kept, requests would
        # fill the memory, the budget for bodies and finally ``most_held``.
        self._forget(r)

    def _relative_time(self, r: Request, now: int) -> float:
        """Return the time a request has taken relative to its latency target; 0 for an unknown class."""
        aim, stretch = self.aims.get(r.cls, (0, 0.0))
        return (now - r.arrived_at) / (aim + stretch * (r.hint_us or 0)) if aim else 0.0

    def figures(self) -> dict[str, Any]:
        """Return the content of ``GET /stats``; the balancer reports which backends are avoided."""
        return self.ledger.figures(len(self.reach.entries), self.balancer.unavailable_count())

    # ------------------------------------------------------------ actions of the balancer

    def _send(self, action: Send, now: int) -> None:
        r = self.requests.get(action.id)
        if r is None:
            return
        attempt = Attempt(r, len(r.attempts), action.backend, now, action.start_by_us)
        r.attempts.append(attempt)
        r.outstanding += 1
        if not r.live or now >= r.deadline or attempt.number >= r.attempt_limit:
            self.end(attempt, Outcome.MOOT)
            return
        since = self.reach.draining.get(action.backend)
        if since is not None and now - since > self.settings.drain_grace_us:
            self.ledger.broken += 1  # a fault of the balancer: a comparison of versions must see it
        if action.stop_at_us and action.stop_at_us < r.deadline:
            self._schedule(action.stop_at_us, ATTEMPT_TIMEOUT, attempt.number, r.key)
        self.backends.start(attempt)

    def _refuse(self, action: Refuse, now: int) -> None:
        r = self.requests.get(action.id)
        if r is not None and r.live:
            self.answer(r, 503, action.retry_after_us)

    def _fail(self, action: Fail, now: int) -> None:
        r = self.requests.get(action.id)
        if r is not None and r.live:
            self.answer(r, 502)

    def _cancel(self, action: CancelAttempt, now: int) -> None:
        r = self.requests.get(action.id)
        if r is None or action.attempt >= len(r.attempts):
            return
        attempt = r.attempts[action.attempt]
        if r.stream is not attempt and not (r.live and self._pass_on(attempt)):
            self.end(attempt, Outcome.CANCELLED)

    def _set_timer(self, action: SetTimer, now: int) -> None:
        self._schedule(now + action.delay_us, TIMER, action.token, "")

    def _watch(self, action: Watch, now: int) -> None:
        self.discovery.watch(action.enable)

    def _tell_peers(self, action: TellPeers, now: int) -> None:
        if self.peers is not None and self.settings.may_tell_peers:
            self.peers.broadcast(action.data)

    def _log(self, action: Log, now: int) -> None:
        print(action.text.replace("\n", " "), file=sys.stderr, flush=True)

    # ------------------------------------------------------------ timers

    def _schedule(self, when: int, kind: int, number: int, key: str) -> None:
        heappush(self.due, (when, kind, number, key))
        if self.timer is None or when < self.timer_at - TIMER_RESOLUTION_US:
            self._arm(self.due[0][0])  # while timers expire, another one may be due before the new one

    def _arm(self, when: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = when
        self.timer = self.loop.call_later(max(TIMER_RESOLUTION_US, when - now_us()) / 1e6, self._timer)

    def _timer(self) -> None:
        # The loop runs timers before it reads sockets. Two hops let it read first, so that an answer that arrived
        # while the loop was busy does not count as a time-out.
        self.loop.call_soon(self.loop.call_soon, self._expire)

    def _expire(self) -> None:
        self.timer = None
        now = now_us()
        overdue: list[Request] = []
        due = self.due
        while due and due[0][0] <= now:
            _, kind, number, key = heappop(due)
            if kind == TIMER:
                self.post(TimerFired(number))
                continue
            r = self.requests.get(key)
            if r is None:
                continue
            if kind == ATTEMPT_TIMEOUT:
                self._time_out(r, [r.attempts[number]])
                continue
            if r.live:
                overdue.append(r)
            self._time_out(r, r.attempts[:])
        if overdue:
            self._process_events()
            for r in overdue:
                if r.live:
                    self.answer(r, 504)
                    self.post(ClientGone(r.key))
        if due and self.timer is None:
            self._arm(due[0][0])

    def _time_out(self, r: Request, attempts: list[Attempt]) -> None:
        """End attempts whose time is over, but not the one whose answer is being passed on or can be from now on."""
        if r.live:
            any(self._pass_on(attempt) for attempt in attempts)
        for attempt in attempts:
            if r.stream is not attempt:
                self.end(attempt, Outcome.TIMEOUT)

    def answer_all(self) -> None:
        """The process ends before the deadlines of these requests: give each its final answer now, and refuse
        requests that are still being read."""
        self.closing = True
        for r in [r for r in self.requests.values() if r.live]:
            for attempt in r.attempts[:]:
                self.end(attempt, Outcome.CANCELLED)
            if r.live:
                self.answer(r, 504)
                self.post(ClientGone(r.key))

    # ------------------------------------------------------------ learned state of another process

    def restore(self, experience: Experience, soon: bool = True) -> None:
        """Restore learned state; called right after the first list."""
        self.post(Recalled(experience, soon))

    # ------------------------------------------------------------ settings

    def change(self, settings: Settings) -> None:
        """Apply new settings within one loop iteration; requests in progress keep the settings of their arrival."""
        self.settings = settings
        self.ledger.add_classes(c.name for c in settings.classes)
        self.aims = aims(settings)
        self.backends.change(settings)
        self.reach.change(settings)
        self.discovery.change(settings)
        self.post(SettingsChanged(settings))

    # ------------------------------------------------------------ events from discovery and peers

    def on_list(self, event: BackendList) -> None:
        event, out_of_reach = self.reach.told(event, now_us())
        self.backends.draining = self.reach.draining
        self.post(event)
        self.backends.close_unreachable(out_of_reach)

    def advance_reach(self, now: int) -> None:
        """Advance the subset of backends if a step is due; called periodically."""
        event, out_of_reach = self.reach.tick(now)
        if event is not None:
            self.post(event)
            self.backends.close_unreachable(out_of_reach)

    def on_peer_message(self, peer: int, data: bytes) -> None:
        if not self.pause_detector.stale(self._check_pause()):  # after a pause a message's age is unknown
            self.post(PeerMessage(peer, data))
