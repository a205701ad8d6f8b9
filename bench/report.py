"""Benchmark figures, printed with their bounds."""

import sys
from typing import NamedTuple

__all__ = ["Figure", "Report", "percentile"]


class Figure(NamedTuple):
    """One measured value.

    Attributes:
        bound: maximum allowed value, None if the target load implies none.
    """

    name: str
    value: float
    unit: str
    bound: float | None

    def is_within_bound(self) -> bool:
        """Return whether the value does not exceed its bound."""
        return self.bound is None or self.value <= self.bound


class Report:
    """Collects figures and prints each as it is added."""

    def __init__(self):
        self.figures: list[Figure] = []

    def add(
        self, name: str, value: float, unit: str, bound: float | None = None
    ) -> None:
        """Add and print one figure."""
        figure = Figure(name, value, unit, bound)
        self.figures.append(figure)
        bound_text = "-" if bound is None else f"{bound:g}"
        ok = "yes" if figure.is_within_bound() else "no"
        print(
            f"figure={name} value={value:.4g} unit={unit} bound={bound_text} ok={ok}",
            flush=True,
        )

    def exit_code(self) -> int:
        """Return 1 if any figure exceeds its bound, else 0."""
        return 0 if all(figure.is_within_bound() for figure in self.figures) else 1

    def finish(self) -> None:
        """Exit the process with the exit code of the report."""
        sys.exit(self.exit_code())


def percentile(values: list[float], share: float) -> float:
    """Return the value at a quantile, NaN if there are no values."""
    sorted_values = sorted(values)
    if not sorted_values:
        return float("nan")
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]
