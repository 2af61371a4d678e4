"""What is to happen in a run: typed, read from TOML, checked before anything starts.

Times in a file carry their unit in the field's name (``_s``, ``_ms``, ``_us``); a pair ``[low, high]`` is a
range to draw from.  Unknown keys and impossible values raise ``ScenarioError``, one line that names the field.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Literal

import msgspec

Range = tuple[float, float]


class ScenarioError(ValueError):
    """A scenario that can't be run; the text is one plain line that names the field."""


class Struct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; a key that is not named here is an error."""


class Nodes(Struct):
    """The real nodes.  ``sockets`` and ``memory_mb`` are a node's limits as its configuration tells them."""

    count: int = 3
    memory_mb: int = 192
    sockets: int = 1024
    peers: bool = True  # whether nodes may send one another datagrams
    second_copies: bool = True
    max_attempts: int = 6
    retry_after: bool = True
    connect_timeout_ms: float = 200.0


class Choke(Struct):
    """A server that holds more than ``at`` requests for ``over_s`` becomes ``factor`` times slower, until it has held
    under ``below`` of them for ``rest_s``, or at most for ``most_s``."""

    at: int
    over_s: float = 2.0
    factor: float = 2.5
    below: float = 0.3
    rest_s: float = 3.0
    most_s: float = 25.0


class Servers(Struct):
    """A group of like cash servers.  Work is in microseconds on a core of speed 1."""

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
    idle_told_s: float = 0.0  # what nodes are told of it; 0: the truth
    idle_close: Literal["fin", "silent"] = "fin"
    cold_share: float = 0.2
    ramp_s: float = 20.0
    error_rate: float = 0.0
    keys_remembered: int = 20_000
    choke: Choke | None = None  # how crowding makes one slow, if it does


class Class(Struct):
    """A class of request, as the site's table has it."""

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
    """A collecting agent, its share of what all may ask for, and how much of that it asks for beside the others."""

    name: str
    share: float
    usage: float = 1.0


class Load(Struct):
    """What is asked.  ``rps`` over all nodes, or ``utilisation`` of the fleet's warm capacity."""

    rps: float = 0.0
    utilisation: float = 0.0
    shape: Literal["steady", "ramp", "due-date"] = "steady"
    swing: float = 0.2
    bursts_per_s: float = 0.0
    burst_size: int = 8
    keys: int = 2000
    zipf: float = 1.0
    hints: bool = True  # whether callers tell what a request will cost
    hint_error: float = 0.1  # standard deviation of the log of hint over work
    work_scale: float = 1.0  # of all classes' work and waits
    quota_of_capacity: float = 0.85  # what the agents' shares are shares of
    node_skew: float = 0.0  # standard deviation of the log of a node's part of the calls


class Callers(Struct):
    """How clients behave when they are refused, fail or hear nothing."""

    retries: int = 1
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: Range = (20.0, 160.0)
    honour: float = 0.6  # share that waits as long as Retry-After says
    try_share: Range = (1.0, 1.0)  # of the class's deadline, for one try
    impatient: float = 0.0  # share that closes its connection early
    notice_s: float = 1.0  # until the front no longer sends to a dead node
    connections: int = 200  # to one node, at most
    processes: int = 1


class Discovery(Struct):
    """``asked``: one service for all nodes that must be subscribed to; ``pushed``: an agent beside each."""

    mode: Literal["asked", "pushed"] = "asked"
    notice_s: Range = (0.5, 1.5)  # until a drain or a death is known
    add_s: Range = (0.2, 0.8)  # until a new or returned server is listed
    delay_ms: float = 5.0  # of each answer
    calls_per_s: float = 0.0  # that it works through, one after another, for all nodes; 0: any number
    timeout_ms: float = 1000.0  # a call that has waited so long for its turn ends with 503


class Rules(Struct):
    """The figures of the four rules."""

    answer_slack_ms: float = 50.0
    drain_grace_s: float = 1.0
    ask_every_s: float = 10.0
    told_after_s: float = 6.0
    fall_multiple: float = 3.0
    fall_s: float = 1.5
    over_share_worth: float = 0.2
    lateness_ms: float = 20.0  # p99 of the lab's own lateness beyond which a run gives no verdict


