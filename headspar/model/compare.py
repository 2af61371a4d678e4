"""Compares two versions on the same traffic, seed by seed, until the result is conclusive or the time budget is used.

Seeds are added in looks that are planned in advance.  A seed counts when both versions have run it.  A seed on which
either version crashed, broke a rule or left the audit in doubt is reported and excluded from the averages.
"""

from __future__ import annotations

import json
import os
import queue
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from headspar.model.costs import Costs
from headspar.model.figures import LOWER_IS_BETTER, Outcome
from headspar.model.results import Store, key_of
from headspar.model.statistics import (
    Conclusion,
    Interval,
    Spread,
    bootstrapped,
    bounds,
    holm,
    judge,
    paired,
    spread,
)
from headspar.model.versions import HERE, Version, model_digest
from headspar.world.scenario import Scenario, to_json

ALPHA = 0.05
LOOKS = (8, 12, 16, 20, 24)
PROCESS_ENDED = "the process ended during the run"
RUN_TIMEOUT_S = 600.0
MAIN = "whole"  # the figure on which the conclusion is based


class ExcludedRun(msgspec.Struct, frozen=True):
    """A run that is excluded from the comparison."""

    version: str
    seed: int
    text: str


class Figure(msgspec.Struct, frozen=True):
    """One figure of both versions, with intervals of B minus A.

    ``interval`` is at the level of this look and of Holm's step; ``plain`` (Student) and ``skewed`` (BCa) are 95 %
    intervals without correction for the number of figures and looks."""

    a: Spread
    b: Spread
    interval: Interval
    plain: Interval
    skewed: Interval
    word: Conclusion


class Comparison(msgspec.Struct, frozen=True):
    """The result of a comparison.  ``ended``: decided, no more looks, out of time, or interrupted."""

    a: str
    b: str
    scenario: str
    seeds: list[int]
    figures: dict[str, Figure]
    bad: list[ExcludedRun]
    word: Conclusion
    sentence: str
    ended: str
    same: bool  # all runs of A and B gave identical records
    took_s: float
    made: int  # runs executed, not taken from the cache
    seconds: dict[str, list[list[float]]] = {}  # share of worth answered in time by second, one row per seed


class Worker:
    """A child process that executes runs of one version."""

    def __init__(self, version: Version) -> None:
        self.version = version
        self.process: subprocess.Popen[bytes] | None = None

    def run(self, task: dict[str, Any]) -> Outcome:
        """Executes one run.  If the process ends, the outcome is a crash of that run."""
        if self.process is None:
            worker = HERE / "headspar" / "model" / "worker.py"
            self.process = subprocess.Popen(
                [sys.executable, "-P", str(worker), self.version.tree],
                env={**os.environ, "PYTHONHASHSEED": "0"},
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
            )
        process = self.process
        assert process.stdin is not None and process.stdout is not None
        timer = threading.Timer(RUN_TIMEOUT_S, process.kill)
        timer.start()
        try:
            process.stdin.write(json.dumps(task).encode() + b"\n")
            process.stdin.flush()
            line = process.stdout.readline()
            return msgspec.json.decode(line, type=Outcome)
        except (OSError, msgspec.MsgspecError):
            self.close()
            return Outcome(crash=PROCESS_ENDED)
        finally:
            timer.cancel()

    def close(self) -> None:
        process, self.process = self.process, None
        if process is not None:
            process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()


def on_threads(count: int, work: Callable[[], None], stop: threading.Event) -> None:
    """Runs ``work`` on ``count`` threads.  ``work`` must check ``stop`` between runs; an interrupt sets it."""
    threads = [threading.Thread(target=work) for _ in range(count)]
    for thread in threads:
        thread.start()
    try:
        for thread in threads:
            thread.join()
    except KeyboardInterrupt:
        stop.set()
        for thread in threads:
            thread.join()


Progress = Callable[[int, int, str], None]  # runs finished, runs of this look, description


