"""Checks a run's recording against the rules below.  Performs no I/O.

    lost        each request that a running node accepts gets exactly one final response in time, produced by a
                server for that request, and no attempt is sent for it afterwards
    duplicated  no effects beyond what the request's class allows: an unsafe request is neither resent nor refused
                once an attempt may have run; a keyed one is resent only within its group and window
    drain       no new request goes to a server later than the grace period after the node was notified
    cold        all nodes together do not send a newly started server more than its budget
    crash       a node's process exits only when it is told to

A verdict is valid only if the recording is reliable: all parts have delivered their records, at least one request
was sent, and no part ran later than ``lateness_us`` at its 99th percentile.  A time limit that is exceeded by less
than the lab's own maximum lateness counts as doubtful: it makes the verdict invalid and is no violation.
"""

from __future__ import annotations

from collections import defaultdict

import msgspec

from headspar.world.machine import OVERLOAD_SLACK, max_cold_requests, warm_share
from headspar.world.plan import SECOND
from headspar.world.records import AttemptResult, ClientAttemptRecord, ClientOutcome, Recording, ServerAttempt, Start

RULES = ("lost", "duplicated", "drain", "cold", "crash")
MAX_LISTED = 200  # violations that are kept in full; all are counted
KILL_EXIT_US = 1_000_000  # a killed process has exited by then
RESUME_GRACE_US = 300_000  # for a node that resumes from a pause to answer what its sockets have buffered
NOTIFIED_SHARE = 2 / 3  # of an overload, sent by nodes that had been notified of the start


class Violation(msgspec.Struct, frozen=True):
    """One violation of a rule.  ``at`` is in microseconds from the run's start; ``call`` is -1 where no request is
    concerned, ``server`` and ``node`` are empty where they do not apply."""

    rule: str
    kind: str
    call: int
    attempt: int
    server: str
    node: str
    at: int
    text: str

    def line(self) -> str:
        """The violation as one line of text."""
        what = f"request {self.call}.{self.attempt} " if self.call >= 0 else ""
        server = f"server {self.server} " if self.server else ""
        return f"{self.rule}: {self.kind}: {what}{server}node {self.node} at {self.at / SECOND:.3f} s: {self.text}"


class Verdict(msgspec.Struct):
    """Result of an audit.  ``counts`` holds violations by rule, ``kinds`` by "rule: kind"; ``taken`` to ``excused``
    count client attempts."""

    valid: bool
    doubts: list[str]
    violations: list[Violation]
    counts: dict[str, int]
    kinds: dict[str, int]
    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    excused: int = 0
    cold_peak_ratio: float = 0.0  # maximum of the work sent to a cold server, over its budget
    cold_number_ratio: float = 0.0  # maximum of the number of requests sent to one, over the allowed number
    repeats_dropped: int = 0

    @property
    def clean(self) -> bool:
        """Whether the verdict is valid and no rule was violated."""
        return self.valid and not any(self.counts.values())


