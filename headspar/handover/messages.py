"""The messages between the two processes of one node: versioned JSON packets of bounded size; without I/O.

An invalid packet raises ``MessageError``; its receiver ends the hand-over and continues alone.

The two processes may run different versions.  Unknown fields are ignored; a field added later has a default for
packets that lack it; a message type added later is sent only to a process that has declared support for it in such a
field.  ``VERSION`` is raised only for changes that these rules do not cover.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import MISSING, asdict, dataclass, fields
from typing import Any, get_type_hints

VERSION = 1
MAX_PACKET = 4096
MAX_SOCKETS = 16  # in one packet
MAX_IDS_SIZE = MAX_PACKET - 100  # bytes of call ids in one packet, as JSON


class MessageError(ValueError):
    """An invalid packet of the other process; the text says why."""


@dataclass(frozen=True, slots=True)
class Hello:
    """New to old process, first message: the name of the node.  ``ids``: the new process reads ``Taken``."""

    name: str
    ids: bool = False


@dataclass(frozen=True, slots=True)
class Offer:
    """Old to new process: comes with the listening socket, the peers' socket if ``peers``, and a file of learned
    state.

    ``clients``, ``backends`` and ``requests`` are the numbers that the old process holds, ``held_mb`` the memory that
    it holds for its peers (MiB, rounded up).  ``ids``: the old process reads ``Taken``.
    """

    peers: bool
    clients: int
    backends: int
    requests: int
    ids: bool = False
    held_mb: int = 0


@dataclass(frozen=True, slots=True)
class Ready:
    """New to old process: the new process serves."""


@dataclass(frozen=True, slots=True)
class Clients:
    """Old to new process: comes with ``count`` sockets of clients that are between two requests."""

    count: int


@dataclass(frozen=True, slots=True)
class Held:
    """Old to new process: the numbers, and the memory for its peers (MiB, rounded up), that the old process still
    holds."""

    clients: int
    backends: int
    requests: int
    held_mb: int = 0


@dataclass(frozen=True, slots=True)
class Taken:
    """Either process to the other: call ids of requests that it has taken, as Latin-1, one a line."""

    ids: str


@dataclass(frozen=True, slots=True)
class No:
    """Old to new process: refuses the hand-over."""

    reason: str


Message = Hello | Offer | Ready | Clients | Held | Taken | No
KINDS: dict[str, type[Message]] = {
    kind.__name__.lower(): kind for kind in (Hello, Offer, Ready, Clients, Held, Taken, No)
}
DEFAULTS: dict[type[Message], dict[str, Any]] = {
    kind: {f.name: f.default for f in fields(kind) if f.default is not MISSING} for kind in KINDS.values()
}
FIELDS: dict[type[Message], dict[str, type]] = {kind: get_type_hints(kind) for kind in KINDS.values()}


def encode(message: Message) -> bytes:
    """Serializes a message to one packet."""
    return json.dumps({"v": VERSION, "say": type(message).__name__.lower(), **asdict(message)}).encode()


def pack_ids(ids: Iterable[bytes]) -> tuple[Taken, int]:
    """Puts as many ids into a message as fit a packet; returns it and their number, which is one at least."""
    packed: list[str] = []
    size = 0
    for call_id in ids:
        text = call_id.decode("latin-1")
        size += len(json.dumps(text))
        if packed and size > MAX_IDS_SIZE:
            break
        packed.append(text)
    return Taken("\n".join(packed)), len(packed)


def unpack_ids(message: Taken) -> list[bytes]:
    """The ids of a message; characters that no id can have are replaced."""
    return [text.encode("latin-1", "replace") for text in message.ids.split("\n") if text]


def decode(packet: bytes, sockets: int) -> Message:
    """Parses a packet that came with ``sockets`` descriptors; raises ``MessageError`` if either is invalid."""
    if len(packet) > MAX_PACKET:
        raise MessageError(f"packet longer than {MAX_PACKET} bytes")
    try:
        raw: Any = json.loads(packet)
    except ValueError:
        raise MessageError("packet is not valid JSON") from None
    if not isinstance(raw, dict) or raw.get("v") != VERSION:
        raise MessageError(f"speaks version {raw.get('v') if isinstance(raw, dict) else None!r}, not {VERSION}")
    kind = KINDS.get(str(raw.get("say")))
    if kind is None:
        raise MessageError(f"unknown message type {str(raw.get('say'))[:40]!r}")
    values: dict[str, Any] = {}
    for name, expected_type in FIELDS[kind].items():
        value = raw.get(name, DEFAULTS[kind].get(name))
        if type(value) is not expected_type or isinstance(value, int) and not 0 <= value <= 1_000_000:
            raise MessageError(f"{raw['say']}.{name}: invalid value {str(value)[:40]!r}")
        values[name] = value
    message = kind(**values)
    expected_sockets = 0
    if isinstance(message, Offer):
        expected_sockets = 3 if message.peers else 2
    elif isinstance(message, Clients):
        expected_sockets = message.count
    if sockets != expected_sockets:
        raise MessageError(f"{raw['say']} came with {sockets} sockets, not {expected_sockets}")
    return message
