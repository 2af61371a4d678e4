"""Expiry of learned state: how much of each field is restored from a snapshot.  Pure functions; no I/O, no clock.

A snapshot adds evidence to the defaults of a new process; it never replaces them.  The weight of each field decays
exponentially with age and is capped, so that even a wrong snapshot (from another machine, a day old, or corrupted
but well-formed) affects no decision for longer than ``RECOVERY_BOUND_US``.  Fields that expire within seconds are
not restored at all.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from headspar.connections.plan import Learned
from headspar.handover.beliefs import Beliefs
from headspar.interface import Experience, ServerExperience

MINUTE, HOUR, DAY = 60.0, 3600.0, 86_400.0
MIN_WEIGHT = 0.1  # fields with a lower weight are not restored
MAX_CLOCK_SKEW_S = 5.0  # the clock of one machine stays within this; a later timestamp gives no usable age
UNKNOWN_AGE_S = DAY  # age assumed for a snapshot whose timestamp is in the future
MAX_KIND_SAMPLES = 30.0  # restored speed of a machine kind weighs at most this many answers
MAX_SERVER_SAMPLES = 5.0  # restored speed of one server weighs at most this many answers
MAX_CLASS_SAMPLES = 60.0  # restored latency of a class weighs at most this many answers
MAX_LATENCY_RATIO = 3.0  # observed over expected latency, and the inverse
MAX_LATENCY_SLOPE = 20.0  # latency per unit of work
MAX_BASE_AIMS = 2.0  # base latency of a class, in multiples of its aim
UNHEALTHY_BELOW = 0.4  # health under which a server counts as unhealthy
MAX_UNHEALTHY_SHARE = 0.5  # if more servers look unhealthy, the node that observed them is the likelier cause
RECOVERY_BOUND_US = 2_000_000  # after this, a wrong snapshot has no effect beyond what answers have not yet corrected


class Origin(Enum):
    """Origin of a snapshot relative to the node that reads it."""

    OWN = "this node's"
    NODE = "another node's of this site"
    SITE = "another site's"
    SETTINGS = "from other settings"


OWN, NODE, SITE, SETTINGS = Origin.OWN, Origin.NODE, Origin.SITE, Origin.SETTINGS


@dataclass(frozen=True)
class Field:
    """Expiry of one field of the learned state.

    ``source`` and ``fallback`` tell operators where the value comes from and what applies when it is not restored.
    ``half_life_s``: seconds in which its weight halves; 0: never restored.  ``origins``: those it is restored from.
    """

    name: str
    source: str
    half_life_s: float
    fallback: str
    origins: frozenset[Origin]


ALL_ORIGINS = frozenset(Origin)
FIELDS: dict[str, Field] = {f.name: f for f in (
    Field("capacity", "K, its horizon and rates: lateness of answers under this node's load", 20.0,
          "learned from the first answers on", frozenset((OWN,))),
    Field("health", "outcomes of a server's attempts", 30.0, "healthy", frozenset((OWN,))),
    Field("speed", "a server's latencies compared with those expected", 10 * MINUTE, "that of its kind",
          frozenset((OWN, NODE))),
    Field("limits", "connects that a server refused", 30.0, "no limit known", frozenset((OWN,))),
    Field("kinds", "latencies of one kind of machine", 6 * HOUR, "as expected", ALL_ORIGINS),
    Field("classes", "latencies of one class", 6 * HOUR, "a tenth of the aim, and the hint",
          frozenset((OWN, NODE))),
    Field("work", "hints of typical requests, the costliest class seen", DAY, "built-in estimates",
          frozenset((OWN, NODE, SITE))),
    Field("idle", "results of connection reuse, duration of an answer", 2 * DAY, "the idle time of the settings",
          frozenset((OWN, NODE, SITE))),
    Field("shares", "requests by class", 0.0, "counted again within a second", frozenset()),
    Field("tenants", "tokens of the last two seconds", 0.0, "full", frozenset()),
    Field("retries", "requests that were admitted", 0.0, "the budget of a new node", frozenset()),
    Field("outstanding", "attempts in flight", 0.0, "none: they ended with the process", frozenset()),
    Field("peers", "reports of peers", 0.0, "none received; reports are at most 3 s old", frozenset()),
    Field("list", "discovery", HOUR, "the list of the configuration; age does not revive a draining server",
          frozenset((OWN, NODE))),
)}
CAPACITY_KEYS = ("k", "linger_us", "rate", "work_rate", "served_rate", "steady", "sent_rate")
WORK_KEYS = ("typical_work", "typical_own")


@dataclass(frozen=True)
class Header:
    """Origin of a snapshot.  ``wall_us``: Unix time of its creation; ``offset_us``: the writing node's
    clock minus Unix time."""

    name: str
    site: str
    settings: str
    wall_us: int
    offset_us: int


@dataclass(frozen=True)
class LocalIdentity:
    """The node that reads a snapshot, and the time of the read (same units as ``Header``)."""

    name: str
    site: str
    settings: str
    wall_us: int
    offset_us: int
    aims_us: Mapping[str, float]  # latency targets by class


@dataclass
class Restored:
    """The restored part of a snapshot: state in the form of a hand-over, the weight of each field, and notes on
    rejected values."""

    beliefs: Beliefs
    origin: Origin
    age_s: float | None  # None: from the future
    weights: dict[str, float] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)


def origin_of(header: Header, here: LocalIdentity) -> Origin:
    """Classify a snapshot's origin; differing settings take precedence over differing sites and names."""
    if header.settings != here.settings:
        return SETTINGS
    if header.site != here.site:
        return SITE
    return OWN if header.name == here.name else NODE


