"""One node's process: it assembles the node's parts, handles signals and takes part in hand-overs to a new
process."""

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
from headspar.handover import shares, unix_socket
from headspar.handover.beliefs import Beliefs, BeliefsError, decode, encode
from headspar.handover.messages import Held, Offer
from headspar.handover.new_process import NewProcess, ReceivedOffer
from headspar.handover.old_process import OldProcess
from headspar.handover.transitions import OldProcessState
from headspar.identity import Identity, descriptors, resident_mb, settings_digest
from headspar.node.backend_subset import Reach, subset_settings
from headspar.node.backends import Backends
from headspar.node.budget import Budget
from headspar.node.client_connections import ClientConnections
from headspar.node.clients import Client
from headspar.node.clock import now_us
from headspar.node.core import Node
from headspar.node.discovery import Discovery
from headspar.node.peers import Peers
from headspar.operations import listener as operators
from headspar.operations import work
from headspar.operations.calls import Calls
from headspar.operations.lifecycle import Cause, State
from headspar.operations.reload import missing

if TYPE_CHECKING:
    from headspar.node.trace import Trace
    from headspar.recorder.file import Recorder
    from headspar.snapshot.schedule import SnapshotSchedule

PROGRAM_MB = 32  # the program itself (15), socket buffers, held requests
BODY_MEMORY_SHARE = 0.7  # share of the remaining memory for bodies: one body of 32 MB fits in 80 MB
LISTEN_AFTER_TERM_S = 0.55  # clients may open new connections for up to 0.4 s after SIGTERM
# for the first request of a connection that was opened just before the listener closed
NEW_CONNECTION_GRACE_US = 150_000
MAX_DEADLINE_WAIT_S = 3.0  # cap on the longest deadline that shutdown waits for; SIGKILL waits as long
SHUTDOWN_MARGIN_S = 0.55  # shutdown time beyond the deadline; SIGKILL follows 0.7 s after the deadline
FINAL_ANSWERS_S = 0.15  # time before the end of shutdown at which all open requests are answered
MAX_ACCEPT_QUEUE = 1024  # connections accepted from the system's queue when the listener closes
SWEEP_INTERVAL_S = 1.0
MAINTENANCE_INTERVAL_S = 0.2
LISTEN_BACKLOG = 4096
SPARE_BACKEND_CONNECTIONS = 8  # that the old process keeps for repeats while the new one serves


