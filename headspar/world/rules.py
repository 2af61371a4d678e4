"""Derives a node's settings and the audit's parameters from a scenario.  Performs no I/O."""

from __future__ import annotations

from typing import Any

from headspar.world.plan import Plan
from headspar.world.records import AuditParameters, CallRule, ClassRule, ServerRule
from headspar.world.scenario import Scenario


def settings(s: Scenario, plan: Plan, me: int) -> dict[str, Any]:
    """The settings object in the configuration of node number ``me`` (from 0)."""
    total = sum(a.share for a in s.agents)
    rules = s.rules
    idle_s = min(g.idle_told_s or g.idle_s for g in s.servers)
    return {
        "az": s.servers[0].sites[me % len(s.servers[0].sites)], "balancers": s.nodes.count, "me": me,
        "counted_by": "work", "quantum_us": 5000, "over_share_worth": rules.over_share_worth,
        "registry_mode": "subscribe" if s.discovery.mode == "asked" else "push",
        "result_mix": {"worst_class": 0.05}, "prices": {"cross_zone": 0.01},
        "classes": [
            {"name": c.name, "aim_us": int(c.aim_ms * 1000), "give_up_us": int(c.deadline_ms * 1000),
             "effect": c.effect, "group": c.group, "window_us": int(c.window_ms * 1000), "worth": c.worth,
             "late_worth": c.late_worth, "stream": False} for c in s.classes
        ],
        "customers": [
            {"name": a.name, "share": a.share / total, "quota_rps": plan.quota_rps * a.share / total}
            for a in s.agents
        ],
        "invariants": {
            "answer_slack_us": 20_000, "ask_every_us": int(rules.ask_every_s * 1e6),
            "cold_share": min(g.cold_share for g in s.servers), "drain_grace_us": int(rules.drain_grace_s * 1e6),
            "fall_multiple": rules.fall_multiple, "fall_us": int(rules.fall_s * 1e6),
            "ramp_time_us": int(max(g.ramp_s for g in s.servers) * 1e6),
        },
        "policy_limits": {
            "try_limit": s.nodes.max_attempts, "cancel": True, "second_copies": s.nodes.second_copies,
            "may_tell": s.nodes.peers, "connect_timeout_us": int(s.nodes.connect_timeout_ms * 1000),
            "idle_close_us": int(idle_s * 1e6), "retry_after": s.nodes.retry_after, "max_retry_after_us": 2_000_000,
        },
    }


def audit_parameters(s: Scenario, plan: Plan, began_at: int) -> AuditParameters:
    """The audit's parameters for a run that began at ``began_at`` (us of the monotonic clock)."""
    rules = s.rules
    return AuditParameters(
        answer_slack_us=int(rules.answer_slack_ms * 1000), drain_grace_us=int(rules.drain_grace_s * 1e6),
        fall_multiple=rules.fall_multiple, fall_us=int(rules.fall_s * 1e6), max_attempts=s.nodes.max_attempts,
        second_copies=s.nodes.second_copies, over_share_worth=rules.over_share_worth,
        lateness_us=int(rules.lateness_ms * 1000), began_at=began_at, length_us=int(s.length_s * 1e6),
        classes=[ClassRule(c.name, c.effect, c.group, int(c.window_ms * 1000), int(c.aim_ms * 1000), c.worth,
                           c.late_worth) for c in s.classes],
        agents=[(a.name, a.share) for a in s.agents], quota_rps=plan.quota_rps, mean_us=plan.mean_us,
        servers={p.id: ServerRule(p.site, p.cell, p.capacity, p.cold_share, p.ramp_us, p.connection_cost_us)
                 for p in plan.servers},
        calls=[CallRule(c.cls, c.agent, c.work_us) for c in plan.calls],
        told_after_us=int(rules.told_after_s * 1e6),
    )
