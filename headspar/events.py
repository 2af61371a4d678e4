"""Structured events of keepers and controllers: one JSON line each, with stable names and typed fields.

Events never contain a request's key or body.  ``headspar events`` prints the table below as Markdown; the page
``docs/operators/events.md`` is that output.
"""

from __future__ import annotations

import sys
from typing import Any, TextIO

import structlog

Fields = dict[str, type]
EVENTS: dict[str, tuple[str, Fields]] = {
    "keeper.started": ("a keeper has started", {"name": str, "pid": int, "found": int, "state": str}),
    "keeper.stopped": ("a keeper stops; its node keeps running", {"name": str}),
    "keeper.moved": ("a state machine made a transition", {"table": str, "before": str, "cause": str, "after": str}),
    "keeper.process_started": ("a process of the node was started", {"pid": int, "generation": str, "beside": bool}),
    "keeper.process_found": ("a running process was found at the keeper's start",
                             {"pid": int, "generation": str, "ready": bool}),
    "keeper.process_ended": ("a process of the node has exited", {"pid": int, "generation": str, "status": int}),
    "keeper.signalled": ("a signal was sent to a process of the node", {"pid": int, "signal": str}),
    "keeper.not_ours": ("a process could not be identified as the node's and was left alone",
                        {"pid": int, "why": str}),
    "keeper.settings": ("a reload of the node's settings succeeded or failed",
                        {"generation": str, "taken": bool, "why": str}),
    "keeper.command": ("a command was accepted or refused",
                       {"say": str, "epoch": int, "step": int, "verdict": str, "why": str}),
    "keeper.fetched": ("copying a generation succeeded or failed", {"generation": str, "taken": bool, "why": str}),
    "keeper.state_lost": ("the state on disk could not be used", {"why": str}),
    "keeper.disk": ("a disk operation failed", {"what": str, "why": str}),
    "keeper.silent": ("the node does not answer its keeper", {"pid": int, "seconds": float}),
    "rollout.lease": ("a controller acquired or lost the lease", {"holder": str, "epoch": int, "held": bool}),
    "rollout.fenced": ("a controller lost the lease during a change and waits to acquire it again",
                       {"holder": str, "epoch": int, "why": str}),
    "rollout.moved": ("the change entered another state",
                      {"change": str, "before": str, "cause": str, "after": str, "why": str}),
    "rollout.stage": ("a stage started", {"change": str, "stage": int, "nodes": int}),
    "rollout.step": ("a step was sent", {"change": str, "step": int, "node": str, "say": str}),
    "rollout.answered": ("a step was answered, or got no answer",
                         {"change": str, "step": int, "node": str, "ok": bool, "why": str}),
    "rollout.power": ("a stage is too small or too short to detect a figure's margin; least: the smallest detectable "
                      "difference, -1 if there is none",
                      {"change": str, "stage": int, "figure": str, "margin": float, "least": float}),
    "rollout.judged": ("the judge evaluated a stage", {"change": str, "stage": int, "look": int, "verdict": str,
                                                       "why": str}),
    "rollout.waits": ("the change is waiting, and why", {"change": str, "why": str}),
}


class Events:
    """Writes a process's events to a stream (default: standard error).  ``emit`` raises ``KeyError`` for an event or
    a set of fields that is not in the table."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self._log: Any = structlog.wrap_logger(
            structlog.PrintLogger(stream or sys.stderr),
            processors=[structlog.processors.TimeStamper(fmt="iso", utc=True),
                        structlog.processors.JSONRenderer()],
        )

    def emit(self, event: str, **fields: Any) -> None:
        schema = EVENTS[event][1]
        if fields.keys() != schema.keys():
            raise KeyError(f"{event}: missing or unknown fields {sorted(fields.keys() ^ schema.keys())}")
        values = {name: schema[name](value) for name, value in fields.items()}
        try:
            self._log.info(event, **values)
        except OSError:  # a full log disk must not stop the process
            pass


def table() -> str:
    """Render the table as Markdown."""
    rows = [
        f"| `{name}` | {text} | {', '.join(f'{key} ({kind.__name__})' for key, kind in fields.items())} |"
        for name, (text, fields) in EVENTS.items()
    ]
    return "\n".join([
        "# Events of keepers and controllers", "",
        "One line of JSON each on standard error: `timestamp`, `event`, and the fields below. "
        "Printed by `headspar events`.", "",
        "| event | meaning | fields |", "| --- | --- | --- |", *rows, "",
    ])