class Comparing:
    """One comparison.  With ``independent``, B runs on other seeds than A, to measure the benefit of common ones."""

    def __init__(
        self, a: Version, b: Version, scenario: Scenario, store: Store, *, costs: Costs | None = None,
        looks: Sequence[int] = LOOKS, margin: float = 0.005, budget_s: float = 240.0, first_seed: int = 1,
        workers: int = 0, alpha: float = ALPHA, independent: bool = False, progress: Progress | None = None,
    ) -> None:
        self.a, self.b, self.scenario, self.store = a, b, scenario, store
        self.costs = costs or Costs()
        self.looks, self.margin, self.budget_s = list(looks), margin, budget_s
        self.first_seed, self.alpha, self.progress = first_seed, alpha, progress
        self.seed_offset = 1_000_000 if independent else 0
        self.levels = bounds(alpha, self.looks)
        self.count = workers or max(1, (os.cpu_count() or 2) // 2)
        self.model = model_digest()
        self.outcomes: dict[tuple[int, int], Outcome] = {}  # by side and seed
        self.made = 0
        self.began = 0.0
        self.stop = threading.Event()

    # ------------------------------------------------------------ runs

    def _task(self, version: Version, seed: int) -> dict[str, Any]:
        return {"scenario": json.loads(to_json(self.scenario)), "seed": seed, "settings": version.settings,
                "connections": version.connections, "costs": msgspec.to_builtins(self.costs)}

    def _out_of_time(self) -> bool:
        return time.monotonic() - self.began > self.budget_s

    def _run(self, seeds: Sequence[int]) -> None:
        """Executes the missing runs of a look on worker processes."""
        todo: queue.SimpleQueue[tuple[int, int, dict[str, Any], str]] = queue.SimpleQueue()
        pending = 0
        for seed in seeds:
            for side, version in enumerate((self.a, self.b)):
                if (side, seed) in self.outcomes:
                    continue
                task = self._task(version, seed + side * self.seed_offset)
                key = key_of(task, version.digest, self.model)
                cached = self.store.get(key)
                if cached is not None:
                    self.outcomes[side, seed] = cached
                else:
                    todo.put((side, seed, task, key))
                    pending += 1
        done = 0
        lock = threading.Lock()

        def work() -> None:
            nonlocal done
            workers = (Worker(self.a), Worker(self.b))
            try:
                while not self.stop.is_set() and not self._out_of_time():
                    try:
                        side, seed, task, key = todo.get_nowait()
                    except queue.Empty:
                        return
                    outcome = workers[side].run(task)
                    if outcome.crash != PROCESS_ENDED:  # not cached: the machine may have ended it
                        self.store.put(key, outcome)
                    with lock:
                        self.outcomes[side, seed] = outcome
                        self.made += 1
                        done += 1
                        if self.progress is not None:
                            self.progress(done, pending, f"{len(seeds)} seeds")
            finally:
                for worker in workers:
                    worker.close()

        on_threads(min(self.count, pending), work, self.stop)

    # ------------------------------------------------------------ looks

    def run(self) -> Comparison:
        """Performs the looks in order.  Runs are cached, so a repeated call resumes where this one stopped."""
        self.began = time.monotonic()
        ended = "no more looks"
        known: Comparison | None = None
        for look, count in enumerate(self.looks):
            seeds = list(range(self.first_seed, self.first_seed + count))
            self._run(seeds)
            complete = all((side, seed) in self.outcomes for side in (0, 1) for seed in seeds)
            if not complete:
                # An incomplete look has no planned error, so the conclusion of the previous look stands.
                ended = "interrupted" if self.stop.is_set() else "out of time"
                break
            known = self._look(seeds, self.levels[look], "decided")
            if known.word is not Conclusion.UNKNOWN or known.same:
                ended = "decided"
                break
        if known is None:
            seeds = list(range(self.first_seed, self.first_seed + self.looks[0]))
            return self._look(seeds, self.levels[0], ended, final=False)
        return msgspec.structs.replace(known, ended=ended, sentence=self._sentence(known, ended),
                                       took_s=time.monotonic() - self.began, made=self.made)

    def _look(self, seeds: list[int], alpha: float, ended: str, final: bool = True) -> Comparison:
        bad, good = [], []
        for seed in seeds:
            pair = [self.outcomes.get((side, seed)) for side in (0, 1)]
            for version, outcome in zip((self.a, self.b), pair, strict=True):
                if outcome is not None and not outcome.valid:
                    text = outcome.crash or "; ".join([*map(str, outcome.broken), *outcome.doubts])
                    bad.append(ExcludedRun(version.name, seed, text))
            if all(x is not None and x.valid for x in pair):
                good.append(seed)
        figures = self._figures(good, alpha) if len(good) >= 2 else {}
        main = figures.get(MAIN)
        word = main.word if main is not None and final else Conclusion.UNKNOWN
        same = bool(good) and not bad and all(
            self.outcomes[0, s].digest == self.outcomes[1, s].digest for s in good
        )
        rows = {name: [self.outcomes[side, s].seconds for s in good] for side, name in enumerate("ab")}
        found = Comparison(self.a.name, self.b.name, self.scenario.name, good, figures, bad, word, "", ended, same,
                           time.monotonic() - self.began, self.made, rows)
        return msgspec.structs.replace(found, sentence=self._sentence(found, ended))

    def _figures(self, seeds: list[int], alpha: float) -> dict[str, Figure]:
        a = [self.outcomes[0, s].figures for s in seeds]
        b = [self.outcomes[1, s].figures for s in seeds]
        names = [name for name in a[0] if all(name in row for row in (*a, *b))]
        # The sign is flipped where lower is better, so that a positive difference is always better.
        signed = {n: [(y[n] - x[n]) * (-1 if n in LOWER_IS_BETTER else 1) for x, y in zip(a, b, strict=True)]
                  for n in names}
        main = paired(signed[MAIN], 1 - alpha)
        judged = {MAIN: (main, main.excludes(0.0)),
                  **holm({n: d for n, d in signed.items() if n != MAIN}, alpha)}
        out = {}
        for name in names:
            interval, differs = judged[name]
            both = [row[name] for row in (*a, *b)]
            out[name] = Figure(
                spread([row[name] for row in a], both), spread([row[name] for row in b], both), interval,
                paired(signed[name]), bootstrapped(signed[name]), judge(interval, differs, self.margin),
            )
        return out

    def _sentence(self, c: Comparison, ended: str) -> str:
        bad = f"; {len(c.bad)} runs are excluded (crashes, broken rules)" if c.bad else ""
        if c.same:
            return f"B gives the same records as A on all {len(c.seeds)} seeds{bad}."
        main = c.figures.get(MAIN)
        if main is None:
            return f"Not known: fewer than two seeds on which both versions gave a valid run{bad}."
        i = main.plain
        numbers = f"{100 * i.mean:+.2f} points of whole service, 95% {100 * i.low:+.2f} to {100 * i.high:+.2f}"
        seeds = f"{len(c.seeds)} seeds"
        if c.word is Conclusion.BETTER:
            return f"B is better than A: {numbers}, {seeds}{bad}."
        if c.word is Conclusion.WORSE:
            return f"B is worse than A: {numbers}, {seeds}{bad}."
        if c.word is Conclusion.ALIKE:
            return f"No difference larger than {100 * self.margin:.2g} points: {numbers}, {seeds}{bad}."
        return f"Not known yet ({ended}): {numbers}, {seeds}{bad}."
