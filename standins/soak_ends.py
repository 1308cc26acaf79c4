"""Faults that must end no process: ports held, signals, resets, blocked output, lowered limits.

The faults and the checks of the soak with `--ends`. Processes are also killed, in series, and are
started again like those of the users' platform.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import random
import resource
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from .discovered_fleet import ROOT, DiscoveredFleet, wait_until
from .resets import HEAD, reset_connections

DAEMON_PORTS = {"registry": (0, 1, 2), "gateway": (1, 3, 4, 7)}
"""Ports of a box by role, as offsets from its first one."""

POLL_SECONDS = 0.02
"""Time between two looks at the processes."""

RESTART_SECONDS = 0.1
"""Time after which a process that ended is started again."""

STOP_SECONDS = 30.0
"""Time limit for a planned stop."""

BURST_ROUNDS = 30
"""Rounds of reset connections at one port."""

HELD_CONNECTIONS = 60
"""Connections that use up lowered descriptors."""

SPARE_MEMORY_MB = (48, 96, 192)
"""Address space left to a process whose memory is lowered."""

MB = 1024 * 1024
"""Bytes of a megabyte."""

CLOSED_OUTPUT = ("sh", "-c", 'exec "$0" "$@" >&-')
"""Prefix of a command whose standard output is closed from the start."""

CLOSED_OUTPUTS = ("sh", "-c", 'exec "$0" "$@" >&- 2>&-')
"""Prefix of a command whose standard output and standard error are closed from the start."""

KINDS = ("ports", "signals", "signals", "kills", "resets", "resets", "output", "limits")
"""Kinds of faults."""


@dataclass(kw_only=True)
class Ends:
    """Faults of one seed and what they did to the processes."""

    fleet: DiscoveredFleet
    """The system."""

    rng: random.Random
    """Random source of the faults."""

    faults: list[str] = field(default_factory=list)
    """Injected faults in order."""

    deadly: dict[int, set[int]] = field(default_factory=dict)
    """Signals sent to a process, by its id, that may end it."""

    noted: set[int] = field(default_factory=set)
    """Processes whose end was noted."""

    early_hang_ups: int = 0
    """Processes that SIGHUP ended before the program ignored it."""

    violations: list[str] = field(default_factory=list)
    """Processes that ended without a signal sent to them that may end them."""

    open_ends: list[int] = field(default_factory=list)
    """Read ends of blocked outputs."""

    @property
    def daemons(self) -> list[str]:
        """Names of the processes under test."""
        return [name for name in self.fleet.boxes if name.startswith(tuple(DAEMON_PORTS))]


def ports(ends: Ends, name: str) -> list[tuple[str, int]]:
    """Return the addresses that a process listens on."""
    offsets = DAEMON_PORTS[name.partition("-")[0]]
    return [(ends.fleet.boxes[name].ip, ends.fleet.port + offset) for offset in offsets]


def ignores_hang_up(status: str) -> bool:
    r"""Return True if a process ignores or handles SIGHUP.

    Args:
        status: Text of `/proc/PID/status`.

    >>> ignores_hang_up("SigBlk:\t0\nSigIgn:\t0000000000000001\nSigCgt:\t0000000000000000\n")
    True
    >>> ignores_hang_up("SigBlk:\t1\nSigIgn:\t0000000000001000\nSigCgt:\t0000000000000002\n")
    False
    """
    masks = dict(line.split(":\t", 1) for line in status.splitlines() if line.startswith("Sig"))
    mask = 1 << (signal.SIGHUP - 1)
    return any(int(masks.get(name, "0"), 16) & mask for name in ("SigIgn", "SigCgt"))


def send(ends: Ends, name: str, number: int) -> None:
    """Send a signal to a process, and record whether it may end it."""
    popen = ends.fleet.boxes[name].popen
    if popen is None or popen.poll() is not None:
        return
    is_deadly = number in (signal.SIGKILL, signal.SIGTERM)
    if number == signal.SIGHUP:
        with contextlib.suppress(OSError):
            is_deadly = not ignores_hang_up(Path(f"/proc/{popen.pid}/status").read_text())
    if is_deadly:
        ends.deadly.setdefault(popen.pid, set()).add(number)
    popen.send_signal(number)


def kill(ends: Ends, name: str) -> None:
    """Kill a process and wait for its exit."""
    send(ends, name, signal.SIGKILL)
    popen = ends.fleet.boxes[name].popen
    assert popen is not None
    popen.wait()
    note_end(ends, name)


def note_end(ends: Ends, name: str) -> bool:
    """Judge the end of a process, once; returns True if it has ended."""
    box = ends.fleet.boxes[name]
    code = box.popen.poll() if box.popen is not None else None
    if box.popen is None or code is None:
        return False
    if box.popen.pid in ends.noted:
        return True
    ends.noted.add(box.popen.pid)
    sent = ends.deadly.get(box.popen.pid, set())
    if -code in sent or (code == 0 and signal.SIGTERM in sent):
        ends.early_hang_ups += -code == signal.SIGHUP
        return True
    last = ends.fleet.log(name)[-1:]
    details = [f"{line.get('message')} {line.get('detail', '')}".strip() for line in last]
    fault = ends.faults[-1] if ends.faults else "no fault yet"
    ends.violations.append(f"{name} ended by itself with {code} in {fault}: {details}")
    return True


def watch(ends: Ends) -> None:
    """Judge the ends of all processes, and start those again that have ended."""
    ended = [name for name in ends.daemons if note_end(ends, name)]
    if ended:
        time.sleep(RESTART_SECONDS)
    for name in ended:
        ends.fleet.restart(name)


def pause(ends: Ends, seconds: float) -> None:
    """Watch the processes for some time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        watch(ends)
        time.sleep(POLL_SECONDS)


