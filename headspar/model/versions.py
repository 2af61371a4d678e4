"""Versions of the program: a source tree of this or another revision, with its own settings.

A version is named by a TOML file, a folder that holds a ``headspar`` package, or a revision of the git repository
that contains the working directory; ``.`` is the running tree.  A TOML file has the keys ``tree`` (a folder, relative
to the file, or a revision), ``[settings]`` (overrides of a node's settings object, by dotted name) and
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

SHARED_PACKAGES = ("headspar.model", "headspar.world")  # always imported from the running tree
# Modules that the model imports: this tree's name -> the name in the trees of earlier versions.
RENAMED_MODULES = {"headspar.node.backend_subset": "headspar.node.reach"}
HERE = Path(__file__).resolve().parents[2]
GIT_TIMEOUT_S = 60


class VersionError(Exception):
    """A version does not exist or is invalid; the message is one line."""


class Version(msgspec.Struct, frozen=True):
    """A resolved version: ``name`` as requested, the folder with its ``headspar``, the digest of its sources."""

    name: str
    tree: str
    digest: str
    settings: dict[str, Any] = {}
    connections: dict[str, Any] = {}


def digest_of(tree: Path, leave_out: Sequence[str] = ()) -> str:
    """Returns the SHA-256 of the sources of a tree's ``headspar``, without the packages in ``leave_out``."""
    digest = hashlib.sha256()
    for path in sorted((tree / "headspar").rglob("*.py")):
        name = path.relative_to(tree).as_posix()
        if any(name.startswith(package.replace(".", "/") + "/") for package in leave_out):
            continue
        digest.update(f"{name}\0".encode() + path.read_bytes() + b"\0")
    return digest.hexdigest()


def model_digest() -> str:
    """Returns the SHA-256 of the sources of the model and the world, which determine the results too."""
    digest = hashlib.sha256()
    for package in SHARED_PACKAGES:
        for path in sorted((HERE / package.replace(".", "/")).rglob("*.py")):
            digest.update(f"{path.name}\0".encode() + path.read_bytes() + b"\0")
    return digest.hexdigest()


def _revision(name: str, cache: Path) -> Path:
    """Extracts the ``headspar`` of a revision into the cache and returns its folder."""
    def git(*args: str) -> bytes:
        try:
            done = subprocess.run(["git", *args], capture_output=True, timeout=GIT_TIMEOUT_S, check=False)
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
    """Returns the version with a name; raises ``VersionError`` if there is none."""
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
            raise VersionError(f"{name}: {sorted(unknown)[0]}: unknown key in a version file")
        for table in ("settings", "connections"):
            if not isinstance(raw.get(table, {}), dict):
                raise VersionError(f"{name}: {table}: must be a table")
        if not isinstance(raw.get("tree", "."), str):
            raise VersionError(f"{name}: tree: must be a string")
        base = path.parent
    tree = _tree(raw.get("tree", ".") if raw or path.suffix == ".toml" else name, base, cache)
    digest = digest_of(tree, SHARED_PACKAGES)
    if tree != HERE:
        digest += digest_of(HERE, SHARED_PACKAGES)  # this tree supplies modules that an older tree does not have
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
    """Imports ``headspar.*`` from a version's tree, except the model and the world, which come from this tree.

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
        shared = any(fullname == name or fullname.startswith(name + ".") for name in SHARED_PACKAGES)
        for root in (HERE,) if shared else (self.tree, HERE):
            # Modules that the model imports and an older version does not have come from this tree.
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
    """Makes this process import a version's modules.

    Raises ``VersionError`` if a module of ``headspar`` has been imported already."""
    imported = [name for name in sys.modules if name == "headspar" or name.startswith("headspar.")]
    if imported:
        raise VersionError(f"{imported[0]} was imported before the version was chosen")
    sys.meta_path.insert(0, Finder(tree))
