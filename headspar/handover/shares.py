"""How two processes keep within one node's limits; without I/O.

Descriptors of a node: its own files, connections taken only to be refused (``spare``), operators, clients,
backends.  While there are two processes, the second one's own files come out of ``spare``; operators' connections
are halved; of clients, backends and held requests the second gets what the first does not hold.
"""

from __future__ import annotations

from dataclasses import dataclass

from headspar.handover.messages import Held, Offer

OWN_FILES = 24  # standard streams, loop, listener, discovery, peers, hand-over, one to spare for each
SPARE = 40
CLIENTS_SHARE = 0.6
LEAST = 4


@dataclass(frozen=True, slots=True)
class Shares:
    """The most of each that a process may hold: descriptors, and requests."""

    clients: int
    backends: int
    spare: int
    callers: int
    requests: int


def whole(sockets: int, callers: int, requests: int) -> Shares:
    """The shares of a process that is alone; ``callers``: connections of operators, 0 where there are none."""
    files = sockets - OWN_FILES - SPARE - (callers + 2 if callers else 0)
    clients = max(LEAST, int(CLIENTS_SHARE * files))
    return Shares(clients, max(LEAST, files - clients), SPARE, callers, requests)


def offered(alone: Shares) -> Shares:
    """The first process's, once a second one has been offered its place."""
    return Shares(
        alone.clients, alone.backends, (alone.spare - OWN_FILES) // 2, max(1, alone.callers // 2), alone.requests
    )


def second(alone: Shares, held: Held | Offer) -> Shares:
    """The second process's, beside a first that holds so much."""
    return Shares(
        max(LEAST, alone.clients - held.clients), max(LEAST, alone.backends - held.backends),
        (alone.spare - OWN_FILES) // 2, max(1, alone.callers // 2), max(1, alone.requests - held.requests),
    )
