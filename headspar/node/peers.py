"""Short messages between the nodes of a tier, as UDP datagrams."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from headspar.config import Address
from headspar.node.core import Node

MAX_DATAGRAM_BYTES = 256


class Peers(asyncio.DatagramProtocol):
    """Broadcasts to all peers, and receives from the addresses that the configuration names."""

    def __init__(self, node: Node, peers: list[Address], broadcast_address: Address) -> None:
        self.node, self.broadcast_address = node, broadcast_address
        self.peer_numbers = {address: i for i, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def broadcast(self, data: bytes) -> None:
        if self.transport is not None and 0 < len(data) <= MAX_DATAGRAM_BYTES:
            self.node.ledger.datagrams += 1
            self.transport.sendto(data, self.broadcast_address)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        number = self.peer_numbers.get((addr[0], addr[1]))
        # Drop datagrams from unknown senders, our own broadcast, and sizes that no node sends.
        if number is not None and number != self.node.settings.me and 0 < len(data) <= MAX_DATAGRAM_BYTES:
            self.node.on_peer_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: a lost message is repaired by the next one, which carries the full state."""
