"""Durable state of a keeper: written to a temporary file, synced and renamed; verified by checksum when read.

The fence is also stored in a separate file.  If the state file is damaged or missing, controllers of expired epochs
must stay fenced, and a step that was executed must not be executed again.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

import msgspec

from headspar.failpoints import failpoint
from headspar.keeper.core import DurableState
from headspar.keeper.fence import Fence

MAX_STATE_BYTES = 1 << 20


class ProcessRecord(msgspec.Struct):
    """A process of the node, with what a later keeper needs to verify its identity (pid, start time, boot)."""

    pid: int
    started: int
    boot: str
    generation: str
    ops: str
    role: str = ""  # "serving", "coming" or neither
    ready: bool = False


class Saved(msgspec.Struct):
    """The content of the state file."""

    lasting: DurableState
    fence: Fence
    processes: list[ProcessRecord]


class StateError(Exception):
    """The state file is missing or unusable; the text gives the reason."""


def encode(saved: Saved) -> bytes:
    """Encode the state: a line with the SHA-256 of the body, then the body as a line of JSON."""
    body = msgspec.json.encode(saved)
    return hashlib.sha256(body).hexdigest().encode() + b"\n" + body + b"\n"


def decode(data: bytes) -> Saved:
    """Decode the state; ``StateError`` unless the checksum matches and the content is valid."""
    if not data:
        raise StateError("empty")
    head, _, body = data[:MAX_STATE_BYTES].partition(b"\n")
    body = body.removesuffix(b"\n")
    if head != hashlib.sha256(body).hexdigest().encode():
        raise StateError("truncated or modified")
    try:
        return msgspec.json.decode(body, type=Saved)
    except msgspec.MsgspecError as error:
        raise StateError(f"unexpected content: {error}") from None


class StateFile:
    """The state file and the fence file in a keeper's folder."""

    def __init__(self, folder: Path) -> None:
        self.path, self.fence_path = folder / "state", folder / "fence"
        self.stored_fence = (0, 0)

    def read(self) -> Saved:
        """Read the state; ``StateError`` if it is missing or unusable."""
        try:
            return decode(self.path.read_bytes())
        except FileNotFoundError:
            raise StateError("no state file") from None
        except OSError as error:
            raise StateError(f"{error.strerror}") from None

    def read_fence(self) -> tuple[int, int]:
        """Epoch and step of the fence file; zeros if it can't be read."""
        try:
            numbers = self.fence_path.read_text().split()
            valid = len(numbers) == 2 and all(n.isascii() and n.isdigit() and len(n) < 16 for n in numbers)
            self.stored_fence = (int(numbers[0]), int(numbers[1])) if valid else (0, 0)
        except (OSError, ValueError):
            self.stored_fence = (0, 0)
        return self.stored_fence

    def write(self, saved: Saved) -> None:
        """Write the fence, if it has changed, and then the state; ``OSError`` unless both are on disk."""
        fence = (saved.fence.epoch, saved.fence.step)
        if fence != self.stored_fence:
            _replace(self.fence_path, b"%d %d\n" % fence)
            self.stored_fence = fence
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
