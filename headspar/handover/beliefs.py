"""Serializes the learned state of a process for its successor and validates it on reading; without I/O.

A new process serves from the start, so it must not relearn the capacity of the fleet: a node that did so refused
requests meanwhile.  The new process may run a newer or an older version, as a change is rolled out or rolled back.
Each field is therefore read on its own: unknown fields are ignored, missing or invalid ones are left out and named in
``left``, and fields that are meaningful only together are left out together.  A writer that changes the meaning of an
existing name raises ``VERSION`` and states in ``least`` the oldest reader version that may still read the data.  New
fields get new names, or are appended to a row, and need no new version.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import MISSING, asdict, dataclass, field, fields
from math import isfinite
from typing import Any

from headspar.connections.plan import Learned
from headspar.interface import Experience, ServerExperience

VERSION = 1
MAX_BYTES = 4 << 20
MAX_SERVERS = 20_000
MAX_NAMES = 1_000  # entries of a table
MAX_LEFT = 20  # maximum number of names in ``left``
MAX_VALUE = 1e16
# Capacity fields whose units depend on each other, so that one alone would be misread.
DEPENDENT_FIELDS = (
    ("k", "linger_us", "proven", "mean_load"), ("rate", "work_rate", "served_rate", "steady", "sent_rate"),
    ("late_num", "late_den", "pressure"), ("typical_work", "typical_own"),
)
POSITIVE_FIELDS = ("linger_us", "typical_work", "typical_own")
TIMESTAMPS = ("started_at_us", "last_ok", "trial_at")  # negative if before the clock's start
CLASS_ROW, V_COST, COV = 7, 3, 4  # length of a class's row; indexes of the variance of work, the signed covariance
MAX_SLOPE = 1e6  # of latency over work, COV / V_COST; beyond it an answer would never be expected


class BeliefsError(ValueError):
    """Data that is not learned state, or is not readable by this version; the text says which."""


@dataclass(slots=True)
class Beliefs:
    """The learned state of a process.

    ``known`` is the last list from discovery in its own format, None if invalid; ``experience`` is the state of the
    decision module and ``learned`` that of the connection plan; ``left`` names the fields that were invalid, at most
    ``MAX_LEFT`` of them.
    """

    known: dict[str, Any] | None
    experience: Experience
    learned: Learned
    left: list[str] = field(default_factory=list)


def encode(beliefs: Beliefs) -> bytes:
    """Serializes to at most ``MAX_BYTES`` bytes of JSON; returns no bytes if it would be more."""
    raw = {"v": VERSION, "least": VERSION, **asdict(beliefs)}
    del raw["left"]
    data = json.dumps(raw, separators=(",", ":")).encode()
    return data if len(data) <= MAX_BYTES else b""


def decode(data: bytes) -> Beliefs:
    """Parses all valid fields; raises ``BeliefsError`` if the data as a whole is invalid."""
    if not data or len(data) > MAX_BYTES:
        raise BeliefsError(f"size {len(data)} bytes, expected 1 to {MAX_BYTES}")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise BeliefsError("not valid JSON") from None
    version = raw.get("v") if isinstance(raw, dict) else None
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise BeliefsError(f"version {str(version)[:20]!r}")
    least = raw.get("least", version)
    if not isinstance(least, int) or least > VERSION:
        raise BeliefsError(f"version {version}, readable by version {str(least)[:20]} and later")
    reader = _Reader()
    known = raw.get("known")
    if not _is_valid_list(known):
        known = None
        reader.leave("known")
    return Beliefs(known, reader.experience(raw.get("experience")), reader.learned(raw.get("learned")), reader.left)


def _is_valid_list(known: Any) -> bool:
    rows = known.get("instances") if isinstance(known, dict) else None
    return isinstance(rows, list) and len(rows) <= MAX_SERVERS and isinstance(known.get("generation"), int)


def _is_number(value: Any, minimum: float = -MAX_VALUE) -> bool:
    return (not isinstance(value, bool) and isinstance(value, int | float) and isfinite(value)
            and minimum <= value <= MAX_VALUE)


class _Reader:
    """Reads the fields of one state; ``left`` collects the names of invalid ones."""

    def __init__(self) -> None:
        self.left: list[str] = []

    def leave(self, name: str) -> None:
        """Records the name of a field that is left out."""
        if len(self.left) < MAX_LEFT:
            self.left.append(name[:80])

    def table(self, raw: Any, name: str, max_entries: int = MAX_NAMES) -> dict[str, Any]:
        """Returns ``raw`` if it is an object of at most ``max_entries`` entries, else an empty one."""
        if isinstance(raw, dict) and len(raw) <= max_entries:
            return raw
        self.leave(name)
        return {}

    def number(self, raw: dict[str, Any], name: str, default: float) -> float:
        """Returns a number that is not negative, else the default."""
        value = raw.get(name)
        if _is_number(value, 0.0):
            return float(value)  # type: ignore[arg-type]
        self.leave(name)
        return default

    def rows(self, raw: Any, name: str, length: int) -> Iterator[tuple[str, list[float]]]:
        """Yields the valid rows of a table: ``length`` numbers, none negative except the covariance of a class.

        Rows of a newer version may be longer.
        """
        for key, row in self.table(raw, name).items():
            row = row[:length] if isinstance(row, list) else []
            good = len(row) == length and all(
                _is_number(v, -MAX_VALUE if length == CLASS_ROW and i == COV else 0.0) for i, v in enumerate(row)
            )
            if good and (length != CLASS_ROW or abs(row[COV]) <= MAX_SLOPE * row[V_COST]):
                yield key, row
            else:
                self.leave(f"{name}.{key}")

    def capacity(self, raw: Any) -> dict[str, float]:
        """Reads the capacity fields; those that depend on each other are dropped together."""
        raw = self.table(raw, "capacity")
        good = {
            name: value for name, value in raw.items()
            if _is_number(value, 0.0) and (value > 0 or name not in POSITIVE_FIELDS)
        }
        for name in raw.keys() - good.keys():
            self.leave(f"capacity.{name}")
        for names in DEPENDENT_FIELDS:
            if not all(name in good for name in names):
                for name in names:
                    if good.pop(name, None) is not None:
                        self.leave(f"capacity.{name}")
        return good

    def servers(self, raw: Any) -> list[ServerExperience]:
        if not isinstance(raw, list) or len(raw) > MAX_SERVERS:
            self.leave("servers")
            return []
        out = []
        for row in raw:
            server = _server(row)
            if server is None:
                self.leave(f"servers.{str(row.get('id'))[:40] if isinstance(row, dict) else ''}")
            else:
                out.append(server)
        return out

    def experience(self, raw: Any) -> Experience:
        raw = self.table(raw, "experience")
        return Experience(
            self.capacity(raw.get("capacity")), dict(self.rows(raw.get("kinds"), "kinds", 2)),
            dict(self.rows(raw.get("classes"), "classes", CLASS_ROW)),
            dict(self.rows(raw.get("shares"), "shares", 4)),
            {key: [max(0.0, tokens), at] for key, (tokens, at) in self.tenants(raw.get("tenants"))},
            int(self.number(raw, "costliest", 0.0)), self.number(raw, "retries", 0.0),
            self.servers(raw.get("servers")),
        )

    def tenants(self, raw: Any) -> Iterator[tuple[str, tuple[float, float]]]:
        """Yields by tenant its tokens and the time of their count; -1: never."""
        for key, row in self.table(raw, "tenants").items():
            if isinstance(row, list) and len(row) >= 2 and all(_is_number(v) for v in row[:2]):
                yield key, (row[0], row[1])
            else:
                self.leave(f"tenants.{key}")

    def learned(self, raw: Any) -> Learned:
        raw = self.table(raw, "learned")
        limits = {}
        for id, value in self.table(raw.get("limits"), "limits", MAX_SERVERS).items():
            if _is_number(value, 0.0):
                limits[id] = int(value)
            else:
                self.leave(f"limits.{id}")
        ends = [raw.get("broke"), raw.get("good")]
        if not all(isinstance(row, list) and len(row) <= MAX_NAMES and all(map(_is_number, row)) for row in ends):
            self.leave("broke, good")
            ends = [[], []]
        return Learned(limits, ends[0], ends[1], self.number(raw, "use_us", 0.0))


def _server(row: Any) -> ServerExperience | None:
    """Returns None if a field is invalid; fields that an older version lacks get their defaults."""
    if not isinstance(row, dict) or not isinstance(row.get("id"), str):
        return None
    values: dict[str, Any] = {}
    for f in fields(ServerExperience)[1:]:
        value = row.get(f.name, None if f.default is MISSING else f.default)
        if not _is_number(value, -MAX_VALUE if f.name in TIMESTAMPS else 0.0):
            return None
        values[f.name] = int(value) if f.type == "int" else float(value)  # type: ignore[arg-type]
    return ServerExperience(row["id"], **values) if values["health"] <= 1.0 else None
