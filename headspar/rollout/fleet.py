"""The fleet file, which lists the nodes with the addresses of their keepers.

    [[node]]
    name = "n-1"
    site = "site-a"
    keeper = "127.0.0.1:9400"
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from headspar.config import ConfigError, parse_address

MAX_NODES = 5_000


class FleetError(Exception):
    """The fleet file is invalid; the message is one line that names the field."""


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node, its site and its keeper's address (host:port)."""

    name: str
    site: str
    keeper: str


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of a fleet file."""

    node: list[Member]


def parse(text: str) -> list[Member]:
    """Parse and validate a fleet file; raises ``FleetError``."""
    try:
        members = msgspec.toml.decode(text, type=Fleet).node
    except msgspec.MsgspecError as error:
        raise FleetError(str(error)) from None
    if not 0 < len(members) <= MAX_NODES:
        raise FleetError(f"node: expected 1 to {MAX_NODES} nodes, got {len(members)}")
    for i, member in enumerate(members):
        if not member.name or not member.site:
            raise FleetError(f"node[{i}]: name and site must not be empty")
        try:
            parse_address(member.keeper, f"node[{i}].keeper")
        except ConfigError as error:
            raise FleetError(str(error)) from None
    for key in ("name", "keeper"):
        values = [getattr(member, key) for member in members]
        duplicate = next((v for v in values if values.count(v) > 1), None) if len(set(values)) < len(values) else None
        if duplicate is not None:
            raise FleetError(f"node.{key}: {duplicate!r} is not unique")
    return members


def load(path: Path) -> list[Member]:
    """Read and parse the file; ``FleetError`` names the file and the field."""
    try:
        return parse(path.read_text())
    except OSError as error:
        raise FleetError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FleetError(f"{path}: not UTF-8 text") from None
    except FleetError as error:
        raise FleetError(f"{path}: {error}") from None
