"""Description of a run, parsed from TOML and validated before the run starts.

The names of time fields end with their unit (``_s``, ``_ms``, ``_us``); a pair ``[low, high]`` is a range from which
values are drawn uniformly.  Unknown keys and invalid values raise ``ScenarioError``, a one-line message that names
the field.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Literal

import msgspec

Range = tuple[float, float]


class ScenarioError(ValueError):
    """The scenario is invalid.  The message is one line that names the field."""


class Struct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file.  Unknown keys are an error."""


class Nodes(Struct):
    """The nodes of the fleet.  ``sockets`` and ``memory_mb`` are the limits in a node's configuration."""

    count: int = 3
    memory_mb: int = 192
    sockets: int = 1024
    peers: bool = True  # whether nodes may exchange datagrams
    second_copies: bool = True
    max_attempts: int = 6
    retry_after: bool = True
    connect_timeout_ms: float = 200.0
    kill_at_once: bool = False  # SIGKILL at the earliest time after SIGTERM that the protocol page allows


class Choke(Struct):
    """Slowdown by overload.  A server that holds more than ``at`` requests for ``over_s`` becomes ``factor`` times
    slower, until it has held fewer than ``below`` times ``at`` for ``rest_s``, or for at most ``most_s``."""

    at: int
    over_s: float = 2.0
    factor: float = 2.5
    below: float = 0.3
    rest_s: float = 3.0
    most_s: float = 25.0


class Servers(Struct):
    """A group of cash servers with equal properties.  Work is measured in microseconds on a core of speed 1."""

    count: int = 9
    machine: str = "standard"
    sites: list[str] = msgspec.field(default_factory=lambda: ["site-a", "site-b", "site-c"])
    cell_size: int = 4
    cores: int = 2
    speed: Range = (0.85, 1.1)
    slots_per_core: float = 10.0
    queue_per_core: float = 20.0
    connections: int = 500
    connection_cost_us: float = 1000.0
    idle_s: float = 15.0
    idle_told_s: float = 0.0  # the value in the nodes' settings, where it differs; 0: idle_s
    idle_close: Literal["fin", "silent"] = "fin"
    cold_share: float = 0.2
    ramp_s: float = 20.0
    error_rate: float = 0.0
    keys_remembered: int = 20_000
    choke: Choke | None = None  # None: overload does not slow the servers down


class Class(Struct):
    """A class of requests, as in the site's table of classes."""

    name: str
    share: float
    work_ms: Range
    wait_ms: Range
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.3
    effect: Literal["retryable", "dedup", "fragile"] = "retryable"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: float = 0.0
    body_bytes: int = 200


class Agent(Struct):
    """A collecting agent, its share of the total quota, and its usage of that share relative to the other agents'."""

    name: str
    share: float
    usage: float = 1.0


class Load(Struct):
    """Offered load: ``rps`` over all nodes, or ``utilisation`` of the servers' warm capacity."""

    rps: float = 0.0
    utilisation: float = 0.0
    shape: Literal["steady", "ramp", "due-date"] = "steady"
    swing: float = 0.2
    bursts_per_s: float = 0.0
    burst_size: int = 8
    keys: int = 2000
    zipf: float = 1.0
    hints: bool = True  # whether requests carry a hint of their cost
    hint_error: float = 0.1  # standard deviation of ln(hint / work)
    work_scale: float = 1.0  # factor on the work and waits of all classes
    quota_of_capacity: float = 0.85  # total quota of the agents, as a share of the warm capacity
    node_skew: float = 0.0  # standard deviation of the logarithm of a node's share of the calls


class Callers(Struct):
    """How clients behave when a client attempt is refused, fails or gets no response."""

    retries: int = 1
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: Range = (20.0, 160.0)
    honour: float = 0.6  # share of the retries that wait for as long as Retry-After says
    try_share: Range = (1.0, 1.0)  # time limit of one client attempt, as a share of the class's deadline
    impatient: float = 0.0  # share of the calls whose callers close the connection early
    notice_s: float = 1.0  # time until callers stop sending to a dead node
    connections: int = 200  # maximum to one node
    use_until_killed: bool = False  # whether they go on using open connections to a node that is being restarted
    processes: int = 1


class Discovery(Struct):
    """Service discovery.  ``asked``: one service that all nodes subscribe to; ``pushed``: an agent on each node's
    host pushes updates."""

    mode: Literal["asked", "pushed"] = "asked"
    notice_s: Range = (0.5, 1.5)  # delay until a drain or a death is known
    add_s: Range = (0.2, 0.8)  # delay until a new or returned server is listed
    delay_ms: float = 5.0  # response time of a call
    calls_per_s: float = 0.0  # throughput over all nodes, serving one call after another; 0: unlimited
    timeout_ms: float = 1000.0  # a call that has queued for this long ends with 503


