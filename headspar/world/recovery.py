"""Recovery after a mass failure of nodes: time to full service, causes of loss, load peaks and stale decisions.

All figures are computed from a run's records.  Performs no I/O.

*Failure*: the first fault of the nodes themselves (killed, terminated, paused).  *Full service*: from some time on,
the worth delivered over the worth requested, in the following second and in the following ``SUSTAINED_S``, is at most
``TOLERANCE`` below its value before the failure, or below that of a reference run at the same time if that is lower.
The reference is the same draw without the failure, or with another policy.
*Peak* (thundering herd): the maximum load on a shared resource within any ``WINDOW_US``, over its rate before the
failure and over its capacity.  *Stale decision*: an attempt based on a list entry although its node had been notified
of a newer state more than ``PROCESSING_US`` before, or an attempt for a request whose deadline had passed.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict, deque
from collections.abc import Iterable

import msgspec

from headspar.world.audit import audit
from headspar.world.plan import SECOND
from headspar.world.records import AttemptResult, ClientAttemptRecord, ClientOutcome, Recording, ServerAttempt
from headspar.world.service import Worth, worths
from headspar.world.truth import Truth

TOLERANCE = 0.02  # share of the worth requested
SUSTAINED_S = 5
SEARCH_STEP_US = 100_000  # resolution of the recovery time
WINDOW_US = 200_000
COLD_BELOW = 0.9  # a server with a smaller share of its warm capacity counts as cold
PROCESSING_US = 100_000  # for a node to read a notification and act on it
PEAK_SEARCH_US = 3 * SECOND  # after the last process's start, the minimum time in which peaks are searched
MIN_BASELINE_US = 2 * SECOND  # of steady service before the failure; a shorter time gives no baseline
FAILURES = ("node_kill", "node_term", "node_stop")
RETURNS = ("node_start", "node_cont")
LATE_KINDS = ("sent after its time", "sent after its answer", "sent after its caller left")  # of the audit

# Why a call did not deliver its full worth, by its last client attempt; in the order in which a table shows them.
CAUSES = (
    "no node",  # no node accepted the connection
    "died with its node",
    "stood still with its node",
    "refused unsent",
    "refused after attempts",
    "failed unsent",
    "failed after attempts",
    "late before its first attempt",
    "late after other attempts",
    "late at a cold server",
    "late at a bad server",
    "late elsewhere",
    "its caller left",
)


class Peak(msgspec.Struct, frozen=True):
    """Maximum load within ``WINDOW_US``: the number of events (for work: microseconds of it), the ratio to the rate
    before the failure (0 if there was none) and to the capacity (0 if unknown), and the start of the window (us of
    the run)."""

    most: float
    over_steady: float
    over_capacity: float
    at: int


class Row(msgspec.Struct, frozen=True):
    """One second after the failure: nodes running at its end, calls due in it, the share of their worth that was
    delivered, and the loss by cause (as a share of the second's worth)."""

    second: int
    nodes: int
    calls: int
    share: float
    lost: dict[str, float]


class Recovery(msgspec.Struct):
    """Recovery of one run.  ``blow_at``: time of the failure (us of the run); ``before``: service level before it.
    ``full_s``: seconds from the failure to full service; ``from_start_s``: seconds to it from the start of the last
    process; both are None if full service is not reached before the run's end.  ``lost_s``: worth lost from the
    failure to full service (or the end), in seconds of the run's mean worth per second; ``causes``: the same by
    cause.  ``stale``: number of stale decisions by kind."""

    blow_at: int
    before: float
    full_s: float | None
    from_start_s: float | None
    lost_s: float
    causes: dict[str, float]
    rows: list[Row]
    peaks: dict[str, Peak]
    stale: dict[str, int]


class RecoveryError(ValueError):
    """The run has no failure whose recovery can be measured.  The message is one line."""


class PrefixSums:
    """Worth requested and delivered, cumulative over time.  ``rows``: (time, requested, delivered), sorted by
    time."""

    def __init__(self, rows: Iterable[tuple[int, float, float]]) -> None:
        self.at: list[int] = []
        self.requested, self.delivered = [0.0], [0.0]
        for at, requested, delivered in rows:
            self.at.append(at)
            self.requested.append(self.requested[-1] + requested)
            self.delivered.append(self.delivered[-1] + delivered)

    def between(self, since: int, until: int) -> tuple[float, float]:
        """Worth requested and delivered in ``since`` <= time < ``until``."""
        i, j = bisect_left(self.at, since), bisect_left(self.at, until)
        return self.requested[j] - self.requested[i], self.delivered[j] - self.delivered[i]

    def share(self, since: int, until: int) -> float:
        """Worth delivered over worth requested in the same span; 1 where nothing was requested."""
        requested, delivered = self.between(since, until)
        return delivered / requested if requested > 0 else 1.0


def failure_time(recording: Recording) -> int:
    """When the first node failed.  Raises ``RecoveryError`` if none did, or if it failed too early for a baseline."""
    began = recording.rules.began_at
    at = min((m.at for m in recording.marks if m.what in FAILURES and m.at >= began), default=None)
    if at is None:
        raise RecoveryError("no node is killed, terminated or paused in this run")
    if at - began < MIN_BASELINE_US:
        raise RecoveryError(f"the failure is {(at - began) / SECOND:.1f} s after the start: too early for a baseline")
    return at


def _sums(recording: Recording) -> PrefixSums:
    return PrefixSums((w.at, w.asked, w.got) for w in worths(recording))


def full_service_time(recording: Recording, failed_at: int, reference: Recording | None = None) -> int | None:
    """The first time of full service after the failure, or None if there is none whose ``SUSTAINED_S`` lie within the
    run."""
    began, end = recording.rules.began_at, recording.rules.began_at + recording.rules.length_us
    other = None if reference is None else _sums(reference)
    shift = 0 if reference is None else reference.rules.began_at - began
    return first_full_service(_sums(recording), began, failed_at, end, other, shift)


def first_full_service(
    sums: PrefixSums, began: int, failed_at: int, end: int, other: PrefixSums | None = None, shift: int = 0,
) -> int | None:
    """``full_service_time`` from cumulative sums.  ``other``: sums of the reference, whose times are ``shift``
    later."""
    before = sums.share(began, failed_at)
    at = failed_at
    while at + SUSTAINED_S * SECOND <= end:
        full = True
        for span in (SECOND, SUSTAINED_S * SECOND):
            target = before
            if other is not None:
                target = min(target, other.share(at + shift, at + shift + span))
            full = full and sums.share(at, at + span) >= target - TOLERANCE
        if full:
            return at
        at += SEARCH_STEP_US
    return None


def _cause(
    client_attempts: list[ClientAttemptRecord], attempts: list[ServerAttempt], truth: Truth,
    stops: dict[str, list[int]],
) -> str:
    """Why a call was lost or late, from its client attempts and its attempts at servers, both in order."""
    last = client_attempts[-1]
    of_last = [s for s in attempts if s.attempt == last.attempt]
    if last.end is ClientOutcome.UNCONNECTED:
        return "no node"
    if last.end is ClientOutcome.LEFT:
        return "its caller left"
    if last.end in (ClientOutcome.CLOSED, ClientOutcome.CUT, ClientOutcome.RESET_IN_FLIGHT):
        return "died with its node"
    if last.end is ClientOutcome.NONE:
        if last.node in stops:
            return "stood still with its node"
        return "failed after attempts" if of_last else "failed unsent"
    if last.status in (429, 503):
        return "refused after attempts" if of_last else "refused unsent"
    if last.status != 200:
        return "failed after attempts" if of_last else "failed unsent"
    served = next((s for s in of_last if s.fate in (AttemptResult.DONE, AttemptResult.REPEAT)), None)
    duration = last.ended_at - client_attempts[0].sent_at
    if served is None or 2 * (attempts[0].arrived_at - client_attempts[0].sent_at) > duration:
        return "late before its first attempt"
    if served is not attempts[0]:
        return "late after other attempts"
    c = truth.at(served.server, served.arrived_at)
    if c.slow > 1.0 or c.away > 0.0:
        return "late at a bad server"
    return "late at a cold server" if truth.share(served.server, served.arrived_at) < COLD_BELOW else "late elsewhere"


class _RunningNodes:
    """Number of running nodes over time."""

    def __init__(self, recording: Recording) -> None:
        self.changes = sorted(
            (m.at, m.what, m.target) for m in recording.marks if m.what in (*FAILURES, *RETURNS, "node_exit"))

    def at(self, at: int) -> int:
        """Number of nodes that run at a time of the monotonic clock (us)."""
        up: set[str] = set()
        for when, what, target in self.changes:
            if when > at:
                break
            if what in RETURNS:
                up.add(target)
            elif what != "node_term":
                up.discard(target)
        return len(up)


def _max_in_window(events: list[tuple[int, float]], since: int, until: int) -> tuple[float, int]:
    """The maximum sum of ``events`` (time, value) within ``WINDOW_US``, and the start of that window.  Only events in
    ``since`` <= time < ``until`` count."""
    window: deque[tuple[int, float]] = deque()
    held = most = 0.0
    at = since
    for when, value in events:
        if not since <= when < until:
            continue
        window.append((when, value))
        held += value
        while window[0][0] <= when - WINDOW_US:
            held -= window.popleft()[1]
        if held > most:
            most, at = held, window[0][0]
    return most, at


def _peak(events: Iterable[tuple[int, float]], began: int, failed_at: int, until: int, capacity: float) -> Peak:
    """The peak of ``events`` between the failure and ``until``.  ``capacity``: per second; 0: unknown."""
    rows = sorted(events)
    most, at = _max_in_window(rows, failed_at, until)
    steady = sum(value for when, value in rows if began <= when < failed_at) / (failed_at - began) * WINDOW_US
    limit = capacity * WINDOW_US / SECOND
    return Peak(most, most / steady if steady else 0.0, most / limit if limit else 0.0, at - began)


def _highest(peaks: list[Peak]) -> Peak:
    return max(peaks, key=lambda p: (p.over_capacity, p.over_steady, p.most), default=Peak(0.0, 0.0, 0.0, 0))


def find_peaks(recording: Recording, failed_at: int, until: int, discovery_per_s: float = 0.0) -> dict[str, Peak]:
    """Peaks of the shared resources between the failure and ``until``; of servers, the one with the highest.
    ``discovery_per_s``: capacity of discovery in calls per second, 0 if unlimited."""
    rules, truth = recording.rules, Truth(recording)
    began = rules.began_at
    work: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for s in recording.sent:
        work[s.server].append((s.arrived_at, s.work_us))
    handshakes: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for at, server in recording.accepted:
        handshakes[server].append((at, 1.0))

    def with_capacity(server: str, peak: Peak, cost_us: float) -> Peak:
        """``peak`` with its ratio to the capacity that the server had at the time."""
        capacity = rules.servers[server].capacity * truth.share(server, began + peak.at)
        limit = capacity * WINDOW_US / SECOND
        return msgspec.structs.replace(peak, over_capacity=peak.most * cost_us / limit if limit else 0.0)

    return {
        "calls to discovery": _peak(
            ((at, 1.0) for at, _ in recording.asked), began, failed_at, until, discovery_per_s),
        "work at one server": _highest(
            [with_capacity(id, _peak(rows, began, failed_at, until, 0.0), 1.0)
             for id, rows in sorted(work.items())]),
        "handshakes at one server": _highest(
            [with_capacity(id, _peak(rows, began, failed_at, until, 0.0), rules.servers[id].connection_cost_us)
             for id, rows in sorted(handshakes.items())]),
        "handshakes": _peak(((at, 1.0) for at, _ in recording.accepted), began, failed_at, until, 0.0),
        "callers' repeats": _peak(
            ((a.sent_at, 1.0) for a in recording.asks if a.attempt), began, failed_at, until, 0.0),
        "attempts after the first": _peak(
            ((s.arrived_at, 1.0) for s in _further_attempts(recording.sent)), began, failed_at, until, 0.0),
    }


def _further_attempts(sent: list[ServerAttempt]) -> list[ServerAttempt]:
    """Attempts that are not the first of their client attempt: the node's retries and hedged requests."""
    seen: set[tuple[int, int]] = set()
    out = []
    for s in sorted(sent, key=lambda s: s.arrived_at):
        if (s.call, s.attempt) in seen:
            out.append(s)
        seen.add((s.call, s.attempt))
    return out


def stale_decisions(recording: Recording) -> dict[str, int]:
    """Number of stale decisions over the whole run, by kind; empty if there are none."""
    starts: dict[str, list[int]] = defaultdict(list)
    for mark in recording.marks:
        if mark.what == "node_start":
            starts[mark.target].append(mark.at)
    notified: dict[tuple[str, str], list[tuple[int, int, str]]] = defaultdict(list)
    for t in recording.told:
        if not t.presumed:
            notified[t.node, t.server].append((t.at, t.version, t.state))
    for rows in notified.values():
        rows.sort()
    out: dict[str, int] = defaultdict(int)
    for s in recording.sent:
        newest, state, since = -1, "ready", 0
        process_started_at = max((at for at in starts.get(s.node, ()) if at <= s.arrived_at), default=0)
        for at, version, reported in notified.get((s.node, s.server), ()):
            if at > s.arrived_at:
                break
            # A process need not know what an earlier one was notified of: it is notified of its initial list again.
            if at >= process_started_at - SECOND and version >= newest:
                newest, state, since = version, reported, since if reported == state else at
        if state != "ready" and since <= s.arrived_at - PROCESSING_US:
            out[f"sent to a server told {state}"] += 1
    kinds = audit(recording).kinds
    for kind in LATE_KINDS:
        count = kinds.get(f"lost: {kind}", 0)
        if count:
            out[kind] = count
    return dict(out)


def measure_recovery(
    recording: Recording, reference: Recording | None = None, discovery_per_s: float = 0.0
) -> Recovery:
    """Measure the recovery in a run.  ``reference``: the run whose service level full service is compared with, as in
    the module's docstring.  Raises ``RecoveryError`` where no node failed, or too early."""
    failed_at = failure_time(recording)
    rules = recording.rules
    began, end = rules.began_at, rules.began_at + rules.length_us
    rows = list(worths(recording))
    sums = PrefixSums((w.at, w.asked, w.got) for w in rows)
    full = full_service_time(recording, failed_at, reference)
    last = max((m.at for m in recording.marks if m.what in RETURNS and m.at >= failed_at), default=None)
    until = end if full is None else full
    peaks_until = end if full is None else min(end, max(full, (last or failed_at) + PEAK_SEARCH_US))
    client_attempts: dict[int, list[ClientAttemptRecord]] = defaultdict(list)
    for a in sorted(recording.asks, key=lambda a: a.attempt):
        client_attempts[a.call].append(a)
    attempts: dict[int, list[ServerAttempt]] = defaultdict(list)
    for s in sorted(recording.sent, key=lambda s: s.arrived_at):
        attempts[s.call].append(s)
    stops: dict[str, list[int]] = defaultdict(list)
    for mark in recording.marks:
        if mark.what == "node_stop":
            stops[mark.target].append(mark.at)
    truth = Truth(recording)
    seconds: dict[int, list[tuple[Worth, str]]] = defaultdict(list)
    causes: dict[str, float] = defaultdict(float)
    rate = sums.requested[-1] / (rules.length_us / SECOND)
    for w in rows:
        if w.at < failed_at:
            continue
        cause = _cause(client_attempts[w.call], attempts[w.call], truth, stops) if w.got < w.asked else ""
        seconds[(w.at - failed_at) // SECOND].append((w, cause))
        if cause and w.at < until and rate:
            causes[cause] += (w.asked - w.got) / rate
    running = _RunningNodes(recording)
    table = []
    for second in range(-(-(end - failed_at) // SECOND)):
        calls = seconds[second]
        requested = sum(w.asked for w, _ in calls)
        lost: dict[str, float] = defaultdict(float)
        for w, cause in calls:
            if cause and requested:
                lost[cause] += (w.asked - w.got) / requested
        table.append(Row(second, running.at(failed_at + (second + 1) * SECOND), len(calls),
                         1.0 - sum(lost.values()), {name: lost[name] for name in CAUSES if name in lost}))
    return Recovery(
        blow_at=failed_at - began, before=sums.share(began, failed_at),
        full_s=None if full is None else (full - failed_at) / SECOND,
        from_start_s=None if full is None or last is None else max(0.0, (full - last) / SECOND),
        lost_s=sum(causes.values()), causes={name: causes[name] for name in CAUSES if name in causes},
        rows=table, peaks=find_peaks(recording, failed_at, peaks_until, discovery_per_s),
        stale=stale_decisions(recording),
    )


class Spread(msgspec.Struct, frozen=True):
    """A figure over seeds: its median, a distribution-free confidence interval of the median (by order statistics, at
    least 95% from six seeds on; minimum and maximum with fewer), and the worst value."""

    median: float
    low: float
    high: float
    worst: float


def spread(values: list[float]) -> Spread:
    """``values``: one per seed, larger is worse; infinite where a run did not reach full service."""
    rows = sorted(values)
    n = len(rows)
    rank, below = 0, 0.5**n  # the chance that at most ``rank`` of n lie below the median
    while 2 * (below + math.comb(n, rank + 1) * 0.5**n) <= 0.05:
        rank += 1
        below += math.comb(n, rank) * 0.5**n
    middle = rows[n // 2] if n % 2 else (rows[n // 2 - 1] + rows[n // 2]) / 2
    return Spread(middle, rows[rank], rows[n - 1 - rank], rows[-1])


class Summary(msgspec.Struct):
    """Several draws of one mass failure.  ``never``: draws that did not reach full service; ``causes``: loss by cause
    in seconds of the mean worth, averaged over the draws, the largest first; ``peaks``: the highest peak of each
    shared resource in any draw."""

    draws: int
    never: int
    full_s: Spread
    lost_s: Spread
    causes: dict[str, float]
    peaks: dict[str, Peak]
    stale: dict[str, int]


def summary(rows: list[Recovery]) -> Summary:
    """Summarise draws of one mass failure.  ``rows``: at least one."""
    causes: dict[str, float] = defaultdict(float)
    stale: dict[str, int] = defaultdict(int)
    for c in rows:
        for name, seconds in c.causes.items():
            causes[name] += seconds / len(rows)
        for name, count in c.stale.items():
            stale[name] += count
    full = [math.inf if c.full_s is None else c.full_s for c in rows]
    return Summary(
        len(rows), sum(c.full_s is None for c in rows), spread(full), spread([c.lost_s for c in rows]),
        dict(sorted(causes.items(), key=lambda item: -item[1])),
        {name: _highest([c.peaks[name] for c in rows]) for name in rows[0].peaks}, dict(stale),
    )
