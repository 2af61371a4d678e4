"""Adapter between the simulator's line protocol and ``headspar.interface``.  It takes no decisions.

Reads batches of tab-separated lines from standard input, keeps one ``Balancer`` per instance and writes one reply per
batch.  A malformed line or an exception ends the run with a message on standard error and a ``bail_out`` line; the
adapter never guesses.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import BinaryIO

from headspar.decide import Balancer
from headspar.interface import (
    Action,
    AttemptEnded,
    BackendEntry,
    BackendList,
    CancelAttempt,
    ClientGone,
    Event,
    Fail,
    Health,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    ProbeEnded,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    StreamStarted,
    TellPeers,
    TimerFired,
    Watch,
)
from headspar.settings import parse_settings

HINT_VALID, CLIENT_REPEAT, WRITE = 1, 2, 4
OUTCOMES = {str(int(o)): o for o in Outcome}
BOOLS = {"0": False, "1": True}
HEALTHS = {h.value: h for h in Health}
LIST_KINDS = {k.value: k for k in ListKind if k is not ListKind.REACH}


class WireError(ValueError):
    """A line that violates the protocol."""


def _opt(text: str) -> str | None:
    """The text, or None for ``-``."""
    return None if text == "-" else text


def _report(text: str) -> dict[str, float] | None:
    """Parse ``name:value,...``; None if empty or ``-``."""
    if text == "-" or not text:
        return None
    pairs = (pair.split(":") for pair in text.split(","))
    return {name: float(value) for name, value in pairs}


def _request(p: list[str]) -> Event:
    options = int(p[2])
    hint = int(p[5]) if options & HINT_VALID and p[5] != "-" else None
    if hint is not None and hint < 0:
        raise ValueError(f"negative hint {hint}")
    return RequestArrived(
        p[1],
        p[4],
        int(p[6]),
        hint,
        _opt(p[3]),
        None if p[7] in ("-", "0") else p[7],
        bool(options & CLIENT_REPEAT),
        bool(options & WRITE),
    )


def _outcome(p: list[str]) -> Event:
    return AttemptEnded(p[1], int(p[4]), p[5], OUTCOMES[p[6]], int(p[2]), BOOLS[p[3]], _report(p[7]))


def _entry(p: list[str]) -> BackendEntry:
    started = 0 if p[7] == "-" else int(p[7])
    weight = 1.0 if p[6] == "-" else float(p[6])
    return BackendEntry(p[1], p[2], p[3], 0 if p[4] == "-" else int(p[4]), HEALTHS[p[5]], weight, started)


# message name -> (number of fields, the name included; parser)
PARSERS: dict[str, tuple[int, Callable[[list[str]], Event]]] = {
    "knock": (8, _request),
    "attempt_end": (8, _outcome),
    "started": (5, lambda p: StreamStarted(p[1], int(p[2]), p[3], int(p[4]))),
    "gone": (2, lambda p: ClientGone(p[1])),
    "wake": (2, lambda p: TimerFired(int(p[1]))),
    "status_back": (5, lambda p: ProbeEnded(p[1], OUTCOMES[p[2]], int(p[3]), _report(p[4]))),
    "message": (3, lambda p: PeerMessage(int(p[1]), b"" if p[2] == "-" else bytes.fromhex(p[2]))),
}


def render(action: Action) -> str:
    """One action as a line of the protocol."""
    kind = type(action)
    if kind is Send:
        return f"place\t{action.id}\t{action.backend}\t{action.stop_at_us or '-'}"  # type: ignore[union-attr]
    if isinstance(action, SetTimer):
        return f"defer\t{action.token}\t{action.delay_us}"
    if isinstance(action, Refuse):
        return f"shed\t{action.id}\t{action.retry_after_us or '-'}"
    if isinstance(action, Fail):
        return f"fail\t{action.id}"
    if isinstance(action, CancelAttempt):
        return f"drop_attempt\t{action.id}\t{action.attempt}"
    if isinstance(action, Watch):
        return f"tail\t{int(action.enable)}"
    if isinstance(action, TellPeers):
        return f"memo_to\tall\t{action.data.hex() or '-'}"
    if isinstance(action, Log):
        return "write_log\t" + action.text.replace("\n", " ")
    raise TypeError(f"no wire format for {kind.__name__}")


class Adapter:
    """Holds the instances and answers batches."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}

    def reply(self, lines: list[str]) -> str:
        """The reply to a batch, given its lines from ``batch`` up to but not including ``your_turn``.  Raises
        ``WireError``."""
        head = lines[0].split("\t")
        if head[0] != "batch" or len(head) != 3:
            raise WireError(f"a batch must start with 'batch', clock and number, not {lines[0]!r}")
        now, number = self._int(head[1], lines[0]), self._int(head[2], lines[0])
        out: list[str] = []
        node: int | None = None
        pending: list[Event] = []
        i, end = 1, len(lines)
        while i < end:
            line = lines[i]
            i += 1
            p = line.split("\t")
            name = p[0]
            if name == "context":
                self._flush(node, now, pending, out)
                pending = []
                if len(p) != 2:
                    raise WireError(f"malformed line {line!r}")
                node = self._int(p[1], line)
                continue
            if node is None:
                raise WireError(f"event before the first 'context': {line!r}")
            if name == "launch":
                parts = line.split("\t", 2)
                if len(parts) != 3:
                    raise WireError(f"malformed line {line[:200]!r}")
                self._flush(node, now, pending, out)
                pending = []
                self.balancers[node] = Balancer(parse_settings(parts[2]), self._int(parts[1], line))
            elif name == "killed":
                pending = []
                self.balancers.pop(node, None)
            elif name == "members":
                if len(p) != 4 or p[1] not in LIST_KINDS:
                    raise WireError(f"malformed line {line!r}")
                count = self._int(p[3], line) if p[3] != "-" else 0
                if count < 0 or i + count > end:
                    raise WireError(f"'members' announces {count} entries but the batch has fewer: {line!r}")
                entries = [self._entry(text) for text in lines[i : i + count]]
                i += count
                version = 0 if p[2] == "-" else self._int(p[2], line)
                pending.append(BackendList(LIST_KINDS[p[1]], version, entries))
            else:
                spec = PARSERS.get(name)
                if spec is None:
                    raise WireError(f"unknown message {name!r} in line {line[:200]!r}")
                if len(p) != spec[0]:
                    raise WireError(f"{name!r} needs {spec[0] - 1} values, line {line[:200]!r}")
                try:
                    pending.append(spec[1](p))
                except (ValueError, KeyError) as error:
                    raise WireError(f"bad value {error} in line {line[:200]!r}") from error
        self._flush(node, now, pending, out)
        out.append(f"next\t{number}\n")
        return "\n".join(out)

    def _flush(self, node: int | None, now: int, events: list[Event], out: list[str]) -> None:
        """Deliver the pending events of an instance and append its actions to the reply."""
        if node is None or not events:
            return
        balancer = self.balancers.get(node)
        if balancer is None:
            raise WireError(f"event for instance {node}, which has not been launched")
        actions = balancer.handle(now, events)
        if actions:
            out.append(f"source\t{node}")
            out.extend(map(render, actions))

    @staticmethod
    def _int(text: str, line: str) -> int:
        try:
            return int(text)
        except ValueError:
            raise WireError(f"{text!r} is not an integer in line {line[:200]!r}") from None

    @staticmethod
    def _entry(line: str) -> BackendEntry:
        p = line.split("\t")
        if p[0] != "entry" or len(p) != 8:
            raise WireError(f"expected an 'entry' line, not {line[:200]!r}")
        try:
            return _entry(p)
        except (ValueError, KeyError) as error:
            raise WireError(f"bad value {error} in line {line[:200]!r}") from error


def serve(lines: Iterable[bytes], out: BinaryIO) -> int:
    """Answer all batches of the input; returns the exit code, 0 after the end of the input and 1 after an error."""
    adapter = Adapter()
    batch: list[str] = []
    try:
        for raw in lines:
            line = raw.decode("utf-8").rstrip("\n")
            if line == "your_turn":
                if not batch:
                    raise WireError("'your_turn' without a batch")
                out.write(adapter.reply(batch).encode())
                out.flush()
                batch = []
            elif line or batch:
                batch.append(line)
        if batch:
            raise WireError(f"input ended within a batch, after {batch[-1][:200]!r}")
    except Exception as error:  # the protocol requires an error report before the exit
        text = f"{type(error).__name__}: {error}".replace("\n", " ").replace("\t", " ")
        print(f"headspar.adapter: {text}", file=sys.stderr)
        out.write(f"bail_out\t{text}\n".encode())
        out.flush()
        return 1
    return 0


def main() -> int:
    """Entry point of ``python -m headspar.adapter``."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