def inject_fault(ends: Ends) -> None:
    """Inject one random fault and undo it."""
    kind = ends.rng.choice(KINDS)
    actions: dict[str, Callable[[Ends], None]] = {
        "ports": hold_ports,
        "signals": send_signals,
        "kills": kill_in_series,
        "resets": reset_in_series,
        "output": disturb_output,
        "limits": lower_limits,
    }
    actions[kind](ends)


def hold_ports(ends: Ends) -> None:
    """Hold ports of a process while it starts, by listeners or as an outgoing connection would."""
    rng = ends.rng
    name = rng.choice(ends.daemons)
    addresses = ports(ends, name)
    chosen = rng.sample(addresses, rng.randrange(1, len(addresses) + 1))
    listening, seconds = rng.random() < 0.5, rng.uniform(0.3, 2.0)
    offsets = sorted(port - ends.fleet.port for _, port in chosen)
    ends.faults.append(f"ports {offsets} of {name} held for {seconds:.1f} s")
    kill(ends, name)
    with contextlib.ExitStack() as stack:
        for address in chosen:
            holder = stack.enter_context(socket.socket())
            hold_port(holder, address, listening=listening)
        ends.fleet.restart(name)
        pause(ends, seconds)


def hold_port(holder: socket.socket, address: tuple[str, int], *, listening: bool) -> None:
    """Bind a socket to a port that a killed process has just left."""
    if listening:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        holder.bind(address)
    except OSError as error:
        # Closed connections of the process keep the port for a socket without SO_REUSEADDR.
        if listening or error.errno != errno.EADDRINUSE:
            raise
        return
    if listening:
        holder.listen(1)


def send_signals(ends: Ends) -> None:
    """Send signals in series, to processes that run or from the first millisecond of a start."""
    rng = ends.rng
    names = rng.sample(ends.daemons, rng.randrange(1, len(ends.daemons) + 1))
    is_start = rng.random() < 0.7
    stopped = rng.choice(names) if rng.random() < 0.3 else ""
    count, longest = rng.randrange(2, 12), rng.choice((0.003, 0.02, 0.1))
    when = "at a start" if is_start else "while running"
    ends.faults.append(f"SIGHUP {count} times {when} of {names}, SIGTERM of {stopped or 'none'}")
    if is_start:
        for name in names:
            kill(ends, name)
        for name in names:
            ends.fleet.restart(name)
    for number in range(count):
        for name in names:
            send(ends, name, signal.SIGHUP)
        if stopped and number == count // 2:
            send(ends, stopped, signal.SIGTERM)
        time.sleep(rng.uniform(0.0, longest))
    if stopped:
        what = f"{stopped} ended after SIGTERM"
        wait_until(lambda: note_end(ends, stopped), STOP_SECONDS, what)
    watch(ends)


