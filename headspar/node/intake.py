"""What a request must bring by its class, the same for every front; without I/O.

A class says what repeating may do (``Effect``).  A request that contradicts it can't be carried safely: no
server drops a repeat that has no key, and a request that is "safe to repeat" but brings a command may not
be.  Such a request is turned away before anything is sent, with a text for the caller: treating it as unsafe
to repeat would hide the caller's mistake until the first broken connection, and then fail a payment that a
key would have saved.  (RFC 9110 section 9.2.2 on idempotent methods; the Idempotency-Key header draft,
section 2.7, has 400 for a missing key too.)

Callers learn of new settings later than the node.  For ``GRACE_US`` after a class has become stricter, a request
in the form that it had before is still taken, and handled by the stricter effect: that is safe for either.
"""

from __future__ import annotations

from collections.abc import Callable

from headspar.interface import Effect, RequestClass, Settings

GRACE_US = 2_000_000
STRICTNESS = {Effect.RETRYABLE: 0, Effect.DEDUP: 1, Effect.FRAGILE: 2}


class Intake:
    """The classes of the settings in force, looked up by name."""

    __slots__ = ("classes", "before", "until")

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {c.name: c for c in settings.classes}
        self.before: dict[str, Effect] = {}  # of classes that have become stricter
        self.until = 0

    def change(self, settings: Settings, now: int) -> None:
        """New settings; times are the node's clock in microseconds."""
        old, held = self.classes, self.before if now < self.until else {}
        self.classes = {c.name: c for c in settings.classes}
        self.before = {
            c.name: held.get(c.name, old[c.name].effect) for c in settings.classes
            if c.name in old and STRICTNESS[c.effect] > STRICTNESS[held.get(c.name, old[c.name].effect)]
        }
        self.until = now + GRACE_US if self.before else 0

    def objection(self, cls: str, keyed: bool, command: bool, clock: Callable[[], int]) -> str | None:
        """Why a request of class ``cls`` can't be taken, or None.  ``keyed``: it brings a receipt key that is
        not empty; ``command``: its method says that it changes something (POST).  A class that nobody knows
        is taken, and handled as unsafe to repeat.  ``clock``: the node's, in microseconds, on the rare way only."""
        spec = self.classes.get(cls)
        if spec is None:
            return None
        found = _objection(spec.effect, keyed, command)
        if found and cls in self.before and clock() < self.until and not _objection(self.before[cls], keyed, command):
            return None
        return found


def _objection(effect: Effect, keyed: bool, command: bool) -> str | None:
    if effect is Effect.RETRYABLE:
        return "a class that is safe to repeat takes no command" if command else None
    if not command:
        return "a class with an effect needs a command"
    if effect is Effect.DEDUP and not keyed:
        return "a keyed class needs a receipt key"
    return None
