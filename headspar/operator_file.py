"""The operator's file: optional settings of an installation, in TOML.

The environment variable ``HEADSPAR_OPERATOR`` of a node names the file; ``headspar check FILE`` validates it.
Without a file all defaults apply.  Each table of the file is a dataclass: its fields define keys, types and defaults,
and its ``__post_init__`` validates the values.
"""

from __future__ import annotations

import dataclasses
import math
import typing
from pathlib import Path
from typing import Any, TypeVar

T = TypeVar("T")


class OperatorError(Exception):
    """The file is invalid; the text is one line that names the field."""


@dataclasses.dataclass(frozen=True, slots=True)
class Connections:
    """``[connections]``: the connection pool to servers; see docs/operators/connections.md."""

    proof_ms: float = 900.0  # keyed and non-repeatable requests use only connections proven alive within it
    quarantine_ms: float = 50.0  # between a response and the next request on its connection
    making: int = 16  # maximum being opened at once to one server
    waiting: int = 16  # further attempts that may wait for them
    ahead: int = 0  # spare connections to each server in use, beyond its demand
    pace_ms: float = 200.0  # between two spares opened to one server
    age_s: float = 600.0  # maximum age of a connection
    age_jitter: float = 0.3  # share of the age that is random for each connection
    learn_limit: bool = True  # whether a server's connection limit is learned from failed connects
    trim: bool = True  # whether idle connections beyond the demand are closed
    handshakes_per_s: float = 500.0  # of all nodes with one warm server; less with a cold one
    per_server: int = 2  # connections that each server of the subset should be able to have
    room: float = 0.875  # all servers are used while one connection to each takes at most this share of descriptors
    reach: int = 12  # subset size in a large fleet; 0: all servers
    overlap: int = 6  # minimum number of nodes for each server then
    swap_s: float = 0.25  # between two exchanges of a server in the subset
    turn_s: float = 4.0  # between two rotations of the subsets where they do not cover all servers

    def __post_init__(self) -> None:
        above = (
            "proof_ms", "making", "pace_ms", "age_s", "handshakes_per_s", "per_server", "overlap", "swap_s", "turn_s",
        )
        for name in above:
            _require(getattr(self, name) > 0, name, f"must be above 0, not {getattr(self, name)!r}")
        for name in ("waiting", "ahead", "reach", "quarantine_ms"):
            _require(getattr(self, name) >= 0, name, f"must not be negative, not {getattr(self, name)!r}")
        _require(0 <= self.age_jitter < 1, "age_jitter", f"must lie in 0 .. 1, below 1, not {self.age_jitter!r}")
        _require(0 < self.room <= 1, "room", f"must lie above 0 and at most 1, not {self.room!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class RecorderTable:
    """``[recorder]``: the flight recorder; see docs/operators/recovery.md."""

    file: str = ""  # empty: off; {name} is replaced by the node's name
    size_mb: float = 8.0  # of both halves of the record

    def __post_init__(self) -> None:
        _require(self.size_mb >= 0.01, "size_mb", f"must be at least 0.01, not {self.size_mb!r}")
        _require_placeholders(self.file, "file")


@dataclasses.dataclass(frozen=True, slots=True)
class TraceTable:
    """``[trace]``: a line for each event of a request, attempt or connection; see docs/operators/on-call.md."""

    file: str = ""  # empty: off; {name} is replaced by the node's name
    size_mb: float = 64.0  # of both halves of the file
    lines_per_s: int = 5000  # maximum; further ones are counted, not written

    def __post_init__(self) -> None:
        _require(self.size_mb >= 0.01, "size_mb", f"must be at least 0.01, not {self.size_mb!r}")
        _require(self.lines_per_s > 0, "lines_per_s", f"must be above 0, not {self.lines_per_s!r}")
        _require_placeholders(self.file, "file")


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverTable:
    """``[handover]``: upgrades; see docs/operators/on-call.md."""

    beliefs: bool = True  # whether a new process takes over the learned state of the old one


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTable:
    """``[snapshot]``: learned state of a node on persistent storage; see docs/operators/state.md."""

    folder: str = ""  # empty: off; {name} is replaced by the node's name
    every_s: float = 10.0

    def __post_init__(self) -> None:
        _require(self.every_s >= 0.1, "every_s", f"must be at least 0.1, not {self.every_s!r}")
        _require_placeholders(self.folder, "folder")


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperTable:
    """``[keeper]``: the supervisor process of a node; see docs/operators/rollout.md.  Times in seconds."""

    folder: str = ""  # of its generations, state and logs
    host: str = ""  # file with the machine-specific part of its node's configuration
    listen: str = ""  # address for controllers
    first: str = ""  # folder of the initial generation of a machine
    start_s: float = 20.0  # for a process to become ready
    drain_s: float = 5.0  # for clients to leave before a restart without hand-over
    end_s: float = 8.0  # from SIGTERM to SIGKILL; must exceed the longest deadline by 0.7
    pause_s: float = 0.25  # initial backoff between restarts; it doubles
    ceiling_s: float = 30.0  # maximum backoff
    spread_s: float = 0.5  # random delay of the first start, at most
    healthy_s: float = 60.0  # uptime after which earlier deaths no longer count

    def __post_init__(self) -> None:
        for name in ("start_s", "drain_s", "end_s", "pause_s", "ceiling_s", "spread_s", "healthy_s"):
            _require(getattr(self, name) > 0, name, f"must be above 0, not {getattr(self, name)!r}")
        _require(self.ceiling_s >= self.pause_s, "ceiling_s", f"must be at least pause_s, not {self.ceiling_s!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutTable:
    """``[rollout]``: how a change is rolled out over the fleet; see docs/operators/rollout.md.  Times in seconds."""

    record: str = ""  # file of the controller's record
    fleet: str = ""  # TOML file with the list of keepers
    shares: str = "0.1 0.3 1"  # of the fleet by stage, after a first node and one node of each site
    max_out: int = 2  # maximum number of nodes out of service, for any reason
    max_out_site: int = 1  # the same in one site
    headroom: float = 1.3  # minimum ratio of a site's remaining capacity to its load; 0: not checked
    node_rps: float = 0.0  # capacity of one node; 0: unknown, and capacity is not checked
    cold_most: float = 0.3  # share of cold servers above which no node is restarted
    proving_s: float = 20.0  # time that a trial must serve before it is proven
    settle_s: float = 5.0  # pause between two stages
    ready_s: float = 60.0  # for a node to complete a change
    lost_s: float = 10.0  # without a report from a changed node before it counts as lost
    on_failure: str = "back"  # or "pause"
    silence: str = "hold"  # or "back": what keepers do without a controller
    silence_s: float = 60.0  # without a controller before ``silence`` applies
    slot_s: float = 60.0  # length of the time slot in which a keeper may then act
    lease_s: float = 10.0
    poll_s: float = 0.5
    restart: bool = True  # whether nodes may be drained and restarted where no hand-over is possible

    def __post_init__(self) -> None:
        above = ("proving_s", "ready_s", "lost_s", "silence_s", "slot_s", "lease_s", "poll_s")
        for name in above:
            _require(getattr(self, name) > 0, name, f"must be above 0, not {getattr(self, name)!r}")
        for name in ("headroom", "node_rps", "settle_s"):
            _require(getattr(self, name) >= 0, name, f"must not be negative, not {getattr(self, name)!r}")
        for name in ("max_out", "max_out_site"):
            _require(getattr(self, name) >= 1, name, f"must be at least 1, not {getattr(self, name)!r}")
        _require(0 < self.cold_most <= 1, "cold_most", f"must lie above 0 and at most 1, not {self.cold_most!r}")
        _require(self.on_failure in ("back", "pause"), "on_failure",
                 f"must be back or pause, not {self.on_failure!r}")
        _require(self.silence in ("back", "hold"), "silence", f"must be back or hold, not {self.silence!r}")
        _require(self.lease_s > 4 * self.poll_s, "lease_s", f"must be above 4 times poll_s, not {self.lease_s!r}")
        shares = parse_shares(self.shares)
        _require(shares is not None, "shares", f"must be rising numbers above 0 that end with 1, not {self.shares!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class JudgeTable:
    """``[judge]``: the comparison of changed with unchanged nodes in a stage; see docs/operators/rollout.md.

    Times are in seconds.  The margins, from ``served`` on, are how much worse changed nodes may be: shares of
    requests, and for the last four a share of the usual value.
    """

    on: bool = True
    watch_s: float = 120.0  # observation of the unchanged fleet before a change
    first_s: float = 30.0  # from the start of a stage to the first look; later intervals grow by 1.3
    least_s: float = 30.0  # minimum duration of a stage
    most_s: float = 600.0  # maximum duration; an undecided stage then needs a person
    settle_s: float = 15.0  # of each new process, not compared
    every_s: float = 1.0  # between two requests to a node
    error: float = 0.05  # probability of stopping a harmless change in a stage
    restarts: int = 1  # of changed nodes, above which the change is rolled back
    memory_mb: float = 0.0  # limit of a process; 0: none
    served: float = 0.02  # in time
    late: float = 0.02
    refused: float = 0.02
    failed: float = 0.01
    class_refused: float = 0.03  # of one class
    class_failed: float = 0.02
    attempts: float = 0.15  # per request, relative to the usual value
    handshakes: float = 0.5
    cpu: float = 0.25
    time: float = 0.035  # to answer

    def __post_init__(self) -> None:
        for name in ("watch_s", "first_s", "least_s", "every_s", "served", "late", "refused", "failed",
                     "class_refused", "class_failed", "attempts", "handshakes", "cpu", "time"):
            _require(getattr(self, name) > 0, name, f"must be above 0, not {getattr(self, name)!r}")
        for name in ("settle_s", "restarts", "memory_mb"):
            _require(getattr(self, name) >= 0, name, f"must not be negative, not {getattr(self, name)!r}")
        _require(self.watch_s >= 24 * self.every_s, "watch_s",
              f"must be at least 24 times every_s, so that there are pieces to compare, not {self.watch_s!r}")
        _require(0 < self.error < 0.5, "error", f"must lie above 0 and below 0.5, not {self.error!r}")
        _require(self.first_s > self.settle_s, "first_s", f"must be above settle_s, not {self.first_s!r}")
        _require(self.most_s >= max(self.first_s, self.least_s), "most_s",
              f"must be at least first_s and least_s, not {self.most_s!r}")


def parse_shares(text: str) -> list[float] | None:
    """Parses rising shares above 0 that end with 1, separated by spaces; None if invalid."""
    try:
        shares = [float(part) for part in text.split()]
    except ValueError:
        return None
    rising = all(a < b for a, b in zip([0.0, *shares], shares, strict=False))
    return shares if shares and rising and shares[-1] == 1 else None


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """The content of the whole file, by table."""

    connections: Connections = dataclasses.field(default_factory=Connections)
    recorder: RecorderTable = dataclasses.field(default_factory=RecorderTable)
    trace: TraceTable = dataclasses.field(default_factory=TraceTable)
    handover: HandoverTable = dataclasses.field(default_factory=HandoverTable)
    snapshot: SnapshotTable = dataclasses.field(default_factory=SnapshotTable)
    keeper: KeeperTable = dataclasses.field(default_factory=KeeperTable)
    rollout: RolloutTable = dataclasses.field(default_factory=RolloutTable)
    judge: JudgeTable = dataclasses.field(default_factory=JudgeTable)


def _require(good: bool, field: str, text: str) -> None:
    if not good:
        raise OperatorError(f"{field}: {text}")


def _require_placeholders(path: str, field: str) -> None:
    """A path may contain ``{name}`` and no other placeholder."""
    rest = path.replace("{name}", "")
    _require("{" not in rest and "\0" not in rest, field, f"{path!r} has a placeholder other than {{name}}")


def _parse_value(raw: Any, kind: Any, field: str) -> Any:
    if dataclasses.is_dataclass(kind):
        _require(isinstance(raw, dict), field, "must be a table")
        return _parse_table(raw, typing.cast(Any, kind), field)
    if kind is str:
        _require(isinstance(raw, str), field, f"must be a string, not {raw!r}")
        return raw
    if kind is bool:
        _require(isinstance(raw, bool), field, f"must be true or false, not {raw!r}")
        return raw
    if kind is int:
        _require(isinstance(raw, int) and not isinstance(raw, bool), field, f"must be an integer, not {raw!r}")
        return raw
    if kind is float:
        number = isinstance(raw, int | float) and not isinstance(raw, bool) and math.isfinite(raw)
        _require(number, field, f"must be a finite number, not {raw!r}")
        return float(raw)
    raise TypeError(f"{field}: no reader for {kind!r}")


def _parse_table(raw: dict[str, Any], cls: type[T], at: str) -> T:
    hints = typing.get_type_hints(cls)
    prefix = f"{at}." if at else ""
    for key in raw:
        _require(key in hints, f"{prefix}{key}", "unknown key")
    values = {key: _parse_value(value, hints[key], f"{prefix}{key}") for key, value in raw.items()}
    try:
        return cls(**values)
    except OperatorError as error:
        raise OperatorError(f"{prefix}{error}") from None


def parse(text: str) -> Operator:
    """Parses and validates the file's content; raises ``OperatorError`` that names the field."""
    import tomllib  # imported late: most nodes have no such file

    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(f"no TOML: {error}") from None
    return _parse_table(raw, Operator, "")


def load(path: Path) -> Operator:
    """Reads the file; raises ``OperatorError`` with one line that names the file and the field."""
    try:
        return parse(path.read_text())
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise OperatorError(f"{path}: not UTF-8 text") from None
    except OperatorError as error:
        raise OperatorError(f"{path}: {' '.join(str(error).split())}") from None


def settings_rows(operator: Operator) -> list[tuple[str, Any, Any]]:
    """All keys as (table.key, value, default)."""
    defaults = dataclasses.asdict(Operator())
    return [
        (f"{table}.{key}", value, defaults[table][key])
        for table, values in dataclasses.asdict(operator).items() for key, value in values.items()
    ]
