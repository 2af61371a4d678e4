"""File format of a snapshot: a checksummed JSON header line, then the zlib-compressed state.  No I/O."""

from __future__ import annotations

import hashlib
import json
import zlib
from dataclasses import asdict, dataclass
from typing import Any

from headspar.handover.beliefs import MAX_BYTES, Beliefs, BeliefsError
from headspar.handover.beliefs import decode as decode_beliefs
from headspar.handover.beliefs import encode as encode_beliefs
from headspar.snapshot.expiry import Header

MAGIC = "headspar snapshot"
VERSION = 1
MAX_HEADER_BYTES = 4096
COMPRESSION_LEVEL = 1  # of zlib


class FormatError(ValueError):
    """The bytes are not a snapshot, or not one that this version can read.  The text is a single line."""


@dataclass(frozen=True)
class Snapshot:
    """A decoded snapshot; ``serial`` increases with each one written to a folder."""

    serial: int
    header: Header
    beliefs: Beliefs


def encode(header: Header, serial: int, beliefs: Beliefs) -> bytes:
    """Encode a snapshot; returns no bytes if the state exceeds the size limit."""
    body = encode_beliefs(beliefs)
    return pack(header, serial, body) if body else b""


def pack(header: Header, serial: int, body: bytes) -> bytes:
    """Frame an encoded state: SHA-256 of the header line, the header line, the compressed body."""
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    line = {"is": MAGIC, "v": VERSION, "least": VERSION, "serial": serial, "bytes": len(packed),
            "sha256": hashlib.sha256(packed).hexdigest(), **asdict(header)}
    text = json.dumps(line, sort_keys=True)
    return f"{hashlib.sha256(text.encode()).hexdigest()} {text}\n".encode() + packed


def decode(data: bytes) -> Snapshot:
    """Decode a snapshot; ``FormatError`` unless both checksums match."""
    head, newline, packed = data.partition(b"\n")
    if not newline or len(head) > MAX_HEADER_BYTES:
        raise FormatError("not a snapshot" if data else "empty")
    digest, _, text = head.partition(b" ")
    if digest != hashlib.sha256(text).hexdigest().encode():
        raise FormatError("truncated or modified")
    try:
        raw: Any = json.loads(text)
        if raw["is"] != MAGIC:
            raise FormatError("not a snapshot")
        if raw["least"] > VERSION:
            raise FormatError(f"format version {raw['v']} needs a reader of version {raw['least']} or later")
        if len(packed) != raw["bytes"] or hashlib.sha256(packed).hexdigest() != raw["sha256"]:
            raise FormatError("truncated or modified")
        header = Header(str(raw["name"]), str(raw["site"]), str(raw["settings"]), int(raw["wall_us"]),
                        int(raw["offset_us"]))
        body = zlib.decompressobj().decompress(packed, MAX_BYTES + 1)
        return Snapshot(int(raw["serial"]), header, decode_beliefs(body))
    except BeliefsError as error:
        raise FormatError(str(error)) from None
    except (KeyError, TypeError, ValueError, OverflowError, zlib.error) as error:
        if isinstance(error, FormatError):
            raise
        raise FormatError(f"unexpected content: {error}"[:200]) from None
