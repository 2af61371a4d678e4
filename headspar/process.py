"""One node's process: its parts put together, its signals, and its place in an upgrade."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from headspar.config import Address, Config, ConfigError, load_config
from headspar.connections.subset import Subset
from headspar.handover import meeting, shares
from headspar.handover.beliefs import Beliefs, BeliefsError, decode, encode
from headspar.handover.giver import Giver
from headspar.handover.messages import Held, Offer
from headspar.handover.sides import Giving
from headspar.handover.taker import Taken, Taker
from headspar.identity import Identity, descriptors, resident_mb, settings_digest
from headspar.node.backends import Backends, Budget
from headspar.node.client_connections import ClientConnections
from headspar.node.clients import Client
from headspar.node.core import Node, now_us
from headspar.node.discovery import Discovery
from headspar.node.peers import Peers
from headspar.node.reach import Reach, subset_settings
from headspar.operations import listener as operators
from headspar.operations import work
from headspar.operations.calls import Calls
from headspar.operations.lifecycle import Cause, State
from headspar.operations.reload import missing

if TYPE_CHECKING:
    from headspar.recorder.file import Recorder
    from headspar.snapshot.keeping import Keeping

OWN_MB = 32  # the program itself (15), buffers of sockets, held requests
BODIES_SHARE = 0.7  # of the memory beyond that: one body of 32 MB fits in 80 MB
ACCEPT_S = 0.55  # after SIGTERM new connections go on coming for up to 0.4 s
LONGEST_S = 3.0  # what SIGKILL waits for of the longest deadline, at the most
END_S = 0.55  # beyond it; SIGKILL comes 0.7 s beyond
CUT_S = 0.15  # before the end all that is open is answered
ADOPT = 1024  # connections that the system has accepted, taken out of its queue when the listener closes
SWEEP_S = 1.0
TEND_S = 0.2
BACKLOG = 4096
RESERVE = 8  # connections to backends that a process keeps for repeats while its successor serves


def bound(address: Address, kind: socket.SocketKind = socket.SOCK_STREAM) -> socket.socket:
    """A socket at the address, taken again at once after a kill, and beside another process of this node."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, kind)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
    return sock


