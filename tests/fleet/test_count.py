"""Tests of fleet statistics, on hand-made rows and on records of real nodes, compared with the lab's records."""

from __future__ import annotations

import json
import tracemalloc
from pathlib import Path

import pytest
from msgspec.structs import replace
from typer.testing import CliRunner

from headspar.cli import app
from headspar.fleet import cli
from headspar.fleet.cli import read_into
from headspar.fleet.count import Count, CountError, FleetCounter
from headspar.lab.run import run_scenario
from headspar.recorder.file import Recorder
from headspar.recorder.line import HOST, Row
from headspar.world.mass_failures import MassFailure, scenario
from headspar.world.scenario import check
from tests.recorder.test_record import belief

S = 1_000_000
DT = 200_000


def row(at: int, firsts: int = 10, served: int = 10, acc: float = 0.8, calls: int = 0) -> Row:
    counts = {"firsts": firsts, "repeats": 0, "refused": firsts - served, "failed": 0, "served": served,
              "attempts": firsts}
    return Row(at, 50_000, acc, 2.0, 9, 600_000, 0.4, counts, 5.0, {},
               {"connections": 1, "calls": calls, "datagrams": 2})


def fleet(nodes: int = 10, failing: int = 7, failed_at: int = 6 * S, away: int = 2 * S, degraded: int = 3 * S,
          length: int = 20 * S, wall: int = 0) -> Count:
    """Statistics of hand-made records.  From the failure on, ``failing`` nodes write nothing for ``away``, and for
    ``degraded`` half of the other nodes' client attempts are refused."""
    c = FleetCounter()
    for n in range(nodes):
        name = f"n{n}"
        c.begin_record(name, 0, wall)
        for at in range(0, length, DT):
            if n < failing and failed_at <= at < failed_at + away:
                continue
            if n < failing and at == failed_at + away:
                c.begin_record(name, at, wall)
            bad = failed_at <= at < failed_at + degraded
            calls = int(at == failed_at + away)
            c.add_row(name, row(at, served=5 if bad else 10, acc=0.2 if bad else 0.8, calls=calls), wall)
    return c.count()


@pytest.mark.parametrize("wall", [0, 1_700_000_000 * S])
def test_a_blow_is_seen_in_the_records_and_full_service_is_timed_from_it(wall: int) -> None:
    c = fleet(wall=wall)
    assert (c.nodes, c.silences, c.struck) == (10, 7, 7)
    assert c.blow_s == pytest.approx(5.8) and c.before == 1.0  # the time of the last row before the failure
    assert c.full_s == pytest.approx(3.2, abs=0.15)
    assert c.from_start_s == (pytest.approx(1.0, abs=0.15) if wall else None)  # known only with a wall clock
    assert c.starts == (17 if wall else 0)
    assert [s.nodes for s in c.table[5:9]] == [10, 3, 3, 10] and c.table[6].served == 0.5
    assert c.table[6].refused == 0.5 and c.table[6].shut == 1.0 and c.table[10].shut == 0.0
    assert c.totals["datagrams"] == 2 * c.rows == 2 * (10 * 100 - 7 * 10)


@pytest.mark.parametrize("away", [200_000, 1_200_000])
def test_a_process_that_is_back_sooner_than_a_gap_has_ended_all_the_same(away: int) -> None:
    c = fleet(wall=1_700_000_000 * S, away=away)
    assert (c.silences, c.struck, c.starts) == (7, 7, 17) and c.blow_s == pytest.approx(5.8)


def test_an_upgrade_beside_the_running_process_is_neither_a_silence_nor_a_second_node() -> None:
    c = FleetCounter()
    for n in range(4):
        c.begin_record(f"n{n}", 0, S)
        for at in range(0, 10 * S, DT):
            c.add_row(f"n{n}", row(at), S)
        c.begin_record(f"n{n}", 8 * S, S)  # read after the older half, although the process began before that ended
        for at in range(8 * S + DT, 20 * S, DT):
            c.add_row(f"n{n}", row(at), S)
        with pytest.raises(CountError, match="two nodes of one name"):
            c.add_row(f"n{n}", row(8 * S), S)
    counted = c.count()
    assert (counted.nodes, counted.starts, counted.silences, counted.blow_s) == (4, 8, 0, None)


def test_peaks_and_what_nodes_do_in_step_are_the_most_of_a_slot() -> None:
    c = fleet()
    assert (c.peaks["calls"].most, c.peaks["calls"].at_s, c.peaks["calls"].over_steady) == (10, 8.0, 0.0)
    assert c.peaks["firsts"].most == 100 and c.peaks["firsts"].over_steady == pytest.approx(1.0)
    assert c.in_step == {"shut": 7, "opened": 10}  # the failed ones refuse on return, all stop at once


