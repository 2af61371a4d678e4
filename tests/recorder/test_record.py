"""Tests of the flight recorder: its format, its bounded file, and the record of a real node."""

from __future__ import annotations

import json
import random
from pathlib import Path

import pytest

from headspar.decide import Balancer
from headspar.interface import AttemptEnded, BackendBelief, Belief, ClientGone, Event, Outcome, RequestArrived, Send
from headspar.recorder.file import Recorder, read, rotated_path
from headspar.recorder.line import COUNTS, LineError, Reader, Writer
from tests.helpers import full, settings
from tests.loopback import Backend, Node, wait_for


def belief(i: int, servers: int = 3, **changes: object) -> Belief:
    base: dict[str, object] = {
        "at_us": 1_000_000 + 200_000 * i, "k": 51_234.4, "acc": 0.4321, "sound": 2.5, "carried": 40_000.0,
        "horizon_us": 600_000.0, "late": 0.7, "retries": 3.25, "firsts": 10 * i, "repeats": 2 * i, "refused": i,
        "failed": 0, "served": 9 * i, "attempts": 11 * i,
        "servers": [BackendBelief(f"s-{k}", 0.9, 1234.5, 77, 0.2, k != 1) for k in range(servers)],
    }
    base.update(changes)
    return Belief(**base)  # type: ignore[arg-type]


def test_a_row_comes_back_as_it_was_believed_and_counts_are_what_is_new() -> None:
    w, r = Writer("n0"), Reader()
    assert r.read_line(w.head()) is None
    rows = []
    for i in (1, 4):
        b = belief(i)
        for text in (w.names_line(b), w.row_line(b)):
            row = r.read_line(text) if text is not None else None
            rows += [row] if row is not None else []
    assert r.node == "n0" and len(rows) == 2
    assert rows[1].counts == {"firsts": 30, "repeats": 6, "refused": 3, "failed": 0, "served": 27, "attempts": 33}
    assert (rows[0].k, rows[0].acc, rows[0].sound, rows[0].horizon_us) == (51_234, 0.432, 2.5, 600_000)
    s = rows[0].servers["s-1"]
    assert (s.health, s.nm, s.out, s.warm, s.usable) == (0.9, 1234, 77, 0.2, False)
    assert rows[0].capacity == pytest.approx(51_234 * 2.5 / 0.6)


def test_what_the_host_did_is_told_beside_it_and_a_record_of_the_first_version_is_still_read() -> None:
    w, r = Writer("n0", began=5, wall=7), Reader()
    r.read_line(w.head())
    assert (r.began, r.wall) == (5, 7)
    rows = [r.read_line(w.row_line(belief(i, servers=0), done)) for i, done in ((1, (3, 1, 9)), (2, (4, 1, 12)))]
    assert [row.host for row in rows if row is not None] == [
        {"connections": 3, "calls": 1, "datagrams": 9}, {"connections": 1, "calls": 0, "datagrams": 3}]
    r = Reader()
    r.read_line('{"headspar":"flight","version":1,"node":"old"}')
    r.read_line('{"servers":["a"]}')
    row = r.read_line("[9,100,500,2000,40,600,700,10,2,1,0,9,11,3250,[[900,50,7,200,1]]]")
    assert row is not None and row.retries == 3.25 and row.counts["attempts"] == 11 and row.host["calls"] == 0
    assert row.servers["a"].out == 7 and r.wall == 0


def test_servers_are_named_again_only_when_they_are_others() -> None:
    w = Writer("n0")
    w.head()
    assert w.names_line(belief(1)) is not None and w.names_line(belief(2)) is None
    assert w.names_line(belief(3, servers=4)) is not None
    w.head()
    assert w.names_line(belief(4, servers=4)) is not None  # each file can be read by itself


HEAD = Writer("n").head()


@pytest.mark.parametrize(("lines", "text"), [
    (["x"], "no JSON"),
    (["[1]"], "first line is missing"),
    (['{"servers":["a"]}'], "neither"),
    (['{"headspar":"flight","version":9}'], "version 9"),
    ([HEAD, '{"servers":[1]}'], "neither"),
    (['{"headspar":"flight","version":[]}'], "version"),
    (['{"headspar":"flight","version":2,"wall":"x"}'], "began and wall"),
    ([HEAD, "[1,2]"], "18 fields"),
    ([HEAD, json.dumps([1] * 14 + [[]])], "18 fields"),
    (['{"headspar":"flight","version":1,"node":"n"}', json.dumps([1] * 17 + [[]])], "15 fields"),
    ([HEAD, json.dumps([0.5] * 17 + [[]])], "whole numbers"),
    ([HEAD, json.dumps([True] * 17 + [[]])], "whole numbers"),
    ([HEAD, json.dumps([1] * 17 + [[[1] * 5]])], "1 servers in a row, 0 are named"),
    ([HEAD, '{"servers":["a"]}', json.dumps([1] * 17 + [[[1] * 4]])], "five whole numbers"),
])
def test_lines_that_are_no_record_are_told(lines: list[str], text: str) -> None:
    r = Reader()
    with pytest.raises(LineError, match=text):
        for line in lines:
            r.read_line(line)


