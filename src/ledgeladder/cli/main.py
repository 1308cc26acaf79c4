"""Entry point of the `ledgeladder` command."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import anyio
from absl import flags
from returns.result import Failure, Result

from ..daemons.launch import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    LAUNCHERS,
    LOOP_OPTIONS,
    end_with_problem,
    fail,
    load_settings,
    run_daemon,
    settings_path,
)
from ..model import Problem, ResultCode
from ..settings import (
    load_control_settings,
    load_entry_settings,
    load_gateway_settings,
    load_registry_settings,
    read_toml,
)
from ..settings.reference import reference_page

if TYPE_CHECKING:
    from .operator_client import OperatorClient

TOKEN_VARIABLE: Final = "LEDGELADDER_TOKEN"

USAGE: Final = """\
usage: ledgeladder COMMAND [flags]

  entry --settings FILE            run an entry process
  control --settings FILE          run a control process
  gateway [--settings FILE]        run an entry process that forwards HTTP and discovers upstreams
  registry [--settings FILE]       run a control process that upstreams register with
  control format --settings FILE   create the data folder of a new cluster's control box
  settings check FILE              check a settings file of either role
  settings reference               print every key with what is allowed
  config validate FILE             check a change file without a server
  config apply FILE [--wait SECONDS] [--change_id ID] [--base_version N]
  config show | config history     the configuration; the accepted changes
  status                           role, members, versions in force on the boxes
  audit                            accepted and refused changes
  handover                         hand the leadership to another control box
  logs FILE... [--bucket_seconds N] [--plots FOLDER]
                                   tables of what the processes logged: requests, paths, beliefs
  logs FILE... --request ID        the course of one request

