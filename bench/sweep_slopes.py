"""Table of what each role needs at the design size, from a sweep of the users' bench.

Run ``python -m bench.sweep_slopes journal/ENTRY.json`` with the journal entry of a
`fleetbench sweep`. A row gives the busiest process at three sizes, the power by which
it grows with the number of machines, and where that leads at the design size.
"""

import json
import re
import sys
from dataclasses import dataclass
from pathlib import Path

DESIGN_MACHINES = 840 + 9_500
"""Balancers and agents at the size of the users' plan."""

HEADINGS = (
    "| what | unit | 30 | 100 | 300 machines | power | 10,340 machines |",
    "|---|---|---|---|---|---|---|",
)

_NUMBER = r"-?[\d,.]+"
_ROW = re.compile(
    rf"(?P<what>[a-z][a-z ,-]+?: [a-zA-Z ]+?)(?: (?P<unit>%|MB))?\s{{2,}}"
    rf"(?P<values>(?:{_NUMBER} / {_NUMBER}\s+){{3}})(?P<power>{_NUMBER})\s"
)


@dataclass(frozen=True, slots=True)
class Slope:
    """How the busiest process grows with the number of machines.

    Attributes
    ----------
    what : str
        Role and figure, as the sweep names them.
    unit : str
        Unit; empty where `what` contains it.
    busiest : tuple of float
        The busiest process at each size, the smallest fleet first.
    power : float
        Exponent of the growth with the number of machines.
    machines : int
        Machines of the largest fleet that was played.
    """

    what: str
    unit: str
    busiest: tuple[float, ...]
    power: float
    machines: int

    @property
    def at_design_size(self) -> float:
        """The busiest process at the design size, if the growth goes on."""
        growth = (DESIGN_MACHINES / self.machines) ** max(self.power, 0.0)
        return self.busiest[-1] * growth


def read_slopes(text: str) -> list[Slope]:
    """Read the slopes of the roles from the output of a sweep."""
    sizes = [int(size) for size in re.findall(r"(?m)^sweep-\d+\s+(\d+)/", text)]
    return [
        Slope(
            row["what"],
            row["unit"] or "",
            tuple(
                float(pair.split(" / ")[1].replace(",", ""))
                for pair in re.findall(rf"{_NUMBER} / {_NUMBER}", row["values"])
            ),
            float(row["power"]),
            max(sizes),
        )
        for row in _ROW.finditer(text)
    ]


def format_slope(slope: Slope) -> str:
    """Return the row of a slope in the table of docs/CAPACITY.md."""
    cells = [f"{value:,g}" for value in slope.busiest]
    figures = " | ".join([*cells, f"{slope.power:.2f}", f"{slope.at_design_size:,.1f}"])
    return f"| {slope.what} | {slope.unit} | {figures} |"


def main(arguments: list[str]) -> int:
    """Print the table of one journal entry and return the exit code."""
    if len(arguments) != 1:
        print("usage: python -m bench.sweep_slopes journal/ENTRY.json", file=sys.stderr)
        return 2
    entry = json.loads(Path(arguments[0]).read_text(encoding="utf-8"))
    print("\n".join([*HEADINGS, *map(format_slope, read_slopes(entry["digest"]))]))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
