"""What a killed node of a run finds on its disk when it comes back, true or not; see ``headspar.snapshot``."""

from __future__ import annotations

from dataclasses import replace

from headspar.handover.beliefs import Beliefs
from headspar.interface import Experience, Settings
from headspar.snapshot.expiry import Header, LocalIdentity, Restored, restore

LYING = "lying"  # all that can be told the other way round
OTHER = "other"  # the next node's
AGES = {"fresh": 0.0, "10 min": 600.0, "1 h": 3600.0, "1 day": 86_400.0}
MODES = (*AGES, OTHER, LYING)


def lying(beliefs: Beliefs) -> Beliefs:
    """The sound are ill, the fast slow, and next to nothing can be carried."""
    x = beliefs.experience
    capacity = {**x.capacity, "k": x.capacity.get("k", 0.0) / 1000, "served_rate": 0.0, "steady": 0.0}
    servers = [replace(s, health=max(0.05, 1.0 - s.health), seen=s.expected, expected=s.seen) for s in x.servers]
    kinds = {kind: [expected, seen] for kind, (seen, expected) in x.kinds.items()}
    learned = replace(beliefs.learned, broke=beliefs.learned.good, good=beliefs.learned.broke)
    told: Experience = replace(x, capacity=capacity, servers=servers, kinds=kinds)
    return replace(beliefs, experience=told, learned=learned)


def found(mode: str, beliefs: Beliefs, of: str, made_at: int, me: str, settings: Settings, now: int) -> Restored:
    """What is taken at ``now`` of one that node ``of`` made at ``made_at``, us of the run's clock."""
    age = AGES.get(mode, 0.0)
    header = Header(of, settings.zone, "settings", made_at - int(age * 1e6), 0)
    here = LocalIdentity(me, settings.zone, "settings", now, 0, {c.name: float(c.aim_us) for c in settings.classes})
    return restore(header, lying(beliefs) if mode == LYING else beliefs, here)
