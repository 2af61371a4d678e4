"""The identity of a process: digests of program and settings, generation, pid, start time and boot id.

A keeper compares these with the process that it should run, and signals a process only while pid, start time and boot
id all match.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

PACKAGE = Path(__file__).resolve().parent
SKIPPED_NAMES = frozenset(("__pycache__", ".git"))
MAX_FILES = 20_000
NO_HANDOVER = 4  # exit status of a process that may start only by hand-over, if none is possible


def tree_digest(folder: Path) -> str:
    """SHA-256 over names and contents of all files below ``folder``, in hexadecimal.

    Compiled files and symlinks are skipped.  Raises ``OSError`` if a file cannot be read or there are more than
    ``MAX_FILES``.
    """
    files: list[Path] = []
    for at, folders, names in os.walk(folder, onerror=_raise):
        folders[:] = sorted(name for name in folders if name not in SKIPPED_NAMES)
        files += [Path(at, name) for name in names if not name.endswith(".pyc")]
        if len(files) > MAX_FILES:
            raise OSError(f"{folder}: more than {MAX_FILES} files")
    digest = hashlib.sha256()
    for path in sorted(files):
        if path.is_symlink() or not path.is_file():
            continue
        name, content = path.relative_to(folder).as_posix().encode(), path.read_bytes()
        digest.update(b"%d:%b%d:" % (len(name), name, len(content)))
        digest.update(content)
    return digest.hexdigest()


def _raise(error: OSError) -> None:
    raise error


def settings_digest(settings: Any) -> str:
    """SHA-256 of a settings object in canonical JSON, in hexadecimal; independent of the order of keys."""
    text = json.dumps(settings, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def boot_id() -> str:
    """The boot id of the running kernel; empty if unknown."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def start_ticks(pid: int) -> int:
    """The start time of a process, in clock ticks since boot (proc(5), field 22); 0 if there is none, or a zombie."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return 0 if fields[0] in ("Z", "X") else int(fields[19])
    except (OSError, IndexError, ValueError):
        return 0


def resident_mb() -> float:
    """The resident memory of this process in MB (proc(5), statm); 0 if unknown."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def descriptors() -> int:
    """The number of descriptors that this process holds; 0 if unknown."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


class Identity:
    """The identity of this process, as reported by ``GET /identity``.

    The digest of the program is computed once: at the start if a keeper has started the process, else on first use.
    """

    def __init__(self, name: str, environ: Mapping[str, str], handed_over: bool) -> None:
        self.name, self.handed_over = name, handed_over
        self.generation = environ.get("HEADSPAR_GENERATION", "")[:80]
        epoch = environ.get("HEADSPAR_EPOCH", "")
        self.epoch = int(epoch) if epoch.isascii() and epoch.isdigit() and len(epoch) < 16 else 0
        self.program = tree_digest(PACKAGE) if self.generation else ""

    def report(self, settings: str, servers: int, cold: int) -> dict[str, Any]:
        """The response body; ``settings``: digest in force, ``cold``: number of listed servers in slow start."""
        if not self.program:
            self.program = tree_digest(PACKAGE)
        return {
            "name": self.name, "pid": os.getpid(), "started": start_ticks(os.getpid()), "boot": boot_id(),
            "program": self.program, "settings": settings, "generation": self.generation, "epoch": self.epoch,
            "handed_over": self.handed_over, "servers": servers, "cold": cold,
        }
