"""The build of the users' platform, without a network: pip is replaced by a stub."""

from __future__ import annotations

import importlib.metadata
import os
import platform
import re
import shutil
import subprocess
import sys
import sysconfig
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent

# Stands before the interpreter on PATH. It installs by links, and not what PIP_REFUSES names.
PYTHON_WITH_STUB_PIP = """\
#!/usr/bin/env bash
if [ "${1-} ${2-}" != "-m pip" ]; then exec "$REAL_PYTHON" "$@"; fi
echo "$*" >> "$PIP_CALLS"
while [ "$1" != --target ]; do shift; done
for word; do requirement=$word; done
case "$requirement" in
  *requirements.txt) text=$(cat "$requirement") ;;
  *) text=$requirement ;;
esac
if [ -n "${PIP_REFUSES-}" ] && grep -q "$PIP_REFUSES" <<< "$text"; then
  echo "ERROR: no such distribution" >&2
  exit 1
fi
mkdir -p "$2"
ln -s "$PIP_PACKAGES"/* "$2"
if [ -n "${PIP_INTERRUPTED-}" ]; then kill -KILL $PPID; fi
"""


@dataclass(kw_only=True)
class Checkout:
    """A copy of the deployed part of the repository and the stub that builds it."""

    root: Path
    """Root of the copy."""

    stub: Path
    """Folder of the stub, its calls and the packages that it installs."""

    def build(self, **variables: str) -> subprocess.CompletedProcess[str]:
        """Run the build."""
        environment = os.environ | {
            "PATH": f"{self.stub}:{os.environ['PATH']}",
            "REAL_PYTHON": sys.executable,
            "PIP_CALLS": str(self.stub / "calls"),
            "PIP_PACKAGES": str(self.stub / "packages"),
        }
        return subprocess.run(
            ["bash", "deploy/build.sh"],
            cwd=self.root,
            env=environment | variables,
            capture_output=True,
            text=True,
            check=False,
        )

    @property
    def installs(self) -> int:
        """Number of times that all requirements were installed."""
        calls = self.stub / "calls"
        return calls.read_text().count("-r deploy/requirements.txt") if calls.exists() else 0

    def package(self) -> str:
        """Return the folder of the package that a role runs, or the error of its import."""
        ran = subprocess.run(
            [sys.executable, "-S", "-c", "import ledgeladder; print(ledgeladder.__file__)"],
            cwd=self.root,
            env={"PYTHONPATH": "target/deps"},
            capture_output=True,
            text=True,
            check=False,
        )
        return str(Path(ran.stdout.strip()).resolve().parent) if ran.stdout else ran.stderr


def installed_files(requirement: str, found: dict[str, Path]) -> None:
    """Add the files and folders of a distribution, and of those that it requires."""
    distribution = importlib.metadata.distribution(re.split(r"[^\w.-]", requirement)[0])
    names = {Path(file).parts[0] for file in distribution.files or []}
    new = {name: Path(str(distribution.locate_file(name))) for name in names if name != ".."}
    if new.keys() <= found.keys():
        return
    found |= new
    for other in distribution.requires or []:
        if "extra" not in other and "python_version" not in other:
            installed_files(other, found)


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    root, stub = tmp_path / "checkout", tmp_path / "stub"
    shutil.copytree(ROOT / "deploy", root / "deploy")
    shutil.copytree(ROOT / "src" / "ledgeladder", root / "src" / "ledgeladder")
    (stub / "packages").mkdir(parents=True)
    (stub / "python3").write_text(PYTHON_WITH_STUB_PIP)
    (stub / "python3").chmod(0o755)
    files: dict[str, Path] = {}
    for requirement in (ROOT / "deploy" / "requirements.txt").read_text().split():
        installed_files(requirement, files)
    for name, path in files.items():
        (stub / "packages" / name).symlink_to(path)
    return Checkout(root=root, stub=stub)


def test_unchanged_folder_is_kept(checkout: Checkout) -> None:
    """Guards against a build that needs the network though nothing has changed."""
    for _ in range(2):
        built = checkout.build()
        assert built.returncode == 0, built.stderr
    assert checkout.installs == 1
    assert checkout.package() == str(checkout.root / "src" / "ledgeladder")


@pytest.mark.parametrize(
    ("here", "there"),
    [
        (platform.machine(), "another-machine"),
        (str(sysconfig.get_config_var("SOABI")), "cpython-27-another"),
    ],
)
def test_folder_of_another_machine_or_interpreter_is_rebuilt(
    checkout: Checkout, here: str, there: str
) -> None:
    """Guards against compiled modules that do not load, kept as the folder was newer."""
    assert checkout.build().returncode == 0
    marker = checkout.root / "target" / "installed"
    assert here in marker.read_text()
    marker.write_text(marker.read_text().replace(here, there))
    assert checkout.build().returncode == 0
    assert checkout.installs == 2


def test_folder_of_an_unknown_build_is_rebuilt(checkout: Checkout) -> None:
    """Guards against a folder that does not tell what it was made for."""
    assert checkout.build().returncode == 0
    (checkout.root / "target" / "installed").write_text("")
    assert checkout.build().returncode == 0
    assert checkout.installs == 2