class Rules(Struct):
    """Parameters of the rules that the audit checks."""

    answer_slack_ms: float = 50.0
    drain_grace_s: float = 1.0
    ask_every_s: float = 10.0
    told_after_s: float = 6.0
    fall_multiple: float = 3.0
    fall_s: float = 1.5
    over_share_worth: float = 0.2
    lateness_ms: float = 20.0  # a run whose lab is later than this at the 99th percentile has no valid verdict


FaultKind = Literal[
    "die", "vanish", "slow", "drain", "turn_away", "reset", "spoil", "stray", "long", "hang", "idle_silent", "flood",
    "hot_key", "grow", "discovery_gone", "discovery_silent", "discovery_break", "discovery_move",
    "node_term", "node_hup", "node_kill", "node_upgrade", "node_drain", "node_stop", "node_crowd",
]
# Required fields of each kind, beside at_s.
NEEDS: dict[str, tuple[str, ...]] = {
    "die": ("servers",), "vanish": ("servers", "for_s"), "slow": ("servers", "for_s", "factor"),
    "drain": ("servers",), "turn_away": ("servers", "for_s"), "reset": ("servers", "for_s"),
    "spoil": ("servers", "for_s"), "stray": ("servers", "for_s", "delay_ms"), "hang": ("servers", "for_s"),
    "long": ("servers", "for_s", "delay_ms"), "idle_silent": ("servers", "for_s"),
    "flood": ("agent", "for_s", "factor"), "hot_key": ("share", "for_s"),
    "grow": ("servers", "over_s"), "discovery_gone": ("for_s",), "discovery_silent": ("for_s",),
    "discovery_break": (), "discovery_move": (), "node_term": ("nodes",), "node_hup": ("nodes",),
    "node_kill": ("nodes",), "node_upgrade": ("nodes",), "node_drain": ("nodes", "for_s"),
    "node_stop": ("nodes", "for_s"), "node_crowd": ("nodes", "for_s", "count"),
}
# Optional fields of each kind.
OPTIONAL: dict[str, tuple[str, ...]] = {
    "die": ("back_s", "site"), "vanish": ("site",), "drain": ("back_s", "linger_s", "site"),
    "reset": ("share", "byte", "where"), "spoil": ("share", "how"),
    "stray": ("share", "how"), "long": ("share", "how"), "hang": ("share",), "turn_away": ("share",),
    "hot_key": ("keys",),
    "node_term": ("back_s", "spread_s"), "node_kill": ("back_s", "spread_s"), "node_stop": ("spread_s",),
    "flood": ("classes",), "grow": ("traffic",),
}


# Values of ``how`` by kind, the default first.
HOWS: dict[str, tuple[str, ...]] = {
    "spoil": ("noise", "head", "length", "endless", "again"),
    "stray": ("copy", "rejection", "other", "noise"),
    "long": ("chunked", "close", "length"),
}


class Fault(Struct):
    """One fault.  ``servers``: how many are affected, a count or a share below 1, of ``site`` if that is given;
    ``delay_ms``: the maximum delay of bytes that belong to no request, or the time over which a long answer is
    written; ``byte``: the number of bytes of the response
    (``where = "answer"``) or of the request after which a connection is reset."""

    at_s: float
    kind: FaultKind
    for_s: float | None = None
    over_s: float | None = None
    back_s: float | None = None
    linger_s: float | None = None
    spread_s: float | None = None  # the nodes are affected one after the other over this time
    servers: float | None = None
    site: str | None = None
    nodes: int | None = None
    count: int | None = None  # idle connections to each of the nodes
    factor: float | None = None
    share: float | None = None
    byte: int | None = None
    where: Literal["request", "answer"] | None = None
    delay_ms: float | None = None
    how: Literal[
        "noise", "head", "length", "endless", "again", "copy", "rejection", "other", "chunked", "close"
    ] | None = None
    agent: str | None = None
    classes: list[str] | None = None
    keys: int | None = None
    traffic: bool | None = None