FaultKind = Literal[
    "die", "vanish", "slow", "drain", "turn_away", "reset", "spoil", "hang", "idle_silent", "flood", "hot_key",
    "grow", "discovery_gone", "discovery_silent", "discovery_break", "discovery_move",
    "node_term", "node_hup", "node_kill", "node_upgrade", "node_drain", "node_stop",
]
# kind -> the fields that it needs, beyond at_s
NEEDS: dict[str, tuple[str, ...]] = {
    "die": ("servers",), "vanish": ("servers", "for_s"), "slow": ("servers", "for_s", "factor"),
    "drain": ("servers",), "turn_away": ("servers", "for_s"), "reset": ("servers", "for_s"),
    "spoil": ("servers", "for_s"), "hang": ("servers", "for_s"), "idle_silent": ("servers", "for_s"),
    "flood": ("agent", "for_s", "factor"), "hot_key": ("share", "for_s"),
    "grow": ("servers", "over_s"), "discovery_gone": ("for_s",), "discovery_silent": ("for_s",),
    "discovery_break": (), "discovery_move": (), "node_term": ("nodes",), "node_hup": ("nodes",),
    "node_kill": ("nodes",), "node_upgrade": ("nodes",), "node_drain": ("nodes", "for_s"),
    "node_stop": ("nodes", "for_s"),
}
OPTIONAL: dict[str, tuple[str, ...]] = {
    "die": ("back_s", "site"), "vanish": ("site",), "drain": ("back_s", "linger_s", "site"),
    "reset": ("share", "byte", "where"), "spoil": ("share", "how"), "hang": ("share",), "turn_away": ("share",),
    "hot_key": ("keys",),
    "node_term": ("back_s", "spread_s"), "node_kill": ("back_s", "spread_s"), "node_stop": ("spread_s",),
    "flood": ("classes",), "grow": ("traffic",),
}


class Fault(Struct):
    """One thing that goes wrong.  ``servers``: a count, or a share below 1, of ``site`` where one is named; ``byte``:
    after how many bytes of the answer (``where = "answer"``) or of the request a connection is reset."""

    at_s: float
    kind: FaultKind
    for_s: float | None = None
    over_s: float | None = None
    back_s: float | None = None
    linger_s: float | None = None
    spread_s: float | None = None  # over which the nodes meet it, one after the other
    servers: float | None = None
    site: str | None = None
    nodes: int | None = None
    factor: float | None = None
    share: float | None = None
    byte: int | None = None
    where: Literal["request", "answer"] | None = None
    how: Literal["noise", "head", "length", "endless", "again"] | None = None
    agent: str | None = None
    classes: list[str] | None = None
    keys: int | None = None
    traffic: bool | None = None


class Scenario(Struct):
    """A whole run."""

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


def _want(good: bool, field: str, text: str) -> None:
    if not good:
        raise ScenarioError(f"{field}: {text}")


def _range(pair: Range, field: str, least: float = 0.0) -> None:
    _want(all(map(math.isfinite, pair)), field, "must be finite")
    _want(least <= pair[0] <= pair[1], field, f"needs {least:g} <= low <= high, not {list(pair)}")


def _above(value: float, field: str, least: float = 0.0) -> None:
    _want(math.isfinite(value) and value > least, field, f"must be above {least:g}, not {value!r}")


def _share(value: float, field: str) -> None:
    _want(0.0 <= value <= 1.0, field, f"must lie in 0 .. 1, not {value!r}")


