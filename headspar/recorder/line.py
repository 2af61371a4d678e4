"""The format of a flight record, without I/O: one line of JSON per Δt, integers in a fixed order.

    {"headspar":"flight","version":2,"node":"n0","began":5,"wall":7}   first in each file
    {"servers":["s-1","s-2"]}                                          before rows with other servers
    [at, K, ACC, sound, carried, T, late, firsts, repeats, refused, failed, served, attempts, retries,
     connections, calls, datagrams, [server...]]

``at`` and ``began`` (the start of the process) are in microseconds of the node's clock, and ``wall`` is the offset
that converts them to Unix time.  K, carried and Nm are in microseconds of work; ACC, sound, late, retries, health and
warm in thousandths; T in milliseconds.  Counts are increments since the previous line: ``connections`` begun to
servers, ``calls`` to discovery, ``datagrams`` to peers.  A server is [health, Nm, out, warm, usable].  Version 1,
which has neither ``began`` and ``wall`` nor the last three counts, can still be read.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from headspar.interface import Belief

VERSION = 2
COUNTS = ("firsts", "repeats", "refused", "failed", "served", "attempts")
HOST = ("connections", "calls", "datagrams")  # counts of the host, beside those of the decision module
FIELDS = {1: 15, 2: 18}  # number of fields in a row by version


class LineError(ValueError):
    """A line that is not part of a valid flight record; the text says why."""


@dataclass(slots=True)
class ServerRow:
    """The estimates for one server: ``health`` and ``warm`` from 0 to 1, ``nm`` and ``out`` in us of work."""

    health: float
    nm: int
    out: int
    warm: float
    usable: bool


@dataclass(slots=True)
class Row:
    """The record of one Δt; ``counts`` (of ``COUNTS``) and ``host`` (of ``HOST``) are increments since the last."""

    at_us: int
    k: int
    acc: float
    sound: float
    carried: int
    horizon_us: int
    late: float
    counts: dict[str, int]
    retries: float
    servers: dict[str, ServerRow] = field(default_factory=dict)
    host: dict[str, int] = field(default_factory=lambda: dict.fromkeys(HOST, 0))

    @property
    def capacity(self) -> float:
        """The estimated capacity of the servers for this node, us of work per second: K for each healthy server per
        horizon over which sent work is counted."""
        return self.k * self.sound / max(1, self.horizon_us) * 1e6


class Writer:
    """Encodes beliefs as lines; converts their cumulative counts to increments."""

    def __init__(self, node: str, began: int = 0, wall: int = 0) -> None:
        self.node, self.began, self.wall = node, began, wall
        self.names: list[str] = []
        self.before: dict[str, int] = dict.fromkeys(COUNTS, 0)
        self.done_before = (0, 0, 0)

    def head(self) -> str:
        """The first line of a file, after which the servers are named again."""
        self.names = []
        head = {"headspar": "flight", "version": VERSION, "node": self.node, "began": self.began, "wall": self.wall}
        return json.dumps(head, separators=(",", ":"))

    def names_line(self, b: Belief) -> str | None:
        """The line that names the servers; None if they are the same as in the last one."""
        names = [s.id for s in b.servers]
        if names == self.names:
            return None
        self.names = names
        return json.dumps({"servers": names}, separators=(",", ":"))

    def row_line(self, b: Belief, done: tuple[int, int, int] = (0, 0, 0)) -> str:
        """The line of one Δt, to follow ``names_line``; ``done``: cumulative counts in the order of ``HOST``."""
        totals = {name: getattr(b, name) for name in COUNTS}
        increments = [totals[name] - self.before[name] for name in COUNTS]
        host = [a - b for a, b in zip(done, self.done_before, strict=True)]
        self.before = totals
        self.done_before = done
        row = [
            b.at_us, round(b.k), round(1000 * b.acc), round(1000 * b.sound), round(b.carried),
            round(b.horizon_us / 1000), round(1000 * b.late), *increments, round(1000 * b.retries), *host,
            [[round(1000 * s.health), round(s.nm), s.out, round(1000 * s.warm), int(s.usable)] for s in b.servers],
        ]
        return json.dumps(row, separators=(",", ":"))


class Reader:
    """Decodes the lines of a file in order."""

    def __init__(self) -> None:
        self.node = ""
        self.began = self.wall = 0
        self.version = VERSION
        self.names: list[str] = []
        self.has_header = False

    def read_line(self, text: str) -> Row | None:
        """Returns the row of a line, None for a line without one; raises ``LineError`` for an invalid line."""
        try:
            raw = json.loads(text)
        except ValueError as error:
            raise LineError(f"no JSON: {error}") from None
        if isinstance(raw, dict):
            self._take_header(raw)
            return None
        if not self.has_header:
            raise LineError("no flight record: its first line is missing")
        return self._row(raw)

    def _take_header(self, raw: dict[str, object]) -> None:
        if raw.get("headspar") == "flight":
            version, began, wall = raw.get("version"), raw.get("began", 0), raw.get("wall", 0)
            if not isinstance(version, int) or version not in FIELDS:
                raise LineError(f"version {version!r} cannot be read, only {' and '.join(map(str, FIELDS))}")
            if not isinstance(began, int) or not isinstance(wall, int):
                raise LineError("began and wall must be whole numbers")
            self.node, self.has_header, self.names = str(raw.get("node", "")), True, []
            self.version, self.began, self.wall = version, began, wall
            return
        names = raw.get("servers")
        if not self.has_header or not isinstance(names, list) or not all(isinstance(n, str) for n in names):
            raise LineError("neither a first line nor a list of servers")
        self.names = names

    def _row(self, raw: object) -> Row:
        fields = FIELDS[self.version]
        if not isinstance(raw, list) or len(raw) != fields or not isinstance(raw[-1], list):
            raise LineError(f"a row must have {fields} fields, the last a list")
        if not all(isinstance(x, int) and not isinstance(x, bool) for x in raw[:-1]):
            raise LineError("the fields of a row must be whole numbers")
        if len(raw[-1]) != len(self.names):
            raise LineError(f"{len(raw[-1])} servers in a row, {len(self.names)} are named")
        servers = {}
        for name, s in zip(self.names, raw[-1], strict=True):
            if not isinstance(s, list) or len(s) != 5 or not all(isinstance(x, int) for x in s):
                raise LineError("a server must have five whole numbers")
            servers[name] = ServerRow(s[0] / 1000, s[1], s[2], s[3] / 1000, bool(s[4]))
        return Row(raw[0], raw[1], raw[2] / 1000, raw[3] / 1000, raw[4], raw[5] * 1000, raw[6] / 1000,
                   dict(zip(COUNTS, raw[7:13], strict=True)), raw[13] / 1000, servers,
                   dict(zip(HOST, raw[14:-1] or (0, 0, 0), strict=True)))
