"""Fleet-wide statistics, computed in one pass over the nodes' flight records.  Performs no I/O.

The terms are those of ``world/recovery.py``, applied to what real nodes record about themselves.

*Silence*: a node writes no row for ``GAP_US`` (paused, or not running), or its process began after the last row of
the process before it (killed or terminated, however soon it returned).  A process that begins while the one before
it still runs, as in an upgrade, is no silence.
*Mass failure*: the first time from which at least ``MIN_FAILED_SHARE`` of the nodes fall silent within
``TOGETHER_US``.  *Full service*: as in ``first_full_service``, on first client attempts and those served of them.
*Peak*: the maximum of a figure within ``SLOT_US``, over its mean before the mass failure (over the whole record if
there was none).  *In step*: the maximum number of nodes whose admission control began, or stopped, to refuse in the
same slot.

Limits: the last second of a killed node's record is missing, and callers to whom no node responded are in no record,
so losses at the failure itself are not counted.  Nor are stale decisions, because lists are not recorded.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from headspar.decide import ACC_FLOOR
from headspar.recorder.line import COUNTS, HOST, Row
from headspar.world.plan import SECOND
from headspar.world.recovery import MIN_BASELINE_US, PrefixSums, first_full_service

SLOT_US = 200_000  # time of a row, and window of peaks
GAP_US = 1_500_000  # rows are written in batches of five (1 s), so the last second of a killed node is missing
TOGETHER_US = 2_000_000  # failures spread over half a second, and the second that is missing from some records
MIN_FAILED_SHARE = 0.1  # of the nodes, and at least two
MAX_SLOTS = 18_000  # an hour
MAX_NODES = 10_000
MAX_SILENCES = 100_000
COUNTED = (*COUNTS, *HOST)


class CountError(ValueError):
    """The records can't be counted together.  The message is one line."""


class Peak(msgspec.Struct, frozen=True):
    """The maximum within a slot, its ratio to the mean of the slots before the mass failure (0 if that mean is 0),
    and its time (s)."""

    most: int
    over_steady: float
    at_s: float


class Second(msgspec.Struct, frozen=True):
    """One second: nodes that wrote rows, first client attempts, the share of them that was served, the share of all
    client attempts that was refused, attempts and repeats per first client attempt, connections, calls to discovery,
    datagrams, and the share of rows whose ACC was at its floor."""

    second: int
    nodes: int
    firsts: int
    served: float
    refused: float
    per_first: float
    connections: int
    calls: int
    datagrams: int
    shut: float


class Count(msgspec.Struct):
    """All statistics.  Times are in seconds from the first row.  ``blow_s``: the mass failure, None if there was
    none; ``full_s`` and ``from_start_s``: from the mass failure, and from the start of the last process, to full
    service, None if that was not reached or there was no mass failure."""

    nodes: int
    rows: int
    seconds: float
    totals: dict[str, int]
    starts: int
    silences: int
    blow_s: float | None
    struck: int
    before: float
    full_s: float | None
    from_start_s: float | None
    peaks: dict[str, Peak]
    in_step: dict[str, int]
    table: list[Second]


class _Slot:
    """Sums over the rows of all nodes in ``SLOT_US``.  ``refusing``: rows whose ACC is at its floor;
    ``began_refusing``, ``stopped_refusing``: nodes that did so in the slot."""

    __slots__ = ("counts", "rows", "refusing", "began_refusing", "stopped_refusing")

    def __init__(self) -> None:
        self.counts = [0] * len(COUNTED)
        self.rows = self.refusing = self.began_refusing = self.stopped_refusing = 0


class _Node:
    """``last``: time of the newest row of any of the node's processes; ``last_own``: of the process being read."""

    __slots__ = ("last", "last_own", "began", "refusing")

    def __init__(self, at: int, began: int | None) -> None:
        self.last = self.last_own = at
        self.began = began
        self.refusing = False


