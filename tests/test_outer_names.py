"""Names that others see (``outer_names.txt``) still stand in the code that writes or reads them.

Guards against a rename of an attribute, enum or function that also renames a key of a message, a stored field, a flag
or a metric, because the outer name was taken from the inner one.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from typing import Any

import pytest
import typer

from headspar.cli import app
from tests.loopback import ROOT

LIST = ROOT / "tests" / "outer_names.txt"
COMMAND_LINE = "command line"
Sections = dict[str, tuple[list[str], list[str]]]


def sections(text: str) -> Sections:
    """Title -> (places in the source, names); a section's line is ``[title: place place]``."""
    found: Sections = {}
    names: list[str] = []
    for line in text.splitlines():
        if line.startswith("["):
            title, _, places = line.strip("[]").rpartition(": ")
            names = []
            found[title or places] = (places.split() if title else [], names)
        elif line.strip() and not line.startswith("#"):
            names.append(line)
    return found


SECTIONS = sections(LIST.read_text())


def without_docstrings(tree: ast.AST) -> Iterator[ast.AST]:
    """All nodes but the texts that stand alone as a statement."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            continue
        yield node
        yield from without_docstrings(node)


def vocabulary(source: str) -> set[str]:
    """Identifiers, whole texts and the words within texts of a program; comments and docstrings apart."""
    words: set[str] = set()
    for node in without_docstrings(ast.parse(source)):
        for field in node._fields:
            value = getattr(node, field, None)
            if isinstance(value, bytes):
                value = value.decode("latin-1")
            if isinstance(value, str):
                words.add(value)
                words.update(re.findall(r"[\w./-]+", value))
                words.update(re.findall(r"\w+", value))
    return words


def vocabulary_of(places: list[str]) -> set[str]:
    words: set[str] = set()
    for place in places:
        path = ROOT / place
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            words |= vocabulary(file.read_text())
    return words


def command_line(command: Any, path: str = "headspar") -> Iterator[str]:
    """Each command, flag and argument as the list has them."""
    if hasattr(command, "commands"):  # a group
        for name, inner in command.commands.items():
            yield from command_line(inner, f"{path} {name}")
        return
    yield path
    for parameter in command.params:
        if parameter.param_type_name == "option":
            yield from (f"{path} {flag}" for flag in [*parameter.opts, *parameter.secondary_opts])
        else:
            yield f"{path} {getattr(parameter, 'metavar', None) or (parameter.name or '').upper()}"


@pytest.mark.parametrize("title", [title for title in SECTIONS if title != COMMAND_LINE])
def test_each_outer_name_stands_in_the_code(title: str) -> None:
    places, names = SECTIONS[title]
    assert names and all((ROOT / place).exists() for place in places)
    words = vocabulary_of(places)
    assert [name for name in names if name not in words] == []


def test_each_command_flag_and_argument_is_still_there() -> None:
    names = SECTIONS[COMMAND_LINE][1]
    now = set(command_line(typer.main.get_command(app)))
    assert names and [name for name in names if name not in now] == []


def test_a_name_that_only_a_comment_or_docstring_still_has_is_missed() -> None:
    old = 'def f(row):\n    """The key ``told_at``."""\n    return row["told_at"]  # told_at\n'
    assert "told_at" in vocabulary(old)
    assert "told_at" not in vocabulary(old.replace('["told_at"]', '["informed_at"]'))
    assert "told_at" in vocabulary("class A(Struct):\n    x: int = field(name='told_at')\n")


def test_a_flag_under_another_name_is_missed() -> None:
    small = typer.Typer()

    @small.command()
    def run(renamed: int = 0) -> None:
        """A command."""

    assert list(command_line(typer.main.get_command(small)))[:2] == ["headspar", "headspar --renamed"]
