"""``python -m headspar.keeper FILE``: runs a keeper without loading the rest of the command line."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from headspar import failpoints, operator_file
from headspar.config import ConfigError, parse_address
from headspar.events import Events
from headspar.keeper.host import Host, HostError
from headspar.operator_file import KeeperTable, OperatorError


def table_of(file: Path) -> KeeperTable:
    """Read the ``[keeper]`` table of the operator's file; ``OperatorError`` if a required key is missing."""
    table = operator_file.load(file).keeper
    for name in ("folder", "host", "listen"):
        if not getattr(table, name):
            raise OperatorError(f"{file}: keeper.{name}: not set")
    try:
        parse_address(table.listen, "keeper.listen")
    except ConfigError as error:
        raise OperatorError(f"{file}: {error}") from None
    return table


def main(arguments: list[str]) -> int:
    """Run a keeper until SIGTERM; the node keeps running afterwards.  Returns 0, or 2 if the keeper can't run."""
    try:
        if len(arguments) != 1:
            raise HostError("needs exactly one argument: the operator's file")
        failpoints.arm(os.environ)
        asyncio.run(Host(table_of(Path(arguments[0])), Events(), dict(os.environ)).run())
    except (HostError, OperatorError, failpoints.FailpointError) as error:
        print(f"headspar: {error}", file=sys.stderr, flush=True)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
