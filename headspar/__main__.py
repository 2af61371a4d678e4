"""``python -m headspar``: one real node, from its configuration to its exit status."""

from __future__ import annotations

from headspar import early_signals  # isort: split

import os
import resource
import sys

import uvloop

from headspar.config import ConfigError, load_config
from headspar.handover import meeting, taker
from headspar.identity import NO_HANDOVER
from headspar.process import serve


def say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def main() -> int:
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        say(f"headspar: {error}")
        return 2
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < config.sockets and (hard == resource.RLIM_INFINITY or hard >= config.sockets):
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, hard))
    taken = taker.ask(meeting.place(os.environ, config.listen), config.name, say)
    if taken is None and os.environ.get("HEADSPAR_BESIDE") == "only":
        say("headspar: no hand-over to be had, and none other wanted")
        return NO_HANDOVER
    try:
        uvloop.run(serve(config, taken, early_signals.reload_wanted))
    except ConfigError as error:
        say(f"headspar: {error}")
        return 2
    except OSError as error:
        say(f"headspar: cannot listen: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
