"""Checks and figures from the keepers' logs of a run, for tests and benchmarks; no I/O.

``rows``: the events of each keeper by name, oldest first, as ``Keeper.events`` reads them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any

Row = dict[str, Any]
Rows = Mapping[str, Sequence[Row]]
IN_TRANSITION = ("beside", "draining", "starting", "absent", "reloading")


def steps_applied_twice(rows: Rows) -> list[tuple[str, int]]:
    """Returns (keeper, step) of each step that a keeper accepted as new more than once, across its restarts."""
    out = []
    for name, events in rows.items():
        counts = Counter(e["step"] for e in events if e["event"] == "keeper.command" and e["verdict"] == "new")
        out += [(name, step) for step, count in counts.items() if step and count > 1]
    return out


def stale_epochs_accepted(rows: Rows) -> list[tuple[str, int]]:
    """Returns (keeper, step) of each command accepted with an epoch below the highest one accepted before."""
    out = []
    for name, events in rows.items():
        highest = 0
        for e in events:
            if e["event"] == "keeper.command" and e["verdict"] == "new":
                if e["epoch"] < highest:
                    out.append((name, int(e["step"])))
                highest = max(highest, e["epoch"])
    return out


def foreign_pids_signalled(rows: Rows) -> list[int]:
    """Returns the pids that a keeper signalled although it had neither started nor found those processes."""
    out = []
    for events in rows.values():
        ours: set[int] = set()
        for e in events:
            if e["event"] in ("keeper.process_started", "keeper.process_found"):
                ours.add(e["pid"])
            elif e["event"] == "keeper.signalled" and e["pid"] not in ours:
                out.append(e["pid"])
    return out


def in_transition(
    rows: Rows, sites: Mapping[str, str], at: Callable[[Row], int], since: int
) -> list[tuple[int, int]]:
    """Returns the number of nodes in transition, in all and the maximum of one site, after each phase change since
    ``since`` (µs).

    A node is in transition from the start of a new process, a drain or a start until its process serves again.
    ``at`` gives the time of an event; ``sites`` the site of each node.
    """
    moves = sorted(
        (at(e), e["after"] in IN_TRANSITION, name)
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
