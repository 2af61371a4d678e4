"""The types between a proxy node and its decisions: settings, events in, actions out.

A node builds ``Balancer(settings, seed)`` (see ``headspar.decide``) and calls ``handle(now_us, events)``
with what has happened; the returned actions take effect at that time, in order.  All times are whole
microseconds on one clock that only advances.  Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Union


class Effect(Enum):
    """What repeating a request may do."""

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


class Group(Enum):
    """Which backends discard repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


class Health(Enum):
    """State of a backend in discovery's list."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"


class ListKind(Enum):
    """Kind of a discovery message."""

    DELTA = "Partial"
    FULL = "Complete"
    CACHED = "Persisted"
    FAILED = "Error"
    REACH = "Reach"  # not discovery's: what this node may send to has moved


@dataclass(slots=True)
class RequestClass:
    """One class of request, as the deployment's settings describe it."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.RETRYABLE
    group: Group = Group.ALL
    window_us: int = 0
    stream: bool = False
    aim_stretch: float = 0.0


@dataclass(slots=True)
class Tenant:
    """A customer of the service and the rate, over all nodes, that is inside its share."""

    name: str
    quota_rps: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class Settings:
    """What a node is told at its start.  Impossible values raise ``ValueError`` naming the field."""

    classes: list[RequestClass]
    me: int = 0
    balancers: int = 1
    zone: str = ""
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    must_subscribe: bool = False
    warm_keys: bool = False
    worst_class_weight: float = 0.0
    cross_zone_price: float = 0.0
    report_fields: tuple[str, ...] = ()
    quantum_us: int = 1_000
    # the figures of the four rules
    answer_slack_us: int = 20_000
    drain_grace_us: int = 1_000_000
    ask_every_us: int = 10_000_000
    cold_share: float = 0.2
    ramp_us: int = 20_000_000
    fall_multiple: float = 3.0
    fall_us: int = 2_000_000
    # what the site allows
    max_attempts: int = 3
    may_cancel: bool = True
    may_probe: bool = False
    may_tell_peers: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    idle_close_us: int = 15_000_000
    most_held: int = 20_000

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one request class is needed")
        if len({cls.name for cls in self.classes}) < len(self.classes):
            raise ValueError("classes: a name comes twice")
        for cls in self.classes:
            if cls.aim_us <= 0 or cls.deadline_us <= 0:
                raise ValueError(f"classes[{cls.name}]: aim_us and deadline_us must be above 0")
            if cls.worth < 0 or cls.late_worth < 0:
                raise ValueError(f"classes[{cls.name}].worth: must not be negative")
            if cls.effect is Effect.DEDUP and cls.window_us <= 0:
                raise ValueError(f"classes[{cls.name}].window_us: a keyed class needs a window above 0")
        if self.balancers < 1:
            raise ValueError("balancers: must be at least 1")
        if not 0 <= self.me < self.balancers:
            raise ValueError("me: must lie in 0 .. balancers - 1")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must lie above 0 and at most 1")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be at least 1")
        for name in (
            "ramp_us", "fall_us", "ask_every_us", "quantum_us",
            "connect_timeout_us", "idle_close_us", "most_held",
        ):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")
        for name in ("answer_slack_us", "drain_grace_us", "max_retry_after_us"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        if self.fall_multiple <= 0:
            raise ValueError("fall_multiple: must be above 0")

    def warm_share(self, started_at: int, now: int) -> float:
        """The share of its capacity that a backend must be presumed to have by its age; 1 where its start is not
        told (0), or is long ago."""
        age = now - started_at
        if not started_at or age >= self.ramp_us:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * max(0, age) / self.ramp_us


# ---------------------------------------------------------------- events in


@dataclass(slots=True)
class RequestArrived:
    """A client's request; exactly one final answer is owed before ``deadline_us``."""

    id: str
    cls: str
    deadline_us: int
    hint_us: int | None = None  # expected work on a standard core; None: no valid hint
    key: str | None = None
    tenant: str | None = None
    is_repeat: bool = False
    is_write: bool = False


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; the attempt is the client's now."""

    id: str
    attempt: int
    backend: str
    latency_us: int


@dataclass(slots=True)
class AttemptEnded:
    """How one attempt ended; ``final``: the request is over."""

    id: str
    attempt: int
    backend: str
    outcome: Outcome
    latency_us: int
    final: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientGone:
    """The client quit; nothing more is owed."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` is due."""

    token: int


@dataclass(slots=True)
class BackendEntry:
    """One line of discovery's list."""

    backend: str
    zone: str
    kind: str
    cell: int
    health: Health
    weight: float = 1.0
    started_at_us: int = 0
    reachable: bool = True  # whether this node may have connections to it


@dataclass(slots=True)
class BackendList:
    """What discovery tells about the backends; ``reach``: the share of those that are ready that this node may
    send to.  All nodes' parts are alike, so it is also the share of the nodes that sends to one backend."""

    kind: ListKind
    version: int
    entries: list[BackendEntry]
    reach: float = 1.0


@dataclass(slots=True)
class ProbeEnded:
    """The result of one ``Probe``."""

    backend: str
    outcome: Outcome
    latency_us: int
    report: dict[str, float] | None = None


@dataclass(slots=True)
class SettingsChanged:
    """The settings from now on; requests under way keep their class, its effect and their number of attempts."""

    settings: Settings


@dataclass(slots=True)
class ServerExperience:
    """What the module has learned of one backend; times are the clock's, work in us."""

    id: str
    started_at_us: int
    health: float
    seen: float
    expected: float
    linger: float  # with what is outstanding
    last_ok: int
    trial_at: int
    trial_pause: int


@dataclass(slots=True)
class Experience:
    """What the module has learned, for the process that comes after this one on the same machine.  ``capacity``:
    its figures by name; ``kinds``: seen and expected latency of a kind of machine; ``classes``: figures of latency;
    ``shares``: smoothed requests and work of a class within and beyond tenants' shares; ``tenants``: tokens and
    when they were counted; ``costliest``: in us of work."""

    capacity: dict[str, float]
    kinds: dict[str, list[float]]
    classes: dict[str, list[float]]
    shares: dict[str, list[float]]
    tenants: dict[str, list[float]]
    costliest: int
    retries: float
    servers: list[ServerExperience]


@dataclass(slots=True)
class Recalled:
    """Comes right after the first list: what a process before this one has learned.  ``soon``: discovery is to be
    watched at once, as that process stops soon; not where it has long ended, and maybe with most of the fleet."""

    experience: Experience
    soon: bool = True


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another node."""

    peer: int
    data: bytes


Event = Union[
    RequestArrived, StreamStarted, AttemptEnded, ClientGone, TimerFired, BackendList, ProbeEnded, PeerMessage,
    SettingsChanged, Recalled,
]


# ---------------------------------------------------------------- actions out


@dataclass(slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered 0, 1, 2 in the order sent."""

    id: str
    backend: str
    stop_at_us: int = 0  # 0: at the client's deadline
    start_by_us: int = 0  # not to be written later, as repeats are no longer dropped then; 0: at any time


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away; trying again is harmless."""

    id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, promising nothing."""

    id: str


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` after ``delay_us``."""

    token: int
    delay_us: int


@dataclass(slots=True)
class Watch:
    """Subscribe to discovery's changes."""

    enable: bool = True


@dataclass(slots=True)
class TellPeers:
    """Send at most 256 bytes to every other node of the tier."""

    data: bytes


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


# ---------------------------------------------------------------- what is believed, for the flight recorder


@dataclass(slots=True)
class BackendBelief:
    """One backend: health and warmth as shares, Nm_i and what is outstanding in us of work."""

    id: str
    health: float
    nm: float
    out: int
    warm: float
    usable: bool


@dataclass(slots=True)
class Belief:
    """What the module believes after a Delta-t.  ``sound``: the sum of speed, warmth and squared health over all
    backends, in average backends; ``carried``: what K is compared with, us of work for each of them.  Counts run on
    from the start: first tries and repeats that came, refusals, failures, requests served, attempts."""

    at_us: int
    k: float
    acc: float
    sound: float
    carried: float
    horizon_us: float
    late: float
    retries: float
    firsts: int
    repeats: int
    refused: int
    failed: int
    served: int
    attempts: int
    servers: list[BackendBelief]


Action = Union[Send, Refuse, Fail, CancelAttempt, SetTimer, Watch, TellPeers, Log]
