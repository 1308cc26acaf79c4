"""Starts gateways, registries and upstreams that register, as processes on loopback.

Each box has its own IP address in 127.0.0.0/8, as the system identifies boxes by IP address.
"""

from __future__ import annotations

import contextlib
import json
import random
import secrets
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from .fault_proxy import FaultProxy
from .kept_logs import fleet_folder
from .registered_upstream import ACCELERATOR_MB, LAYER_MB

ROOT = Path(__file__).resolve().parent.parent
"""Working directory of the processes, from which they import this package."""

ZONES = ("zone-a", "zone-b", "zone-c")
"""Failure domains; boxes of each kind are spread over them in turn."""

LAYERS = 16
"""Layers of the model; two engines with big accelerators hold all of them."""

KEY = "key-of-the-designers"
"""Key of the only client account, which is never revoked."""

SECOND_KEY = "second-key-of-the-designers"
"""Second key of that account, which tests revoke."""

HOST = "captions.example"
"""Host of all routes."""

# Ports of a box, as offsets from its first one: 0 links, 1 metrics, 2 registry, 3 callers,
# 4 readiness, 5 upstream or its proxy, 6 upstream behind a proxy, 7 relayed connections.
SETTINGS = """
[box]
name = "{name}"
failure_domain = "{zone}"
address = "{ip}"

[cluster]
secret = "loopback-secret-0123456789"
link_port = {port}
metrics_port = {metrics_port}
relay_port = {relay_port}
seeds = [{seeds}]
bootstrap = {bootstrap}

{role}

[bounds]
repeat_reserve = {repeat_reserve}
heartbeat_ms = {heartbeat_ms}
revocation_ms = {revocation_ms}
stop_seconds = 8
"""


@dataclass(kw_only=True)
class Box:
    """A process of the fleet and the command that starts it."""

    name: str
    """Role and number, such as `gateway-0`."""

    ip: str
    """IP address."""

    command: list[str]
    """Command line that starts it."""

    log: Path
    """File that the output of all its instances is appended to."""

    popen: subprocess.Popen[bytes] | None = None
    """Its newest instance."""


