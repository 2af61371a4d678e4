"""Fence, restart backoff, slots, generations, durable state on failing disks, failpoints and process handles."""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from headspar import failpoints
from headspar.identity import boot_id, start_ticks, tree_digest
from headspar.keeper.backoff import BackoffSettings, RestartBackoff
from headspar.keeper.core import Course, DurableState, Order, Outcome
from headspar.keeper.fence import Fence, Verdict
from headspar.keeper.generations import GenerationError, Store, digest
from headspar.keeper.processes import Handle
from headspar.keeper.slots import Clock, Slot, assign_slots
from headspar.keeper.state import ProcessRecord, Saved, StateError, StateFile, decode, encode
from tests.loopback import TIMEOUT_S


def test_a_step_counts_once_and_an_epoch_that_is_over_not_at_all() -> None:
    fence = Fence()
    assert fence.judge(1, 5) is Verdict.NEW
    fence = fence.accept(1, 5, {"ok": True})
    assert fence.judge(1, 5) is Verdict.AGAIN and fence.answer == {"ok": True}
    assert fence.judge(1, 4) is Verdict.OLD  # delayed
    assert fence.judge(2, 4) is Verdict.OLD
    fence = fence.accept(2, 0, None)  # a command without a step, of another controller
    assert fence.judge(1, 6) is fence.judge(1, 5) is fence.judge(1, 0) is Verdict.FENCED
    assert fence.judge(2, 5) is Verdict.AGAIN and fence.judge(2, 6) is Verdict.NEW


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 8)), max_size=60))
@settings(max_examples=300, derandomize=True)
def test_whatever_comes_in_whatever_order_steps_rise_and_epochs_do_not_fall(commands: list[tuple[int, int]]) -> None:
    fence, taken = Fence(), []
    for epoch, step in commands:
        if fence.judge(epoch, step) is Verdict.NEW:
            fence = fence.accept(epoch, step, {})
            taken.append((epoch, step))
    assert all(a[0] <= b[0] and a[1] < b[1] for a, b in zip(taken, taken[1:], strict=False))


def test_pauses_grow_to_a_ceiling_and_long_health_forgets() -> None:
    backoff = RestartBackoff(BackoffSettings(1.0, 8.0, 0.5, 60.0), random.Random(1))
    delays = [backoff.restart_delay(1.0) for _ in range(8)]
    assert delays[0] <= 0.5 and all(x <= 8.0 for x in delays) and max(delays[5:]) > 4.0
    assert backoff.restart_delay(61.0) <= 0.5


@given(st.integers(1, 300), st.integers(1, 6), st.integers(1, 9), st.integers(1, 4), st.integers(0, 99))
@settings(max_examples=50, derandomize=True, deadline=None)
def test_slots_hold_no_more_than_the_limits(count: int, sites: int, maximum: int, per_site: int, seed: int) -> None:
    nodes = [f"n{i}" for i in range(count)]
    site = {n: f"s{i % sites}" for i, n in enumerate(nodes)}
    slots = assign_slots(nodes, site, maximum, per_site, 30.0, random.Random(seed))
    assert set(slots) == set(nodes)
    total = next(iter(slots.values())).count
    for at in range(total * 30):
        out = [n for n in nodes if slots[n].open(at + 0.5)]
        assert len(out) <= maximum and all(sum(site[n] == s for n in out) <= per_site for s in set(site.values()))
    assert all(any(slots[n].open(at + 2.0) for at in range(total * 30)) for n in nodes[:5])


def test_a_word_that_was_held_up_does_not_set_the_clock_back() -> None:
    clock = Clock()
    assert clock.read(0.0) is None
    clock.update(100.0, 5.0)
    clock.update(101.0, 36.0)  # arrived 30 s late
    assert clock.read(40.0) == 135.0
    assert Slot(0, 2, 30.0).open(61.6) and not Slot(0, 2, 30.0).open(60.0) and not Slot(0, 2, 30.0).open(75.0)


# ---------------------------------------------------------------- generations


def generation(folder: Path, text: str = "x = 1\n", limit: int = 6) -> Path:
    package = folder / "program" / "headspar"
    package.mkdir(parents=True)
    (package / "__main__.py").write_text(text)
    (folder / "settings.json").write_text(json.dumps({"limit": limit}))
    return folder


def test_a_generation_is_copied_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    source = generation(tmp_path / "a")
    name = digest(source)
    store = Store(tmp_path / "store")
    with pytest.raises(GenerationError, match="digest is .*, not"):
        store.fetch(source, "0" * 64)
    with pytest.raises(GenerationError, match="not a generation name"):
        store.fetch(source, "../../etc")
    assert store.names() == [] and not any((tmp_path / "store").iterdir())
    monkeypatch.setenv(failpoints.VARIABLE, "keeper.fetched=ENOSPC")
    failpoints.arm(os.environ)
    with pytest.raises(GenerationError, match="No space"):
        store.fetch(source, name)
    failpoints.arm({})
    assert store.names() == []
    (source / "program" / "headspar" / "__pycache__").mkdir()
    (source / "program" / "headspar" / "__pycache__" / "x.pyc").write_bytes(b"?")
    store.fetch(source, name)
    assert store.names() == [name] and tree_digest(store.path(name)) == name
    (store.path(name) / "settings.json").write_text("{}")  # modified: copied again
    store.fetch(source, name)
    assert tree_digest(store.path(name)) == name


