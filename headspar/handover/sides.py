"""Who is where in a hand-over, as two tables of transitions; without I/O.

The giver is the process that serves, the taker the one that starts.  Each side is told what has come and says
what to do; whatever is in no table ends the hand-over, and the process goes on alone.
"""

from __future__ import annotations

from enum import Enum

from headspar.handover.messages import Clients, Held, Hello, Message, No, Offer, Ready


class Giving(Enum):
    """Where the process that serves stands."""

    ALONE = "alone"
    OFFERED = "offered"  # a second process has our sockets and starts
    SUCCEEDED = "succeeded"  # it serves; what we hold goes over to it


class Taking(Enum):
    """Where the process that starts stands."""

    ASKED = "asked"
    TAKEN = "taken"  # we have its sockets
    SERVING = "serving"  # we have said ready


class Do(Enum):
    """What a message asks for."""

    OFFER = "offer"  # send the sockets and what is believed
    HAND_OVER = "hand over"  # stop accepting, hand connections over
    TAKE = "take"  # use the sockets that came
    ADOPT = "adopt"  # serve the clients that came
    SHARE = "share"  # the other holds less now
    STOP = "stop"  # go on alone


GIVER: dict[tuple[Giving, type[Message]], tuple[Giving, Do]] = {
    (Giving.ALONE, Hello): (Giving.OFFERED, Do.OFFER),
    (Giving.OFFERED, Ready): (Giving.SUCCEEDED, Do.HAND_OVER),
}
TAKER: dict[tuple[Taking, type[Message]], tuple[Taking, Do]] = {
    (Taking.ASKED, Offer): (Taking.TAKEN, Do.TAKE),
    (Taking.SERVING, Clients): (Taking.SERVING, Do.ADOPT),
    (Taking.SERVING, Held): (Taking.SERVING, Do.SHARE),
}


def giver(state: Giving, message: Message) -> tuple[Giving, Do]:
    """The serving process's next state, and what it does."""
    return GIVER.get((state, type(message)), (Giving.ALONE, Do.STOP))


def taker(state: Taking, message: Message) -> tuple[Taking, Do]:
    """The starting process's next state, and what it does."""
    if isinstance(message, No):
        return state, Do.STOP
    return TAKER.get((state, type(message)), (state, Do.STOP))
