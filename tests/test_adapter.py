"""The line protocol: round trips, malformed input, and the same actions however instances are spread over
processes."""

from __future__ import annotations

import io
import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from headspar.adapter import serve
from headspar.settings import SettingsError, parse_settings

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = {
    "az": "a",
    "balancers": 2,
    "me": 0,
    "unknown_key": {"x": 1},
    "counted_by": "work",
    "quantum_us": 5000,
    "classes": [
        {
            "name": "look",
            "aim_us": 400000,
            "give_up_us": 2000000,
            "effect": "retryable",
            "group": "all",
            "window_us": 5000000,
            "worth": 1.0,
            "late_worth": 0.0,
            "stream": False,
        }
    ],
    "invariants": {
        "answer_slack_us": 20000,
        "ask_every_us": 10000000,
        "cold_share": 0.13,
        "drain_grace_us": 250000,
        "fall_multiple": 4.0,
        "fall_us": 2000000,
        "ramp_time_us": 22000000,
    },
    "policy_limits": {"try_limit": 3, "cancel": True, "second_copies": False},
    "registry_mode": "subscribe",
}


def launch(node: int, seed: int) -> list[str]:
    return [
        f"context\t{node}",
        f"launch\t{seed}\t{json.dumps(dict(SETTINGS, me=node))}",
        "members\tPersisted\t4\t3",
        *(f"entry\t10.0.0.{i}:80\ta\tx\t0\tReady\t1\t-" for i in range(3)),
    ]


def script(nodes: list[int]) -> str:
    lines = ["batch\t1000\t0", "your_turn", "batch\t2000\t1"]
    for n in nodes:
        lines += launch(n, 100 + n)
    lines.append("your_turn")
    for k in range(40):
        lines.append(f"batch\t{3000 + 7000 * k}\t{k + 2}")
        for n in nodes:
            lines += [
                f"context\t{n}",
                f"knock\tid-{n}-{k}\t1\t-\tlook\t{1000 + 500 * k}\t{2003000 + 7000 * k}\t-",
            ]
            lines.append("wake\t1")
        lines.append("your_turn")
    return "\n".join(lines) + "\n"


def run(text: str, hash_seed: str = "0") -> str:
    env = dict(os.environ, PYTHONHASHSEED=hash_seed, PYTHONPATH=str(ROOT))
    done = subprocess.run(
        [sys.executable, "-m", "headspar.adapter"],
        input=text.encode(),
        capture_output=True,
        env=env,
        check=True,
    )
    return done.stdout.decode()


def by_node(reply: str) -> dict[str, list[str]]:
    out: dict[str, list[str]] = {}
    node = ""
    for line in reply.splitlines():
        if line.startswith("source\t"):
            node = line
        elif not line.startswith("next\t"):
            out.setdefault(node, []).append(line)
    return out


def test_same_actions_in_one_process_and_in_several_and_under_any_hash_seed() -> None:
    together = run(script([0, 1]), "1")
    assert together == run(script([0, 1]), "77")
    assert "place\tid-1-" in together
    assert by_node(together) == {**by_node(run(script([0]))), **by_node(run(script([1])))}


def test_every_batch_is_answered_and_end_of_input_is_success() -> None:
    out = io.BytesIO()
    text = script([0])
    assert serve(io.BytesIO(text.encode()), out) == 0
    assert len(re.findall(r"^next\t", out.getvalue().decode(), re.M)) == text.count("your_turn")


@pytest.mark.parametrize(
    "line",
    [
        "knock\tx\t1\t-\tlook\tmany\t99\t-",
        "knock\tx",
        "hello\tx",
        "attempt_end\tx\t1\t0\t0\tb\t9\t-",
        "members\tPersisted\t1\t4",
        "members\tStrange\t1\t0",
        "wake\tsoon",
        "context\tone",
    ],
)
def test_malformed_lines_are_named(line: str, capsys: pytest.CaptureFixture[str]) -> None:
    text = "\n".join(["batch\t2000\t1", *launch(0, 5), line, "your_turn"]) + "\n"
    out = io.BytesIO()
    assert serve(io.BytesIO(text.encode()), out) == 1
    assert out.getvalue().decode().startswith("bail_out\t")
    assert line.split("\t")[-1] in capsys.readouterr().err


def test_an_event_for_an_unknown_instance_is_an_error() -> None:
    out = io.BytesIO()
    assert serve(io.BytesIO(b"batch\t1\t1\ncontext\t4\nwake\t1\nyour_turn\n"), out) == 1
    assert b"instance 4" in out.getvalue()


def test_settings_missing_a_key_or_impossible_are_named() -> None:
    with pytest.raises(SettingsError, match="policy_limits"):
        parse_settings(json.dumps({k: v for k, v in SETTINGS.items() if k != "policy_limits"}))
    with pytest.raises(SettingsError, match="balancers"):
        parse_settings(json.dumps(dict(SETTINGS, balancers=0)))


def test_killed_then_launched_in_one_batch_starts_anew() -> None:
    out = io.BytesIO()
    lines = ["batch\t1000\t1", *launch(0, 5), "your_turn"]
    lines += [
        "batch\t9000\t2",
        "context\t0",
        "killed",
        *launch(0, 6),
        "knock\tq\t0\t-\tlook\t-\t2000000\t0",
        "your_turn",
    ]
    assert serve(io.BytesIO(("\n".join(lines) + "\n").encode()), out) == 0
    assert "place\tq\t" in out.getvalue().decode()
