"""``python -m benchmarks.operations [--json]``: what routine operations on a node cost its clients.

*Upgrades*: ten in a row under 400 requests a second. ``upgrade_turned_back``: client connections that were closed;
``upgrade_lost``: requests with no response; ``upgrade_peak_fds`` and ``upgrade_peak_mb`` (proportional set size):
both processes together, sampled every 10 ms, with ``fds_limit`` and ``mb_limit``. *Drain*:
``drain_last_idle_closed_ms`` after the call, ``drain_lost`` requests under 400 a second that got no response although
they were sent before their connection was closed. *Calls*: ``ops_answer_ms_p99`` and ``_max`` under 2,400 requests a
second with 200 clients that each hold half a request open; ``figures_worst_error_pct`` of ``success``, beyond what
was in progress when the figures were requested. *Reloads*: ten a second for 5 s, ``reload_apply_ms_p99`` from the
signal until the figure shows it, ``reload_lost`` requests.

*Learned state*: a lab run of two nodes at 85% of the servers' capacity, with two slow servers and both nodes upgraded
at 8 s: ``first_5s_served_share_with_beliefs`` (learned state handed over) and ``…_without``, of the first attempts in
the 5 s after the upgrade; medians over seeds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.rig import Rig, Stream, progress, write_line
from headspar.lab.nodes import NodeProcess
from headspar.lab.run import run_scenario
from headspar.world.records import ClientOutcome
from headspar.world.scenario import parse

SOCKETS = 384
UPGRADES, UPGRADE_RPS, SLOW_CLIENTS, CALLS_RPS = 10, 400.0, 200, 2400.0
LEARNED_STATE = '''
name = "beliefs"
length_s = 14
[nodes]
count = 2
[load]
utilisation = 0.85
shape = "steady"
[callers]
retries = 1
[[faults]]
at_s = 3
kind = "slow"
servers = 2
for_s = 11
factor = 5
[[faults]]
at_s = 8
kind = "node_upgrade"
nodes = 2
'''


def files_and_mb(pids: list[int]) -> tuple[int, float]:
    """Descriptors and proportional set size (MiB) of these processes together."""
    files, kb = 0, 0
    for pid in pids:
        try:
            files += len(os.listdir(f"/proc/{pid}/fd"))
            rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
        except OSError:
            continue  # the process has exited
        kb += next(int(line.split()[1]) for line in rollup.splitlines() if line.startswith("Pss:"))
    return files, kb / 1024


def quantile(values: list[float], share: float) -> float:
    """The value below which about *share* (0 to 1) of the values lie."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def load(stream: Stream, rps: float, seconds: float) -> None:
    await stream.run(rps, seconds)


def unanswered(stream: Stream) -> int:
    """Requests sent without a response; valid only when no request is in progress."""
    return stream.sent - stream.served - stream.other


async def upgrades(rig: Rig, node: NodeProcess, stream: Stream) -> dict[str, Any]:
    """Upgrades the node ``UPGRADES`` times under load; raises ``RuntimeError`` if a new process is not ready."""
    pids: list[int] = []
    peak = [0, 0.0]

    async def sample() -> None:
        while True:
            files, mb = files_and_mb(pids)
            peak[:] = [max(peak[0], files), max(peak[1], mb)]
            await asyncio.sleep(0.01)

    assert node.process is not None
    pids.append(node.process.pid)
    sampling = asyncio.create_task(sample())
    running = asyncio.create_task(load(stream, UPGRADE_RPS, 1.5 * UPGRADES))
    for i in range(UPGRADES):
        print(f"\rupgrade {i + 1} of {UPGRADES}", end="", file=sys.stderr)
        await asyncio.sleep(0.4)
        old_process = await node.start_new_process(node.config["known"], rig.discovery.sockets[0].getsockname()[:2])
        pids.append(node.process.pid)
        if not await node.wait_ops_ready(20):
            raise RuntimeError("the new process did not become ready within 20 s")
        node.terminate_old_process(old_process)
        await old_process.wait()
        pids.remove(old_process.pid)
    await running
    sampling.cancel()
    print(file=sys.stderr)
    return {
        "upgrades": UPGRADES, "upgrade_turned_back": stream.closed, "upgrade_lost": unanswered(stream),
        "upgrade_refused": stream.other, "upgrade_peak_fds": peak[0], "fds_limit": SOCKETS,
        "upgrade_peak_mb": round(peak[1], 1), "mb_limit": 192,
    }


