"""Divides the limits of one node between its two processes during an upgrade; without I/O.

The descriptors of a node are its own files, connections accepted only to be refused (``spare``), operators'
connections, clients and backends.  While there are two processes, the second one's own files are taken from
``spare``, operators' connections are halved, and the second process gets the clients, backends and held requests that
the first does not hold.
"""

from __future__ import annotations

from dataclasses import dataclass

from headspar.handover.messages import Held, Offer

OWN_FILES = 24  # standard streams, loop, listener, discovery, peers, hand-over, one to spare for each
SPARE = 40
CLIENTS_SHARE = 0.6  # of the descriptors for clients and backends
MIN_SHARE = 4  # descriptors
MIB = 1024 * 1024
MIN_BUDGET = 4 * MIB  # bytes that the second process may hold for its peers, whatever the first holds


@dataclass(frozen=True, slots=True)
class Shares:
    """The maximum that a process may hold: descriptors of each use, and requests."""

    clients: int
    backends: int
    spare: int
    callers: int
    requests: int


def whole(sockets: int, callers: int, requests: int) -> Shares:
    """The shares of a process that is alone; ``callers``: operators' connections, 0 without their listener."""
    files = sockets - OWN_FILES - SPARE - (callers + 2 if callers else 0)
    clients = max(MIN_SHARE, int(CLIENTS_SHARE * files))
    return Shares(clients, max(MIN_SHARE, files - clients), SPARE, callers, requests)


def old_process_shares(alone: Shares) -> Shares:
    """The shares of the first process once it has sent an offer to a second one."""
    return Shares(
        alone.clients, alone.backends, (alone.spare - OWN_FILES) // 2, max(1, alone.callers // 2), alone.requests
    )


def new_process_shares(alone: Shares, held: Held | Offer) -> Shares:
    """The shares of the second process while the first holds ``held``."""
    return Shares(
        max(MIN_SHARE, alone.clients - held.clients), max(MIN_SHARE, alone.backends - held.backends),
        (alone.spare - OWN_FILES) // 2, max(1, alone.callers // 2), max(1, alone.requests - held.requests),
    )


def old_process_budget(alone: int) -> int:
    """The bytes that the first process may hold for its peers once it has sent an offer; it may hold more already."""
    return alone // 2


def new_process_budget(alone: int, held: Held | Offer) -> int:
    """The bytes that the second process may hold for its peers while the first holds ``held`` or grows to its
    half."""
    return max(MIN_BUDGET, alone - max(old_process_budget(alone), held.held_mb * MIB))
