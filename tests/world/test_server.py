"""Tests of a cash server's handling of requests, idempotency keys and faults, without sockets."""

from __future__ import annotations

import pytest

from headspar.world.plan import Step, draw
from headspar.world.records import AttemptResult, ServerAttempt
from headspar.world.scenario import parse
from headspar.world.server import SILENT_AFTER_US, Job, Ledger, Reaction, Server

TEXT = """
name = "one"
length_s = 20
[nodes]
count = 1
[[servers]]
count = 1
cores = 1
slots_per_core = 1
queue_per_core = 1
idle_s = 9
[load]
rps = 20
"""


def started_server(text: str = TEXT) -> Server:
    s = parse(text)
    plan = draw(s, 1)
    server = Server(Ledger(s, plan), plan.servers[0])
    server.start(0, cold=False)
    return server


def job_of(server: Server, name: str = "payment", skip: int = 0) -> Job:
    """A request for the call of class ``name`` that follows the first ``skip`` such calls of the plan."""
    ledger = server.ledger
    names = [c.name for c in ledger.scenario.classes]
    index = [i for i, c in enumerate(ledger.plan.calls) if names[c.cls] == name][skip]
    work_us = ledger.plan.calls[index].work_us
    return Job(ServerAttempt(index, 0, server.plan.id, "n1", 0, 0, AttemptResult.OPEN, work_us, False))


def test_one_that_is_called_off_before_it_began_has_had_no_effect_and_its_key_is_free() -> None:
    server = started_server()
    first, second = job_of(server), job_of(server, skip=1)
    assert server.request(first, 0) is server.request(second, 0) is Reaction.WORK
    assert second.row.effect and second.row.began_at == 0
    server.cancel(second, AttemptResult.CANCELLED, 1000)
    assert (second.row.effect, second.row.fate, second.row.ended_at) == (False, AttemptResult.CANCELLED, 1000)
    again = job_of(server, skip=1)
    assert server.request(again, 2000) is Reaction.WORK and again.row.effect  # not a duplicate
    # A request whose work had begun has had its effect, and a duplicate has none.
    server.advance(1000)
    server.cancel(first, AttemptResult.CANCELLED, 3000)
    assert first.row.effect
    repeat = job_of(server)
    server.request(repeat, 4000)
    assert not repeat.row.effect


def test_a_repeat_that_was_answered_for_one_called_off_before_it_began_has_had_the_effect() -> None:
    server = started_server()
    first, second = job_of(server), job_of(server, skip=1)
    server.request(first, 0)
    server.request(second, 0)  # queued
    server.ledger.rows += [first.row, second.row]
    repeat = job_of(server, skip=1)
    repeat.row.arrived_at = 100
    server.ledger.rows.append(repeat.row)
    memory = server.ledger.memory(server.ledger.plan.calls[second.row.call].cls, server.plan)
    assert memory is not None
    repeat.row.effect = False
    repeat.row.fate = AttemptResult.REPEAT  # at another server of the group, with a free slot
    server.cancel(second, AttemptResult.CANCELLED, 1000)
    assert (second.row.effect, repeat.row.effect) == (False, True)
    again = job_of(server, skip=1)
    again.row.arrived_at = 2000
    server.advance(900_000)
    server.request(again, 2000)
    assert not again.row.effect  # the key is still remembered


def test_a_full_room_and_a_drain_turn_away_and_leave_no_effect() -> None:
    server = started_server()
    jobs = [job_of(server, skip=i) for i in range(3)]
    assert [server.request(job, 0) for job in jobs] == [Reaction.WORK, Reaction.WORK, Reaction.REJECTED]
    assert not jobs[2].row.effect
    assert server.machine is not None
    server.machine.draining = True
    assert server.request(job_of(server, skip=3), 10) is Reaction.REJECTED


@pytest.mark.parametrize(("step", "fate"), [
    (Step(0, "reset", ["s"], 60), AttemptResult.DIED),
    (Step(0, "spoil", ["s"], text="noise"), AttemptResult.CORRUPTED),
    (Step(0, "mend", ["s"], text="reset"), AttemptResult.DONE),
])
def test_faults_show_in_what_goes_out(step: Step, fate: AttemptResult) -> None:
    server = started_server()
    server.faults.apply(step)
    job = job_of(server)
    server.request(job, 0)
    assert server.advance(10_000_000) == [job]
    assert server.finish(job.row) is fate and not server.request_is_reset()


def test_faults_of_requests_and_idle_connections() -> None:
    server = started_server()
    server.faults.apply(Step(0, "reset", ["s"], 100, "request"))
    assert server.request_is_reset() and server.faults.reset_byte == 100
    server.faults.apply(Step(0, "mend", ["s"], text="reset"))
    assert not server.request_is_reset()
    server.faults.apply(Step(0, "hang", ["s"]))
    job = job_of(server)
    assert server.request(job, 0) is Reaction.HUNG and job.row.fate is AttemptResult.HUNG and server.next_at() is None
    server.faults.apply(Step(0, "turn_away", ["s"]))
    assert server.request(job_of(server, skip=1), 0) is Reaction.REJECTED
    assert server.idle_limit() == (9_000_000, False)
    server.faults.apply(Step(0, "idle_silent", ["s"]))
    assert server.idle_limit() == (SILENT_AFTER_US, True)
