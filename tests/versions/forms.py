"""Writes samples of every data format that processes of different versions exchange; they are kept in ``samples``.

    python -m tests.versions.forms tests/versions/samples    # adds one of each format that has no sample yet

A sample is the output of the program at the time.  It is never changed, because released versions write that format.
The module uses only names that the first versions had, so that earlier checkouts can write their own samples.
"""

from __future__ import annotations

import hashlib
import importlib
import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

SAMPLES = Path(__file__).with_name("samples")
GENERATION = "7f" * 32
NOW = 1_000_000


def first_module(*names: str) -> Any:
    """The first of these modules that exists; earlier versions have earlier names."""
    for name in names[:-1]:
        try:
            return importlib.import_module(name)
        except ModuleNotFoundError:
            continue
    return importlib.import_module(names[-1])


def first_of(holder: Any, *names: str) -> Any:
    """The attribute of ``holder`` under the first of these names that it has; earlier versions have earlier names."""
    for name in names:
        if hasattr(holder, name):
            return getattr(holder, name)
    raise ImportError(f"{holder!r} has none of {', '.join(names)}")


def filled(kind: Any) -> Any:
    """Returns a value of a msgspec type with all fields set."""
    return msgspec.convert(_raw(inspect.type_info(kind), 0), kind)


def _raw(info: Any, depth: int, name: str = "") -> Any:
    if isinstance(info, inspect.StructType):
        of = info.cls.__struct_config__
        tag = {of.tag_field: of.tag} if of.tag is not None else {}
        return tag | {f.encode_name: _raw(f.type, depth + 1, f.name) for f in info.fields}
    if isinstance(info, inspect.UnionType):
        return _raw(next(t for t in info.types if not isinstance(t, inspect.NoneType)), depth, name)
    if isinstance(info, inspect.EnumType):
        return list(info.cls)[-1].value
    if isinstance(info, inspect.LiteralType):
        return info.values[-1]
    if isinstance(info, inspect.DictType):
        return {str(_raw(info.key_type, depth, "key")): _raw(info.value_type, depth, name)}
    if isinstance(info, inspect.ListType | inspect.VarTupleType | inspect.SetType):
        return [_raw(info.item_type, depth, name)]
    if isinstance(info, inspect.TupleType):
        return [_raw(t, depth, name) for t in info.item_types]
    if isinstance(info, inspect.BoolType):
        return True
    if isinstance(info, inspect.IntType):
        return 3
    if isinstance(info, inspect.FloatType):
        return 2.5
    if isinstance(info, inspect.StrType):
        return GENERATION if name in ("generation", "present", "before", "running", "trial", "goal") else f"a {name}"
    return {"some": "thing"}


# ---------------------------------------------------------------- writers of the formats


def _module() -> tuple[Any, list[bytes]]:
    """Returns a decision module that has learned some of everything that it hands over, and its peer messages."""
    from headspar.decide import Balancer
    from headspar.interface import (
        AttemptEnded,
        BackendEntry,
        BackendList,
        Health,
        ListKind,
        Outcome,
        RequestArrived,
        RequestClass,
        Send,
        Settings,
        TellPeers,
        Tenant,
    )
    entries = [BackendEntry(f"10.0.0.{i}:80", "ab"[i % 2], "k", i, Health.READY, 1.0, 0) for i in range(4)]
    balancer = Balancer(Settings([RequestClass("look", 400_000, 2_000_000)], balancers=3, may_tell_peers=True,
                                 tenants=[Tenant("t1", 100.0, 1.0)]), 7)
    now, messages = NOW, []
    balancer.handle(now, [BackendList(ListKind.FULL, 5, entries)])
    entries[3].health = Health.DRAINING
    balancer.handle(now, [BackendList(ListKind.FULL, 6, entries)])
    for i in range(300):
        now += 10_000
        actions = balancer.handle(now, [RequestArrived(f"r{i}", "look", now + 2_000_000, 40_000, tenant="t1")])
        for action in list(actions):
            if isinstance(action, Send) and i < 290:
                outcome = Outcome.ERROR if action.backend == entries[0].backend else Outcome.OK
                actions += balancer.handle(now, [AttemptEnded(action.id, 0, action.backend, outcome, 50_000, True)])
        messages += [action.data for action in actions if isinstance(action, TellPeers)]
    return balancer, [data for data in messages if len(data) > 3]


def datagram() -> str:
    return max(_module()[1], key=len).hex() + "\n"


def beliefs() -> str:
    from headspar.connections.plan import Plan, PlanSettings
    from headspar.handover.beliefs import Beliefs, encode
    plan = Plan(PlanSettings(10, 15_000_000), 1)
    plan.place("10.0.0.1:80", 0)
    plan.servers["10.0.0.1:80"].limit = 7
    plan.use_us = 60_000.0
    known = {"generation": 6, "reset": True, "instances": []}
    return encode(Beliefs(known, _module()[0].experience(), plan.learned())).decode() + "\n"


