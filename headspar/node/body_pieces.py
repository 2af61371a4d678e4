"""The content of a message that is held: a list of pieces, in which small ones are merged."""

from __future__ import annotations

MERGED_PIECE_BYTES = 16 * 1024

Piece = bytes | bytearray


def append_piece(pieces: list[Piece], data: bytes) -> None:
    """Append ``data`` to the content, merged with the last piece up to ``MERGED_PIECE_BYTES``.

    Each piece is an object that costs some 50 bytes more than its content, and a peer may send content in chunks of
    one byte.
    """
    if not pieces or len(pieces[-1]) + len(data) > MERGED_PIECE_BYTES:
        pieces.append(data)
        return
    last = pieces[-1]
    if not isinstance(last, bytearray):
        last = pieces[-1] = bytearray(last)
    last += data
