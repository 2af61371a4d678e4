"""Fits the network delays to the records of a lab run and reports where the model deviates; without I/O.

For each client attempt that was served by its first attempt the lab records four times: sent by the caller, received
in full by the server, finished there, answered at the caller.  The request path is one leg from the caller, the
node's processing of an arrival and an attempt, and one leg to the server.  The response path is one leg, the
processing of an answer, and one leg.  A node's processor costs come from ``benchmarks.node_cpu`` and are not fitted.
The rest of the median path times gives the medians of the legs, and the spread of the path times gives their spread.
Only quiet seconds are used, because the model itself accounts for the queueing delay of a busy node.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, log, sqrt

import msgspec
import numpy as np

from headspar.model.costs import Costs
from headspar.world.plan import SECOND
from headspar.world.records import AttemptResult, ClientOutcome, Recording
from headspar.world.service import measure

MIN_SAMPLES = 200  # client attempts
QUIET_QUANTILE = 0.5  # a second is quiet if it has at most this quantile of client attempts


class CalibrationError(ValueError):
    """The records are not sufficient; the message is one line."""


class PathTimes(msgspec.Struct):
    """Request and response path times in microseconds of client attempts served by their first attempt."""

    there: list[int]
    back: list[int]


def path_times(recording: Recording) -> PathTimes:
    """Returns the path times of the quiet seconds of a run."""
    rules = recording.rules
    first = {(s.call, s.attempt): s for s in reversed(recording.sent)
             if s.fate in (AttemptResult.DONE, AttemptResult.REPEAT)}
    count: dict[int, int] = {}
    for a in recording.asks:
        second = (a.sent_at - rules.began_at) // SECOND
        count[second] = count.get(second, 0) + 1
    max_quiet = float(np.quantile(list(count.values()), QUIET_QUANTILE)) if count else 0.0
    out = PathTimes([], [])
    for a in recording.asks:
        s = first.get((a.call, a.attempt))
        if s is None or a.end is not ClientOutcome.ANSWER or a.status != 200:
            continue
        if count[(a.sent_at - rules.began_at) // SECOND] <= max_quiet and s.arrived_at >= a.sent_at:
            out.there.append(s.arrived_at - a.sent_at)
            out.back.append(max(1, a.ended_at - s.ended_at))
    return out


def fit(recordings: Iterable[Recording], known: Costs | None = None) -> Costs:
    """Returns costs whose delays reproduce the recorded path times; the processor costs of ``known`` are kept.

    Raises ``CalibrationError`` for fewer than ``MIN_SAMPLES`` usable client attempts."""
    known = known or Costs()
    there: list[int] = []
    back: list[int] = []
    for recording in recordings:
        paths = path_times(recording)
        there += paths.there
        back += paths.back
    if len(there) < MIN_SAMPLES:
        raise CalibrationError(f"only {len(there)} client attempts were served by their first attempt in quiet "
                               f"seconds, at least {MIN_SAMPLES} are needed")
    medians = float(np.median(there)), float(np.median(back))
    legs = [max(4.0, medians[0] - known.arrival - known.attempt), max(4.0, medians[1] - known.answer)]
    # A path has two legs; the sum of two log-normal legs with spread s has a spread of about s / sqrt(2).
    spreads = []
    for row, median, work in ((there, legs[0], known.arrival + known.attempt), (back, legs[1], known.answer)):
        # The lower side, as waits for a connection lengthen some paths.
        lower = min(median, max(1.0, float(np.quantile(row, 0.16)) - work))
        spreads.append(min(2.0, sqrt(2) * max(0.05, log(median / lower))))
    each = sum(legs) / 4
    mean = sum(spreads) / 2
    # The median of the sum of two legs exceeds twice their median by a factor of about exp(s * s / 4).
    each /= exp(mean * mean / 4)
    return msgspec.structs.replace(known, client_us=round(each, 1), server_us=round(each, 1),
                                   client_spread=round(mean, 3), server_spread=round(mean, 3))


class Residual(msgspec.Struct, frozen=True):
    """One figure as measured in the lab and as given by the model."""

    what: str
    lab: float
    model: float

    @property
    def off(self) -> float:
        return self.model - self.lab


def _latencies(recording: Recording, cls: int) -> list[int]:
    return sorted(a.ended_at - a.sent_at for a in recording.asks
                  if recording.rules.calls[a.call].cls == cls and a.end is ClientOutcome.ANSWER and a.status == 200)


def residuals(lab: Recording, model: Recording) -> list[Residual]:
    """Compares the figures of the same run in the lab and in the model: overall, in the worst 10 s and by class."""
    one, two = measure(lab), measure(model)
    rows = [Residual("whole", one.whole, two.whole), Residual("worst 10 s", one.worst_10_s, two.worst_10_s),
            Residual("client attempts per call", one.amplification, two.amplification),
            Residual("attempts per call", len(lab.sent) / max(1, one.first_tries),
                     len(model.sent) / max(1, two.first_tries))]
    for i, spec in enumerate(lab.rules.classes):
        rows.append(Residual(f"{spec.name} service", one.by_class.get(spec.name, 0.0),
                             two.by_class.get(spec.name, 0.0)))
        a, b = _latencies(lab, i), _latencies(model, i)
        if a and b:
            for share in (50, 95):
                rows.append(Residual(f"{spec.name} p{share} ms", a[len(a) * share // 100] / 1000,
                                     b[len(b) * share // 100] / 1000))
    return rows


class Prediction(msgspec.Struct, frozen=True):
    """The prediction interval for a figure of one more run, at confidence ``level``."""

    figure: str
    low: float
    mean: float
    high: float
    level: float
    runs: int

    def contains(self, value: float) -> bool:
        return self.low <= value <= self.high


def predict(figure: str, values: list[float], level: float = 0.9, own_error: float = 0.01) -> Prediction:
    """Returns a prediction interval from runs of the model.

    ``own_error`` is the residual error of the calibrated model: its standard deviation against the lab beyond the
    variation between runs.  Raises ``CalibrationError`` for fewer than three values."""
    from scipy import stats  # type: ignore[import-untyped]

    v = np.asarray(values, dtype=float)
    if len(v) < 3:
        raise CalibrationError("a prediction needs at least three runs")
    t = float(stats.t.ppf((1 + level) / 2, len(v) - 1))
    half = t * sqrt(float(v.var(ddof=1)) * (1 + 1 / len(v)) + own_error**2)
    mean = float(v.mean())
    return Prediction(figure, mean - half, mean, min(1.0, mean + half), level, len(v))
