"""Measures all slopes and writes tables and plots to docs/capacity/; run by `make capacity`."""

from __future__ import annotations

import sys
from pathlib import Path

from .control import measure_claims, measure_fan_out
from .cores import (
    measure_configuration,
    measure_membership,
    measure_route_choice,
    measure_snapshots,
)
from .entry import measure_idle_entry, measure_requests
from .fit import Slope, plot, row

FOLDER = Path(__file__).resolve().parent.parent.parent / "docs" / "capacity"

MEASUREMENTS = {
    "cores": lambda: [
        *measure_membership(),
        measure_route_choice(),
        *measure_configuration(),
        *measure_snapshots(),
    ],
    "control": measure_fan_out,
    "entry": lambda: [*measure_requests(), measure_idle_entry()],
}


def main() -> None:
    """Run the measurements named on the command line, or all."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    names = sys.argv[1:] or [*MEASUREMENTS, "claims"]
    for name in names:
        lines: list[str] = []
        if name == "claims":
            lines.append("| In progress at once | Claims a second | Median ms | 99 in 100 ms ")
            lines[0] += "| Leader, microseconds a claim | Claims a sync |"
            lines.append("| --- | --- | --- | --- | --- | --- |")
            lines.extend(measure_claims())
        else:
            slopes: list[Slope] = MEASUREMENTS[name]()
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
