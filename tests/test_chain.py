"""The state machine of the long-poll watch on discovery, without sockets."""

from __future__ import annotations

import pytest

from headspar.decide import WATCH_RETRY_US
from headspar.interface import RequestClass, Settings
from headspar.node.chain import (
    AGAIN_US,
    DELIVERY_AFTER_FAILURE_US,
    DELIVERY_US,
    PATIENCE_US,
    RECONNECT_US,
    RETRY_PAUSE_US,
    Chain,
    Then,
)


def settings(asked: bool = True, every_s: float = 10.0, grace_s: float = 1.0) -> Settings:
    return Settings([RequestClass("look", 1000, 1000)], must_subscribe=asked, ask_every_us=int(every_s * 1e6),
                    drain_grace_us=int(grace_s * 1e6))


def test_a_silent_call_is_asked_anew_once() -> None:
    chain = Chain(settings())
    assert chain.silent() and chain.retried  # replaces the call that timed out
    assert not chain.silent()
    chain.answered()
    assert chain.silent()


@pytest.mark.parametrize(("asked", "then", "watching"), [(True, Then.TELL, False), (False, Then.AGAIN, True)])
def test_a_failure_ends_the_chain_only_where_discovery_is_asked(asked: bool, then: Then, watching: bool) -> None:
    chain = Chain(settings(asked))
    assert chain.failed() is Then.NOTHING  # no watch is active
    chain.watching = True
    chain.silent()
    assert chain.failed() is then and chain.watching is watching and not chain.retried


def test_at_another_address_the_whole_list_is_asked_for_until_it_came() -> None:
    chain = Chain(settings())
    chain.silent()
    chain.moved()
    assert chain.watching and chain.first and chain.whole and not chain.retried
    chain.failed()
    assert chain.whole  # what the old address would have sent is still missing
    chain.answered()
    assert not chain.first and not chain.whole


def test_waits_leave_time_for_patience_and_one_more_call_within_what_counts_as_told() -> None:
    chain = Chain(settings(asked=False, grace_s=1.5))
    assert chain.wait_us == chain.min_wait_us == DELIVERY_US + 1_500_000 - PATIENCE_US - RECONNECT_US
    waits = [chain.wait_us]
    for _ in range(3):
        chain.failed()
        waits.append(chain.wait_us)
    assert waits[1] == 2 * waits[0] and waits[2] == waits[-1] == chain.max_wait_us
    for _ in range(50):
        chain.answered()
    assert chain.wait_us == chain.min_wait_us
    chain.change(settings(asked=False, every_s=100.0, grace_s=60.0))
    assert chain.wait_us == chain.min_wait_us == chain.max_wait_us


@pytest.mark.parametrize("every_s", [0.5, 2.0, 10.0, 100.0])
@pytest.mark.parametrize("grace_s", [0.1, 1.0, 2.0, 60.0])
@pytest.mark.parametrize("asked", [True, False])
def test_a_call_made_during_an_outage_ends_in_time_for_another_after_it(
    asked: bool, grace_s: float, every_s: float
) -> None:
    """Guards against a drain that is heard 9 s after discovery is back: the open call was never to be answered."""
    chain = Chain(settings(asked, every_s, grace_s))
    pause_us = 1.5 * WATCH_RETRY_US[1] if asked else AGAIN_US
    for _ in range(20):
        chain.watching = True
        assert chain.call_wait_us() + PATIENCE_US + RECONNECT_US <= DELIVERY_AFTER_FAILURE_US
        assert chain.silent()
        assert chain.call_wait_us() + PATIENCE_US + pause_us + RECONNECT_US <= DELIVERY_AFTER_FAILURE_US
        assert not chain.silent()
        chain.failed()


def test_the_balancer_starts_a_new_watch_within_the_pause_that_waits_allow_for() -> None:
    assert 1.5 * WATCH_RETRY_US[1] <= RETRY_PAUSE_US