async def operations_calls(node: NodeProcess, stream: Stream) -> dict[str, Any]:
    """Response times of the operations port and accuracy of its figures under load, while clients hold half-sent
    requests open."""
    held_writers = []

    async def hold() -> None:
        while True:
            for _ in range(SLOW_CLIENTS):
                try:
                    _, writer = await asyncio.open_connection(*node.ops)
                except OSError:
                    continue
                writer.write(b"GET /stats HTTP/1.1\r\nHo")
                held_writers.append(writer)
            await asyncio.sleep(4)
            for writer in held_writers:
                writer.close()
            held_writers.clear()

    before = (await node.call("/stats"))[1]["replies"]
    offset = sum(row["success"] for row in before.values()) - stream.served
    holding = asyncio.create_task(hold())
    running = asyncio.create_task(load(stream, CALLS_RPS, 8.0))
    times, worst = [], 0.0
    while not running.done():
        served, started = stream.served, time.perf_counter()
        status, figures = await node.call("/stats")
        times.append((time.perf_counter() - started) * 1000)
        if status != 200:
            raise RuntimeError(f"GET /stats was answered with {status}")
        reported = sum(row["success"] for row in figures["replies"].values()) - offset
        error = max(0, served - reported, reported - (stream.served + len(stream.idle) + figures["concurrent"]))
        worst = max(worst, 100 * error / max(100, served))
        await asyncio.sleep(0.02)
    holding.cancel()
    for writer in held_writers:
        writer.close()
    return {
        "ops_answer_ms_p99": round(quantile(times, 0.99), 2), "ops_answer_ms_max": round(max(times), 2),
        "ops_calls": len(times), "figures_worst_error_pct": round(worst, 3),
    }


async def reloads(node: NodeProcess, stream: Stream) -> dict[str, Any]:
    """Reloads the settings 50 times under load; raises ``RuntimeError`` if one is not applied within 5 s."""
    before, applied = unanswered(stream), []
    running = asyncio.create_task(load(stream, UPGRADE_RPS, 6.0))
    for i in range(50):
        done = (await node.call("/stats"))[1]["reload_success"]
        node.config["settings"]["policy_limits"]["try_limit"] = 3 + i % 3
        address = node.config["discovery"].rpartition(":")
        node.configure((address[0], int(address[2])))
        started = time.perf_counter()
        node.signal(signal.SIGHUP, "node_hup")
        while (await node.call("/stats"))[1]["reload_success"] == done:
            if time.perf_counter() - started > 5:
                raise RuntimeError("reload not applied within 5 s")
        applied.append((time.perf_counter() - started) * 1000)
        await asyncio.sleep(max(0.0, 0.1 - applied[-1] / 1000))
    await running
    return {"reload_apply_ms_p99": round(quantile(applied, 0.99), 2), "reload_lost": unanswered(stream) - before}


async def drain(node: NodeProcess, stream: Stream) -> dict[str, Any]:
    """Drains the node under load and waits up to 10 s for its client connections to close."""
    await stream.run(UPGRADE_RPS, 1.0)
    before, closed_before, connections = unanswered(stream), stream.closed, len(stream.callers)
    running = asyncio.create_task(load(stream, UPGRADE_RPS, 0.5))
    await asyncio.sleep(0.2)
    started = time.perf_counter()
    await node.call("/healthcheck/fail", "POST")
    await running
    while stream.callers and time.perf_counter() - started < 10:
        await asyncio.sleep(0.005)
    took = (time.perf_counter() - started) * 1000
    await node.call("/healthcheck/ok", "POST")
    return {
        "drain_connections": connections, "drain_closed": stream.closed - closed_before,
        "drain_last_idle_closed_ms": round(took, 1), "drain_lost": unanswered(stream) - before,
    }


async def measure_node(dir: Path) -> dict[str, Any]:
    """All figures of one real node: upgrades, operations calls, reloads and the drain."""
    rig = Rig(dir, 3)
    await rig.start()
    try:
        await rig.add("node", sockets=SOCKETS)
        node, stream = rig.targets["node"], rig.streams["node"]
        figures = await upgrades(rig, node, stream)
        figures |= await operations_calls(node, stream)
        figures |= await reloads(node, stream)
        return figures | await drain(node, stream)
    finally:
        await rig.close()


def share_after_upgrade(dir: Path, seed: int, hand_over: bool) -> float:
    """The share of first attempts in the 5 s after the upgrade that were served."""
    operator = dir / "operator.toml"
    dir.mkdir()
    operator.write_text(f"[handover]\nbeliefs = {json.dumps(hand_over)}\n")
    show = progress(f"learned state {hand_over}, seed {seed}", 14)
    result = run_scenario(parse(LEARNED_STATE), seed, dir, show, operator=operator)
    during = result.recording.rules.began_at + 12_000_000  # later SIGTERMs end the run
    upgraded_at = max(m.at for m in result.recording.marks if m.what == "node_term" and m.at < during)
    attempts = [a for a in result.recording.asks
                if a.attempt == 0 and upgraded_at <= a.sent_at < upgraded_at + 5_000_000]
    return sum(a.end is ClientOutcome.ANSWER and a.status == 200 for a in attempts) / max(1, len(attempts))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON")
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        dir = Path(name)
        figures = uvloop.run(measure_node(dir))
        for hand_over in (True, False):
            shares = [share_after_upgrade(dir / f"{hand_over}-{seed}", seed, hand_over)
                      for seed in range(1, args.seeds + 1)]
            field = "first_5s_served_share_" + ("with_beliefs" if hand_over else "without")
            figures[field] = round(statistics.median(shares), 4)
    print(file=sys.stderr)
    write_line(figures, args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
