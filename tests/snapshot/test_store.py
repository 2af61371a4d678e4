"""Snapshot format, folder and writer: atomic replacement by a single writer, also with failing disks."""

from __future__ import annotations

import errno
import hashlib
import json
import os
import subprocess
import sys
import threading
import time
import zlib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from headspar import failpoints
from headspar.cli import app
from headspar.handover.beliefs import Beliefs
from headspar.snapshot import format
from headspar.snapshot.expiry import Header
from headspar.snapshot.format import FormatError, decode, encode, pack
from headspar.snapshot.store import NAMES, Store
from headspar.snapshot.writer import Writer
from tests.handover.test_beliefs import learned
from tests.loopback import ROOT

HEADER = Header("n1", "a", "s1", 1_800_000_000_000_000, -5_000)
PLACES = ("open", "write", "sync", "rename", "folder", "done")
run = CliRunner()


@pytest.fixture(scope="module")
def beliefs() -> Beliefs:
    return learned()[1]


def test_it_comes_back_as_it_was(beliefs: Beliefs) -> None:
    found = decode(encode(HEADER, 7, beliefs))
    assert (found.serial, found.header, found.beliefs) == (7, HEADER, beliefs)


def test_with_any_byte_changed_or_any_length_cut_it_is_none(beliefs: Beliefs) -> None:
    data = encode(HEADER, 7, beliefs)
    for i in range(len(data)):
        for bit in (1, 0x80):
            with pytest.raises(FormatError):
                decode(data[:i] + bytes([data[i] ^ bit]) + data[i + 1:])
        with pytest.raises(FormatError):
            decode(data[:i])
    with pytest.raises(FormatError):
        decode(data + b"x")


@pytest.mark.parametrize("line", [
    {}, {"is": "other"}, {"is": format.MAGIC}, {"is": format.MAGIC, "v": 9, "least": 9}, [], 7,
])
def test_another_form_with_a_sound_check_sum_is_turned_down_in_a_line(line: Any) -> None:
    text = json.dumps(line).encode()
    with pytest.raises(FormatError) as error:
        decode(hashlib.sha256(text).hexdigest().encode() + b" " + text + b"\n" + zlib.compress(b"{}"))
    assert "\n" not in str(error.value)


def test_more_than_may_be_is_neither_written_nor_unpacked(beliefs: Beliefs) -> None:
    huge = replace(beliefs, known={"generation": 1, "instances": ["x" * 100] * 60_000})
    assert encode(HEADER, 1, huge) == b""
    with pytest.raises(FormatError, match="bytes"):
        decode(pack(HEADER, 1, b" " * (40 << 20)))  # compresses to a few kilobytes on disk


def test_two_files_in_turn_and_the_newest_whole_one_counts(tmp_path: Path, beliefs: Beliefs) -> None:
    store = Store(tmp_path / "s")
    assert store.newest() == (None, [])
    assert store.claim()
    for serial in (1, 2, 3):
        store.write(encode(HEADER, serial, beliefs), serial)
    newest, errors = store.newest()
    assert newest is not None and newest.serial == 3 and errors == []
    path = tmp_path / "s" / NAMES[1]
    path.write_bytes(path.read_bytes()[:-1])
    newest, errors = store.newest()
    assert newest is not None and newest.serial == 2 and errors == [f"{NAMES[1]}: truncated or modified"]
    assert store.delete_all() == 2 and store.newest() == (None, [])


def test_one_writes_at_a_time_and_the_next_when_it_has_ended(tmp_path: Path) -> None:
    one, two = Store(tmp_path), Store(tmp_path)
    assert one.claim() and one.claim() and not two.claim()
    one.release()
    assert two.claim() and not one.claim()
    two.release()


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("what", ["ENOSPC", "EIO", "EROFS"])
def test_a_disk_that_fails_anywhere_leaves_a_whole_one(
    tmp_path: Path, beliefs: Beliefs, place: str, what: str,
) -> None:
    store = Store(tmp_path)
    store.claim()
    for serial in (1, 2):
        store.write(encode(HEADER, serial, beliefs), serial)
    failpoints.arm({"HEADSPAR_FAILPOINTS": f"snapshot.{place}={what}"})
    try:
        with pytest.raises(OSError) as error:
            store.write(encode(HEADER, 3, beliefs), 3)
    finally:
        failpoints.arm({})
    assert error.value.errno == getattr(errno, what)
    newest, errors = store.newest()
    assert newest is not None and newest.serial in (2, 3) and errors == []
    store.write(encode(HEADER, 4, beliefs), 4)
    assert (found := store.newest()[0]) is not None and found.serial == 4


