"""Soaks the deployment in faults: one deployment for each seed.

    python -m soak --first 1 --seeds 50 --seconds 12 --restores 2

Prints one line a seed, and for one with a broken promise its faults. The
exit code is 1 when there is any.
"""

import argparse
import asyncio
import sys

from soak import run


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--port', type=int, default=24000)
    parser.add_argument(
        '--restores',
        type=int,
        default=0,
        help='how often the store returns from an older copy',
    )
    return parser.parse_args()


async def _soak(options: argparse.Namespace) -> int:
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        report = await run.soak(
            seed=seed,
            seconds=options.seconds,
            first_port=options.port,
            restores=options.restores,
        )
        sys.stdout.write(f'{report.text()}\n')
        sys.stdout.flush()
        failed += bool(report.violations)
    sys.stdout.write(f'{options.seeds} seeds, {failed} failed\n')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(_soak(_parse())))
