"""The line of attempts before a server's connections."""

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


def line(count: int) -> tuple[Plan, Waiters[Attempt], list[Attempt], list[Attempt]]:
    """A plan in which so many wait for one connection that is being made, the line, and who was ended as moot."""
    plan = Plan(PlanSettings(10, 1_000_000, making=1), 1)
    plan.place("s", 0)
    moot: list[Attempt] = []
    waiters: Waiters[Attempt] = Waiters("s", plan, lambda a: a.request.live, moot.append)
    attempts = [Attempt(sent_at=100 * i) for i in range(count)]
    for attempt in attempts:
        plan.take("s", 0, proof=False)
        waiters.line.append(attempt)
    waiters.making = 1
    assert plan.servers["s"].waiting == count
    return plan, waiters, attempts, moot


def test_the_longest_wait_first_and_only_who_is_still_owed_one() -> None:
    plan, waiters, attempts, moot = line(4)
    attempts[0].ended = True
    attempts[1].request.live = False
    assert waiters.next() is attempts[2] and moot == [attempts[1]]
    assert plan.servers["s"].waiting == 1
    assert waiters.next() is attempts[3] and waiters.next() is None and plan.servers["s"].waiting == 0


def test_none_waits_longer_than_a_connection_may_take_and_a_half_again() -> None:
    plan, waiters, attempts, moot = line(3)
    waiters.wait_no_longer(300, 200)
    assert moot == []
    waiters.wait_no_longer(301, 200)
    assert moot == [attempts[0]]
    waiters.making = 0  # nothing will come any more
    waiters.wait_no_longer(302, 200)
    assert moot == attempts and plan.servers["s"].waiting == 0


def test_of_a_server_that_is_gone_all_leave() -> None:
    _, waiters, attempts, moot = line(2)
    assert waiters.leave() == attempts and not waiters.line and moot == []