WRITER_PROGRAM = """
import sys, time
from pathlib import Path
from headspar import failpoints
from headspar.snapshot.format import pack
from headspar.snapshot.expiry import Header
from headspar.snapshot.store import Store
body = Path(sys.argv[2]).read_bytes()
store = Store(Path(sys.argv[1]))
assert store.claim()
newest, _ = store.newest()
serial = newest.serial if newest else 0
failpoints.arm({"HEADSPAR_FAILPOINTS": sys.argv[3]} if len(sys.argv) > 3 else {})
while True:
    serial += 1
    store.write(pack(Header("n1", "a", "s1", serial, 0), serial, body), serial)
    print(serial, flush=True)
"""


def test_killed_at_each_call_and_at_drawn_moments_what_was_told_to_be_kept_is(
    tmp_path: Path, beliefs: Beliefs,
) -> None:
    from headspar.handover.beliefs import encode as encode_beliefs
    body = tmp_path / "body"
    body.write_bytes(encode_beliefs(beliefs))
    folder = tmp_path / "s"
    reported = 0
    points = [f"snapshot.{place}=kill@{n}" for place in PLACES for n in (1, 2, 3)]
    for kill in [*points, *[""] * 12]:
        command = [sys.executable, "-c", WRITER_PROGRAM, str(folder), str(body), *([kill] if kill else [])]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        try:
            if not kill:
                process.stdout.readline()
                time.sleep(0.001 * (hash(len(points)) % 7))
                process.kill()
            lines = process.stdout.read().split()
            process.wait(30)
        finally:
            process.kill()
            process.wait()
            process.stdout.close()
        reported = max([reported, *map(int, lines)])
        newest, errors = Store(folder).newest()
        assert errors == [] and (newest.serial if newest is not None else 0) >= reported, kill
        reported = max(reported, newest.serial if newest is not None else 0)
    assert reported > 12


# ---------------------------------------------------------------- background writer


