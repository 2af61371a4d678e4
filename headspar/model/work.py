"""Work counters of the nodes of a run, as ``GET /work`` reports them, and runs with mixed versions.

A ``Mixture`` assigns a version to each node and changes it at planned times.  ``Work`` holds the counters of one
process, and ``Reading`` is one sample of them.
"""

from __future__ import annotations

import hashlib
import importlib.util
import sys
from math import log2
from pathlib import Path
from typing import Any, Literal

import msgspec

from headspar.interface import Settings
from headspar.model.ports import InboundAttempt

MEMORY_MB = 60.0  # of a process without a leak


class Version(msgspec.Struct, frozen=True):
    """A version in a mixture.

    ``settings`` and ``connections`` override those of the run's ``Tuning``.  ``program`` is a file whose ``Balancer``
    replaces this program's decision module, for example ``headspar/decide.py`` of another checkout.  ``leak_mb_min``
    is the simulated memory growth in MB per minute, as processes in the model use no memory."""

    settings: dict[str, Any] = {}
    connections: dict[str, Any] = {}
    program: str = ""
    leak_mb_min: float = 0.0
    later: float = 0.0  # added delay of successful answers, as a share of their latency


class VersionChange(msgspec.Struct, frozen=True):
    """At ``at_s`` of the run, restarts a node with a version or hands it over to a new process of that version."""

    at_s: float
    node: str
    version: str
    way: Literal["restart", "upgrade"] = "restart"


class Mixture(msgspec.Struct, frozen=True):
    """Versions by name and when nodes change to them.

    All nodes start with the run's own version, whose name is empty.  Counters are sampled every ``every_s``."""

    versions: dict[str, Version] = {}
    changes: list[VersionChange] = []
    every_s: float = 1.0


class Reading(msgspec.Struct, frozen=True):
    """One sample of a node's counters at ``at_s`` of the run, with the fields of ``GET /work``."""

    at_s: float
    node: str
    site: str
    version: str
    process: str
    up_s: float
    counts: dict[str, float]
    gauges: dict[str, float]


class Work:
    """The counters of one process, which started at ``began``, us of the run's clock."""

    def __init__(self, settings: Settings, began: int) -> None:
        self.began = began
        self.aims = {c.name: (c.aim_us, c.aim_stretch) for c in settings.classes}
        self.counts: dict[str, float] = dict.fromkeys(
            ("taken", "in_time", "late", "refused", "failed", "served", "quarters"), 0.0)

    def answered(self, t: InboundAttempt, leaves_at: int, status: int) -> None:
        """Counts the final answer to a client attempt, which leaves the node at ``leaves_at``."""
        cls, call = t.names.classes[t.call.cls], t.call
        aim, stretch = self.aims.get(cls, (0, 0.0))
        latency_us = leaves_at - t.sent_at
        result = "refused" if status == 503 else "failed"
        if status == 200:
            share = latency_us / (aim + stretch * call.hint_us)
            result = "late" if share > 1.0 else "in_time"
            self.counts["served"] += 1.0
            self.counts["quarters"] += min(32.0, max(0.0, 4.0 * (log2(max(1e-6, share)) + 4.0)))
        for key in ("taken", result, *([f"taken:{cls}"] + ([f"{result}:{cls}"] if status != 200 else []))):
            self.counts[key] = self.counts.get(key, 0.0) + 1.0


def load(program: str) -> Any:
    """Returns the ``Balancer`` class of a file, which is imported once per process.

    Raises ``OSError`` if there is no such file and ``AttributeError`` if it defines no ``Balancer``."""
    path = Path(program)
    name = f"headspar_model_{hashlib.sha256(path.read_bytes()).hexdigest()[:16]}"
    module = sys.modules.get(name)
    if module is None:
        spec = importlib.util.spec_from_file_location(name, path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)
    return module.Balancer
