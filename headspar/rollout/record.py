"""The controller's record in SQLite: intent before the action, outcome after it, and the lease with its epoch.

WAL and ``synchronous=FULL``: what is acknowledged survives a kill at any byte.  Each write of a controller is made in
one transaction with a look at the lease: who has lost it writes nothing more.
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
from headspar.rollout.judge.before import Before
from headspar.rollout.judge.terms import Comparison, Power, Verdict
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
BUSY_S = 5.0


class RecordError(Exception):
    """A record that can't be used; the text is one plain line."""


class Fenced(RecordError):
    """Another controller has the lease."""


class Busy(RecordError):
    """Another change is under way; the text names it."""


class Step(msgspec.Struct, frozen=True):
    """A word that was to be sent."""

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


class Moved(msgspec.Struct, frozen=True):
    """A transition of a change."""

    at: float
    epoch: int
    before: str
    cause: str
    after: str
    stage: int
    why: str


class Looked(msgspec.Struct, frozen=True):
    """A verdict of the judge's."""

    at: float
    stage: int
    look: int
    kind: str
    reason: str
    seen: list[Comparison]


class Record:
    """The record at a path; every method but the readers' is one transaction."""

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
        """Which file lies at the path now; None for none."""
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_dev, found.st_ino

    def close(self) -> None:
        self.db.close()

    @contextmanager
    def _write(self, epoch: int | None = None) -> Iterator[sqlite3.Connection]:
        """A transaction; with an epoch, ``Fenced`` unless that is the lease's.  ``OSError`` where the disk fails, or
        another file lies at the path by now: who goes on in one that was taken away has a lease that nobody sees."""
        if epoch is not None and self._file() != self.file:
            raise OSError(errno.ESTALE, "the record was taken away or replaced", str(self.path))
        try:
            failpoint("record.begin")
            self.db.execute("BEGIN IMMEDIATE")
            try:
                if epoch is not None:
                    held = self._lease(self.db)
                    if held.epoch != epoch:
                        raise Fenced(f"epoch {epoch} is over, {held.holder} has {held.epoch}")
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
        """A new epoch, if the lease is free or has run out; None if another has it.  ``now``: wall clock."""
        with self._write() as db:
            lease = self._lease(db).acquired(holder, now, seconds)
            if lease is not None:
                self._hold(db, lease)
            return None if lease is None else lease.epoch

    def renew(self, epoch: int, now: float, seconds: float) -> None:
        """``Fenced`` if another has it by now."""
        with self._write(epoch) as db:
            self._hold(db, self._lease(db).renewed(now, seconds))

    def lift(self, epoch: int, epoch_heard: int, step_heard: int) -> int:
        """Keepers have heard of later ones than the record holds: the epoch from now on, above theirs; steps go on
        above theirs as well.  ``Fenced`` if the lease is not ours."""
        with self._write(epoch) as db:
            lease = self._lease(db).raised_above(epoch_heard, step_heard > self.last_step)
            self._hold(db, lease)
            if step_heard > self.last_step:
                db.execute("DELETE FROM sqlite_sequence WHERE name = 'step'")
                db.execute("INSERT INTO sqlite_sequence VALUES ('step', ?)", (step_heard,))
                self.last_step = step_heard
        return lease.epoch

    def release(self, epoch: int) -> None:
        """Let the next one take it at once; nothing if another has it."""
        try:
            with self._write(epoch) as db:
                self._hold(db, self._lease(db).released())
        except (Fenced, OSError):
            pass

    def holder(self) -> tuple[str, int, float]:
        """Who has or had the lease, the epoch, and until when."""
        lease = self._lease(self.db)
        return lease.holder, lease.epoch, lease.until

    @staticmethod
    def _lease(db: sqlite3.Connection) -> Lease:
        holder, epoch, until = db.execute("SELECT holder, epoch, until FROM lease").fetchone()
        return Lease(str(holder), int(epoch), float(until))

    @staticmethod
    def _hold(db: sqlite3.Connection, lease: Lease) -> None:
        db.execute("UPDATE lease SET holder = ?, epoch = ?, until = ?", (lease.holder, lease.epoch, lease.until))

    # ------------------------------------------------------------ changes

    def create(self, change: Change, now: float) -> None:
        """A new change; ``Busy`` while one is under way."""
        with self._write() as db:
            other = self._active(db)
            if other is not None:
                raise Busy(f"change {other[0]!r} is {other[1]}")
            if db.execute("SELECT 1 FROM change WHERE id = ?", (change.id,)).fetchone():
                raise Busy(f"there has been a change {change.id!r}")
            db.execute("INSERT INTO change VALUES (?, ?, ?, ?)",
                       (change.id, now, change.state.value, msgspec.json.encode(change)))

    @staticmethod
    def _active(db: sqlite3.Connection) -> Any:
        over = [state.value for state in OVER]
        return db.execute("SELECT id, state FROM change WHERE state NOT IN (?, ?) LIMIT 1", over).fetchone()

    def latest(self) -> tuple[Change, float] | None:
        """The change under way, else the one that began last, with the wall clock of its beginning."""
        over = [state.value for state in OVER]
        row = self.db.execute(
            "SELECT body, began FROM change ORDER BY state NOT IN (?, ?) DESC, began DESC LIMIT 1", over).fetchone()
        return None if row is None else (msgspec.json.decode(row[0], type=Change), float(row[1]))

    def changes(self) -> list[tuple[Change, float]]:
        """All of them, the oldest first."""
        rows = self.db.execute("SELECT body, began FROM change ORDER BY began").fetchall()
        return [(msgspec.json.decode(body, type=Change), float(began)) for body, began in rows]

    def moved(self, epoch: int, change: Change, before: State, cause: Cause, now: float) -> None:
        """The change has moved; its new state and the transition in one."""
        with self._write(epoch) as db:
            db.execute("UPDATE change SET state = ?, body = ? WHERE id = ?",
                       (change.state.value, msgspec.json.encode(change), change.id))
            db.execute(
                "INSERT INTO move (change, at, epoch, before, cause, after, stage, why) VALUES (?,?,?,?,?,?,?,?)",
                (change.id, now, epoch, before.value, cause.value, change.state.value, change.stage, change.why))

    def moves(self, change: str) -> list[Moved]:
        rows = self.db.execute("SELECT at, epoch, before, cause, after, stage, why FROM move WHERE change = ? "
                               "ORDER BY number", (change,)).fetchall()
        return [Moved(*row) for row in rows]

    # ------------------------------------------------------------ the judge

    def keep_before(self, epoch: int, change: str, before: Before, powers: list[Power], now: float) -> None:
        """The time before a change, and what its stages could show."""
        with self._write(epoch) as db:
            db.execute("INSERT OR REPLACE INTO before VALUES (?,?,?,?)",
                       (change, now, msgspec.json.encode(before), msgspec.json.encode(powers)))

    def before(self, change: str) -> Before | None:
        row = self.db.execute("SELECT body FROM before WHERE change = ?", (change,)).fetchone()
        return None if row is None else msgspec.json.decode(row[0], type=Before)

    def powers(self, change: str) -> list[Power]:
        row = self.db.execute("SELECT powers FROM before WHERE change = ?", (change,)).fetchone()
        return [] if row is None else msgspec.json.decode(row[0], type=list[Power])

    def looked(self, epoch: int, change: Change, look: int, verdict: Verdict, now: float) -> None:
        with self._write(epoch) as db:
            db.execute("INSERT INTO look (change, stage, look, at, epoch, kind, reason, seen) "
                       "VALUES (?,?,?,?,?,?,?,?)",
                       (change.id, change.stage, look, now, epoch, verdict.kind.value, verdict.reason,
                        msgspec.json.encode(verdict.seen)))

    def looks(self, change: str) -> list[Looked]:
        """All of a change, the oldest first."""
        rows = self.db.execute("SELECT at, stage, look, kind, reason, seen FROM look WHERE change = ? "
                               "ORDER BY number", (change,)).fetchall()
        return [Looked(at, stage, look, kind, reason, msgspec.json.decode(seen, type=list[Comparison]))
                for at, stage, look, kind, reason, seen in rows]

    # ------------------------------------------------------------ steps

    def intent(self, epoch: int, change: str, command: Command, now: float) -> int:
        """Before a word is sent: its number."""
        with self._write(epoch) as db:
            cursor = db.execute(
                "INSERT INTO step (change, node, say, body, epoch, at) VALUES (?,?,?,?,?,?)",
                (change, command.node, command.say, msgspec.json.encode(command), epoch, now))
            number = cursor.lastrowid
        assert number is not None
        self.last_step = number
        return number

    def outcome(self, epoch: int, number: int, outcome: str, why: str, now: float) -> None:
        """After its answer, or once it is known that none matters any more."""
        with self._write(epoch) as db:
            db.execute("UPDATE step SET outcome = ?, why = ?, answered = ? WHERE number = ?",
                       (outcome, why, now, number))

    def steps(self, change: str, open_only: bool = False) -> list[Step]:
        more = "AND outcome IS NULL" if open_only else ""
        rows = self.db.execute(
            "SELECT number, change, node, say, body, epoch, at, outcome, why, answered FROM step "
            f"WHERE change = ? {more} ORDER BY number", (change,)).fetchall()
        return [
            Step(n, c, node, say, msgspec.json.decode(body, type=Command), epoch, at, outcome, why or "", answered)
            for n, c, node, say, body, epoch, at, outcome, why, answered in rows
        ]

    def told(self, change: str) -> dict[str, float]:
        """When each node was last told to try, by the wall clock."""
        rows = self.db.execute("SELECT node, MAX(at) FROM step WHERE change = ? AND say = 'try' GROUP BY node",
                               (change,)).fetchall()
        return {node: float(at) for node, at in rows}

    # ------------------------------------------------------------ people

    def request(self, change: str, what: str, by: str, now: float) -> None:
        """A person wants something of the change; the controller takes it up."""
        with self._write() as db:
            db.execute("INSERT INTO request (change, what, by, at) VALUES (?,?,?,?)", (change, what, by, now))

    def requests(self, change: str) -> list[tuple[int, str, str]]:
        """What nobody has taken up yet: number, what, by whom."""
        return [(int(n), str(what), str(by)) for n, what, by in self.db.execute(
            "SELECT number, what, by FROM request WHERE change = ? AND taken IS NULL ORDER BY number", (change,))]

    def took(self, epoch: int, number: int, answer: str) -> None:
        with self._write(epoch) as db:
            db.execute("UPDATE request SET taken = ? WHERE number = ?", (answer, number))