class Links(Struct):
    """Faults of the byte streams between nodes and servers or discovery, as shares of the chunks of bytes read.

    ``split``: delivered in two pieces; ``delay_ms``: the maximum delay of each; ``repeat``: a whole response is
    delivered again up to ``repeat_ms`` later; ``reset``: the connection is reset within the chunk; ``forget``: the
    connection stays open and silent for some seconds, and is reset then.  ``reset`` and ``forget`` spare discovery.
    """

    split: float = 0.0
    delay_ms: float = 0.0
    repeat: float = 0.0
    repeat_ms: float = 0.0
    reset: float = 0.0
    forget: float = 0.0


class Scenario(Struct):
    """The description of a run."""

    name: str
    length_s: float
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    servers: list[Servers] = msgspec.field(default_factory=lambda: [Servers()])
    classes: list[Class] = []
    agents: list[Agent] = []
    load: Load = msgspec.field(default_factory=lambda: Load(utilisation=0.5))
    callers: Callers = msgspec.field(default_factory=Callers)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    rules: Rules = msgspec.field(default_factory=Rules)
    faults: list[Fault] = []
    links: Links | None = None  # None: nodes connect to servers and discovery directly


COUNTER_CLASSES = [
    Class(name="lookup", share=0.38, work_ms=(24, 44), wait_ms=(35, 66), aim_ms=400,
          deadline_ms=2000, worth=1, effect="retryable", body_bytes=0),
    Class(name="payment", share=0.34, work_ms=(28, 51), wait_ms=(28, 51), aim_ms=400,
          deadline_ms=1200, worth=10, effect="dedup", group="all", window_ms=1200),
    Class(name="reversal", share=0.15, work_ms=(49, 88), wait_ms=(48, 89), aim_ms=500,
          deadline_ms=2000, worth=3, effect="dedup", group="all", window_ms=10_000),
    Class(name="batch", share=0.13, work_ms=(100, 180), wait_ms=(99, 180), aim_ms=1000,
          deadline_ms=5000, worth=8, effect="dedup", group="zone", window_ms=3000, body_bytes=2000),
]
COUNTER_AGENTS = [
    Agent(name=name, share=share) for name, share in (
        ("agent-a", 0.22), ("agent-b", 0.19), ("agent-c", 0.16), ("agent-d", 0.13),
        ("agent-e", 0.10), ("agent-f", 0.09), ("agent-g", 0.07), ("agent-h", 0.04),
    )
]


def _require(valid: bool, field: str, text: str) -> None:
    if not valid:
        raise ScenarioError(f"{field}: {text}")


def _require_range(pair: Range, field: str, minimum: float = 0.0) -> None:
    _require(all(map(math.isfinite, pair)), field, "must be finite")
    _require(minimum <= pair[0] <= pair[1], field, f"needs {minimum:g} <= low <= high, not {list(pair)}")


def _require_above(value: float, field: str, minimum: float = 0.0) -> None:
    _require(math.isfinite(value) and value > minimum, field, f"must be above {minimum:g}, not {value!r}")


def _require_share(value: float, field: str) -> None:
    _require(0.0 <= value <= 1.0, field, f"must be in 0 .. 1, not {value!r}")


def _check_fault(f: Fault, i: int, s: Scenario) -> None:
    at = f"faults[{i}]"
    _require(math.isfinite(f.at_s) and 0 <= f.at_s < s.length_s, f"{at}.at_s",
             f"must be in 0 .. length_s ({s.length_s:g}), not {f.at_s!r}")
    for name in NEEDS[f.kind]:
        _require(getattr(f, name) is not None, f"{at}.{name}", f"missing, required for a fault of kind {f.kind}")
    known = {*NEEDS[f.kind], *OPTIONAL.get(f.kind, ()), "at_s", "kind"}
    for name in f.__struct_fields__:
        if getattr(f, name) is not None:
            _require(name in known, f"{at}.{name}", f"not allowed for a fault of kind {f.kind}")
    if f.how is not None:
        _require(f.how in HOWS[f.kind], f"{at}.how", f"{f.how!r} is not allowed for a fault of kind {f.kind}")
    for name in ("for_s", "over_s", "factor", "linger_s", "back_s", "spread_s", "delay_ms"):
        value = getattr(f, name)
        if value is not None:
            _require_above(value, f"{at}.{name}")
    if f.share is not None:
        _require_share(f.share, f"{at}.share")
    if f.byte is not None:
        _require(0 <= f.byte <= 1 << 20, f"{at}.byte", "must be in 0 .. 1048576")
    if f.servers is not None:
        whole = f.servers >= 1 and f.servers == int(f.servers)
        _require(whole or 0 < f.servers < 1, f"{at}.servers",
                 f"must be a count, or a share below 1, not {f.servers!r}")
        total = sum(g.count for g in s.servers)
        _require(f.kind == "grow" or f.servers < 1 or f.servers <= total, f"{at}.servers",
                 f"there are only {total} servers")
    if f.site is not None:
        _require(any(f.site in g.sites[:g.count] for g in s.servers), f"{at}.site", f"no server in {f.site!r}")
    if f.nodes is not None:
        _require(1 <= f.nodes <= s.nodes.count, f"{at}.nodes", f"must be in 1 .. {s.nodes.count}")
    if f.agent is not None:
        _require(f.agent in {a.name for a in s.agents}, f"{at}.agent", f"there is no agent {f.agent!r}")
    for name in f.classes or ():
        _require(name in {c.name for c in s.classes}, f"{at}.classes", f"there is no class {name!r}")
    if f.count is not None:
        _require(1 <= f.count <= 2000, f"{at}.count", "must be in 1 .. 2000")
    if f.keys is not None:
        _require(f.keys >= 1, f"{at}.keys", "must be at least 1")


