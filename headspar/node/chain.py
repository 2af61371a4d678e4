"""State machine, without I/O, of the long-poll watch on discovery: what the next call asks for, how long it waits,
and what follows when it ends.

The next call goes out as soon as an answer has arrived, so that no change is missed in between. A call that is not
answered in time is retried once, on a new connection; a call that fails ends the watch. Short waits detect a silent
connection sooner but cost more calls. Each answer shortens the next wait and each failure doubles it, up to what the
delivery of a change allows: a call made while discovery was down is never answered, and has to end in time for
another one after discovery is back.
"""

from __future__ import annotations

from enum import Enum

from headspar.interface import Settings

# Discovery counts a change as delivered to a waiting call after 2 s, whether or not it was received, and the grace
# period of a drain runs from then on. A connection that has gone silent is detected only when a wait runs out without
# an answer: the wait, the patience and one more call on a new connection must fit into that time.
DELIVERY_US = 2_000_000
PATIENCE_US = 750_000  # how long an answer may take beyond the call's wait
RECONNECT_US = 500_000
# A change counts as delivered this long after discovery had it and could be reached, whatever failed before.
DELIVERY_AFTER_FAILURE_US = 6_000_000
RETRY_PAUSE_US = 3_000_000  # longest time until the balancer starts a new watch after a failed call
AGAIN_US = 500_000  # pause before the local agent is called again


class Then(Enum):
    """What to do after a failed call."""

    NOTHING = "nothing"  # no watch is active
    TELL = "tell"  # notify the balancer, which starts a new watch when it chooses to
    AGAIN = "again"  # call again after ``AGAIN_US`` without the balancer: the agent is on this machine


class Chain:
    """State of the watch.

    ``watching``: the watch is active. ``first``: the next answer is the first since the balancer started the watch.
    ``retried``: the call in flight replaces one that timed out. ``whole``: the next call asks for the whole list
    instead of the changes. ``wait_us``: long-poll wait of a call that is no retry.
    """

    def __init__(self, rules: Settings) -> None:
        self.watching = self.first = self.retried = self.whole = False
        self.wait_us = 0
        self.change(rules)

    def change(self, rules: Settings) -> None:
        """Apply new settings from the next call on: the waits, and whether the balancer starts watches or an agent
        pushes lists."""
        self.asked = rules.must_subscribe
        longest_us = DELIVERY_AFTER_FAILURE_US - PATIENCE_US - RECONNECT_US
        self.max_wait_us = min(rules.ask_every_us, longest_us)
        # A pause follows if the retry is not answered either.
        self.max_retry_wait_us = longest_us - (RETRY_PAUSE_US if self.asked else AGAIN_US)
        self.min_wait_us = max(
            1_000_000, min(self.max_wait_us, DELIVERY_US + rules.drain_grace_us - PATIENCE_US - RECONNECT_US)
        )
        self.wait_us = min(self.max_wait_us, max(self.wait_us, self.min_wait_us))

    def call_wait_us(self) -> int:
        """Return the long-poll wait of the next call."""
        return min(self.wait_us, self.max_retry_wait_us) if self.retried else self.wait_us

    def moved(self) -> None:
        """The address of discovery has changed: ask for the whole list there, even if no watch was active."""
        self.retried = False
        self.watching = self.first = self.whole = True

    def silent(self) -> bool:
        """The call timed out. Return whether to retry it; if not, it has failed."""
        retry = not self.retried
        self.retried = True
        return retry

    def out_of_order(self) -> bool:
        """An answer did not belong to its call. Return whether to ask again, for the whole list; if not, the call has
        failed."""
        self.whole = True
        return self.silent()

    def answered(self) -> None:
        self.first = self.retried = self.whole = False
        self.wait_us = max(self.min_wait_us, self.wait_us * 7 // 8)

    def failed(self) -> Then:
        self.retried = False
        self.wait_us = min(self.max_wait_us, 2 * self.wait_us)
        if not self.watching:
            return Then.NOTHING
        if self.asked:
            self.watching = False
            return Then.TELL
        return Then.AGAIN
