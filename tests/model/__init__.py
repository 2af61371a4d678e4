"""Helpers shared by the tests of the model."""

from __future__ import annotations

import shutil
from pathlib import Path

from headspar.model.versions import HERE


def changed(folder: Path, old: str, new: str) -> str:
    """Copies the program with one text of its decision module replaced, and returns the folder."""
    tree = folder / "changed"
    shutil.copytree(HERE / "headspar", tree / "headspar", ignore=shutil.ignore_patterns("__pycache__"))
    path = tree / "headspar" / "decide.py"
    text = path.read_text()
    assert text.count(old) == 1
    path.write_text(text.replace(old, new))
    return str(tree)
