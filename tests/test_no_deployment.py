"""Nothing in the program is fitted to one deployment: no name of one stands in its text, and names decide nothing."""

from __future__ import annotations

import random
import re
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from headspar.decide import Balancer
from headspar.interface import (
    Action,
    AttemptEnded,
    BackendEntry,
    BackendList,
    Event,
    Health,
    ListKind,
    Outcome,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from tests.helpers import settings
from tests.loopback import ROOT

# Deployments whose site files are not in the repository.
KNOWN = """
cobranza-sur caja-web consultar-deuda registrar-pago anular-pago cierre-caja camana mollendo majes c2-rapido c2-normal
bodegas-unidas caja-valle red-pagos-sur farmacia-costa agente-chili tienda-pampa botica-puerto kiosko-majes arequipa
riga-refunds form-servers form-status stamp-check payout riga-centrs daugavpils liepaja fast-1c slow-1c
dzintars-veikali vecriga-amber kalnu-modes jurmala-pulksteni sigulda-amatnieki
""".split()


def site_names(path: Path) -> set[str]:
    """The names that a site file gives; plain words of one part may stand anywhere in a program."""
    site: dict[str, Any] = tomllib.loads(path.read_text())
    rows = [row for part in ("tier", "class", "tenant") for row in site.get(part, ())]
    kinds = [kind for tier in site.get("tier", ()) for kind in tier.get("kind", ())]
    names = {site["name"], *site["net"]["zones"], *(row["name"] for row in rows + kinds)}
    return {name for name in names if "-" in name}


def program() -> list[Path]:
    """What runs anywhere, and what the platform starts it with."""
    files = [p for p in (ROOT / "headspar").rglob("*") if p.suffix in (".py", ".toml")]
    return files + [ROOT / "deploy" / "balancer.toml", ROOT / "deploy" / "operator.toml"]


def found(names: set[str], text: str) -> set[str]:
    return {name for name in names if re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text, re.IGNORECASE)}


def test_the_program_names_no_deployment() -> None:
    sites = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
    assert len(sites) >= 2
    names = set(KNOWN).union(*(site_names(path) for path in sites))
    files = program()
    assert len(files) > 100
    assert {str(p): hit for p in files if (hit := found(names, p.read_text()))} == {}


@pytest.mark.parametrize("text", ['if cls.name == "issue-permit":', "# as in Majes", "x = 'berth-fee'"])
def test_a_name_would_be_found(text: str) -> None:
    names = set(KNOWN) | site_names(ROOT / "deploy" / "sites" / "harbour-permits.toml")
    assert found(names, text)


def played(s: Settings, zones: dict[str, str], kinds: dict[str, str], seed: int) -> list[Action]:
    """What a module does in twenty seconds of traffic before twelve servers, some bad, some cold."""
    rng = random.Random(seed)
    balancer = Balancer(s, 7)
    entries = [BackendEntry(f"s-{i}", zones["ab"[i % 2]], kinds["xy"[i % 2]], i % 4, Health.READY, 1.0,
                            1 if i < 3 else 0) for i in range(12)]
    due: list[tuple[int, int, Event]] = [(0, 0, BackendList(ListKind.CACHED, 1, entries))]
    at = 0
    for i in range(3000):
        at += int(rng.expovariate(1 / 6_000))
        cls, tenant = rng.choice(s.classes), rng.choice([None, *s.tenants])
        name, hint, again = tenant.name if tenant else None, rng.randint(2_000, 80_000), rng.random() < 0.2
        arrival = RequestArrived(f"r{i}", cls.name, at + cls.deadline_us, hint, None, name, again)
        due.append((at, i + 1, arrival))
    serial, actions = len(due), []
    attempts: dict[str, int] = {}
    while due and due[0][0] < 20_000_000:
        now, _, event = due.pop(0)
        for action in balancer.handle(now, [event]):
            actions.append(action)
            serial += 1
            if isinstance(action, Send):
                number = attempts[action.id] = attempts.get(action.id, -1) + 1
                outcome = Outcome.OK if rng.random() < 0.8 else rng.choice(list(Outcome))
                took = rng.randint(5_000, 700_000)
                due.append((now + took, serial, AttemptEnded(action.id, number, action.backend, outcome, took,
                                                             outcome is Outcome.OK)))
            elif isinstance(action, SetTimer):
                due.append((now + action.delay_us, serial, TimerFired(action.token)))
        due.sort(key=lambda row: row[:2])
    return actions


def test_names_of_classes_tenants_zones_and_machines_decide_nothing() -> None:
    ours = settings()
    theirs = replace(
        ours, zone="zz", classes=[replace(c, name=f"class {len(c.name)}{i}") for i, c in enumerate(ours.classes)],
        tenants=[replace(t, name=f"tenant {i}") for i, t in enumerate(ours.tenants)],
    )
    one = played(ours, {"a": "a", "b": "b"}, {"x": "x", "y": "y"}, 1)
    other = played(theirs, {"a": "zz", "b": "b"}, {"x": "quick", "y": "slow"}, 1)
    assert len(one) > 4000 and {type(a).__name__ for a in one} >= {"Send", "Refuse", "Fail", "CancelAttempt"}
    assert [str(a) for a in one if "Log" not in type(a).__name__] == [
        str(a) for a in other if "Log" not in type(a).__name__
    ]
