"""Checks all models and prints how many gave the expected verdict."""

import concurrent.futures
import sys

from specifications import (
    checking,
    failover,
    freshness,
    leases,
    promotions,
    restored_leases,
    voters,
)

PROCESSES = 4


def list_specifications() -> list[checking.Specification]:
    """Return all models, each followed by its broken variants."""
    return [
        *failover.specifications(),
        *freshness.specifications(),
        *leases.specifications(),
        *promotions.specifications(),
        *restored_leases.specifications(),
        *voters.specifications(),
    ]


def check(index: int) -> checking.Verdict:
    """Check the specification at an index of `list_specifications()`.

    Models hold functions that can't be pickled, so worker processes get an
    index instead.
    """
    return checking.check(list_specifications()[index])


def main() -> int:
    """Return 0 if all models hold and all broken variants are refuted."""
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as executor:
        verdicts = list(executor.map(check, range(len(list_specifications()))))
    for verdict in verdicts:
        sys.stdout.write(f'{verdict.text}\n')
    expected_count = sum(verdict.is_expected for verdict in verdicts)
    sys.stdout.write(f'{expected_count} models as expected\n')
    return 0 if expected_count == len(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
