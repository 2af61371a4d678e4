"""Changes over real nodes, keepers and controllers with faults between them; the audit checks the four rules."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from headspar.identity import start_ticks
from headspar.keeper import messages as m
from headspar.keeper.core import Order
from headspar.keeper.state import decode, encode
from headspar.lab.keeper_run import KeeperRun
from headspar.lab.links import DROP_ALL, DROP_ANSWERS, NO_FAULT, LinkFaults
from headspar.rollout.controller import send
from headspar.rollout.fleet import Member
from headspar.rollout.state import State
from tests.rollout import runs
from tests.rollout.runs import (
    change,
    ended,
    events,
    foreign_pids_signalled,
    lead,
    new_line,
    planted,
    record,
    run_checked,
    settings_with,
    settled,
    start,
    starts,
    state,
    status,
    statuses,
    steps_applied_twice,
    unknown_steps,
    until,
)


def assert_clean(run: KeeperRun, name: str = "c1") -> None:
    """Check what must hold after any change: no step twice, no step open, no foreign process signalled."""
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []
    assert unknown_steps(run, name) == []
    assert runs.renumbered(run, name) == [] and runs.false_acknowledgements(run, name) == []


def test_a_change_of_twelve_nodes_loses_nothing_and_keeps_the_limits(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        first = await start(run, folder, "c1")
        await until(lambda: state(run) not in (None, State.PLANNED))
        second = await start(run, folder, "c2", "--anyway")
        assert await ended(second) == 1  # refused because c1 is under way
        assert await ended(first) == 0
        assert await settled(run, "new")

    # The limits are one per site and four in total; there are three sites, so three at once.
    result, run = run_checked(script, tmp_path, seconds=14.0, table=runs.TABLE.replace("max_out = 2", "max_out = 4"))
    assert "'c1' is" in run.controller_log.read_text()
    assert set(starts(run, "new").values()) == {1} and change(run).state is State.DONE
    assert_clean(run)
    most, of_site = runs.most_moving(run)
    assert 1 <= most <= 3 and of_site == 1
    assert result.verdict.excused == 0 and result.verdict.served >= 0.99 * result.verdict.taken
    # The keepers' logs must not contain keys or bodies of requests.
    for keeper in run.keepers.values():
        assert "Idempotency" not in keeper.log.read_text()


POINTS = ["rollout.before", "rollout.intent", "rollout.sending", "rollout.answered", "rollout.outcome",
          "rollout.move", "rollout.moved", "rollout.hearing", "record.begin", "record.commit"]


def test_a_controller_killed_at_each_failpoint_and_at_drawn_moments_is_followed_by_one_that_goes_on(
    tmp_path: Path,
) -> None:
    killed = []

    async def script(run: KeeperRun) -> None:
        rng = random.Random(7)
        folder = run.generation("new", new_line)
        begun = await start(run, folder, "c1", failpoints="rollout.moved=kill")
        killed.append(await ended(begun))
        for i, point in enumerate(POINTS):
            leader = await lead(run, failpoints=f"{point}=kill@{1 + (i > 6) * 4}")
            killed.append(await ended(leader))
        for _ in range(4):
            leader = await lead(run)
            await asyncio.sleep(rng.uniform(0.9, 2.5))
            if leader.returncode is None:
                leader.kill()
            killed.append(await ended(leader))
        assert await ended(await lead(run)) == 0
        assert await settled(run, "new")

    _, run = run_checked(script, tmp_path)
    assert killed.count(-signal.SIGKILL) >= 6, killed
    assert set(starts(run, "new").values()) == {1} and change(run).state is State.DONE
    assert_clean(run)
    assert record(run).holder()[1] >= 8  # one epoch per controller


def test_one_that_stands_by_and_has_lost_its_lease_leads_again_when_the_next_one_dies(tmp_path: Path) -> None:
    """Controllers that a busy machine stalled beyond their lease ended one by one, until the change had none left."""
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        assert await ended(await start(run, folder, "c1", failpoints="rollout.moved=kill")) == -signal.SIGKILL
        first = await lead(run, failpoints="rollout.sending=stop@2")
        await until(lambda: Path(f"/proc/{first.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T")
        epoch = record(run).holder()[1]
        second = await lead(run)
        await until(lambda: record(run).holder()[1] > epoch)
        await until(lambda: _heard(run, epoch + 1))
        first.send_signal(signal.SIGCONT)
        await until(lambda: '"rollout.fenced"' in run.controller_log.read_text())
        assert first.returncode is None
        second.kill()
        await second.wait()
        assert await ended(first) == 0
        assert await settled(run, "new")

    _, run = run_checked(script, tmp_path)
    assert change(run).state is State.DONE and set(starts(run, "new").values()) == {1}
    assert_clean(run)


def test_a_controller_that_slept_through_its_lease_has_every_word_refused(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        first = await start(run, folder, "c1", failpoints="rollout.sending=stop@8")
        await until(lambda: Path(f"/proc/{first.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T")
        second = await lead(run)
        await until(lambda: record(run).holder()[1] == 2)
        await until(lambda: _heard(run, 2))
        first.send_signal(signal.SIGCONT)
        assert await ended(first) == 4
        assert await ended(second) == 0
        assert await settled(run, "new")

    _, run = run_checked(script, tmp_path)
    fenced = [row for rows in events(run, "keeper.command", verdict="fenced").values() for row in rows]
    taken = [row for rows in events(run, "keeper.command", verdict="new").values() for row in rows]
    assert fenced and all(row["epoch"] == 1 for row in fenced)
    assert [row["epoch"] for row in taken if row["epoch"] == 1]  # it led until then
    assert_clean(run)
    assert set(starts(run, "new").values()) == {1}


async def _heard(run: KeeperRun, epoch: int) -> bool:
    found = await statuses(run)
    return len(found) == len(run.keepers) and all(s.epoch >= epoch for s in found.values())


def test_words_lost_late_and_twice_and_a_third_of_the_keepers_cut_off(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        names = sorted(run.links)
        bad = LinkFaults(drop=0.1, lose=0.2, late=0.1, late_s=4.0, twice=0.9, reset=0.05, hang=0.02, words='"step"')
        for link in run.links.values():
            link.fault = bad
        folder = run.generation("new", new_line)
        first = await start(run, folder, "c1", "--stay")
        await until(lambda: state(run) is State.PROVING)
        run.links[names[0]].fault, run.links[names[1]].fault = DROP_ALL, DROP_ANSWERS  # in the middle of a stage
        await asyncio.sleep(1.0)
        asked = await run.controller("back", str(run.operator_path), "--yes")
        assert await ended(asked) == 0
        await until(lambda: state(run) in (State.BACK, State.TAKEN_BACK))
        await asyncio.sleep(1.0)
        run.links[names[0]].fault = run.links[names[1]].fault = bad  # the partition ends during the rollback
        await until(lambda: state(run) is State.TAKEN_BACK)
        await until(lambda: settled(run, "old"))
        for link in run.links.values():
            link.fault = NO_FAULT
        await asyncio.sleep(4.2)  # delayed messages have arrived by now
        assert await settled(run, "old")
        first.terminate()
        await ended(first)
        counts: dict[str, int] = {}
        for link in run.links.values():
            for what, n in link.counts.items():
                counts[what] = counts.get(what, 0) + n
        assert {"lose", "twice"} <= counts.keys(), counts

    _, run = run_checked(script, tmp_path)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []
    assert runs.false_acknowledgements(run, "c1") == []
    assert change(run).state is State.TAKEN_BACK


DIES = planted("process.py", "        self._sweep()\n        self._maintain()\n        if self.snapshots",
               "        self.loop.call_later(3.0, os._exit, 1)\n        self._sweep()\n        self._maintain()\n"
               "        if self.snapshots")
ACCEPTS_NOTHING = planted("process.py", "        await self._listen()\n        node.pause_detector",
                          "        self.socket.listen(64)\n        node.pause_detector")
IGNORES_SIGTERM = planted("process.py", "loop.add_signal_handler(signal.SIGTERM, self.stopping.set)",
                          "loop.add_signal_handler(signal.SIGTERM, lambda: None)")
OTHER_HANDOVER_VERSION = planted("handover/messages.py", "VERSION = 1", "VERSION = 9")
NO_START = planted("process.py", "        node.flush_events()", "        raise OSError(5, 'planted')")


def test_generations_that_do_not_start_die_hang_or_accept_nothing_are_taken_back(tmp_path: Path) -> None:
    ends = {}

    async def script(run: KeeperRun) -> None:
        for name, what in (("no-start", NO_START), ("dies", DIES), ("mute", ACCEPTS_NOTHING),
                           ("turned-down", settings_with(try_limit="many"))):
            folder = run.generation(name, what)
            ends[name] = await ended(await start(run, folder, name)), why(run, name)
            await until(lambda: settled(run, "old"))

    table = runs.TABLE.replace("proving_s = 1.0", "proving_s = 4.0")
    _, run = run_checked(script, tmp_path, table=table)
    assert {name: end for name, (end, _) in ends.items()} == {
        "no-start": 1, "dies": 1, "mute": 1, "turned-down": 1}, ends
    assert "did not start" in ends["no-start"][1] or "failed to start" in ends["no-start"][1]
    assert "died" in ends["dies"][1] and "did not start" in ends["turned-down"][1]
    for name in ends:
        assert sum(count > 0 for count in starts(run, name).values()) <= 1  # at most one node started it
    assert foreign_pids_signalled(run) == [] and steps_applied_twice(run) == []


def test_one_that_is_deaf_to_sigterm_is_ended_by_force_and_settings_go_by_signal(tmp_path: Path) -> None:
    ends = {}

    async def script(run: KeeperRun) -> None:
        run.generation("turned-down", settings_with(try_limit="many"))
        folder = run.generation("deaf", IGNORES_SIGTERM)
        led = await start(run, folder, "deaf")
        await until(lambda: state(run) is State.PROVING)
        await ended(await run.controller("back", str(run.operator_path), "--yes"))
        ends["deaf"] = await ended(led)
        await until(lambda: settled(run, "old"))
        folder = run.generation("limits", settings_with(try_limit=4))
        ends["limits"] = await ended(await start(run, folder, "limits"))
        first = change(run).stages[0][0]  # it tests that a process starts with them
        for name in run.nodes:  # and the others reload them on a signal
            started = run.generations["limits" if name == first else "old"]
            assert (await run.node(name).identity())["generation"] == started
        assert await settled(run, "limits")
        # Settings that a running node rejects, sent under an epoch that the record does not know.
        member = Member("n1", "", ":".join(map(str, run.keepers["n1"].listen)))
        await send(member, m.Fetch(node="n1", epoch=90, generation=run.generations["turned-down"],
                                   path=str(run.dir / "sources" / "turned-down")), 30.0)
        order = Order("by-hand", run.generations["turned-down"], 1.0)
        assert (await send(member, m.StartTrial(node="n1", epoch=90, step=9000, order=order))).ok
        await until(lambda: _turned_down(run))
        assert await settled(run, "limits")
        folder = run.generation("after", new_line)
        ends["after"] = await ended(await start(run, folder, "after"))  # its epoch and steps are raised above those
        assert record(run).holder()[1] > 90 and await settled(run, "after")

    _, run = run_checked(script, tmp_path)
    assert ends == {"deaf": 1, "limits": 0, "after": 0}
    killed = [row for rows in events(run, "keeper.signalled", signal="SIGKILL").values() for row in rows]
    assert killed  # the process that ignores SIGTERM
    assert foreign_pids_signalled(run) == [] and steps_applied_twice(run) == []


def test_where_the_hand_over_can_not_be_had_nodes_are_drained_and_started(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", OTHER_HANDOVER_VERSION)
        assert await ended(await start(run, folder, "c1")) == 0
        assert await settled(run, "new")

    result, run = run_checked(script, tmp_path, seconds=16.0)
    assert_clean(run)
    # Whether a node is alone in its site depends on the draw; each one that is not was drained.
    drained = [rows for rows in events(run, "keeper.moved", table="phase", after="draining").values() if rows]
    assert len(drained) == 12 and result.verdict.excused == 0
    assert runs.most_moving(run)[1] == 1


async def _turned_down(run: KeeperRun) -> bool:
    found = await status(run, "n1")
    return found is not None and found.outcome is not None and "settings turned down" in found.outcome.reason


def why(run: KeeperRun, name: str) -> str:
    return "; ".join(move.why for move in record(run).moves(name) if move.why)


KEEPER_POINTS = ["keeper.spawned", "keeper.start", "keeper.ready", "keeper.acted", "keeper.term", "keeper.taken",
                 "keeper.kept", "keeper.done", "keeper.state", "keeper.state_written", "keeper.answer",
                 "keeper.fetched"]
SETTINGS_POINTS = ["keeper.configured", "keeper.reload", "keeper.acted", "keeper.kept"] * 3
DRAIN_POINTS = ["keeper.drain", "keeper.term", "keeper.start", "keeper.spawned"] * 3


@pytest.mark.parametrize(("what", "points"), [
    (new_line, KEEPER_POINTS), (settings_with(try_limit=4), SETTINGS_POINTS), (OTHER_HANDOVER_VERSION, DRAIN_POINTS),
], ids=["program", "settings", "drained"])
def test_keepers_killed_at_each_of_their_steps_find_their_nodes_again(
    tmp_path: Path, what: Callable[[Path], None], points: list[str],
) -> None:
    async def script(run: KeeperRun) -> None:
        names = sorted(run.keepers)
        died = set()
        pids = {name: (await run.node(name).identity())["pid"] for name in names}
        for name, point in zip(names, points, strict=True):
            run.keepers[name].kill()
            run.keepers[name].start(f"{point}=kill@{3 if 'state' in point or 'answer' in point else 1}")

        async def restart() -> None:
            while True:
                for name, keeper in run.keepers.items():
                    if keeper.process is not None and keeper.process.poll() is not None:
                        died.add(name)
                        keeper.start()
                await asyncio.sleep(0.05)

        restarting = asyncio.create_task(restart())
        await until(lambda: _running(run, "old"))
        for name in names:  # killing the keeper does not affect its node
            assert (await run.node(name).identity())["pid"] == pids[name]
        folder = run.generation("new", what)
        end = await ended(await start(run, folder, "c1"))
        restarting.cancel()
        if end != 0:  # a keeper killed too often makes the change fail: the fleet is on the old generation
            assert end == 1
        await until(lambda: settled(run, "new" if end == 0 else "old"))
        assert len(died) >= 5, died

    _, run = run_checked(script, tmp_path, seconds=12.0)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []


async def _running(run: KeeperRun, label: str) -> bool:
    found = await statuses(run)
    return len(found) == len(run.keepers) and all(s.running == run.generations[label] for s in found.values())


def test_state_torn_old_empty_or_gone_a_pid_that_is_anothers_and_keeper_and_node_killed_together(
    tmp_path: Path,
) -> None:
    stranger = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(300)"])

    async def script(run: KeeperRun) -> None:
        names = sorted(run.keepers)
        old = {name: (run.keepers[name].folder / "state").read_bytes() for name in names}
        folder = run.generation("new", new_line)
        assert await ended(await start(run, folder, "c1")) == 0
        pids = {name: (await run.node(name).identity())["pid"] for name in names}
        fences = {name: s.epoch for name, s in (await statuses(run)).items()}
        for name in names:
            run.keepers[name].kill()
        paths = [run.keepers[name].folder / "state" for name in names]
        paths[0].write_bytes(b"")
        paths[1].write_bytes(paths[1].read_bytes()[:-20])
        paths[2].unlink()
        paths[3].write_bytes(old[names[3]])  # from before the change
        saved = decode(paths[4].read_bytes())
        # The saved pid now belongs to another process.
        saved.processes = [msgspec.structs.replace(saved.processes[0], pid=stranger.pid)]
        paths[4].write_bytes(encode(saved))
        os.kill(pids[names[5]], signal.SIGKILL)  # keeper and node together
        run.node(names[5]).marks.append(_killed(run, names[5]))
        for name in names:
            run.keepers[name].start()
        await until(lambda: _running(run, "new"))
        for name in names[:5]:
            assert (await run.node(name).identity())["pid"] == pids[name], name
        found = await statuses(run)
        assert all(s.epoch >= fences[name] for name, s in found.items())  # a fenced controller stays fenced
        assert found[names[3]].trial == run.generations["new"]  # unknown to the old state, so on trial
        assert stranger.poll() is None and start_ticks(stranger.pid) > 0
        # One machine loses all keeper state and its generations: the keeper learns them from its node.
        keeper = run.keepers[names[0]]
        keeper.kill()
        for lost in ("state", "fence"):
            (keeper.folder / lost).unlink(missing_ok=True)
        shutil.rmtree(keeper.folder / "generations")
        keeper.start()
        await until(lambda: status(run, names[0]))
        assert (await run.node(names[0]).identity())["pid"] == pids[names[0]]
        found_one = await status(run, names[0])
        assert found_one is not None and found_one.epoch >= fences[names[0]]

    try:
        _, run = run_checked(script, tmp_path, seconds=14.0)
    finally:
        stranger.kill()
        stranger.wait()
    assert foreign_pids_signalled(run) == []
    assert any(row["pid"] == stranger.pid for rows in events(run, "keeper.not_ours").values() for row in rows)


def _killed(run: KeeperRun, name: str):  # type: ignore[no-untyped-def]
    from headspar.lab.children import now_us
    from headspar.world.records import RunEvent

    return RunEvent(now_us(), "node_kill", name)


def test_a_disk_that_is_full_stops_the_change_and_no_node(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        names = sorted(run.keepers)
        folder = run.generation("new", new_line)
        # Disk of the record: the controller ends with an error, and no unrecorded step has been started.
        first = await start(run, folder, "c1", failpoints="record.begin=ENOSPC@5+")
        assert await ended(first) == 4
        # Disk of a keeper: it accepts no command, but still restarts its node when that dies.
        names = [name for name in names if name not in change(run).stages[0]]
        keeper = run.keepers[names[0]]
        keeper.kill()
        keeper.start("keeper.state=ENOSPC@1+")
        await until(lambda: status(run, names[0]))
        await run.node(names[0]).kill_serving_process()
        await until(lambda: _serves(run, names[0]))
        led = await lead(run, "--stay")
        await until(lambda: _refused(run, names[0]))
        assert (found := await status(run, names[0])) is not None and found.trial == ""
        keeper.kill()
        keeper.start()
        await until(lambda: state(run) in (State.DONE, State.TAKEN_BACK))
        await until(lambda: settled(run, "new" if state(run) is State.DONE else "old"))
        led.terminate()
        await ended(led)

    _, run = run_checked(script, tmp_path, seconds=12.0, table=runs.TABLE + 'on_failure = "back"\n')
    assert "No space left" in run.controller_log.read_text()
    assert foreign_pids_signalled(run) == [] and steps_applied_twice(run) == []


async def _serves(run: KeeperRun, name: str) -> bool:
    found = await status(run, name)
    return found is not None and bool(found.running)


def _refused(run: KeeperRun, name: str) -> bool:
    text = run.controller_log.read_text()
    return any("the state could not be written to disk" in line and f'"{name}"' in line for line in text.splitlines())


def test_a_site_that_dies_in_a_stage_pauses_the_change_and_it_goes_on_when_told(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1", "--stay")
        await until(lambda: state(run) is State.PROVING and change(run).stage == 1)
        site = run.nodes[change(run).stages[0][0]].config["settings"]["az"]
        gone = [n for n, node in run.nodes.items() if node.config["settings"]["az"] == site]
        for name in gone:
            run.links[name].fault = DROP_ALL
        await until(lambda: state(run) is State.PAUSED)
        assert f"site {site} is unreachable" in change(run).why
        for name in gone:
            run.links[name].fault = NO_FAULT
        await ended(await run.controller("resume", str(run.operator_path)))
        await until(lambda: state(run) is State.DONE)
        assert await settled(run, "new")
        led.terminate()
        await ended(led)

    _, run = run_checked(script, tmp_path, seconds=12.0)
    assert_clean(run)


def test_machines_of_a_site_that_die_and_keepers_killed_while_going_back(tmp_path: Path) -> None:
    """Keepers and nodes of one site are killed together in a stage, and three other keepers during the rollback.

    No step may be taken twice, and the site's machines must end up on the old generation.
    """
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1", "--stay")
        await until(lambda: state(run) is State.PROVING and change(run).stage == 1)
        site = run.nodes[change(run).stages[0][0]].config["settings"]["az"]
        gone = sorted(n for n, node in run.nodes.items() if node.config["settings"]["az"] == site)
        for name in gone:
            run.keepers[name].kill()
            await run.node(name).kill_serving_process()
        await until(lambda: state(run) in (State.PAUSED, State.BACK, State.TAKEN_BACK))
        if state(run) is State.PAUSED:
            await ended(await run.controller("back", str(run.operator_path), "--yes", "--json"))
        await until(lambda: state(run) in (State.BACK, State.TAKEN_BACK))
        others = sorted(n for n in run.nodes if n not in gone)
        for name, point in zip(others, ("keeper.spawned", "keeper.ready", "keeper.term"), strict=False):
            run.keepers[name].kill()
            run.keepers[name].start(f"{point}=kill")

        async def restart() -> None:
            while True:
                for name in others:
                    process = run.keepers[name].process
                    if process is not None and process.poll() is not None:
                        run.keepers[name].start()
                await asyncio.sleep(0.1)

        restarting = asyncio.create_task(restart())
        await asyncio.sleep(3.0)
        for name in gone:
            run.keepers[name].start()
        await until(lambda: state(run) is State.TAKEN_BACK)
        await until(lambda: settled(run, "old"))
        restarting.cancel()
        led.terminate()
        await ended(led)

    _, run = run_checked(script, tmp_path, seconds=14.0)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []


def test_a_fleet_of_which_a_third_does_not_answer_is_not_begun_upon(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        for name in sorted(run.links)[:2]:
            run.links[name].fault = DROP_ALL
        folder = run.generation("new", new_line)
        assert await ended(await start(run, folder, "c1")) == 1
        assert state(run) is None
        # Without --yes nothing is done.
        for link in run.links.values():
            link.fault = NO_FAULT
        dry = await run.controller("start", str(run.operator_path), str(folder), "--name", "c1")
        assert await ended(dry) == 0 and state(run) is None
        shown = await run.controller("plan", str(run.operator_path), str(folder), "--json")
        assert await ended(shown) == 0

    _, run = run_checked(script, tmp_path, seconds=4.0)
    text = run.controller_log.read_text()
    assert "unreachable, and only 2 may be out" in text and "nothing done; --yes does it" in text
    assert set(starts(run, "old").values()) == {1}


def test_a_controller_that_never_comes_back_and_keepers_told_to_go_back(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1")
        await until(lambda: _changed(run, 2))
        led.kill()
        await ended(led)
        await until(lambda: settled(run, "old"))

    table = runs.TABLE + 'silence = "back"\nsilence_s = 2.0\nslot_s = 3.0\n'
    _, run = run_checked(script, tmp_path, table=table)
    assert any(rows for rows in events(run, "keeper.moved", cause="silence").values())
    assert runs.most_moving(run)[1] == 1


async def _changed(run: KeeperRun, least: int) -> bool:
    found = await statuses(run)
    return sum(s.running == run.generations["new"] for s in found.values()) >= least
