"""The figures of a run, which comparisons use; without I/O.

A higher value is better, except for the figures in ``LOWER_IS_BETTER``.  Shares lie between 0 and 1.
"""

from __future__ import annotations

import msgspec

from headspar.model.simulate import Result
from headspar.world.audit import Verdict
from headspar.world.plan import SECOND
from headspar.world.records import Recording
from headspar.world.service import Service

LOWER_IS_BETTER = ("refused", "attempts_per_try", "cold_peak", "recovery_s")
RECOVERED_SHARE = 0.9  # of the service before the first fault
HOLD_S = 3  # service has recovered if it stays above RECOVERED_SHARE for this long


class Outcome(msgspec.Struct, frozen=True):
    """The stored result of a run.  ``crash`` is the error that ended it, if any; the run has no figures then."""

    figures: dict[str, float] = {}
    broken: dict[str, int] = {}  # rule violations, by rule and kind
    doubts: list[str] = []
    seconds: list[float] = []  # worth answered in time / worth requested, by the second of the first client attempt
    digest: str = ""
    crash: str = ""
    took_s: float = 0.0
    tries: int = 0

    @property
    def valid(self) -> bool:
        """Whether the figures are valid: the run ended, the audit has no doubts and no rule was broken."""
        return not (self.crash or self.broken or self.doubts)


def recovery_s(recording: Recording, service: Service) -> float:
    """Returns the seconds from the first fault until service stays at ``RECOVERED_SHARE`` of its earlier level for
    ``HOLD_S``; the time to the end of the run if it does not recover, 0 without a fault."""
    rules = recording.rules
    faults = [m.at for m in recording.marks if m.at > rules.began_at and m.what not in ("node_exit", "mend")]
    if not faults:
        return 0.0
    first = max(0, (min(faults) - rules.began_at) // SECOND)
    ratios = [s.worth.ratio for s in service.seconds]
    before = sum(ratios[:first]) / first if first else 1.0
    for i in range(first + 1, len(ratios) - HOLD_S + 1):
        if min(ratios[i:i + HOLD_S]) >= RECOVERED_SHARE * before:
            return float(i - first)
    return float(len(ratios) - first)


def of_run(recording: Recording, verdict: Verdict, service: Service) -> dict[str, float]:
    """Returns all figures from the records of a run in the model or the lab."""
    out = {"goal": service.goal, "whole": service.whole, "worst_10_s": service.worst_10_s}
    out.update({f"class {name}": x for name, x in service.by_class.items()})
    out.update({f"agent {name}": x for name, x in service.by_agent.items()})
    tries = max(1, len(recording.asks))
    out["refused"] = verdict.refused / tries
    out["attempts_per_try"] = len(recording.sent) / max(1, service.first_tries)
    out["cold_peak"] = verdict.cold_peak_ratio
    out["recovery_s"] = recovery_s(recording, service)
    return out


def outcome(result: Result, took_s: float) -> Outcome:
    v = result.verdict
    return Outcome(of_run(result.recording, v, result.service), v.kinds, v.doubts,
                   [round(s.worth.ratio, 5) for s in result.service.seconds], result.digest(), "", took_s,
                   len(result.recording.asks))
