"""Helpers shared by the command-line modules: error exits, scenario lookup, checks of output paths."""

from __future__ import annotations

import sys
from importlib import resources
from pathlib import Path

import msgspec
import typer

from headspar.world.scenario import Scenario, ScenarioError, check, load


def error_exit(text: str, status: int) -> typer.Exit:
    """Print one line to standard error and return the exception to raise, with this exit status."""
    print(f"headspar: {' '.join(text.split())}", file=sys.stderr)
    return typer.Exit(status)


def scenario_names() -> list[str]:
    """Names of the bundled scenarios."""
    folder = resources.files("headspar.lab") / "scenarios"
    return sorted(f.name.removesuffix(".toml") for f in folder.iterdir() if f.name.endswith(".toml"))


def scenario(name: str, nodes: int | None = None) -> Scenario:
    """Load a scenario from a file or by its bundled name; ``nodes`` overrides its node count."""
    path = Path(name)
    if not path.suffix and name in scenario_names():
        path = Path(str(resources.files("headspar.lab") / "scenarios" / f"{name}.toml"))
    try:
        s = load(path)
        if nodes is not None:
            s = check(msgspec.structs.replace(s, nodes=msgspec.structs.replace(s.nodes, count=nodes)))
        return s
    except ScenarioError as error:
        text = str(error)
        raise error_exit(text if text.startswith(name) else f"{name}: {text}", 2) from None


def check_output_folders(*paths: Path | None) -> None:
    """Check before a long run that the folders of its output files exist; exits with status 2 otherwise."""
    for path in paths:
        if path is not None and str(path) != "-" and not path.absolute().parent.is_dir():
            raise error_exit(f"{path}: there is no such folder", 2)
