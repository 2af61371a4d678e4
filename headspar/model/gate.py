"""A search over draws: days of the standing fleet test under many seeds, each run audited against the four rules.

One broken rule fails a version, so the worst draw counts, not the mean.  Results are cached by content, so an
interrupted search resumes where it stopped.
"""

from __future__ import annotations

import json
import os
import queue
import threading
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from headspar.model.compare import PROCESS_ENDED, Worker, on_threads
from headspar.model.costs import Costs
from headspar.model.days import day
from headspar.model.figures import Outcome
from headspar.model.results import Store, key_of
from headspar.model.versions import Version, model_digest
from headspar.world.scenario import Scenario, to_json

Progress = Callable[[int, int, str], None]  # draws finished, draws in total, the last draw finished


class Draw(msgspec.Struct, frozen=True):
    """One draw: a day under a seed, and its outcome."""

    day: str
    seed: int
    outcome: Outcome

    @property
    def failed(self) -> bool:
        """Whether the draw fails the test; a run that the audit has doubts about fails too."""
        return not self.outcome.valid

    @property
    def text(self) -> str:
        o = self.outcome
        if o.crash:
            return f"crashed: {o.crash}"
        return "; ".join([f"{name}, {count} times" for name, count in o.broken.items()] + o.doubts)


class DayFigures(msgspec.Struct, frozen=True):
    """The figures of a day over its seeds.  ``served``: minimum, mean and maximum served share of the worth."""

    day: str
    draws: int
    failed: list[int]  # seeds
    broken: dict[str, int]  # draws in which a rule was broken, by rule and kind
    served: tuple[float, float, float]
    worst: list[int]  # seeds with the lowest service, worst first
    seconds: float  # mean run time of a draw


def task_of(s: Scenario, seed: int, version: Version, costs: Costs, policy: str) -> dict[str, Any]:
    """Returns the task for a worker, from which the cache key of the result is made too."""
    return {"policy": policy, "scenario": json.loads(to_json(s)), "seed": seed, "settings": version.settings,
            "connections": version.connections, "costs": msgspec.to_builtins(costs)}


class Runs:
    """Runs of one version on worker processes, with cached results."""

    def __init__(self, version: Version, store: Store, workers: int = 0, costs: Costs | None = None) -> None:
        self.version, self.store, self.costs = version, store, costs or Costs()
        self.count = workers or max(1, (os.cpu_count() or 2) - 1)
        self.model = model_digest()
        self.executed = 0
        self.stop = threading.Event()

    def __call__(
        self, wanted: Sequence[tuple[Scenario, int]], on_outcome: Callable[[int, Outcome], None] | None = None,
        policy: str = "",
    ) -> list[Outcome | None]:
        """Returns the outcomes in the order of ``wanted``, None for runs skipped by an interrupt.

        ``on_outcome`` is called with the index and outcome of each run as it finishes.  ``policy`` names a reference
        policy that replaces the version's decision module."""
        found: list[Outcome | None] = [None] * len(wanted)
        todo: queue.SimpleQueue[tuple[int, dict[str, Any], str]] = queue.SimpleQueue()
        lock = threading.Lock()
        pending = 0
        for i, (s, seed) in enumerate(wanted):
            task = task_of(s, seed, self.version, self.costs, policy)
            key = key_of(task, self.version.digest, self.model)
            cached = self.store.get(key)
            if cached is None:
                todo.put((i, task, key))
                pending += 1
            else:
                found[i] = cached
                if on_outcome is not None:
                    on_outcome(i, cached)

        def work() -> None:
            worker = Worker(self.version)
            try:
                while not self.stop.is_set():
                    try:
                        i, task, key = todo.get_nowait()
                    except queue.Empty:
                        return
                    outcome = worker.run(task)
                    if outcome.crash != PROCESS_ENDED:  # not cached: the machine may have ended it
                        self.store.put(key, outcome)
                    with lock:
                        found[i] = outcome
                        self.executed += 1
                        if on_outcome is not None:
                            on_outcome(i, outcome)
            finally:
                worker.close()

        on_threads(min(self.count, pending), work, self.stop)
        return found


def search(
    runs: Runs, days: Sequence[str], seeds: Sequence[int], nodes: int, progress: Progress | None = None,
    policy: str = "",
) -> list[Draw]:
    """Runs every day under every seed.  Some draws are missing only after an interrupt."""
    requested = [(name, seed) for seed in seeds for name in days]
    done = 0

    def report(i: int, outcome: Outcome) -> None:
        nonlocal done
        done += 1
        if progress is not None:
            name, seed = requested[i]
            progress(done, len(requested), f"{name} {seed}" + ("" if outcome.valid else " FAILED"))

    outcomes = runs([(day(name, seed, nodes), seed) for name, seed in requested], report, policy)
    return [Draw(*at, outcome) for at, outcome in zip(requested, outcomes, strict=True) if outcome is not None]


def by_day(draws: Sequence[Draw], worst: int = 3) -> list[DayFigures]:
    """Returns the figures of each day, in the order of the days."""
    out = []
    for name in dict.fromkeys(d.day for d in draws):
        rows = [d for d in draws if d.day == name]
        broken: dict[str, int] = {}
        for d in rows:
            for kind in d.outcome.broken:
                broken[kind] = broken.get(kind, 0) + 1
        ran = sorted((d.outcome.figures["whole"], d.seed) for d in rows if d.outcome.figures)
        shares = [share for share, _ in ran] or [0.0]
        out.append(DayFigures(
            name, len(rows), sorted(d.seed for d in rows if d.failed), broken,
            (shares[0], sum(shares) / len(shares), shares[-1]), [seed for _, seed in ran[:worst]],
            sum(d.outcome.took_s for d in rows) / len(rows),
        ))
    return out