def weight(name: str, of: Origin, age_s: float) -> float:
    """Weight of a field, 0 to 1; 0 if it is not restored."""
    f = FIELDS[name]
    if not f.half_life_s or of not in f.origins:
        return 0.0
    share = 0.5 ** (age_s / f.half_life_s)
    return share if share >= MIN_WEIGHT else 0.0


def restore(header: Header, beliefs: Beliefs, here: LocalIdentity) -> Restored:
    """Restore what a process that starts now may use of a snapshot."""
    of, age_s = origin_of(header, here), (here.wall_us - header.wall_us) / 1e6
    out = Restored(beliefs, of, max(0.0, age_s) if age_s >= -MAX_CLOCK_SKEW_S else None)
    age = UNKNOWN_AGE_S if out.age_s is None else out.age_s
    if out.age_s is None:
        out.notes.append(f"timestamp is {-age_s:.0f} s in the future: its age can't be told")
    w = out.weights = {name: weight(name, of, age) for name in FIELDS}
    x = beliefs.experience
    experience = Experience(
        _capacity(x.capacity, w), _kinds(x.kinds, w["kinds"], x.capacity.get("typical_own", 0.0)),
        _classes(x.classes, w["classes"], here.aims_us, out.notes), {}, {},
        x.costliest if w["work"] else 0, 0.0,
        _servers(x.servers, w, here.offset_us - header.offset_us, x.capacity.get("typical_own", 0.0), out.notes),
    )
    learned = beliefs.learned
    kept = Learned(
        {id: limit for id, limit in learned.limits.items() if limit > 0} if w["limits"] else {},
        [max(0.0, v) * w["idle"] for v in learned.broke], [max(0.0, v) * w["idle"] for v in learned.good],
        learned.use_us if w["idle"] else 0.0,
    )
    out.beliefs = replace(beliefs, known=beliefs.known if w["list"] else None, experience=experience, learned=kept)
    return out


def _capacity(raw: Mapping[str, float], w: Mapping[str, float]) -> dict[str, float]:
    """Omit the key ``proven``: without it, a new process may raise its estimate at once."""
    names = (*(CAPACITY_KEYS if w["capacity"] >= 0.5 else ()), *(WORK_KEYS if w["work"] else ()))
    return {name: raw[name] for name in names if name in raw}


def _capped(seen: float, expected: float, w: float, maximum: float) -> tuple[float, float]:
    """Scale the observed and expected latency sums by ``w``, limit them to ``maximum`` and clamp their ratio."""
    if expected <= 0.0 or w <= 0.0:
        return 0.0, 0.0
    ratio = min(MAX_LATENCY_RATIO, max(1.0 / MAX_LATENCY_RATIO, seen / expected))
    expected = min(maximum, expected * w)
    return ratio * expected, expected


def _kinds(raw: Mapping[str, list[float]], w: float, own: float) -> dict[str, list[float]]:
    if not w:
        return {}
    return {kind: list(_capped(seen, expected, w, MAX_KIND_SAMPLES * own))
            for kind, (seen, expected) in raw.items()}


def _classes(raw: Mapping[str, list[float]], w: float, aims: Mapping[str, float], notes: list[str],
             ) -> dict[str, list[float]]:
    out = {}
    for name, row in raw.items():
        aim = aims.get(name)
        if not w or aim is None:
            continue
        count, m_lat, m_cost, v_cost, cov, base, slope = row
        if (base > MAX_BASE_AIMS * aim or slope > MAX_LATENCY_SLOPE or cov > MAX_LATENCY_SLOPE * v_cost
                or m_lat > 4 * MAX_BASE_AIMS * aim):
            notes.append(f"class {name}: implausible latency")
            continue
        out[name] = [float(int(min(MAX_CLASS_SAMPLES, count * w))), m_lat, m_cost, v_cost, cov, base, slope]
    return out


def _servers(raw: list[ServerExperience], w: Mapping[str, float], clock_shift_us: int, own: float, notes: list[str],
             ) -> list[ServerExperience]:
    """``clock_shift_us``: this node's clock minus the clock of the snapshot's timestamps."""
    if not w["health"] and not w["speed"]:
        return []
    out = []
    for s in raw:
        seen, expected = _capped(s.seen, s.expected, w["speed"], MAX_SERVER_SAMPLES * own)
        health = 1.0 - (1.0 - s.health) * w["health"]
        started = s.started_at_us + clock_shift_us if s.started_at_us else 0
        out.append(ServerExperience(s.id, started, health, seen, expected, 0.0, -1, 0, 1_000_000))
    unhealthy = sum(s.health < UNHEALTHY_BELOW for s in out)
    if out and unhealthy > MAX_UNHEALTHY_SHARE * len(out):
        notes.append(f"{unhealthy} of {len(out)} servers unhealthy: health not restored")
        return [replace(s, health=1.0) for s in out]
    return out
