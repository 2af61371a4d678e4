"""Tests of the output and exit status of ``headspar model comeback``.  The lab's command shares all but the run
itself."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from headspar.cli import app

SMALL = ["--nodes", "6", "--discovery", "4", "--seeds", "2"]


def test_tables_a_picture_and_json(tmp_path: Path) -> None:
    picture, json_file = tmp_path / "c.png", tmp_path / "c.json"
    r = CliRunner().invoke(app, ["model", "comeback", *SMALL, "--picture", str(picture), "--json", str(json_file)])
    assert r.exit_code == 0, r.output
    for part in ("full service, s from the failure", "lost to (mean", "calls to discovery",
                 "causes of loss by second"):
        assert part in r.output
    assert picture.read_bytes().startswith(b"\x89PNG")
    line, = json_file.read_text().splitlines()
    report = json.loads(line)
    assert [d["seed"] for d in report["draws"]] == [1, 2] and report["rules_broken"] == 0
    worst = [d["full_s"] for d in report["draws"]]
    assert report["summary"]["full_s"]["worst"] == (None if None in worst else max(worst))
    assert report["blow"]["nodes"] == 6 and set(report["summary"]["stale"]) == set()


@pytest.mark.parametrize("options", [
    ["--kind", "shrug"], ["--nodes", "0"], ["--share", "1.5"], ["--json", "/no/such/folder/x.json"],
    ["--kind", "stop"],
])
def test_an_option_that_is_no_good_is_named_in_a_line_with_status_2(options: list[str]) -> None:
    r = CliRunner().invoke(app, ["model", "comeback", *SMALL, *options])
    assert r.exit_code == 2
    output = r.output + (r.stderr or "")
    assert any(text in output for text in (options[0], options[0].removeprefix("--"), "/no/such", "node_stop"))
