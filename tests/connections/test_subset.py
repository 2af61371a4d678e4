"""Tests of subsetting: the load is balanced over all nodes, and subsets change slowly."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from headspar.connections.subset import Subset, SubsetMember, SubsetSettings, ring_position, shares

S = 1_000_000


def fleet(count: int, zones: int = 3, cell_size: int = 4, first: int = 0) -> list[SubsetMember]:
    return [SubsetMember(f"i-{i}", f"z{i % zones}", i // zones // cell_size) for i in range(first, first + count)]


def node_subsets(nodes: int, most: int, members: list[SubsetMember]) -> list[Subset]:
    out = [Subset(SubsetSettings(most, i, nodes)) for i in range(nodes)]
    for subset in out:
        subset.update(members, 1)
    return out


def nodes_per_server(subsets: list[Subset], members: list[SubsetMember]) -> Counter[str]:
    count = Counter({m.id: 0 for m in members})
    for subset in subsets:
        count.update(subset.held)
    return count


def settle(subset: Subset, now: int) -> int:
    """Ticks until no exchange is due; returns the number of ticks that made one."""
    count = 0
    for _ in range(10_000):
        now += subset.settings.swap_us
        if not subset.tick(now):
            return count
        count += 1
    raise AssertionError("exchanges do not end")


def test_a_fleet_that_fits_is_in_reach_as_a_whole() -> None:
    subset = Subset(SubsetSettings(most=80))
    assert len(subset.update(fleet(70), 1).entered) == 70 and subset.whole and subset.coverage() == 1.0
    assert not subset.tick(10 * S)
    change = subset.update(fleet(71), 2)
    assert not subset.whole and len(subset.held) == 40 and len(change.left) == 30 + len(change.entered)
    assert len(subset.update(fleet(70), 3).entered) > 0 and len(subset.held) == 70


@pytest.mark.parametrize(("nodes", "servers", "most"), [(40, 1000, 333), (7, 100, 60), (110, 600, 77), (40, 999, 90)])
def test_every_server_is_reached_by_nearly_the_same_number_of_nodes(nodes: int, servers: int, most: int) -> None:
    members = fleet(servers)
    count = nodes_per_server(node_subsets(nodes, most, members), members).values()
    mean = sum(count) / servers
    assert min(count) >= 1
    assert max(count) - min(count) <= 2 and min(count) > mean - 1.5


def test_zones_are_reached_in_proportion() -> None:
    members = [SubsetMember(f"a{i}", "a", 0) for i in range(800)]
    members += [SubsetMember(f"b{i}", "b", 0) for i in range(200)]
    for subset in node_subsets(40, 300, members):
        got = Counter(id[0] for id in subset.held)
        assert got == {"a": 120, "b": 30}


def test_a_cell_is_mostly_reached_whole() -> None:
    members = fleet(960, cell_size=4)
    cells = {m.id: (m.zone, m.cell) for m in members}
    for subset in node_subsets(20, 320, members):
        got = Counter(cells[id] for id in subset.held)
        assert sum(n < 4 for n in got.values()) <= 6  # partial cells only at the two edges of each zone's window


def test_one_server_more_or_less_exchanges_few() -> None:
    members = fleet(1000)
    subsets = node_subsets(40, 333, members)
    moved = []
    for subset in subsets:
        before = set(subset.held)
        subset.update(members[:400] + members[401:], 2 * S)
        settle(subset, 2 * S)
        moved.append(len(before - subset.held))
    assert max(moved) <= 2 and sum(moved) < len(subsets)


def test_a_fifth_of_the_fleet_lost_is_made_up_at_once_and_the_rest_moves_slowly() -> None:
    members = fleet(1000)
    rng = random.Random(3)
    for subset in node_subsets(40, 333, members):
        left = [m for m in members if rng.random() > 0.23]
        kept = subset.held & {m.id for m in left}
        subset.update(left, 2 * S)
        assert len(subset.held) == subset.size == 166 and kept <= subset.held
        for i in range(1, 5):
            change = subset.tick(2 * S + i * subset.settings.swap_us)
            assert len(change.entered) <= 1 and len(change.left) <= 1
            assert not subset.tick(2 * S + (i + 1) * subset.settings.swap_us - 1)  # none before ``swap_us``
        settle(subset, 10 * S)
        assert subset.held == subset.wanted(0)


def test_fewer_places_than_servers_turn_until_every_server_has_had_its_time() -> None:
    members = fleet(300)
    subset = Subset(SubsetSettings(most=60, nodes=2, node=1, turn_us=S, swap_us=S // 4))
    subset.update(members, 1)
    seen = set(subset.held)
    now = 1
    for _ in range(4 * 320):
        now += S // 4
        change = subset.tick(now)
        assert len(change.entered) <= 1 and len(subset.held) <= subset.size + 1
        seen |= subset.held
    assert seen == {m.id for m in members}


def test_nodes_that_follow_one_another_stand_apart() -> None:
    for nodes in range(1, 200):
        positions = [ring_position(i, nodes) for i in range(nodes)]
        assert sorted(positions) == list(range(nodes))
        if nodes > 8:
            gaps = [min((a - b) % nodes, (b - a) % nodes) for a, b in zip(positions, positions[1:], strict=False)]
            assert min(gaps) > nodes // 5


@given(st.dictionaries(st.sampled_from("abcdefg"), st.integers(1, 500), min_size=1), st.integers(1, 900))
@settings(deadline=None, derandomize=True)
def test_shares_add_up_and_leave_no_zone_out(sizes: dict[str, int], total: int) -> None:
    total = min(total, sum(sizes.values()))
    out = shares(sizes, total)
    assert all(1 <= out[z] <= sizes[z] for z in sizes)
    assert total <= sum(out.values()) <= max(total, len(sizes)) or len(sizes) > 1
    assert sum(out.values()) >= total - len(sizes)


@given(st.data())
@settings(deadline=None, derandomize=True, max_examples=60)
def test_any_lists_in_any_order_leave_a_reach_of_listed_servers_of_the_right_size(data: st.DataObject) -> None:
    nodes = data.draw(st.integers(1, 9))
    subset = Subset(SubsetSettings(data.draw(st.integers(4, 80)), data.draw(st.integers(0, nodes - 1)), nodes))
    now = 1
    for _ in range(data.draw(st.integers(1, 8))):
        first = data.draw(st.integers(0, 50))
        members = fleet(data.draw(st.integers(0, 150)), first=first)
        before = set(subset.held)
        now += data.draw(st.integers(0, 3 * S))
        change = subset.update(members, now)
        assert subset.held == (before | set(change.entered)) - set(change.left)
        for _ in range(data.draw(st.integers(0, 5))):
            now += S
            before = set(subset.held)
            change = subset.tick(now)
            assert subset.held == (before | set(change.entered)) - set(change.left)
        assert subset.held <= {m.id for m in members}
        if members:
            assert len(subset.held) >= min(len(members), subset.size)
            assert subset.whole == (len(subset.held) == len(members)) or subset.size >= len(members)


@pytest.mark.parametrize("changes", [{"most": 0}, {"node": 3}, {"room": 0.0}, {"swap_us": 0}])
def test_settings_that_cannot_be_are_named(changes: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(changes))):
        SubsetSettings(**{"most": 9, **changes})  # type: ignore[arg-type]


def test_nodes_of_a_large_fleet_keep_to_few_servers_each_and_every_server_has_enough_nodes() -> None:
    """In a large fleet a node that used all 60 servers sent to each only every 2.5 s and learned none in time."""
    members = [SubsetMember(f"s{i}", "abc"[i % 3], i % 8) for i in range(60)]
    fleet = [Subset(SubsetSettings(200, i, 40, reach=20, overlap=8)) for i in range(40)]
    for subset in fleet:
        subset.update(members, 0)
        assert len(subset.held) == 20 and abs(subset.coverage() - 1 / 3) < 1e-9
        assert {"abc"[int(id[1:]) % 3] for id in subset.held} == set("abc")
    nodes = [sum(m.id in subset.held for subset in fleet) for m in members]
    assert 11 <= min(nodes) <= max(nodes) <= 16, nodes


def test_few_nodes_or_few_servers_keep_to_all() -> None:
    members = [SubsetMember(f"s{i}") for i in range(60)]
    for nodes, count, kept in ((23, 60, 60), (24, 60, 20), (40, 20, 20), (40, 19, 19), (2, 60, 60)):
        subset = Subset(SubsetSettings(200, 0, nodes, reach=20, overlap=8))
        subset.update(members[:count], 0)
        assert len(subset.held) == kept, (nodes, count)
    everything = Subset(SubsetSettings(200, 0, 40))
    everything.update(members, 0)
    assert everything.whole


def test_nodes_turn_to_new_servers_in_different_orders_and_soon() -> None:
    """When a zone recovered, all nodes with overlapping windows added the same server first."""
    fleet = [Subset(SubsetSettings(200, i, 40, reach=20, swap_us=S // 4)) for i in range(40)]
    old = [SubsetMember(f"s{i}") for i in range(32)]
    new = [SubsetMember(f"n{i}") for i in range(28)]
    first = []
    for subset in fleet:
        subset.update(old, 0)
        subset.update(old + new, S)
        change = subset.tick(S + S // 4)
        assert len(change.entered) <= 1 and len(change.left) == len(change.entered)
        first += change.entered
        for k in range(1, 6):
            assert len(subset.tick(S + 10 * k * S).entered) <= 4, "a late tick makes at most four exchanges"
        assert subset.held == subset.wanted(60 * S) and len(subset.held) == 20
    assert max(Counter(first).values()) <= 5, "in ring order 13 of 40 nodes would begin with the same server"
