"""A fault-injecting TCP and UDP proxy between the processes of a fleet.

It runs on its own thread, independent of the test that changes the faults. A fault applies between
a source and a target failure domain, identified by IP address, or to one target.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from .packet_filter import drop_from, drop_nothing


@dataclass(frozen=True, kw_only=True)
class Fault:
    """Faults injected into connections."""

    refuse: bool = False
    """Resets new and open connections."""

    drop_to_target: bool = False
    """Drops bytes sent to the target; the connection stays open."""

    drop_from_target: bool = False
    """Drops bytes sent by the target; the connection stays open."""

    delay: float = 0.0
    """Delay of each chunk, in seconds."""

    bytes_per_second: float = 0.0
    """Bandwidth limit; 0 for none."""


CUT = Fault(drop_to_target=True, drop_from_target=True)
"""Drops bytes both ways without closing connections, as a failed switch does."""

NO_FAULT = Fault()


class OpenConnections(Enum):
    """What happens to open connections of a host whose packets are dropped."""

    HANG = "hang"
    """Their packets are dropped as well."""

    RESET = "reset"
    """They are reset."""

    LIVE_ON = "live on"
    """They work, while new ones hang."""


@dataclass(kw_only=True)
class Target:
    """One proxied address and its open connections."""

    listen: tuple[str, int]
    forward: tuple[str, int]
    writers: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    listener: socket.socket | None = None


class DatagramForwarder(asyncio.DatagramProtocol):
    """Forwards datagrams to a target; replies are sent directly, as datagrams of their own."""

    def __init__(self, proxy: FaultProxy, target: Target) -> None:
        self.proxy = proxy
        self.target = target

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        fault = self.proxy._fault(addr[0], self.target)
        if not (fault.refuse or fault.drop_to_target):
            self.transport.sendto(data, self.target.forward)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, which `abort` alone would close in order."""
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        # A linger time of 0 s resets the connection when it is closed.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class FaultProxy:
    """All proxied addresses of a fleet."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.targets: dict[tuple[str, int], Target] = {}
        self.host_faults: dict[tuple[str, str], Fault] = {}
        self.target_faults: dict[tuple[str, int], Fault] = {}
        self.filtered: list[socket.socket] = []
        self.thread.start()

    def add(self, listen: tuple[str, int], forward: tuple[str, int]) -> None:
        """Proxy one address."""
        target = Target(listen=listen, forward=forward)
        self.targets[listen] = target

        async def start() -> None:
            target.listener = socket.create_server(listen)
            await asyncio.start_server(lambda r, w: self._serve(target, r, w), sock=target.listener)
            await self.loop.create_datagram_endpoint(
                lambda: DatagramForwarder(self, target), local_addr=listen
            )

        asyncio.run_coroutine_threadsafe(start(), self.loop).result(5)

    def set_between(self, source_host: str, target_host: str, fault: Fault) -> None:
        """Set the fault from one failure domain to another, by IP address."""
        self.host_faults[(source_host, target_host)] = fault
        self._apply_faults()

    def set_target(self, listen: tuple[str, int], fault: Fault) -> None:
        """Set the fault of one proxied address."""
        self.target_faults[listen] = fault
        self._apply_faults()

    def isolate(self, host: str, others: list[str], fault: Fault = CUT) -> None:
        """Isolate one failure domain from all others, both ways."""
        for other in others:
            if other != host:
                self.host_faults[(host, other)] = fault
                self.host_faults[(other, host)] = fault
        self._apply_faults()

    def drop_packets(
        self,
        hosts: Iterable[str],
        open_connections: OpenConnections,
        target_hosts: Iterable[str] | None = None,
    ) -> None:
        """Drop all packets of some hosts, so that their new connections hang.

        Args:
            hosts: IP addresses of the hosts.
            open_connections: What happens to their open connections.
            target_hosts: IP addresses of the targets; None for all.
        """
        sources = frozenset(hosts)
        targets = [
            target
            for target in self.targets.values()
            if target_hosts is None or target.listen[0] in target_hosts
        ]
        self._run_on_loop(lambda: self._drop_packets(sources, targets, open_connections))

    def accept_packets(self) -> None:
        """Stop dropping packets; connections that hang go on."""
        self._run_on_loop(self._stop_dropping)

    def _drop_packets(
        self, hosts: frozenset[str], targets: list[Target], open_connections: OpenConnections
    ) -> None:
        self._stop_dropping()
        for target in targets:
            assert target.listener is not None
            drop_from(target.listener, hosts)
            self.filtered.append(target.listener)
            for writer, source_host in list(target.writers.items()):
                if source_host not in hosts:
                    continue
                if open_connections is OpenConnections.RESET:
                    reset(writer)
                elif open_connections is OpenConnections.HANG:
                    accepted = writer.get_extra_info("socket")
                    drop_from(accepted, hosts)
                    self.filtered.append(accepted)

    def _stop_dropping(self) -> None:
        for filtered in self.filtered:
            with contextlib.suppress(OSError):
                drop_nothing(filtered)
        self.filtered.clear()

    def heal(self) -> None:
        """Remove all faults and reset all connections, as some may have lost bytes."""
        self.host_faults.clear()
        self.target_faults.clear()
        self._run_on_loop(self._stop_dropping)
        self._run_on_loop(self._reset_all)

    def close(self) -> None:
        """Reset all connections and stop the proxy."""
        self._run_on_loop(self._reset_all)
        asyncio.run_coroutine_threadsafe(self._cancel_tasks(), self.loop).result(5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _fault(self, source_host: str, target: Target) -> Fault:
        between = self.host_faults.get((source_host, target.listen[0]))
        return between or self.target_faults.get(target.listen, NO_FAULT)

    def _run_on_loop(self, work: Callable[[], None]) -> None:
        done = threading.Event()

        def run() -> None:
            work()
            done.set()

        self.loop.call_soon_threadsafe(run)
        done.wait(5)

    def _apply_faults(self) -> None:
        self._run_on_loop(self._reset_refused)

    def _reset_refused(self) -> None:
        for target in self.targets.values():
            for writer, source_host in list(target.writers.items()):
                if self._fault(source_host, target).refuse:
                    reset(writer)

    def _reset_all(self) -> None:
        for target in self.targets.values():
            for writer in list(target.writers):
                reset(writer)

    async def _serve(
        self, target: Target, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source_host = writer.get_extra_info("peername")[0]
        fault = self._fault(source_host, target)
        if fault.refuse:
            reset(writer)
            return
        target.writers[writer] = source_host
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(*target.forward)
            target.writers[target_writer] = source_host
            await asyncio.gather(
                self._pump(target, source_host, reader, target_writer, to_target=True),
                self._pump(target, source_host, target_reader, writer, to_target=False),
            )
        except OSError:
            # One side was reset, which the other side must see as such.
            for side in (writer, target_writer):
                if side is not None:
                    reset(side)
        finally:
            for side in (writer, target_writer):
                if side is not None:
                    target.writers.pop(side, None)
                    side.transport.abort()

    async def _pump(
        self,
        target: Target,
        source_host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> None:
        while data := await reader.read(65536):
            fault = self._fault(source_host, target)
            if fault.drop_to_target if to_target else fault.drop_from_target:
                continue
            pause = fault.delay
            if fault.bytes_per_second:
                pause += len(data) / fault.bytes_per_second
            if pause:
                await asyncio.sleep(pause)
            writer.write(data)
            await writer.drain()
        fault = self._fault(source_host, target)
        if not (fault.drop_to_target if to_target else fault.drop_from_target):
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