def test_the_file_stays_within_its_size_and_loses_only_the_oldest(tmp_path: Path) -> None:
    path, logged = tmp_path / "n0.flight", list[str]()
    recorder = Recorder(path, 20_000, "n0", logged.append)
    for i in range(1, 1001):
        recorder.write(belief(i))
        assert sum(f.stat().st_size for f in tmp_path.iterdir()) <= 20_000
    recorder.close()
    recorder.write(belief(1001))  # no effect after close
    name, rows = read(path)
    assert name == "n0" and not logged and 60 < len(rows) < 500
    times = [r.at_us for r in rows]
    assert times == sorted(times) and times[-1] == belief(1000).at_us
    assert all(b - a == 200_000 for a, b in zip(times, times[1:], strict=False))  # no gaps
    assert all(r.counts["firsts"] == 10 for r in rows)


def test_an_earlier_record_is_kept_as_the_older_half(tmp_path: Path) -> None:
    path = tmp_path / "f"
    for start in (1, 100):
        recorder = Recorder(path, 100_000, f"n{start}", print)
        for i in range(start, start + 5):
            recorder.write(belief(i))
        recorder.close()
    assert rotated_path(path).exists()
    name, rows = read(path)
    assert name == "n100" and len(rows) == 10


def test_a_file_that_cannot_be_written_any_more_ends_the_record_and_not_the_node(tmp_path: Path) -> None:
    logged: list[str] = []
    recorder = Recorder(tmp_path / "f", 1000, "n0", logged.append)
    recorder.write(belief(1, servers=500))
    assert len(logged) == 1 and "one row is more than half" in logged[0]
    recorder.write(belief(2, servers=500))
    assert len(logged) == 1 and recorder.file is None
    with pytest.raises(OSError):
        Recorder(tmp_path / "no" / "f", 1000, "n0", logged.append)


def test_a_line_cut_off_at_the_end_is_left_out_and_one_within_is_told(tmp_path: Path) -> None:
    path = tmp_path / "f"
    recorder = Recorder(path, 100_000, "n0", print)
    for i in range(1, 6):
        recorder.write(belief(i))
    recorder.close()
    whole = path.read_text()
    path.write_text(whole[:-30])
    assert len(read(path)[1]) == 4
    lines = whole.split("\n")
    path.write_text("\n".join([*lines[:3], "garbage", *lines[3:]]))
    with pytest.raises(LineError, match="f: line 4: no JSON"):
        read(path)
    path.write_text("")
    with pytest.raises(LineError, match="no flight record"):
        read(path)


def test_the_module_counts_first_tries_repeats_and_what_became_of_them() -> None:
    b = Balancer(settings(), 1)
    b.handle(0, [full(4)])
    events: list[Event] = [
        RequestArrived(f"r{i}", "crew", 2_000_000, 1000, is_repeat=i % 3 == 0) for i in range(30)
    ]
    sends = [a for a in b.handle(1000, events) if isinstance(a, Send)]
    assert len(sends) == 30
    outcomes = [Outcome.OK] * 15 + [Outcome.RESET] * 15  # may have run and may not be repeated: fails
    ends = [
        AttemptEnded(s.id, 0, s.backend, outcome, 49_000, outcome is Outcome.OK)
        for s, outcome in zip(sends, outcomes, strict=True)
    ]
    b.handle(50_000, list(ends))
    left = next(a for a in b.handle(50_500, [RequestArrived("left", "look", 2_000_000, 1000)]) if isinstance(a, Send))
    b.handle(50_600, [ClientGone("left")])
    b.handle(50_700, [AttemptEnded("left", 0, left.backend, Outcome.OK, 200, True)])  # not counted as served
    b.admission.pa = [0.0] * len(b.admission.pa)
    b.handle(51_000, [RequestArrived(f"x{i}", "look", 2_000_000, 1000) for i in range(7)])
    got = b.belief()
    assert (got.firsts, got.repeats, got.attempts) == (28, 10, 31)
    assert (got.served, got.failed, got.refused) == (15, 15, 7)
    assert [s.id for s in got.servers] == list(b.membership.backends) and got.k == b.capacity.k
    assert tuple(COUNTS) == ("firsts", "repeats", "refused", "failed", "served", "attempts")


def test_a_real_node_leaves_its_record_where_the_operators_file_says(tmp_path: Path) -> None:
    file = tmp_path / "o.toml"
    file.write_text(f"[recorder]\nfile = '{tmp_path}/{{name}}.flight'\nsize_mb = 0.02\n")
    node = Node([Backend()])
    try:
        assert not list(tmp_path.glob("*.flight"))  # off by default
        node.stop()
        node.env["HEADSPAR_OPERATOR"] = str(file)
        node.start()
        client = node.client()
        rng = random.Random(1)
        for _ in range(20):
            assert client.ask(rng.choice(["look", "pay"])).status == 200
        path = tmp_path / "n0.flight"
        wait_for(lambda: len(path.read_text().splitlines()) > 12)
        client.close()
        assert node.stop() == 0
        name, rows = read(path)
        assert name == "n0" and sum(r.counts["served"] for r in rows) == 20
        assert all(b.at_us - a.at_us > 100_000 for a, b in zip(rows, rows[1:], strict=False))  # one row per tick
        assert set(rows[-1].servers) == {"s-1"} and rows[-1].servers["s-1"].health > 0.9
        assert sum(r.host["connections"] for r in rows) == node.backends[0].accepted
        assert sum(r.host["calls"] for r in rows) >= 1
        node.env["HEADSPAR_OPERATOR"] = str(file)
        file.write_text("[recorder]\nfile = '/no/such/folder/f'\n")
        node.start(healthy=False)
        assert node.process.wait(15) == 2
        assert "recorder.file: /no/such/folder/f: No such file" in node.log.read_text()
    finally:
        node.close()
