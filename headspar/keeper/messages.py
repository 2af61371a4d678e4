"""Protocol between controllers and keepers: per connection one request and one reply, each a line of JSON."""

from __future__ import annotations

from typing import Any

import msgspec

from headspar.keeper.core import Order, Outcome

MAX_LINE = 64 * 1024  # bytes


DOWN_S = 2.0  # a node counts as down after this time without an answer to its keeper; covers several polls


class KeeperCommand(msgspec.Struct, frozen=True, kw_only=True, tag_field="say"):
    """Base of a controller's commands.

    ``epoch``: fencing token of the controller's lease.  ``clock``: seconds on the clock of the change.  ``node``: the
    addressee, since an address may have been reassigned to another node.
    """

    node: str
    epoch: int
    clock: float = 0.0


class Heartbeat(KeeperCommand, frozen=True, tag="touch"):
    """Heartbeat of the controller; may be repeated."""


class Fetch(KeeperCommand, frozen=True, tag="fetch"):
    """Copy a generation from a path on the keeper's machine."""

    generation: str
    path: str


class Step(KeeperCommand, frozen=True):
    """A command that changes the keeper's state; ``step``: its sequence number in the controllers' record."""

    step: int


class StartTrial(Step, frozen=True, tag="try"):
    """Start a trial.  ``down``: only while the node is not serving, since the controller did not count it against
    the limits."""

    order: Order
    down: bool = False


class GenerationStep(Step, frozen=True):
    """Base of steps that name a generation.  The change that a trial belongs to is not checked: the epoch already
    identifies the leader, and the next change must be able to take over one whose record was lost."""

    generation: str


class Confirm(GenerationStep, frozen=True, tag="confirm"):
    """Make the generation on trial the present one."""


class PinTrial(GenerationStep, frozen=True, tag="hold"):
    """Pin the trial: from now on it continues while no controller is reachable."""


class RollBack(GenerationStep, frozen=True, tag="back"):
    """Roll back to a generation, whatever runs; ``down`` as in ``StartTrial``."""

    reason: str
    down: bool = False


class QueryStatus(msgspec.Struct, frozen=True, kw_only=True, tag_field="say", tag="status"):
    """Query the status.  Needs no lease and does not count as contact with a controller."""


class QueryWork(msgspec.Struct, frozen=True, kw_only=True, tag_field="say", tag="measure"):
    """Query the node's totals since its process started; the reply contains ``Work``.  Needs no lease."""


Message = Heartbeat | Fetch | StartTrial | Confirm | PinTrial | RollBack | QueryStatus | QueryWork


class Work(msgspec.Struct, frozen=True):
    """The node's ``GET /work``, with the ``generation`` known to its keeper: the settings may have been reloaded
    since the process started."""

    process: str
    up_s: float
    generation: str
    counts: dict[str, float]
    gauges: dict[str, float]


class Figures(msgspec.Struct, frozen=True, omit_defaults=True):
    """The node's figures from the last poll; counts are totals since its process started."""

    success: int = 0
    overload: int = 0
    error: int = 0
    concurrent: int = 0
    rate: float = 0.0  # answers per second between the last two polls
    servers: int = 0
    cold: int = 0
    disabled: int = 0


class Status(msgspec.Struct, frozen=True):
    """State of a keeper and its node.  Ages and durations are in seconds."""

    name: str
    site: str
    state: str
    course: str
    present: str
    before: str
    trial: str
    change: str
    running: str  # the generation that serves; empty if none does
    proved: bool
    holds: bool  # whether the trial continues while no controller is reachable
    deaths: int
    restarts: int
    epoch: int
    step: int
    outcome: Outcome | None
    generations: list[str]
    answers: bool  # whether the node answered the keeper's last poll
    figures_age: float
    figures: Figures
    pid: int
    program: str
    settings: str
    fetching: bool = False
    keeper: float = 0.0  # Unix time of the keeper's start; orders statuses together with ``serial``
    serial: int = 0
    silent: float = 0.0  # time since the node stopped answering its keeper


class Reply(msgspec.Struct, frozen=True):
    """A keeper's answer; ``why``: the reason of a refusal, else empty."""

    ok: bool
    why: str
    status: Status | None
    work: Work | None = None


def decode(line: bytes) -> Message:
    """Decode a request line; ``msgspec.MsgspecError`` if it is not one of the messages."""
    message: Message = msgspec.json.decode(line, type=Message)
    return message


def encode(message: Any) -> bytes:
    return msgspec.json.encode(message) + b"\n"
