"""Tests of the cash server's queueing model: processor sharing, queue, slow start, overload failure, choking and
remembered keys."""

from __future__ import annotations

import random

import msgspec
import pytest

from headspar.world.machine import KeyMemory, Machine, max_cold_requests
from headspar.world.plan import ServerPlan
from headspar.world.scenario import Choke

PLAN = ServerPlan("s", "a", "m", 0, 2, 1.0, 4, 3, 100, 0.0, 15_000_000, False, 0.2, 20_000_000, 0.0, -1)


def machine(started_at: int | None = None, fall: float = 3.0) -> Machine:
    return Machine(PLAN, 0, started_at, fall, 1_500_000)


def ends(m: Machine) -> dict[int, int]:
    """Run until the machine is idle; returns completion times by request number."""
    out: dict[int, int] = {}
    while (due := m.next_at()) is not None:
        out.update(m.advance(due))
    return out


def test_alone_a_request_takes_its_work_and_its_wait() -> None:
    m = machine()
    assert m.arrive(0, 1, 30_000, 20_000)
    assert ends(m)[1] == pytest.approx(50_000, abs=5)


def test_two_cores_serve_two_at_full_speed_and_four_at_half() -> None:
    m = machine()
    for i in range(4):
        assert m.arrive(0, i, 10_000, 0)
    assert all(at == pytest.approx(20_000, abs=5) for at in ends(m).values())


def test_a_slot_is_held_while_waiting_and_the_queue_is_served_in_order() -> None:
    m = machine()
    for i in range(7):
        assert m.arrive(0, i, 10_000, 10_000)
    assert not m.arrive(0, 7, 10_000, 0) and m.load() == (4, 3)
    done = ends(m)
    assert [done[i] for i in range(4)] == [pytest.approx(30_000, abs=9)] * 4
    assert done[4] == pytest.approx(30_000 + 25_000, rel=0.05) and sorted(done) == list(range(7))


def test_slow_and_cold_stretch_the_work() -> None:
    m = machine()
    m.slow = 4.0
    m.arrive(0, 1, 10_000, 0)
    assert ends(m)[1] == pytest.approx(40_000, abs=5)
    cold = machine(started_at=0)
    cold.arrive(0, 1, 10_000, 0)
    assert ends(cold)[1] == pytest.approx(50_000, rel=0.02)
    assert cold.warm(10_000_000) == pytest.approx(0.6) and cold.warm(20_000_000) == 1.0


def test_what_is_called_off_gives_back_its_share_and_its_slot() -> None:
    m = machine()
    for i in range(6):
        m.arrive(0, i, 20_000, 0)
    m.advance(10_000)
    assert m.cancel(10_000, 0) and not m.cancel(10_000, 5)  # one in service, one still queued
    assert not m.cancel(10_000, 0)
    done = ends(m)
    assert sorted(done) == [1, 2, 3, 4]
    assert m.load() == (0, 0) and m.in_service == 0


def test_draining_takes_nothing_new_and_ends_what_it_has() -> None:
    m = machine()
    m.arrive(0, 1, 10_000, 0)
    m.draining = True
    assert not m.arrive(1, 2, 10_000, 0)
    assert list(ends(m)) == [1]


def test_a_new_connection_costs_work_and_holds_no_slot() -> None:
    m = machine()
    m.arrive(0, 1, 10_000, 0)
    m.arrive(0, 2, 10_000, 0)
    m.connected(0, 10_000)
    assert m.load() == (2, 0)
    assert all(at == pytest.approx(15_000, abs=5) for at in ends(m).values())


def test_more_than_its_budget_pushes_a_cold_machine_over() -> None:
    # The budget is 3 x (2 cores x 0.2) x 1.5 s = 1.8 s of work, and OVERLOAD_SLACK of a tenth on top.
    m = machine(started_at=0)
    assert not any(m.record_arrival(1000 * i, 100_000) for i in range(19))
    assert m.record_arrival(20_000, 100_000) and m.fallen and not m.has_capacity()


def test_more_requests_than_its_budget_of_mean_ones_push_a_cold_machine_over_however_light() -> None:
    # 1.8 s of work are 18 requests of 100 ms: the limit is 18 + 2 sqrt(18) + 2.
    assert max_cold_requests(1_800_000, 100_000) == pytest.approx(28.485, abs=0.01)
    m = Machine(PLAN, 0, 0, 3.0, 1_500_000, 100_000)
    assert not any(m.record_arrival(1000 * i, 1000) for i in range(28))
    assert m.record_arrival(28_000, 1000) and m.fallen
    spread = Machine(PLAN, 0, 0, 3.0, 1_500_000, 100_000)
    assert not any(spread.record_arrival(60_000 * i, 1000) for i in range(100))


