"""The state machines of a hand-over, one for the old process and one for the new; without I/O.

Each maps a state and a received message to the next state and an action.  Any other message ends the hand-over, and
the process continues alone.
"""

from __future__ import annotations

from enum import Enum

from headspar.handover.messages import Clients, Held, Hello, Message, No, Offer, Ready, Taken


class OldProcessState(Enum):
    """The state of the old process."""

    ALONE = "alone"
    OFFERED = "offered"  # the new process has the sockets and starts
    SUCCEEDED = "succeeded"  # the new process serves; connections are handed over to it


class NewProcessState(Enum):
    """The state of the new process."""

    ASKED = "asked"  # hello sent
    TAKEN = "taken"  # offer received with the sockets
    SERVING = "serving"  # ready sent


class Action(Enum):
    """The action that a message requires."""

    OFFER = "offer"  # send the sockets and the learned state
    HAND_OVER = "hand over"  # stop accepting and hand connections over
    TAKE = "take"  # use the received sockets
    ADOPT = "adopt"  # serve the received clients
    RECORD = "record"  # remember the call ids that the other process has taken
    SHARE = "share"  # the old process holds less: raise the limits
    STOP = "stop"  # continue alone


OLD_PROCESS_TRANSITIONS: dict[tuple[OldProcessState, type[Message]], tuple[OldProcessState, Action]] = {
    (OldProcessState.ALONE, Hello): (OldProcessState.OFFERED, Action.OFFER),
    (OldProcessState.OFFERED, Ready): (OldProcessState.SUCCEEDED, Action.HAND_OVER),
    (OldProcessState.SUCCEEDED, Taken): (OldProcessState.SUCCEEDED, Action.RECORD),
}
NEW_PROCESS_TRANSITIONS: dict[tuple[NewProcessState, type[Message]], tuple[NewProcessState, Action]] = {
    (NewProcessState.ASKED, Offer): (NewProcessState.TAKEN, Action.TAKE),
    (NewProcessState.SERVING, Clients): (NewProcessState.SERVING, Action.ADOPT),
    (NewProcessState.SERVING, Held): (NewProcessState.SERVING, Action.SHARE),
    (NewProcessState.SERVING, Taken): (NewProcessState.SERVING, Action.RECORD),
}


def old_process_step(state: OldProcessState, message: Message) -> tuple[OldProcessState, Action]:
    """The old process's next state and its action."""
    return OLD_PROCESS_TRANSITIONS.get((state, type(message)), (OldProcessState.ALONE, Action.STOP))


def new_process_step(state: NewProcessState, message: Message) -> tuple[NewProcessState, Action]:
    """The new process's next state and its action."""
    if isinstance(message, No):
        return state, Action.STOP
    return NEW_PROCESS_TRANSITIONS.get((state, type(message)), (state, Action.STOP))