def test_changed_requirements_are_installed_though_older(checkout: Checkout) -> None:
    """Guards against requirements that were taken for installed, as their file was older."""
    assert checkout.build().returncode == 0
    requirements = checkout.root / "deploy" / "requirements.txt"
    requirements.write_text(requirements.read_text().replace("h11>=0.14", "h11>=0.15"))
    os.utime(requirements, (0, 0))
    assert checkout.build().returncode == 0
    assert checkout.installs == 2


def test_target_elsewhere_reaches_the_package(checkout: Checkout, tmp_path: Path) -> None:
    """Guards against roles that never start: "No module named ledgeladder" after a good build."""
    elsewhere = tmp_path / "one" / "two" / "three" / "target"
    elsewhere.mkdir(parents=True)
    (checkout.root / "target").symlink_to(elsewhere)
    built = checkout.build()
    assert built.returncode == 0, built.stderr
    assert checkout.package() == str(checkout.root / "src" / "ledgeladder")


def test_dangling_target_is_replaced(checkout: Checkout, tmp_path: Path) -> None:
    """Guards against a build that cannot begin, as the folder behind its link is gone."""
    (checkout.root / "target").symlink_to(tmp_path / "gone")
    built = checkout.build()
    assert built.returncode == 0, built.stderr
    assert checkout.package() == str(checkout.root / "src" / "ledgeladder")


def test_copied_package_is_replaced_by_the_link(checkout: Checkout) -> None:
    """Guards against roles that run an old copy of the package, or find none in it."""
    assert checkout.build().returncode == 0
    link = checkout.root / "target" / "deps" / "ledgeladder"
    link.unlink()
    link.mkdir()
    (link / "__init__.py").write_text("")
    assert checkout.build().returncode == 0
    assert checkout.package() == str(checkout.root / "src" / "ledgeladder")
    assert checkout.installs == 1


def test_moved_folder_is_usable_without_installing(checkout: Checkout, tmp_path: Path) -> None:
    """Guards against a checkout that runs the package of the place that it was copied from."""
    assert checkout.build().returncode == 0
    copy = Checkout(root=tmp_path / "copies" / "checkout", stub=checkout.stub)
    shutil.copytree(checkout.root, copy.root, symlinks=True)
    assert copy.build().returncode == 0
    assert copy.package() == str(copy.root / "src" / "ledgeladder")
    assert copy.installs == 1


def test_interrupted_install_is_not_taken_for_whole(checkout: Checkout) -> None:
    """Guards against a folder with a part of the packages that later builds keep."""
    assert checkout.build().returncode == 0
    requirements = checkout.root / "deploy" / "requirements.txt"
    requirements.write_text(requirements.read_text() + "\n")
    assert checkout.build(PIP_INTERRUPTED="1").returncode != 0
    shutil.rmtree(checkout.root / "target" / "deps", ignore_errors=True)
    (checkout.root / "target" / "deps").mkdir()
    built = checkout.build()
    assert built.returncode == 0, built.stderr
    assert checkout.installs == 3


def test_damaged_folder_is_rebuilt(checkout: Checkout) -> None:
    """Guards against a kept folder from which a package has gone."""
    assert checkout.build().returncode == 0
    (checkout.root / "target" / "deps" / "msgspec").unlink()
    built = checkout.build()
    assert built.returncode == 0, built.stderr
    assert "msgspec" in built.stderr
    assert checkout.installs == 2


def test_module_that_cannot_be_imported_fails_the_build_by_name(checkout: Checkout) -> None:
    """Guards against a build that ends well and leaves what no process can start from."""
    broken = checkout.root / "src" / "ledgeladder" / "daemons" / "gateway" / "stream.py"
    broken.write_text("import a_library_that_is_not_deployed\n")
    built = checkout.build()
    assert built.returncode != 0
    assert "module ledgeladder.daemons.gateway cannot be imported" in built.stderr
    assert "ledgeladder/daemons/gateway/stream.py, line 1" in built.stderr
    assert "a_library_that_is_not_deployed" in built.stderr
    assert not (checkout.root / "target" / "installed").exists()


def test_library_that_does_not_load_fails_the_build_by_name(checkout: Checkout) -> None:
    """Guards against a compiled module of another kind, which is only found when it is loaded."""
    library = checkout.stub / "packages" / "msgspec"
    library.unlink()
    library.mkdir()
    (library / "__init__.py").write_text("raise ImportError('wrong ELF class')\n")
    built = checkout.build()
    assert built.returncode != 0
    assert "module msgspec cannot be imported: ImportError: wrong ELF class" in built.stderr


def test_requirement_that_cannot_be_installed_is_named(checkout: Checkout) -> None:
    """Guards against a failed installation of which nobody can tell what was missing."""
    built = checkout.build(PIP_REFUSES="hdrhistogram")
    assert built.returncode != 0
    assert "requirement hdrhistogram>=0.10,<0.11 cannot be installed" in built.stderr
    assert "requirement anyio" not in built.stderr
    assert platform.machine() in built.stderr
    assert not (checkout.root / "target" / "installed").exists()
