"""Snapshots that a killed node restores when it restarts, correct or corrupted; see ``headspar.snapshot``."""

from __future__ import annotations

from dataclasses import replace

from headspar.handover.beliefs import Beliefs
from headspar.interface import Experience, Settings
from headspar.snapshot.expiry import Header, LocalIdentity, Restored, restore

LYING = "lying"  # a snapshot whose figures are inverted
OTHER = "other"  # the snapshot of the next node
# Seconds by which a snapshot appears older than it is.
AGES = {"fresh": 0.0, "10 min": 600.0, "1 h": 3600.0, "1 day": 86_400.0}
MODES = (*AGES, OTHER, LYING)


def invert(beliefs: Beliefs) -> Beliefs:
    """Inverts a snapshot: healthy servers appear unhealthy, fast ones slow, and the capacity is divided by 1000."""
    x = beliefs.experience
    capacity = {**x.capacity, "k": x.capacity.get("k", 0.0) / 1000, "served_rate": 0.0, "steady": 0.0}
    servers = [replace(s, health=max(0.05, 1.0 - s.health), seen=s.expected, expected=s.seen) for s in x.servers]
    kinds = {kind: [expected, seen] for kind, (seen, expected) in x.kinds.items()}
    learned = replace(beliefs.learned, broke=beliefs.learned.good, good=beliefs.learned.broke)
    inverted: Experience = replace(x, capacity=capacity, servers=servers, kinds=kinds)
    return replace(beliefs, experience=inverted, learned=learned)


def accepted_part(
    mode: str, beliefs: Beliefs, of: str, made_at: int, me: str, settings: Settings, now: int,
) -> Restored:
    """Returns the part that node ``me`` accepts at ``now`` of the snapshot that node ``of`` wrote at ``made_at``.

    Both times are microseconds of the run's clock.  ``mode`` is one of ``MODES``."""
    age = AGES.get(mode, 0.0)
    header = Header(of, settings.zone, "settings", made_at - int(age * 1e6), 0)
    here = LocalIdentity(me, settings.zone, "settings", now, 0, {c.name: float(c.aim_us) for c in settings.classes})
    return restore(header, invert(beliefs) if mode == LYING else beliefs, here)
