"""The fleet file: which keepers there are, and where they listen.

    [[node]]
    name = "n-1"
    site = "site-a"
    keeper = "127.0.0.1:9400"
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from headspar.config import ConfigError, parse_address

MOST_NODES = 5_000


class FleetError(Exception):
    """A fleet file that can't be used; the text is one line that names the field."""


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node and its keeper."""

    name: str
    site: str
    keeper: str


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All of them."""

    node: list[Member]


def parse(text: str) -> list[Member]:
    """The members of a fleet file, checked."""
    try:
        members = msgspec.toml.decode(text, type=Fleet).node
    except msgspec.MsgspecError as error:
        raise FleetError(str(error)) from None
    if not 0 < len(members) <= MOST_NODES:
        raise FleetError(f"node: needs 1 to {MOST_NODES} of them, not {len(members)}")
    for i, member in enumerate(members):
        if not member.name or not member.site:
            raise FleetError(f"node[{i}]: name and site must not be empty")
        try:
            parse_address(member.keeper, f"node[{i}].keeper")
        except ConfigError as error:
            raise FleetError(str(error)) from None
    for what in ("name", "keeper"):
        values = [getattr(member, what) for member in members]
        twice = next((v for v in values if values.count(v) > 1), None) if len(set(values)) < len(values) else None
        if twice is not None:
            raise FleetError(f"node.{what}: {twice!r} stands there twice")
    return members


def load(path: Path) -> list[Member]:
    """Read the file; ``FleetError`` names it and the field."""
    try:
        return parse(path.read_text())
    except OSError as error:
        raise FleetError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FleetError(f"{path}: no UTF-8 text") from None
    except FleetError as error:
        raise FleetError(f"{path}: {error}") from None
