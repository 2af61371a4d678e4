"""Comparing versions: equal versions, crashes and broken rules, cached runs, conclusions, the command line."""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from headspar.cli import app
from headspar.model.compare import Comparing, Comparison
from headspar.model.results import Store
from headspar.model.statistics import Conclusion
from headspar.model.versions import HERE, RENAMED_MODULES, Finder, VersionError, resolve
from headspar.world.scenario import Scenario, parse
from tests.model import changed

CALM = """
name = "calm"
length_s = 3
[nodes]
count = 1
[[servers]]
count = 3
[load]
utilisation = 0.9
"""


@pytest.fixture
def calm() -> Scenario:
    return parse(CALM)


def version(folder: Path, name: str, text: str) -> str:
    path = folder / f"{name}.toml"
    path.write_text(text)
    return str(path)


def compared(a: str, b: str, s: Scenario, folder: Path, **more: Any) -> Comparison:
    more = {"looks": (2, 4), "workers": 3, "budget_s": 200.0, **more}
    return Comparing(resolve(a, folder), resolve(b, folder), s, Store(folder), **more).run()


def test_the_same_version_twice_is_the_same_and_not_with_seeds_of_its_own(calm: Scenario, tmp_path: Path) -> None:
    same = compared(".", ".", calm, tmp_path)
    assert same.same and same.made == 4 and same.ended == "decided"
    assert all(f.plain.mean == f.plain.low == f.plain.high == 0.0 for f in same.figures.values())
    assert "gives the same records" in same.sentence
    apart = compared(".", ".", calm, tmp_path, independent=True, looks=(6,))
    assert not apart.same and apart.figures["whole"].plain.low < 0.0 < apart.figures["whole"].plain.high


def test_a_version_that_refuses_half_is_worse(calm: Scenario, tmp_path: Path) -> None:
    tree = changed(tmp_path, "if pa >= 1.0 or self.rng.random() < pa:", "if self.rng.random() < 0.5:")
    found = compared(".", tree, calm, tmp_path)
    assert found.word is Conclusion.WORSE and found.figures["refused"].word is Conclusion.WORSE
    assert "B is worse than A" in found.sentence
    reverse = compared(tree, ".", calm, tmp_path)
    assert reverse.word is Conclusion.BETTER and reverse.made == 0  # runs are not repeated


def test_a_crash_on_one_seed_is_reported_and_not_averaged(calm: Scenario, tmp_path: Path) -> None:
    tree = changed(tmp_path, "        self.refused += 1\n        return False",
                   "        raise RuntimeError('no')")
    busy = parse(CALM.replace("0.9", "2.0"))
    found = compared(".", tree, busy, tmp_path, looks=(2,))
    assert len(found.bad) == 2 and found.seeds == [] and found.word is Conclusion.UNKNOWN
    assert "RuntimeError: no (decide.py:" in found.bad[0].text and "are excluded" in found.sentence


def test_a_version_that_breaks_a_rule_is_named(calm: Scenario, tmp_path: Path) -> None:
    tree = changed(tmp_path, "        for entry in event.entries:\n            listed.add(entry.backend)",
                   "        for entry in event.entries:\n            entry.health = Health.READY\n"
                   "            listed.add(entry.backend)")
    draining = parse(CALM.replace("length_s = 3", "length_s = 6") +
                     '[[faults]]\nat_s = 1\nkind = "drain"\nservers = 1\nlinger_s = 4\n')
    found = compared(".", tree, draining, tmp_path, looks=(2,))
    assert found.bad and {row.version for row in found.bad} == {tree}
    assert not {row.seed for row in found.bad} & set(found.seeds) and found.word is Conclusion.UNKNOWN
    assert all("drain: sent after the grace" in row.text for row in found.bad)


def test_what_was_run_is_kept_when_time_runs_out(calm: Scenario, tmp_path: Path) -> None:
    short = compared(".", ".", calm, tmp_path, looks=(3,), independent=True, budget_s=0.0)
    assert short.ended == "out of time" and short.word is Conclusion.UNKNOWN and short.made == 0
    first = compared(".", ".", calm, tmp_path, looks=(3,), independent=True)
    again = compared(".", ".", calm, tmp_path, looks=(3,), independent=True)
    assert (first.made, again.made) == (6, 0) and again.figures == first.figures
    broken = next(path for path in (tmp_path / "results").rglob("*.json"))
    broken.write_bytes(broken.read_bytes()[:-9])  # a truncated entry: the run is repeated
    assert compared(".", ".", calm, tmp_path, looks=(3,), independent=True).made == 1


def test_settings_that_a_version_does_not_have_are_its_crash(calm: Scenario, tmp_path: Path) -> None:
    b = version(tmp_path, "b", "[settings.policy_limits]\ncolour = 3\n")
    found = compared(".", b, calm, tmp_path, looks=(2,))
    assert "settings.policy_limits.colour" in found.bad[0].text