def test_the_same_work_spread_out_or_on_a_warm_machine_does_not() -> None:
    m = machine(started_at=0)
    assert not any(m.record_arrival(i * 100_000, 100_000) for i in range(190))
    warm = machine()
    assert not any(warm.record_arrival(i, 1_000_000) for i in range(100))


def test_nothing_leaks_over_many_random_events() -> None:
    rng = random.Random(3)
    m, now, live = machine(), 0, set[int]()
    finished = taken = off = 0
    for i in range(20_000):
        now += rng.randrange(6_000)
        for number, at in m.advance(now):
            live.discard(number)
            finished += 1
            assert at <= now
        if rng.random() < 0.8 and m.arrive(now, i, rng.randrange(1, 9_000), rng.randrange(9_000)):
            live.add(i)
            taken += 1
        if live and rng.random() < 0.2:
            number = rng.choice(sorted(live))
            m.cancel(now, number)
            live.discard(number)
            off += 1
        held, queued = m.load()
        assert held + queued == len(live) == len(m.jobs) and 0 <= held <= PLAN.slots and queued <= PLAN.queue
        assert 0 <= m.in_service <= held
    finished += len(ends(m))
    assert taken == finished + off and taken > 5_000 and m.load() == (0, 0)


def test_a_key_is_remembered_for_its_window() -> None:
    memory = KeyMemory(1_000, 100)
    assert not memory.repeat("k", 0)
    assert memory.repeat("k", 999) and not memory.repeat("k", 1_000)
    memory.forget("k")
    assert not memory.repeat("k", 1_001)


def test_a_full_memory_forgets_the_oldest_and_says_so() -> None:
    memory = KeyMemory(10_000, 3)
    assert not any(memory.repeat(f"k{i}", i) for i in range(4))
    assert memory.forgotten_early == 1
    assert not memory.repeat("k0", 5) and memory.repeat("k3", 5)
    assert len(memory.seen) <= 3


CHOKES = msgspec.structs.replace(PLAN, choke=Choke(at=4, over_s=1.0, factor=3.0, below=0.5, rest_s=0.5, most_s=10.0))


def test_one_that_is_crowded_for_too_long_becomes_slow_and_less_load_alone_does_not_mend_it() -> None:
    m = Machine(CHOKES, 0, None, 3.0, 1_500_000)
    for i in range(5):  # two cores: each progresses at 0.5 while four are in service
        assert m.arrive(0, i, 2_000_000 if i < 4 else 10_000, 0)
    m.advance(900_000)
    assert not m.choked
    m.advance(1_100_000)
    assert m.choked and m.slowness == 3.0
    for i in (2, 3, 4):
        m.cancel(1_100_000, i)
    # It holds two, which is half of four and not below it: it stays slow.
    m.advance(2_500_000)
    assert m.choked
    m.cancel(2_500_000, 1)
    m.advance(2_900_000)
    assert m.choked
    m.advance(3_050_000)
    assert not m.choked and m.slowness == 1.0
    # Request 0 ran 1.0 s at half a core, 0.1 s at a third of that, 1.9 s at a third of a core, then at full speed.
    done = ends(m)
    assert done[0] == pytest.approx(3_000_000 + 2_000_000 - 500_000 - 50_000 / 3 - 1_900_000 / 3, abs=200)


def test_one_that_is_crowded_for_a_moment_or_by_few_stays_as_it_is_and_none_is_slow_for_ever() -> None:
    m = Machine(CHOKES, 0, None, 3.0, 1_500_000)
    for i in range(5):
        m.arrive(0, i, 60_000_000, 0)
    m.cancel(900_000, 4)
    m.advance(5_000_000)
    assert not m.choked
    m.arrive(5_000_000, 5, 60_000_000, 0)
    m.advance(6_000_001)
    assert m.choked
    m.cancel(6_000_001, 5)
    m.advance(15_900_000)
    assert m.choked
    m.advance(16_100_000)
    assert not m.choked


def test_an_empty_one_rests_though_nothing_happens_at_it() -> None:
    m = Machine(CHOKES, 0, None, 3.0, 1_500_000)
    for i in range(5):
        m.arrive(0, i, 60_000_000, 0)
    m.advance(2_000_000)
    assert m.choked
    for i in range(5):
        m.cancel(2_000_000, i)
    assert m.next_at() is None
    m.advance(4_000_000)
    m.arrive(4_000_000, 9, 10_000, 0)
    assert ends(m)[9] == pytest.approx(4_010_000, abs=5)