class FleetCounter:
    """Aggregates rows.  The rows of a node must come in order, the nodes in any order.

    Memory is bounded: it holds sums for each slot of the time that the records span, at most ``MAX_SLOTS``, and a few
    figures per node, but no rows."""

    def __init__(self) -> None:
        self.slots: dict[int, _Slot] = {}
        self.nodes: dict[str, _Node] = {}
        self.silences: list[tuple[int, int]] = []  # (from, until)
        self.starts: set[tuple[str, int]] = set()
        self.began: dict[str, int] = {}  # start of each node's newest process, if recorded
        self.nodes_by_second: dict[int, set[str]] = {}
        self.rows = 0
        self.have_wall_clock: set[bool] = set()  # whether the records read so far have a wall clock
        self.first_slot = self.last_slot = 0

    def begin_record(self, node: str, began: int, wall: int) -> None:
        """Begin a process's record: the node's name, the process's start (us of its clock), and the offset from that
        clock to the wall clock (us, 0 if not recorded).  The older half of a node's record must come first.

        Raises ``CountError`` if there are too many nodes, or only some of the records have a wall clock."""
        if len(self.nodes) >= MAX_NODES and node not in self.nodes:
            raise CountError(f"more than {MAX_NODES} nodes")
        self.have_wall_clock.add(wall != 0)
        if len(self.have_wall_clock) > 1:
            raise CountError("some records contain the time of day and some, of an earlier version, do not")
        if not wall:
            return
        at = began + wall
        if len(self.starts) < MAX_SILENCES:
            self.starts.add((node, at))
        self.began[node] = at
        known = self.nodes.get(node)
        if known is not None and known.began != at:
            known.began, known.last_own = at, at
            if at > known.last:
                self._add_silence(known.last, at)
                known.last = at

    def add_row(self, node: str, row: Row, wall: int) -> None:
        """Add a row.  Raises ``CountError`` if the records span too long a time or a node's rows are out of order."""
        at = row.at_us + wall
        index = at // SLOT_US
        if not self.rows:
            self.first_slot = self.last_slot = index
        self.first_slot, self.last_slot = min(self.first_slot, index), max(self.last_slot, index)
        if self.last_slot - self.first_slot >= MAX_SLOTS:
            raise CountError(f"the records span more than {MAX_SLOTS * SLOT_US // SECOND} s")
        slot = self.slots.get(index)
        if slot is None:
            slot = self.slots[index] = _Slot()
        self.rows += 1
        slot.rows += 1
        for i, name in enumerate(COUNTS):
            slot.counts[i] += row.counts[name]
        for i, name in enumerate(HOST, len(COUNTS)):
            slot.counts[i] += row.host[name]
        self.nodes_by_second.setdefault(at // SECOND, set()).add(node)
        refusing = row.acc <= ACC_FLOOR
        slot.refusing += refusing
        known = self.nodes.get(node)
        if known is None:
            known = self.nodes[node] = _Node(at, self.began.get(node))
        elif at < known.last_own:
            raise CountError(f"{node}: rows go back {(known.last_own - at) / SECOND:.1f} s: two nodes of one name?")
        elif at - known.last > GAP_US:
            self._add_silence(known.last, at)
        slot.began_refusing += refusing and not known.refusing
        slot.stopped_refusing += known.refusing and not refusing
        known.last_own, known.refusing = at, refusing
        known.last = max(known.last, at)

    def _add_silence(self, since: int, until: int) -> None:
        if len(self.silences) >= MAX_SILENCES:
            raise CountError(f"more than {MAX_SILENCES} silences")
        self.silences.append((since, until))

    def _mass_failure(self) -> tuple[int, int] | None:
        """Time of the mass failure, and the number of nodes that fell silent in it; None if there was none."""
        ends = [at for at, _ in self.silences]
        last = (self.last_slot + 1) * SLOT_US
        ends += [n.last for n in self.nodes.values() if last - n.last > GAP_US]  # nodes that did not return
        ends.sort()
        minimum = max(2, MIN_FAILED_SHARE * len(self.nodes))
        low = 0
        for high, at in enumerate(ends):
            while ends[low] <= at - TOGETHER_US:
                low += 1
            if high - low + 1 >= minimum:
                return ends[low], sum(ends[low] <= end < ends[low] + TOGETHER_US for end in ends)
        return None

    def count(self) -> Count:
        """The statistics of all rows added.  Raises ``CountError`` if there are none."""
        if not self.rows:
            raise CountError("no rows")
        began, end = self.first_slot * SLOT_US, (self.last_slot + 1) * SLOT_US
        order = sorted(self.slots)
        totals = [sum(self.slots[i].counts[k] for i in order) for k in range(len(COUNTED))]
        found = self._mass_failure()
        failed_at = None if found is None else found[0]
        full = last = None
        firsts, served = COUNTED.index("firsts"), COUNTED.index("served")
        before = totals[served] / totals[firsts] if totals[firsts] else 1.0
        if failed_at is not None:
            sums = PrefixSums((i * SLOT_US, float(c[firsts]), float(c[served])) for i in order
                        for c in [self.slots[i].counts])
            before = sums.share(began, failed_at)
            last = max((at for _, at in self.starts if at >= failed_at), default=None)
            if failed_at - began >= MIN_BASELINE_US:
                full = first_full_service(sums, began, failed_at, end)
        steady_end = end if failed_at is None else failed_at
        return Count(
            nodes=len(self.nodes), rows=self.rows, seconds=(end - began) / SECOND,
            totals=dict(zip(COUNTED, totals, strict=True)), starts=len(self.starts), silences=len(self.silences),
            blow_s=None if failed_at is None else (failed_at - began) / SECOND,
            struck=0 if found is None else found[1],
            before=before, full_s=None if full is None or failed_at is None else (full - failed_at) / SECOND,
            from_start_s=None if full is None or last is None else max(0.0, (full - last) / SECOND),
            peaks={name: self._peak(k, began, steady_end) for k, name in enumerate(COUNTED)},
            in_step={"shut": max(self.slots[i].began_refusing for i in order),
                     "opened": max(self.slots[i].stopped_refusing for i in order)},
            table=self._table(began, end),
        )

    def _peak(self, k: int, began: int, steady_end: int) -> Peak:
        steady = [s.counts[k] for i, s in self.slots.items() if i * SLOT_US < steady_end]
        slots = max(1, (steady_end - began) // SLOT_US)
        at, slot = max(self.slots.items(), key=lambda item: (item[1].counts[k], -item[0]))
        most, mean = slot.counts[k], sum(steady) / slots
        return Peak(most, most / mean if mean else 0.0, (at * SLOT_US - began) / SECOND)

    def _table(self, began: int, end: int) -> list[Second]:
        sums: dict[int, Counter[str]] = {}
        for i, slot in self.slots.items():
            in_second = sums.setdefault(i * SLOT_US // SECOND, Counter())
            in_second.update(dict(zip(COUNTED, slot.counts, strict=True)))
            in_second.update(rows=slot.rows, refusing=slot.refusing)
        table = []
        for second in range(began // SECOND, -(-end // SECOND)):
            c = sums.get(second, Counter())
            firsts, tries = c["firsts"], c["firsts"] + c["repeats"]
            table.append(Second(
                second - began // SECOND, len(self.nodes_by_second.get(second, ())), firsts,
                c["served"] / firsts if firsts else 1.0, c["refused"] / tries if tries else 0.0,
                (c["attempts"] + c["repeats"]) / firsts if firsts else 0.0, c["connections"], c["calls"],
                c["datagrams"], c["refusing"] / c["rows"] if c["rows"] else 0.0,
            ))
        return table