class _Audit:
    def __init__(self, recording: Recording) -> None:
        self.recording, self.rules = recording, recording.rules
        self.start = recording.rules.began_at
        self.result = Verdict(True, [], [], dict.fromkeys(RULES, 0), {})
        self.doubtful: dict[str, int] = {}
        self.caller_lateness = max((x.most for x in recording.lateness if x.part.startswith("callers")), default=0)
        self.fleet_lateness = max((x.most for x in recording.lateness if x.part.startswith("fleet")), default=0)
        self.sent: dict[tuple[int, int], list[ServerAttempt]] = defaultdict(list)
        for s in recording.sent:
            self.sent[s.call, s.attempt].append(s)
        for rows in self.sent.values():
            rows.sort(key=lambda s: s.arrived_at)
        self.kills: dict[str, list[tuple[int, int]]] = defaultdict(list)  # time of the signal, end of the process
        self.starts: dict[str, list[int]] = defaultdict(list)
        self.pauses: dict[str, list[tuple[int, int]]] = defaultdict(list)  # start and end of a process pause
        for mark in recording.marks:
            if mark.what == "node_stop":
                ends = [m.at for m in recording.marks if m.what == "node_cont" and m.target == mark.target]
                self.pauses[mark.target].append((mark.at, min((at for at in ends if at >= mark.at), default=1 << 62)))
            if mark.what == "node_kill":
                # On a busy machine the kernel still accepts connections for a killed process for a while.
                ends = [m.at for m in recording.marks if m.what == "node_exit" and m.target == mark.target]
                end = min((at for at in ends if mark.at <= at <= mark.at + KILL_EXIT_US), default=mark.at)
                self.kills[mark.target].append((mark.at, end))
            elif mark.what == "node_start":
                self.starts[mark.target].append(mark.at)

    def violation(
        self, rule: str, kind: str, at: int, text: str, *, call: int = -1, attempt: int = 0, server: str = "",
        node: str = "", excess: int | None = None, late: int = 0,
    ) -> None:
        """Record a violation.  One that exceeds its limit by no more than the lab's lateness (``excess <= late``)
        counts as doubtful instead."""
        if excess is not None and excess <= late:
            self.doubtful[kind] = self.doubtful.get(kind, 0) + 1
            return
        result = self.result
        result.counts[rule] += 1
        result.kinds[f"{rule}: {kind}"] = result.kinds.get(f"{rule}: {kind}", 0) + 1
        if len(result.violations) < MAX_LISTED:
            result.violations.append(Violation(rule, kind, call, attempt, server, node, at - self.start, text))

    # ------------------------------------------------------------ reliability of the recording

    def _check_reliability(self) -> None:
        r, doubts = self.recording, self.result.doubts
        doubts += [f"no records from {part}" for part in r.missing]
        if not r.asks:
            doubts.append("no requests were sent")
        parts = {x.part.partition(" ")[0] for x in r.lateness if x.count}
        for part in ("callers", "fleet"):
            if part not in parts:
                doubts.append(f"the {part} did not report their lateness")
        for x in r.lateness:
            if x.p99 > self.rules.lateness_us:
                doubts.append(f"{x.part} ran {x.p99 / 1000:.1f} ms late at the 99th percentile, "
                              f"the maximum is {self.rules.lateness_us / 1000:.0f} ms")
        known = len(self.rules.calls)
        if any(not 0 <= a.call < known for a in r.asks) or any(not 0 <= s.call < known for s in r.sent):
            doubts.append("records contain calls that are not in the plan")

    # ------------------------------------------------------------ lost

    def _killed(self, node: str, since: int, until: int) -> bool:
        """Whether a process of the node was killed, or had been killed and not yet exited, between the two times."""
        return any(at <= until and end >= since for at, end in self.kills.get(node, ()))

    def _paused_until(self, node: str, since: int, until: int) -> int:
        """When the node's process pause ended, if it was paused between the two times; otherwise 0."""
        return max((end for at, end in self.pauses.get(node, ()) if at <= until and end >= since), default=0)

    def _check_client_attempt(self, a: ClientAttemptRecord) -> None:
        result, rules = self.result, self.rules
        limit = a.sent_at + a.budget_us + rules.answer_slack_us
        where = {"call": a.call, "attempt": a.attempt, "node": a.node}
        attempts = self.sent.get((a.call, a.attempt), [])
        if a.end is ClientOutcome.UNCONNECTED:
            return
        slack = rules.answer_slack_us
        if a.end is ClientOutcome.RESET_IN_FLIGHT:
            # A node may close an idle connection, and need not have read a request that arrives at the same time.
            if attempts and not self._killed(a.node, a.sent_at - slack, a.ended_at + slack):
                self.violation("lost", "closed unanswered", a.ended_at,
                               "its connection was closed although an attempt had been sent",
                               **where)  # type: ignore[arg-type]
            return
        result.taken += 1
        if a.end is ClientOutcome.NONE and self._paused_until(a.node, a.sent_at - slack, limit):
            result.excused += 1  # a paused process can't answer; attempts that it sends afterwards are checked below
        elif a.end in (ClientOutcome.CLOSED, ClientOutcome.NONE):
            if self._killed(a.node, a.sent_at - slack, max(a.ended_at, limit) + slack):
                result.excused += 1
            elif a.end is ClientOutcome.CLOSED:
                self.violation("lost", "closed unanswered", a.ended_at,
                               "its connection was closed without a complete response",
                               **where)  # type: ignore[arg-type]
            else:
                self.violation("lost", "no answer", a.ended_at,
                               f"none within {(a.ended_at - a.sent_at) / 1000:.0f} ms after it was sent, "
                               f"{a.budget_us / 1000:.0f} ms were allowed", **where)  # type: ignore[arg-type]
        elif a.end is ClientOutcome.CUT:
            result.failed += 1
            self._check_cut_off(a, attempts)
        elif a.end is ClientOutcome.ANSWER:
            self._check_answer(a, attempts, limit)
        for s in attempts:
            if a.end is ClientOutcome.NONE and s.arrived_at > limit + slack:
                self.violation("lost", "sent after its time", s.arrived_at,
                               f"an attempt arrived {(s.arrived_at - limit) / 1000:.1f} ms after its time limit",
                               server=s.server, excess=s.arrived_at - limit - slack, late=self.fleet_lateness,
                               **where)  # type: ignore[arg-type]
            excess = s.arrived_at - (a.ended_at + slack)
            if a.end is not ClientOutcome.NONE and excess > 0:
                kind = "sent after its caller left" if a.end is ClientOutcome.LEFT else "sent after its answer"
                self.violation("lost", kind, s.arrived_at,
                               f"an attempt arrived {(s.arrived_at - a.ended_at) / 1000:.1f} ms after its end",
                               server=s.server, excess=excess, late=self.fleet_lateness,
                               **where)  # type: ignore[arg-type]

    def _check_answer(self, a: ClientAttemptRecord, attempts: list[ServerAttempt], limit: int) -> None:
        result = self.result
        where = {"call": a.call, "attempt": a.attempt, "node": a.node}
        resumed_at = self._paused_until(a.node, a.sent_at - self.rules.answer_slack_us, limit)
        # A node that was paused may answer when it resumes.
        limit = max(limit, resumed_at + RESUME_GRACE_US if resumed_at else 0)
        if a.ended_at > limit:
            self.violation("lost", "answered late", a.ended_at,
                           f"{(a.ended_at - limit) / 1000:.1f} ms after its time limit", excess=a.ended_at - limit,
                           late=self.caller_lateness, **where)  # type: ignore[arg-type]
        if a.twice:
            self.violation("lost", "more than one answer", a.ended_at, "data arrived after the end of its response",
                           **where)  # type: ignore[arg-type]
        if a.status == 200:
            result.served += 1
            made = any(s.fate in (AttemptResult.DONE, AttemptResult.REPEAT) for s in attempts)
            if not a.genuine or not made:
                self.violation("lost", "served with what no server made", a.ended_at,
                               "the body belongs to another request" if made else "no server has answered it",
                               **where)  # type: ignore[arg-type]
        elif a.status in (429, 503):
            result.refused += 1
            self._check_refusal(a, attempts)
        else:
            result.failed += 1
            self._check_cut_off(a, attempts)

    def _check_cut_off(self, a: ClientAttemptRecord, attempts: list[ServerAttempt]) -> None:
        """The request failed: its node must not have cut off an answer that a server was still writing."""
        for s in attempts:
            if s.fate is AttemptResult.CUT_OFF and not self._ended(a.node, s.arrived_at, s.ended_at):
                self.violation("lost", "sound answer cut off", s.ended_at,
                               "its node closed the connection "
                               f"{(s.ended_at - s.arrived_at) / 1000:.0f} ms after the request had arrived",
                               call=a.call, attempt=a.attempt, server=s.server, node=a.node)
                return

    def _ended(self, node: str, since: int, until: int) -> bool:
        """Whether a process of the node exited, or was killed, between the two times."""
        slack = self.rules.answer_slack_us
        exits = (m.at for m in self.recording.marks if m.what == "node_exit" and m.target == node)
        return any(since <= at <= until + slack for at in exits) or self._killed(node, since, until + slack)

    # ------------------------------------------------------------ duplicated

    def _check_refusal(self, a: ClientAttemptRecord, attempts: list[ServerAttempt]) -> None:
        spec = self.rules.classes[self.rules.calls[a.call].cls]
        if spec.effect == "retryable" or spec.effect == "dedup" and spec.group == "all":
            return
        for s in attempts:
            if s.fate is not AttemptResult.REJECTED and s.arrived_at <= a.ended_at:
                self.violation("duplicated", "refused after it may have run", a.ended_at,
                               f"class {spec.name}: an attempt had arrived "
                               f"{(a.ended_at - s.arrived_at) / 1000:.1f} ms before, with outcome {s.fate.value}",
                               call=a.call, attempt=a.attempt, node=a.node, server=s.server)
                return

    def _check_resends(self, attempts: list[ServerAttempt]) -> None:
        rules = self.rules
        spec = rules.classes[rules.calls[attempts[0].call].cls]
        for i, s in enumerate(attempts):
            where = {"call": s.call, "attempt": s.attempt, "node": s.node, "server": s.server}
            if not s.key_ok:
                self.violation("duplicated", "changed on the way", s.arrived_at,
                               "method, path, key or body differs from the caller's", **where)  # type: ignore[arg-type]
            if i >= rules.max_attempts:
                self.violation("duplicated", "too many attempts", s.arrived_at,
                               f"attempt {i + 1} of {rules.max_attempts}", **where)  # type: ignore[arg-type]
            for e in attempts[:i]:
                kind, text = self._resend_violation(spec.effect, spec.group, spec.window_us, e, s)
                if kind:
                    self.violation("duplicated", kind, s.arrived_at, f"class {spec.name}: {text}",
                                   **where)  # type: ignore[arg-type]
                    break

    def _resend_violation(
        self, effect: str, group: str, window_us: int, e: ServerAttempt, s: ServerAttempt
    ) -> tuple[str, str]:
        """Check attempt ``s`` against the earlier attempt ``e`` of the same request.  Returns kind and text of the
        violation, both empty if there is none."""
        rules = self.rules
        gap = s.arrived_at - e.arrived_at
        outstanding = e.ended_at > s.arrived_at
        if outstanding and not rules.second_copies and e.ended_at - s.arrived_at > rules.answer_slack_us:
            return "two out at once", f"an attempt at {e.server} was still outstanding"
        if effect == "retryable" or e.fate is AttemptResult.REJECTED and not outstanding:
            return "", ""
        before = f"an attempt {gap / 1000:.1f} ms before, at {e.server}, may have run ({e.fate.value})"
        if effect == "fragile":
            return "unsafe sent again", before
        one, two = rules.servers[e.server], rules.servers[s.server]
        if group != "all" and (one.site != two.site or group == "cell" and one.cell != two.cell):
            return "repeated outside its group", f"{before}; the group is {group}"
        if gap > window_us + rules.answer_slack_us:
            return "repeated outside its window", f"{before}; the window is {window_us / 1000:.0f} ms"
        return "", ""

    # ------------------------------------------------------------ drain

    def _check_drains(self) -> None:
        """A server is out of service for a node from the notification that it is not ready until the one that it is
        ready, or until the node's process starts again."""
        histories: dict[tuple[str, str], list[tuple[int, int, str]]] = defaultdict(list)
        for t in self.recording.told:
            at = self._presumed_at(t.node, t.at) if t.presumed else t.at
            histories[t.node, t.server].append((at, t.version, t.state))
        spans: dict[tuple[str, str], list[tuple[int, float]]] = {}
        for (node, server), rows in histories.items():
            rows += [(at, -1, "ready") for at in self.starts.get(node, ())]  # it starts without state
            rows.sort()
            newest = -1
            unavailable: list[tuple[int, float]] = []
            since: int | None = None
            for at, version, state in rows:
                if version < newest and version >= 0:
                    continue
                newest = version
                if state == "ready" and since is not None:
                    unavailable.append((since, at))
                    since = None
                elif state != "ready" and since is None:
                    since = at
            if since is not None:
                unavailable.append((since, float("inf")))
            if unavailable:
                spans[node, server] = unavailable
        grace = self.rules.drain_grace_us + self.rules.answer_slack_us
        for s in self.recording.sent:
            for since, until in spans.get((s.node, s.server), ()):
                if since + grace < s.arrived_at <= until:
                    self.violation("drain", "sent after the grace", s.arrived_at,
                                   f"notified {(s.arrived_at - since) / 1000:.0f} ms before, "
                                   f"the grace period is {self.rules.drain_grace_us / 1000:.0f} ms",
                                   call=s.call, attempt=s.attempt, server=s.server, node=s.node,
                                   excess=int(s.arrived_at - since - grace), late=self.fleet_lateness)

    def _presumed_at(self, node: str, at: int) -> int:
        """When the node counts as notified of what it was due to know by ``at``.  Process pauses extend the time that
        it has, because a paused node can't poll discovery."""
        since = at - self.rules.told_after_us
        for stop, end in sorted(self.pauses.get(node, ())):
            if stop < at and end > since:
                at += end - max(stop, since)
        return at

    # ------------------------------------------------------------ cold

    def _check_cold_starts(self) -> None:
        by_server: dict[str, list[ServerAttempt]] = defaultdict(list)
        for s in self.recording.sent:
            by_server[s.server].append(s)
        for rows in by_server.values():
            rows.sort(key=lambda s: s.arrived_at)
        ends: dict[str, list[int]] = defaultdict(list)
        for start in self.recording.starts:
            ends[start.server].append(start.at)
        ready_at: dict[tuple[str, str], list[int]] = defaultdict(list)
        for t in self.recording.told:
            if t.state == "ready":
                ready_at[t.node, t.server].append(t.at)
        for start in self.recording.starts:
            later = [at for at in ends[start.server] if at > start.at]
            self._check_start(start, by_server.get(start.server, []), min(later, default=1 << 62), ready_at)

    def _check_start(
        self, start: Start, rows: list[ServerAttempt], until: int, ready_at: dict[tuple[str, str], list[int]]
    ) -> None:
        """Check every window of ``fall_us`` that ends with an attempt during the server's slow start.

        ``rows``: the server's attempts; ``until``: its next start; ``ready_at``: when each node was notified that a
        server was ready, by node and server."""
        rules, spec = self.rules, self.rules.servers[start.server]
        until = min(until, start.at + spec.ramp_us)
        rows = [s for s in rows if start.at <= s.arrived_at < until]
        first, work_sent = 0, 0.0
        reported = False
        for i, s in enumerate(rows):
            work_sent += s.work_us
            while rows[first].arrived_at <= s.arrived_at - rules.fall_us:
                work_sent -= rows[first].work_us
                first += 1
            share = warm_share(spec.cold_share, spec.ramp_us, s.arrived_at - start.at)
            budget = rules.fall_multiple * spec.capacity * share * rules.fall_us / SECOND
            max_number = max_cold_requests(budget, rules.mean_us)
            number = i + 1 - first
            self.result.cold_peak_ratio = max(self.result.cold_peak_ratio, work_sent / budget)
            self.result.cold_number_ratio = max(self.result.cold_number_ratio, number / max_number)
            by_work = work_sent > budget * (1 + OVERLOAD_SLACK)
            if reported or not by_work and number <= max_number:
                continue
            window = rows[first:i + 1]
            by_notified = sum(
                x.work_us if by_work else 1 for x in window
                if any(start.at <= at <= x.arrived_at for at in ready_at.get((x.node, start.server), ()))
            )
            if by_notified >= NOTIFIED_SHARE * (work_sent if by_work else number):
                reported = True
                nodes = sorted({x.node for x in window})
                amount = f"{work_sent / 1000:.0f} ms of work" if by_work else f"{number} requests"
                allowed = f"{budget / 1000:.0f} ms" if by_work else f"{max_number:.0f} of mean work"
                self.violation("cold", "pushed over", s.arrived_at,
                               f"{amount} within {rules.fall_us / 1000:.0f} ms, the budget is {allowed} "
                               f"{(s.arrived_at - start.at) / SECOND:.1f} s after its start",
                               server=start.server, node=",".join(nodes))

    # ------------------------------------------------------------ crash

    def _check_exits(self) -> None:
        expected: dict[str, int] = {}  # exits to expect, by node; in an upgrade one process exits and one stays
        for mark in sorted(self.recording.marks, key=lambda m: m.at):
            if mark.what in ("node_term", "node_kill"):
                expected[mark.target] = expected.get(mark.target, 0) + 1
            elif mark.what == "node_start":
                expected.pop(mark.target, None)
            elif mark.what == "node_exit" and expected.get(mark.target):
                expected[mark.target] -= 1
            elif mark.what == "node_exit":
                self.violation("crash", "ended by itself", mark.at, mark.text or "no signal was sent to it",
                               node=mark.target)

    # ------------------------------------------------------------ verdict

    def verdict(self) -> Verdict:
        """Run all checks."""
        self._check_reliability()
        result = self.result
        if not any("not in the plan" in doubt for doubt in result.doubts):
            for a in self.recording.asks:
                self._check_client_attempt(a)
            asked = {(a.call, a.attempt) for a in self.recording.asks}
            for key, attempts in self.sent.items():
                self._check_resends(attempts)
                if key not in asked:
                    s = attempts[0]
                    self.violation("duplicated", "never asked", s.arrived_at, "no caller made this client attempt",
                                   call=s.call, attempt=s.attempt, server=s.server, node=s.node)
            self._check_drains()
            self._check_cold_starts()
        for _ in range(self.recording.strangers):
            self.violation("duplicated", "of an unknown id", self.start,
                           "a server received a request that no caller had made")
        self._check_exits()
        result.repeats_dropped = sum(s.fate is AttemptResult.REPEAT for s in self.recording.sent)
        for kind, count in self.doubtful.items():
            result.doubts.append(f"{count} {kind}, by less than the lab's own maximum lateness")
        result.valid = not result.doubts
        return result


def audit(recording: Recording) -> Verdict:
    """Check a recording against the rules."""
    return _Audit(recording).verdict()


def effects_per_key(recording: Recording) -> dict[int, int]:
    """How often each call of a keyed class took effect, over all of its client attempts.

    More than once is possible without a violation: the caller may retry later than the servers remember the key."""
    keyed = {i for i, c in enumerate(recording.rules.classes) if c.effect == "dedup"}
    counts: dict[int, int] = defaultdict(int)
    for s in recording.sent:
        if s.effect and recording.rules.calls[s.call].cls in keyed:
            counts[s.call] += 1
    return dict(counts)


