"""Limits on the parts of an HTTP message besides the content of its body, for every connection that parses one.

A message consists of a head (start line and header fields), the body's content, the framing of a chunked body (chunk
sizes and extensions) and the trailer section. Interim responses (1xx) count towards the head of the response that
they announce. Each part is bounded in bytes and in number; the content has limits of its own.
"""

from __future__ import annotations

MAX_HEAD = 64 * 1024  # bytes: of a head, and of what a message has besides its head and its content
MAX_FIELDS = 1000  # header and trailer fields of a message, each with a name and a value
MAX_INTERIM = 32  # interim responses before one final response
CHUNK_ALLOWANCE = 16  # bytes of framing of each chunk that do not count


class MessageLimitError(Exception):
    """A message has more fields, chunks or interim responses than the limits allow."""


class MessageOverhead:
    """Counts the bytes and the fields of one message besides the content of its body.

    ``size`` is in bytes. Reads are counted before they are parsed, so what follows a head or a message in the same
    read does not count towards the next part.
    """

    __slots__ = ("size", "fields", "interim")

    def __init__(self) -> None:
        self.size = self.fields = self.interim = 0

    def restart(self) -> None:
        """A new message begins."""
        self.size = self.fields = self.interim = 0

    def received(self, size: int) -> None:
        """Bytes of the message are about to be parsed."""
        self.size += size

    def head_complete(self) -> None:
        """The head has ended; from here on framing and trailer section are counted."""
        self.size = 0

    def content(self, size: int) -> None:
        """Some of the received bytes are content."""
        rest = self.size - size
        self.size = rest if rest > 0 else 0

    def chunk(self) -> None:
        """A chunk begins."""
        self.content(CHUNK_ALLOWANCE)

    def field(self) -> None:
        """A field is complete. Raises ``MessageLimitError`` if there are too many."""
        self.fields += 1
        if self.fields > MAX_FIELDS:
            raise MessageLimitError(f"more than {MAX_FIELDS} fields")

    def interim_complete(self) -> None:
        """An interim response is complete. Raises ``MessageLimitError`` if there are too many."""
        self.interim += 1
        if self.interim > MAX_INTERIM:
            raise MessageLimitError(f"more than {MAX_INTERIM} interim responses")

    def too_large(self) -> bool:
        """Return whether the part that is being received is larger than ``MAX_HEAD``."""
        return self.size > MAX_HEAD
