"""The limit on the bytes that a process holds for its peers: bodies, answers, long heads, waiting requests."""

from __future__ import annotations


class Budget:
    """Limits the bytes that the whole process may hold."""

    __slots__ = ("size", "available")

    def __init__(self, size: int) -> None:
        self.size = self.available = size

    def held(self) -> int:
        """Return the bytes that are held."""
        return self.size - self.available

    def resize(self, size: int) -> None:
        """Change the size; bytes held beyond it stay until they are given back."""
        self.available += size - self.size
        self.size = size

    def take(self, size: int) -> bool:
        """Take ``size`` bytes; return False, and take nothing, if they are not available."""
        if size > self.available:
            return False
        self.available -= size
        return True

    def charge(self, size: int) -> None:
        """Take ``size`` bytes that are held already, also beyond what is available."""
        self.available -= size

    def give_back(self, size: int) -> None:
        self.available += size
