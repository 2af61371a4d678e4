"""Counters over the records of a run of the lab or the model."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from headspar.world.records import AttemptResult, ClientOutcome, Recording


class Ran(Protocol):
    """Result of a run, of the lab or the model."""

    recording: Recording


def outcomes(result: Ran) -> Counter[AttemptResult]:
    return Counter(s.fate for s in result.recording.sent)


def ends(result: Ran) -> Counter[ClientOutcome]:
    return Counter(a.end for a in result.recording.asks)


def marks(result: Ran) -> Counter[str]:
    return Counter(m.what for m in result.recording.marks)
