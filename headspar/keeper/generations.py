"""The generations (releases) on a machine: immutable folders named by their digest and copied atomically.

A generation contains ``program/headspar/`` (the package), ``settings.json`` (the settings object) and, optionally,
``operator.toml``.
"""

from __future__ import annotations

import json
import os
import shutil
from pathlib import Path
from typing import Any

from headspar.failpoints import failpoint
from headspar.identity import SKIPPED_NAMES, settings_digest, tree_digest

MAX_BYTES = 512 << 20  # of one generation


class GenerationError(Exception):
    """A generation is invalid or can't be copied; the text is a single line."""


def is_name(text: str) -> bool:
    """Whether the text has the form of a generation's name: a SHA-256 in lower-case hexadecimal."""
    return len(text) == 64 and all(c in "0123456789abcdef" for c in text)


def check(folder: Path) -> None:
    """``GenerationError`` unless the folder contains the parts of a generation."""
    if not (folder / "program" / "headspar" / "__main__.py").is_file():
        raise GenerationError(f"{folder}: needs program/headspar")
    try:
        settings = json.loads((folder / "settings.json").read_bytes())
    except OSError as error:
        raise GenerationError(f"{folder}/settings.json: {error.strerror}") from None
    except ValueError as error:
        raise GenerationError(f"{folder}/settings.json: {error}") from None
    if not isinstance(settings, dict):
        raise GenerationError(f"{folder}/settings.json: needs an object")


def digest(folder: Path) -> str:
    """The name of a folder as a generation; ``GenerationError`` if it is not a valid one."""
    check(folder)
    try:
        return tree_digest(folder)
    except OSError as error:
        raise GenerationError(f"{folder}: {error.strerror or error}") from None


class Store:
    """The generations stored on this machine, one folder each."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._programs: dict[str, tuple[str, str, str]] = {}

    def path(self, name: str) -> Path:
        return self.folder / name

    def names(self) -> list[str]:
        return sorted(p.name for p in self.folder.iterdir() if is_name(p.name))

    def has(self, name: str) -> bool:
        return is_name(name) and self.path(name).is_dir()

    def fetch(self, source: Path, name: str) -> None:
        """Copy a folder whose digest must be ``name``.  An existing copy is kept if its digest matches, and replaced
        otherwise.  ``GenerationError`` if it can't be copied."""
        if not is_name(name):
            raise GenerationError(f"{name[:80]!r}: not a generation name")
        new = self.folder / f".{name}.{os.getpid()}"
        try:
            if self.path(name).is_dir():
                if tree_digest(self.path(name)) == name:
                    return
                shutil.rmtree(self.path(name))
            self._clean()
            _copy(source, new)
            check(new)
            found = tree_digest(new)
            if found != name:
                raise GenerationError(f"{source}: digest is {found[:12]}, not {name[:12]}")
            failpoint("keeper.fetched")
            new.rename(self.path(name))
            _sync(self.folder)
        except OSError as error:
            raise GenerationError(f"{error.filename or source}: {error.strerror or error}") from None
        finally:
            shutil.rmtree(new, ignore_errors=True)

    def _clean(self) -> None:
        """Remove the remains of interrupted copies."""
        for path in self.folder.iterdir():
            if path.name.startswith("."):
                shutil.rmtree(path, ignore_errors=True)

    def remove_others(self, names: set[str]) -> None:
        """Remove all generations but these."""
        for name in self.names():
            if name not in names:
                discarded = self.folder / f".gone-{name}"
                try:
                    self.path(name).rename(discarded)
                except OSError:
                    continue
                shutil.rmtree(discarded, ignore_errors=True)
                self._programs.pop(name, None)

    def settings(self, name: str) -> dict[str, Any]:
        """The settings object; ``GenerationError`` if it can't be read."""
        check(self.path(name))
        settings: dict[str, Any] = json.loads((self.path(name) / "settings.json").read_bytes())
        return settings

    def program(self, name: str) -> tuple[str, str, str]:
        """Digest of the package, text of the operator's file, digest of the settings."""
        if name not in self._programs:
            folder = self.path(name)
            operator = folder / "operator.toml"
            text = operator.read_text() if operator.is_file() else ""
            self._programs[name] = (
                tree_digest(folder / "program" / "headspar"), text, settings_digest(self.settings(name)),
            )
        return self._programs[name]

    def only_settings(self, one: str, other: str) -> bool:
        """Whether two generations differ at most in their settings; False if one can't be read."""
        try:
            return self.program(one)[:2] == self.program(other)[:2]
        except (OSError, GenerationError):
            return False


def _copy(source: Path, target: Path) -> None:
    """Copy a tree, syncing each file and folder to disk; leaves out symbolic links and compiled files."""
    size = 0
    target.mkdir()
    for at, folders, names in os.walk(source):
        folders[:] = [name for name in folders if name not in SKIPPED_NAMES]
        to = target / Path(at).relative_to(source)
        to.mkdir(exist_ok=True)
        for name in names:
            path = Path(at, name)
            if name.endswith(".pyc") or path.is_symlink() or not path.is_file():
                continue
            size += path.stat().st_size
            if size > MAX_BYTES:
                raise GenerationError(f"{source}: larger than {MAX_BYTES >> 20} MB")
            with path.open("rb") as old, (to / name).open("wb") as new:
                shutil.copyfileobj(old, new)
                new.flush()
                os.fsync(new.fileno())
        _sync(to)


def _sync(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