@dataclass(kw_only=True)
class DiscoveredFleet:
    """A system of gateways, registries and registered upstreams."""

    folder: Path
    """Folder for settings, logs, ledgers and data."""

    gateways: int = 3
    """Entry boxes to start."""

    registries: int = 3
    """Control boxes to start."""

    revocation_ms: int = 5000
    """Time limit for the revocation of a key, in milliseconds."""

    repeat_reserve: int = 200
    """Repeats that all gateways may make besides the share of requests that they may repeat."""

    memory_mb: int = 0
    """Memory of each machine for the processes' settings, in MB; 0 to leave the setting out."""

    heartbeat_ms: int = 300
    """Time between heartbeats of an upstream, in milliseconds."""

    port: int = 0
    """First port of every box; random."""

    proxy: FaultProxy | None = None
    """Proxy in front of every upstream, or None."""

    boxes: dict[str, Box] = field(default_factory=dict)
    """Processes by name."""

    version: int = 0
    """Newest version that `publish_next` published."""

    document: Callable[..., dict[str, Any]] = field(default_factory=lambda: example_document)
    """Returns the document of a version."""

    client: httpx.Client = field(
        default_factory=lambda: httpx.Client(timeout=10.0, trust_env=False)
    )

    def __post_init__(self) -> None:
        rng = random.Random()
        self.port = rng.randrange(12_000, 30_000, 10)
        self.network = rng.randrange(20, 250)

    def ip(self, role: int, number: int) -> str:
        """Return the IP address of a box.

        Args:
            role: 1 for registries, 2 for gateways, 3 for engines, 4 for plain services.
            number: Number of the box in its role.
        """
        return f"127.{self.network}.{role}.{number + 1}"

    @property
    def memory_setting(self) -> str:
        """Line of the settings with the memory of the machine, if it is set."""
        return f"\nmemory_mb = {self.memory_mb}" if self.memory_mb else ""

    @property
    def control_addresses(self) -> list[str]:
        """Addresses of the registries for upstreams and operators."""
        return [f"{self.ip(1, number)}:{self.port + 2}" for number in range(self.registries)]

    def caller_address(self, number: int) -> str:
        """Return the address of a gateway for callers."""
        return f"{self.ip(2, number)}:{self.port + 3}"

    def ready(self, number: int) -> bool:
        """Return True if a gateway reports that it is ready."""
        url = f"http://{self.ip(2, number)}:{self.port + 4}/api/ready"
        with contextlib.suppress(httpx.HTTPError):
            return self.client.get(url).status_code == 200
        return False

    def write_settings(self, name: str, zone: str, ip: str, role: str, *, bootstrap: bool) -> Path:
        """Write the settings file of a box and return its path."""
        path = self.folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            zone=zone,
            ip=ip,
            port=self.port,
            metrics_port=self.port + 1,
            relay_port=self.port + 7,
            seeds=", ".join(f'"{item}"' for item in self.control_addresses[:3]),
            bootstrap=str(bootstrap).lower(),
            role=role,
            revocation_ms=self.revocation_ms,
            repeat_reserve=self.repeat_reserve,
            heartbeat_ms=self.heartbeat_ms,
        )
        path.write_text(text)
        return path

    def add_registry(self, number: int, *, bootstrap: bool = True) -> str:
        """Start a control box.

        Args:
            number: Its number.
            bootstrap: True for the first start of the whole system; otherwise a box with an empty
                disk joins as a new member.
        """
        name, ip = f"registry-{number}", self.ip(1, number)
        role = (
            f'[registry]\naddress = "{ip}:{self.port + 2}"\n'
            f'data_folder = "{self.folder / name}"{self.memory_setting}'
        )
        zone = ZONES[number % 3]
        path = self.write_settings(name, zone, ip, role, bootstrap=bootstrap)
        command = [sys.executable, "-m", "ledgeladder", "registry", "--settings", str(path)]
        return self.start(name, ip, command)

    def add_gateway(self, number: int) -> str:
        """Start an entry box."""
        name, ip = f"gateway-{number}", self.ip(2, number)
        role = (
            f'[gateway]\ncaller_address = "{ip}:{self.port + 3}"\n'
            f'ready_address = "{ip}:{self.port + 4}"{self.memory_setting}'
        )
        path = self.write_settings(name, ZONES[number % 3], ip, role, bootstrap=True)
        command = [sys.executable, "-m", "ledgeladder", "gateway", "--settings", str(path)]
        return self.start(name, ip, command)

    def add_upstream(self, number: int, pool: str, card: str = "", **options: Any) -> str:
        """Start an upstream.

        Args:
            number: Its number in the pool.
            pool: Its pool.
            card: Type of its accelerator; empty for a plain service.
            options: Further options of `standins.registered_upstream`.
        """
        name, ip = f"{pool}-{number}", self.ip(3 if card else 4, number)
        address = (ip, self.port + 5)
        if self.proxy is not None:
            # The proxy takes the advertised port; the upstream listens on the next one.
            self.proxy.add(address, (ip, self.port + 6))
            options = {"listen": f"{ip}:{self.port + 6}"} | options
        command = [
            sys.executable,
            "-m",
            "standins.registered_upstream",
            f"--address={ip}:{self.port + 5}",
            f"--pool={pool}",
            f"--zone={ZONES[number % 3]}",
            f"--card={card}",
            f"--controls={','.join(self.control_addresses)}",
            f"--ledger={self.folder / (name + '.ledger')}",
            f"--mood={self.folder / (name + '.mood')}",
            f"--heartbeat-ms={self.heartbeat_ms}",
        ]
        command += [f"--{option.replace('_', '-')}={value}" for option, value in options.items()]
        return self.start(name, ip, command)

    def set_response_mode(self, name: str, **mode: Any) -> None:
        """Set how an upstream responds; without arguments it serves normally.

        Args:
            name: The upstream.
            mode: `rest`, the `Retry-After` of refusals, or empty for refusals without one;
                `rest_of_calls`, the same for reports and orders; `leaving`, True to announce
                draining; `limit`, the announced requests a second.
        """
        path = self.folder / f"{name}.mood"
        # Several threads may set it at once; the rename makes each write atomic.
        written = path.with_suffix(f".{secrets.token_hex(4)}")
        written.write_text(json.dumps(mode))
        written.replace(path)

    def start(self, name: str, ip: str, command: list[str]) -> str:
        """Start a process, or a new instance of it."""
        box = self.boxes.setdefault(
            name, Box(name=name, ip=ip, command=command, log=self.folder / f"{name}.log")
        )
        box.command = command
        with box.log.open("ab") as log:
            box.popen = subprocess.Popen(box.command, stdout=log, stderr=log, cwd=ROOT)
        return name

    def restart(self, name: str) -> None:
        """Start a new instance of a process unless one is running."""
        box = self.boxes[name]
        if box.popen is not None and box.popen.poll() is None:
            return
        self.start(name, box.ip, box.command)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this fleet started."""
        popen = self.boxes[name].popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        popen = self.boxes[name].popen
        if popen is not None:
            popen.wait()

    def wait_exit(self, name: str, seconds: float = 15) -> int:
        """Wait for the exit of a process; returns its exit code."""
        popen = self.boxes[name].popen
        assert popen is not None
        return popen.wait(seconds)

    def publish(self, document: dict[str, Any], number: int = 0) -> httpx.Response:
        """Send a document to one registry."""
        url = f"http://{self.control_addresses[number]}/api/config"
        return self.client.put(url, json=document)

    def publish_next(self, **changes: Any) -> dict[str, Any]:
        """Publish the example document with changes as the next version, until it is accepted."""
        self.version += 1
        document = self.document(self.version) | changes

        def accepted() -> bool:
            numbers = range(self.registries)
            with contextlib.suppress(httpx.HTTPError):
                return any(self.publish(document, item).status_code == 200 for item in numbers)
            return False

        wait_until(accepted, 20, "the document accepted")
        return document

    def wipe(self, number: int) -> None:
        """Kill a registry, delete its data, and restart it as a new member."""
        name = f"registry-{number}"
        self.kill(name)
        for path in (self.folder / name).iterdir():
            path.unlink()
        starts = self.count_starts(name)
        self.add_registry(number, bootstrap=False)
        wait_until(lambda: self.count_starts(name) > starts, 20, f"{name} started")

    def count_starts(self, name: str) -> int:
        """Return how often a registry has started, by its log."""
        return sum(line["message"] == "registry starts" for line in self.log(name))

    def upstream_ids(self, name: str) -> set[str]:
        """Return the instance ids in the ledger of an upstream."""
        lines = (self.folder / f"{name}.ledger").read_text().splitlines()
        return {json.loads(line)["upstream"] for line in lines if line.endswith("}")}

    def ledger(self, event: str = "run") -> list[dict[str, Any]]:
        """Return the ledger entries of one kind, in order only for each upstream."""
        lines = []
        for path in self.folder.glob("*.ledger"):
            text = path.read_text().splitlines()
            lines += [json.loads(line) for line in text if line.endswith("}")]
        return [line for line in lines if line["event"] == event]

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of all instances of a process, without incomplete ones."""
        lines = self.boxes[name].log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]


