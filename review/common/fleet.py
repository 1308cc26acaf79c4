"""Starts the project's gateways and registries with the deploy file's commands, and stand-ins.

Settings are the deploy templates, filled with the fields of the users' DEPLOY.md. Every box has its
own address in 127.0.0.0/8. All processes end with the script that started them.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "captions.example"
KEY = "n2ctnfzs989anu6wsjnb"

BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 200,
    "stall_ms": 3000,
}
"""Bounds of the site file nilayam-ledge, as its sheet gives them."""

HEARTBEAT_MS = 1200
LAYERS = 80


class CannotRunError(Exception):
    """The case could not be set up."""


class Fleet:
    def __init__(self, folder: Path, record: Path) -> None:
        self.folder = folder
        self.record_file = record.open("w", buffering=1)
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses: dict[str, str] = {}
        self.network = secrets.randbelow(200) + 20
        self.registries = 3
        self.gateways = 3
        self.port = self._free_port()
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    def _free_port(self) -> int:
        """Return a first port such that the ports of a box are free on the first addresses."""
        for _ in range(50):
            port = secrets.randbelow(15000) + 12000
            with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
                for offset in range(8):
                    for role in (1, 2, 3, 4):
                        taken = stack.enter_context(socket.socket())
                        taken.bind((self.ip(role, 0), port + offset))
                return port
        raise CannotRunError("no free ports")

    def ip(self, role: int, number: int) -> str:
        """Return an address: role 1 registries, 2 gateways, 3 model replicas, 4 services."""
        return f"127.{self.network}.{role}.{number + 1}"

    def note(self, text: str) -> None:
        with self.lock:
            self.record_file.write(f"{time.monotonic() - self.started_at:8.3f}  {text}\n")

    # Processes of the project ---------------------------------------------------------------------

    @property
    def controls(self) -> list[str]:
        return [f"{self.ip(1, number)}:{self.port + 2}" for number in range(self.registries)]

    def front(self, number: int) -> tuple[str, int]:
        return self.ip(2, number), self.port + 3

    def start_box(self, role: str, number: int, *, bootstrap: bool) -> str:
        """Start a process of the deploy file, with its template filled."""
        name = f"{role}-{number}"
        ip = self.ip(1 if role == "registry" else 2, number)
        data = self.folder / f"{name}.data"
        listen = {"control": f"{ip}:{self.port + 2}"}
        if role == "gateway":
            listen = {"front": f"{ip}:{self.port + 3}", "ready": f"{ip}:{self.port + 4}"}
        else:
            data.mkdir(exist_ok=True)
        fields = {
            "nodeName": name,
            "zone": ZONES[number % 3],
            "ip": ip,
            "internalPorts": [self.port, self.port + 7],
            "seedNodes": self.controls,
            "bootstrap": bootstrap,
            "faultTolerance": {"machines": 1},
            "listen": listen,
            "dataDir": str(data),
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": BOUNDS,
        }
        section = self.deploy["roles"][role]
        settings = self.folder / f"{name}.toml"
        text = fill((ROOT / section["template"]).read_text(), fields)
        # On loopback several boxes share one machine; only the page's port is moved.
        settings.write_text(text.replace("metrics_port = 9102", f"metrics_port = {self.port + 1}"))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "PYTHONPATH": "target/deps",
            "LEDGELADDER_NODE_FILE": str(settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = section["run"].split()
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note(f"start {name} at {ip}: {' '.join(command)}")
        return name

    def start_replica(
        self, name: str, number: int, service: str, *, kind: str, **options: Any
    ) -> str:
        role = 3 if kind else 4
        address = f"{self.ip(role, number)}:{self.port + 5}"
        self.addresses[name] = address
        command = [
            sys.executable,
            str(ROOT / "review/common/replica.py"),
            f"--address={address}",
            f"--service={service}",
            f"--zone={options.pop('zone', ZONES[number % 3])}",
            f"--controls={options.pop('controls', ','.join(self.controls))}",
            f"--ledger={self.folder / (name + '.ledger')}",
            f"--kind={kind}",
            f"--heartbeat-ms={HEARTBEAT_MS}",
        ]
        command += [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        self.note(f"start replica {name} of {service} at {address}")
        return name

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)
        self.note(f"{number.name} to {name}")

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop_all(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    # Operator and clients -------------------------------------------------------------------------

    def call(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        seconds: float = 5.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request; status 0 if the connection ends without a whole answer."""
        connection = http.client.HTTPConnection(*address, timeout=seconds)
        try:
            connection.request(method, path, body=body, headers=headers or {})
            answer = connection.getresponse()
            fields = {name.lower(): value for name, value in answer.getheaders()}
            return answer.status, fields, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def stream(
        self,
        address: tuple[str, int],
        path: str,
        body: bytes,
        headers: dict[str, str],
        seconds: float,
        on_event: Callable[[str], None],
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Send one request for a stream, and pass on its events as they arrive.

        Returns:
            Status (0 without an answer), fields, the body of an answer that is no stream, and
            whether the answer is whole.
        """
        connection = http.client.HTTPConnection(*address, timeout=seconds)
        status, fields, content = 0, {}, b""
        try:
            connection.request("POST", path, body=body, headers=headers)
            answer = connection.getresponse()
            status = answer.status
            fields = {name.lower(): value for name, value in answer.getheaders()}
            if status != 200:
                return status, fields, answer.read(), True
            pending = b""
            # An answer that is broken off raises an error here.
            while part := answer.read1():
                *events, pending = (pending + part).split(b"\n\n")
                for event in events:
                    on_event(event.decode())
            return status, fields, content, not pending
        except (OSError, http.client.HTTPException):
            return status, fields, content, False
        finally:
            connection.close()

    def publish(self, document: dict[str, Any], seconds: float = 25.0) -> None:
        """Send a configuration to one control node after the other until it is acknowledged."""
        body = json.dumps(document).encode()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for control in self.controls:
                host, _, port = control.rpartition(":")
                status, _, _ = self.call(
                    (host, int(port)),
                    "PUT",
                    "/api/config",
                    body,
                    {"Content-Type": "application/json"},
                    seconds=4.0,
                )
                if status == 200:
                    self.note(f"configuration {document['version']} acknowledged by {control}")
                    return
                if 400 <= status < 500:
                    raise CannotRunError(f"configuration refused with {status}")
            time.sleep(0.2)
        raise CannotRunError("no configuration acknowledged")

    def headers(self, attempt: str, deadline_ms: int, tokens: str = "") -> dict[str, str]:
        fields = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
        }
        if tokens:
            own = secrets.token_hex(4)
            fields |= {
                "Model": "m0",
                "Token-Count": tokens,
                "Prompt-Prefix": f"5c1e07a2:40,{own}:{int(tokens.partition(',')[0]) - 40}",
            }
        return fields

    def ledgers(self) -> list[dict[str, Any]]:
        """Return what all replicas recorded, in order of time."""
        lines = []
        for path in self.folder.glob("*.ledger"):
            for line in path.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    lines.append(json.loads(line) | {"name": path.stem})
        return sorted(lines, key=lambda line: line["at"])


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill a template as DEPLOY.md says, as far as the project's templates need it."""

    def find(name: str, entry: Any) -> Any:
        if name == ".":
            return entry
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return value

    def show(value: Any) -> str:
        return str(value).lower() if isinstance(value, bool) else str(value)

    def section(match: re.Match[str]) -> str:
        entries = find(match[1], None)
        return "".join(
            match[2]
            .replace("{{.}}", show(entry))
            .replace("{{,}}", "" if number == len(entries) - 1 else ",")
            for number, entry in enumerate(entries)
        )

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: show(find(match[1], None)), text)


