"""The controller's SQLite store: intents before the actions, outcomes after them, and the lease with its epoch.

WAL mode with ``synchronous=FULL``: a committed write survives a kill at any point.  Each write by a controller checks
the lease in the same transaction, so a controller that has lost the lease writes nothing more.
"""

from __future__ import annotations

import errno
import os
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from headspar.failpoints import failpoint
from headspar.rollout.judge.baseline import Baseline
from headspar.rollout.judge.types import Comparison, Power, Verdict
from headspar.rollout.lease import Lease
from headspar.rollout.state import OVER, Cause, Change, Command, State

SCHEMA = """
CREATE TABLE IF NOT EXISTS lease (id INTEGER PRIMARY KEY CHECK (id = 1), holder TEXT, epoch INTEGER, until REAL);
CREATE TABLE IF NOT EXISTS change (
    id TEXT PRIMARY KEY, began REAL, state TEXT, body BLOB);
CREATE TABLE IF NOT EXISTS step (
    number INTEGER PRIMARY KEY AUTOINCREMENT, change TEXT, node TEXT, say TEXT, body BLOB, epoch INTEGER, at REAL,
    outcome TEXT, why TEXT, answered REAL);
CREATE INDEX IF NOT EXISTS open_steps ON step (change, outcome);
CREATE TABLE IF NOT EXISTS move (
    number INTEGER PRIMARY KEY AUTOINCREMENT, change TEXT, at REAL, epoch INTEGER, before TEXT, cause TEXT,
    after TEXT, stage INTEGER, why TEXT);
CREATE TABLE IF NOT EXISTS request (
    number INTEGER PRIMARY KEY AUTOINCREMENT, change TEXT, what TEXT, by TEXT, at REAL, taken TEXT);
CREATE TABLE IF NOT EXISTS before (change TEXT PRIMARY KEY, at REAL, body BLOB, powers BLOB);
CREATE TABLE IF NOT EXISTS look (
    number INTEGER PRIMARY KEY AUTOINCREMENT, change TEXT, stage INTEGER, look INTEGER, at REAL, epoch INTEGER,
    kind TEXT, reason TEXT, seen BLOB);
INSERT OR IGNORE INTO lease VALUES (1, '', 0, 0);
"""
BUSY_S = 5.0  # how long SQLite waits for another process's lock


class RecordError(Exception):
    """The record cannot be used; the message is one plain line."""


class Fenced(RecordError):
    """Another controller has the lease."""


class Busy(RecordError):
    """Another change is under way, or the name is taken; the message names it."""


class Step(msgspec.Struct, frozen=True):
    """A command with its intent and outcome; ``outcome`` is None while it is unanswered.  Times are wall clock."""

    number: int
    change: str
    node: str
    say: str
    command: Command
    epoch: int
    at: float
    outcome: str | None
    why: str
    answered: float | None


class Transition(msgspec.Struct, frozen=True):
    """A state transition of a change; ``at`` is wall clock."""

    at: float
    epoch: int
    before: str
    cause: str
    after: str
    stage: int
    why: str


class Look(msgspec.Struct, frozen=True):
    """A look of the judge with its verdict; ``at`` is wall clock."""

    at: float
    stage: int
    look: int
    kind: str
    reason: str
    seen: list[Comparison]


