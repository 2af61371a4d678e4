"""HTTP calls to a node with time-outs: its operators' listener and the health check on its client listener."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

Address = tuple[str, int]
MAX_ANSWER_BYTES = 256 * 1024


async def call(address: Address, path: str, method: str = "GET", seconds: float = 1.0) -> tuple[int, dict[str, Any]]:
    """Call a node's operators' listener; returns the status and the JSON object.  ``OSError`` without a valid answer
    within ``seconds``."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: keeper\r\nContent-Length: 0\r\n\r\n".encode())
            answer = b""
            while len(answer) <= MAX_ANSWER_BYTES and (more := await reader.read(MAX_ANSWER_BYTES)):
                answer += more
        head, _, body = answer.partition(b"\r\n\r\n")
        status, raw = int(head.split()[1]), json.loads(body)
    except (TimeoutError, IndexError, ValueError, asyncio.IncompleteReadError) as error:
        raise OSError(f"no answer: {error or type(error).__name__}") from None
    finally:
        if writer is not None:
            writer.close()
    if not isinstance(raw, dict):
        raise OSError("no answer: body is not a JSON object")
    return status, raw


async def healthy(address: Address, seconds: float = 1.0) -> bool:
    """Whether ``GET /healthz`` on the client listener returns 200 within ``seconds``."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: keeper\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
