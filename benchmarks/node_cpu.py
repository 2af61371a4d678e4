"""``python -m benchmarks.node_cpu [--json]``: CPU time per request of the node, next to a bare relay.

Both run before the same instant servers on the same event loop and parser and get the same stream of requests, in
turns within one run.  What a request costs beyond the relay is the cost of rules and decisions.  Medians over turns.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
from pathlib import Path

import uvloop

from benchmarks.rig import Rig, write_line


async def measure(dir: Path, servers: int, rps: float, turns: int, seconds: float) -> dict[str, object]:
    """CPU times in µs per request, and their ratio."""
    rig = Rig(dir, servers)
    await rig.start()
    try:
        costs = await rig.beside_relay(rps, turns, seconds)
        node, relay = statistics.median(costs["node"]), statistics.median(costs["relay"])
        ratios = [n / r for n, r in zip(costs["node"], costs["relay"], strict=True)]
        stream = rig.streams["node"]
        return {
            "node_us": round(node, 1), "relay_us": round(relay, 1), "ratio": round(node / relay, 3),
            "ratio_least": round(min(ratios), 3), "ratio_most": round(max(ratios), 3), "servers": servers,
            "rps": rps, "served": stream.served, "not_served": stream.other + stream.closed,
        }
    finally:
        await rig.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON")
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--rps", type=float, default=1200.0)
    parser.add_argument("--turns", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=2.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as dir:
        figures = uvloop.run(measure(Path(dir), args.servers, args.rps, args.turns, args.seconds))
    write_line(figures, args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
