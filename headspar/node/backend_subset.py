"""The subset of backends that the balancer may choose from, when there are more than this node has descriptors for.

Keeps the latest list from discovery, forwards each change with unreachable backends marked, and notifies the balancer
when the subset itself changes. ``connections.Subset`` decides which backends are reachable.
"""

from __future__ import annotations

from dataclasses import replace

from headspar.connections.subset import Subset, SubsetChange, SubsetMember, SubsetSettings
from headspar.interface import BackendEntry, BackendList, Health, ListKind, Settings
from headspar.operator_file import Connections


def subset_settings(file: Connections, settings: Settings, most: int) -> SubsetSettings:
    """Build the subset's settings from the operator's file and the node's settings; ``most`` is the limit of all
    connections."""
    return SubsetSettings(
        most, settings.me, settings.balancers, file.per_server, file.room,
        max(1, int(1e6 * file.swap_s)), max(1, int(1e6 * file.turn_s)), file.reach, file.overlap,
    )


class Reach:
    """Sits between discovery and the balancer and marks which listed backends are reachable."""

    def __init__(self, subset: Subset) -> None:
        self.subset = subset
        self.entries: dict[str, BackendEntry] = {}
        self.ready: dict[str, SubsetMember] = {}
        self.draining: dict[str, int] = {}  # by backend: when this node was notified of its drain
        self.version = 0

    def change(self, settings: Settings) -> None:
        """Apply a changed node number or node count; the subset moves with the next change of the list or the next
        tick."""
        self.subset.change(replace(self.subset.settings, node=settings.me, nodes=settings.balancers))

    def told(self, event: BackendList, now: int) -> tuple[BackendList, list[str]]:
        """Apply an update from discovery. Return the update for the balancer, and the backends that have become
        unreachable."""
        if event.kind is ListKind.FAILED:
            return event, []
        self.version = event.version
        if event.kind is not ListKind.DELTA:
            self.entries.clear()
            self.ready.clear()
            listed = {entry.backend for entry in event.entries}
            self.draining = {id: at for id, at in self.draining.items() if id in listed}
        for entry in event.entries:
            self.entries.pop(entry.backend, None)
            self.ready.pop(entry.backend, None)
            if entry.health is not Health.GONE:
                self.entries[entry.backend] = entry
            if entry.health is Health.DRAINING:
                self.draining.setdefault(entry.backend, now)
            else:
                self.draining.pop(entry.backend, None)
            if entry.health is Health.READY:
                self.ready[entry.backend] = SubsetMember(entry.backend, entry.zone, entry.cell)
        change = self.subset.update(self.ready.values(), now)
        held = self.subset.held
        for entry in event.entries:
            entry.reachable = entry.health is not Health.READY or entry.backend in held
        named = {entry.backend for entry in event.entries}
        moved = self._moved(change, named)
        return BackendList(event.kind, event.version, event.entries + moved, self.subset.coverage()), change.left

    def tick(self, now: int) -> tuple[BackendList | None, list[str]]:
        """Advance the subset if a step is due. Return the update for the balancer, or None, and the backends that
        have become unreachable."""
        change = self.subset.tick(now)
        if not change:
            return None, []
        moved = self._moved(change, set())
        return BackendList(ListKind.REACH, self.version, moved, self.subset.coverage()), change.left

    def _moved(self, change: SubsetChange, named: set[str]) -> list[BackendEntry]:
        out = []
        for ids, reachable in ((change.entered, True), (change.left, False)):
            for id in ids:
                entry = self.entries.get(id)
                if entry is not None and id not in named:
                    self.entries[id] = replace(entry, reachable=reachable)
                    out.append(self.entries[id])
        return out
