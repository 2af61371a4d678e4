"""Snapshot folder of one node: two files written alternately, each replaced atomically, by a single locked writer."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from headspar.failpoints import failpoint
from headspar.snapshot.format import FormatError, Snapshot, decode

NAMES = ("snapshot-0", "snapshot-1")
MAX_READ_BYTES = 8 << 20  # of one file


class Store:
    """Snapshots in a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lock_fd = -1

    # ------------------------------------------------------------ lock

    def claim(self) -> bool:
        """Take the write lock without waiting.  Returns False while another process of the same name holds it: the
        other process of an upgrade, or a clone.  ``OSError`` if the folder can't be created."""
        if self.lock_fd >= 0:
            return True
        self.folder.mkdir(parents=True, exist_ok=True)
        fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        except OSError:
            os.close(fd)
            raise
        self.lock_fd = fd
        return True

    def release(self) -> None:
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    # ------------------------------------------------------------ reading

    def read_all(self) -> list[tuple[str, Snapshot | str]]:
        """Read both files: name and snapshot, or name and error text; missing files are left out."""
        out: list[tuple[str, Snapshot | str]] = []
        for name in NAMES:
            try:
                with (self.folder / name).open("rb") as file:
                    out.append((name, decode(file.read(MAX_READ_BYTES))))
            except FileNotFoundError:
                continue
            except OSError as error:
                out.append((name, error.strerror or "read failed"))
            except FormatError as error:
                out.append((name, str(error)))
        return out

    def newest(self) -> tuple[Snapshot | None, list[str]]:
        """The newest valid snapshot, and the errors of the other files."""
        rows = self.read_all()
        errors = [f"{name}: {found}" for name, found in rows if isinstance(found, str)]
        valid = [found for _, found in rows if isinstance(found, Snapshot)]
        return max(valid, key=lambda s: s.serial, default=None), errors

    # ------------------------------------------------------------ writing

    def write(self, data: bytes, serial: int) -> None:
        """Replace the older file atomically and sync it.  On ``OSError`` each file still holds a whole snapshot."""
        path = self.folder / NAMES[serial % len(NAMES)]
        new = path.with_name(path.name + ".new")
        failpoint("snapshot.open")
        fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                failpoint("snapshot.write")
                view = view[os.write(fd, view[:65536]):]
            failpoint("snapshot.sync")
            os.fsync(fd)
        finally:
            os.close(fd)
        failpoint("snapshot.rename")
        new.rename(path)
        failpoint("snapshot.folder")
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        failpoint("snapshot.done")

    def delete_all(self) -> int:
        """Delete all snapshots and temporary files; returns their number.  ``OSError`` if one can't be deleted."""
        deleted = 0
        for name in NAMES:
            for path in (self.folder / name, self.folder / f"{name}.new"):
                with contextlib.suppress(FileNotFoundError):
                    path.unlink()
                    deleted += 1
        return deleted
