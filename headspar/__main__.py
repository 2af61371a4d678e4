"""``python -m headspar``: one real node, from its configuration to its exit status."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from headspar.config import Address, Config, ConfigError, load_config
from headspar.connections.subset import Subset, SubsetSettings
from headspar.node.backends import Backends, Budget
from headspar.node.clients import Client, Server
from headspar.node.core import Node, now_us
from headspar.node.discovery import Discovery
from headspar.node.peers import Peers
from headspar.node.reach import Reach
from headspar.operations import listener as operators
from headspar.operations.calls import Calls
from headspar.operations.lifecycle import Cause, State

if TYPE_CHECKING:
    from headspar.recorder.file import Recorder

OWN_FILES = 24  # standard streams, loop, listener, discovery, peers, one to spare for each
REFUSALS = 40  # connections beyond the clients' part, accepted only to be refused
CLIENTS_SHARE = 0.6
OWN_MB = 72  # the program itself, buffers of sockets, held requests
BODIES_SHARE = 0.6  # of the memory beyond that
ACCEPT_S = 0.55  # after SIGTERM new connections go on coming for up to 0.4 s
END_S = 3.55  # and SIGKILL comes 3.7 s after it at the soonest
SWEEP_S = 1.0
TEND_S = 0.2


def listen(address: Address) -> socket.socket:
    """The listening socket, taken again at once after a kill."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
    return sock


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config, loop)
    loop.set_exception_handler(
        lambda _, context: node.error("loop", context.get("exception") or RuntimeError(context["message"]))
    )
    files = config.sockets - OWN_FILES - REFUSALS - (operators.FILES if config.ops else 0)
    clients = max(4, int(CLIENTS_SHARE * files))
    budget = Budget(int(BODIES_SHARE * max(16, config.memory_mb - OWN_MB)) * 1024 * 1024)
    most = max(4, files - clients)
    file = config.operator.connections
    node.backends = Backends(node, most, budget, file)
    node.reach = Reach(Subset(SubsetSettings(
        most, config.settings.me, config.settings.balancers, file.per_server, file.room,
        max(1, int(1e6 * file.swap_s)), max(1, int(1e6 * file.turn_s)),
    )))
    node.recorder = recorder(config, node)
    node.discovery = Discovery(node, node.backends, config.discovery)
    server = Server(node, clients, REFUSALS, budget)
    if config.peer_listen and config.peers_all and config.settings.may_tell_peers:
        peers = node.peers = Peers(node, config.peers, config.peers_all)
        await loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen)
    node.discovery.start(config.known)
    listener = await loop.create_server(lambda: Client(server), sock=listen(config.listen), backlog=4096)
    calls = Calls(node.lifecycle, node.figures)
    ops = operators.Listener(calls, loop, listen(config.ops)) if config.ops else None
    node.lifecycle.watchers.append(lambda state: server.send_away() if state is State.DRAINING else None)
    node.lifecycle.move(Cause.STARTED)
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    # Without a handler SIGHUP ends the process, and with it all requests that it has taken.
    loop.add_signal_handler(signal.SIGHUP, reload, node)

    def sweep() -> None:
        server.sweep()
        now = now_us()
        node.backends.sweep(now)
        node.move_reach(now)
        loop.call_later(SWEEP_S, sweep)

    def tend() -> None:
        node.backends.tend(now_us())
        loop.call_later(TEND_S, tend)

    sweep()
    tend()
    gc.collect()
    gc.freeze()
    await stopping.wait()
    node.lifecycle.move(Cause.TERM)
    await drain(server, listener, loop.time())
    if ops is not None:
        ops.close()
    if node.recorder is not None:
        node.recorder.close()


def recorder(config: Config, node: Node) -> Recorder | None:
    """The flight recorder, where the operator's file names a file for it."""
    table = config.operator.recorder
    if not table.file:
        return None
    from headspar.recorder.file import Recorder

    path = Path(table.file.replace("{name}", config.name))
    try:
        return Recorder(path, int(table.size_mb * 1e6), config.name, node.log)
    except OSError as error:
        raise ConfigError(f"recorder.file: {path}: {error.strerror}") from None


def reload(node: Node) -> None:
    """SIGHUP: the configuration has been replaced.  Discovery's new address holds from now on, all else from
    the next start; with a configuration that is no good the node stays as it is."""
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"headspar: {error}", file=sys.stderr, flush=True)
        return
    node.discovery.move(config.discovery)


async def drain(server: Server, listener: asyncio.Server, since: float) -> None:
    """Answer all that was taken: each answer closes its connection, idle ones are closed once no new
    connections come, then the listener, which by then has nothing left to accept."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(ACCEPT_S)
    listener.close()
    while loop.time() - since < END_S:
        server.close_idle()
        if not server.clients:
            break
        await asyncio.sleep(0.02)


def main() -> int:
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"headspar: {error}", file=sys.stderr)
        return 2
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < config.sockets and (hard == resource.RLIM_INFINITY or hard >= config.sockets):
        resource.setrlimit(resource.RLIMIT_NOFILE, (config.sockets, hard))
    try:
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"headspar: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"headspar: cannot listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