def test_versions_of_every_kind_and_names_of_none(tmp_path: Path) -> None:
    assert resolve(".", tmp_path).tree == str(HERE)
    (tmp_path / "empty").mkdir()
    for name, text in (
        ("nothing-of-the-kind", "no file, folder or revision"), ("--upload-pack=x", "no file, folder or revision"),
        (str(tmp_path / "empty"), "holds no headspar/decide.py"), (str(tmp_path / "x.toml"), "No such file"),
        (version(tmp_path, "odd", "colour = 3\n"), "colour: unknown key in a version"),
        (version(tmp_path, "torn", "[settings\n"), "torn.toml"),
        (version(tmp_path, "flat", "settings = 3\n"), "settings: must be a table"),
    ):
        with pytest.raises(VersionError, match=text):
            resolve(name, tmp_path)
    text = "[settings.policy_limits]\ntry_limit = 2\n[connections]\nahead = 1\n"
    b = resolve(version(tmp_path, "b", text), tmp_path)
    assert b.settings == {"policy_limits.try_limit": 2} and b.connections == {"ahead": 1}
    assert b.digest == resolve(".", tmp_path).digest


def test_a_revision_is_a_version(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    repo = tmp_path / "repo"
    shutil.copytree(HERE / "headspar", repo / "headspar", ignore=shutil.ignore_patterns("__pycache__"))
    git = ["git", "-c", "user.name=x", "-c", "user.email=x@x.example", "-C", str(repo)]
    for args in (["init", "-q"], ["add", "."], ["commit", "-qm", "one"]):
        subprocess.run([*git, *args], check=True)
    monkeypatch.chdir(repo)
    found = resolve("HEAD", tmp_path)
    assert found.digest.startswith(resolve(".", tmp_path).digest) and Path(found.tree).parent.name == "trees"
    assert resolve("HEAD", tmp_path) == found


@pytest.mark.parametrize(("now", "earlier"), RENAMED_MODULES.items())
def test_a_renamed_module_comes_from_the_versions_own_tree(now: str, earlier: str, tmp_path: Path) -> None:
    """A version that has the file under its earlier name would otherwise run this tree's code without a word."""
    def file(root: Path, module: str) -> Path:
        return root.joinpath(*module.split(".")).with_suffix(".py")

    def found() -> str | None:
        spec = Finder(tmp_path).find_spec(now, None)
        assert spec is not None and spec.name == now
        return spec.origin

    shutil.copytree(HERE / "headspar", tmp_path / "headspar", ignore=shutil.ignore_patterns("__pycache__"))
    assert found() == str(file(tmp_path, now))
    file(tmp_path, now).rename(file(tmp_path, earlier))
    assert found() == str(file(tmp_path, earlier))
    file(tmp_path, earlier).unlink()
    assert found() == str(file(HERE, now))


def test_a_version_with_the_earlier_file_name_is_run(calm: Scenario, tmp_path: Path) -> None:
    """A version is compared to this one while its module still has the earlier name: its own code runs."""
    tree = tmp_path / "tree"
    shutil.copytree(HERE / "headspar", tree / "headspar", ignore=shutil.ignore_patterns("__pycache__"))
    node = tree / "headspar" / "node"
    (node / "backend_subset.py").rename(node / "reach.py")
    assert compared(".", str(tree), calm, tmp_path, looks=(2,)).same
    (node / "reach.py").write_text("raise RuntimeError('the earlier file')\n")
    crashed = compared(".", str(tree), calm, tmp_path, looks=(2,))
    assert len(crashed.bad) == 2 and all("RuntimeError: the earlier file" in run.text for run in crashed.bad)


def test_the_command_line(tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    file.write_text(CALM)
    run = CliRunner().invoke(app, ["model", "run", str(file), "--json", "-"])
    assert run.exit_code == 0 and json.loads(run.stdout)["broken"] == {}
    kept = ["--results", str(tmp_path / "kept"), "--looks", "2,3", "--workers", "2"]
    out = tmp_path / "c.json"
    done = CliRunner().invoke(app, ["model", "compare", ".", ".", "-s", str(file), *kept, "--json", str(out)])
    assert done.exit_code == 0 and json.loads(out.read_text())["same"] is True
    apart = CliRunner().invoke(app, ["model", "compare", ".", ".", "-s", str(file), *kept, "--independent",
                                      "--margin", "0"])
    assert apart.exit_code == 4
    for args in (["run", "nothing"], ["compare", ".", "nothing"], ["compare", ".", ".", "--looks", "3,2"],
                 ["compare", ".", ".", "--costs", str(file)], ["run", str(file), "--costs", "/nowhere"],
                 ["compare", ".", ".", "--results", str(file)]):
        process = subprocess.run([sys.executable, "-m", "headspar.cli", "model", *args], capture_output=True,
                                 text=True)
        assert process.returncode == 2, args
        assert len(process.stderr.splitlines()) == 1 and "Traceback" not in process.stderr