def _check_fault(f: Fault, i: int, s: Scenario) -> None:
    at = f"faults[{i}]"
    _want(math.isfinite(f.at_s) and 0 <= f.at_s < s.length_s, f"{at}.at_s",
          f"must lie in 0 .. length_s ({s.length_s:g}), not {f.at_s!r}")
    for name in NEEDS[f.kind]:
        _want(getattr(f, name) is not None, f"{at}.{name}", f"missing, a fault of kind {f.kind} needs it")
    known = {*NEEDS[f.kind], *OPTIONAL.get(f.kind, ()), "at_s", "kind"}
    for name in f.__struct_fields__:
        if getattr(f, name) is not None:
            _want(name in known, f"{at}.{name}", f"means nothing for a fault of kind {f.kind}")
    for name in ("for_s", "over_s", "factor", "linger_s", "back_s", "spread_s"):
        value = getattr(f, name)
        if value is not None:
            _above(value, f"{at}.{name}")
    if f.share is not None:
        _share(f.share, f"{at}.share")
    if f.byte is not None:
        _want(0 <= f.byte <= 1 << 20, f"{at}.byte", "must lie in 0 .. 1048576")
    if f.servers is not None:
        whole = f.servers >= 1 and f.servers == int(f.servers)
        _want(whole or 0 < f.servers < 1, f"{at}.servers", f"a count, or a share below 1, not {f.servers!r}")
        total = sum(g.count for g in s.servers)
        _want(f.kind == "grow" or f.servers < 1 or f.servers <= total, f"{at}.servers",
              f"there are only {total}")
    if f.site is not None:
        _want(any(f.site in g.sites[:g.count] for g in s.servers), f"{at}.site", f"no server stands at {f.site!r}")
    if f.nodes is not None:
        _want(1 <= f.nodes <= s.nodes.count, f"{at}.nodes", f"must lie in 1 .. {s.nodes.count}")
    if f.agent is not None:
        _want(f.agent in {a.name for a in s.agents}, f"{at}.agent", f"no agent is called {f.agent!r}")
    for name in f.classes or ():
        _want(name in {c.name for c in s.classes}, f"{at}.classes", f"no class is called {name!r}")
    if f.keys is not None:
        _want(f.keys >= 1, f"{at}.keys", "must be at least 1")


