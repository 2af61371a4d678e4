"""The values of a request's fields: parsed and checked, without I/O."""

from __future__ import annotations

import math
import re
from hashlib import blake2b

# Not a character of a host and port (RFC 3986 sections 3.2.2 and 3.2.3).
NO_HOST_CHARACTER = re.compile(rb"[^A-Za-z0-9._~!$&'()*+;=%:\[\]-]")
DECIMAL = re.compile(rb"[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")
MAX_TARGET_KEY = 200  # bytes; longer keys are replaced by a digest
KEY_DIGEST_BYTES = 16


def is_valid_host(value: bytes) -> bool:
    """Return whether a Host field may be accepted; an empty one may."""
    return NO_HOST_CHARACTER.search(value) is None


def read_decimal(value: bytes) -> float | None:
    """Parse a finite decimal number; None for what other readers may not take for one (``1_000``, ``nan``)."""
    number = float(value) if DECIMAL.fullmatch(value) else math.inf
    return number if math.isfinite(number) else None


def read_budget(value: bytes) -> int | None:
    """Parse ``480m`` or ``1500u`` into microseconds; None if it is malformed."""
    unit = {b"m": 1000, b"u": 1}.get(value[-1:])
    if unit is None:
        return None
    number = value[:-1]
    if number.isdigit():
        us = int(number[:12]) * unit
    else:
        decimal = read_decimal(number)
        if decimal is None:
            return None
        us = int(decimal * unit)
    return us if 0 <= us <= 3_600_000_000 else None


def read_hint(value: bytes | None) -> int | None:
    """Return the cost hint in microseconds; None if there is no valid one."""
    if value is None:
        return None
    if value.isdigit():
        us = int(value[:12])
    else:
        decimal = read_decimal(value)
        if decimal is None:
            return None
        us = int(decimal)
    return us if 0 <= us <= 3_600_000_000 else None


def read_target_key(url: bytes) -> str | None:
    """Return the last part of the path, or a digest of it that is the same at every node; None if it is empty."""
    key = url.partition(b"?")[0].rpartition(b"/")[2]
    if len(key) > MAX_TARGET_KEY:
        return blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()
    return key.decode("latin-1") or None
