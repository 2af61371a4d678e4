"""Admission rules by request class, the same for every front end; without I/O.

A class declares the effect of repeating a request (``Effect``). A request that contradicts its class cannot be
carried safely: no server drops a repeat without a key, and a request that is "safe to repeat" but carries a command
may not be. Such a request is rejected before anything is sent, with a text for the caller. Treating it as unsafe to
repeat would hide the caller's mistake until the first broken connection, and would then fail a payment that a key
would have saved. (RFC 9110 section 9.2.2 on idempotent methods; the Idempotency-Key header draft, section 2.7, also
answers a missing key with 400.)

Callers learn of new settings later than the node. For ``GRACE_US`` after a class has become stricter, a request in
the form that was valid before is still accepted and handled by the stricter effect, which is safe for both. A class
that the settings no longer have is accepted for as long, and handled as unsafe to repeat.
"""

from __future__ import annotations

from collections.abc import Callable

from headspar.interface import Effect, RequestClass, Settings

GRACE_US = 2_000_000
STRICTNESS = {Effect.RETRYABLE: 0, Effect.DEDUP: 1, Effect.FRAGILE: 2}


class Intake:
    """The request classes of the settings in force, by name."""

    __slots__ = ("classes", "previous_effects", "removed", "grace_until")

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {c.name: c for c in settings.classes}
        self.previous_effects: dict[str, Effect] = {}  # previous effects of classes that have become stricter
        self.removed: set[str] = set()  # classes that the settings had until the last change
        self.grace_until = 0

    def change(self, settings: Settings, now: int) -> None:
        """Apply new settings; ``now`` is the node's clock in microseconds."""
        old, earlier = self.classes, self.previous_effects if now < self.grace_until else {}
        removed = self.removed if now < self.grace_until else set()
        self.classes = {c.name: c for c in settings.classes}
        self.previous_effects = {
            c.name: earlier.get(c.name, old[c.name].effect) for c in settings.classes
            if c.name in old and STRICTNESS[c.effect] > STRICTNESS[earlier.get(c.name, old[c.name].effect)]
        }
        self.removed = (removed | old.keys()) - self.classes.keys()
        self.grace_until = now + GRACE_US if self.previous_effects or self.removed else 0

    def objection(self, cls: str, keyed: bool, command: bool, clock: Callable[[], int]) -> str | None:
        """Return why a request of class ``cls`` is rejected, or None.

        ``keyed``: it has a receipt key that is not empty. ``command``: its method changes something (POST). A request
        of a class that the settings do not have is rejected. ``clock`` returns the node's time in microseconds and is
        called only when a request would be rejected.
        """
        spec = self.classes.get(cls)
        if spec is None:
            return None if cls in self.removed and clock() < self.grace_until else "no such class"
        reason = _objection(spec.effect, keyed, command)
        if (
            reason and cls in self.previous_effects and clock() < self.grace_until
            and not _objection(self.previous_effects[cls], keyed, command)
        ):
            return None
        return reason


def _objection(effect: Effect, keyed: bool, command: bool) -> str | None:
    if effect is Effect.RETRYABLE:
        return "a class that is safe to repeat does not accept a command (POST)" if command else None
    if not command:
        return "a class with an effect requires a command (POST)"
    if effect is Effect.DEDUP and not keyed:
        return "a keyed class requires a receipt key (Idempotency-Key)"
    return None
