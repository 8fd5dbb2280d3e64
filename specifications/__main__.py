"""Checks all models and prints how many behaved as expected."""

import concurrent.futures
import sys

from specifications import checking, failover, freshness, leases

PROCESSES = 4


def everything() -> list[checking.Specification]:
    """Return every model and every broken variant."""
    return [
        *failover.specifications(),
        *freshness.specifications(),
        *leases.specifications(),
    ]


def check(index: int) -> checking.Verdict:
    """Check one model by its place, so that processes can share the work."""
    return checking.check(everything()[index])


def main() -> int:
    """Return 0 when every model holds and every broken one is refuted."""
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as executor:
        verdicts = list(executor.map(check, range(len(everything()))))
    for verdict in verdicts:
        sys.stdout.write(f'{verdict.text}\n')
    expected = sum(verdict.is_expected for verdict in verdicts)
    sys.stdout.write(f'{expected} models as expected\n')
    return 0 if expected == len(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
