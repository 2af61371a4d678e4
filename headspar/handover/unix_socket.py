"""The Unix socket in ``$TMPDIR`` between the two processes of one node; packets carry descriptors."""

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

FD = struct.calcsize("i")  # bytes of a descriptor in ancillary data


def socket_path(environ: Mapping[str, str], listen: Address) -> Path | None:
    """The socket's path; None without ``$TMPDIR``, as the socket must not be in a directory shared by all users."""
    folder = environ.get("TMPDIR")
    return Path(folder) / f"headspar-{listen[0].replace(':', '_')}-{listen[1]}.sock" if folder else None


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """An alias of the path that fits a Unix socket address, which holds 108 bytes."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def bind(path: Path) -> socket.socket:
    """Listens at the path; atomically replaces the socket file of another process, alive or dead.

    Raises ``OSError``.
    """
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
    """Connects to the process at the path, with a timeout in seconds; raises ``OSError`` if none listens."""
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
    """Raises ``PermissionError`` if the peer process belongs to another user."""
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")))
    if uid != os.getuid():
        raise PermissionError(f"the other process belongs to user {uid}")


def send(sock: socket.socket, message: Message, files: list[int] | None = None) -> None:
    """Sends one packet with descriptors; raises ``BlockingIOError`` if the socket buffer is full."""
    ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", files))] if files else []
    sock.sendmsg([encode(message)], ancillary)


def receive(sock: socket.socket) -> tuple[Message, list[int]] | None:
    """Receives one packet and its descriptors, which the caller has to close; None at the end of the connection.

    Raises ``MessageError`` for an invalid packet, whose descriptors are closed.
    """
    ancillary_size = socket.CMSG_LEN(MAX_SOCKETS * FD)
    packet, ancillary, flags, _ = sock.recvmsg(MAX_PACKET + 1, ancillary_size, socket.MSG_CMSG_CLOEXEC)
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
    """Closes the descriptors."""
    for fd in files:
        os.close(fd)
