"""Hard cases of a change over twelve real nodes: partitions, late commands, loss of the record and of state."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path

import pytest

from headspar.lab.children import now_us
from headspar.lab.keeper_run import KeeperRun
from headspar.lab.links import DROP_ALL, DROP_ANSWERS, NO_FAULT, LinkFaults, StreamFaults
from headspar.rollout.state import State
from headspar.world.records import RunEvent
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
    settled,
    start,
    starts,
    state,
    statuses,
    steps_applied_twice,
    until,
)

WIDE = runs.TABLE.replace("max_out = 2", "max_out = 6").replace("max_out_site = 1", "max_out_site = 3")


async def stage_in(run: KeeperRun, when: str) -> bool:
    """Return whether the change has reached the point at which links are cut."""
    now = state(run)
    if when == "before":
        return now is not None
    if when == "in":
        return now is State.STAGE and change(run).stage >= 1 and bool(sum(starts(run, "new").values()) > 3)
    return now is State.PROVING and change(run).stage + 1 == len(change(run).stages)


@pytest.mark.parametrize("when", ["before", "in", "after"])
def test_a_third_of_the_keepers_cut_off_one_way_and_both_until_the_middle_of_going_back(
    tmp_path: Path, when: str,
) -> None:
    """Two links are cut in one direction and two in both; the partition ends while the fleet rolls back."""
    async def script(run: KeeperRun) -> None:
        names = sorted(run.links)
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1", "--stay")
        await until(lambda: stage_in(run, when))
        for i, name in enumerate(names[:4]):
            run.links[name].fault = DROP_ALL if i % 2 else DROP_ANSWERS
        await asyncio.sleep(0.6)
        await ended(await run.controller("back", str(run.operator_path), "--yes"))
        await until(lambda: state(run) in (State.BACK, State.TAKEN_BACK))
        await asyncio.sleep(0.3)
        for name in names:
            run.links[name].fault = NO_FAULT
        await until(lambda: state(run) is State.TAKEN_BACK)
        # The state is reached only once all nodes but those listed as left run the old generation.
        left, found = change(run).left, await statuses(run)
        new = [n for n, s in found.items() if s.running == run.generations["new"] and n not in left]
        assert new == [], (new, left)
        await until(lambda: settled(run, "old"))
        led.terminate()
        await ended(led)

    _, run = run_checked(script, tmp_path, table=WIDE)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []
    most, of_site = runs.most_moving(run) if run.max_in_transition() else (0, 0)
    assert most <= 6 and of_site <= 3


def test_a_word_that_comes_thirty_seconds_late_after_the_change_was_taken_back_is_refused(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        for link in run.links.values():  # each first command is delayed, and later ones arrive at once
            link.fault = LinkFaults(late=1.0, late_s=30.0, late_least=1.0, words='"say":"try"')
        led = await start(run, folder, "c1", "--stay")
        await until(lambda: any(link.counts.get("late") for link in run.links.values()))
        held = [name for name, link in run.links.items() if link.counts.get("late")]
        for link in run.links.values():
            link.fault = NO_FAULT
        await until(lambda: any(starts(run, "new").values()))  # resent as the same step
        await ended(await run.controller("back", str(run.operator_path), "--yes"))
        await until(lambda: state(run) is State.TAKEN_BACK)
        assert await settled(run, "old")
        begun = starts(run, "new")
        await until(lambda: _refused_as_old(run, held))
        assert await settled(run, "old") and starts(run, "new") == begun
        led.terminate()
        await ended(led)

    _, run = run_checked(script, tmp_path)
    assert steps_applied_twice(run) == []


def _refused_as_old(run: KeeperRun, names: list[str]) -> bool:
    old = events(run, "keeper.command", say="try", verdict="old")
    return any(old[name] for name in names)


@pytest.mark.parametrize("lost", ["record", "record and state", "an older record"])
def test_a_change_whose_record_is_lost_is_taken_over_by_the_next(tmp_path: Path, lost: str) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        other = run.generation("other", planted("reason_phrases.py", '200: "OK"', '200: "Okay"'))
        path = run.dir / "record.db"
        led = await start(run, folder, "c1")
        await until(lambda: state(run) is State.STAGE)
        older = record(run)
        copy = Path(run.dir / "older.db")
        older.db.execute("VACUUM INTO ?", (str(copy),))
        older.close()
        await until(lambda: _changed(run, 3))
        if lost != "record":  # else a healthy controller loses its file and must stop leading
            led.kill()
            await ended(led)
        for end in ("", "-wal", "-shm"):
            Path(f"{path}{end}").unlink(missing_ok=True)
        if lost == "record":
            assert await ended(led) == 4
        fences = {name: (s.epoch, s.step) for name, s in (await statuses(run)).items()}
        if lost == "an older record":
            copy.rename(path)
            highest = max(step for _, step in fences.values())
            assert await ended(await lead(run)) == 0  # it continues from the keepers' reports
            assert await settled(run, "new")
            assert max(s.number for s in record(run).steps("c1")) > highest
            assert record(run).holder()[1] > max(epoch for epoch, _ in fences.values())
            return
        if lost == "record and state":
            for name, keeper in run.keepers.items():
                if starts(run, "new")[name]:
                    keeper.kill()
                    (keeper.folder / "state").unlink()
                    keeper.start()
            await until(lambda: runs_something(run))
        assert await ended(await start(run, other, "c2")) == 1  # refused because the fleet is not settled
        assert await ended(await start(run, other, "c2", "--anyway")) == 0
        assert await settled(run, "other")
        found = await statuses(run)
        # Step numbers start above all that keepers have seen: a known number would get the answer of that step.
        assert min(s.number for s in record(run).steps("c2")) > max(step for _, step in fences.values())
        assert runs.refused_as_old(run) == []
        # The epoch is above that of the dead controller, which might only have been paused: its messages are refused.
        assert all(s.epoch > fences[name][0] and s.step > fences[name][1] for name, s in found.items())

    _, run = run_checked(script, tmp_path, seconds=12.0)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []


async def _changed(run: KeeperRun, least: int) -> bool:
    found = await statuses(run)
    return sum(s.running == run.generations["new"] for s in found.values()) >= least


async def runs_something(run: KeeperRun) -> bool:
    found = await statuses(run)
    return len(found) == len(run.keepers) and all(s.running for s in found.values())


def test_a_fleet_of_one_is_changed_by_a_hand_over_and_never_taken_out_for_it(tmp_path: Path) -> None:
    deaf = planted("handover/messages.py", "VERSION = 1", "VERSION = 9")

    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        assert await ended(await start(run, folder, "c1")) == 0
        assert await settled(run, "new")
        folder = run.generation("strange", deaf)
        assert await ended(await start(run, folder, "c2")) == 1
        assert await settled(run, "new")

    result, run = run_checked(script, tmp_path, 1, 14.0)
    assert not any(events(run, "keeper.moved", after="draining").values())
    assert result.verdict.served == result.verdict.taken


def test_keeper_and_node_killed_together_in_the_middle_of_a_hand_over(tmp_path: Path) -> None:
    """Both processes of the node and its keeper are killed when the second process becomes ready."""
    async def script(run: KeeperRun) -> None:
        for keeper in run.keepers.values():
            keeper.kill()
            keeper.start("keeper.ready=kill")
        await until(lambda: runs_something(run))
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1")
        name = await until(lambda: next(
            (n for n, k in run.keepers.items() if k.process is not None and k.process.poll() is not None), None))
        node = run.node(name)
        with_node = await node.identity()
        assert with_node["generation"] in (run.generations["old"], run.generations["new"])
        await node.kill_serving_process()
        for keeper in run.keepers.values():
            if keeper.process is not None:
                keeper.kill()
            keeper.start()
        end = await ended(led)
        assert end in (0, 1)  # a death while proving rolls the change back
        await until(lambda: settled(run, "new" if end == 0 else "old"))

    _, run = run_checked(script, tmp_path)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []
    signalled = [row for rows in events(run, "keeper.signalled").values() for row in rows]
    assert {row["signal"] for row in signalled} <= {s.name for s in (signal.SIGTERM, signal.SIGKILL)}


def test_links_of_nodes_to_discovery_and_servers_fail_while_they_are_changed(tmp_path: Path) -> None:
    """For a third of the nodes, discovery stalls one way, then both, then resets; servers are slow, stall or reset.

    The change must not be blamed for the links, and no request may be lost.
    """
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1")
        await until(lambda: state(run) is State.STAGE)
        asked = list(run.discovery_relays.values())
        servers = list(run.server_relays.values())
        for turn, faults in enumerate((StreamFaults(hold_down=True), StreamFaults(hold_up=True, hold_down=True),
                                       StreamFaults(delay_s=0.1), StreamFaults(shut=True))):
            for stream in asked:
                await stream.set_faults(faults)
            for i, stream in enumerate(servers):
                if i % 4 == turn:  # a quarter of the server links at a time, so that each node has others
                    await stream.set_faults(StreamFaults(delay_s=0.02) if turn % 2 else StreamFaults(hold_down=True))
                if i % 4 == (turn + 1) % 4:
                    stream.reset()
            await asyncio.sleep(0.8)
            for stream in (*asked, *servers):
                await stream.set_faults(StreamFaults())
        for stream in asked:
            stream.reset()
        assert await ended(led) == 0
        assert await settled(run, "new")
        assert sum(s.held for s in servers) > 0 and sum(s.connections_reset for s in (*asked, *servers)) > 20
        assert sum(s.chunks_relayed for s in asked) > 8

    _, run = run_checked(script, tmp_path, seconds=12.0, relayed=4)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []
    assert set(starts(run, "new").values()) == {1}


def test_a_node_that_is_heard_of_again_after_the_end_is_brought_to_what_holds(tmp_path: Path) -> None:
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1", "--stay")
        await until(lambda: state(run) is State.PROVING and change(run).stage == 0)
        name = change(run).stages[0][0]
        run.links[name].fault = DROP_ALL
        await until(lambda: state(run) is State.TAKEN_BACK)
        assert change(run).left == [name]
        found = await statuses(run)
        assert found[name].running == run.generations["new"]
        run.links[name].fault = NO_FAULT
        await until(lambda: settled(run, "old"))
        led.terminate()
        await ended(led)

    _, run = run_checked(script, tmp_path)
    assert steps_applied_twice(run) == [] and foreign_pids_signalled(run) == []


def test_nodes_that_answer_late_for_a_while_free_nobodys_place(tmp_path: Path) -> None:
    """All nodes still to be changed are stopped twice for two seconds, and must not count as down for that."""
    async def script(run: KeeperRun) -> None:
        folder = run.generation("new", new_line)
        led = await start(run, folder, "c1")
        await until(lambda: state(run) is State.STAGE and change(run).stage == 2)
        names = change(run).stages[2] + change(run).stages[3]
        in_turns = []
        for _ in range(2):
            stopped = [(name, pid) for name in names if (pid := await _stopped(run, name)) is not None]
            in_turns.append(len(stopped))
            await asyncio.sleep(2.2)
            for name, pid in stopped:
                run.node(name).marks.append(RunEvent(now_us(), "node_cont", name))
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGCONT)
            await until(lambda: _all_answer(run))
        await ended(led)
        assert min(in_turns) >= len(names) - 2 > 0  # at most two are changing

    _, run = run_checked(script, tmp_path, seconds=16.0)
    assert max(of_site for _, of_site in run.max_in_transition()) <= 1
    assert max(n for n, _ in run.max_in_transition()) <= 2


async def _stopped(run: KeeperRun, name: str) -> int | None:
    """Stop a node's process and return its pid; None if it is being changed and has just ended."""
    try:
        pid = int((await run.node(name).identity())["pid"])
        run.node(name).marks.append(RunEvent(now_us(), "node_stop", name))
        os.kill(pid, signal.SIGSTOP)
    except ProcessLookupError:
        run.node(name).marks.pop()
        return None
    except OSError:  # its addresses do not answer
        return None
    return pid


async def _all_answer(run: KeeperRun) -> bool:
    found = await statuses(run)
    return len(found) == len(run.nodes) and all(s.answers for s in found.values())
