"""Starts a whole system as processes on loopback, and controls these processes."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import httpx

from .fault_proxy import FaultProxy
from .kept_logs import fleet_folder

SECRET = "fleet-secret-0123456789"
OPERATOR_TOKEN = "operator-token-of-the-fleet"
DOMAINS = ("domain-a", "domain-b", "domain-c")
LAYERS = 32
ROOT = Path(__file__).resolve().parent.parent


def sha256(text: str) -> str:
    """Return the hexadecimal SHA-256 of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def domain_host(domain: str) -> str:
    """Return the IP address of a failure domain."""
    return f"127.0.{10 + DOMAINS.index(domain)}.1"


def free_port(host: str, rng: random.Random) -> int:
    """Return the first of two adjacent free ports below the ephemeral range."""
    while True:
        port = rng.randrange(10_000, 32_000, 2)
        with contextlib.ExitStack() as stack:
            try:
                for offset in (0, 1):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port + offset))
            except OSError:
                continue
            return port


@dataclass(kw_only=True)
class Process:
    """A process of the fleet and the command that starts it."""

    name: str
    domain: str
    command: list[str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.popen is not None
        return self.popen.pid


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Parameters of one stand-in engine."""

    name: str
    domain: str
    first: int
    end: int
    layer_seconds: float
    batch_limit: int = 64
    ignore_fences: bool = False


def default_engines(domains: tuple[str, ...] = DOMAINS, scale: float = 1.0) -> list[EngineSpec]:
    """Return four engines for each domain, of two speeds and with overlapping layer ranges."""
    engines = []
    for domain in domains:
        letter = domain[-1]
        fast, slow = 0.0003 * scale, 0.0006 * scale
        engines += [
            EngineSpec(name=f"fast-{letter}1", domain=domain, first=0, end=16, layer_seconds=fast),
            EngineSpec(name=f"fast-{letter}2", domain=domain, first=16, end=32, layer_seconds=fast),
            EngineSpec(name=f"slow-{letter}1", domain=domain, first=0, end=20, layer_seconds=slow),
            EngineSpec(name=f"slow-{letter}2", domain=domain, first=12, end=32, layer_seconds=slow),
        ]
    return engines


@dataclass(kw_only=True)
class Fleet:
    """A system of control, entry and stand-in processes."""

    folder: Path
    engines: list[EngineSpec] = field(default_factory=default_engines)
    entries_per_domain: tuple[int, ...] = (3, 3, 2)
    controls: int = 3
    services: int = 3
    proxied: bool = False
    platform_lag: float = 1.0
    snapshot_entries: int = 200
    route_choice: str = "better-of-two"
    stall_seconds: float = 0.0
    """Fixed stall timeout of the entries; 0 to derive it from the pace of each stream."""
    stop_limit_seconds: float = 0.0
    """How long an entry that stops waits for requests in progress; 0 for the default."""
    memory_mb: int = 0
    """Memory of each box by the settings, in MB; 0 for the default."""
    spare_controls: int = 0
    """Additional listed control boxes, which start with an empty folder, as learners."""
    processes: dict[str, Process] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    """Advertised address by process name; `NAME/link` and `NAME/operator` for other interfaces."""
    proxy: FaultProxy | None = None
    reserved_ports: set[tuple[str, int]] = field(default_factory=set)
    client: httpx.Client = field(
        default_factory=lambda: httpx.Client(
            trust_env=False,
            verify=False,
            timeout=60,
            limits=httpx.Limits(max_keepalive_connections=0),
        )
    )
    """Shared by all calls, as creating a client loads certificates, which is slow.

    Keeps no connections alive: a server may close an idle one at the moment of its reuse.
    """
    rng: random.Random = field(default_factory=lambda: random.Random(os.getpid()))

    # -- layout -----------------------------------------------------------------------------

    @property
    def entry_names(self) -> list[str]:
        """Names of the entry boxes."""
        return [name for name in self.processes if name.startswith("entry-")]

    @property
    def control_names(self) -> list[str]:
        """Names of the control boxes."""
        return [name for name in self.processes if name.startswith("control-")]

    def reserve(self, name: str, domain: str, *, proxied: bool, pair: bool = False) -> str:
        """Reserve an advertised address; returns the address to listen on."""
        host = domain_host(domain)
        port = self.reserve_port(host)
        self.addresses[name] = f"{host}:{port}"
        if not (self.proxied and proxied):
            return f"{host}:{port}"
        assert self.proxy is not None
        inner = self.reserve_port(host)
        for offset in range(2 if pair else 1):
            self.proxy.add((host, port + offset), (host, inner + offset))
        return f"{host}:{inner}"

    def reserve_port(self, host: str) -> int:
        """Reserve and return a free port that this fleet does not use yet."""
        while True:
            port = free_port(host, self.rng)
            if (host, port) not in self.reserved_ports:
                self.reserved_ports.add((host, port))
                return port

    def start(self) -> None:
        """Start all processes and the proxy."""
        if self.proxied:
            self.proxy = FaultProxy()
        self._add_upstreams()
        self._add_controls()
        self._add_entries()
        for name in self.control_names[: self.controls]:
            subprocess.run(
                [*self.processes[name].command, "format"], check=True, env=_environment()
            )
        for name in self.processes:
            self.launch(name)

    def _add_upstreams(self) -> None:
        store = self.reserve("platform", DOMAINS[0], proxied=False)
        for spec in self.engines:
            listen = self.reserve(spec.name, spec.domain, proxied=True, pair=True)
            command = [
                *(sys.executable, "-m", "standins.engine", spec.name, listen),
                *(str(spec.first), str(spec.end), str(spec.layer_seconds)),
                *("--advertised", self.addresses[spec.name], "--store", store),
                *("--batch-limit", str(spec.batch_limit)),
            ]
            if spec.ignore_fences:
                command.append("--ignore-fences")
            self._add(spec.name, spec.domain, command)
        for number in range(self.services):
            domain = DOMAINS[number % len(DOMAINS)]
            name = f"service-{number + 1}"
            listen = self.reserve(name, domain, proxied=True)
            self._add(name, domain, [sys.executable, "-m", "standins.service", listen])
        lag = str(self.platform_lag)
        command = [sys.executable, "-m", "standins.platform", store, lag]
        self._add("platform", DOMAINS[0], command)

    def _add_controls(self) -> None:
        listens = {}
        for number in range(self.controls + self.spare_controls):
            name = f"control-{number + 1}"
            domain = DOMAINS[number % len(DOMAINS)]
            listens[name] = (
                domain,
                self.reserve(f"{name}/link", domain, proxied=True),
                self.reserve(f"{name}/operator", domain, proxied=False),
            )
        for name, (domain, link, operator) in listens.items():
            text = _box_settings(name, domain) + "\n".join(
                [
                    "[control]",
                    f'data_folder = "{self.folder / name}"',
                    f"snapshot_entries = {self.snapshot_entries}",
                    f"memory_mb = {self.memory_mb}",
                    f'listen_link_address = "{link}"',
                    f'listen_operator_address = "{operator}"',
                    "[[operators]]",
                    'name = "fleet"',
                    f'token_sha256 = "{sha256(OPERATOR_TOKEN)}"',
                    self._controls_text(list(listens)),
                ]
            )
            self._add(name, domain, self._daemon("control", name, text))

    def _add_entries(self) -> None:
        listens = {}
        for index, count in enumerate(self.entries_per_domain):
            domain = DOMAINS[index]
            for number in range(count):
                name = f"entry-{domain[-1]}{number + 1}"
                caller = self.reserve(name, domain, proxied=False)
                link = self.reserve(f"{name}/link", domain, proxied=True)
                listens[name] = (domain, caller, link)
        for name, (domain, caller, link) in listens.items():
            text = _box_settings(name, domain) + "\n".join(
                [
                    "[entry]",
                    f'caller_address = "{caller}"',
                    f'link_address = "{link}"',
                    "stop_notice_seconds = 0.3",
                    f"memory_mb = {self.memory_mb}",
                    f'route_choice = "{self.route_choice}"',
                    f"stall_seconds = {self.stall_seconds}" if self.stall_seconds else "",
                    (
                        f"stop_limit_seconds = {self.stop_limit_seconds}"
                        if self.stop_limit_seconds
                        else ""
                    ),
                    "[platform]",
                    f'box_list_url = "http://{self.addresses["platform"]}/boxes"',
                    self._controls_text(self.control_names),
                    *(
                        f'[[entries]]\nname = "{other}"\nfailure_domain = "{other_domain}"\n'
                        f'link_address = "{self.addresses[f"{other}/link"]}"'
                        for other, (other_domain, _, _) in listens.items()
                    ),
                ]
            )
            self._add(name, domain, self._daemon("entry", name, text))

    def _controls_text(self, names: list[str]) -> str:
        settings = []
        for name in names:
            domain = DOMAINS[(int(name.rpartition("-")[2]) - 1) % len(DOMAINS)]
            settings.append(
                f'[[controls]]\nname = "{name}"\nfailure_domain = "{domain}"\n'
                f'link_address = "{self.addresses[f"{name}/link"]}"\n'
                f'operator_address = "{self.addresses[f"{name}/operator"]}"'
            )
        return "\n".join(settings)

    def _daemon(self, role: str, name: str, text: str) -> list[str]:
        path = self.folder / f"{name}.toml"
        path.write_text(text, encoding="utf-8")
        return [sys.executable, "-m", "ledgeladder", role, "--settings", str(path)]

    def _add(self, name: str, domain: str, command: list[str]) -> None:
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(name=name, domain=domain, command=command, log=log)

    # -- processes --------------------------------------------------------------------------

    def launch(self, name: str) -> None:
        """Start one process."""
        process = self.processes[name]
        with open(process.log, "ab") as log:
            process.popen = subprocess.Popen(
                process.command, stdout=log, stderr=log, env=_environment(), cwd=ROOT
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        popen = self.processes[name].popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        popen = self.processes[name].popen
        if popen is not None:
            popen.wait(10)

    def terminate(self, name: str, timeout: float = 30.0) -> int:
        """Send SIGTERM to one process; returns its exit code."""
        self.signal(name, signal.SIGTERM)
        popen = self.processes[name].popen
        assert popen is not None
        return popen.wait(timeout)

    def stop(self) -> None:
        """Stop all processes and the proxy; kill processes that do not exit in time."""
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + 8.0
        for process in self.processes.values():
            if process.popen is None:
                continue
            try:
                process.popen.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.popen.kill()
                process.popen.wait(5)
        if self.proxy is not None:
            self.proxy.close()

    # -- calls ------------------------------------------------------------------------------

    def url(self, name: str) -> str:
        """Return the base URL of an entry, engine, service or the platform."""
        return f"http://{self.addresses[name]}"

    def cli(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run an operator command against all control boxes."""
        controls = ",".join(self.addresses[f"{name}/operator"] for name in self.control_names)
        environment = _environment() | {"LEDGELADDER_TOKEN": OPERATOR_TOKEN}
        return subprocess.run(
            [sys.executable, "-m", "ledgeladder", *words, f"--controls={controls}"],
            env=environment,
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )

    def operator(self, name: str, path: str, body: Any = None) -> httpx.Response:
        """Send one control box a request with the operator token."""
        url = f"http://{self.addresses[f'{name}/operator']}{path}"
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        if body is None:
            return self.client.get(url, headers=headers, timeout=8)
        return self.client.post(url, headers=headers, json=body, timeout=8)

    def status(self, name: str) -> dict[str, Any] | None:
        """Return the status of one control box, or None if it does not respond."""
        try:
            return dict(self.operator(name, "/v1/status").json())
        except (httpx.HTTPError, ValueError):
            return None

    def leader(self) -> str | None:
        """Return the leader with the highest term, or None."""
        leaders = []
        for name in self.control_names:
            popen = self.processes[name].popen
            if popen is None or popen.poll() is not None:
                continue
            status = self.status(name)
            if status is not None and status["role"] == "leader":
                leaders.append((status["term"], name))
        return max(leaders)[1] if leaders else None

    def configuration_text(self, version: str = "") -> str:
        """Return the change file for this fleet; engines load the weights of `version`."""
        parts = [
            '[[priorities]]\nname = "urgent"\nrank = 0',
            '[[priorities]]\nname = "batch"\nrank = 60',
            '[[policies]]\nname = "fair"\nsource = """\n' + DEMO_POLICY + '"""',
            '[[pipelines]]\nname = "captions"\nmodel = "caption-model"\n'
            f'layers = {LAYERS}\npolicy = "fair"\ndeadline_seconds = 30.0',
        ]
        if self.services:
            names = ", ".join(f'"service-{number + 1}"' for number in range(self.services))
            parts.append(
                f'[[pipelines]]\nname = "previews"\nservices = [{names}]\ndeadline_seconds = 10.0'
            )
        for name, priority in (("nilayam", "urgent"), ("citaverde", "urgent"), ("batch", "batch")):
            parts.append(
                f'[[accounts]]\nname = "{name}"\nkey = "key-of-{name}"\npriority = "{priority}"\n'
                "rate = 100000.0\nconcurrency = 100000"
            )
        for spec in self.engines:
            parts.append(
                f'[[upstreams]]\nname = "{spec.name}"\nkind = "engine"\n'
                f'address = "{self.addresses[spec.name]}"\nfailure_domain = "{spec.domain}"\n'
                f'model = "caption-model"\nfirst_layer = {spec.first}\nend_layer = {spec.end}\n'
                f'layers_per_second = {1 / spec.layer_seconds:.1f}\nversion = "{version}"\n'
                f"checks_fences = {str(not spec.ignore_fences).lower()}"
            )
        for number in range(self.services):
            name = f"service-{number + 1}"
            parts.append(
                f'[[upstreams]]\nname = "{name}"\nkind = "service"\n'
                f'address = "{self.addresses[name]}"\n'
                f'failure_domain = "{self.processes[name].domain}"'
            )
        return "\n\n".join(parts) + "\n"

    def configure(self, version: str = "") -> subprocess.CompletedProcess[str]:
        """Apply the configuration and wait until it is in force on every box."""
        path = self.folder / "change.toml"
        path.write_text(self.configuration_text(version), encoding="utf-8")
        return self.cli("config", "apply", str(path), "--wait=20")

    def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until every entry is ready for callers."""
        for name in self.entry_names:
            wait_until(partial(self.is_ready, name), seconds, f"{name} ready")

    def wait_upstreams(self, seconds: float = 20.0) -> None:
        """Wait until every engine and service responds."""
        for name in self.processes:
            if name.startswith(("fast-", "slow-", "service-")):
                wait_until(partial(self.is_responding, name), seconds, f"{name} answering")

    def is_responding(self, name: str) -> bool:
        """Return True if an engine or service responds."""
        try:
            url = self.url(name) + "/standin/stats"
            return self.client.get(url, timeout=2).status_code == 200
        except httpx.HTTPError:
            return False

    def is_ready(self, name: str) -> bool:
        """Return True if an entry is ready for callers."""
        try:
            url = self.url(name) + "/ready"
            return self.client.get(url, timeout=2).status_code == 200
        except httpx.HTTPError:
            return False

    def wait_leader(self, seconds: float = 20.0) -> str:
        """Wait for a leader and return its name."""
        found: list[str] = []

        def check() -> bool:
            leader = self.leader()
            found.extend([leader] if leader else [])
            return bool(found)

        wait_until(check, seconds, "a leader")
        return found[0]


DEMO_POLICY = """\
def decide(request):
    if request["account"] == "batch" and request["max_tokens"] > 512:
        return {"allow": False, "reason": "batch requests are limited to 512 tokens"}
    return {"allow": True}
"""


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: If the condition is not met in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {seconds} s: {what}")
        time.sleep(0.05)


def _box_settings(name: str, domain: str) -> str:
    return (
        f'[box]\nname = "{name}"\nfailure_domain = "{domain}"\n'
        f'source_address = "{domain_host(domain)}"\n'
        f'[cluster]\nname = "fleet"\nsecret = "{SECRET}"\n'
    )


def _environment() -> dict[str, str]:
    return os.environ | {"PYTHONPATH": f"{ROOT}:{ROOT / 'src'}"}


@contextlib.contextmanager
def running_fleet(**options: Any) -> Iterator[Fleet]:
    """Run a fleet in a temporary folder; `options` are fields of `Fleet`."""
    with fleet_folder() as folder:
        fleet = Fleet(folder=folder, **options)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.stop()


def describe(fleet: Fleet) -> str:
    """Return a printable list of processes, addresses and credentials."""
    lines = []
    for name, process in fleet.processes.items():
        addresses = {
            key: value for key, value in fleet.addresses.items() if key.split("/")[0] == name
        }
        lines.append(f"{name:12} pid {process.pid:7} {process.domain} {json.dumps(addresses)}")
    lines.append("caller keys: key-of-nilayam key-of-citaverde key-of-batch")
    lines.append(f"operator token: {OPERATOR_TOKEN}")
    return "\n".join(lines)
