"""``python -m tests.lab.relay FLAW``: a minimal relay that is correct, or violates one rule on purpose.

It runs in place of a node, to show that the audit detects each violation.  It makes one attempt per connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FLAW = sys.argv[1] if len(sys.argv) > 1 else "none"
CONFIG = json.loads(Path(os.environ["ROUTER_CONFIG"]).read_text()) if "ROUTER_CONFIG" in os.environ else {}
RNG = random.Random(5)


class NotExecuted(Exception):
    """The server rejected the request, or no connection was made."""


class PossiblyExecuted(Exception):
    """The connection broke, or the answer was unusable."""


@dataclass
class Message:
    line: str
    headers: dict[str, str]
    body: bytes
    raw: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(lines[0], headers, body, head + body)


class Relay:
    def __init__(self) -> None:
        self.settings = CONFIG["settings"]
        self.classes = {c["name"]: c for c in self.settings["classes"]}
        self.rows: dict[str, dict[str, Any]] = {r["instanceId"]: r for r in CONFIG["known"]["instances"]}
        self.last: bytes = b""
        self.began = time.monotonic()
        self.tasks: set[asyncio.Task[Any]] = set()

    async def follow(self) -> None:
        host, _, port = os.environ["ROUTER_DISCOVERY"].rpartition(":")
        while True:
            with contextlib.suppress(OSError, ValueError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/servers HTTP/1.1\r\nHost: x\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and FLAW != "drained":
                    self.rows = {r["instanceId"]: r for r in json.loads(message.body)["instances"]}
            await asyncio.sleep(0.1)

    def choose(self, used: list[dict[str, Any]], group: str, spec: dict[str, Any]) -> dict[str, Any] | None:
        rows = [r for r in self.rows.values() if r["lifecycle"] == "ready"]
        cold = [r for r in rows if r["startedAtMs"]]
        if FLAW == "floods" and cold:
            return cold[0]
        rows = [r for r in rows if not r["startedAtMs"]] or rows
        if used and group == "zone" and FLAW != "outside group":
            rows = [r for r in rows if r["zone"] == used[0]["zone"]]
        elif used and FLAW == "outside group" and spec["group"] == "zone":
            rows = [r for r in rows if r["zone"] != used[0]["zone"]] or rows
        return RNG.choice(rows) if rows else None

    async def attempt(self, row: dict[str, Any], message: Message, left_s: float) -> bytes:
        host, _, port = row["hostPort"].rpartition(":")
        try:
            async with asyncio.timeout(min(left_s, 0.3)):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            raise NotExecuted from None
        try:
            writer.write(message.raw)
            async with asyncio.timeout(left_s):
                reply = await read_message(reader)
        except TimeoutError:
            raise
        except OSError:
            raise PossiblyExecuted from None
        finally:
            writer.transport.abort()
        if reply is None:
            raise PossiblyExecuted
        if " 503 " in reply.line and reply.headers.get("x-rejected") == "1":
            raise NotExecuted
        if " 200 " not in reply.line:
            raise PossiblyExecuted
        return reply.body

    async def answer(self, message: Message) -> tuple[int, bytes] | None:
        """Status and body; None closes the connection."""
        if FLAW == "busy":  # not a flaw: rejects everything, with Retry-After
            return 503, b""
        spec = self.classes[message.headers["x-call-class"]]
        effect, group = spec["effect"], spec["group"]
        end = time.monotonic() + int(message.headers["x-budget"].rstrip("u")) / 1e6 - 0.03
        used: list[dict[str, Any]] = []
        for _ in range(3):
            left_s = end - time.monotonic()
            row = self.choose(used, group if effect == "dedup" else "all", spec)
            if left_s <= 0 or row is None:
                break
            try:
                body = await self.attempt(row, message, left_s)
            except TimeoutError:
                return 504, b""
            except NotExecuted:
                continue
            except PossiblyExecuted:
                used.append(row)
                if FLAW == "loses":
                    return None
                if FLAW == "refuses":
                    return 503, b""
                if effect == "fragile" and FLAW != "unsafe twice":
                    return 502, b""
                if effect == "dedup" and FLAW == "outside window":
                    await asyncio.sleep(spec["window_us"] / 1e6 + 0.1)
                continue
            if FLAW == "late" and RNG.random() < 0.1:
                await asyncio.sleep(max(0.0, end - time.monotonic()) + 0.2)
            if FLAW == "another's answer" and self.last and RNG.random() < 0.1:
                return 200, self.last
            if FLAW == "after the answer" and RNG.random() < 0.1:
                self.send_late_duplicate(message, row)
            self.last = body
            return 200, body
        return (502, b"") if used else (503, b"")

    def send_late_duplicate(self, message: Message, row: dict[str, Any]) -> None:
        async def send() -> None:
            await asyncio.sleep(0.3)
            with contextlib.suppress(NotExecuted, PossiblyExecuted, TimeoutError):
                await self.attempt(row, message, 1.0)

        task = asyncio.create_task(send())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while (message := await read_message(reader)) is not None:
                if "/healthz" in message.line:
                    reply: tuple[int, bytes] | None = (200, b"")
                else:
                    reply = await self.answer(message)
                    if FLAW == "crashes" and time.monotonic() - self.began > 3:
                        os._exit(3)
                if reply is None:
                    break
                retry_after = b"Retry-After: 0.400\r\n" if FLAW == "busy" else b""
                response = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (
                    reply[0], retry_after, len(reply[1]), reply[1])
                writer.write(response * (2 if FLAW == "two answers" and RNG.random() < 0.1 else 1))
                await writer.drain()
        writer.close()


async def main() -> None:
    relay = Relay()
    host, _, port = os.environ["ROUTER_LISTEN"].rpartition(":")
    task = asyncio.create_task(relay.follow())
    server = await asyncio.start_server(relay.serve, host, int(port), backlog=512)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    server.close()
    await asyncio.sleep(0.2)
    task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
