"""Whether a new configuration is whole beside the one in force; without I/O."""

from __future__ import annotations

from typing import Any

EFFECTS_OWN = frozenset(("group", "window_us"))  # a class without an effect needs none of them
# Where keys are looked for.  Lists of names (classes, customers) may change their rows; their rows' keys not.
PARTS = ((), ("limits",), ("settings",), ("settings", "invariants"), ("settings", "policy_limits"))


def shape(raw: dict[str, Any]) -> dict[str, frozenset[str]]:
    """The keys of a configuration, by the part that they stand in; of classes those that all of them have."""
    found: dict[str, frozenset[str]] = {}
    for path in PARTS:
        part: Any = raw
        for name in path:
            part = part.get(name) if isinstance(part, dict) else None
        found[".".join(path)] = frozenset(part) if isinstance(part, dict) else frozenset()
    settings = raw.get("settings")
    classes = settings.get("classes") if isinstance(settings, dict) else None
    rows = [frozenset(row) for row in classes if isinstance(row, dict)] if isinstance(classes, list) else []
    found["settings.classes[]"] = frozenset.intersection(*rows) - EFFECTS_OWN if rows else frozenset()
    return found


def missing(before: dict[str, frozenset[str]], after: dict[str, frozenset[str]]) -> str | None:
    """The first key that the configuration in force has and the new one lacks, with its part; None if none."""
    for part, keys in before.items():
        lost = sorted(keys - after.get(part, frozenset()))
        if lost:
            return f"{part}.{lost[0]}" if part else lost[0]
    return None
