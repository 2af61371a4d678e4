"""Builds the response of ``GET /work``, by which the rollout controller compares nodes; without I/O.

The counters are cumulative since the start of the process: a reader takes differences, so a lost response loses no
data.  The format of ``/stats`` is separate and stays as it is.
"""

from __future__ import annotations

from typing import Any

from headspar.operations.ledger import OCTAVES, PER_OCTAVE, Ledger

VERSION = 1


def counts(ledger: Ledger, cpu_ms: float) -> dict[str, float]:
    """The cumulative counters of a process.

    ``taken`` counts answered requests, and the other names their outcomes, in total and by class as ``name:class``.
    ``quarters`` sums the time of the ``served`` requests, as quarters of an octave above 1/16 of the latency target.
    ``attempts`` and ``handshakes`` count those begun, ``broken`` the attempts that violated a rule; ``cpu_ms`` is
    processor time.
    """
    rows = {**ledger.classes, "": ledger.others}
    out: dict[str, float] = dict.fromkeys(
        ("taken", "in_time", "late", "refused", "failed", "served", "quarters"), 0.0)
    for name, c in rows.items():
        taken = c.success + c.overload + c.error
        for key, value in (("taken", taken), ("in_time", c.success - c.late), ("late", c.late),
                           ("refused", c.overload), ("failed", c.error),
                           ("served", c.success), ("quarters", c.quarters)):
            out[key] += value
        if name and taken:
            out |= {f"taken:{name}": taken, f"refused:{name}": c.overload, f"failed:{name}": c.error}
    out["quarters"] = round(out["quarters"], 1)
    return out | {"attempts": ledger.dispatches, "handshakes": ledger.connections, "broken": ledger.broken,
                  "cpu_ms": round(cpu_ms, 1)}


def times(ledger: Ledger) -> dict[str, Any]:
    """The histogram of the time to answer by class (see ``Counts``); classes that served none are left out."""
    return {"per_octave": PER_OCTAVE, "octaves": OCTAVES,
            "classes": {name: c.times for name, c in ledger.classes.items() if c.success}}


def report(ledger: Ledger, process: str, generation: str, up_s: float, cpu_ms: float, gauges: dict[str, float],
          ) -> dict[str, Any]:
    """The response body.  ``process`` is unique to this process; ``up_s`` is its age by its monotonic clock."""
    return {"version": VERSION, "process": process, "generation": generation, "up_s": round(up_s, 3),
            "counts": counts(ledger, cpu_ms), "gauges": gauges, "times": times(ledger)}