def test_what_is_no_generation_is_named(tmp_path: Path) -> None:
    (tmp_path / "empty").mkdir()
    with pytest.raises(GenerationError, match="needs program/headspar"):
        digest(tmp_path / "empty")
    source = generation(tmp_path / "a")
    (source / "settings.json").write_text("[1")
    with pytest.raises(GenerationError, match="settings.json"):
        digest(source)


def test_only_the_generations_that_are_needed_stay(tmp_path: Path) -> None:
    store = Store(tmp_path / "store")
    names = []
    for i in range(4):
        source = generation(tmp_path / str(i), limit=i)
        names.append(digest(source))
        store.fetch(source, names[-1])
    assert store.only_settings(names[0], names[1])
    store.remove_others({names[0], names[3]})
    assert store.names() == sorted([names[0], names[3]])
    other = generation(tmp_path / "other", text="x = 2\n")
    store.fetch(other, digest(other))
    assert not store.only_settings(names[0], digest(other)) and not store.only_settings(names[0], names[1])


# ---------------------------------------------------------------- state


def saved(epoch: int = 3) -> Saved:
    order = Order("c", "g", 5.0, slot=Slot(1, 2, 30.0))
    durable = DurableState("p", "b", order, Course.PROVING, 1, Outcome("c", "g", "back", "why"))
    return Saved(durable, Fence(epoch, 7, {"ok": True}),
                 [ProcessRecord(12, 34, "boot", "g", "127.0.0.1:1", "serving", True)])


def test_the_state_comes_back_as_it_was_and_torn_or_changed_it_is_not_taken(tmp_path: Path) -> None:
    data = encode(saved())
    assert decode(data) == saved()
    for cut in range(len(data) - 1):
        with pytest.raises(StateError):
            decode(data[:cut])
    for i in range(len(data) - 1):
        with pytest.raises(StateError):
            decode(data[:i] + bytes([data[i] ^ 1]) + data[i + 1:])
    file = StateFile(tmp_path)
    with pytest.raises(StateError, match="no state file"):
        file.read()
    file.write(saved())
    assert file.read() == saved() and StateFile(tmp_path).read_fence() == (3, 7)
    file.path.write_bytes(b"")
    with pytest.raises(StateError, match="empty"):
        file.read()
    assert StateFile(tmp_path).read_fence() == (3, 7)  # expired epochs stay fenced


@pytest.mark.parametrize("point", ["keeper.state", "keeper.state_written"])
def test_a_keeper_killed_while_it_writes_leaves_the_old_state_or_the_new(tmp_path: Path, point: str) -> None:
    StateFile(tmp_path).write(saved(3))
    code = ("import os; from pathlib import Path; from headspar import failpoints; failpoints.arm(os.environ)\n"
            "from headspar.keeper.state import StateFile\n"
            f"f = StateFile(Path({str(tmp_path)!r})); s = f.read(); s.fence.epoch = 4; f.write(s)")
    env = {**os.environ, failpoints.VARIABLE: f"{point}=kill"}
    done = subprocess.run([sys.executable, "-c", code], env=env, timeout=TIMEOUT_S)
    assert done.returncode == -signal.SIGKILL
    file = StateFile(tmp_path)
    assert file.read().fence.epoch == (4 if point == "keeper.state_written" else 3) and file.read_fence() == (4, 7)


@pytest.mark.parametrize(("fault", "says"), [("ENOSPC", "No space"), ("EROFS", "Read-only"), ("EIO", "Input/output")])
def test_a_full_disk_leaves_what_was_there(fault: str, says: str, tmp_path: Path) -> None:
    file = StateFile(tmp_path)
    file.write(saved(3))
    failpoints.arm({failpoints.VARIABLE: f"keeper.state={fault}"})
    try:
        with pytest.raises(OSError, match=says):
            file.write(saved(4))
    finally:
        failpoints.arm({})
    assert file.read().fence.epoch == 3
    shutil.rmtree(tmp_path)
    with pytest.raises(OSError):
        file.write(saved(5))


@pytest.mark.parametrize("text", ["x", "x=", "=kill", "x=NOSUCH", "x=kill@", "x=kill@y"])
def test_a_failpoint_that_can_not_be_read_is_named(text: str) -> None:
    if text == "x=kill@":
        failpoints.arm({failpoints.VARIABLE: "x=EIO@"})  # no number: the first hit
    else:
        with pytest.raises(failpoints.FailpointError, match="needs NAME"):
            failpoints.arm({failpoints.VARIABLE: text})
    failpoints.arm({})


# ---------------------------------------------------------------- processes


def test_only_what_is_proven_to_be_ours_is_signalled() -> None:
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    try:
        started = start_ticks(child.pid)
        assert isinstance(Handle.find(child.pid, started + 1, boot_id()), str)  # a reused pid
        assert isinstance(Handle.find(child.pid, started, "another boot"), str)
        assert isinstance(Handle.find(1, start_ticks(1), boot_id()), str)
        handle = Handle.find(child.pid, started, boot_id())
        assert isinstance(handle, Handle)
        assert child.poll() is None
        handle.signal(signal.SIGKILL)
        assert child.wait(TIMEOUT_S) == -signal.SIGKILL
        handle.signal(signal.SIGKILL)  # the process is gone: the signal has no effect
        handle.close()
        assert isinstance(Handle.find(child.pid, started, boot_id()), str)
    finally:
        child.kill()
        child.wait()
