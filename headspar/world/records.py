"""Records that callers, servers, discovery and the lab itself write during a run.  The audit reads nothing else.

All times are microseconds on the machine's monotonic clock, which the processes of a run share.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec


class ClientOutcome(Enum):
    """How a client attempt ended."""

    ANSWER = "answer"  # a complete response arrived
    CLOSED = "closed"  # the connection was closed without a response
    CUT = "cut"  # the response was truncated, and the caller could tell
    NONE = "none"  # timeout: no response in time
    RESET_IN_FLIGHT = "crossed"  # the node closed a keep-alive connection as the request was sent; the caller retries
    LEFT = "left"  # the caller closed the connection itself
    UNCONNECTED = "unconnected"  # no node accepted the connection


class AttemptResult(Enum):
    """Outcome of an attempt at a server."""

    DONE = "done"
    REPEAT = "repeat"  # duplicate of a remembered key: answered without a second effect
    ERROR = "error"
    REJECTED = "turned away"  # rejected, never ran
    CANCELLED = "called off"  # the node closed the connection before the response
    DIED = "died"  # the server died, or the connection was reset
    CORRUPTED = "spoilt"  # it ran, and the response was corrupted
    HUNG = "hung"  # accepted, and never answered
    CUT_OFF = "cut off"  # the node closed the connection while a sound answer was being written
    OPEN = "open"  # still running at the end of the run


class ClientAttemptRecord(msgspec.Struct, array_like=True, gc=False):
    """One client attempt."""

    call: int
    attempt: int  # 0: first client attempt
    node: str
    planned_at: int
    sent_at: int  # last byte written
    budget_us: int
    ended_at: int
    end: ClientOutcome
    status: int = 0
    genuine: bool = True  # the body is the one that a server produced for this client attempt
    retry_after_us: int = -1  # -1: the response had no Retry-After
    twice: bool = False  # data arrived after the end of the response


class ServerAttempt(msgspec.Struct, array_like=True, gc=False):
    """One complete request that arrived at a server, as recorded in the server's ledger.  Its idempotency key is the
    call's."""

    call: int
    attempt: int
    server: str
    node: str
    arrived_at: int
    ended_at: int
    fate: AttemptResult
    work_us: float
    effect: bool  # accepted, and no duplicate: it takes effect when its work begins
    key_ok: bool = True  # path, key and body are the caller's
    began_at: int = 0  # 0: it never left the queue


class Notification(msgspec.Struct, array_like=True):
    """State of a server that discovery has reported to a node, or that the node is presumed to know."""

    node: str
    server: str
    at: int
    state: str  # ready, draining, gone
    started_at: int = 0
    presumed: bool = False
    version: int = 0  # of the list; a notification with a lower version than an earlier one is ignored


class Start(msgspec.Struct, array_like=True):
    """Cold start of a server's process."""

    server: str
    at: int


class RunEvent(msgspec.Struct, array_like=True):
    """An event that the lab caused or observed: a fault, the exit of a node, the failure of a server."""

    at: int
    what: str
    target: str
    text: str = ""
    value: float = 0.0  # parameter of the fault: the factor of "slow", the share of "turn_away"


class Lateness(msgspec.Struct, array_like=True):
    """Scheduling delay of one part of the lab, in microseconds, over ``count`` timers."""

    part: str
    count: int
    p50: int
    p99: int
    most: int


class ClassRule(msgspec.Struct):
    """Properties of a class that the audit checks against."""

    name: str
    effect: str
    group: str
    window_us: int
    aim_us: int
    worth: float
    late_worth: float


class ServerRule(msgspec.Struct):
    """Properties of a server that the audit checks against."""

    site: str
    cell: int
    capacity: float  # microseconds of work per second when warm
    cold_share: float
    ramp_us: int
    connection_cost_us: float = 0.0


class CallRule(msgspec.Struct, array_like=True, gc=False):
    """Properties of a call that the audit checks against."""

    cls: int
    agent: int
    work_us: int


class AuditParameters(msgspec.Struct):
    """Parameters of the audit: limits, and the properties of classes, agents, servers and calls."""

    answer_slack_us: int
    drain_grace_us: int
    fall_multiple: float
    fall_us: int
    max_attempts: int
    second_copies: bool
    over_share_worth: float
    lateness_us: int
    began_at: int
    length_us: int
    classes: list[ClassRule]
    agents: list[tuple[str, float]]  # name, share
    quota_rps: float  # of all agents together; an agent's quota is its share of it
    servers: dict[str, ServerRule]
    calls: list[CallRule]
    told_after_us: int = 6_000_000  # time after which nodes are presumed to know a change that discovery knows
    mean_us: float = 0.0  # mean work of a request; 0: unknown


class Recording(msgspec.Struct):
    """All records of a run."""

    rules: AuditParameters
    asks: list[ClientAttemptRecord] = []
    sent: list[ServerAttempt] = []
    told: list[Notification] = []
    starts: list[Start] = []
    marks: list[RunEvent] = []
    lateness: list[Lateness] = []
    strangers: int = 0  # requests that arrived at servers with an id that no caller had made
    missing: list[str] = []  # parts that delivered no records; any makes the verdict invalid
    accepted: list[tuple[int, str]] = []  # (time, server) of each accepted connection
    asked: list[tuple[int, str]] = []  # (time, node) of each call to discovery
    figures: dict[str, dict[str, Any]] = {}  # by node: the figures that it reported at the end


def encode(recording: Recording) -> bytes:
    """The recording as MessagePack; ``decode`` reads it."""
    return msgspec.msgpack.encode(recording)


def decode(data: bytes) -> Recording:
    """A recording from MessagePack; raises ``msgspec.DecodeError`` where the data is none."""
    return msgspec.msgpack.decode(data, type=Recording)


def lateness(part: str, samples: list[int]) -> Lateness:
    """Percentiles of ``samples`` (microseconds).  Without samples all figures are 0."""
    rows = sorted(samples)
    if not rows:
        return Lateness(part, 0, 0, 0, 0)
    return Lateness(part, len(rows), rows[len(rows) // 2], rows[min(len(rows) - 1, len(rows) * 99 // 100)],
                    rows[-1])