class Record:
    """The record at a path.  Each method that writes is one transaction."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self.db = sqlite3.connect(path, timeout=BUSY_S, isolation_level=None)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            self.db.executescript(SCHEMA)
        except sqlite3.Error as error:
            raise RecordError(f"{path}: {error}") from None

        self.file = self._file()
        row = self.db.execute("SELECT seq FROM sqlite_sequence WHERE name = 'step'").fetchone()
        self.last_step = int(row[0]) if row else 0

    def _file(self) -> tuple[int, int] | None:
        """Return device and inode of the file at the path; None if there is none."""
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_dev, found.st_ino

    def close(self) -> None:
        self.db.close()

    @contextmanager
    def _write(self, epoch: int | None = None) -> Iterator[sqlite3.Connection]:
        """Open a write transaction.

        Raises ``Fenced`` if ``epoch`` is given and is not the lease's, and ``OSError`` if the disk fails or the file
        at the path is a different one by now: a controller that kept writing to a removed file would hold a lease
        that nobody else sees.
        """
        if epoch is not None and self._file() != self.file:
            raise OSError(errno.ESTALE, "the record was removed or replaced", str(self.path))
        try:
            failpoint("record.begin")
            self.db.execute("BEGIN IMMEDIATE")
            try:
                if epoch is not None:
                    lease = self._lease(self.db)
                    if lease.epoch != epoch:
                        raise Fenced(f"epoch {epoch} is over, {lease.holder} has {lease.epoch}")
                yield self.db
                failpoint("record.commit")
                self.db.execute("COMMIT")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
        except sqlite3.Error as error:
            raise OSError(5, f"{error}", str(self.path)) from None

    # ------------------------------------------------------------ the lease

    def acquire(self, holder: str, now: float, seconds: float) -> int | None:
        """Return a new epoch if the lease is free or expired; None if another holds it.  ``now``: wall clock."""
        with self._write() as db:
            lease = self._lease(db).acquired(holder, now, seconds)
            if lease is not None:
                self._store_lease(db, lease)
            return None if lease is None else lease.epoch

    def renew(self, epoch: int, now: float, seconds: float) -> None:
        """Extend the lease to ``now + seconds``; raises ``Fenced`` if another controller holds it."""
        with self._write(epoch) as db:
            self._store_lease(db, self._lease(db).renewed(now, seconds))

    def raise_epoch(self, epoch: int, epoch_seen: int, step_seen: int) -> int:
        """Raise epoch and step number above those that a keeper has seen, and return the new epoch.

        Raises ``Fenced`` if ``epoch`` does not hold the lease.
        """
        with self._write(epoch) as db:
            lease = self._lease(db).raised_above(epoch_seen, step_seen > self.last_step)
            self._store_lease(db, lease)
            if step_seen > self.last_step:
                db.execute("DELETE FROM sqlite_sequence WHERE name = 'step'")
                db.execute("INSERT INTO sqlite_sequence VALUES ('step', ?)", (step_seen,))
                self.last_step = step_seen
        return lease.epoch

    def release(self, epoch: int) -> None:
        """Release the lease for the next controller; does nothing if another holds it."""
        try:
            with self._write(epoch) as db:
                self._store_lease(db, self._lease(db).released())
        except (Fenced, OSError):
            pass

    def holder(self) -> tuple[str, int, float]:
        """Return the current or last holder, its epoch, and when the lease expires (wall clock)."""
        lease = self._lease(self.db)
        return lease.holder, lease.epoch, lease.until

    @staticmethod
    def _lease(db: sqlite3.Connection) -> Lease:
        holder, epoch, until = db.execute("SELECT holder, epoch, until FROM lease").fetchone()
        return Lease(str(holder), int(epoch), float(until))

    @staticmethod
    def _store_lease(db: sqlite3.Connection, lease: Lease) -> None:
        db.execute("UPDATE lease SET holder = ?, epoch = ?, until = ?", (lease.holder, lease.epoch, lease.until))

    # ------------------------------------------------------------ changes

    def create(self, change: Change, now: float) -> None:
        """Store a new change; raises ``Busy`` if one is under way or the name has been used."""
        with self._write() as db:
            other = self._active(db)
            if other is not None:
                raise Busy(f"change {other[0]!r} is {other[1]}")
            if db.execute("SELECT 1 FROM change WHERE id = ?", (change.id,)).fetchone():
                raise Busy(f"there has already been a change {change.id!r}")
            db.execute("INSERT INTO change VALUES (?, ?, ?, ?)",
                       (change.id, now, change.state.value, msgspec.json.encode(change)))

    @staticmethod
    def _active(db: sqlite3.Connection) -> Any:
        ended = [state.value for state in OVER]
        return db.execute("SELECT id, state FROM change WHERE state NOT IN (?, ?) LIMIT 1", ended).fetchone()

    def latest(self) -> tuple[Change, float] | None:
        """Return the change under way, else the latest one, with its start (wall clock); None if there is none."""
        ended = [state.value for state in OVER]
        row = self.db.execute(
            "SELECT body, began FROM change ORDER BY state NOT IN (?, ?) DESC, began DESC LIMIT 1", ended).fetchone()
        return None if row is None else (msgspec.json.decode(row[0], type=Change), float(row[1]))

    def changes(self) -> list[tuple[Change, float]]:
        """Return all changes with their starts (wall clock), oldest first."""
        rows = self.db.execute("SELECT body, began FROM change ORDER BY began").fetchall()
        return [(msgspec.json.decode(body, type=Change), float(began)) for body, began in rows]

    def record_transition(self, epoch: int, change: Change, before: State, cause: Cause, now: float) -> None:
        """Store a change's new state together with the transition."""
        with self._write(epoch) as db:
            db.execute("UPDATE change SET state = ?, body = ? WHERE id = ?",
                       (change.state.value, msgspec.json.encode(change), change.id))
            db.execute(
                "INSERT INTO move (change, at, epoch, before, cause, after, stage, why) VALUES (?,?,?,?,?,?,?,?)",
                (change.id, now, epoch, before.value, cause.value, change.state.value, change.stage, change.why))

    def moves(self, change: str) -> list[Transition]:
        rows = self.db.execute("SELECT at, epoch, before, cause, after, stage, why FROM move WHERE change = ? "
                               "ORDER BY number", (change,)).fetchall()
        return [Transition(*row) for row in rows]

    # ------------------------------------------------------------ the judge

    def store_baseline(self, epoch: int, change: str, before: Baseline, powers: list[Power], now: float) -> None:
        """Store the baseline of a change and the power of its stages."""
        with self._write(epoch) as db:
            db.execute("INSERT OR REPLACE INTO before VALUES (?,?,?,?)",
                       (change, now, msgspec.json.encode(before), msgspec.json.encode(powers)))

    def baseline(self, change: str) -> Baseline | None:
        row = self.db.execute("SELECT body FROM before WHERE change = ?", (change,)).fetchone()
        return None if row is None else msgspec.json.decode(row[0], type=Baseline)

    def powers(self, change: str) -> list[Power]:
        row = self.db.execute("SELECT powers FROM before WHERE change = ?", (change,)).fetchone()
        return [] if row is None else msgspec.json.decode(row[0], type=list[Power])

    def record_look(self, epoch: int, change: Change, look: int, verdict: Verdict, now: float) -> None:
        with self._write(epoch) as db:
            db.execute("INSERT INTO look (change, stage, look, at, epoch, kind, reason, seen) "
                       "VALUES (?,?,?,?,?,?,?,?)",
                       (change.id, change.stage, look, now, epoch, verdict.kind.value, verdict.reason,
                        msgspec.json.encode(verdict.seen)))

    def looks(self, change: str) -> list[Look]:
        """Return the looks at a change, oldest first."""
        rows = self.db.execute("SELECT at, stage, look, kind, reason, seen FROM look WHERE change = ? "
                               "ORDER BY number", (change,)).fetchall()
        return [Look(at, stage, look, kind, reason, msgspec.json.decode(seen, type=list[Comparison]))
                for at, stage, look, kind, reason, seen in rows]

    # ------------------------------------------------------------ steps

    def intent(self, epoch: int, change: str, command: Command, now: float) -> int:
        """Record a command before it is sent, and return its step number."""
        with self._write(epoch) as db:
            cursor = db.execute(
                "INSERT INTO step (change, node, say, body, epoch, at) VALUES (?,?,?,?,?,?)",
                (change, command.node, command.say, msgspec.json.encode(command), epoch, now))
            number = cursor.lastrowid
        assert number is not None
        self.last_step = number
        return number

    def outcome(self, epoch: int, number: int, outcome: str, why: str, now: float) -> None:
        """Record the outcome of a step, after its answer or when an answer no longer matters."""
        with self._write(epoch) as db:
            db.execute("UPDATE step SET outcome = ?, why = ?, answered = ? WHERE number = ?",
                       (outcome, why, now, number))

    def steps(self, change: str, open_only: bool = False) -> list[Step]:
        condition = "AND outcome IS NULL" if open_only else ""
        rows = self.db.execute(
            "SELECT number, change, node, say, body, epoch, at, outcome, why, answered FROM step "
            f"WHERE change = ? {condition} ORDER BY number", (change,)).fetchall()
        return [
            Step(n, c, node, say, msgspec.json.decode(body, type=Command), epoch, at, outcome, why or "", answered)
            for n, c, node, say, body, epoch, at, outcome, why, answered in rows
        ]

    def try_times(self, change: str) -> dict[str, float]:
        """Return when each node was last sent a command to try (wall clock)."""
        rows = self.db.execute("SELECT node, MAX(at) FROM step WHERE change = ? AND say = 'try' GROUP BY node",
                               (change,)).fetchall()
        return {node: float(at) for node, at in rows}

    # ------------------------------------------------------------ requests

    def request(self, change: str, what: str, by: str, now: float) -> None:
        """Store a person's request for the controller."""
        with self._write() as db:
            db.execute("INSERT INTO request (change, what, by, at) VALUES (?,?,?,?)", (change, what, by, now))

    def requests(self, change: str) -> list[tuple[int, str, str]]:
        """Return the open requests as (number, what, by whom)."""
        return [(int(n), str(what), str(by)) for n, what, by in self.db.execute(
            "SELECT number, what, by FROM request WHERE change = ? AND taken IS NULL ORDER BY number", (change,))]

    def close_request(self, epoch: int, number: int, answer: str) -> None:
        """Close a request with its answer."""
        with self._write(epoch) as db:
            db.execute("UPDATE request SET taken = ? WHERE number = ?", (answer, number))