def bind_socket(address: Address, kind: socket.SocketKind = socket.SOCK_STREAM) -> socket.socket:
    """Return a non-blocking socket bound to the address. SO_REUSEADDR allows a restart at once after a kill, and
    SO_REUSEPORT allows a second process of this node to listen at the same time."""
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
    """Owns the parts of one node for the life of the process; the hand-over's two sides (old and new process) call
    it."""

    def __init__(self, config: Config, inherited: ReceivedOffer | None, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.inherited, self.loop = config, inherited, loop
        node = self.node = Node(config, loop)
        loop.set_exception_handler(
            lambda _, context: node.error("loop", context.get("exception") or RuntimeError(context["message"]))
        )
        callers = operators.MAX_CONNECTIONS if config.ops else 0
        self.sole_process_share = shares.whole(config.sockets, callers, config.settings.most_held)
        self.body_budget_bytes = int(BODY_MEMORY_SHARE * max(16, config.memory_mb - PROGRAM_MB)) * 1024 * 1024
        budget = self.budget = Budget(self.body_budget_bytes)
        file = config.operator.connections
        most = self.sole_process_share.backends
        node.backends = Backends(node, most, budget, file)
        node.reach = Reach(Subset(subset_settings(file, config.settings, most)))
        node.recorder = open_recorder(config, node)
        node.trace = open_trace(config, node)
        node.discovery = Discovery(node, node.backends, config.discovery)
        self.server = ClientConnections(node, self.sole_process_share.clients, self.sole_process_share.spare, budget)
        self.started_at_us = now_us()
        self.snapshots = open_snapshots(config, node)
        self.identity = Identity(config.name, os.environ, inherited is not None)
        self.calls = Calls(node.lifecycle, node.figures, self._identity, self._work)
        self.ops: operators.Listener | None = None
        self.peers_socket: socket.socket | None = None
        self.listening: asyncio.Server | None = None
        self.old_process: OldProcess | None = None
        self.new_process: NewProcess | None = None
        self.offered_clients: dict[int, Client] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = asyncio.Event()
        node.lifecycle.watchers.append(
            lambda state: self.server.close_idle_while_draining() if state is State.DRAINING else None
        )

    # ------------------------------------------------------------ start

    async def start(self, reload_wanted: Callable[[], bool] = lambda: False) -> None:
        """Start serving, on the sockets of the old process if it has offered them.

        ``reload_wanted`` tells whether SIGHUP arrived before this method installed its own handler.
        """
        config, node, loop, inherited = self.config, self.node, self.loop, self.inherited
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        self.socket = inherited.listener if inherited else bind_socket(config.listen)
        if config.peer_listen and config.peers_all and config.settings.may_tell_peers:
            self.peers_socket = (
                inherited.peers if inherited and inherited.peers
                else bind_socket(config.peer_listen, socket.SOCK_DGRAM)
            )
            await self._listen_to_peers()
        if inherited is not None:
            self._share_with_old_process(inherited.offer)
        beliefs = self._inherited_state()
        if beliefs is None and inherited is None and self.snapshots is not None:
            found = self.snapshots.restore()
            beliefs = self._with_newest_list(found.beliefs) if found is not None else None
        node.discovery.start(config.known if beliefs is None or beliefs.known is None else beliefs.known)
        if beliefs is not None:
            node.restore(beliefs.experience, soon=inherited is not None)
            node.backends.plan.recall(beliefs.learned, now_us())
        node.pause_detector.heartbeat(now_us())
        node.flush_events()  # the balancer must have its list of servers before the node reports ready
        if config.ops:
            self.ops = operators.Listener(self.calls, loop, bind_socket(config.ops))
        await self._listen()
        node.pause_detector.heartbeat(now_us())  # time spent on starting does not count as a process pause
        node.lifecycle.move(Cause.STARTED)
        if inherited is not None:
            self.new_process = NewProcess(
                inherited, loop, adopt=self._adopt, share=self._on_old_process_holds, log=node.log, ids=node.taken_ids
            )
            self.new_process.ready()
        path = unix_socket.socket_path(os.environ, config.listen)
        if path is not None:
            try:
                self.old_process = OldProcess(self, loop, path, node.taken_ids)
                self.server.on_idle = self.old_process.on_client_idle
            except OSError as error:
                node.log(f"hand-over: upgrades from this process may drop connections: {path}: {error.strerror}")
        self._sweep()
        self._maintain()
        if self.snapshots is not None:
            self.snapshots.start()
        # SIGHUP is only recorded until here (``early_signals``), because a reload needs all parts.
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if reload_wanted():
            self.reload()
        gc.collect()
        gc.freeze()

    def _inherited_state(self) -> Beliefs | None:
        """Decode the usable part of the old process's learned state; its list of backends counts only if it is no
        older than the configuration's."""
        if self.inherited is None or not self.config.operator.handover.beliefs:
            return None
        try:
            beliefs = decode(self.inherited.beliefs)
        except BeliefsError as error:
            self.node.log(f"hand-over: beliefs not taken: {error}")
            return None
        if beliefs.left:
            self.node.log(f"hand-over: some beliefs not taken: {', '.join(beliefs.left)}")
        return self._with_newest_list(beliefs)

    def _with_newest_list(self, beliefs: Beliefs) -> Beliefs:
        """Replace the list by the configuration's unless the given one is newer."""
        if beliefs.known is None or beliefs.known["generation"] < self.config.known.get("generation", 0):
            beliefs.known = self.config.known
        return beliefs

    def _identity(self) -> dict[str, Any]:
        entries, ramp, now = self.node.reach.entries, self.node.settings.ramp_us, now_us()
        started = [entry.started_at_us for entry in entries.values()]
        cold = sum(at > 0 and now - at < ramp for at in started)  # 0: discovery reports no start time
        return self.identity.report(settings_digest(self.config.raw_settings), len(entries), cold)

    async def _listen(self) -> None:
        """Accept clients on a duplicate of the socket; the original is kept for a new process, or for listening
        again."""
        server = self.server
        sock = self.socket.dup()
        self.listening = await self.loop.create_server(lambda: Client(server), sock=sock, backlog=LISTEN_BACKLOG)

    async def _listen_to_peers(self) -> None:
        node, config = self.node, self.config
        assert self.peers_socket is not None and config.peers_all is not None
        peers = node.peers = Peers(node, config.peers, config.peers_all)
        await self.loop.create_datagram_endpoint(lambda: peers, sock=self.peers_socket.dup())

    def _work(self) -> dict[str, Any]:
        """Compute the figures of ``GET /work`` on demand."""
        node, identity = self.node, self.identity
        found = self._identity()
        gauges = {"memory_mb": round(resident_mb(), 1), "descriptors": float(descriptors()),
                  "servers": float(found["servers"]), "cold": float(found["cold"]),
                  "disabled": float(node.balancer.unavailable_count())}
        process = f"{found['pid']}-{found['started']}-{found['boot'][:8]}"
        return work.report(node.ledger, process, identity.generation, (now_us() - self.started_at_us) / 1e6,
                          1000.0 * time.process_time(), gauges)

    def _sweep(self) -> None:
        self.server.sweep()
        now = now_us()
        self.node.backends.sweep(now)
        self.node.advance_reach(now)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _maintain(self) -> None:
        self.node.heartbeat()
        self.node.backends.maintain(now_us())
        self.server.check_clients(now_us())
        self.loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)

    # ------------------------------------------------------------ SIGHUP

    def reload(self) -> None:
        """Reload the configuration. Settings and the address of discovery take effect now, everything else with the
        next start. If the new configuration is invalid, nothing changes."""
        node = self.node
        try:
            config = load_config(os.environ)
            lost = missing(self.config.shape, config.shape)
            if lost is not None:
                raise ConfigError(f"{lost}: present in the current configuration, missing in the new one")
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
            self.sole_process_share = replace(self.sole_process_share, requests=settings.most_held)
            if self.old_process is None or self.old_process.state is OldProcessState.ALONE:
                node.most_held = settings.most_held
            names = ", ".join(c.name for c in settings.classes)
            print(f"headspar: reload: new settings; classes {names}", file=sys.stderr, flush=True)
        node.discovery.move(config.discovery)

    # ------------------------------------------------------------ hand-over

    def _share(self, part: shares.Shares, budget_bytes: int) -> None:
        self.budget.resize(budget_bytes)
        self.server.max_clients, self.server.spare_descriptors = part.clients, part.spare
        self.node.backends.limit(part.backends)
        self.node.most_held = part.requests
        if self.ops is not None:
            self.ops.max_connections = max(1, part.callers)

    def _share_as_only_process(self) -> None:
        self._share(self.sole_process_share, self.body_budget_bytes)

    def _share_with_old_process(self, held: Held | Offer) -> None:
        self._share(
            shares.new_process_shares(self.sole_process_share, held),
            shares.new_process_budget(self.body_budget_bytes, held),
        )

    def _adopt(self, sock: socket.socket) -> None:
        """Serve a client connection of the old process that is between two requests. The old process then holds one
        fewer, so the limit here rises by one; otherwise adopted clients would displace others."""
        self.server.max_clients += 1
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

    def _on_old_process_holds(self, held: Held | None) -> None:
        """Adjust limits to what the old process still holds; None means that it has ended."""
        if held is None:
            self._share_as_only_process()
        else:
            self._share_with_old_process(held)

    def make_offer(self) -> tuple[Offer, list[int], bytes]:
        """Prepare the offer to a new process that is starting, and reduce the limits to this process's part."""
        self._share(
            shares.old_process_shares(self.sole_process_share), shares.old_process_budget(self.body_budget_bytes)
        )
        files = [self.socket.fileno()] + ([self.peers_socket.fileno()] if self.peers_socket else [])
        held = self.held_resources()
        offer = Offer(
            len(files) > 1, held.clients, held.backends, held.requests, ids=True, held_mb=held.held_mb
        )
        return offer, files, self._encode_learned_state()

    def _encode_learned_state(self) -> bytes:
        node = self.node
        return encode(Beliefs(node.discovery.known(), node.balancer.experience(), node.backends.plan.learned()))

    def on_successor_ready(self) -> None:
        """The new process serves: stop accepting, and close the peer socket in both directions."""
        self.node.lifecycle.move(Cause.NEW_PROCESS_READY)
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        peers, self.node.peers = self.node.peers, None
        if peers is not None and peers.transport is not None:
            peers.transport.close()

    def idle_clients(self, most: int) -> list[int]:
        self.offered_clients = self.server.transferable(most)
        return list(self.offered_clients)

    def on_clients_transferred(self, files: list[int]) -> None:
        for fd in files:
            self.server.transferred(self.offered_clients.pop(fd))

    def held_resources(self) -> Held:
        backends = self.node.backends
        if self.node.lifecycle.hands_over:
            # Each client that is not between two requests may need a backend connection, even before its request is
            # sent.
            active = len(self.server.clients) - len(self.server.idle)
            backends.limit(min(backends.max_connections, max(backends.busy(), active) + SPARE_BACKEND_CONNECTIONS))
            connections = backends.max_connections
        else:
            connections = len(backends.connections)
        held_mb = -(-max(0, self.budget.held()) // shares.MIB)
        return Held(len(self.server.clients), connections, len(self.node.requests), held_mb)

    def on_successor_gone(self) -> None:
        """The new process has gone: resume as the only process of the node, unless this one is ending itself."""
        self.node.log("hand-over: the second process is gone")
        self._share_as_only_process()
        handed = self.node.lifecycle.hands_over
        self.node.lifecycle.move(Cause.NEW_PROCESS_GONE)
        if handed and not self.node.lifecycle.ending:
            self._spawn(self._listen())
            if self.peers_socket is not None:
                self._spawn(self._listen_to_peers())

    # ------------------------------------------------------------ shutdown

    def _close_listener(self, listening: asyncio.Server) -> None:
        """Close the listener after accepting what is in its queue; otherwise the system would reset those connections
        together with requests that they have already sent."""
        listening.close()
        self.listening = None
        for sock in drain_accept_queue(self.socket, MAX_ACCEPT_QUEUE):
            self._spawn(self._serve(sock))
        self.socket.close()

    async def end(self) -> None:
        """Shut down gracefully: answer every request that was taken.

        Without a new process each answer closes its connection; idle connections are closed once no new ones arrive,
        and then the listener, whose queue is empty by then. With a new process, connections are handed over to it.
        """
        node, server, loop = self.node, self.server, self.loop
        since = loop.time()
        node.lifecycle.move(Cause.TERM)
        last = since + SHUTDOWN_MARGIN_S + min(
            MAX_DEADLINE_WAIT_S, max(c.deadline_us for c in node.settings.classes) / 1e6
        )
        while loop.time() < last:
            handed = node.lifecycle.hands_over
            if not handed and loop.time() - since > LISTEN_AFTER_TERM_S:
                if self.listening is not None:
                    self._close_listener(self.listening)
                server.close_idle(NEW_CONNECTION_GRACE_US)
            if not server.clients and not self.tasks and (handed or self.listening is None):
                break
            if not node.closing and last - loop.time() < FINAL_ANSWERS_S:
                node.answer_all()
            await asyncio.sleep(0.02)
        if self.old_process is not None:
            self.old_process.close()
        if self.ops is not None:
            self.ops.close()
        if node.recorder is not None:
            node.recorder.close()
        if node.trace is not None:
            node.trace.close()
        if self.snapshots is not None:
            self.snapshots.shutdown()


def drain_accept_queue(listener: socket.socket, limit: int) -> Iterator[socket.socket]:
    """Accept up to ``limit`` connections that are waiting in a listener's queue."""
    for _ in range(limit):
        try:
            sock, _ = listener.accept()
        except (ConnectionAbortedError, InterruptedError):
            continue
        except OSError:
            return
        sock.setblocking(False)
        yield sock


def open_snapshots(config: Config, node: Node) -> SnapshotSchedule | None:
    """Return the snapshot writer if the operator's file names a folder for snapshots."""
    table = config.operator.snapshot
    if not table.folder:
        return None
    from headspar.snapshot.schedule import SnapshotSchedule

    folder = Path(table.folder.replace("{name}", config.name))
    return SnapshotSchedule(folder, table.every_s, config.name, node, settings_digest(config.raw_settings),
                            node.discovery.offset_us)


def open_recorder(config: Config, node: Node) -> Recorder | None:
    """Return the flight recorder if the operator's file names a file for it."""
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


def open_trace(config: Config, node: Node) -> Trace | None:
    """Return the trace if the operator's file names a file for it."""
    table = config.operator.trace
    if not table.file:
        return None
    from headspar.node.trace import Trace

    path = Path(table.file.replace("{name}", config.name))
    try:
        trace = Trace(path, int(table.size_mb * 1e6), table.lines_per_s, now_us, node.log)
    except OSError as error:
        raise ConfigError(f"trace.file: {path}: {error.strerror}") from None
    node.lifecycle.watchers.append(lambda state: trace.write("state", state=state.value))
    return trace


async def serve(config: Config, inherited: ReceivedOffer | None, reload_wanted: Callable[[], bool]) -> None:
    """Run one node until SIGTERM and the graceful shutdown that follows."""
    process = Process(config, inherited, asyncio.get_running_loop())
    await process.start(reload_wanted)
    await process.stopping.wait()
    await process.end()
