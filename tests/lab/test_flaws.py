"""The audit detects relays that violate one rule each, and passes a correct one."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from headspar.lab.run import run_scenario
from headspar.world.scenario import parse

SCENARIO = '''
name = "flaws"
length_s = 4.5
[nodes]
count = 1
peers = false
[[servers]]
count = 6
sites = ["x", "y"]
[load]
rps = 60
[callers]
retries = 0
[discovery]
mode = "pushed"
notice_s = [0.1, 0.2]
add_s = [0.1, 0.2]
delay_ms = 1
[rules]
drain_grace_s = 0.5
fall_s = 1.0
lateness_ms = 100
'''
CLASSES = {"look": "", "pay": 'effect = "dedup"\nwindow_ms = 250', "crew": 'effect = "fragile"',
           "batch": 'effect = "dedup"\ngroup = "zone"\nwindow_ms = 250'}
SCENARIO += "".join(
    f'[[classes]]\nname = "{name}"\nshare = 1\nwork_ms = [24, 44]\nwait_ms = [10, 20]\naim_ms = 400\n'
    f'deadline_ms = 800\n{more}\n' for name, more in CLASSES.items()
)
SCENARIO += '''
[[faults]]
at_s = 0.3
kind = "reset"
servers = 4
for_s = 3
share = 0.3
[[faults]]
at_s = 0.5
kind = "drain"
servers = 1
linger_s = 60
[[faults]]
at_s = 0.6
kind = "die"
servers = 1
back_s = 1.0
'''
FLAWS = {
    "loses": "lost: closed unanswered",
    "late": "lost: answered late",
    "another's answer": "lost: served with what no server made",
    "after the answer": "lost: sent after its answer",
    "two answers": "lost: more than one answer",
    "unsafe twice": "duplicated: unsafe sent again",
    "refuses": "duplicated: refused after it may have run",
    "outside group": "duplicated: repeated outside its group",
    "outside window": "duplicated: repeated outside its window",
    "drained": "drain: sent after the grace",
    "floods": "cold: pushed over",
    "crashes": "crash: ended by itself",
}


@pytest.mark.parametrize("flaw", ["none", *FLAWS])
def test_each_flaw_is_caught_and_named(flaw: str, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.lab.relay", flaw]
    result = run_scenario(parse(SCENARIO), 3, tmp_path, command=command)
    v = result.verdict
    if flaw == "none":
        assert v.clean, (v.doubts, [x.line() for x in v.violations[:5]])
        assert v.taken > 150 and v.served > 0.6 * v.taken
        return
    named = [x for x in v.violations if f"{x.rule}: {x.kind}" == FLAWS[flaw]]
    assert named, (v.doubts, v.kinds)
    first = named[0]
    assert first.node == "n1" and 0 <= first.at < 9_000_000 and first.text
    assert first.call >= 0 or first.rule in ("cold", "crash")
    assert not v.clean


@pytest.mark.parametrize(("callers", "least_ms", "most_ms"), [
    ('retries = 2\nbackoff = "none"\nhonour = 0.0', 0, 0),
    ('retries = 2\nbackoff = "fixed"\nbackoff_ms = [20, 100]\nhonour = 0.0', 50, 100),
    ('retries = 2\nbackoff = "none"\nhonour = 1.0', 400, 480),
])
def test_callers_ask_again_as_the_scenario_says(
    callers: str, least_ms: int, most_ms: int, tmp_path: Path
) -> None:
    text = SCENARIO.partition("[[faults]]")[0].replace("retries = 0", callers).replace("4.5", "1.5")
    result = run_scenario(parse(text), 3, tmp_path, command=[sys.executable, "-m", "tests.lab.relay", "busy"])
    asks = {(a.call, a.attempt): a for a in result.recording.asks}
    firsts = [a for a in asks.values() if a.attempt == 0]
    assert len(firsts) > 40 and len(asks) == 3 * len(firsts)
    for (call, attempt), a in asks.items():
        assert a.status == 503 and a.retry_after_us == 400_000
        if attempt:
            pause = a.planned_at - asks[call, attempt - 1].ended_at
            # A busy machine adds delay; a tolerance of 40 ms still tells the three policies apart.
            assert 1000 * least_ms - 5_000 <= pause <= 1000 * most_ms + 40_000
    assert not any(result.verdict.counts.values()) and result.service.amplification == 3.0
