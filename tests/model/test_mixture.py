"""Nodes of several versions in one run: each uses its own version and reports its own work counters."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

import pytest

from headspar import decide
from headspar.model.simulate import TuningError, simulate
from headspar.model.work import Mixture, Reading, Version, VersionChange
from headspar.world.scenario import Fault, Load, Nodes, Scenario, Servers, check

ARRIVED = "        self.capacity.offered_work += cost\n        a = self.admission\n"


def scenario(faults: tuple[Fault, ...] = ()) -> Scenario:
    return check(Scenario(name="mixed", length_s=24.0, nodes=Nodes(count=6), servers=[Servers(count=6)],
                          load=Load(rps=90.0), faults=list(faults)))


def planted(folder: Path, before: str, after: str) -> Version:
    text = Path(decide.__file__).read_text()
    assert text.count(before) == 1
    path = folder / "decide.py"
    path.write_text(text.replace(before, after))
    return Version(program=str(path))


def rows(readings: list[Reading]) -> dict[str, list[Reading]]:
    out = defaultdict(list)
    for row in readings:
        out[row.node].append(row)
    return out


def since(row: list[Reading], at_s: float) -> dict[str, float]:
    """Returns the increase of the counters of the last process since ``at_s``."""
    last = row[-1]
    first = next((r for r in row if r.at_s >= at_s and r.process == last.process), last)
    return {k: v - first.counts.get(k, 0.0) for k, v in last.counts.items()}


def test_a_run_of_one_version_is_the_same_with_and_without_readings() -> None:
    s = scenario()
    plain, read = simulate(s, 1), simulate(s, 1, mixture=Mixture())
    assert plain.digest() == read.digest() and not plain.readings
    by_node = rows(read.readings)
    assert len(by_node) == 6 and all(len(r) >= 24 for r in by_node.values())
    assert {r.site for r in read.readings} == {"site-a", "site-b", "site-c"}
    assert {r.version for r in read.readings} == {""}
    taken = sum(r[-1].counts["taken"] for r in by_node.values())
    assert 0 <= read.verdict.taken - taken < 20  # answered after the last sample
    for r in by_node.values():
        c = r[-1].counts
        assert c["taken"] == c["in_time"] + c["late"] + c["refused"] + c["failed"] and c["broken"] == 0
        assert c["attempts"] >= c["served"] == c["in_time"] + c["late"] and 0 < c["cpu_ms"] < 24_000
        assert 2 < c["quarters"] / c["served"] < 16  # below the aim, which is at 16
        assert r[-1].gauges["servers"] == 6 and r[-1].up_s == pytest.approx(r[-1].at_s + 0.4, abs=0.01)


@pytest.mark.parametrize("way", ["restart", "upgrade"])
def test_nodes_decide_by_their_own_version_from_their_change_on(tmp_path: Path, way: str) -> None:
    refuses = planted(tmp_path, ARRIVED, ARRIVED + "        if self.rng.random() < 0.3:\n            "
                      "self.actions.append(Refuse(e.id, 0))\n            return\n")
    changes = [VersionChange(6.0, n, "new", way) for n in ("n1", "n4")]  # type: ignore[arg-type]
    result = simulate(scenario(), 2, mixture=Mixture({"new": refuses}, changes))
    assert not any(result.verdict.counts.values())
    for name, samples in rows(result.readings).items():
        c = since(samples, 8.0)
        new = name in ("n1", "n4")
        assert (0.2 < c["refused"] / c["taken"] < 0.4) == new, name
        assert [r.version for r in samples if r.at_s > 8.0] == (
            ["new" if new else ""] * sum(r.at_s > 8.0 for r in samples))
        assert len({r.process for r in samples}) == 1 + new
    sent = {mark.what for mark in result.recording.marks if mark.target == "n1"}
    assert ("node_upgrade" in sent) == (way == "upgrade")


def test_settings_and_answers_that_leave_later_are_a_versions_too() -> None:
    changes = [VersionChange(4.0, "n3", "late"), VersionChange(4.0, "n1", "shakes")]
    versions = {"late": Version(later=0.5, leak_mb_min=6.0), "shakes": Version(connections={"age_s": 0.2})}
    result = simulate(scenario(), 3, mixture=Mixture(versions, changes))
    by_node = rows(result.readings)
    pace = {n: (c := since(r, 6.0))["quarters"] / c["served"] for n, r in by_node.items()}
    assert pace["n3"] > max(v for n, v in pace.items() if n != "n3") + 1.0
    assert by_node["n3"][-1].gauges["memory_mb"] > by_node["n2"][-1].gauges["memory_mb"] + 1.0
    handshakes = {n: since(r, 6.0)["handshakes"] for n, r in by_node.items()}
    assert handshakes["n1"] > 3 * max(v for n, v in handshakes.items() if n != "n1")


def test_a_version_that_sends_to_drained_servers_says_so_itself(tmp_path: Path) -> None:
    ignoring = planted(tmp_path, "        self.usable = entry.reachable and not self.drained\n",
                       "        self.usable = entry.reachable\n")
    drain = Fault(at_s=8.0, kind="drain", servers=2, linger_s=10.0, back_s=2.0)
    result = simulate(scenario((drain,)), 4, mixture=Mixture({"new": ignoring}, [VersionChange(3.0, "n2", "new")]))
    broken = {n: r[-1].counts["broken"] for n, r in rows(result.readings).items()}
    assert broken.pop("n2") > 0 and not any(broken.values())
    assert sum(result.verdict.counts.values()) > 0  # the audit finds it too


@pytest.mark.parametrize(("mixture", "text"), [
    (Mixture({}, [VersionChange(1.0, "n3", "other")]), "there is no such version"),
    (Mixture({}, [VersionChange(1.0, "n99", "")]), "there is no such node"),
    (Mixture({"x": Version(settings={"nothing": 1})}), "there is no such setting"),
    (Mixture({"x": Version(connections={"nothing": 1})}), "connections"),
    (Mixture({"x": Version(program="/nowhere/decide.py")}), "program"),
])
def test_a_mixture_that_can_not_be_is_named(mixture: Mixture, text: str) -> None:
    with pytest.raises(TuningError, match=text):
        simulate(scenario(), 1, mixture=mixture)
