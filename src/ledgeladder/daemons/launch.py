"""Starts a daemon from its settings file, and leaves evidence of how it ends.

Loads none of the libraries of the command line.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, TypeVar

import anyio
from returns.result import Failure, Result, Success

from ..links.accepting import EXHAUSTION_ERRORS
from ..links.endpoint import describe_error
from ..model import Problem, ProblemError, ResultCode, find_problem
from ..settings import load_gateway_settings, load_registry_settings
from .clock import new_event_loop, wall_clock_ms
from .log_queue import write_last_line
from .logs import STANDARD_ERROR, current_log_handler, set_up_logging

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..settings import ControlSettings, EntrySettings, GatewaySettings, RegistrySettings

    _Settings = TypeVar(
        "_Settings", ControlSettings, EntrySettings, GatewaySettings, RegistrySettings
    )

    DaemonRun = Callable[[Any, Path], Awaitable[None]]
    """Runs a daemon with its settings and the path of the settings file."""

logger = logging.getLogger(__name__)

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_STORAGE: Final = 3

STOP_SIGNAL: Final = "stop signal"
"""Reason of a process that ends after a planned stop."""

UNEXPECTED_ERROR: Final = "unexpected error"
"""Reason of a process that ends with an error that it does not handle."""

SETTINGS_VARIABLE: Final = "LEDGELADDER_NODE_FILE"
"""Environment variable with the path of the settings file."""

START_DESCRIPTORS: Final = 32
"""Descriptors that must be free before a process goes on with its start: for the event loop,
signals, files and listeners. Some libraries abort the process for want of one."""

START_RETRY_SECONDS: Final = 0.1
"""Interval at which free descriptors are looked for."""

LOOP_OPTIONS: Final = {"loop_factory": new_event_loop}
"""Options of the event loop of every daemon."""


def settings_path(option: str | None) -> Path | None:
    """Return the path of the settings file.

    Args:
        option: Path from the command line, or None.

    Returns:
        That path, else the one from the environment, else None.
    """
    path = option or os.environ.get(SETTINGS_VARIABLE)
    return Path(path) if path else None


def load_settings(
    loader: Callable[[Path], Result[_Settings, Problem]], path: Path | None
) -> Result[_Settings, Problem]:
    """Load a settings file and set up logging accordingly."""
    if path is None:
        return Failure(Problem(code=ResultCode.SETTINGS_INVALID, detail="--settings is missing"))
    loaded = loader(path)
    if isinstance(loaded, Success):
        settings = loaded.unwrap()
        set_up_logging(
            level=settings.log.level,
            box=settings.box.name,
            failure_domain=settings.box.failure_domain,
        )
    return loaded


def launch_gateway(path: Path | None) -> int:
    """Run a gateway process until it is stopped.

    Args:
        path: Path of its settings file.

    Returns:
        The exit code.
    """

    def import_daemon() -> DaemonRun:
        from .gateway import run_gateway

        return run_gateway

    return _launch(load_gateway_settings, import_daemon, path, lambda settings: None)


def launch_registry(path: Path | None) -> int:
    """Run a registry process until it is stopped.

    Args:
        path: Path of its settings file.

    Returns:
        The exit code.
    """

    def import_daemon() -> DaemonRun:
        from .registry import run_registry

        return run_registry

    return _launch(
        load_registry_settings, import_daemon, path, lambda settings: settings.registry.data_folder
    )


def _launch(
    loader: Callable[[Path], Result[Any, Problem]],
    import_daemon: Callable[[], DaemonRun],
    path: Path | None,
    data_folder: Callable[[Any], Path | None],
) -> int:
    """Load settings and run a daemon with them.

    Args:
        loader: Loads the settings.
        import_daemon: Imports and returns the daemon's entry point. The import is deferred, so that
            a process loads only the modules of its own role.
        path: Path of the settings file.
        data_folder: Returns the data folder of settings, or None if the role has no disk.

    Returns:
        The exit code.
    """
    loaded = load_settings(loader, path)
    if path is None or isinstance(loaded, Failure):
        return fail(loaded.failure(), EXIT_USAGE)
    run = import_daemon()
    settings = loaded.unwrap()
    return run_daemon(
        lambda: anyio.run(run, settings, path, backend_options=LOOP_OPTIONS), data_folder(settings)
    )


LAUNCHERS: Final[dict[str, Callable[[Path | None], int]]] = {
    "gateway": launch_gateway,
    "registry": launch_registry,
}
"""Launch functions by name, of daemons whose settings file may be given in the environment."""


def run_daemon(run: Callable[[], Any], data_folder: Path | None) -> int:
    """Run a daemon until it ends, and record its start and its end.

    Args:
        run: Runs the daemon.
        data_folder: Its data folder; None for a process without a disk.

    Returns:
        The exit code.
    """
    wait_for_descriptors()
    record_start(data_folder)
    try:
        run()
    except Exception as error:
        problem = find_problem(error)
        if problem is None:
            logger.critical("unexpected error", exc_info=error)
            detail = describe_error(error)
            record_end(data_folder, status=EXIT_FAILED, reason=UNEXPECTED_ERROR, detail=detail)
            print(f"error: {detail}", file=sys.stderr)
            return EXIT_FAILED
        name = problem.code.name
        record_end(data_folder, status=EXIT_STORAGE, reason=name, detail=problem.detail)
        return fail(problem, EXIT_STORAGE)
    record_end(data_folder, status=EXIT_OK, reason=STOP_SIGNAL)
    return EXIT_OK


def wait_for_descriptors() -> None:
    """Wait until `START_DESCRIPTORS` can be opened, as others may have them meanwhile."""
    is_logged = False
    while not _can_open(START_DESCRIPTORS):
        if not is_logged:
            logger.warning("too few descriptors to start", extra={"needed": START_DESCRIPTORS})
        is_logged = True
        time.sleep(START_RETRY_SECONDS)


def _can_open(count: int) -> bool:
    opened: list[int] = []
    try:
        while len(opened) < count:
            opened += os.pipe()
    except OSError as error:
        if error.errno not in EXHAUSTION_ERRORS:
            raise
        return False
    finally:
        for number in opened:
            os.close(number)
    return True


def end_with_problem(run: Callable[[], Any]) -> int:
    """Run a function; a `Problem` that it raises is printed and becomes an exit code.

    Args:
        run: The function.

    Returns:
        The exit code.
    """
    try:
        run()
    except (ProblemError, ExceptionGroup) as error:
        problem = find_problem(error)
        if problem is None:
            raise
        return fail(problem, EXIT_STORAGE)
    return EXIT_OK


def fail(problem: Problem, status: int) -> int:
    """Print a problem to standard error.

    Args:
        problem: The problem.
        status: Exit code.

    Returns:
        That exit code.
    """
    print(f"error {int(problem.code)} {problem.code.name}: {problem.detail}", file=sys.stderr)
    return status


def record_start(folder: Path | None) -> None:
    """Record on the disk that a process runs, and log if the previous one ended unrecorded.

    A process that is killed, also for its use of memory, leaves no line of its own.

    Args:
        folder: Data folder; None for a process without a disk.
    """
    if folder is None:
        return
    # Imported here because most processes have no disk.
    from ..storage.life import begin_life

    try:
        previous = begin_life(folder, wall_clock_ms())
    except OSError as error:
        logger.warning("start not recorded", extra={"reason": str(error)})
        return
    if previous is not None and not previous.reason:
        logger.warning(
            "previous process was killed or lost power",
            extra={"started_ms": previous.started_ms},
        )


def record_end(folder: Path | None, *, status: int, reason: str, detail: str = "") -> None:
    """Write the last log line of the process, also if the log queue is full or its output closed.

    Args:
        folder: Data folder, where the end is recorded as well; None for a process without a disk.
        status: Exit code of the process.
        reason: `STOP_SIGNAL`, `UNEXPECTED_ERROR` or the name of a result code.
        detail: What exactly failed; empty after a planned stop.
    """
    if folder is not None:
        _record_on_disk(folder, reason)
    handler = current_log_handler()
    if handler is None:
        return
    level = logging.ERROR if status else logging.INFO
    fields = {"exit_code": status, "reason": reason, "detail": detail}
    record = logging.makeLogRecord(
        {"name": __name__, "levelno": level, "levelname": logging.getLevelName(level)}
        | {"msg": "process ends"}
        | fields
    )
    line = handler.format(record).encode() + b"\n"
    write_last_line(handler.queue, line, fallback=STANDARD_ERROR)


def _record_on_disk(folder: Path, reason: str) -> None:
    # Imported here because it is needed once.
    from ..storage.life import end_life

    try:
        end_life(folder, wall_clock_ms(), reason)
    except OSError as error:
        logger.warning("end not recorded", extra={"reason": str(error)})
