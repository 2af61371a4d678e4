"""Tests of the queue of attempts that wait for a connection to one server."""

from __future__ import annotations

from dataclasses import dataclass, field

from headspar.connections.plan import Plan, PlanSettings
from headspar.connections.waiters import Waiters


@dataclass
class Request:
    live: bool = True


@dataclass(eq=False)
class Attempt:
    sent_at: int = 0
    ended: bool = False
    request: Request = field(default_factory=Request)


def waiting(count: int) -> tuple[Plan, Waiters[Attempt], list[Attempt], list[Attempt]]:
    """A plan in which ``count`` attempts wait for one connection, the queue, the attempts, and the abandoned ones."""
    plan = Plan(PlanSettings(10, 1_000_000, making=1), 1)
    plan.place("s", 0)
    abandoned: list[Attempt] = []
    waiters: Waiters[Attempt] = Waiters("s", plan, lambda a: a.request.live, abandoned.append)
    attempts = [Attempt(sent_at=100 * i) for i in range(count)]
    for attempt in attempts:
        plan.take("s", 0, proof=False)
        waiters.line.append(attempt)
    waiters.making = 1
    assert plan.servers["s"].waiting == count
    return plan, waiters, attempts, abandoned


def test_the_longest_wait_first_and_only_who_is_still_owed_one() -> None:
    plan, waiters, attempts, abandoned = waiting(4)
    attempts[0].ended = True
    attempts[1].request.live = False
    assert waiters.next() is attempts[2] and abandoned == [attempts[1]]
    assert plan.servers["s"].waiting == 1
    assert waiters.next() is attempts[3] and waiters.next() is None and plan.servers["s"].waiting == 0


def test_none_waits_longer_than_a_connection_may_take_and_a_half_again() -> None:
    plan, waiters, attempts, abandoned = waiting(3)
    waiters.wait_no_longer(300, 200)
    assert abandoned == []
    waiters.wait_no_longer(301, 200)
    assert abandoned == [attempts[0]]
    waiters.making = 0  # no connection is being opened any more
    waiters.wait_no_longer(302, 200)
    assert abandoned == attempts and plan.servers["s"].waiting == 0


def test_of_a_server_that_is_gone_all_leave() -> None:
    _, waiters, attempts, abandoned = waiting(2)
    assert waiters.leave() == attempts and not waiters.line and abandoned == []
