"""`make capacity`: measures every slope and writes docs/capacity/ with its table and plots."""

from __future__ import annotations

import sys
from pathlib import Path

from .control import claim_rows, fan_out_slopes
from .cores import configuration_size, membership, routes, snapshots
from .entry import at_rest, per_request
from .fit import Slope, plot, row

FOLDER = Path(__file__).resolve().parent.parent.parent / "docs" / "capacity"

PARTS = {
    "cores": lambda: [*membership(), routes(), *configuration_size(), *snapshots()],
    "control": fan_out_slopes,
    "entry": lambda: [*per_request(), at_rest()],
}


def main() -> None:
    """Measure the parts named on the command line, or all."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    names = sys.argv[1:] or [*PARTS, "claims"]
    for name in names:
        lines: list[str] = []
        if name == "claims":
            lines.append("| In progress at once | Claims a second | Median ms | 99 in 100 ms ")
            lines[0] += "| Leader, microseconds a claim | Claims a sync |"
            lines.append("| --- | --- | --- | --- | --- | --- |")
            lines.extend(claim_rows())
        else:
            slopes: list[Slope] = PARTS[name]()
            lines.append("| What | Against | Points | Line | Error | At the size to come |")
            lines.append("| --- | --- | --- | --- | --- | --- |")
            for slope in slopes:
                plot(slope, FOLDER)
                lines.append(row(slope))
        text = "\n".join(lines) + "\n"
        (FOLDER / f"{name}.md").write_text(text, encoding="utf-8")
        print(text, flush=True)


if __name__ == "__main__":
    main()
