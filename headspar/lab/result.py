"""The result of a run, and the error of one that could not be carried out."""

from __future__ import annotations

from typing import Any

import msgspec

from headspar.world.audit import Verdict
from headspar.world.records import Recording
from headspar.world.service import Service


class RunError(RuntimeError):
    """A run that could not be carried out; the message is one line."""


class Result(msgspec.Struct):
    """The result of a run: the verdict of the audit, the service figures and the records.

    ``link_faults``: faults that the proxies between nodes and servers injected, by kind.
    """

    scenario: str
    seed: int
    plan_digest: str
    rps: float
    verdict: Verdict
    service: Service
    recording: Recording
    link_faults: dict[str, int] = {}

    def summary(self) -> dict[str, Any]:
        """The figures of service, audit and lateness as a JSON object, without the records."""
        v, s = self.verdict, self.service
        return {
            "scenario": self.scenario, "seed": self.seed, "plan": self.plan_digest, "offered_rps": self.rps,
            "valid": v.valid, "clean": v.clean, "doubts": v.doubts, "counts": v.counts, "kinds": v.kinds,
            "violations": [x.line() for x in v.violations[:20]],
            "taken": v.taken, "served": v.served, "refused": v.refused, "failed": v.failed, "excused": v.excused,
            "repeats_dropped": v.repeats_dropped, "cold_peak_ratio": round(v.cold_peak_ratio, 3),
            "cold_number_ratio": round(v.cold_number_ratio, 3),
            "service": {
                "goal": round(s.goal, 4), "whole": round(s.whole, 4), "worst_10_s": round(s.worst_10_s, 4),
                "worst_class": round(s.worst_class, 4), "worst_agent": round(s.worst_agent, 4),
                "by_class": {k: round(x, 4) for k, x in s.by_class.items()},
                "by_agent": {k: round(x, 4) for k, x in s.by_agent.items()},
                "first_tries": s.first_tries, "tries": s.tries, "amplification": round(s.amplification, 4),
            },
            "lateness_ms": {x.part: {"p50": x.p50 / 1000, "p99": x.p99 / 1000, "most": x.most / 1000}
                            for x in self.recording.lateness},
        }