class BlockingStore(Store):
    """Blocks each write until ``go`` is set."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.go = threading.Event()
        self.begun = threading.Event()

    def write(self, data: bytes, serial: int) -> None:
        self.begun.set()
        assert self.go.wait(30)
        super().write(data, serial)


def test_while_a_write_hangs_the_newest_waits_and_nobody_else(tmp_path: Path, beliefs: Beliefs) -> None:
    store = BlockingStore(tmp_path)
    writer = Writer(store, lambda text: None)
    writer.enqueue(HEADER, beliefs)
    assert store.begun.wait(10)
    longest = 0.0
    for i in range(50):
        since = time.perf_counter()
        writer.enqueue(replace(HEADER, wall_us=i), beliefs)
        writer.log_status_change()
        longest = max(longest, time.perf_counter() - since)
    assert writer.superseded == 49 and longest < 0.1
    assert not writer.end(0.01)  # shutdown waits no longer than its time-out
    store.go.set()
    assert writer.end(10)
    newest, _ = store.newest()
    assert newest is not None and newest.serial == 2 and newest.header.wall_us == 49 and writer.written == 2


def test_a_disk_that_fails_costs_one_line_until_it_is_well_again(tmp_path: Path, beliefs: Beliefs) -> None:
    logged: list[str] = []
    writer = Writer(Store(tmp_path / "s"), logged.append)
    failpoints.arm({"HEADSPAR_FAILPOINTS": "snapshot.sync=ENOSPC@2+"})
    try:
        for turn in range(1, 7):
            if turn == 5:
                failpoints.arm({})
            writer.enqueue(HEADER, beliefs)
            with writer.lock:
                assert writer.lock.wait_for(lambda t=turn: writer.written + writer.failed == t, 10)  # type: ignore[misc]
            writer.log_status_change()
    finally:
        failpoints.arm({})
    assert len(logged) == 2 and os.strerror(errno.ENOSPC) in logged[0] and logged[1].endswith("kept again")
    assert (writer.written, writer.failed) == (3, 3) and writer.end(10)


def test_a_clone_beside_a_node_keeps_nothing_and_says_so(tmp_path: Path, beliefs: Beliefs) -> None:
    logged: list[str] = []
    one, two = Writer(Store(tmp_path), logged.append), Writer(Store(tmp_path), logged.append)
    one.enqueue(HEADER, beliefs)
    assert one.end(10)
    two.enqueue(replace(HEADER, wall_us=1), beliefs)
    assert not two.end(10)
    two.log_status_change()
    assert logged == [f"snapshot: {tmp_path}: not kept: another process of this node holds the write lock"]
    newest, _ = Store(tmp_path).newest()
    assert newest is not None and newest.header == HEADER
    one.store.release()
    three = Writer(Store(tmp_path), logged.append)  # serials continue from the stored snapshot
    three.enqueue(replace(HEADER, wall_us=2), beliefs)
    assert three.end(10) and three.serial == 2


# ---------------------------------------------------------------- command line


def test_the_commands_show_what_lies_there_and_what_would_be_taken(tmp_path: Path, beliefs: Beliefs) -> None:
    folder = tmp_path / "s"
    store = Store(folder)
    assert store.claim()
    header = replace(HEADER, wall_us=time.time_ns() // 1000)
    for serial in (1, 2):
        store.write(encode(header, serial, beliefs), serial)
    (folder / NAMES[1]).write_bytes(b"x")
    rows = json.loads(run.invoke(app, ["state", "show", str(folder), "--json"]).stdout)
    assert [r.get("serial") for r in rows] == [2, None] and rows[1]["wrong"] == "not a snapshot"
    assert "number 2, of n1 in a" in run.invoke(app, ["state", "show", str(folder)]).stdout
    own = json.loads(run.invoke(app, ["state", "check", str(folder), "--json"]).stdout)
    other = json.loads(run.invoke(app, ["state", "check", str(folder), "--settings", "s2", "--json"]).stdout)
    assert own["whose"] == "this node's" and own["weights"]["health"] > 0.5
    assert other["whose"] == "from other settings" and [n for n, w in other["weights"].items() if w] == ["kinds"]
    assert "from" in run.invoke(app, ["state", "check", str(folder), "--name", "n9"]).stdout
    out = tmp_path / "out.json"
    assert run.invoke(app, ["state", "export", str(folder), "--out", str(out)]).exit_code == 0
    assert json.loads(out.read_text())["header"]["name"] == "n1"
    assert run.invoke(app, ["state", "forget", str(folder)]).exit_code == 0 and len(store.read_all()) == 2
    locked = run.invoke(app, ["state", "forget", str(folder), "--yes"])
    assert locked.exit_code == 1 and "stop it first" in locked.stderr
    store.release()
    assert run.invoke(app, ["state", "forget", str(folder), "--yes"]).exit_code == 0 and store.read_all() == []


@pytest.mark.parametrize(("arguments", "status", "message"), [
    (["show", "/no/such"], 2, "no such folder"), (["show", "FOLDER"], 1, "no usable snapshot"),
    (["check", "FOLDER"], 1, "no snapshot found"), (["export", "FOLDER", "--out", "/no/such/x"], 2, "no such folder"),
    (["forget", "/no/such", "--yes"], 2, "no such folder"),
])
def test_what_can_not_be_shown_is_said_in_one_line(
    tmp_path: Path, arguments: list[str], status: int, message: str,
) -> None:
    result = run.invoke(app, ["state", *(a.replace("FOLDER", str(tmp_path)) for a in arguments)])
    assert result.exit_code == status and message in result.stderr and result.stderr.count("\n") == 1
