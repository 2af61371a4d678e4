"""Calls to a node: its operators' listener and its clients' health check, each within a time."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

Address = tuple[str, int]
MOST = 256 * 1024


async def call(address: Address, path: str, method: str = "GET", seconds: float = 1.0) -> tuple[int, dict[str, Any]]:
    """The status and the JSON of an answer; ``OSError`` where there is none."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: keeper\r\nContent-Length: 0\r\n\r\n".encode())
            head, _, body = (await reader.read(MOST)).partition(b"\r\n\r\n")
            while more := await reader.read(MOST):
                body += more
                if len(body) > MOST:
                    break
        status, raw = int(head.split()[1]), json.loads(body)
    except (TimeoutError, IndexError, ValueError, asyncio.IncompleteReadError) as error:
        raise OSError(f"no answer: {error or type(error).__name__}") from None
    finally:
        if writer is not None:
            writer.close()
    if not isinstance(raw, dict):
        raise OSError("no answer: no object")
    return status, raw


async def healthy(address: Address, seconds: float = 1.0) -> bool:
    """Whether the clients' side answers its health check with yes."""
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
