"""Snapshots over the life of a node process: restore at startup, periodic writes, a final write at shutdown."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

from headspar.handover.beliefs import Beliefs
from headspar.snapshot.expiry import Header, LocalIdentity, Restored, restore
from headspar.snapshot.store import Store
from headspar.snapshot.writer import Writer

if TYPE_CHECKING:
    from headspar.node.core import Node

FINAL_WRITE_TIMEOUT_S = 0.3  # shutdown waits no longer than this for the disk


class SnapshotSchedule:
    """Snapshot schedule of one process.

    ``every_s``: write interval; ``settings``: digest of the node's settings; ``offset_us``: the node's
    clock minus Unix time.
    """

    def __init__(self, folder: Path, every_s: float, name: str, node: Node, settings: str, offset_us: int) -> None:
        self.every_s, self.name, self.node, self.settings, self.offset_us = every_s, name, node, settings, offset_us
        self.store = Store(folder)
        self.writer = Writer(self.store, node.log)
        self.timer: asyncio.TimerHandle | None = None

    def restore(self) -> Restored | None:
        """Read the newest snapshot and log what is restored from it; ``None`` if there is no usable one."""
        newest, errors = self.store.newest()
        for text in errors:
            self.node.log(f"snapshot: {self.store.folder}: {text}")
        if newest is None:
            return None
        self.writer.serial = newest.serial
        settings = self.node.settings
        here = LocalIdentity(self.name, settings.zone, self.settings, time.time_ns() // 1000, self.offset_us,
                             {c.name: float(c.aim_us) for c in settings.classes})
        taken = restore(newest.header, newest.beliefs, here)
        age = "of unknown age" if taken.age_s is None else f"{taken.age_s:.0f} s old"
        fields = ", ".join(name for name, weight in taken.weights.items() if weight) or "nothing"
        self.node.log(f"snapshot: {taken.origin.value}, {age}; taken: {fields}"
                      + "".join(f"; {note}" for note in taken.notes + newest.beliefs.left))
        return taken

    def start(self) -> None:
        """Start periodic writes.  The first delay is random, so that the nodes of a machine don't write in step."""
        self.timer = self.node.loop.call_later(self.every_s * (0.5 + random.random()), self._write_periodically)

    def _write_periodically(self) -> None:
        self.put()
        self.writer.log_status_change()
        self.timer = self.node.loop.call_later(self.every_s, self._write_periodically)

    def put(self) -> None:
        """Pass the current learned state to the writer."""
        node = self.node
        header = Header(self.name, node.settings.zone, self.settings, time.time_ns() // 1000, self.offset_us)
        self.writer.enqueue(header, Beliefs(node.discovery.known(), node.balancer.experience(),
                                            node.backends.plan.learned()))

    def shutdown(self) -> None:
        """Write a final snapshot at shutdown, within ``FINAL_WRITE_TIMEOUT_S``, and release the folder."""
        if self.timer is not None:
            self.timer.cancel()
        self.put()
        self.writer.end(FINAL_WRITE_TIMEOUT_S)
        self.writer.log_status_change()
        self.store.release()
