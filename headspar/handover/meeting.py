"""The place where two processes of one node meet: a Unix socket in ``$TMPDIR``, and packets with sockets on it."""

from __future__ import annotations

import array
import contextlib
import os
import socket
import struct
from collections.abc import Iterator, Mapping
from pathlib import Path

from headspar.config import Address
from headspar.handover.messages import MAX_PACKET, MAX_SOCKETS, Message, MessageError, decode, encode

FD = struct.calcsize("i")


def place(environ: Mapping[str, str], listen: Address) -> Path | None:
    """The socket's path; None where there is no ``$TMPDIR``: a directory that all share is no place for it."""
    folder = environ.get("TMPDIR")
    return Path(folder) / f"headspar-{listen[0].replace(':', '_')}-{listen[1]}.sock" if folder else None


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """A name for the path that fits a socket's address, which holds 108 bytes."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def bind(path: Path) -> socket.socket:
    """Listen at the path; a socket file that another process has there, alive or dead, is replaced at once."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    new = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with contextlib.suppress(FileNotFoundError):
            new.unlink()
        with _short(new) as name:
            sock.bind(name)
        new.chmod(0o600)
        sock.listen(4)
        sock.setblocking(False)
        new.rename(path)
    except OSError:
        sock.close()
        raise
    return sock


def connect(path: Path, seconds: float) -> socket.socket:
    """A connection to the process at the path; ``OSError`` if nobody is there."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.settimeout(seconds)
    try:
        with _short(path) as name:
            sock.connect(name)
        check_user(sock)
    except OSError:
        sock.close()
        raise
    return sock


def check_user(sock: socket.socket) -> None:
    """Another user's process gets nothing from us and hands us nothing."""
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")))
    if uid != os.getuid():
        raise PermissionError(f"the process there is of user {uid}")


def send(sock: socket.socket, message: Message, files: list[int] | None = None) -> None:
    """One packet, with descriptors; ``BlockingIOError`` if it has no room now."""
    ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", files))] if files else []
    sock.sendmsg([encode(message)], ancillary)


def receive(sock: socket.socket) -> tuple[Message, list[int]] | None:
    """One packet and its descriptors, which are the caller's to close; None at the end of the connection."""
    room = socket.CMSG_LEN(MAX_SOCKETS * FD)
    packet, ancillary, flags, _ = sock.recvmsg(MAX_PACKET + 1, room, socket.MSG_CMSG_CLOEXEC)
    files = array.array("i")
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            files.frombytes(data[: len(data) - len(data) % files.itemsize])
    if not packet:
        close(list(files))
        return None
    try:
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            raise MessageError("a packet is too long")
        return decode(packet, len(files)), list(files)
    except MessageError:
        close(list(files))
        raise


def close(files: list[int]) -> None:
    for fd in files:
        os.close(fd)
