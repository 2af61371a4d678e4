"""Tests of scenario files: an invalid scenario is rejected with a one-line error that names the field."""

from __future__ import annotations

from pathlib import Path

import pytest

from headspar.world.scenario import ScenarioError, from_json, load, parse, to_json

GOOD = 'name = "x"\nlength_s = 10\n[load]\nrps = 50\n'


def test_a_short_file_gets_the_counters_classes_and_agents() -> None:
    s = parse(GOOD)
    assert [c.name for c in s.classes] == ["lookup", "payment", "reversal", "batch"]
    assert sum(a.share for a in s.agents) == pytest.approx(1.0)
    assert from_json(to_json(s)) == s


def test_what_travels_to_a_child_is_the_very_same() -> None:
    """Integers in a file became floats in child processes, so that parent and child generated different plans."""
    s = parse(GOOD + '[[servers]]\nspeed = [1, 2]\n')
    assert to_json(from_json(to_json(s))) == to_json(s)


@pytest.mark.parametrize(("text", "field"), [
    ("length_s = 10\n", "name"),
    (GOOD.replace("10", "0"), "length_s"),
    (GOOD.replace("10", "nan"), "length_s"),
    (GOOD.replace("10", '"long"'), "length_s"),
    ("tempo = 1\n" + GOOD, "tempo"),
    (GOOD + "burst = 1\n", "load"),
    (GOOD + "utilisation = 0.5\n", "load.rps"),
    (GOOD.replace("rps = 50", "rps = -1"), "load.rps"),
    (GOOD.replace("rps = 50", "rps = 1e9"), "load.rps"),
    (GOOD + "swing = 1.5\n", "load.swing"),
    (GOOD + "keys = 0\n", "load.keys"),
    (GOOD + "[nodes]\ncount = 0\n", "nodes.count"),
    (GOOD + "[nodes]\nsockets = 3\n", "nodes.sockets"),
    (GOOD + "[[servers]]\ncount = 0\n", "servers[0].count"),
    (GOOD + "[[servers]]\nspeed = [2, 1]\n", "servers[0].speed"),
    (GOOD + "[[servers]]\nspeed = [0, 1]\n", "servers[0].speed"),
    (GOOD + '[[servers]]\nidle_close = "maybe"\n', "servers"),
    (GOOD + "[[servers]]\ncold_share = 0\n", "servers[0].cold_share"),
    (GOOD + "[[servers]]\n[servers.choke]\nat = 0\n", "servers[0].choke.at"),
    (GOOD + "[[servers]]\n[servers.choke]\nat = 4\nfactor = 0\n", "servers[0].choke.factor"),
    (GOOD + "[[servers]]\n[servers.choke]\nat = 4\nbelow = 1.5\n", "servers[0].choke.below"),
    (GOOD + '[[agents]]\nname = "a"\nshare = 1\nusage = 0\n', "agents[a].usage"),
    (GOOD + "[callers]\nretries = 11\n", "callers.retries"),
    (GOOD + "[callers]\nhonour = 2\n", "callers.honour"),
    (GOOD + "[discovery]\nnotice_s = [3, 1]\n", "discovery.notice_s"),
    (GOOD + "[rules]\nfall_s = 0\n", "rules.fall_s"),
    (GOOD + '[[agents]]\nname = "a"\nshare = 1\n[[agents]]\nname = "a"\nshare = 1\n', "agents"),
    (GOOD + '[[classes]]\nname = "p"\nshare = 1\nwork_ms = [1, 2]\nwait_ms = [0, 0]\naim_ms = 9\n'
     'deadline_ms = 9\neffect = "dedup"\n', "classes[p].window_ms"),
    (GOOD + '[[faults]]\nat_s = 11\nkind = "die"\nservers = 1\n', "faults[0].at_s"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "melt"\n', "faults"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "die"\n', "faults[0].servers"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "die"\nservers = 1.5\n', "faults[0].servers"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "die"\nservers = 99\n', "faults[0].servers"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "die"\nservers = 1\nfactor = 2\n', "faults[0].factor"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "slow"\nservers = 1\nfor_s = 1\n', "faults[0].factor"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "flood"\nagent = "?"\nfor_s = 1\nfactor = 2\n', "faults[0].agent"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "node_kill"\nnodes = 4\n', "faults[0].nodes"),
    (GOOD + '[[faults]]\nat_s = 1\nkind = "reset"\nservers = 1\nfor_s = 1\nbyte = -1\n', "faults[0].byte"),
    ("name = \n", "Expected"),
])
def test_what_cannot_be_run_names_the_field_in_one_line(text: str, field: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text)
    line = str(caught.value)
    assert "\n" not in line
    assert field in line or field == "Expected"


def test_a_file_that_is_not_there(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match="nowhere.toml"):
        load(tmp_path / "nowhere.toml")
    (tmp_path / "odd.toml").write_bytes(b"\xff\xfe")
    with pytest.raises(ScenarioError, match="odd.toml"):
        load(tmp_path / "odd.toml")
