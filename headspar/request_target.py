"""The target of an HTTP request, read by the same rules on every listener of a node."""

from __future__ import annotations


def read_path(target: bytes) -> bytes:
    """Return the path, without a query, of a target in origin form or absolute form (RFC 9112 section 3.2)."""
    path = target.partition(b"?")[0]
    if path.startswith(b"/"):
        return path
    scheme, separator, rest = path.partition(b"://")
    if not separator or scheme.lower() != b"http":
        return path
    return b"/" + rest.partition(b"/")[2]
