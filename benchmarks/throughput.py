"""``python -m benchmarks.throughput --before CHECKOUT [--json]``: throughput and latency without faults.

The node of another checkout and this one's stand before the same instant servers and are measured in turns, by
clients that each send their next request as soon as the last one is answered.  Connections to servers have no
quarantine between two requests, as waiting for it would hide the price.  Medians over turns; latencies in ms.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from dataclasses import dataclass, fields
from pathlib import Path
from typing import cast

import uvloop

from benchmarks.rig import Rig, cpu_us, node_command, write_line
from headspar.lab.children import now_us
from headspar.lab.nodes import NodeProcess

ROOT = Path(__file__).resolve().parent.parent
CLIENTS = (1, 16, 64)
WARM_UP_S = 1.0


class ClosedLoopClient(asyncio.Protocol):
    """Sends a request, reads its response, and begins again until ``end_us``."""

    serial = 0

    def __init__(self, body: bytes, end_us: int, latencies: list[int]) -> None:
        self.body, self.end_us, self.latencies = body, end_us, latencies
        self.buffer = bytearray()
        self.expected = 0  # bytes of the response; 0: its head is not complete
        self.refused = 0
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._send()

    def _send(self) -> None:
        ClosedLoopClient.serial += 1
        number = ClosedLoopClient.serial
        head = (f"POST /api/r{number % 2000:05d} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: t{number:x}\r\n"
                f"X-Call-Class: pay\r\nX-Caller: agent\r\nX-Budget: 2000000u\r\nX-Call-Cost: 30000\r\n"
                f"Idempotency-Key: k{number:x}\r\nContent-Length: {len(self.body)}\r\n\r\n")
        self.sent_at = now_us()
        self.transport.write(head.encode() + self.body)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if not self.expected:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            at = self.buffer.index(b"Content-Length: ")
            self.expected = end + 4 + int(self.buffer[at + 16:self.buffer.index(b"\r\n", at)])
        if len(self.buffer) >= self.expected:
            self._answered()

    def _answered(self) -> None:
        now = now_us()
        if self.buffer.startswith(b"HTTP/1.1 200"):
            self.latencies.append(now - self.sent_at)
        else:
            self.refused += 1
        self.buffer.clear()
        self.expected = 0
        if now < self.end_us:
            self._send()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


@dataclass(frozen=True)
class Load:
    """Figures of one load: responses with 200 per second, their latencies, other responses, and the node's CPU time
    per response with 200."""

    per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: float
    not_200: int


async def load(node: NodeProcess, clients: int, body: bytes, seconds: float) -> Load:
    """Load a node with a number of clients."""
    assert node.process is not None
    loop = asyncio.get_running_loop()
    cpu_before, begin, latencies = cpu_us(node.process.pid), now_us(), list[int]()
    end = begin + int(seconds * 1e6)
    opened = [await loop.create_connection(lambda: ClosedLoopClient(body, end, latencies), *node.listen)
              for _ in range(clients)]
    await asyncio.gather(*(client.done for _, client in opened))
    spent = (now_us() - begin) / 1e6
    cpu = cpu_us(node.process.pid) - cpu_before
    latencies.sort()
    if not latencies:
        raise RuntimeError("no request was answered with 200")
    tail = latencies[int(0.99 * len(latencies))]
    refused = sum(client.refused for _, client in opened)
    median = statistics.median(latencies)
    return Load(len(latencies) / spent, median / 1000, tail / 1000, cpu / len(latencies), refused)


async def measure(dir: Path, before: Path, args: argparse.Namespace) -> dict[str, object]:
    """Figures by number of clients and checkout."""
    rig = Rig(dir, args.servers, answer_bytes=args.answer)
    await rig.start()
    body = b"x" * args.body
    try:
        operator_file = dir / "operator.toml"
        operator_file.write_text("[connections]\nquarantine_ms = 0\n")
        for name, checkout in (("before", before), ("now", ROOT)):
            await rig.add(name, node_command(checkout, HEADSPAR_OPERATOR=str(operator_file)))
        for name in ("before", "now"):
            await load(rig.targets[name], 16, body, WARM_UP_S)
        found: dict[tuple[int, str], list[Load]] = {}
        for turn in range(args.turns):
            for clients in CLIENTS:
                for name in ("before", "now") if turn % 2 else ("now", "before"):
                    figures = await load(rig.targets[name], clients, body, args.seconds)
                    found.setdefault((clients, name), []).append(figures)
        medians: dict[str, object] = {
            f"{clients} clients, {name}": _medians(rows) for (clients, name), rows in sorted(found.items())
        }
        for clients in CLIENTS:
            medians[f"{clients} clients, now to before"] = _ratios(found[clients, "before"], found[clients, "now"])
        return medians
    finally:
        await rig.close()


def _medians(rows: list[Load]) -> dict[str, float]:
    return {f.name: round(statistics.median(getattr(row, f.name) for row in rows), 3) for f in fields(Load)}


def _ratios(before: list[Load], now: list[Load]) -> dict[str, float]:
    """Medians of the ratios within a turn, which a machine whose speed changes between turns does not move."""
    pairs = list(zip(before, now, strict=True))
    return {
        name: round(statistics.median(getattr(n, name) / getattr(b, name) for b, n in pairs), 3)
        for name in ("per_s", "p50_ms", "p99_ms", "cpu_us")
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, required=True, help="the checkout to compare with")
    parser.add_argument("--json", action="store_true", help="end with one line of JSON")
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--body", type=int, default=200, help="bytes of a request's body")
    parser.add_argument("--answer", type=int, default=31, help="bytes of a response's body")
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as dir:
        figures = uvloop.run(measure(Path(dir), args.before, args))
    write_line(figures, args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
