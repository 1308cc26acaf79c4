"""Reading the seeds again when the settings file changes."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from returns.result import Failure, Result

from ..model import Problem
from .peers import add_peers, seed_addresses

if TYPE_CHECKING:
    from ..settings import GatewaySettings, RegistrySettings
    from .peers import Peers

logger = logging.getLogger(__name__)

LOOK_SECONDS: Final = 5.0
"""How often the file is looked at: it may change without a signal."""

Loader = Callable[[Path], "Result[GatewaySettings, Problem] | Result[RegistrySettings, Problem]"]
"""Reads and checks a settings file."""


class SeedList(msgspec.Struct, kw_only=True):
    """Seeds that are in force, and the file that they come from."""

    path: Path
    """Settings file."""

    seeds: tuple[str, ...]
    """`host:port` of some control boxes."""

    modified: float = 0.0
    """When the file was last changed, in seconds since 1970; 0 if it could not be read."""


async def reload_seeds(seeds: SeedList, peers: Peers, load: Loader) -> None:
    """Read the seeds again on SIGHUP and whenever the file has changed, for ever.

    The other settings hold until the process starts again; a file that is not valid changes
    nothing.

    Args:
        seeds: The seeds, which are replaced.
        peers: Links, which are opened to new seeds.
        load: Reads and checks the file.
    """
    seeds.modified = _modified(seeds.path)
    try:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_look_now_and_then, seeds, peers, load)
                async for _ in signals:
                    _reload(seeds, peers, load)
    finally:
        # The default action would end a process that is about to end as planned.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _look_now_and_then(seeds: SeedList, peers: Peers, load: Loader) -> None:
    while True:
        await anyio.sleep(LOOK_SECONDS)
        if _modified(seeds.path) != seeds.modified:
            _reload(seeds, peers, load)


def _modified(path: Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError as error:
        logger.warning("settings file not readable", extra={"reason": str(error)})
        return 0.0


def _reload(seeds: SeedList, peers: Peers, load: Loader) -> None:
    seeds.modified = _modified(seeds.path)
    loaded = load(seeds.path)
    if isinstance(loaded, Failure):
        problem = loaded.failure()
        logger.error("reload failed", extra={"code": problem.code.name, "detail": problem.detail})
        return
    before, seeds.seeds = seeds.seeds, loaded.unwrap().cluster.seeds
    add_peers(peers, seed_addresses(seeds.seeds))
    logger.info("reload", extra={"seeds": list(seeds.seeds), "before": list(before)})
