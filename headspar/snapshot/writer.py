"""Background writer: one thread, a queue of length one, and one log line for each change between success and failure.

The event loop queues a snapshot and continues; the thread does encoding, checksums and I/O.  While a write hangs, a
newer snapshot replaces the queued one.  Nothing waits for the writer except a graceful shutdown.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from headspar.handover.beliefs import Beliefs
from headspar.snapshot.expiry import Header
from headspar.snapshot.format import encode
from headspar.snapshot.store import Store


class Writer:
    """``log`` writes one line; ``log_status_change`` calls it in the event loop's thread."""

    def __init__(self, store: Store, log: Callable[[str], None]) -> None:
        self.store, self.log = store, log
        self.serial = 0  # of the newest snapshot written or found
        self.written = self.failed = self.superseded = 0
        self.pending: tuple[Header, Beliefs] | None = None
        self.busy = False
        self.stopping = False
        self.last_error = ""  # of the last write; empty if it succeeded
        self.logged_error = ""
        self.lock = threading.Condition()
        self.thread = threading.Thread(target=self._run, name="snapshot", daemon=True)
        self.thread.start()

    def enqueue(self, header: Header, beliefs: Beliefs) -> None:
        """Queue a snapshot; it replaces one that is still queued."""
        with self.lock:
            self.superseded += self.pending is not None
            self.pending = header, beliefs
            self.lock.notify()

    def log_status_change(self) -> None:
        """Log a change of the write status; called from the event loop."""
        with self.lock:
            error = self.last_error
        if error != self.logged_error:
            self.log(f"snapshot: {self.store.folder}: "
                     + (f"not kept: {error}" if error else "kept again"))
            self.logged_error = error

    def end(self, seconds: float) -> bool:
        """Wait at most ``seconds`` for the queued snapshot; returns whether it is on disk.  The daemon thread ends
        with the process."""
        with self.lock:
            self.stopping = True
            self.lock.notify()
            return (self.lock.wait_for(lambda: self.pending is None and not self.busy, seconds)
                    and not self.last_error)

    def _run(self) -> None:
        claimed = False
        while True:
            with self.lock:
                while self.pending is None:
                    if self.stopping:
                        return
                    self.lock.wait()
                (header, beliefs), self.pending = self.pending, None
                self.busy = True
            failure, serial = "", self.serial + 1
            try:
                if not claimed and self.store.claim():
                    claimed = True
                    newest, _ = self.store.newest()  # a previous writer may have continued after our read
                    serial = max(serial, newest.serial + 1 if newest is not None else 0)
                if not claimed:
                    failure = "another process of this node holds the write lock"
                elif data := encode(header, serial, beliefs):
                    self.store.write(data, serial)
                else:
                    failure = "state exceeds the size limit"
            except OSError as error:
                failure = error.strerror or str(error)
            except Exception as error:  # a bug here must not stop the node, and must be logged
                failure = f"{type(error).__name__}: {error}"
            with self.lock:
                self.busy, self.last_error = False, failure
                if failure:
                    self.failed += 1
                else:
                    self.serial, self.written = serial, self.written + 1
                self.lock.notify_all()
