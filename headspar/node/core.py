"""Requests, attempts, timers and deadlines: what happened goes to the module, what it says is done.

All decisions are the module's.  What stands here is translation, time, and three hard limits: nothing goes
out for a request that has its answer, none is left without one at its deadline, none is held beyond
``most_held``.  Two of the module's types have no form on sockets here: ``ProbeEnded``, as the module has no
action that asks for a probe, and ``RequestArrived.is_write``, which no header tells.
"""

from __future__ import annotations

import asyncio
import sys
import time
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
from headspar.node.standstill import Standstill
from headspar.operations.ledger import Ledger
from headspar.operations.lifecycle import Lifecycle

if TYPE_CHECKING:
    from headspar.node.backends import Backends, Connection
    from headspar.node.clients import Client
    from headspar.node.discovery import Discovery
    from headspar.node.peers import Peers
    from headspar.node.reach import Reach
    from headspar.recorder.file import Recorder

GRAIN_US = 2_000
DOOR_RETRY_US = 1_000_000  # what the node itself refuses may be asked again after it
LOG_LINES = 20  # of the node's own, in each LOG_SPAN_US
LOG_SPAN_US = 10_000_000
TIMER, DEADLINE, STOP = 0, 1, 2


def now_us() -> int:
    """The node's one clock."""
    return time.monotonic_ns() // 1000


def aims(settings: Settings) -> dict[str, tuple[int, float]]:
    """By class: the wanted time in microseconds, and what is added to it for each of the hint's."""
    return {c.name: (c.aim_us, c.aim_stretch) for c in settings.classes}


