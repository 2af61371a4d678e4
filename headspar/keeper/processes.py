"""Starts the node's processes and sends signals to them, but only to a process whose identity is verified.

A pid is not sufficient, as the kernel may have reused it.  A handle opens a pidfd (pidfd_open(2)) first and compares
the process's start time and boot afterwards, so signals sent through it can't reach another process.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

from headspar.identity import boot_id, start_ticks

# The launcher executes the command only after the keeper has saved its pid: it waits for a byte on standard input,
# and exits if the keeper ends before that.
LAUNCHER = (
    "import os, sys\n"
    "if not os.read(0, 1): sys.exit(3)\n"
    "null = os.open('/dev/null', os.O_RDWR); os.dup2(null, 0); os.close(null)\n"
    "os.execv(sys.argv[1], sys.argv[1:])\n"
)
LOG_ROTATE_BYTES = 8 << 20


class Handle:
    """A process with verified identity.  ``started``: start time in clock ticks since boot; ``fd``: its pidfd, closed
    by ``close``; ``child``: set if this keeper started it."""

    def __init__(self, pid: int, started: int, fd: int, child: subprocess.Popen[bytes] | None = None) -> None:
        self.pid, self.started, self.fd, self.child = pid, started, fd, child

    @classmethod
    def find(cls, pid: int, started: int, boot: str) -> Handle | str:
        """Open a handle for a recorded process; returns the reason as text if it is gone or another one."""
        if pid <= 1 or not started or boot != boot_id():
            return "of another boot"
        try:
            fd = os.pidfd_open(pid)
        except OSError as error:
            return error.strerror or "gone"
        if start_ticks(pid) != started or os.stat(f"/proc/{pid}").st_uid != os.getuid():
            os.close(fd)
            return "the pid belongs to another process"
        return cls(pid, started, fd)

    def signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.fd, number)

    def status(self) -> int:
        """Exit status after the process has ended; -1 if unknown, as for a process started by an earlier keeper."""
        if self.child is None:
            return -1
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self.child.wait(1.0)
        return -1

    def close(self) -> None:
        os.close(self.fd)
        if self.child is not None and self.child.stdin is not None:
            with contextlib.suppress(OSError):
                self.child.stdin.close()


def prepare(command: list[str], environ: dict[str, str], folder: Path, log: Path) -> Handle:
    """Start a launcher that executes ``command`` after ``release``; ``OSError`` if that fails.  Rotates a large log
    first."""
    with contextlib.suppress(OSError):
        if log.stat().st_size > LOG_ROTATE_BYTES:
            log.replace(log.with_name(log.name + ".1"))
    with log.open("ab") as out:
        child = subprocess.Popen(
            [sys.executable, "-I", "-S", "-c", LAUNCHER, *command], env=environ, cwd=folder, stdin=subprocess.PIPE,
            stdout=out, stderr=out, start_new_session=True,
        )
    return Handle(child.pid, start_ticks(child.pid), os.pidfd_open(child.pid), child)


def release(handle: Handle) -> None:
    """Let a prepared process execute its command; call this once its record is on disk."""
    assert handle.child is not None and handle.child.stdin is not None
    with contextlib.suppress(OSError):
        handle.child.stdin.write(b"g")
        handle.child.stdin.flush()
        handle.child.stdin.close()
