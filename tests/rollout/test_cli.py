"""Tests of the command line of keepers and changes, its exit statuses, and the table of events."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner

from headspar import operator_file
from headspar.cli import app
from headspar.events import EVENTS, Events, table
from headspar.identity import PACKAGE
from headspar.keeper.__main__ import main as keeper_main
from headspar.keeper.generations import digest
from tests.loopback import ROOT

run = CliRunner()


def test_the_page_of_events_is_the_table_of_the_code() -> None:
    assert (ROOT / "docs" / "operators" / "events.md").read_text() == table()
    assert run.invoke(app, ["events"]).output == table()


def test_an_event_or_field_that_is_not_in_the_table_can_not_be_said(tmp_path: Path) -> None:
    with (tmp_path / "log").open("w") as stream:
        events = Events(stream)
        events.emit("keeper.stopped", name="n")
        wrong: tuple[tuple[str, dict[str, object]], ...] = (
            ("keeper.nothing", {}), ("keeper.stopped", {}), ("keeper.stopped", {"name": "n", "x": 1}),
        )
        for event, fields in wrong:
            with pytest.raises(KeyError):
                events.emit(event, **fields)
    row = json.loads((tmp_path / "log").read_text())
    assert row["event"] == "keeper.stopped" and row.keys() == {"event", "timestamp", "name"}
    assert not any("key" in fields or "body" in fields for _, fields in EVENTS.values())


def test_a_controller_that_judges_nothing_loads_no_library_for_it() -> None:
    """Loading them would more than double the time to take over from a controller that has died."""
    code = "import sys, headspar.rollout.cli; print('scipy' in sys.modules, 'numpy' in sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert done.stdout.strip() == "False False", done.stderr


def test_the_operators_file_that_comes_along_names_every_key_at_its_default() -> None:
    text = (ROOT / "deploy" / "operator.toml").read_text()
    assert operator_file.parse(text) == operator_file.Operator()
    for name, _, _ in operator_file.settings_rows(operator_file.Operator()):
        assert f"\n{name.partition('.')[2]} = " in text, name


@pytest.mark.parametrize(("text", "field"), [
    ("", "keeper.folder"), ('[keeper]\nfolder = "x"\nhost = "y"\nlisten = "z"', "keeper.listen"),
    ('[keeper]\nfolder = "FOLDER"\nhost = "/no/such"\nlisten = "127.0.0.1:1"', "/no/such"),
    ("[keeper]\nstart_s = 0", "keeper.start_s"), ("[", "no TOML"),
])
def test_a_keeper_that_can_not_run_says_why_in_one_line(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, field: str,
) -> None:
    file = tmp_path / "keeper.toml"
    file.write_text(text.replace("FOLDER", str(tmp_path / "f")))
    assert keeper_main([str(file)]) == 2
    message = capfd.readouterr().err
    assert message.count("\n") == 1 and field in message


@pytest.mark.parametrize("own", [
    "{", '{"name": "n"}',
    '{"name":"n","site":"s","listen":"x","discovery":"h:1","ops":["h:1","h:2"],"config":{}}',
    '{"name":"n","site":"s","listen":"h:9","discovery":"h:1","ops":["h:1","h:1"],"config":{}}',
    '{"name":"n","site":"s","listen":"h:9","discovery":"h:1","ops":["h:1","h:2"],"config":{},"more":1}',
])
def test_a_machines_own_part_that_is_no_good_is_named(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], own: str,
) -> None:
    (tmp_path / "host.json").write_text(own)
    file = tmp_path / "keeper.toml"
    file.write_text(f'[keeper]\nfolder = "{tmp_path}/f"\nhost = "{tmp_path}/host.json"\nlisten = "127.0.0.1:1"')
    assert keeper_main([str(file)]) == 2
    message = capfd.readouterr().err
    assert message.count("\n") == 1 and "host.json" in message


def rollout_file(tmp_path: Path, **more: str) -> str:
    fleet = tmp_path / "fleet.toml"
    fleet.write_text('[[node]]\nname = "a"\nsite = "s"\nkeeper = "127.0.0.1:9"\n')  # nothing listens there
    values = {"record": str(tmp_path / "record.db"), "fleet": str(fleet), **more}
    file = tmp_path / "rollout.toml"
    file.write_text("[rollout]\n" + "\n".join(f'{k} = "{v}"' for k, v in values.items()))
    return str(file)


@pytest.mark.parametrize(("more", "arguments", "status", "message"), [
    ({"record": ""}, ["status"], 2, "rollout.record: not set"),
    ({"fleet": "/no/such"}, ["status"], 2, "/no/such"),
    ({"record": "/no/such/folder/record.db"}, ["status"], 4, "/no/such/folder"),
    ({}, ["back"], 1, "no change is under way"),
    ({}, ["watch"], 1, "there is no change"),
    ({}, ["history", "x"], 1, "no change 'x'"),
    ({}, ["run"], 1, "there is no change"),
])
def test_what_a_change_can_not_begin_with(
    tmp_path: Path, more: dict[str, str], arguments: list[str], status: int, message: str,
) -> None:
    result = run.invoke(app, ["rollout", arguments[0], rollout_file(tmp_path, **more), *arguments[1:]])
    assert result.exit_code == status
    assert message in result.stderr and result.stderr.strip().splitlines()[-1].startswith("headspar: ")


def test_a_fleet_that_does_not_answer_is_shown_and_not_begun_upon(tmp_path: Path) -> None:
    file = rollout_file(tmp_path)
    shown = run.invoke(app, ["rollout", "status", file, "--json"])
    assert shown.exit_code == 0 and json.loads(shown.stdout)["nodes"] == {"a": None}
    generation = tmp_path / "g"
    (tmp_path / "settings.json").write_text("{}")
    packed = run.invoke(app, ["keeper", "pack", str(generation), "--settings", str(tmp_path / "settings.json"),
                              "--program", str(PACKAGE)])
    assert packed.exit_code == 0 and packed.stdout.strip() == digest(generation)
    again = run.invoke(app, ["keeper", "pack", str(generation), "--settings", str(tmp_path / "settings.json")])
    assert again.exit_code == 2 and "already exists" in again.stderr
    begun = run.invoke(app, ["rollout", "start", file, str(generation), "--name", "c", "--yes"])
    assert begun.exit_code == 1 and "no keeper reports a running generation" in begun.stdout
    for folder in ("/no/such", str(tmp_path)):
        assert run.invoke(app, ["rollout", "plan", file, folder]).exit_code == 2
