"""Tells what `target/deps` has to be made for, and checks that it runs here.

Run by `build.sh`, with the standard library only: `python3 -I -S deploy/check_build.py WORD`, where
WORD is `made-for`, `link` or `imports`.
"""

from __future__ import annotations

import hashlib
import importlib
import os
import pkgutil
import platform
import re
import sys
import sysconfig
import tomllib
import traceback
from importlib import metadata
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
"""Root of the repository, where the roles are started."""

DEPENDENCIES: Final = ROOT / "target" / "deps"
"""Folder on Python's path when the roles run; it may lie elsewhere, behind a link."""

PACKAGE: Final = "ledgeladder"
"""Name of the package that the roles run."""

REQUIREMENTS: Final = ROOT / "deploy" / "requirements.txt"
"""What is installed into `DEPENDENCIES`."""


def made_for() -> str:
    """Return the kind of machine, the interpreter's ABI and a digest of the requirements.

    Modules that were compiled for another machine or interpreter do not load.
    """
    abi = sysconfig.get_config_var("SOABI") or sys.implementation.cache_tag
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    return f"{platform.machine()} {abi} requirements {digest}"


def link() -> str:
    """Return the target of the link to the package, relative to where the link really lies."""
    return os.path.relpath(ROOT / "src" / PACKAGE, DEPENDENCIES.resolve())


def role_packages() -> list[str]:
    """Return the names of the packages of all roles in the deploy file."""
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["roles"]
    return [f"{PACKAGE}.daemons.{role['run'].split()[-1]}" for role in roles.values()]


def import_by_name(name: str, problems: list[str]) -> None:
    """Import a module; adds a line to `problems` if that fails."""
    try:
        importlib.import_module(name)
    # A module that does not load may raise anything.
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{frame.filename}, line {frame.lineno}"
        reason = f"{type(error).__name__}: {error}"
        problems.append(f"module {name} cannot be imported: {reason} ({place})")


def find_problems() -> list[str]:
    """Import everything that the roles need, from `DEPENDENCIES` and the standard library only.

    Returns:
        A line for each requirement that is not installed and each module that cannot be imported.
    """
    sys.path.append(str(DEPENDENCIES))
    problems: list[str] = []
    modules = {module.name for module in pkgutil.iter_modules([str(DEPENDENCIES)])}
    for line in REQUIREMENTS.read_text("utf-8").split():
        name = re.split(r"[^\w.-]", line)[0]
        found = list(metadata.distributions(name=name, path=[str(DEPENDENCIES)]))
        if not found:
            problems.append(f"requirement {name} is not installed in {DEPENDENCIES}")
            continue
        provided = {file.parts[0].partition(".")[0] for file in found[0].files or []}
        for module_name in sorted(provided & modules):
            import_by_name(module_name, problems)
    import_by_name(f"{PACKAGE}.daemons.launch", problems)
    for package in role_packages():
        import_by_name(package, problems)
        if package in sys.modules:
            folders = sys.modules[package].__path__
            for module in pkgutil.walk_packages(folders, f"{package}."):
                import_by_name(module.name, problems)
    if PACKAGE in sys.modules:
        folder = Path(str(sys.modules[PACKAGE].__file__)).resolve().parent
        if folder != ROOT / "src" / PACKAGE:
            problems.append(f"package {PACKAGE} is {folder}, not the one of {ROOT}")
    return problems


def main(word: str) -> int:
    """Print what a word asks for; returns 1 if there are problems."""
    if word != "imports":
        print({"made-for": made_for, "link": link}[word]())
        return 0
    problems = find_problems()
    for line in problems:
        print(f"deploy/build.sh: {line}", file=sys.stderr)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
