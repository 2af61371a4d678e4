"""What a keeper keeps on disk: written whole under a temporary name, synced, renamed; checked when it is read.

The fence lies in a file of its own as well: where the state is torn or gone, a controller that was fenced off must
stay so, and a step that was taken must not be taken again.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

import msgspec

from headspar.failpoints import failpoint
from headspar.keeper.core import Lasting
from headspar.keeper.fence import Fence

MOST_BYTES = 1 << 20


class Known(msgspec.Struct):
    """A process that was started: enough to prove later that it is still the same one."""

    pid: int
    started: int
    boot: str
    generation: str
    ops: str
    role: str = ""  # "serving", "coming" or neither
    ready: bool = False


class Saved(msgspec.Struct):
    """All of it."""

    lasting: Lasting
    fence: Fence
    processes: list[Known]


class StateError(Exception):
    """A state that can't be used; the text says why."""


def encode(saved: Saved) -> bytes:
    body = msgspec.json.encode(saved)
    return hashlib.sha256(body).hexdigest().encode() + b"\n" + body + b"\n"


def decode(data: bytes) -> Saved:
    """``StateError`` for anything that was not written whole by ``encode``."""
    if not data:
        raise StateError("empty")
    head, _, body = data[:MOST_BYTES].partition(b"\n")
    body = body.removesuffix(b"\n")
    if head != hashlib.sha256(body).hexdigest().encode():
        raise StateError("torn, or changed by hand")
    try:
        return msgspec.json.decode(body, type=Saved)
    except msgspec.MsgspecError as error:
        raise StateError(f"of another form: {error}") from None


class StateFile:
    """The state's place in a folder."""

    def __init__(self, folder: Path) -> None:
        self.path, self.fence_path = folder / "state", folder / "fence"
        self.fenced = (0, 0)

    def read(self) -> Saved:
        """``StateError`` where there is none, or it can't be used."""
        try:
            return decode(self.path.read_bytes())
        except FileNotFoundError:
            raise StateError("none") from None
        except OSError as error:
            raise StateError(f"{error.strerror}") from None

    def read_fence(self) -> tuple[int, int]:
        """Epoch and step of the file of their own; zeros if that can't be read either."""
        try:
            words = self.fence_path.read_text().split()
            good = len(words) == 2 and all(w.isascii() and w.isdigit() and len(w) < 16 for w in words)
            self.fenced = (int(words[0]), int(words[1])) if good else (0, 0)
        except (OSError, ValueError):
            self.fenced = (0, 0)
        return self.fenced

    def write(self, saved: Saved) -> None:
        """``OSError`` if it is not on the disk."""
        fence = (saved.fence.epoch, saved.fence.step)
        if fence != self.fenced:
            _replace(self.fence_path, b"%d %d\n" % fence)
            self.fenced = fence
        failpoint("keeper.state")
        _replace(self.path, encode(saved))
        failpoint("keeper.state_written")


def _replace(path: Path, data: bytes) -> None:
    new = path.with_name(f"{path.name}.new")
    fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view):]
        os.fsync(fd)
    finally:
        os.close(fd)
    new.rename(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