class Process:
    """The parts of one node, from their making to the end; the giver's and taker's view of them."""

    def __init__(self, config: Config, taken: Taken | None, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.taken, self.loop = config, taken, loop
        node = self.node = Node(config, loop)
        loop.set_exception_handler(
            lambda _, context: node.error("loop", context.get("exception") or RuntimeError(context["message"]))
        )
        callers = operators.MOST if config.ops else 0
        self.alone_share = shares.whole(config.sockets, callers, config.settings.most_held)
        self.room = int(BODIES_SHARE * max(16, config.memory_mb - OWN_MB)) * 1024 * 1024
        budget = self.budget = Budget(self.room)
        file = config.operator.connections
        most = self.alone_share.backends
        node.backends = Backends(node, most, budget, file)
        node.reach = Reach(Subset(subset_settings(file, config.settings, most)))
        node.recorder = recorder(config, node)
        node.discovery = Discovery(node, node.backends, config.discovery)
        self.server = ClientConnections(node, self.alone_share.clients, self.alone_share.spare, budget)
        self.began = now_us()
        self.keeping = keeping(config, node)
        self.identity = Identity(config.name, os.environ, taken is not None)
        self.calls = Calls(node.lifecycle, node.figures, self._identity, self._work)
        self.ops: operators.Listener | None = None
        self.peers_socket: socket.socket | None = None
        self.listening: asyncio.Server | None = None
        self.giver: Giver | None = None
        self.taker: Taker | None = None
        self.moving: dict[int, Client] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = asyncio.Event()
        node.lifecycle.watchers.append(lambda state: self.server.send_away() if state is State.DRAINING else None)

    # ------------------------------------------------------------ start

    async def start(self, reload_wanted: Callable[[], bool] = lambda: False) -> None:
        """Serve: on the sockets of the process before this one where it has offered them.  ``reload_wanted``:
        whether SIGHUP has come before its handler stands here."""
        config, node, loop, taken = self.config, self.node, self.loop, self.taken
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        self.socket = taken.listener if taken else bound(config.listen)
        if config.peer_listen and config.peers_all and config.settings.may_tell_peers:
            self.peers_socket = taken.peers if taken and taken.peers else bound(config.peer_listen, socket.SOCK_DGRAM)
            await self._listen_to_peers()
        if taken is not None:
            self._share(shares.second(self.alone_share, taken.offer))
        beliefs = self._beliefs()
        if beliefs is None and taken is None and self.keeping is not None:
            found = self.keeping.found()
            beliefs = self._newer(found.beliefs) if found is not None else None
        node.discovery.start(config.known if beliefs is None or beliefs.known is None else beliefs.known)
        if beliefs is not None:
            node.recall(beliefs.experience, soon=taken is not None)
            node.backends.plan.recall(beliefs.learned, now_us())
        node.standstill.beats(now_us())
        node.settle()  # the module knows its servers before the node says yes
        if config.ops:
            self.ops = operators.Listener(self.calls, loop, bound(config.ops))
        await self._listen()
        node.standstill.beats(now_us())  # what a start takes is none
        node.lifecycle.move(Cause.STARTED)
        if taken is not None:
            self.taker = Taker(taken, loop, adopt=self._adopt, share=self._held_by_first, log=node.log)
            self.taker.ready()
        path = meeting.place(os.environ, config.listen)
        if path is not None:
            try:
                self.giver = Giver(self, loop, path)
                self.server.on_idle = self.giver.changed
            except OSError as error:
                node.log(f"hand-over: no upgrades without loss from here: {path}: {error.strerror}")
        self._sweep()
        self._tend()
        if self.keeping is not None:
            self.keeping.begin()
        # Until here SIGHUP is noted alone (``early_signals``): a reload needs all parts.
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if reload_wanted():
            self.reload()
        gc.collect()
        gc.freeze()

    def _beliefs(self) -> Beliefs | None:
        """What the process before this one believed, as far as it can be used; its list only if it is no older."""
        if self.taken is None or not self.config.operator.handover.beliefs:
            return None
        try:
            beliefs = decode(self.taken.beliefs)
        except BeliefsError as error:
            self.node.log(f"hand-over: beliefs not taken: {error}")
            return None
        if beliefs.left:
            self.node.log(f"hand-over: of the beliefs not taken: {', '.join(beliefs.left)}")
        return self._newer(beliefs)

    def _newer(self, beliefs: Beliefs) -> Beliefs:
        """With the configuration's list, unless theirs is newer."""
        if beliefs.known is None or beliefs.known["generation"] < self.config.known.get("generation", 0):
            beliefs.known = self.config.known
        return beliefs

    def _identity(self) -> dict[str, Any]:
        entries, ramp, now = self.node.reach.entries, self.node.settings.ramp_us, now_us()
        started = [entry.started_at_us for entry in entries.values()]
        cold = sum(at > 0 and now - at < ramp for at in started)  # 0: discovery does not say when
        return self.identity.shown(settings_digest(self.config.raw_settings), len(entries), cold)

    async def _listen(self) -> None:
        """Accept clients, on a copy: the socket itself is kept for a successor, or to listen again."""
        server = self.server
        sock = self.socket.dup()
        self.listening = await self.loop.create_server(lambda: Client(server), sock=sock, backlog=BACKLOG)

    async def _listen_to_peers(self) -> None:
        node, config = self.node, self.config
        assert self.peers_socket is not None and config.peers_all is not None
        peers = node.peers = Peers(node, config.peers, config.peers_all)
        await self.loop.create_datagram_endpoint(lambda: peers, sock=self.peers_socket.dup())

    def _work(self) -> dict[str, Any]:
        """Read where it is asked for; nothing of it is kept ready."""
        node, identity = self.node, self.identity
        found = self._identity()
        gauges = {"memory_mb": round(resident_mb(), 1), "descriptors": float(descriptors()),
                  "servers": float(found["servers"]), "cold": float(found["cold"]),
                  "disabled": float(node.balancer.avoided())}
        process = f"{found['pid']}-{found['started']}-{found['boot'][:8]}"
        return work.shown(node.ledger, process, identity.generation, (now_us() - self.began) / 1e6,
                          1000.0 * time.process_time(), gauges)

    def _sweep(self) -> None:
        self.server.sweep()
        now = now_us()
        self.node.backends.sweep(now)
        self.node.move_reach(now)
        self.loop.call_later(SWEEP_S, self._sweep)

    def _tend(self) -> None:
        self.node.beat()
        self.node.backends.tend(now_us())
        self.server.look(now_us())
        self.loop.call_later(TEND_S, self._tend)

    # ------------------------------------------------------------ SIGHUP

    def reload(self) -> None:
        """The configuration has been replaced: its settings and discovery's address hold from now on, all else
        from the next start.  With one that is no good all stays as it is."""
        node = self.node
        try:
            config = load_config(os.environ)
            lost = missing(self.config.shape, config.shape)
            if lost is not None:
                raise ConfigError(f"{lost}: the configuration in force has it, the new one lacks it")
        except ConfigError as error:
            node.ledger.reload_failure += 1
            print(f"headspar: reload: nothing taken: {error}", file=sys.stderr, flush=True)
            return
        node.ledger.reload_success += 1
        self.config = config
        settings = config.settings
        if settings != node.settings:
            node.change(settings)
            self.server.intake.change(settings, now_us())
            self.alone_share = replace(self.alone_share, requests=settings.most_held)
            if self.giver is None or self.giver.state is Giving.ALONE:
                node.most_held = settings.most_held
            names = ", ".join(c.name for c in settings.classes)
            print(f"headspar: reload: new settings; classes {names}", file=sys.stderr, flush=True)
        node.discovery.move(config.discovery)

    # ------------------------------------------------------------ beside a second process

    def _share(self, part: shares.Shares, *, alone: bool = False) -> None:
        self.budget.resize(self.room if alone else self.room // 2)
        self.server.most, self.server.spare = part.clients, part.spare
        self.node.backends.limit(part.backends)
        self.node.most_held = part.requests
        if self.ops is not None:
            self.ops.most = max(1, part.callers)

    def _adopt(self, sock: socket.socket) -> None:
        """A client of the process before this one, between two requests.  That one holds one less: without its room
        here, clients that come over would push out others."""
        self.server.most += 1
        self._spawn(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        server = self.server
        try:
            await self.loop.connect_accepted_socket(lambda: Client(server), sock)
        except OSError:
            sock.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _held_by_first(self, held: Held | None) -> None:
        """The process before this one holds so much; None: it has ended."""
        if held is None:
            self._share(self.alone_share, alone=True)
        else:
            self._share(shares.second(self.alone_share, held))

    def offered(self) -> tuple[Offer, list[int], bytes]:
        """A second process starts."""
        self._share(shares.offered(self.alone_share))
        files = [self.socket.fileno()] + ([self.peers_socket.fileno()] if self.peers_socket else [])
        held = self.held()
        return Offer(len(files) > 1, held.clients, held.backends, held.requests), files, self._believed()

    def _believed(self) -> bytes:
        node = self.node
        return encode(Beliefs(node.discovery.known(), node.balancer.experience(), node.backends.plan.learned()))

    def succeeded(self) -> None:
        """It serves: nothing more is accepted here, and no peer is heard or told."""
        self.node.lifecycle.move(Cause.SUCCEEDED)
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        peers, self.node.peers = self.node.peers, None
        if peers is not None and peers.transport is not None:
            peers.transport.close()

    def idle(self, most: int) -> list[int]:
        self.moving = self.server.movable(most)
        return list(self.moving)

    def given(self, files: list[int]) -> None:
        for fd in files:
            self.server.moved(self.moving.pop(fd))

    def held(self) -> Held:
        backends = self.node.backends
        if self.node.lifecycle.hands_over:
            # Each client that is not between two requests may need one: also for what has not been sent yet.
            active = len(self.server.clients) - len(self.server.idle)
            backends.limit(min(backends.most, max(backends.busy(), active) + RESERVE))
            return Held(len(self.server.clients), backends.most, len(self.node.requests))
        return Held(len(self.server.clients), len(backends.connections), len(self.node.requests))

    def alone(self) -> None:
        """The second process is gone: this one is the node again, unless it ends itself."""
        self.node.log("hand-over: the second process is gone")
        self._share(self.alone_share, alone=True)
        handed = self.node.lifecycle.hands_over
        self.node.lifecycle.move(Cause.ALONE)
        if handed and not self.node.lifecycle.ending:
            self._spawn(self._listen())
            if self.peers_socket is not None:
                self._spawn(self._listen_to_peers())

    # ------------------------------------------------------------ the end

    def _listen_no_more(self, listening: asyncio.Server) -> None:
        """Close the listener.  What stands in its queue then would be reset, with requests that have come."""
        listening.close()
        self.listening = None
        for sock in accepted(self.socket, ADOPT):
            self._spawn(self._serve(sock))
        self.socket.close()

    async def end(self) -> None:
        """Answer all that was taken.  Alone, each answer closes its connection, idle ones are closed once no new
        connections come, then the listener, which by then has nothing left to accept.  With a successor they go
        over to it."""
        node, server, loop = self.node, self.server, self.loop
        since = loop.time()
        node.lifecycle.move(Cause.TERM)
        last = since + END_S + min(LONGEST_S, max(c.deadline_us for c in node.settings.classes) / 1e6)
        while loop.time() < last:
            handed = node.lifecycle.hands_over
            if not handed and loop.time() - since > ACCEPT_S:
                if self.listening is not None:
                    self._listen_no_more(self.listening)
                server.close_idle()
            if not server.clients and not self.tasks and (handed or self.listening is None):
                break
            if not node.closing and last - loop.time() < CUT_S:
                node.cut()
            await asyncio.sleep(0.02)
        if self.giver is not None:
            self.giver.close()
        if self.ops is not None:
            self.ops.close()
        if node.recorder is not None:
            node.recorder.close()
        if self.keeping is not None:
            self.keeping.end()


def accepted(listener: socket.socket, most: int) -> Iterator[socket.socket]:
    """Connections that the system has accepted for a listener and nobody has taken yet."""
    for _ in range(most):
        try:
            sock, _ = listener.accept()
        except (ConnectionAbortedError, InterruptedError):
            continue
        except OSError:
            return
        sock.setblocking(False)
        yield sock


def keeping(config: Config, node: Node) -> Keeping | None:
    """What is kept on a disk, where the operator's file names a folder for it."""
    table = config.operator.snapshot
    if not table.folder:
        return None
    from headspar.snapshot.keeping import Keeping

    folder = Path(table.folder.replace("{name}", config.name))
    return Keeping(folder, table.every_s, config.name, node, settings_digest(config.raw_settings),
                   node.discovery.offset_us)


def recorder(config: Config, node: Node) -> Recorder | None:
    """The flight recorder, where the operator's file names a file for it."""
    table = config.operator.recorder
    if not table.file:
        return None
    from headspar.recorder.file import Recorder

    path = Path(table.file.replace("{name}", config.name))
    try:
        now = now_us()
        return Recorder(path, int(table.size_mb * 1e6), config.name, node.log, now, time.time_ns() // 1000 - now)
    except OSError as error:
        raise ConfigError(f"recorder.file: {path}: {error.strerror}") from None


async def serve(config: Config, taken: Taken | None, reload_wanted: Callable[[], bool]) -> None:
    """One node, until SIGTERM and what follows it."""
    process = Process(config, taken, asyncio.get_running_loop())
    await process.start(reload_wanted)
    await process.stopping.wait()
    await process.end()
