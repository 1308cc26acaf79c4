"""Processor time and memory of the processes of a fleet, read from /proc."""

from __future__ import annotations

import os
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from standins.fleet import Fleet

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Resource usage of one process."""

    cpu_seconds: float
    memory_mb: float


def usage_of(pid: int) -> Usage:
    """Return the usage of one process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(cpu_seconds=cpu, memory_mb=int(line.split()[1]) / 1024)


def usage_by_name(fleet: Fleet) -> dict[str, Usage]:
    """Return the usage of all processes of a fleet by name."""
    return {name: usage_of(process.pid) for name, process in fleet.processes.items()}


def role_of(name: str) -> str:
    """Return the role of a process from its name."""
    role = name.split("-")[0]
    return "engine" if role in ("fast", "slow") else role


def mean_usage_by_role(
    before: dict[str, Usage], after: dict[str, Usage], seconds: float
) -> dict[str, tuple[float, float]]:
    """Return the mean share of a core and memory in MB of the processes of each role."""
    shares: dict[str, list[float]] = defaultdict(list)
    memory: dict[str, list[float]] = defaultdict(list)
    for name, usage in after.items():
        role = role_of(name)
        shares[role].append((usage.cpu_seconds - before[name].cpu_seconds) / seconds)
        memory[role].append(usage.memory_mb)
    return {
        role: (sum(values) / len(values), sum(memory[role]) / len(memory[role]))
        for role, values in shares.items()
    }