class Request:
    """A client's request, from its head to the end of its last attempt."""

    __slots__ = (
        "key", "client", "head", "call_id", "cls", "tenant", "target_key", "budget_us", "hint_us",
        "is_repeat", "extra", "body", "size", "deadline", "live", "attempts", "out", "stream",
        "left", "limit", "proof", "came",
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
        self.body: list[bytes | bytearray] = []
        self.size = 0
        self.came = 0  # when it was whole, at the earliest
        self.deadline = 0
        self.live = False
        self.left = False  # the client went away before it had one
        self.limit = 0  # of attempts, as it was when it came
        self.proof = True  # whether it may go only over connections proven alive, by its class as it was
        self.attempts: list[Attempt] = []
        self.out = 0
        self.stream: Attempt | None = None


class Attempt:
    """One send of a request to one backend."""

    __slots__ = ("request", "number", "backend", "sent_at", "start_by", "first_at", "ended", "conn")

    def __init__(self, request: Request, number: int, backend: str, now: int, start_by: int = 0) -> None:
        self.request, self.number, self.backend, self.sent_at = request, number, backend, now
        self.start_by = start_by  # the latest that it may be written; 0: at any time
        self.first_at = 0
        self.ended = False
        self.conn: Connection | None = None


class Node:
    """The only caller of ``Balancer.handle``: events gather and go to it once a loop turn."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.settings = config.settings
        self.loop = loop
        self.balancer = Balancer(config.settings, config.seed)
        self.backends: Backends
        self.reach: Reach
        self.discovery: Discovery
        self.peers: Peers | None = None
        self.requests: dict[str, Request] = {}
        self.lifecycle = Lifecycle()
        self.ledger = Ledger(c.name for c in config.settings.classes)
        self.aims = aims(config.settings)
        self.most_held = config.settings.most_held
        self.serial = 0
        self.events: list[Event] = []
        self.turn_due = False
        self.due: list[tuple[int, int, int, str]] = []  # heap of (time, kind, number, request's key)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.standstill = Standstill(now_us())
        self.lists_first = False  # a standstill has just ended
        self.closing = False  # the process ends soon: what still comes is refused
        self.recorder: Recorder | None = None
        self.recorded_at = 0
        self.log_from, self.log_count = 0, 0
        self.actions = {
            Send: self._send,
            Refuse: self._refuse,
            Fail: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._set_timer,
            Watch: self._watch,
            TellPeers: self._tell,
            Log: self._log,
        }

    def log(self, text: str) -> None:
        """A line of the node's own for the operators; a flood of them is cut."""
        now = now_us()
        if now - self.log_from > LOG_SPAN_US:
            self.log_from, self.log_count = now, 0
        self.log_count += 1
        if self.log_count <= LOG_LINES:
            print(text.replace("\n", " "), file=sys.stderr, flush=True)

    def error(self, where: str, error: BaseException) -> None:
        at, tb = "", error.__traceback__
        while tb is not None:
            at, tb = f" ({tb.tb_frame.f_code.co_filename}:{tb.tb_lineno})", tb.tb_next
        self.log(f"{where}: {type(error).__name__}: {error}{at}")

    # ------------------------------------------------------------ events to the module

    def post(self, event: Event) -> None:
        """Hand an event to the module with this loop turn's others."""
        self.events.append(event)
        if not self.turn_due:
            self.turn_due = True
            self.loop.call_soon(self._turn)

    def settle(self) -> None:
        """Let the module hear now what has gathered."""
        self._turn()

    def beat(self) -> None:
        """The host calls it several times a second."""
        self.standstill.beats(self._look())

    def _look(self) -> int:
        """The time; a standstill that has just ended is noticed first."""
        now = now_us()
        if self.standstill.noticed(now):
            self._stood(now)
        return now

    def _stood(self, now: int) -> None:
        """The process has stood still: before it decides, it reads what has come meanwhile, lists first."""
        self.log(f"stood still for {(now - self.standstill.since) / 1e6:.1f} s")
        self.lists_first = self.turn_due = True
        # A hop is a round of the loop, each of which reads its sockets.
        self.loop.call_soon(self.loop.call_soon, self.loop.call_soon, self._first_turn)

    def _first_turn(self) -> None:
        self.lists_first = False
        self.events.sort(key=lambda event: not isinstance(event, BackendList))
        self._turn()

    def _turn(self) -> None:
        now = self._look()
        if self.lists_first:
            return
        self.turn_due = False
        events, self.events = self.events, []
        if not events:
            return
        try:
            actions = self.balancer.handle(now, events)
        except Exception as error:
            # A fault in one decision must not end the node.  What was decided before it stands; requests
            # left undecided are answered at their deadlines.
            self.error("decide", error)
            actions = self.balancer.actions
        for action in actions:
            try:
                self.actions[type(action)](action, now)  # type: ignore[operator]
            except Exception as error:
                self.error(type(action).__name__, error)
        if self.recorder is not None and self.balancer.ticked_at != self.recorded_at:
            self.recorded_at = self.balancer.ticked_at
            ledger = self.ledger
            self.recorder.write(self.balancer.belief(), (ledger.connections, ledger.calls, ledger.datagrams))

    # ------------------------------------------------------------ a request's life

    def came(self) -> int:
        """When what is read now came, at the earliest."""
        return self.standstill.came(self._look())

    def retry_after(self) -> int:
        """For what the node itself refuses, us; 0 where clients are told nothing."""
        s = self.settings
        return min(s.max_retry_after_us, DOOR_RETRY_US) if s.retry_after else 0

    def arrived(self, r: Request) -> None:
        """A whole request; ``r.deadline`` counts from when it was whole, however long it waited behind others."""
        now = self._look()
        self.ledger.took()
        if self.closing or len(self.requests) >= self.most_held:
            self.answer(r, 503, self.retry_after())
            return
        self.serial += 1
        r.key = str(self.serial)
        r.live = True
        r.limit = self.settings.max_attempts
        r.proof = r.cls not in self.backends.repeatable
        self.requests[r.key] = r
        if r.deadline <= now:  # it lay there for longer than it had
            self.answer(r, 504)
            return
        self._at(r.deadline, DEADLINE, 0, r.key)
        self.post(
            RequestArrived(r.key, r.cls, r.deadline, r.hint_us, r.target_key, r.tenant, r.is_repeat)
        )

    def hasten(self, r: Request, deadline: int) -> None:
        """Another request waits for the answer to this one, and has less time left."""
        if r.live and deadline < r.deadline:
            r.deadline = deadline
            self._at(deadline, DEADLINE, 0, r.key)

    def turned_away(self, r: Request) -> None:
        """A request that the door has refused with 503: taken and ended at once."""
        self.ledger.took()
        self.ledger.answered(r.cls, 503)

    def answer(self, r: Request, status: int, retry_after_us: int = 0) -> None:
        r.live = False
        self.ledger.answered(r.cls, status)
        client, r.client = r.client, None
        if client is not None:
            client.refuse(r, status, retry_after_us)
        self._forget(r)

    def gone(self, r: Request) -> None:
        """The client has gone away; nothing more is owed."""
        r.client = None
        if r.live:
            r.live, r.left = False, True
            self.ledger.left()
            self.post(ClientGone(r.key))
        if r.stream is not None:
            self.ledger.left()
            self.end(r.stream, Outcome.CANCELLED)
        self._forget(r)

    def _forget(self, r: Request) -> None:
        if not r.live and not r.out and r.stream is None:
            self.requests.pop(r.key, None)
            r.attempts.clear()
            if r.size:
                self.backends.budget.give_back(r.size)
                r.size, r.body = 0, []

    def stream_started(self, attempt: Attempt) -> bool:
        """The first bytes of a long answer are here; whether they go to the client."""
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
        body: bytes = b"",
        content_type: bytes = b"",
        report: dict[str, float] | None = None,
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        conn, attempt.conn = attempt.conn, None
        if conn is not None:
            conn.release()
        r = attempt.request
        if conn is not None and (outcome is Outcome.TIMEOUT or outcome is Outcome.CANCELLED and not r.left):
            self.backends.doubt(attempt)
        r.out -= 1
        now = now_us()
        client = r.client
        if r.stream is attempt:
            r.stream = r.client = None
            final = True
            if client is not None:
                self.ledger.answered(r.cls, 200 if outcome is Outcome.OK else 502, self._share(r, attempt.first_at))
                client.stream_end(outcome is Outcome.OK)
        else:
            final = not r.live or outcome is Outcome.OK
            if r.live and outcome is Outcome.OK:
                r.live = False
                r.client = None
                self.ledger.answered(r.cls, 200, self._share(r, now))
                if client is not None:
                    client.serve(body, content_type)
        sent_at = attempt.sent_at
        latency = attempt.first_at - sent_at if attempt.first_at else self.standstill.lasted(sent_at, now)
        self.post(AttemptEnded(r.key, attempt.number, attempt.backend, outcome, latency, final, report))
        # The end of the last attempt of a request that has its answer is the request's end too.  Kept beyond
        # it, requests would fill the memory, the bodies' budget and at last ``most_held``.
        self._forget(r)

    def _share(self, r: Request, now: int) -> float:
        """The time that a request has taken, of the wanted time; 0 for a class that nobody names."""
        aim, stretch = self.aims.get(r.cls, (0, 0.0))
        return (now - r.came) / (aim + stretch * (r.hint_us or 0)) if aim else 0.0

    def figures(self) -> dict[str, Any]:
        """What ``GET /stats`` shows; which backends are avoided the module says."""
        return self.ledger.figures(len(self.reach.entries), self.balancer.avoided())

    # ------------------------------------------------------------ actions of the module

    def _send(self, action: Send, now: int) -> None:
        r = self.requests.get(action.id)
        if r is None:
            return
        attempt = Attempt(r, len(r.attempts), action.backend, now, action.start_by_us)
        r.attempts.append(attempt)
        r.out += 1
        if not r.live or now >= r.deadline or attempt.number >= r.limit:
            self.end(attempt, Outcome.MOOT)
            return
        since = self.reach.draining.get(action.backend)
        if since is not None and now - since > self.settings.drain_grace_us:
            self.ledger.broken += 1  # a fault of the module's: who compares versions has to hear of it
        if action.stop_at_us and action.stop_at_us < r.deadline:
            self._at(action.stop_at_us, STOP, attempt.number, r.key)
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
        if r.stream is not attempt:
            self.end(attempt, Outcome.CANCELLED)

    def _set_timer(self, action: SetTimer, now: int) -> None:
        self._at(now + action.delay_us, TIMER, action.token, "")

    def _watch(self, action: Watch, now: int) -> None:
        self.discovery.watch(action.enable)

    def _tell(self, action: TellPeers, now: int) -> None:
        if self.peers is not None and self.settings.may_tell_peers:
            self.peers.tell(action.data)

    def _log(self, action: Log, now: int) -> None:
        print(action.text.replace("\n", " "), file=sys.stderr, flush=True)

    # ------------------------------------------------------------ time

    def _at(self, when: int, kind: int, number: int, key: str) -> None:
        heappush(self.due, (when, kind, number, key))
        if self.timer is None or when < self.timer_at - GRAIN_US:
            self._arm(self.due[0][0])  # another may be due before it: while what has come due is worked off

    def _arm(self, when: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = when
        self.timer = self.loop.call_later(max(GRAIN_US, when - now_us()) / 1e6, self._timer)

    def _timer(self) -> None:
        # The loop runs timers before it reads sockets.  Two hops let it read first, so that an answer which
        # came while the loop was busy is not taken for a time-out.
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
            if kind == STOP:
                if r.stream is not r.attempts[number]:
                    self.end(r.attempts[number], Outcome.TIMEOUT)
                continue
            if r.live:
                overdue.append(r)
            for attempt in r.attempts[:]:
                if r.stream is not attempt:
                    self.end(attempt, Outcome.TIMEOUT)
        if overdue:
            self._turn()
            for r in overdue:
                if r.live:
                    self.answer(r, 504)
                    self.post(ClientGone(r.key))
        if due and self.timer is None:
            self._arm(due[0][0])

    def cut(self) -> None:
        """The process ends before the deadlines of these requests: each gets its final answer now, and so does
        each that is still read."""
        self.closing = True
        for r in [r for r in self.requests.values() if r.live]:
            for attempt in r.attempts[:]:
                self.end(attempt, Outcome.CANCELLED)
            if r.live:
                self.answer(r, 504)
                self.post(ClientGone(r.key))

    # ------------------------------------------------------------ what another process has learned

    def recall(self, experience: Experience, soon: bool = True) -> None:
        """Right after the first list."""
        self.post(Recalled(experience, soon))

    # ------------------------------------------------------------ settings

    def change(self, settings: Settings) -> None:
        """New settings, all in this turn of the loop; what is under way stays as it came."""
        self.settings = settings
        self.ledger.name(c.name for c in settings.classes)
        self.aims = aims(settings)
        self.backends.change(settings)
        self.reach.change(settings)
        self.discovery.change(settings)
        self.post(SettingsChanged(settings))

    # ------------------------------------------------------------ from the other parts

    def told(self, event: BackendList) -> None:
        event, out_of_reach = self.reach.told(event, now_us())
        self.backends.draining = self.reach.draining
        self.post(event)
        self.backends.let_go(out_of_reach)

    def move_reach(self, now: int) -> None:
        """The host calls it now and then: the reach moves a step if one is due."""
        event, out_of_reach = self.reach.tick(now)
        if event is not None:
            self.post(event)
            self.backends.let_go(out_of_reach)

    def heard(self, peer: int, data: bytes) -> None:
        if not self.standstill.stale(self._look()):  # else a word of nobody knows when
            self.post(PeerMessage(peer, data))