def _check_links(links: Links) -> None:
    for name in ("split", "repeat", "reset", "forget"):
        _require_share(getattr(links, name), f"links.{name}")
    for name in ("delay_ms", "repeat_ms"):
        _require(getattr(links, name) >= 0, f"links.{name}", "must not be negative")


def check(s: Scenario) -> Scenario:
    """The scenario with its defaults filled in.  Raises ``ScenarioError`` if it is invalid."""
    s = msgspec.structs.replace(
        s, classes=s.classes or COUNTER_CLASSES, agents=s.agents or COUNTER_AGENTS
    )
    _require_above(s.length_s, "length_s")
    _require(s.length_s <= 3600, "length_s", "must be at most 3600 (an hour)")
    _require(1 <= s.nodes.count <= 400, "nodes.count", "must be in 1 .. 400")
    _require(s.nodes.memory_mb >= 64, "nodes.memory_mb", "must be at least 64")
    _require(s.nodes.sockets >= 64, "nodes.sockets", "must be at least 64")
    _require(s.nodes.max_attempts >= 1, "nodes.max_attempts", "must be at least 1")
    _require_above(s.nodes.connect_timeout_ms, "nodes.connect_timeout_ms")
    _require(bool(s.servers), "servers", "at least one group is needed")
    for i, g in enumerate(s.servers):
        at = f"servers[{i}]"
        _require(1 <= g.count <= 1000, f"{at}.count", "must be in 1 .. 1000")
        _require(g.cores >= 1, f"{at}.cores", "must be at least 1")
        _require(bool(g.sites), f"{at}.sites", "at least one site is needed")
        _require(g.cell_size >= 1, f"{at}.cell_size", "must be at least 1")
        _require_range(g.speed, f"{at}.speed")
        _require_above(g.speed[0], f"{at}.speed")
        _require_above(g.slots_per_core, f"{at}.slots_per_core")
        _require(g.queue_per_core >= 0, f"{at}.queue_per_core", "must not be negative")
        _require(g.connections >= 1, f"{at}.connections", "must be at least 1")
        _require(g.connection_cost_us >= 0, f"{at}.connection_cost_us", "must not be negative")
        _require_above(g.idle_s, f"{at}.idle_s")
        _require(g.idle_told_s >= 0, f"{at}.idle_told_s", "must not be negative")
        _require(0 < g.cold_share <= 1, f"{at}.cold_share", "must be above 0 and at most 1")
        _require_above(g.ramp_s, f"{at}.ramp_s")
        _require_share(g.error_rate, f"{at}.error_rate")
        _require(g.keys_remembered >= 1, f"{at}.keys_remembered", "must be at least 1")
        if g.choke is not None:
            _require(g.choke.at >= 1, f"{at}.choke.at", "must be at least 1")
            for name in ("over_s", "factor", "rest_s", "most_s"):
                _require_above(getattr(g.choke, name), f"{at}.choke.{name}")
            _require_share(g.choke.below, f"{at}.choke.below")
    if s.links is not None:
        _check_links(s.links)
    for what, rows in (("classes", s.classes), ("agents", s.agents)):
        names = [row.name for row in rows]
        _require(len(set(names)) == len(names), what, "names must be unique")
        _require(all(name and name.isascii() and name.isprintable() for name in names), what,
                 "names must be printable ASCII and not empty")
        _require(all(row.share >= 0 for row in rows) and sum(row.share for row in rows) > 0, f"{what}.share",
                 "shares must not be negative, nor all 0")
    for a in s.agents:
        _require(math.isfinite(a.usage) and 0 < a.usage <= 100, f"agents[{a.name}].usage",
                 "must be above 0 and at most 100")
    for c in s.classes:
        at = f"classes[{c.name}]"
        _require_range(c.work_ms, f"{at}.work_ms")
        _require_above(c.work_ms[0], f"{at}.work_ms")
        _require_range(c.wait_ms, f"{at}.wait_ms")
        _require_above(c.aim_ms, f"{at}.aim_ms")
        _require_above(c.deadline_ms, f"{at}.deadline_ms")
        _require(c.worth >= 0, f"{at}.worth", "must not be negative")
        _require_share(c.late_worth, f"{at}.late_worth")
        _require(c.effect != "dedup" or c.window_ms > 0, f"{at}.window_ms",
                 "a class with effect dedup needs a window above 0")
        _require(0 <= c.body_bytes <= 65536, f"{at}.body_bytes", "must be in 0 .. 65536")
    load = s.load
    _require((load.rps > 0) != (load.utilisation > 0), "load.rps", "give either rps or utilisation, above 0")
    _require(load.rps * s.length_s <= 3e6, "load.rps", "more than three million requests in one run")
    _require(load.utilisation <= 10, "load.utilisation", "must be at most 10")
    _require(0 <= load.swing < 1, "load.swing", "must be in 0 .. 1")
    _require(load.bursts_per_s >= 0 and load.burst_size >= 1, "load.bursts_per_s", "must not be negative")
    _require(load.keys >= 1, "load.keys", "must be at least 1")
    _require(load.zipf >= 0, "load.zipf", "must not be negative")
    _require(load.hint_error >= 0, "load.hint_error", "must not be negative")
    _require_above(load.work_scale, "load.work_scale")
    _require_above(load.quota_of_capacity, "load.quota_of_capacity")
    _require(0 <= load.node_skew <= 2, "load.node_skew", "must be in 0 .. 2")
    cl = s.callers
    _require(0 <= cl.retries <= 10, "callers.retries", "must be in 0 .. 10")
    _require_range(cl.backoff_ms, "callers.backoff_ms")
    _require_share(cl.honour, "callers.honour")
    _require_share(cl.impatient, "callers.impatient")
    _require_range(cl.try_share, "callers.try_share")
    _require(0 < cl.try_share[0] and cl.try_share[1] <= 1, "callers.try_share", "must be above 0 and at most 1")
    _require(cl.connections >= 1, "callers.connections", "must be at least 1")
    _require(1 <= cl.processes <= 16, "callers.processes", "must be in 1 .. 16")
    _require(cl.notice_s >= 0, "callers.notice_s", "must not be negative")
    _require_range(s.discovery.notice_s, "discovery.notice_s")
    _require_range(s.discovery.add_s, "discovery.add_s")
    _require(0 <= s.discovery.delay_ms <= 1000, "discovery.delay_ms", "must be in 0 .. 1000")
    _require(s.discovery.calls_per_s >= 0, "discovery.calls_per_s", "must not be negative")
    _require_above(s.discovery.timeout_ms, "discovery.timeout_ms")
    for name in s.rules.__struct_fields__:
        _require_above(getattr(s.rules, name), f"rules.{name}")
    for i, f in enumerate(s.faults):
        _check_fault(f, i, s)
    return from_json(to_json(s))  # so that it equals what child processes decode: JSON makes 24 and 24.0 the same


def parse(text: str) -> Scenario:
    """Parse and check a scenario in TOML.  Raises ``ScenarioError`` if it is invalid."""
    try:
        return check(msgspec.toml.decode(text, type=Scenario))
    except ScenarioError:
        raise
    except (msgspec.MsgspecError, ValueError) as error:
        where = str(error)
        if " - at `$." in where:
            what, _, path = where.partition(" - at `$.")
            raise ScenarioError(f"{path.rstrip('`')}: {what}") from None
        raise ScenarioError(where) from None


def load(path: Path) -> Scenario:
    """Read a scenario from a TOML file.  Raises ``ScenarioError`` if it is invalid or can't be read."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    return parse(text)


def to_json(s: Scenario) -> bytes:
    """The scenario as JSON, for a child process or for output; ``from_json`` decodes it."""
    return msgspec.json.encode(s)


def from_json(data: bytes | str) -> Scenario:
    """Decode the output of ``to_json``, without the checks of ``check``."""
    return msgspec.json.decode(data, type=Scenario)
