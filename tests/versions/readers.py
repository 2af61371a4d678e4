"""Reads samples with the program of this checkout and checks the result.

    python -m tests.versions.readers FOLDER    # prints a line of JSON with the error of each sample, or null

Each reader imports what it needs itself, because an earlier checkout does not have all of it.
"""

from __future__ import annotations

import json
import sqlite3
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from tests.versions import forms

NOW = 5_000_000


def agrees(raw: Any, read: Any) -> bool:
    """Returns whether the decoded value agrees with the sample in all fields that this version still has."""
    if isinstance(raw, dict) and isinstance(read, dict):
        return all(agrees(raw[key], read[key]) for key in raw.keys() & read.keys())
    if isinstance(raw, list) and isinstance(read, list):
        return len(raw) == len(read) and all(map(agrees, raw, read))
    return bool(raw == read)


def module(version: int = 5) -> Any:
    """Returns the decision module of the samples before it learns of a drain."""
    from headspar.decide import Balancer
    from headspar.interface import BackendEntry, BackendList, Health, ListKind, RequestClass, Settings, Tenant
    balancer = Balancer(Settings([RequestClass("look", 400_000, 2_000_000)], balancers=3, may_tell_peers=True,
                                 tenants=[Tenant("t1", 100.0, 1.0)]), 3)
    entries = [BackendEntry(f"10.0.0.{i}:80", "ab"[i % 2], "k", i, Health.READY, 1.0, 0) for i in range(4)]
    balancer.handle(NOW, [BackendList(ListKind.FULL, version, entries)])
    return balancer


def read_datagram(text: str) -> None:
    from headspar.interface import PeerMessage
    data = bytes.fromhex(text)
    balancer = module()
    balancer.handle(NOW, [PeerMessage(0, data)])
    assert sum(x.peers for x in balancer.membership.backends.values()) > 0
    if not hasattr(balancer.peers, "avoided_until") and not hasattr(balancer.peers, "spared"):
        return  # a version whose datagrams contain no drains
    avoided = forms.first_of(balancer.peers, "avoided_until", "spared")
    assert not avoided
    balancer.handle(NOW, [PeerMessage(1, data)])
    assert len(avoided) == 1 and len(balancer.picker.pool) == 3  # two peers report it as out


def read_beliefs(text: str) -> None:
    from headspar.handover import beliefs as b
    from headspar.interface import Recalled
    found = b.decode(text.encode())
    raw = json.loads(text)
    assert getattr(found, "left", []) == [] and found.known == raw["known"]
    assert agrees(raw["experience"]["capacity"], found.experience.capacity) and found.experience.capacity["k"] > 0
    assert found.experience.classes["look"] == raw["experience"]["classes"]["look"]
    assert {s.id for s in found.experience.servers} >= {f"10.0.0.{i}:80" for i in range(3)}
    assert found.learned.limits == {"10.0.0.1:80": 7} and found.learned.use_us == 60_000.0
    balancer = module()
    balancer.handle(NOW, [Recalled(found.experience)])
    assert balancer.membership.backends["10.0.0.0:80"].health < 0.4 and balancer.by_name["look"].count > 100


def read_handover(text: str) -> None:
    from headspar.handover import messages as h
    sockets = {"offer": 3, "clients": 2}
    seen = []
    for line in text.splitlines():
        raw = json.loads(line)
        found = h.decode(line.encode(), sockets.get(raw["say"], 0))
        seen.append(raw["say"])
        assert all(getattr(found, f) == raw[f] for f in h.FIELDS[type(found)] if f in raw)
    assert set(seen) <= set(h.KINDS) and len(seen) >= 6


def read_keeper_state(text: str) -> None:
    from headspar.keeper import state
    found = state.decode(text.encode())
    raw = json.loads(text.splitlines()[1])
    assert agrees(raw, msgspec.to_builtins(found)) and found.fence.epoch == 3
    assert found.lasting.present == forms.GENERATION and found.processes[0].pid == 3


def read_keeper_words(text: str) -> None:
    from headspar.keeper import messages as m
    lines = text.splitlines()
    for line in lines:
        assert agrees(json.loads(line), msgspec.to_builtins(m.decode(line.encode())))
    seen = {json.loads(line)["say"] for line in lines}
    assert seen >= {"touch", "fetch", "try", "confirm", "hold", "back", "status"}


def read_keeper_reply(text: str) -> None:
    from headspar.keeper import messages as m
    found = msgspec.json.decode(text, type=m.Reply)
    assert found.status is not None and found.status.running == forms.GENERATION
    assert agrees(json.loads(text), msgspec.to_builtins(found))


def read_record(text: str, folder: Path) -> None:
    from headspar.rollout.record import Record
    path = folder / "record.db"
    db = sqlite3.connect(path)
    db.executescript(text)
    db.close()
    record = Record(path)
    latest = record.latest()
    assert latest is not None
    change, began = latest
    assert began == 10.0 and change.stages and change.before == forms.GENERATION
    assert [step.command.say for step in record.steps(change.id)] == ["fetch", "try"]
    assert [step.outcome for step in record.steps(change.id)] == [None, "done"] and record.last_step == 2
    assert record.moves(change.id)[0].after == "stage under way" and len(record.requests(change.id)) == 1
    if "INSERT INTO \"look\"" in text and hasattr(record, "looks"):
        baseline = forms.first_of(record, "baseline", "before")
        assert baseline(change.id) and record.powers(change.id) and record.looks(change.id)[0].seen
    # This version can also write to it.
    epoch = record.acquire("c2", 1e9, 5.0)
    assert epoch is not None and epoch > 1
    number = record.intent(epoch, change.id, record.steps(change.id)[0].command, 2e9)
    assert number == 3
    record.close()


def read_flight(text: str) -> None:
    from headspar.recorder.line import Reader
    reader = Reader()
    read_line = forms.first_of(reader, "read_line", "take")
    rows = [row for line in text.splitlines() if (row := read_line(line)) is not None]
    assert reader.node == "n0" and len(rows) == 1 and rows[0].counts["served"] > 100
    assert len(rows[0].servers) == 4 and rows[0].k > 0


def read_work(text: str) -> None:
    from headspar.keeper import messages as m
    raw = json.loads(text)
    found = msgspec.convert(raw, m.Work)
    assert found.counts["taken"] == 2 and found.counts["refused:look"] == 1 and found.gauges == {"rss_mb": 40.0}
    assert agrees(raw, msgspec.to_builtins(found))


def read_identity(text: str) -> None:
    raw = json.loads(text)
    assert raw["pid"] == 7 and raw["started"] == 1 and raw["settings"] == "5e" * 32 and raw["program"] == "9a" * 32
    assert {"name", "boot", "generation", "servers", "cold"} <= raw.keys()


READ: dict[str, Callable[..., None]] = {
    form: globals()[f"read_{form}"] for form in forms.FORMS
}


def read(form: str, text: str, folder: Path) -> None:
    if form == "record":
        read_record(text, folder)
    else:
        READ[form](text)


def main() -> None:
    wrong: dict[str, str | None] = {}
    for path in sorted(Path(sys.argv[1]).iterdir()):
        with tempfile.TemporaryDirectory() as folder:
            try:
                read(path.name.rpartition("-")[0], path.read_text(), Path(folder))
                wrong[path.name] = None
            except Exception as error:
                wrong[path.name] = f"{type(error).__name__}: {error}"[:200]
    print(json.dumps(wrong))


if __name__ == "__main__":
    main()
