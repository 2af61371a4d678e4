"""What keepers' own logs tell of a run, for tests and benchmarks alike; without I/O.

``rows``: the events of each keeper, oldest first, as ``Keeper.events`` reads them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

Row = dict[str, Any]
Rows = Mapping[str, Sequence[Row]]
ON_WAY = ("beside", "draining", "starting", "absent", "reloading")


def steps_twice(rows: Rows) -> list[tuple[str, int]]:
    """Steps that a keeper took as new more than once, over all its restarts."""
    out = []
    for name, events in rows.items():
        counts = Counter(e["step"] for e in events if e["event"] == "keeper.command" and e["verdict"] == "new")
        out += [(name, step) for step, count in counts.items() if step and count > 1]
    return out


def fenced_accepted(rows: Rows) -> list[tuple[str, int]]:
    """Words that a keeper took of an epoch below one that it had heard of."""
    out = []
    for name, events in rows.items():
        highest = 0
        for e in events:
            if e["event"] == "keeper.command" and e["verdict"] == "new":
                if e["epoch"] < highest:
                    out.append((name, int(e["step"])))
                highest = max(highest, e["epoch"])
    return out


def strangers_signalled(rows: Rows) -> list[int]:
    """Signals to what that keeper's machine had neither started nor found."""
    out = []
    for events in rows.values():
        ours: set[int] = set()
        for e in events:
            if e["event"] in ("keeper.process_started", "keeper.process_found"):
                ours.add(e["pid"])
            elif e["event"] == "keeper.signalled" and e["pid"] not in ours:
                out.append(e["pid"])
    return out


def on_way(rows: Rows, sites: Mapping[str, str], at: Callable[[Row], int], since: int) -> list[tuple[int, int]]:
    """After each move of a node's processes since a time: how many nodes were on their way at once, in all and the
    most of one site.  On its way: from a process beside, a drain or a start to the one that serves."""
    moves = sorted(
        (at(e), e["after"] in ON_WAY, name)
        for name, events in rows.items() for e in events
        if e["event"] == "keeper.moved" and e["table"] == "phase" and at(e) > since
    )
    away: set[str] = set()
    out = []
    for _, moving, name in moves:
        if moving:
            away.add(name)
        else:
            away.discard(name)
        out.append((len(away), max(Counter(sites[n] for n in away).values(), default=0)))
    return out
