"""What a process believes, as bytes for its successor, and back with everything checked; without I/O.

A successor serves from the first moment on, so it must not learn anew what the fleet can carry: that made a node
refuse while it learned.  What can't be used raises ``BeliefsError``; the start then goes on without any.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, fields
from math import isfinite
from typing import Any

from headspar.connections.plan import Learned
from headspar.interface import Experience, ServerExperience

VERSION = 1
MOST_BYTES = 4 << 20
MOST_SERVERS = 20_000
MOST_NAMES = 1_000
MOST = 1e16


class BeliefsError(ValueError):
    """Beliefs that can't be used; the text names the field."""


@dataclass(slots=True)
class Beliefs:
    """``known``: discovery's list in its own form; what the module, and the plan of connections, have learned."""

    known: dict[str, Any]
    experience: Experience
    learned: Learned


def encode(beliefs: Beliefs) -> bytes:
    """At most ``MOST_BYTES``, else nothing goes over."""
    data = json.dumps({"v": VERSION, **asdict(beliefs)}, separators=(",", ":")).encode()
    return data if len(data) <= MOST_BYTES else b""


def decode(data: bytes) -> Beliefs:
    """``BeliefsError`` where anything in it can't be used."""
    if not data or len(data) > MOST_BYTES:
        raise BeliefsError(f"{len(data)} bytes")
    try:
        raw = json.loads(data)
    except ValueError:
        raise BeliefsError("no JSON") from None
    if not isinstance(raw, dict) or raw.get("v") != VERSION:
        raise BeliefsError(f"version {raw.get('v') if isinstance(raw, dict) else None!r}")
    known = raw.get("known")
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        raise BeliefsError("known")
    if not isinstance(known.get("generation"), int) or len(known["instances"]) > MOST_SERVERS:
        raise BeliefsError("known")
    return Beliefs(known, _experience(raw.get("experience")), _learned(raw.get("learned")))


def _number(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or abs(value) > MOST:
        raise BeliefsError(name)
    return value


def _numbers(value: Any, name: str, length: int | None = None) -> list[float]:
    if not isinstance(value, list) or len(value) > MOST_NAMES or length is not None and len(value) != length:
        raise BeliefsError(name)
    return [_number(v, name) for v in value]


def _named(value: Any, name: str, length: int) -> dict[str, list[float]]:
    if not isinstance(value, dict) or len(value) > MOST_NAMES:
        raise BeliefsError(name)
    return {key: _numbers(row, f"{name}.{key}", length) for key, row in value.items()}


def _table(value: Any, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise BeliefsError(name)
    return value


def _experience(raw: Any) -> Experience:
    raw = _table(raw, "experience")
    rows = raw.get("servers")
    if not isinstance(rows, list) or len(rows) > MOST_SERVERS:
        raise BeliefsError("servers")
    servers = []
    for row in rows:
        row = _table(row, "servers")
        if not isinstance(row.get("id"), str):
            raise BeliefsError("servers.id")
        values = {f.name: _number(row.get(f.name), f"servers.{f.name}") for f in fields(ServerExperience)[1:]}
        if min(values[name] for name in ("health", "seen", "expected", "linger")) < 0 or values["health"] > 1:
            raise BeliefsError("servers.health")
        for name in ("started_at_us", "last_ok", "trial_at", "trial_pause"):
            values[name] = int(values[name])
        servers.append(ServerExperience(row["id"], **values))  # type: ignore[arg-type]
    capacity = {name: _number(v, f"capacity.{name}") for name, v in _table(raw.get("capacity"), "capacity").items()}
    if any(v < 0 for v in capacity.values()) or capacity.get("linger_us", 0) <= 0:
        raise BeliefsError("capacity")
    return Experience(
        capacity, _named(raw.get("kinds"), "kinds", 2), _named(raw.get("classes"), "classes", 7),
        _named(raw.get("shares"), "shares", 4), _named(raw.get("tenants"), "tenants", 2),
        int(_number(raw.get("costliest"), "costliest")), _number(raw.get("retries"), "retries"), servers,
    )


def _learned(raw: Any) -> Learned:
    raw = _table(raw, "learned")
    limits = {}
    for id, value in _table(raw.get("limits"), "limits").items():
        limits[id] = int(_number(value, f"limits.{id}"))
    broke, good = _numbers(raw.get("broke"), "broke"), _numbers(raw.get("good"), "good")
    return Learned(limits, broke, good, _number(raw.get("use_us"), "use_us"))