def example_document(version: int) -> dict[str, Any]:
    """Return a document with a streaming, a retryable, an at-most-once and a public route."""

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": 8000,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "public": False,
        } | more

    accelerators = [
        {"name": name, "mb": mb, "pace": 2.0, "read_x": 2.0} for name, mb in ACCELERATOR_MB.items()
    ]
    engine = {
        "kvTokenBytes": 1_000_000,
        "stride": 1,
        "models": [{"name": "m", "load_s": 1.0}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "read_per_s": 100_000.0,
        "loads_at_once": 5,
        "delays": [],
        "usual": {"prompt": 10, "answer": 50},
        "layers": LAYERS,
        "layer_mb": LAYER_MB,
        "kinds": accelerators,
    }
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "engines", resumable=True, gap_aim_ms=200),
            route("status", "safe", "services"),
            route("preview", "unsafe", "services", maxAttempts=1),
            route("open", "safe", "services", public=True),
        ],
        "services": [
            {"name": "engines", "maxConnections": 100, "engine": engine},
            {"name": "services", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "designers", "apiKeys": [KEY, SECOND_KEY], "priority": 1}],
    }


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: If the condition is not met in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not in {seconds} s: {what}")
        time.sleep(0.05)


@contextlib.contextmanager
def running_discovered_fleet(**options: Any) -> Iterator[DiscoveredFleet]:
    """Run a system with its upstreams; on exit, kill every process that it started.

    Args:
        options: Fields of `DiscoveredFleet`, and also: `engines` (6) and `services` (3), the
            numbers of upstreams; `cut_gateways`, those that are cut off from all upstreams;
            `fail_share`, the share of plain requests that services fail; `crash_word`, a word in a
            request's body that crashes the upstream that executes it; `crash_part`, a prompt's part
            that crashes the engine that begins to write on it; `engine_slots`, the streams that an
            engine runs at once (0: without a bound); `backlog`, the connections that the kernel of
            an upstream accepts before the process does (0: the usual number); `in_step`, True if a
            stream waits for all engines of its path; `keep_ids`, True if upstreams keep their
            instance ids over restarts.

    Yields:
        The system when every gateway is ready. Engines may not hold their layers yet.
    """
    engines = options.pop("engines", 6)
    services = options.pop("services", 3)
    fail_share = options.pop("fail_share", 0.0)
    crash_word = options.pop("crash_word", "")
    crash_part = options.pop("crash_part", "")
    keep_ids = options.pop("keep_ids", False)
    engine_slots = options.pop("engine_slots", 0)
    backlog = options.pop("backlog", 0)
    in_step = options.pop("in_step", False)
    cut_gateways = options.pop("cut_gateways", ())
    with fleet_folder() as folder:
        fleet = DiscoveredFleet(folder=folder, **options)
        unreachable_from = ",".join(fleet.ip(2, number) for number in cut_gateways)
        try:
            for number in range(fleet.registries):
                fleet.add_registry(number)
            for number in range(fleet.gateways):
                fleet.add_gateway(number)
            for number in range(engines):
                instance = f"e-{number}" if keep_ids else ""
                fleet.add_upstream(
                    number,
                    "engines",
                    "big",
                    crash_word=crash_word,
                    crash_part=crash_part,
                    instance=instance,
                    slots=engine_slots,
                    in_step=int(in_step),
                    backlog=backlog,
                    unreachable_from=unreachable_from,
                )
            for number in range(services):
                instance = f"s-{number}" if keep_ids else ""
                fleet.add_upstream(
                    number,
                    "services",
                    fail_share=fail_share,
                    crash_word=crash_word,
                    instance=instance,
                    backlog=backlog,
                    unreachable_from=unreachable_from,
                )
            fleet.publish_next()
            numbers = range(fleet.gateways)
            wait_until(lambda: all(fleet.ready(item) for item in numbers), 30, "gateways ready")
            yield fleet
        finally:
            for name in fleet.boxes:
                fleet.signal(name, signal.SIGCONT)
                fleet.kill(name)
            fleet.client.close()
            if fleet.proxy is not None:
                fleet.proxy.close()
