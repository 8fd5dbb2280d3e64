"""Prints costs at several sizes and the least-squares line through them."""

import statistics
import sys
import typing


def report(
    name: str,
    unit: str,
    sizes: typing.Sequence[float],
    costs: typing.Sequence[float],
) -> None:
    """Print costs at several sizes, and the least-squares line through them.

    `costs` holds one cost in `unit` for each of `sizes`. The base of the
    line is its value at size zero, and the slope is the cost per unit of
    size.
    """
    slope, base = statistics.linear_regression(sizes, costs)
    points = ', '.join(
        f'{size:g}: {cost:.4g}' for size, cost in zip(sizes, costs, strict=True)
    )
    sys.stdout.write(
        f'{name} [{unit}]: {points}; base {base:.4g}, slope {slope:.4g}\n',
    )
    sys.stdout.flush()
