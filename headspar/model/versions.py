"""Versions of the program: a tree of this or another revision, with settings of its own.

A version is named by a TOML file, a folder that holds a ``headspar`` package, or a revision of the git repository
that the working directory is in; ``.`` is the tree that runs.  A file's keys: ``tree`` (one of the latter two;
relative to the file), ``[settings]`` (by dotted name, into the settings object of a node's configuration) and
``[connections]`` (as in the operator's file).
"""

from __future__ import annotations

import hashlib
import importlib.abc
import importlib.machinery
import importlib.util
import io
import os
import subprocess
import sys
import tarfile
import tomllib
from collections.abc import Sequence
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

OURS = ("headspar.model", "headspar.world")  # of the tree that runs, whatever the version
# Modules that the model imports: this tree's name -> the name in the trees of earlier versions.
RENAMED_MODULES = {"headspar.node.backend_subset": "headspar.node.reach"}
HERE = Path(__file__).resolve().parents[2]
GIT_S = 60


class VersionError(Exception):
    """There is no such version; the text is one line."""


class Version(msgspec.Struct, frozen=True):
    """``name``: as it was asked for; ``tree``: the folder that holds its ``headspar``; ``digest``: of its sources."""

    name: str
    tree: str
    digest: str
    settings: dict[str, Any] = {}
    connections: dict[str, Any] = {}


def digest_of(tree: Path, leave_out: Sequence[str] = ()) -> str:
    """Of the sources of a tree's ``headspar``, but of packages that are left out."""
    found = hashlib.sha256()
    for path in sorted((tree / "headspar").rglob("*.py")):
        name = path.relative_to(tree).as_posix()
        if any(name.startswith(package.replace(".", "/") + "/") for package in leave_out):
            continue
        found.update(f"{name}\0".encode() + path.read_bytes() + b"\0")
    return found.hexdigest()


def model_digest() -> str:
    """Of the model and the world that it runs: results of another model are not this one's."""
    found = hashlib.sha256()
    for package in OURS:
        for path in sorted((HERE / package.replace(".", "/")).rglob("*.py")):
            found.update(f"{path.name}\0".encode() + path.read_bytes() + b"\0")
    return found.hexdigest()


def _revision(name: str, cache: Path) -> Path:
    """A folder with the ``headspar`` of a revision."""
    def git(*args: str) -> bytes:
        try:
            done = subprocess.run(["git", *args], capture_output=True, timeout=GIT_S, check=False)
        except (OSError, subprocess.TimeoutExpired) as error:
            raise VersionError(f"{name}: git: {error}") from None
        if done.returncode:
            raise VersionError(f"{name}: no file, folder or revision of that name")
        return done.stdout

    if name.startswith("-"):
        raise VersionError(f"{name}: no file, folder or revision of that name")
    commit = git("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}").decode().strip()
    tree = cache / "trees" / commit
    if not tree.exists():
        partial = tree.with_name(f"{commit}.{os.getpid()}")
        partial.mkdir(parents=True, exist_ok=True)
        with tarfile.open(fileobj=io.BytesIO(git("archive", commit, "headspar"))) as archive:
            archive.extractall(partial, filter="data")
        try:
            partial.rename(tree)
        except OSError:
            if not tree.exists():
                raise
    return tree


def _tree(name: str, base: Path, cache: Path) -> Path:
    if name == ".":
        return HERE
    folder = (base / name).resolve()
    if folder.is_dir():
        if not (folder / "headspar" / "decide.py").is_file():
            raise VersionError(f"{name}: holds no headspar/decide.py")
        return folder
    return _revision(name, cache)


def resolve(name: str, cache: Path) -> Version:
    """The version of a name; ``VersionError`` if there is none."""
    path = Path(name)
    raw: dict[str, Any] = {}
    base = Path()
    if path.suffix == ".toml":
        try:
            raw = tomllib.loads(path.read_text())
        except OSError as error:
            raise VersionError(f"{name}: {error.strerror}") from None
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise VersionError(f"{name}: {error}") from None
        unknown = raw.keys() - {"tree", "settings", "connections"}
        if unknown:
            raise VersionError(f"{name}: {sorted(unknown)[0]}: means nothing in a version")
        for table in ("settings", "connections"):
            if not isinstance(raw.get(table, {}), dict):
                raise VersionError(f"{name}: {table}: needs a table")
        if not isinstance(raw.get("tree", "."), str):
            raise VersionError(f"{name}: tree: needs a text")
        base = path.parent
    tree = _tree(raw.get("tree", ".") if raw or path.suffix == ".toml" else name, base, cache)
    digest = digest_of(tree, OURS)
    if tree != HERE:
        digest += digest_of(HERE, OURS)  # which gives what an older tree has not split off yet
    return Version(name, str(tree), digest, _flat(raw.get("settings", {})), raw.get("connections", {}))


def _flat(table: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    out: dict[str, Any] = {}
    for key, value in table.items():
        if isinstance(value, dict):
            out.update(_flat(value, f"{prefix}{key}."))
        else:
            out[prefix + key] = value
    return out


class Finder(importlib.abc.MetaPathFinder):
    """Gives ``headspar.*`` from a version's tree; model and world stay this tree's.

    A module in ``RENAMED_MODULES`` is also looked for under its earlier name in the version's tree.
    """

    def __init__(self, tree: Path) -> None:
        self.tree = tree

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        if fullname == "headspar":
            return importlib.machinery.PathFinder.find_spec(fullname, [str(self.tree)])
        if not fullname.startswith("headspar."):
            return None
        ours = any(fullname == name or fullname.startswith(name + ".") for name in OURS)
        for root in (HERE,) if ours else (self.tree, HERE):
            # What an older version has not split off yet, and the model calls, is this tree's.
            folder = root.joinpath(*fullname.split(".")[:-1])
            found = importlib.machinery.PathFinder.find_spec(fullname, [str(folder)])
            if found is None and root == self.tree and fullname in RENAMED_MODULES:
                file = root.joinpath(*RENAMED_MODULES[fullname].split(".")).with_suffix(".py")
                if file.is_file():
                    found = importlib.util.spec_from_file_location(fullname, file)
            if found is not None:
                return found
        return None


def install(tree: Path) -> None:
    """From now on this process imports a version's modules; raises ``VersionError`` if others are in already."""
    early = [name for name in sys.modules if name == "headspar" or name.startswith("headspar.")]
    if early:
        raise VersionError(f"{early[0]} was imported before the version was chosen")
    sys.meta_path.insert(0, Finder(tree))
