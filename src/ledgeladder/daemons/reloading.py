"""Reloads seeds when the settings file changes."""

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

POLL_INTERVAL_SECONDS: Final = 5.0
"""Interval between checks of the file, which may change without a signal."""

Loader = Callable[[Path], "Result[GatewaySettings, Problem] | Result[RegistrySettings, Problem]"]
"""Reads and validates a settings file."""


class SeedList(msgspec.Struct, kw_only=True):
    """Current seeds and the settings file that they were read from."""

    path: Path
    """Path of the settings file."""

    seeds: tuple[str, ...]
    """Addresses of some control boxes, as `host:port`."""

    modified_at: float = 0.0
    """Modification time of the file, in seconds since 1970; 0 if it could not be read."""


async def reload_seeds(seeds: SeedList, peers: Peers, load: Loader) -> None:
    """Reload the seeds on SIGHUP and whenever the file has changed; runs until cancelled.

    Other settings take effect only after a restart. An invalid file is ignored.

    Args:
        seeds: The current seeds, which are updated.
        peers: Links to control boxes; new seeds are added.
        load: Reads and validates the file.
    """
    seeds.modified_at = _modified_at(seeds.path)
    try:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_poll_file, seeds, peers, load)
                async for _ in signals:
                    _reload(seeds, peers, load)
    finally:
        # The default action would kill the process during a planned stop.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _poll_file(seeds: SeedList, peers: Peers, load: Loader) -> None:
    while True:
        await anyio.sleep(POLL_INTERVAL_SECONDS)
        if _modified_at(seeds.path) != seeds.modified_at:
            _reload(seeds, peers, load)


def _modified_at(path: Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError as error:
        logger.warning("settings file not readable", extra={"reason": str(error)})
        return 0.0


def _reload(seeds: SeedList, peers: Peers, load: Loader) -> None:
    seeds.modified_at = _modified_at(seeds.path)
    loaded = load(seeds.path)
    if isinstance(loaded, Failure):
        problem = loaded.failure()
        logger.error("reload failed", extra={"code": problem.code.name, "detail": problem.detail})
        return
    previous, seeds.seeds = seeds.seeds, loaded.unwrap().cluster.seeds
    add_peers(peers, seed_addresses(seeds.seeds))
    logger.info("reload", extra={"seeds": list(seeds.seeds), "before": list(previous)})