def kill_in_series(ends: Ends) -> None:
    """Kill some processes or all of one role again and again, shortly after each start."""
    rng = ends.rng
    role = rng.choice(list(DAEMON_PORTS))
    of_role = [name for name in ends.daemons if name.startswith(role)]
    names = of_role if rng.random() < 0.3 else rng.sample(ends.daemons, rng.randrange(1, 4))
    gaps = [rng.uniform(0.0, 0.7) for _ in range(rng.randrange(2, 6))]
    ends.faults.append(f"{len(gaps)} kills of {names}")
    for gap in gaps:
        for name in names:
            kill(ends, name)
        for name in names:
            ends.fleet.restart(name)
        pause(ends, gap)


def reset_in_series(ends: Ends) -> None:
    """Reset connections at one port again and again, at times while the process is suspended."""
    rng = ends.rng
    name = rng.choice(ends.daemons)
    address = rng.choice(ports(ends, name))
    suspended = rng.random() < 0.3
    data = rng.choice((b"", b"", HEAD, HEAD[:20], rng.randbytes(64)))
    offset = address[1] - ends.fleet.port
    state = "suspended" if suspended else "running"
    ends.faults.append(f"resets at port {offset} of {name}, {state}, {len(data)} bytes sent")
    if suspended:
        send(ends, name, signal.SIGSTOP)
        reset_connections(address, 40, data)
        send(ends, name, signal.SIGCONT)
        return
    for _ in range(BURST_ROUNDS):
        reset_connections(address, 5, data)
        pause(ends, 0.01)


def disturb_output(ends: Ends) -> None:
    """Start a process whose standard output is closed, has no reader or is never read."""
    rng = ends.rng
    name = rng.choice(ends.daemons)
    way = rng.choice(("closed", "both closed", "no reader", "never read"))
    ends.faults.append(f"output of {name} {way}")
    kill(ends, name)
    box = ends.fleet.boxes[name]
    prefix = {"closed": CLOSED_OUTPUT, "both closed": CLOSED_OUTPUTS}.get(way, ())
    read_end, write_end = os.pipe()
    with box.log.open("ab") as log:
        output = log.fileno() if prefix else write_end
        box.popen = subprocess.Popen([*prefix, *box.command], stdout=output, stderr=log, cwd=ROOT)
    if way == "never read":
        fill_pipe(write_end)
        ends.open_ends.append(read_end)
    else:
        os.close(read_end)
    os.close(write_end)
    pause(ends, rng.uniform(0.5, 1.5))


def fill_pipe(write_end: int) -> None:
    """Fill a pipe, so that the next write blocks."""
    size = fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    os.write(write_end, b"\n" * size)


def lower_limits(ends: Ends) -> None:
    """Lower the descriptors or the memory of a process for a while, and connect to its ports."""
    rng = ends.rng
    name = rng.choice(ends.daemons)
    popen = ends.fleet.boxes[name].popen
    assert popen is not None
    kind, spare = rng.choice(("descriptors", "memory")), rng.choice(SPARE_MEMORY_MB)
    free, seconds = rng.randrange(0, 20), rng.uniform(0.3, 1.5)
    amount = f"{free} descriptors" if kind == "descriptors" else f"{spare} MB"
    ends.faults.append(f"{amount} left to {name} for {seconds:.1f} s")
    which = resource.RLIMIT_NOFILE if kind == "descriptors" else resource.RLIMIT_AS
    try:
        used = len(os.listdir(f"/proc/{popen.pid}/fd"))
        pages = int(Path(f"/proc/{popen.pid}/statm").read_text().split()[0])
        before = resource.prlimit(popen.pid, which)
        lowered = used + free if kind == "descriptors" else pages * resource.getpagesize()
        lowered += 0 if kind == "descriptors" else spare * MB
        resource.prlimit(popen.pid, which, (lowered, before[1]))
    except (OSError, ValueError):
        # The process has just ended.
        return
    with contextlib.ExitStack() as stack:
        for number in range(HELD_CONNECTIONS):
            caller = stack.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(ports(ends, name)[number % len(ports(ends, name))])
        pause(ends, seconds)
    if popen.poll() is None:
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(popen.pid, which, before)


def undo(ends: Ends) -> None:
    """Resume all processes and give up blocked outputs."""
    for name in ends.daemons:
        send(ends, name, signal.SIGCONT)
    for descriptor in ends.open_ends:
        os.close(descriptor)
    ends.open_ends.clear()
    watch(ends)
