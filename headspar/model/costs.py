"""Processor and network costs of the model, and the random network delays; without I/O.

Delays are indexed by call and leg instead of being drawn in sequence, so that two versions of the program get the
same delays (common random numbers).
"""

from __future__ import annotations

import msgspec
import numpy as np

LEGS = 16  # one-way delays drawn per call; a request with more legs reuses them


class Costs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Costs in microseconds.

    ``arrival``, ``attempt``, ``answer``, ``connect`` (a new connection) and ``tick`` are processor time of a node.
    ``client_us`` and ``server_us`` are median one-way delays, between callers and nodes and between nodes and cash
    servers; the ``_spread`` fields are the standard deviations of their logarithms.  ``start_us`` is the time from a
    node's start until it is ready.  ``headspar model calibrate`` fits the delays to a lab run."""

    arrival: float = 95.0
    attempt: float = 45.0
    answer: float = 90.0
    connect: float = 60.0
    tick: float = 150.0
    client_us: float = 130.0
    client_spread: float = 0.5
    server_us: float = 130.0
    server_spread: float = 0.5
    start_us: int = 450_000
    lost: float = 0.0  # probability that a keep-alive connection is broken when a call's first attempt uses it

    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if not np.isfinite(value) or value < 0:
                raise ValueError(f"costs.{name}: must be finite and not negative, got {value!r}")
        if self.lost >= 1:
            raise ValueError(f"costs.lost: must be less than 1, got {self.lost!r}")


class Delays:
    """One-way delays in integer microseconds, by call and leg."""

    def __init__(self, costs: Costs, seed: int, calls: int, noise: int = 0) -> None:
        stream = np.random.Generator(np.random.Philox(np.random.SeedSequence([seed, 0x6E6574, noise])))
        normal = stream.standard_normal((max(1, calls), LEGS), dtype=np.float32)
        self._client = self._lognormal(costs.client_us, costs.client_spread, normal[:, : LEGS // 4])
        self._server = self._lognormal(costs.server_us, costs.server_spread, normal[:, LEGS // 4 :])
        self._lost: list[float] | None = None
        if costs.lost:
            self._lost = stream.random(max(1, calls)).tolist()
        self.lost_share = costs.lost

    @staticmethod
    def _lognormal(median: float, spread: float, normal: np.ndarray) -> list[list[int]]:
        out: list[list[int]] = np.maximum(1, median * np.exp(spread * normal)).astype(np.int64).tolist()
        return out

    def client(self, call: int, leg: int) -> int:
        row = self._client[call]
        return row[leg % len(row)]

    def server(self, call: int, leg: int) -> int:
        row = self._server[call]
        return row[leg % len(row)]

    def connection_breaks(self, call: int, leg: int) -> bool:
        """Returns whether the connection breaks when this attempt of the call is sent."""
        return self._lost is not None and leg == 0 and self._lost[call] < self.lost_share