def handover() -> str:
    from headspar.handover import messages as m
    values: dict[Any, Any] = {bool: True, int: 2, str: "a name"}
    rows = [m.encode(kind(**{name: values[of] for name, of in m.FIELDS[kind].items()})) for kind in m.KINDS.values()]
    return b"\n".join(rows).decode() + "\n"


def keeper_state() -> str:
    from headspar.keeper.state import Saved, encode
    return encode(filled(Saved)).decode()


def keeper_words() -> str:
    from headspar.keeper import messages as m
    return b"".join(m.encode(filled(kind)) for kind in m.Message.__args__).decode()


def keeper_reply() -> str:
    from headspar.keeper import messages as m
    return m.encode(filled(m.Reply)).decode()


def record() -> str:
    """Returns the whole database as SQL."""
    from headspar.rollout.record import Record
    from headspar.rollout.state import Cause, Change, Command, State
    with tempfile.TemporaryDirectory() as folder:
        r = Record(Path(folder) / "record.db")
        change = filled(Change)
        change.state = State.STAGE
        r.create(change, 10.0)
        epoch = r.acquire("c1", 11.0, 5.0)
        assert epoch is not None
        first_of(r, "record_transition", "moved")(epoch, change, State.PLANNED, Cause.START, 12.0)
        for say in ("fetch", "try"):
            number = r.intent(epoch, change.id, Command("n0", say, GENERATION), 13.0)
        r.outcome(epoch, number, "done", "as asked", 14.0)
        r.request(change.id, "pause", "a person", 15.0)
        if hasattr(r, "store_baseline") or hasattr(r, "keep_before"):
            baselines = first_module("headspar.rollout.judge.baseline", "headspar.rollout.judge.before")
            types = first_module("headspar.rollout.judge.types", "headspar.rollout.judge.terms")
            baseline = filled(first_of(baselines, "Baseline", "Before"))
            first_of(r, "store_baseline", "keep_before")(
                epoch, change.id, baseline, [filled(types.Power)], 16.0)
            first_of(r, "record_look", "looked")(epoch, change, 1, filled(types.Verdict), 17.0)
        text = "\n".join(r.db.iterdump())
        r.close()
    return text + "\n"


def flight() -> str:
    from headspar.recorder.line import Writer
    balancer, _ = _module()
    b = balancer.belief()
    w = Writer("n0")
    return "\n".join([w.head(), str(w.names_line(b)), w.row_line(b)]) + "\n"


def work() -> str:
    from headspar.operations import work
    from headspar.operations.ledger import Ledger
    report = first_of(work, "report", "shown")
    ledger = Ledger(["look"])
    ledger.answered("look", 200, 0.7)
    ledger.answered("look", 503)
    return json.dumps(report(ledger, "7:1:boot", GENERATION, 9.5, 120.0, {"rss_mb": 40.0})) + "\n"


def identity() -> str:
    from headspar.identity import Identity
    report = first_of(Identity("n0", {}, False), "report", "shown")("5e" * 32, 18, 2)
    return json.dumps(report | {"pid": 7, "started": 1, "boot": "boot", "program": "9a" * 32}) + "\n"


FORMS: dict[str, Callable[[], str]] = {
    f.__name__: f for f in (datagram, beliefs, handover, keeper_state, keeper_words, keeper_reply, record, flight,
                            work, identity)
}


# ---------------------------------------------------------------- comparing formats


def shape(text: str) -> Any:
    """Returns the names and types of the values, which are equal for two samples of the same format."""
    out = []
    for line in text.splitlines():
        try:
            out.append(_shape(json.loads(line)))
        except ValueError:
            out.append(line.split("VALUES")[0] if "INSERT" in line or "CREATE" in line else "text")
    return out


def _shape(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: _shape(v) for k, v in sorted(value.items())}
    if isinstance(value, list):
        rows = [_shape(v) for v in value]
        return rows if len(rows) < 30 and len({json.dumps(r) for r in rows}) > 1 else rows[:1]
    return "number" if isinstance(value, int | float) and not isinstance(value, bool) else type(value).__name__


def name_of(form: str, text: str) -> str:
    digest = hashlib.sha256(json.dumps(shape(text), sort_keys=True).encode()).hexdigest()[:8]
    return f"{form}-{digest}"


def samples(form: str) -> list[Path]:
    return sorted(SAMPLES.glob(f"{form}-*"))


def main() -> None:
    to = Path(sys.argv[1])
    to.mkdir(parents=True, exist_ok=True)
    for form, write in FORMS.items():
        try:
            text = write()
        except ImportError:
            continue  # an earlier version without this format
        path = to / name_of(form, text)
        if not path.exists():
            path.write_text(text)
            print(path.name)


if __name__ == "__main__":
    main()
