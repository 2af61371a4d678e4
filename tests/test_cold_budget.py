"""The total that a node sends to cold servers, by whichever path, stays within its part of their budget."""

from __future__ import annotations

import random

import pytest

from headspar.decide import KNOWN_ANSWERS, Backend, Capacity, ClassState, Picker, Request
from headspar.interface import BackendEntry, Health
from tests.helpers import LOOK, settings

S = 1_000_000
WORK = 10_000


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("warm", [0, 1])
def test_no_cold_server_gets_its_part_twice(seed: int, warm: int) -> None:
    """Guards against budgets spent twice: draws and the fallback without warm servers had separate budget clocks, so
    each cold server got its part once by a draw and once more by the fallback."""
    s = settings(fall_us=S, ramp_us=2000 * S, cold_share=0.2)
    rng = random.Random(seed)
    capacity = Capacity(s)
    capacity.steady, capacity.typical_work, capacity.answers, capacity.acc = float(S), WORK, KNOWN_ANSWERS, 0.0
    picker = Picker(s, capacity, rng)
    now = 5000 * S
    servers = []
    for i in range(4 + warm):
        started = now - s.ramp_us // 2 if i < 4 else 0
        b = Backend(BackendEntry(f"s-{i}", "a", "m", 0, Health.READY, 1.0, started))
        b.warm = s.warm_share(b.started_at, now)
        servers.append(b)
    picker.set_pool(servers)
    picker.classify()
    cls = ClassState(LOOK, 0)
    sent = dict.fromkeys((b.id for b in servers), 0)
    for i in range(12_000):  # far more than the budgets allow, over 6 s
        now += 500
        picked = picker.pick(Request(str(i), cls, WORK, now, now + S, 3), now, False)
        if picked is not None:
            sent[picked.id] += 1
    _, rate = picker.budget(servers[0], now)
    part = 6 * rate / WORK
    cold = [sent[b.id] for b in servers[:4]]
    assert sum(cold) <= 4 * part * 1.25  # one window's budget has accrued at the start
    assert sum(cold) >= 4 * part * 0.8  # each gets its own budget
