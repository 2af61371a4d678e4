"""Starts of a node's processes, and signals to them: only to what is proven to be the process that was started.

A pid alone proves nothing: it may be another process's by now.  A handle is a pidfd (pidfd_open(2)) taken first and
checked against pid, start and boot afterwards; what is signalled through it can be no other process.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

from headspar.identity import boot_id, start_ticks

# A process begins only once its pid lies on the keeper's disk: it waits for a byte, and ends if the keeper does.
LAUNCH = (
    "import os, sys\n"
    "if not os.read(0, 1): sys.exit(3)\n"
    "null = os.open('/dev/null', os.O_RDWR); os.dup2(null, 0); os.close(null)\n"
    "os.execv(sys.argv[1], sys.argv[1:])\n"
)
LOG_BYTES = 8 << 20


class Handle:
    """One process, proven; ``close`` gives the descriptor back."""

    def __init__(self, pid: int, started: int, fd: int, child: subprocess.Popen[bytes] | None = None) -> None:
        self.pid, self.started, self.fd, self.child = pid, started, fd, child

    @classmethod
    def find(cls, pid: int, started: int, boot: str) -> Handle | str:
        """The process, or why it is not the one."""
        if pid <= 1 or not started or boot != boot_id():
            return "of another boot"
        try:
            fd = os.pidfd_open(pid)
        except OSError as error:
            return error.strerror or "gone"
        if start_ticks(pid) != started or os.stat(f"/proc/{pid}").st_uid != os.getuid():
            os.close(fd)
            return "the pid is another process's"
        return cls(pid, started, fd)

    def signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.fd, number)

    def status(self) -> int:
        """After its end: its exit status; -1 where it is not known, as it was another keeper's child."""
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
    """A process that waits for ``go`` before it becomes ``command``; ``OSError`` if there can be none."""
    with contextlib.suppress(OSError):
        if log.stat().st_size > LOG_BYTES:
            log.replace(log.with_name(log.name + ".1"))
    with log.open("ab") as out:
        child = subprocess.Popen(
            [sys.executable, "-I", "-S", "-c", LAUNCH, *command], env=environ, cwd=folder, stdin=subprocess.PIPE,
            stdout=out, stderr=out, start_new_session=True,
        )
    return Handle(child.pid, start_ticks(child.pid), os.pidfd_open(child.pid), child)


def go(handle: Handle) -> None:
    """It may begin: what must be known of it is on the disk."""
    assert handle.child is not None and handle.child.stdin is not None
    with contextlib.suppress(OSError):
        handle.child.stdin.write(b"g")
        handle.child.stdin.flush()
        handle.child.stdin.close()
