"""A content-addressed cache of run results: each distinct run is executed once.

The key is the hash of everything that determines a result (scenario, seed, version, settings, costs, the model
itself), so entries never need to be invalidated.  Files are written atomically.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import Any

import msgspec

from headspar.model.figures import Outcome

CACHE = Path(os.environ.get("XDG_CACHE_HOME") or Path.home() / ".cache") / "headspar" / "model"


def key_of(task: dict[str, Any], version: str, model: str) -> str:
    """Returns the hash of a task; ``version`` and ``model`` are digests of the sources."""
    content = msgspec.json.encode([task, version, model], order="deterministic")
    return hashlib.sha256(content).hexdigest()


class Store:
    """A folder of outcomes.  An entry that cannot be read counts as missing."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder / "results"
        self.folder.mkdir(parents=True, exist_ok=True)

    def _path(self, key: str) -> Path:
        return self.folder / key[:2] / f"{key}.json"

    def get(self, key: str) -> Outcome | None:
        try:
            return msgspec.json.decode(self._path(key).read_bytes(), type=Outcome)
        except (OSError, msgspec.MsgspecError):
            return None

    def put(self, key: str, outcome: Outcome) -> None:
        path = self._path(key)
        path.parent.mkdir(exist_ok=True)
        partial = path.with_suffix(f".{os.getpid()}")
        partial.write_bytes(msgspec.json.encode(outcome))
        os.replace(partial, path)
