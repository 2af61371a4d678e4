"""TCP connections that a run opens without requests, or closes with a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on with 0 s: close sends RST


def abort_with_reset(transport: asyncio.WriteTransport) -> None:
    """Closes a connection with a TCP reset, without sending what is still buffered; nothing if it is closed."""
    if transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


async def open_idle_connections(address: tuple[str, int], count: int) -> list[asyncio.StreamWriter]:
    """Opens up to ``count`` connections that send nothing; those that are refused or reset are left out."""
    writers = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*address)
            writers.append(writer)
    return writers
