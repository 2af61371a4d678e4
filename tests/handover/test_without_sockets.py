"""Tests of the hand-over messages, state machines and shares, without sockets."""

from __future__ import annotations

import json

import pytest

from headspar.handover import shares
from headspar.handover.messages import (
    VERSION,
    Clients,
    Held,
    Hello,
    Message,
    MessageError,
    No,
    Offer,
    Ready,
    Taken,
    decode,
    encode,
    pack_ids,
    unpack_ids,
)
from headspar.handover.transitions import Action, NewProcessState, OldProcessState, new_process_step, old_process_step

MESSAGES: list[tuple[Message, int]] = [
    (Hello("n0"), 0), (Offer(True, 1, 2, 3), 3), (Offer(False, 1, 2, 3), 2), (Ready(), 0), (Clients(5), 5),
    (Held(1, 2, 3), 0), (Held(1, 2, 3, held_mb=1434), 0), (Offer(True, 1, 2, 3, held_mb=90), 3), (No("busy"), 0),
    (Hello("n0", ids=True), 0), (Taken("a1\nb2"), 0),
]


def test_call_ids_are_packed_into_packets_of_bounded_size_and_come_back() -> None:
    ids = [b"%0200d" % i for i in range(100)] + [bytes([0xff]) * 200] * 50 + [b"short"] * 500
    rest, found, packets = ids, [], 0
    while rest:
        message, count = pack_ids(rest)
        assert count >= 1 and decode(encode(message), 0) == message  # decode rejects longer packets
        found += unpack_ids(message)
        rest, packets = rest[count:], packets + 1
    assert found == ids and packets < 50


def test_ids_that_the_other_process_has_taken_are_recorded_only_while_it_is_there() -> None:
    assert old_process_step(OldProcessState.SUCCEEDED, Taken("a"))[1] is Action.RECORD
    assert new_process_step(NewProcessState.SERVING, Taken("a"))[1] is Action.RECORD
    assert old_process_step(OldProcessState.ALONE, Taken("a"))[1] is Action.STOP
    assert new_process_step(NewProcessState.ASKED, Taken("a"))[1] is Action.STOP


@pytest.mark.parametrize(("message", "sockets"), MESSAGES)
def test_a_message_comes_back_as_it_was_and_only_with_its_sockets(message: Message, sockets: int) -> None:
    assert decode(encode(message), sockets) == message
    with pytest.raises(MessageError, match="sockets"):
        decode(encode(message), sockets + 1)


@pytest.mark.parametrize("packet", [
    b"", b"{", b"[]", b"7", b"{}", b'{"v":1}', b'{"v":1,"say":"jump"}', b'{"v":2,"say":"ready"}',
    b'{"v":1,"say":"hello"}', b'{"v":1,"say":"hello","name":7}', b'{"v":1,"say":"held","clients":1,"backends":2}',
    b'{"v":1,"say":"held","clients":-1,"backends":2,"requests":0}',
    b'{"v":1,"say":"held","clients":true,"backends":2,"requests":0}',
    b'{"v":1,"say":"clients","count":1e3}', b'{"v":1,"say":"clients","count":9999999}', b"\xff\xfe", b" " * 5000,
])
def test_what_can_not_be_used_raises_one_error(packet: bytes) -> None:
    with pytest.raises(MessageError):
        decode(packet, 0)


def test_a_newer_version_is_told_as_such() -> None:
    with pytest.raises(MessageError, match=f"version {VERSION + 1}, not {VERSION}"):
        decode(json.dumps({"v": VERSION + 1, "say": "ready"}).encode(), 0)


def test_the_way_of_a_whole_upgrade_and_that_nothing_else_is_allowed() -> None:
    state, action = old_process_step(OldProcessState.ALONE, Hello("n0"))
    assert (state, action) == (OldProcessState.OFFERED, Action.OFFER)
    assert old_process_step(state, Ready()) == (OldProcessState.SUCCEEDED, Action.HAND_OVER)
    assert new_process_step(NewProcessState.ASKED, Offer(False, 0, 0, 0)) == (NewProcessState.TAKEN, Action.TAKE)
    assert new_process_step(NewProcessState.SERVING, Clients(1)) == (NewProcessState.SERVING, Action.ADOPT)
    assert old_process_step(OldProcessState.SUCCEEDED, Taken("a")) == (OldProcessState.SUCCEEDED, Action.RECORD)
    allowed = {(OldProcessState.ALONE, Hello), (OldProcessState.OFFERED, Ready), (OldProcessState.SUCCEEDED, Taken)}
    for old_state in OldProcessState:
        for message, _ in MESSAGES:
            if (old_state, type(message)) not in allowed:
                assert old_process_step(old_state, message) == (OldProcessState.ALONE, Action.STOP)
    for new_state in (NewProcessState.ASKED, NewProcessState.TAKEN):
        for early in (Clients(1), Held(1, 1, 1), Ready(), Hello("x"), Taken("a")):
            assert new_process_step(new_state, early)[1] is Action.STOP


@pytest.mark.parametrize("sockets", [256, 384, 1024])
def test_two_processes_never_hold_more_than_one_may(sockets: int) -> None:
    alone = shares.whole(sockets, 16, 1000)
    for clients in (0, 10, alone.clients):
        for backends in (0, 10, alone.backends):
            first = shares.old_process_shares(alone)
            other = shares.new_process_shares(alone, Held(clients, backends, 400))
            held = 2 * shares.OWN_FILES + clients + backends + first.spare + first.callers
            held += other.clients + other.backends + other.spare + other.callers + 2
            assert held <= sockets + 2 * shares.MIN_SHARE
            assert other.requests == 600


@pytest.mark.parametrize("alone_mb", [11, 112, 1411])
@pytest.mark.parametrize("held", [0.0, 0.2, 0.5, 0.7, 1.0, 1.3])
def test_two_processes_never_may_hold_more_memory_than_one(alone_mb: int, held: float) -> None:
    alone, held_mb = alone_mb * shares.MIB, int(held * alone_mb)
    other = shares.new_process_budget(alone, Held(0, 0, 0, held_mb))
    most_of_first = max(shares.old_process_budget(alone), held_mb * shares.MIB)
    assert other + most_of_first <= max(alone, most_of_first + shares.MIN_BUDGET)
    assert shares.MIN_BUDGET <= other <= max(shares.MIN_BUDGET, alone - alone // 2)


def test_a_process_of_a_version_that_does_not_tell_what_it_holds_leaves_half() -> None:
    packet = encode(Held(1, 2, 3)).replace(b', "held_mb": 0', b"")
    assert b"held_mb" not in packet
    held = decode(packet, 0)
    assert isinstance(held, Held) and shares.new_process_budget(100 * shares.MIB, held) == 50 * shares.MIB


def test_a_second_process_always_has_some_room() -> None:
    other = shares.new_process_shares(shares.whole(256, 16, 100), Held(10_000, 10_000, 10_000))
    assert min(other.clients, other.backends, other.callers, other.requests) >= 1