def document(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration like that of PROTOCOL.md, with the given routes."""
    engine = {
        "slots": 96,
        "kvCapacityTokens": 50000,
        "kvTokenBytes": 1836000,
        "linkMbps": 400000.0,
        "stride": 1,
        "models": [{"name": "m0", "pace": 1.0, "load_s": 2.0, "warmupS": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01428,
        "context_per_k": 0.01912,
        "read_per_s": 105000.0,
        "pairs_per_m": 0.309,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_per_s": 0.0,
        "loads_at_once": 5,
        "delays": [
            {"from": one, "targetVersion": other, "delay_ms": 0.75}
            for one, other in (
                ("zone-a", "zone-b"),
                ("zone-a", "zone-c"),
                ("zone-b", "zone-c"),
            )
        ],
        "usual": {"prompt": 100, "answer": 60},
        "layers": LAYERS,
        "layer_mb": 1750.0,
        "act_bytes": 91800,
        "pipe_mbps": 26000.0,
        "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "writers",
                "healthPath": "/health",
                "maxConnections": 1138,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "previews",
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 20000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    } | more


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CannotRunError(f"not within {seconds:.0f} s: {what}")
        time.sleep(0.05)


@contextlib.contextmanager
def running_fleet(record: Path) -> Iterator[Fleet]:
    """Start three registries and three gateways; end every process afterwards."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    fleet = Fleet(folder, record)
    try:
        for number in range(fleet.registries):
            fleet.start_box("registry", number, bootstrap=True)
        for number in range(fleet.gateways):
            fleet.start_box("gateway", number, bootstrap=True)
        yield fleet
    finally:
        fleet.stop_all()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs kept in {folder}", file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)


def run_case(case: Callable[[Fleet, bool], bool], record: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes too if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with running_fleet(record) as fleet:
            fleet.note(f"disruption: {'yes' if trouble else 'no'}")
            broken = case(fleet, trouble)
            fleet.note("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
    except CannotRunError as error:
        print(f"could not run: {error}", file=sys.stderr)
        return 2
    except Exception:
        traceback.print_exc()
        return 2
