"""What a request must bring by its class, the same for every front; without I/O.

A class says what repeating may do (``Effect``).  A request that contradicts it can't be carried safely: no
server drops a repeat that has no key, and a request that is "safe to repeat" but brings a command may not
be.  Such a request is turned away before anything is sent, with a text for the caller: treating it as unsafe
to repeat would hide the caller's mistake until the first broken connection, and then fail a payment that a
key would have saved.  (RFC 9110 section 9.2.2 on idempotent methods; the Idempotency-Key header draft,
section 2.7, has 400 for a missing key too.)
"""

from __future__ import annotations

from headspar.interface import Effect, RequestClass, Settings


class Intake:
    """The classes of one settings object, looked up by name."""

    __slots__ = ("classes",)

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {c.name: c for c in settings.classes}

    def objection(self, cls: str, keyed: bool, command: bool) -> str | None:
        """Why a request of class ``cls`` can't be taken, or None.  ``keyed``: it brings a receipt key that is
        not empty; ``command``: its method says that it changes something (POST).  A class that nobody knows
        is taken, and handled as unsafe to repeat."""
        spec = self.classes.get(cls)
        if spec is None:
            return None
        if spec.effect is Effect.RETRYABLE:
            return "a class that is safe to repeat takes no command" if command else None
        if not command:
            return "a class with an effect needs a command"
        if spec.effect is Effect.DEDUP and not keyed:
            return "a keyed class needs a receipt key"
        return None