Operator commands need --controls HOST:PORT,... and the token in LEDGELADDER_TOKEN or --token_file.
Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 data folder or disk.
"""

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "Settings file of the process.")
flags.DEFINE_list("controls", [], "Operator addresses of the control boxes.")
flags.DEFINE_string("token_file", None, "File with the operator's token.")
flags.DEFINE_float("wait", 0.0, "Seconds to wait until a change is in force on every box.")
flags.DEFINE_string("change_id", "", "Id of the change; give the same one to resend it.")
flags.DEFINE_integer("base_version", -1, "Version the change is based on; -1 for the current.")

flags.DEFINE_float("bucket_seconds", 2.0, "Length of the spans of time that reports tell apart.")
flags.DEFINE_string("plots", None, "Folder for plots of a report.")
flags.DEFINE_string("request", None, "Id of the request whose course is shown.")

Command = Callable[[list[str]], int]


def _usage(message: str = "") -> int:
    if message:
        print(f"ledgeladder: {message}", file=sys.stderr)
    print(USAGE, file=sys.stderr)
    return EXIT_USAGE


def _print_result(outcome: Result[dict[str, Any], Problem]) -> int:
    from . import config_commands

    if isinstance(outcome, Failure):
        return fail(outcome.failure(), EXIT_FAILED)
    config_commands.print_json(outcome.unwrap())
    return EXIT_OK


def _operator_client() -> OperatorClient | None:
    # Operator modules are imported where used, which keeps their libraries out of daemons.
    from .operator_client import OperatorClient

    token = os.environ.get(TOKEN_VARIABLE, "")
    if FLAGS.token_file:
        token = Path(FLAGS.token_file).read_text(encoding="utf-8").strip()
    if not FLAGS.controls or not token:
        return None
    return OperatorClient(addresses=tuple(FLAGS.controls), token=token)


def _settings_option() -> Path | None:
    return None if FLAGS.settings is None else Path(FLAGS.settings)


def _run_entry(arguments: list[str]) -> int:
    # Imported here because operator commands do not need the server.
    from ..daemons.entry import run_entry

    loaded = load_settings(load_entry_settings, _settings_option())
    if isinstance(loaded, Failure) or arguments:
        return _settings_error(loaded)
    settings = loaded.unwrap()
    return run_daemon(lambda: anyio.run(run_entry, settings, backend_options=LOOP_OPTIONS), None)


def _run_control(arguments: list[str]) -> int:
    from ..daemons.control.main import format_folder, run_control

    loaded = load_settings(load_control_settings, _settings_option())
    if isinstance(loaded, Failure) or arguments not in ([], ["format"]):
        return _settings_error(loaded)
    settings = loaded.unwrap()
    if arguments == ["format"]:
        return end_with_problem(lambda: format_folder(settings))
    return run_daemon(
        lambda: anyio.run(run_control, settings, backend_options=LOOP_OPTIONS),
        settings.control.data_folder,
    )


def _launch(role: str) -> Command:
    def command(arguments: list[str]) -> int:
        path = settings_path(FLAGS.settings)
        if arguments or path is None:
            return _usage("unknown words" if arguments else "--settings is missing")
        return LAUNCHERS[role](path)

    return command


def _settings_error(loaded: Result[Any, Problem]) -> int:
    if isinstance(loaded, Failure) and FLAGS.settings is not None:
        return fail(loaded.failure(), EXIT_USAGE)
    return _usage("--settings is missing" if FLAGS.settings is None else "unknown words")


SETTINGS_LOADERS: Final[dict[str, Callable[[Path], Result[Any, Problem]]]] = {
    "control": load_control_settings,
    "gateway": load_gateway_settings,
    "registry": load_registry_settings,
    "entry": load_entry_settings,
}
"""Settings loaders by the section that is specific to the process."""


def _settings(arguments: list[str]) -> int:
    if arguments == ["reference"]:
        print(reference_page(), end="")
        return EXIT_OK
    if len(arguments) != 2 or arguments[0] != "check":
        return _usage("settings check FILE | settings reference")
    path = Path(arguments[1])
    content = read_toml(path)
    if isinstance(content, Failure):
        return fail(content.failure(), EXIT_USAGE)
    role = next((name for name in SETTINGS_LOADERS if name in content.unwrap()), "entry")
    loaded = SETTINGS_LOADERS[role](path)
    if isinstance(loaded, Failure):
        return fail(loaded.failure(), EXIT_USAGE)
    article = "an" if role == "entry" else "a"
    print(f"{path}: good settings of {article} {role} process")
    return EXIT_OK


def _config(arguments: list[str]) -> int:
    from . import config_commands

    if len(arguments) == 2 and arguments[0] == "validate":
        return _print_result(config_commands.validate_file(Path(arguments[1])))
    client = _operator_client()
    if client is None:
        return _usage("--controls and a token are needed")
    if len(arguments) == 2 and arguments[0] == "apply":
        outcome = config_commands.apply_file(
            client,
            Path(arguments[1]),
            change_id=FLAGS.change_id,
            base_version=FLAGS.base_version,
            wait_seconds=FLAGS.wait,
        )
        return _print_result(outcome)
    if arguments == ["show"]:
        return _print_result(config_commands.show(client))
    if arguments == ["history"]:
        return _print_result(config_commands.history(client))
    return _usage("config apply FILE | show | history | validate FILE")


def _logs(arguments: list[str]) -> int:
    from .log_commands import print_report, print_timeline

    if not arguments or FLAGS.bucket_seconds <= 0:
        return _usage("logs FILE... [--bucket_seconds N] [--plots FOLDER] [--request ID]")
    if FLAGS.request is not None:
        return EXIT_OK if print_timeline(arguments, FLAGS.request) else EXIT_FAILED
    try:
        print_report(arguments, bucket_seconds=FLAGS.bucket_seconds, plots=FLAGS.plots)
    except ImportError as error:
        return _usage(f"{error}; plots need the extra `plots`")
    return EXIT_OK


def _operator_call(method: str, path: str) -> Command:
    def command(arguments: list[str]) -> int:
        from .operator_client import call

        client = _operator_client()
        if client is None or arguments:
            return _usage("--controls and a token are needed, and no further words")
        return _print_result(call(client, method, path))

    return command


COMMANDS: Final[dict[str, Command]] = {
    "entry": _run_entry,
    "control": _run_control,
    "gateway": _launch("gateway"),
    "registry": _launch("registry"),
    "settings": _settings,
    "config": _config,
    "status": _operator_call("GET", "/v1/status"),
    "audit": _operator_call("GET", "/v1/audit"),
    "handover": _operator_call("POST", "/v1/handover"),
    "logs": _logs,
}


def main(argv: Sequence[str]) -> int:
    """Run one command.

    Args:
        argv: Program name and arguments.

    Returns:
        The exit code.
    """
    try:
        arguments = FLAGS(list(argv))[1:]
    except flags.Error as error:
        return _usage(str(error))
    if not arguments or arguments[0] not in COMMANDS:
        return _usage(f"unknown command {arguments[0]}" if arguments else "")
    try:
        return COMMANDS[arguments[0]](list(arguments[1:]))
    except BrokenPipeError:
        # The reader of the output has closed the pipe.
        return EXIT_OK
    except OSError as error:
        detail = f"{error.filename or ''}: {error.strerror}"
        return fail(Problem(code=ResultCode.SETTINGS_INVALID, detail=detail), EXIT_USAGE)


def run() -> None:
    """Run the command line and exit."""
    sys.exit(main(sys.argv))