def check(s: Scenario) -> Scenario:
    """The scenario with its defaults filled in; raises ``ScenarioError`` if it can't be run."""
    s = msgspec.structs.replace(
        s, classes=s.classes or COUNTER_CLASSES, agents=s.agents or COUNTER_AGENTS
    )
    _above(s.length_s, "length_s")
    _want(s.length_s <= 3600, "length_s", "an hour at most")
    _want(1 <= s.nodes.count <= 400, "nodes.count", "must lie in 1 .. 400")
    _want(s.nodes.memory_mb >= 64, "nodes.memory_mb", "at least 64")
    _want(s.nodes.sockets >= 64, "nodes.sockets", "at least 64")
    _want(s.nodes.max_attempts >= 1, "nodes.max_attempts", "at least 1")
    _above(s.nodes.connect_timeout_ms, "nodes.connect_timeout_ms")
    _want(bool(s.servers), "servers", "at least one group is needed")
    for i, g in enumerate(s.servers):
        at = f"servers[{i}]"
        _want(1 <= g.count <= 1000, f"{at}.count", "must lie in 1 .. 1000")
        _want(g.cores >= 1, f"{at}.cores", "at least 1")
        _want(bool(g.sites), f"{at}.sites", "at least one site is needed")
        _want(g.cell_size >= 1, f"{at}.cell_size", "at least 1")
        _range(g.speed, f"{at}.speed")
        _above(g.speed[0], f"{at}.speed")
        _above(g.slots_per_core, f"{at}.slots_per_core")
        _want(g.queue_per_core >= 0, f"{at}.queue_per_core", "must not be negative")
        _want(g.connections >= 1, f"{at}.connections", "at least 1")
        _want(g.connection_cost_us >= 0, f"{at}.connection_cost_us", "must not be negative")
        _above(g.idle_s, f"{at}.idle_s")
        _want(g.idle_told_s >= 0, f"{at}.idle_told_s", "must not be negative")
        _want(0 < g.cold_share <= 1, f"{at}.cold_share", "must lie above 0 and at most 1")
        _above(g.ramp_s, f"{at}.ramp_s")
        _share(g.error_rate, f"{at}.error_rate")
        _want(g.keys_remembered >= 1, f"{at}.keys_remembered", "at least 1")
        if g.choke is not None:
            _want(g.choke.at >= 1, f"{at}.choke.at", "at least 1")
            for name in ("over_s", "factor", "rest_s", "most_s"):
                _above(getattr(g.choke, name), f"{at}.choke.{name}")
            _share(g.choke.below, f"{at}.choke.below")
    for what, rows in (("classes", s.classes), ("agents", s.agents)):
        names = [row.name for row in rows]
        _want(len(set(names)) == len(names), what, "a name comes twice")
        _want(all(name and name.isascii() and name.isprintable() for name in names), what, "a name is empty or odd")
        _want(all(row.share >= 0 for row in rows) and sum(row.share for row in rows) > 0, f"{what}.share",
              "shares must not be negative, nor all 0")
    for a in s.agents:
        _want(math.isfinite(a.usage) and 0 < a.usage <= 100, f"agents[{a.name}].usage", "must lie above 0, to 100")
    for c in s.classes:
        at = f"classes[{c.name}]"
        _range(c.work_ms, f"{at}.work_ms")
        _above(c.work_ms[0], f"{at}.work_ms")
        _range(c.wait_ms, f"{at}.wait_ms")
        _above(c.aim_ms, f"{at}.aim_ms")
        _above(c.deadline_ms, f"{at}.deadline_ms")
        _want(c.worth >= 0, f"{at}.worth", "must not be negative")
        _share(c.late_worth, f"{at}.late_worth")
        _want(c.effect != "dedup" or c.window_ms > 0, f"{at}.window_ms", "a keyed class needs a window above 0")
        _want(0 <= c.body_bytes <= 65536, f"{at}.body_bytes", "must lie in 0 .. 65536")
    load = s.load
    _want((load.rps > 0) != (load.utilisation > 0), "load.rps", "give either rps or utilisation, above 0")
    _want(load.rps * s.length_s <= 3e6, "load.rps", "over three million requests in one run")
    _want(load.utilisation <= 10, "load.utilisation", "10 at most")
    _want(0 <= load.swing < 1, "load.swing", "must lie in 0 .. 1")
    _want(load.bursts_per_s >= 0 and load.burst_size >= 1, "load.bursts_per_s", "must not be negative")
    _want(load.keys >= 1, "load.keys", "at least 1")
    _want(load.zipf >= 0, "load.zipf", "must not be negative")
    _want(load.hint_error >= 0, "load.hint_error", "must not be negative")
    _above(load.work_scale, "load.work_scale")
    _above(load.quota_of_capacity, "load.quota_of_capacity")
    _want(0 <= load.node_skew <= 2, "load.node_skew", "must lie in 0 .. 2")
    cl = s.callers
    _want(0 <= cl.retries <= 10, "callers.retries", "must lie in 0 .. 10")
    _range(cl.backoff_ms, "callers.backoff_ms")
    _share(cl.honour, "callers.honour")
    _share(cl.impatient, "callers.impatient")
    _range(cl.try_share, "callers.try_share")
    _want(0 < cl.try_share[0] and cl.try_share[1] <= 1, "callers.try_share", "must lie above 0 and at most 1")
    _want(cl.connections >= 1, "callers.connections", "at least 1")
    _want(1 <= cl.processes <= 16, "callers.processes", "must lie in 1 .. 16")
    _want(cl.notice_s >= 0, "callers.notice_s", "must not be negative")
    _range(s.discovery.notice_s, "discovery.notice_s")
    _range(s.discovery.add_s, "discovery.add_s")
    _want(0 <= s.discovery.delay_ms <= 1000, "discovery.delay_ms", "must lie in 0 .. 1000")
    _want(s.discovery.calls_per_s >= 0, "discovery.calls_per_s", "must not be negative")
    _above(s.discovery.timeout_ms, "discovery.timeout_ms")
    for name in s.rules.__struct_fields__:
        _above(getattr(s.rules, name), f"rules.{name}")
    for i, f in enumerate(s.faults):
        _check_fault(f, i, s)
    return from_json(to_json(s))  # as its children will read it: 24 and 24.0 are one there


def parse(text: str) -> Scenario:
    """A scenario from TOML."""
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
    """A scenario from a file; ``ScenarioError`` also where it can't be read."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    return parse(text)


def to_json(s: Scenario) -> bytes:
    """For a child process, or to print; ``from_json`` reads it."""
    return msgspec.json.encode(s)


def from_json(data: bytes | str) -> Scenario:
    return msgspec.json.decode(data, type=Scenario)
