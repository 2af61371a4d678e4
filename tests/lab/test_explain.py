"""Truth and estimates of a run: true states over time, totals of a flight record, the command that charts it."""

from __future__ import annotations

from pathlib import Path

import pytest

from headspar.lab.explain import ExplainError, load, picture, select_servers
from headspar.lab.record_totals import record_totals, recovery_s
from headspar.lab.run import TRUTH
from headspar.recorder.file import Recorder, read
from headspar.recorder.line import Row, ServerRow
from headspar.world.records import RunEvent, Start, encode
from headspar.world.truth import Truth
from tests.lab.test_nodes_under_faults import headspar
from tests.recorder.test_record import belief
from tests.world.test_audit import MS, S, recording


def test_a_server_is_true_to_what_was_done_to_it() -> None:
    r = recording()
    r.marks += [
        RunEvent(2 * S, "die", "s1", "die"), RunEvent(4 * S, "start", "s1", "start"),
        RunEvent(1 * S, "slow", "s2", "slow", 4.0), RunEvent(3 * S, "slow", "s2", "mend"),
        RunEvent(5 * S, "turn_away", "s2", "turn_away", 0.5), RunEvent(6 * S, "turn_away", "s2", "mend"),
        RunEvent(7 * S, "vanish", "s2", "vanish"), RunEvent(8 * S, "return", "s2", "return"),
        RunEvent(9 * S, "drain", "s2", "drain"),
    ]
    r.starts.append(Start("s1", 4 * S))
    t = Truth(r)
    assert [t.share("s1", at) for at in (S, 3 * S, 4 * S, 14 * S, 24 * S)] == pytest.approx([1, 0, 0.2, 0.6, 1])
    shares = [t.share("s2", at * S + S // 2) for at in range(10)]
    assert shares == [1.0, 0.25, 0.25, 1.0, 1.0, 0.5, 1.0, 0.0, 1.0, 1.0]
    assert t.capacity(3 * S) == 2 * S * t.share("s2", 3 * S)


def test_a_server_that_joins_later_was_not_there_before() -> None:
    r = recording()
    r.marks.append(RunEvent(5 * S, "start", "s2", "start"))
    r.starts.append(Start("s2", 5 * S))
    t = Truth(r)
    assert t.share("s2", 4 * S) == 0.0 and t.share("s2", 5 * S) == 0.2


def rows(refused: list[int], came: int = 20, acc: float = 1.0) -> list[Row]:
    counts = {"repeats": 5, "failed": 0, "served": 0, "attempts": 30}
    return [
        Row(i * 200 * MS, 1000, acc, 1.0, 500, S, 0.5, {"firsts": came - 5, "refused": n, **counts}, 1.0,
            {"s1": ServerRow(1.0, 1, 1, 1.0, True)})
        for i, n in enumerate(refused)
    ]


def test_recovery_is_the_first_second_in_which_nine_in_ten_are_accepted() -> None:
    jam = [15] * 10 + [1] * 20
    assert recovery_s(rows(jam), S) == pytest.approx(1.0)  # from row 10, at 2.0 s; healthy at 1.0 s
    flicker = [15] * 5 + [0, 15] * 5 + [0] * 20
    assert recovery_s(rows(flicker), S) == pytest.approx(2.0)
    assert recovery_s(rows([15] * 30), S) is None
    assert recovery_s(rows([15] * 28 + [0, 0]), S) is None  # too short to decide
    assert recovery_s(rows([0] * 30), S) == 0.0


def test_the_account_of_a_record() -> None:
    a = record_totals(rows([2] * 10, acc=0.2))
    assert (a.firsts, a.repeats, a.refused, a.attempts) == (150, 50, 20, 300)
    assert a.amplification == pytest.approx(350 / 150)
    assert a.at_floor_s == pytest.approx(1.8) and a.at_zero_s == 0 and a.lowest_acc == 0.2
    assert record_totals([]).amplification == 0.0


def test_of_many_servers_those_that_changed_most_are_drawn() -> None:
    many = rows([0, 0])
    for i, row in enumerate(many):
        row.servers = {f"s{k}": ServerRow(1.0 - (0.5 if i and k == 77 else 0.0), 1, 1, 1.0, True) for k in range(90)}
    assert len(select_servers(many)) == 40 and "s77" in select_servers(many)


def record(dir: Path) -> Path:
    path = dir / "n0.flight"
    recorder = Recorder(path, 1_000_000, "n0", print)
    for i in range(1, 40):
        recorder.write(belief(i))
    recorder.close()
    return path


def test_a_record_is_drawn_with_and_without_the_labs_truth(tmp_path: Path) -> None:
    path = record(tmp_path)
    name, got, no_truth = load(path)
    assert no_truth is None and len(got) == 39
    alone = picture(name, got, None)
    (tmp_path / TRUTH).write_bytes(encode(recording()))
    _, _, truth = load(path)
    both = picture(name, got, truth)
    assert alone.startswith(b"\x89PNG") and both.startswith(b"\x89PNG") and len(both) != len(alone)


def test_what_cannot_be_explained_is_told_in_a_line(tmp_path: Path) -> None:
    with pytest.raises(ExplainError, match="no.flight: No such file"):
        load(tmp_path / "no.flight")
    path = record(tmp_path)
    (tmp_path / TRUTH).write_bytes(b"\xc1")
    with pytest.raises(ExplainError, match=TRUTH):
        load(path)
    path.write_text(path.read_text().split("\n")[0] + "\n")
    with pytest.raises(ExplainError, match="0 rows"):
        load(path)
    process = headspar("lab", "explain", str(tmp_path / "no.flight"))
    _, err = process.communicate(timeout=60)
    assert process.returncode == 2 and err == f"headspar: {tmp_path / 'no.flight'}: No such file or directory\n"


def test_a_run_in_the_lab_leaves_records_that_can_be_explained(tmp_path: Path) -> None:
    file, keep = tmp_path / "s.toml", tmp_path / "keep"
    file.write_text('name = "short"\nlength_s = 3\n[nodes]\ncount = 2\n[load]\nrps = 60\n'
                    '[[faults]]\nat_s = 1\nkind = "turn_away"\nservers = 5\nfor_s = 1\n')
    process = headspar("lab", "run", str(file), "--record")
    assert process.wait(60) == 2  # --record needs --keep
    process = headspar("lab", "run", str(file), "--record", "--keep", str(keep))
    _, err = process.communicate(timeout=120)
    assert process.returncode in (0, 3), err
    name, got = read(keep / "n1.flight")
    assert name == "n1" and sum(r.counts["served"] for r in got) > 30
    _, _, truth = load(keep / "n1.flight")
    assert truth is not None
    rejecting = [m for m in truth.marks if m.what == "turn_away" and m.text != "mend"]
    assert len(rejecting) == 5 and all(m.value == 1.0 for m in rejecting)
    assert Truth(truth).share(rejecting[0].target, rejecting[0].at + 500 * MS) == 0.0
    process = headspar("lab", "explain", str(keep / "n1.flight"))
    out, err = process.communicate(timeout=120)
    assert process.returncode == 0, err
    assert (keep / "n1.flight.png").read_bytes().startswith(b"\x89PNG") and "first tries" in out
