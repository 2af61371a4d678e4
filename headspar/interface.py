"""Types exchanged between a proxy node and its decision module: settings, events in, actions out.

A node builds ``Balancer(settings, seed)`` (see ``headspar.decide``) and calls ``handle(now_us, events)`` with the
events since the last call.  The returned actions take effect at ``now_us``, in order.  All times are integer
microseconds on one monotonic clock.  This module takes no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Union


class Effect(Enum):
    """Whether a request may be repeated safely."""

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


class Group(Enum):
    """The set of backends within which repeats of a keyed request are deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """Result of an attempt; ``MOOT``: it was never sent."""

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
    REACH = "Reach"  # not from discovery: the set of backends that this node may use has changed


@dataclass(slots=True)
class RequestClass:
    """One class of requests, as configured by the deployment."""

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
    """A customer of the service and its quota over all nodes, requests per second."""

    name: str
    quota_rps: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class Settings:
    """Settings of a node.  Invalid values raise ``ValueError`` naming the field."""

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
    # parameters of the four rules
    answer_slack_us: int = 20_000
    drain_grace_us: int = 1_000_000
    ask_every_us: int = 10_000_000
    cold_share: float = 0.2
    ramp_us: int = 20_000_000
    fall_multiple: float = 3.0
    fall_us: int = 2_000_000
    # limits and permissions of the site
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
            raise ValueError("classes: names must be unique")
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
            raise ValueError("me: must be in 0 .. balancers - 1")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")
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
        """The share of its capacity that a backend is presumed to have at its age, from ``cold_share`` to 1; 1 if its
        start is unknown (0) or ``ramp_us`` ago or more."""
        age = now - started_at
        if not started_at or age >= self.ramp_us:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * max(0, age) / self.ramp_us


# ---------------------------------------------------------------- events in


@dataclass(slots=True)
class RequestArrived:
    """A client's request; it needs exactly one final answer before ``deadline_us``."""

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
    """A streamed response has begun; from now on the client receives this attempt and no other."""

    id: str
    attempt: int
    backend: str
    latency_us: int


@dataclass(slots=True)
class AttemptEnded:
    """The result of one attempt; ``final``: the request has ended with it."""

    id: str
    attempt: int
    backend: str
    outcome: Outcome
    latency_us: int
    final: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected; no answer is needed any more."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` has expired."""

    token: int


@dataclass(slots=True)
class BackendEntry:
    """One entry of discovery's list."""

    backend: str
    zone: str
    kind: str
    cell: int
    health: Health
    weight: float = 1.0
    started_at_us: int = 0
    reachable: bool = True  # whether this node may connect to it (subsetting)


@dataclass(slots=True)
class BackendList:
    """A message of discovery.  ``reach``: the share of the ready backends that this node may send to.  All nodes'
    subsets are of equal size, so it is also the share of the nodes that send to one backend."""

    kind: ListKind
    version: int
    entries: list[BackendEntry]
    reach: float = 1.0


@dataclass(slots=True)
class ProbeEnded:
    """The result of an active health check."""

    backend: str
    outcome: Outcome
    latency_us: int
    report: dict[str, float] | None = None


@dataclass(slots=True)
class SettingsChanged:
    """New settings, in force from now on; requests in progress keep their class, its effect and their maximum number
    of attempts."""

    settings: Settings


@dataclass(slots=True)
class ServerExperience:
    """Learned state of one backend; times are on the node's clock, work is in us."""

    id: str
    started_at_us: int
    health: float
    seen: float
    expected: float
    linger: float  # decaying load, outstanding work included
    last_ok: int
    trial_at: int
    trial_pause: int


@dataclass(slots=True)
class Experience:
    """Learned state for the next process on the same machine.  ``capacity``: values by attribute name; ``kinds``:
    observed and expected latency by kind of machine; ``classes``: parameters of the latency models; ``shares``:
    smoothed requests and work of a class, within and beyond tenants' shares; ``tenants``: tokens and the time of
    their last update; ``costliest``: cost class, us of work."""

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
    """Learned state of an earlier process, sent right after the first list.  ``soon``: start the watch at once,
    because that process is about to stop; unset if it ended long ago, possibly together with most of the fleet."""

    experience: Experience
    soon: bool = True


@dataclass(slots=True)
class PeerMessage:
    """A message from another node."""

    peer: int
    data: bytes


Event = Union[
    RequestArrived, StreamStarted, AttemptEnded, ClientGone, TimerFired, BackendList, ProbeEnded, PeerMessage,
    SettingsChanged, Recalled,
]


# ---------------------------------------------------------------- actions out


@dataclass(slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2 in the order sent."""

    id: str
    backend: str
    stop_at_us: int = 0  # 0: at the client's deadline
    start_by_us: int = 0  # not to be written later, when repeats are no longer deduplicated; 0: no limit


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; the client may safely retry."""

    id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel one attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a ``TimerFired`` after ``delay_us``."""

    token: int
    delay_us: int


@dataclass(slots=True)
class Watch:
    """Watch discovery for changes, or stop doing so."""

    enable: bool = True


@dataclass(slots=True)
class TellPeers:
    """Send a message of at most 256 bytes to every other node of the tier."""

    data: bytes


@dataclass(slots=True)
class Log:
    """A log line for the operators."""

    text: str


# ---------------------------------------------------------------- estimates, for the flight recorder


@dataclass(slots=True)
class BackendBelief:
    """Estimates for one backend: health and warmth as shares, Nm_i and outstanding work in us."""

    id: str
    health: float
    nm: float
    out: int
    warm: float
    usable: bool


@dataclass(slots=True)
class Belief:
    """Estimates after a Delta-t.  ``sound``: the sum over all backends of speed x warmth x squared health, which is a
    number of average backends; ``carried``: the load that is compared with K, us of work per average backend;
    ``horizon_us``: T; ``late``: mean lateness in aims.  The counters run from the start of the process: first
    requests, repeats, refusals, failures, requests served, attempts."""

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
