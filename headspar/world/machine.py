"""Queueing model of a cash server: cores, queue, slow start, overload failure and remembered keys.

Performs no I/O and reads no clock.  The host reports events with their times (``arrive``, ``cancel``,
``connected``), calls ``advance`` at the time that ``next_at`` names, and gets the requests that have completed.
Times are microseconds on one monotonic clock; work is microseconds on a core of speed 1.

Requests in service share the cores evenly (processor sharing): n requests on c cores of speed v progress at
v min(1, c / n) each.  After its work a request waits on other systems, still holding its slot.  A request that
finds no free slot waits in a bounded FIFO queue; when the queue is full, it is rejected.

A machine that has just started has reduced capacity: ``cold_share`` of the normal one at first, rising linearly
over ``ramp_us``.  All work that arrives counts against it, rejected requests included: more than ``fall_multiple``
times the present capacity within a window of ``fall_us`` makes the machine fail, and it stays down.  So does a
number of requests that would be too much if each were of mean work (``max_cold_requests``), as the operators
define it.

A machine with a choke (``scenario.Choke``) slows down once it has held too many requests, in slots and queue, for
too long.  It recovers only after it has held few requests for a while: reducing the load does not help at once.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush

from headspar.world.plan import SECOND, ServerPlan

OVERLOAD_SLACK = 0.1  # share of a window's budget, tolerated on top of it for random variation


def warm_share(cold_share: float, ramp_us: int, age: int) -> float:
    """The share of its warm capacity that a machine has ``age`` us after its start; 1.0 once it is warm."""
    if age >= ramp_us:
        return 1.0
    return cold_share + (1.0 - cold_share) * max(0, age) / ramp_us


def max_cold_requests(budget_us: float, mean_us: float) -> float:
    """The maximum number of requests that a cold machine survives within a window.

    ``budget_us`` is the work that is allowed in the window, ``mean_us`` the mean work of a request.  The limit is
    N + 2 sqrt(N) + 2, where N is the number of mean requests in the budget; infinite if the mean is unknown (0)."""
    if mean_us <= 0:
        return math.inf
    n = budget_us / mean_us
    return n + 2.0 * math.sqrt(n) + 2.0


class Job:
    """One request at the machine, or the work of accepting a connection (``number`` -1)."""

    __slots__ = ("number", "work", "wait", "due", "began_at", "state")

    def __init__(self, number: int, work: float, wait: int) -> None:
        self.number, self.work, self.wait = number, work, wait
        self.due = 0.0  # value of the machine's work_per_job at which its work is complete
        self.began_at = 0
        self.state = "new"  # then queued, working, waiting, over


class Machine:
    """One process of a server, from its start to its exit."""

    def __init__(
        self, plan: ServerPlan, now: int, started_at: int | None, fall_multiple: float, fall_us: int,
        mean_us: float = 0.0,
    ) -> None:
        """``started_at``: None if warm from the beginning; ``mean_us``: mean work of a request, 0 if unknown."""
        self.plan, self.started_at = plan, started_at
        self.fall_multiple, self.fall_us, self.mean_us = fall_multiple, fall_us, mean_us
        self.at = now
        self.slow = 1.0
        self.draining = False
        self.fallen = False
        self.work_per_job = 0.0  # work done since the start on a job that has been in service throughout
        self.service_heap: list[tuple[float, int, Job]] = []  # heap by due
        self.in_service = 0
        self.wait_heap: list[tuple[int, int, Job]] = []  # heap by time
        self.queue: deque[Job] = deque()
        self.busy_slots = 0  # slots in use
        self.queued = 0  # requests in the queue; the deque also holds cancelled ones
        self.jobs: dict[int, Job] = {}
        self.on_begin: Callable[[int, int], None] | None = None  # called with a request's number and start of work
        self.arrivals: deque[tuple[int, float]] = deque()
        self.arrived_work = 0.0
        self.serial = 0
        self.choked = False
        self.threshold_since: int | None = None  # since when it has held too many, or, while choked, few enough
        self.choked_at = 0

    # ------------------------------------------------------------ capacity

    def warm(self, now: int) -> float:
        """The share of its warm capacity that the machine has at ``now``."""
        if self.started_at is None:
            return 1.0
        return warm_share(self.plan.cold_share, self.plan.ramp_us, now - self.started_at)

    def cold(self, now: int) -> bool:
        """Whether the machine is in its slow start at ``now``."""
        return self.started_at is not None and now - self.started_at < self.plan.ramp_us

    def _rate(self, at: int) -> float:
        """Work per microsecond on each job in service."""
        if not self.in_service:
            return 0.0
        return self.plan.speed * self.warm(at) / self.slowness * min(1.0, self.plan.cores / self.in_service)

    @property
    def slowness(self) -> float:
        """Slowdown factor from injected faults and choking together; 1 is normal speed."""
        choke = self.plan.choke
        return self.slow * choke.factor if choke is not None and self.choked else self.slow

    def _choke_due(self) -> int | None:
        """When choking begins or ends if the number of held requests does not change."""
        choke = self.plan.choke
        if choke is None:
            return None
        delay_s = choke.rest_s if self.choked else choke.over_s
        due = None if self.threshold_since is None else self.threshold_since + int(delay_s * SECOND)
        if self.choked:
            last = self.choked_at + int(choke.most_s * SECOND)
            return last if due is None else min(last, due)
        return due

    def _update_choke(self, now: int) -> None:
        """Update the choke state.  Called whenever the number of held requests may have changed or the state is due
        to change."""
        choke = self.plan.choke
        if choke is None:
            return
        due = self._choke_due()
        if due is not None and now >= due:
            self.choked, self.threshold_since, self.choked_at = not self.choked, None, now
        present = self.busy_slots + self.queued
        if not (present < choke.below * choke.at if self.choked else present > choke.at):
            self.threshold_since = None
        elif self.threshold_since is None:
            self.threshold_since = now

    def record_arrival(self, now: int, work: float) -> bool:
        """Count ``work`` that has arrived at a cold machine; True if it makes the machine fail."""
        if self.fallen or not self.cold(now):
            return False
        self.arrivals.append((now, work))
        self.arrived_work += work
        while self.arrivals[0][0] <= now - self.fall_us:
            self.arrived_work -= self.arrivals.popleft()[1]
        budget = self.fall_multiple * self.plan.capacity * self.warm(now) * self.fall_us / SECOND
        self.fallen = (self.arrived_work > budget * (1 + OVERLOAD_SLACK)
                       or len(self.arrivals) > max_cold_requests(budget, self.mean_us))
        return self.fallen

    # ------------------------------------------------------------ events

    def has_capacity(self) -> bool:
        """Whether a request that arrives now is accepted."""
        if self.draining or self.fallen:
            return False
        return self.busy_slots < self.plan.slots or self.queued < self.plan.queue

    def arrive(self, now: int, number: int, work: float, wait: int) -> bool:
        """A complete request has arrived: True if it is accepted, False if it is rejected.  After ``work`` it waits
        on other systems for ``wait`` us."""
        if not self.has_capacity():
            return False
        job = self.jobs[number] = Job(number, work, wait)
        if self.busy_slots < self.plan.slots:
            self._begin(job, now)
        else:
            job.state = "queued"
            self.queue.append(job)
            self.queued += 1
        self._update_choke(now)
        return True

    def connected(self, now: int, cost: float) -> None:
        """Charge ``cost`` us of work for a new connection."""
        if cost > 0:
            job = Job(-1, cost, 0)
            job.state = "working"
            self._enter_service(job)

    def cancel(self, now: int, number: int) -> bool:
        """Cancel a request: its work stops.  Returns whether the work had begun."""
        job = self.jobs.pop(number, None)
        if job is None or job.state == "over":
            return False
        began = job.state != "queued"
        if not began:
            self.queued -= 1
        if job.state == "working":
            self.in_service -= 1
        job.state = "over"  # its entries in heaps and queue are skipped later
        if began:
            self._release_slot(now)
        self._update_choke(now)
        return began

    def _begin(self, job: Job, now: int) -> None:
        self.busy_slots += 1
        job.began_at = now
        job.state = "working"
        self._enter_service(job)
        if self.on_begin is not None:
            self.on_begin(job.number, now)

    def _enter_service(self, job: Job) -> None:
        self.serial += 1
        job.due = self.work_per_job + job.work
        heappush(self.service_heap, (job.due, self.serial, job))
        self.in_service += 1

    def _release_slot(self, now: int) -> None:
        self.busy_slots -= 1
        while self.queue and self.busy_slots < self.plan.slots:
            job = self.queue.popleft()
            if job.state == "queued":
                self.queued -= 1
                self._begin(job, now)

    # ------------------------------------------------------------ time

    def next_at(self) -> int | None:
        """When the next state change is due if no other event happens; None if the machine is idle."""
        while self.service_heap and self.service_heap[0][2].state != "working":
            heappop(self.service_heap)
        while self.wait_heap and self.wait_heap[0][2].state != "waiting":
            heappop(self.wait_heap)
        due: int | None = None
        if self.service_heap:
            rate = self._rate(self.at)
            due = self.at + max(1, int((self.service_heap[0][0] - self.work_per_job) / rate) + 1)
        if self.wait_heap and (due is None or self.wait_heap[0][0] < due):
            due = self.wait_heap[0][0]
        choke_due = self._choke_due() if due is not None else None
        return due if choke_due is None or due is None else min(due, max(self.at, choke_due))

    def advance(self, now: int) -> list[tuple[int, int]]:
        """Advance the simulation to ``now``.  Returns number and completion time of the requests that completed on
        the way, in order of completion."""
        done: list[tuple[int, int]] = []
        while True:
            due = self.next_at()
            at = now if due is None or due > now else due
            if at > self.at:
                self.work_per_job += (at - self.at) * self._rate((self.at + at) // 2)
                self.at = at
            if due is None or due > now:
                if self.plan.choke is not None and not self.jobs:
                    self._update_choke(now)
                return done
            self._complete_due(done)
            self._update_choke(self.at)

    def _complete_due(self, done: list[tuple[int, int]]) -> None:
        now = self.at
        while self.service_heap and (
            self.service_heap[0][2].state != "working" or self.service_heap[0][0] <= self.work_per_job + 1e-6
        ):
            job = heappop(self.service_heap)[2]
            if job.state != "working":
                continue
            self.in_service -= 1
            if job.number < 0:
                job.state = "over"
                continue
            job.state = "waiting"
            self.serial += 1
            heappush(self.wait_heap, (now + job.wait, self.serial, job))
        while self.wait_heap and (self.wait_heap[0][2].state != "waiting" or self.wait_heap[0][0] <= now):
            job = heappop(self.wait_heap)[2]
            if job.state != "waiting":
                continue
            job.state = "over"
            self.jobs.pop(job.number, None)
            done.append((job.number, now))
            self._release_slot(now)

    def load(self) -> tuple[int, int]:
        """Number of requests in slots, and in the queue."""
        return self.busy_slots, self.queued


class KeyMemory:
    """Idempotency keys that a group of servers remembers: a duplicate within the window has no second effect.

    There is one memory for each class and group: all servers, those of a site, or those of a cell.  A key is
    remembered from the moment at which its request is accepted, for ``window_us``.  At most ``max_keys`` are kept;
    the oldest are evicted first, as on a real server, and ``forgotten_early`` counts those evicted within their
    window.
    """

    def __init__(self, window_us: int, max_keys: int) -> None:
        self.window_us, self.max_keys = window_us, max_keys
        self.seen: dict[str, int] = {}
        self.forgotten_early = 0

    def repeat(self, key: str, now: int) -> bool:
        """Whether ``key`` is a duplicate.  A key that is new or was forgotten is remembered, so this is called only
        for requests that are accepted."""
        while self.seen:
            oldest = next(iter(self.seen))
            if now - self.seen[oldest] < self.window_us:
                break
            del self.seen[oldest]
        at = self.seen.get(key)
        if at is not None and now - at < self.window_us:
            return True
        self.seen.pop(key, None)
        self.seen[key] = now
        if len(self.seen) > self.max_keys:
            del self.seen[next(iter(self.seen))]
            self.forgotten_early += 1
        return False

    def forget(self, key: str) -> None:
        """Remove a key whose request was cancelled before its work began, and so had no effect."""
        self.seen.pop(key, None)
