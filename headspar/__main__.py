"""``python -m headspar``: run one node, from loading its configuration to its exit status."""

from __future__ import annotations

from headspar import early_signals  # isort: split

import os
import resource
import sys

import uvloop

from headspar.config import ConfigError, load_config
from headspar.handover import new_process, unix_socket
from headspar.identity import NO_HANDOVER
from headspar.process import serve


def log_stderr(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def main() -> int:
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        log_stderr(f"headspar: {error}")
        return 2
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < config.sockets and (hard == resource.RLIM_INFINITY or hard >= config.sockets):
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, hard))
    path = unix_socket.socket_path(os.environ, config.listen)
    inherited = new_process.request_handover(path, config.name, log_stderr)
    if inherited is None and os.environ.get("HEADSPAR_BESIDE") == "only":
        log_stderr("headspar: no hand-over to be had, and HEADSPAR_BESIDE=only requires one")
        return NO_HANDOVER
    try:
        uvloop.run(serve(config, inherited, early_signals.reload_wanted))
    except ConfigError as error:
        log_stderr(f"headspar: {error}")
        return 2
    except OSError as error:
        log_stderr(f"headspar: cannot listen: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
