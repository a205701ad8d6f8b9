"""Figures of a bench: one line each, with its bound."""

import sys
from typing import NamedTuple

__all__ = ["Figure", "Report", "percentile"]


class Figure(NamedTuple):
    """One measured value.

    Attributes:
        bound: largest value allowed, None where the target names none.
    """

    name: str
    value: float
    unit: str
    bound: float | None

    def is_ok(self) -> bool:
        """Return whether the value keeps its bound."""
        return self.bound is None or self.value <= self.bound


class Report:
    """Collects figures and prints each when it is added."""

    def __init__(self):
        self.figures: list[Figure] = []

    def add(
        self, name: str, value: float, unit: str, bound: float | None = None
    ) -> None:
        """Add and print one figure."""
        figure = Figure(name, value, unit, bound)
        self.figures.append(figure)
        bound_text = "-" if bound is None else f"{bound:g}"
        ok = "yes" if figure.is_ok() else "no"
        print(
            f"figure={name} value={value:.4g} unit={unit} bound={bound_text} ok={ok}",
            flush=True,
        )

    def exit_code(self) -> int:
        """Return 1 when any figure misses its bound."""
        return 0 if all(figure.is_ok() for figure in self.figures) else 1

    def finish(self) -> None:
        """End the process with the exit code of the report."""
        sys.exit(self.exit_code())


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
