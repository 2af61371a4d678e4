"""Checks that a new configuration has all keys of the one in force; without I/O."""

from __future__ import annotations

from typing import Any

EFFECT_KEYS = frozenset(("group", "window_us"))  # not needed by a class without an effect
# The objects whose keys are compared.  Lists (classes, customers) may change their rows, but not the rows' keys.
CHECKED_PATHS = ((), ("limits",), ("settings",), ("settings", "invariants"), ("settings", "policy_limits"))


def shape(raw: dict[str, Any]) -> dict[str, frozenset[str]]:
    """The keys of a configuration by the path of their object; for classes the keys common to all of them."""
    found: dict[str, frozenset[str]] = {}
    for path in CHECKED_PATHS:
        part: Any = raw
        for name in path:
            part = part.get(name) if isinstance(part, dict) else None
        found[".".join(path)] = frozenset(part) if isinstance(part, dict) else frozenset()
    settings = raw.get("settings")
    classes = settings.get("classes") if isinstance(settings, dict) else None
    rows = [frozenset(row) for row in classes if isinstance(row, dict)] if isinstance(classes, list) else []
    found["settings.classes[]"] = frozenset.intersection(*rows) - EFFECT_KEYS if rows else frozenset()
    return found


def missing(before: dict[str, frozenset[str]], after: dict[str, frozenset[str]]) -> str | None:
    """The path of the first key that the configuration in force has and the new one lacks; None if there is none."""
    for part, keys in before.items():
        lost = sorted(keys - after.get(part, frozenset()))
        if lost:
            return f"{part}.{lost[0]}" if part else lost[0]
    return None
