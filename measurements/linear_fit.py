"""Prints figures at several sizes and the least-squares line through them."""

import statistics
import sys
import typing


def report(
    name: str,
    unit: str,
    sizes: typing.Sequence[float],
    figures: typing.Sequence[float],
) -> None:
    """Print figures at several sizes, and the least-squares line.

    `figures` holds one measured value in `unit` for each of `sizes`.
    """
    slope, base = statistics.linear_regression(sizes, figures)
    points = ', '.join(
        f'{size:g}: {figure:.4g}'
        for size, figure in zip(sizes, figures, strict=True)
    )
    sys.stdout.write(
        f'{name} [{unit}]: {points}; base {base:.4g}, slope {slope:.4g}\n',
    )
    sys.stdout.flush()
