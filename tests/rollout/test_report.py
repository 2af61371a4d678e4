"""Tests of the HTML report of a change, and of the power of its stages."""

from __future__ import annotations

import asyncio
import base64
import re
import time
from functools import partial
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from headspar.cli import app
from headspar.keeper import messages as m
from headspar.rollout.controller import observe_fleet
from headspar.rollout.fleet import Member
from headspar.rollout.judge.baseline import Baseline
from headspar.rollout.judge.types import Comparison, JudgeSettings, Limits, Power, Verdict, VerdictKind
from headspar.rollout.record import Record
from headspar.rollout.report import chart, closest_figures, collect, page, state_periods
from headspar.rollout.state import Cause, Change, RolloutPolicy, State
from tests.rollout.test_cli import rollout_file
from tests.versions.forms import GENERATION, filled

run = CliRunner()
REASON = 'refused worse by 0.250 <script>alert("x")</script>'


def changed(path: Path) -> Record:
    """Return the record of a change that the judge rolled back in its second stage."""
    record = Record(path)
    change: Change = msgspec.structs.replace(
        filled(Change), id="c1", goal="9" * 64, before=GENERATION, stages=[["a"], ["b", "c"]], state=State.PLANNED,
        stage=0, left=[])
    record.create(change, 1000.0)
    epoch = record.acquire("me", 1000.0, 1e9)
    assert epoch is not None

    def move(at: float, cause: Cause, state: State, stage: int, why: str = "") -> None:
        before = change.state
        change.state, change.stage, change.why = state, stage, why
        record.record_transition(epoch, change, before, cause, at)

    def look(at: float, number: int, kind: VerdictKind, reason: str, harm: float) -> None:
        seen = (Comparison("refused", harm, harm - 0.02, harm + 0.02, 0.05, 1, 2),
                Comparison("late", 0.001, -0.5, 0.5, 0.05, 1, 2))
        record.record_look(epoch, change, number, Verdict(kind, reason, seen), at)

    move(1001.0, Cause.START, State.STAGE, 0)
    move(1003.0, Cause.SERVED, State.PROVING, 0)
    look(1010.0, 1, VerdictKind.GO_ON, "no figure is worse", 0.0)
    move(1011.0, Cause.NEXT, State.STAGE, 1)
    look(1020.0, 1, VerdictKind.BACK, REASON, 0.25)
    move(1020.5, Cause.FAILED, State.BACK, 1, f"judge: {REASON}")
    move(1030.0, Cause.ALL_BACK, State.TAKEN_BACK, 1, f"judge: {REASON}")
    record.store_baseline(epoch, "c1", filled(Baseline), [Power(0, 1, 2, "refused", 0.05, None, None),
                                             Power(1, 3, 0, "refused", 0.05, 0.02, 31.0)], 1000.5)
    return record


def test_states_are_told_over_time_and_figures_by_how_near_they_came_to_their_margins(tmp_path: Path) -> None:
    found = collect(changed(tmp_path / "record.db"), "c1")
    assert found is not None and found.ended == 1030.0
    assert state_periods(found) == [
        (1.0, 3.0, State.STAGE, 0), (3.0, 11.0, State.PROVING, 0), (11.0, 20.5, State.STAGE, 1),
        (20.5, 30.0, State.BACK, 1)]
    assert closest_figures(found) == ["refused", "late"]
    assert collect(changed(tmp_path / "other.db"), "c2") is None


def test_the_page_says_what_was_seen_and_decided_and_runs_nothing(tmp_path: Path) -> None:
    found = collect(changed(tmp_path / "record.db"), "c1")
    assert found is not None
    text = page(found)
    assert "<script>" not in text and text.count("&lt;script&gt;") == 4  # in two transitions, the summary and a look
    for words in ("Change c1: taken back", "taken back", "no figure is worse", "1 against 2", "0.250", "over a day"):
        assert words in text, words
    assert text.count('class="worse"') == 1 and "http" not in text.replace("<!doctype html>", "")
    image = re.search(r"base64,([^\"]+)", text)
    assert image is not None and base64.b64decode(image[1]).startswith(b"\x89PNG")


def test_a_change_of_which_nothing_is_known_yet_has_a_page_too(tmp_path: Path) -> None:
    record = Record(tmp_path / "record.db")
    record.create(msgspec.structs.replace(filled(Change), id="new"), 5.0)
    found = collect(record, "new")
    assert found is not None and state_periods(found) == [] and closest_figures(found) == []
    assert chart(found).startswith(b"\x89PNG") and "Nothing was judged" in page(found)


def test_the_command_writes_it_or_says_why_not_in_one_line(tmp_path: Path) -> None:
    file = rollout_file(tmp_path)
    changed(tmp_path / "record.db")
    out = tmp_path / "page.html"
    assert run.invoke(app, ["rollout", "report", file, "c1", "--out", str(out)]).exit_code == 0
    assert out.read_text().startswith("<!doctype html>")
    for arguments, status, message in (
        (["c9"], 1, "no change 'c9'"), (["c1", "--out", "/no/such/folder/x.html"], 2, "no such folder"),
        (["c1", "--out", str(tmp_path)], 2, "directory"),
    ):
        result = run.invoke(app, ["rollout", "report", file, *arguments])
        assert result.exit_code == status and message in result.stderr and result.stderr.count("\n") == 1, \
            result.stderr


class Fleet:
    """Keepers that only report work: each node has 100 requests per second by its own clock."""

    def __init__(self, silent: int = 0) -> None:
        self.silent, self.since = silent, time.monotonic()

    async def answer(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert isinstance(m.decode(await reader.readline()), m.QueryWork)
        up = 100.0 + time.monotonic() - self.since
        taken = 100.0 * up
        counts = {"taken": taken, "in_time": 0.97 * taken, "late": 0.01 * taken, "refused": 0.02 * taken,
                  "failed": 0.0, "attempts": taken, "handshakes": 0.1 * taken, "cpu_ms": 2 * taken}
        status = msgspec.structs.replace(filled(m.Status), name=name)
        writer.write(m.encode(m.Reply(True, "", status, m.Work("p", up, GENERATION, counts, {"servers": 5.0}))))
        await writer.drain()
        writer.close()

    async def watch(self, change: Change) -> tuple[list[Power], str]:
        names = [n for stage in change.stages for n in stage]
        servers = [await asyncio.start_server(partial(self.answer, name), "127.0.0.1", 0) for name in names]
        members = [
            Member(name, "s", f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            for name, server in zip(names, servers, strict=True)]
        for server in servers[: self.silent]:
            server.close()
        try:
            return await observe_fleet(members, change.ways.judge, change)
        finally:
            for server in servers:
                server.close()


@pytest.mark.parametrize("silent", [0, 4])
def test_what_each_stage_could_show_is_told_before_a_change(silent: int) -> None:
    judge = JudgeSettings(True, 2.4, 0.1, Limits(most_s=600.0))
    ways = msgspec.structs.replace(filled(RolloutPolicy), judge=judge)
    change = msgspec.structs.replace(filled(Change), stages=[["a"], ["b", "c"], ["d", "e", "f"]], ways=ways)
    powers, why = asyncio.run(Fleet(silent).watch(change))
    if silent:
        assert not powers and "only 2 of 6 nodes report" in why
        return
    assert why == "" and {p.stage for p in powers} == {0, 1}  # the last stage leaves no unchanged node
    assert {p.figure for p in powers} == {"served in time", "refused", "failed", "late"}
    refused = [p.least for p in powers if p.figure == "refused"]
    assert refused[0] is not None and refused[1] is not None and 0 < refused[1] < refused[0] < 0.2