def test_few_silent_nodes_are_no_blow_and_a_relapse_is_not_full_service() -> None:
    c = fleet(nodes=30, failing=2)
    assert c.blow_s is None and c.full_s is None and c.silences == 2
    assert fleet(degraded=13 * S).full_s is None  # fewer than five seconds of the run are left


def test_a_blow_with_nothing_before_it_says_nothing_of_full_service() -> None:
    c = fleet(failed_at=1 * S)
    assert c.blow_s is not None and c.full_s is None


def test_what_cannot_be_counted_together_is_told() -> None:
    c = FleetCounter()
    with pytest.raises(CountError, match="no rows"):
        c.count()
    c.begin_record("n0", 0, 5)
    c.add_row("n0", row(10 * S), 5)
    with pytest.raises(CountError, match="two nodes of one name"):
        c.add_row("n0", row(9 * S), 5)
    with pytest.raises(CountError, match="span more than 3600 s"):
        c.add_row("n0", row(4000 * S), 5)
    with pytest.raises(CountError, match="time of day"):
        c.begin_record("n1", 0, 0)


def test_a_long_record_is_read_a_line_at_a_time(tmp_path: Path) -> None:
    path = tmp_path / "n0.flight"
    recorder = Recorder(path, 400_000_000, "n0", print)
    for i in range(1, 3001):
        recorder.write(belief(i, servers=100))
    recorder.close()
    size = path.stat().st_size
    assert size > 4_000_000
    counter = FleetCounter()
    tracemalloc.start()
    try:
        read_into(counter, path)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert counter.rows == 3000 and peak < size / 2


@pytest.mark.parametrize(("text", "expected"), [
    ("", "no flight record"), ("hello\n", "line 1: no JSON"), ("[1,2]\n", "first line is missing"),
    ("x" * 9_000_000, "line 1: no JSON"),
    ('{"headspar":"flight","version":2,"node":"n0"}\n[1]\n', "line 2: a row must have 18 fields"),
])
def test_a_file_that_is_none_of_ours_is_one_line_and_status_2(text: str, expected: str, tmp_path: Path) -> None:
    path = tmp_path / "f"
    path.write_text(text)
    r = CliRunner().invoke(app, ["fleet", "count", str(path)])
    assert r.exit_code == 2 and expected in r.stderr and len(r.stderr.strip().splitlines()) == 1
    r = CliRunner().invoke(app, ["fleet", "count", str(tmp_path / "none")])
    assert r.exit_code == 2


def test_real_nodes_records_count_what_the_lab_has_seen_of_them(tmp_path: Path) -> None:
    s = scenario(MassFailure(nodes=6, at_s=4.0, length_s=14.0, utilisation=0.4, calls_per_s=0.0), 1)
    s = check(replace(s, rules=replace(s.rules, lateness_ms=300.0)))
    result = run_scenario(s, 1, tmp_path, record=True)
    files = [str(f) for f in sorted(tmp_path.glob("n*.flight"))]
    assert len(files) == 6
    r = CliRunner().invoke(app, ["fleet", "count", *files, "--json", "-"])
    assert r.exit_code == 0, r.output
    raw = json.loads(r.stdout)
    totals, recorded = raw["totals"], result.recording
    killed = {m.target for m in recorded.marks if m.what == "node_kill"}
    assert raw["nodes"] == 6 and raw["starts"] == 6 + len(killed) and raw["struck"] == len(killed) == 4
    failed_at = next(m.at for m in recorded.marks if m.what == "node_kill")
    assert raw["blow_s"] is not None and raw["full_s"] is not None and raw["before"] > 0.8
    # A killed node loses at most the last second, which it had not written yet; nothing else may be missing.
    lost_s = 1.5
    for name, rows in (("connections", [at for at, _ in recorded.accepted]),
                       ("calls", [at for at, _ in recorded.asked]),
                       ("attempts", [x.arrived_at for x in recorded.sent])):
        unwritten = sum(failed_at - lost_s * S <= at <= failed_at + S / 2 for at in rows)
        assert len(rows) - unwritten <= totals[name] <= len(rows) * 1.1 + 20, name
    assert set(HOST) < set(totals) and len(cli.app.registered_commands) == 1
    shown = CliRunner().invoke(app, ["fleet", "count", *files])
    assert shown.exit_code == 0 and "mass failure at" in shown.output and "in the same 200 ms" in shown.output
