"""Starts registries and gateways with the commands of the deploy file, on loopback addresses.

Settings are those of `deploy/*.template`, filled with the bounds of the sheet of nilayam-ledge.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")

CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
HEARTBEAT_S = 1.2

SETTINGS = """
[box]
name = "{name}"
failure_domain = "{zone}"
address = "{ip}"

[cluster]
secret = "loopback-and-private-network"
link_port = {link_port}
metrics_port = {metrics_port}
{relay}
seeds = [{seeds}]
bootstrap = {bootstrap}
tolerated_losses = 1

{role}

[bounds]
strict_revocation = true
revocation_ms = 5000
apply_ms = 2000
stop_seconds = 8
heartbeat_ms = 1200
stall_ms = 3000
repeat_ratio = 0.2
repeat_reserve = 200
repeat_window_seconds = 10
"""


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Box:
    """One process of the system."""

    def __init__(self, fleet: Fleet, kind: str, number: int) -> None:
        self.fleet, self.kind, self.number = fleet, kind, number
        self.name = f"{kind}-{number}"
        self.zone = ZONES[number % 3]
        self.ip = f"127.{fleet.network}.{1 if kind == 'registry' else 2}.{number + 1}"
        self.settings = fleet.folder / f"{self.name}.toml"
        self.log = fleet.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Address for clients, replicas and the operator."""
        return f"{self.ip}:{self.fleet.port}"

    @property
    def ready_address(self) -> str:
        """Address for the platform's question whether it is ready."""
        return f"{self.ip}:{self.fleet.port + 1}"

    def start(self, *, bootstrap: bool) -> None:
        """Start the process as the platform does."""
        port = self.fleet.port
        if self.kind == "registry":
            folder = self.fleet.folder / f"data-{self.number}"
            folder.mkdir(exist_ok=True)
            role = (
                f'[registry]\naddress = "{self.address}"\n'
                f'data_folder = "{folder}"\nmemory_mb = 296'
            )
            relay = ""
        else:
            role = (
                f'[gateway]\ncaller_address = "{self.address}"\n'
                f'ready_address = "{self.ready_address}"\nmemory_mb = 300'
            )
            relay = f"relay_port = {port + 3}"
        seeds = ", ".join(f'"{box.address}"' for box in self.fleet.registries[:3])
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                ip=self.ip,
                link_port=port + 2,
                metrics_port=port + 4,
                relay=relay,
                seeds=seeds,
                bootstrap=str(bootstrap).lower(),
                role=role,
            )
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LEDGELADDER_NODE_FILE": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "ledgeladder", self.kind],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, and reap it."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Fleet:
    """All processes of the system, and a record of what was seen."""

    def __init__(self, *, registries: int = 3, gateways: int = 2) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = random.randrange(20, 250)
        self.port = _free_port(self.network)
        self.registries: list[Box] = []
        self.registries += [Box(self, "registry", number) for number in range(registries)]
        self.gateways = [Box(self, "gateway", number) for number in range(gateways)]
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    @property
    def boxes(self) -> list[Box]:
        """All processes."""
        return [*self.registries, *self.gateways]

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def start(self) -> None:
        """Start everything for the first time."""
        for box in self.boxes:
            box.start(bootstrap=True)
        self.note("all processes started")

    def close(self, record: Path) -> None:
        """End all processes, write the record, and remove the folder."""
        for box in self.boxes:
            box.kill()
        record.write_text("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def publish(self, document: dict[str, object], first: int = 0) -> float:
        """Send a configuration as the operator does, and return when it was acknowledged."""
        body = json.dumps(document).encode()
        for attempt in range(60):
            box = self.registries[(first + attempt) % len(self.registries)]
            status, _, _ = await call(box.address, "PUT", "/api/config", body, seconds=1.0)
            if status == 200:
                self.note(f"version {document['version']} acknowledged by {box.name}")
                return time.monotonic()
            if status is not None and 400 <= status < 500:
                raise CannotRun(f"configuration refused with {status}")
            await asyncio.sleep(0.2)
        raise CannotRun("configuration not acknowledged")

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until every gateway says that it is ready."""
        until = time.monotonic() + seconds
        for box in self.gateways:
            while True:
                status, _, _ = await call(box.ready_address, "GET", "/api/ready", seconds=1.0)
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{box.name} is not ready")
                await asyncio.sleep(0.1)


def _free_port(network: int) -> int:
    """Return the first of some consecutive ports that are free."""
    for _ in range(200):
        port = random.randrange(12_000, 30_000, 10)
        try:
            for offset in range(10):
                with socket.socket() as probe:
                    probe.bind((f"127.{network}.1.1", port + offset))
        except OSError:
            continue
        return port
    raise CannotRun("no free ports")


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[list[str], dict[str, str], bytes] | None:
    """Read one HTTP/1.1 message with a length or in chunks; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0].split(" ", 2), fields, body


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
    *,
    seconds: float,
) -> tuple[int | None, dict[str, str], bytes]:
    """Send one request on a new connection; the status is None without a whole answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    sent = {"Host": address} | (fields or {})
    if body or method in ("PUT", "POST"):
        sent["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in sent.items()]
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            message = await read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None, {}, b""
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None, {}, b""
    first, answered, content = message
    return int(first[1]), answered, content
