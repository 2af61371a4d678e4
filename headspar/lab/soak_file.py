"""A run of the soak as a TOML file: its seed and its scenario, to be replayed or shrunk."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from headspar.world.scenario import Scenario, ScenarioError, check


class SoakRun(msgspec.Struct, forbid_unknown_fields=True):
    """A scenario and the seed that draws its traffic."""

    seed: int
    scenario: Scenario


class SoakFileError(ValueError):
    """A file that holds no valid run; the message is one line that names the field."""


def write_run(path: Path, run: SoakRun) -> None:
    """Writes a run to a file.  Raises ``OSError``."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(tomli_w.dumps(_without_none(msgspec.to_builtins(run))))


def read_run(path: Path) -> SoakRun:
    """Reads a run from a file.  Raises ``SoakFileError``, also if it cannot be read."""
    try:
        run = msgspec.toml.decode(path.read_bytes(), type=SoakRun)
        return SoakRun(run.seed, check(run.scenario))
    except OSError as error:
        raise SoakFileError(f"{path}: {error.strerror or error}") from None
    except ScenarioError as error:
        raise SoakFileError(f"{path}: scenario.{error}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise SoakFileError(f"{path}: {error}") from None


def _without_none(value: Any) -> Any:
    """TOML has no null: fields that are None are left out, and read as their default again."""
    if isinstance(value, dict):
        return {key: _without_none(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_none(item) for item in value]
    return value
