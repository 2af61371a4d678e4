"""Drawing and searching days, and shrinking: failures are found, cached and reduced to small scenarios."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from headspar.cli import app
from headspar.model.days import ALL, DAYS, day
from headspar.model.figures import Outcome
from headspar.model.gate import Draw, Runs, by_day, search
from headspar.model.results import Store
from headspar.model.shrink import failure_modes, shrink, size, to_toml
from headspar.model.versions import resolve
from headspar.world.plan import draw
from headspar.world.scenario import Fault, Scenario, Servers, check, parse, to_json
from tests.model import changed

DRAIN = "drain: sent after the grace"


def kinds(s: Scenario) -> set[str]:
    return {f.kind for f in s.faults}


# ---------------------------------------------------------------- days


@pytest.mark.parametrize("name", DAYS)
def test_a_day_and_a_seed_give_one_scenario_and_other_seeds_others(name: str) -> None:
    texts = {to_json(day(name, seed, 40)) for seed in range(20)}
    assert len(texts) == 20
    assert to_json(day(name, 3, 40)) == to_json(day(name, 3, 40))


def test_days_hold_what_the_page_says_of_them() -> None:
    for seed in range(30):
        assert kinds(day("calm", seed)) == {"flood"}
        roll = day("roll", seed)
        restarted = sum(f.nodes or 0 for f in roll.faults if f.kind == "node_term")
        assert restarted == 200 and "discovery_move" in kinds(roll)
        assert sum(f.servers or 0 for f in roll.faults if f.kind == "drain") == pytest.approx(0.5, abs=0.01)
        herd = day("herd", seed)
        assert [f.nodes for f in herd.faults if f.kind == "node_kill"] == [140] and "drain" in kinds(herd)
        join = [f for f in day("join", seed).faults if f.kind == "drain"]
        assert sum(f.servers or 0 for f in join) == pytest.approx(0.6, abs=0.01)
        assert join[-1].at_s - join[0].at_s <= 7
        split = day("split", seed)
        assert not split.nodes.peers and {"vanish", "hang", "reset"} <= kinds(split)
        soak = day("soak", seed)
        assert soak.length_s == 2700 and soak.nodes.count == 5
    zones = {len(day("zone", seed).servers[0].sites) for seed in range(60)}
    assert zones == {1, 2, 3, 4, 5, 6}


def test_a_zone_that_is_lost_takes_its_servers_and_no_others() -> None:
    seed = next(seed for seed in range(60) if len(day("zone", seed).servers[0].sites) == 3)
    s = day("zone", seed)
    lost = next(f for f in s.faults if f.kind == "die" and f.site)
    plan = draw(s, seed)
    step = next(step for step in plan.steps if step.kind == "die" and step.at == int(lost.at_s * 1e6))
    assert set(step.targets) <= {p.id for p in plan.servers if p.site == lost.site}
    assert len(step.targets) >= 0.9 * sum(p.site == lost.site for p in plan.servers)


def test_a_site_that_no_server_stands_at_is_named() -> None:
    fault = Fault(at_s=1, kind="die", servers=ALL, site="cusco")
    with pytest.raises(ValueError, match=r"faults\[0\].site: no server in 'cusco'"):
        check(Scenario(name="x", length_s=4, faults=[fault]))


def test_callers_meet_nodes_unevenly_where_that_is_asked_for() -> None:
    def max_share(skew: float) -> float:
        s = parse(f'name = "x"\nlength_s = 20\n[nodes]\ncount = 20\n[load]\nrps = 200\nnode_skew = {skew}\n')
        counts = [0] * 20
        for call in draw(s, 1).calls:
            counts[call.node] += 1
        return max(counts) / (sum(counts) / 20)

    assert max_share(0.0) < 1.5 < 2.0 < max_share(0.8)


# ---------------------------------------------------------------- shrinking


def test_a_failing_scenario_is_shrunk_to_what_the_failure_needs() -> None:
    """The simulated failure needs three nodes, two servers and a drain in a run longer than four seconds."""
    sizes: list[tuple[int, int, int, float]] = []

    def run(s: Scenario, seed: int) -> Outcome:
        sizes.append(size(s))
        nodes, servers, _, length_s = size(s)
        fails = nodes >= 3 and servers >= 2 and "drain" in kinds(s) and length_s > 4
        return Outcome(broken={DRAIN: 1} if fails else {})

    small, outcome, runs = shrink(day("join", 1, 60), 1, run)
    assert small.nodes.count == 3 and sum(g.count for g in small.servers) <= 3
    assert [f.kind for f in small.faults] == ["drain"] and failure_modes(outcome) == {DRAIN}
    assert small.callers.retries == 1 and small.load.swing == 0.2, "irrelevant settings are at their defaults"
    assert runs == len(sizes) <= 120
    assert shrink(day("join", 1, 60), 1, run)[0] == small


def test_another_failure_on_the_way_is_not_followed() -> None:
    def run(s: Scenario, seed: int) -> Outcome:
        if s.nodes.count < 8:
            return Outcome(broken={"lost: answered late": 1})
        return Outcome(broken={DRAIN: 1})

    assert shrink(day("roll", 1, 40), 1, run)[0].nodes.count == 8


def test_what_does_not_fail_is_not_shrunk() -> None:
    with pytest.raises(ValueError, match="breaks no rule"):
        shrink(day("calm", 1, 4), 1, lambda s, seed: Outcome())


@pytest.mark.parametrize("name", DAYS)
def test_a_scenario_written_to_a_file_is_read_as_the_same(name: str) -> None:
    for seed in range(5):
        s = day(name, seed, 40)
        assert to_json(parse(to_toml(s))) == to_json(s)
    plain = check(Scenario(name='odd "name" \\', length_s=3.0, servers=[Servers(count=2)]))
    assert to_json(parse(to_toml(plain))) == to_json(plain)


# ---------------------------------------------------------------- the search


def test_figures_of_a_day_name_its_failures_and_its_worst_seeds() -> None:
    def one(seed: int, whole: float, **changes: object) -> Draw:
        return Draw("join", seed, Outcome(figures={"whole": whole}, **changes))  # type: ignore[arg-type]

    rows = [one(1, 0.9), one(2, 0.5, broken={DRAIN: 7}), one(3, 0.7), Draw("join", 4, Outcome(crash="KeyError: 1")),
            one(5, 0.8, doubts=["3 tries that had not ended"])]
    found, = by_day(rows)
    assert found.draws == 5 and found.failed == [2, 4, 5] and found.broken == {DRAIN: 1}
    assert found.served[::2] == (0.5, 0.9) and found.served[1] == pytest.approx(0.725)
    assert found.worst == [2, 3, 5]
    assert rows[1].text == f"{DRAIN}, 7 times" and rows[3].text == "crashed: KeyError: 1"


def test_a_fault_planted_in_drains_is_found_kept_and_shrunk(tmp_path: Path) -> None:
    line = "self.usable = entry.reachable"
    tree = changed(tmp_path, f"{line} and not self.drained", line)
    store = Store(tmp_path / "results")
    runs = Runs(resolve(tree, tmp_path), store, workers=2)
    draws = search(runs, ["join"], [1], 8)
    assert [d.failed for d in draws] == [True] and DRAIN in draws[0].outcome.broken
    assert runs.executed == 1
    second = Runs(resolve(tree, tmp_path), store, workers=2)
    assert search(second, ["join"], [1], 8) == draws and second.executed == 0

    def one(s: Scenario, seed: int) -> Outcome:
        outcome = runs([(s, seed)])[0]
        assert outcome is not None
        return outcome

    small, outcome, _ = shrink(day("join", 1, 8), 1, one, max_runs=40)
    assert DRAIN in outcome.broken and size(small)[0] <= 5 and size(small)[1] <= 5
    assert failure_modes(one(parse(to_toml(small)), 1)) & {DRAIN}, "the file replays the failure"


def test_the_command_says_what_fails_and_takes_no_odd_words(tmp_path: Path) -> None:
    run = CliRunner()
    for args, text in {
        ("--days", "rain"): "--days: 'rain' is not one of calm",
        ("--seeds", "9..3"): "--seeds: must be 1 to 1000 seeds in ascending order",
        ("--seeds", "x"): "--seeds: must be A..B or one seed",
        ("--version", "no-such"): "no-such: no file, folder or revision",
    }.items():
        done = run.invoke(app, ["model", "gate", *args, "--results", str(tmp_path)])
        assert done.exit_code == 2 and text in done.output, (args, done.output)
    done = run.invoke(app, ["model", "gate", "--days", "calm", "--seeds", "1", "--nodes", "3", "--json", "-",
                            "--results", str(tmp_path), "--workers", "1", "--no-shrink"])
    assert done.exit_code == 0 and '"draws": 1, "failed": 0' in done.output, done.output
