"""Runs a short load on an example deployment and checks its results."""

import argparse
import asyncio
import sys
import typing
import urllib.request

from egretstep.bench import checks, load, measures, workload
from standins import fleet

DEMO_SECONDS = 12.0
PORT_OFFSET = 0
ROW_FORMAT = '{:<34}{:>11}{:>9}{:>11}{:>9}\n'


def make_workload(
    deployment: fleet.Fleet,
    *,
    seconds: float,
    rate: float = 25,
) -> workload.Workload:
    """Return a load on the first database of every workspace.

    `rate` is in statements per second and workspace.
    """
    groups = [
        workload.CallerGroup(
            workspace=name,
            key=f'key-of-{name}',
            database=settings.databases[0],
            rate=rate,
        )
        for name, settings in deployment.settings.workspaces.items()
    ]
    return workload.Workload(seconds=seconds, groups=groups)


def addresses(deployment: fleet.Fleet) -> list[workload.Address]:
    """Return the address of each host for callers."""
    return [
        workload.Address(
            host=name,
            address=host.address,
            port=host.caller_port,
        )
        for name, host in deployment.hosts.items()
    ]


def replica_share(deployment: fleet.Fleet) -> float:
    """Return the share of reads that replicas served, between 0 and 1.

    Reads it from the metrics of all hosts.
    """
    counts = {'primary': 0.0, 'replica': 0.0}
    for host in deployment.hosts.values():
        port = typing.cast(int, host.pool_metrics_port)
        url = f'http://{host.address}:{port}/metrics'
        with urllib.request.urlopen(url, timeout=2) as response:
            for line in response.read().decode().splitlines():
                for role in counts:
                    if line.startswith('egretstep_reads') and role in line:
                        counts[role] += float(line.rsplit(' ', 1)[1])
    return counts['replica'] / max(1, sum(counts.values()))


async def run(example: str, seconds: float) -> int:
    """Run the demonstration; returns 1 if there was a violation, else 0."""
    deployment = fleet.Fleet(example=example, port_offset=PORT_OFFSET)
    try:
        sys.stdout.write(f'starting {example} ...\n')
        await deployment.start()
        load_generator = load.LoadGenerator(
            model=make_workload(deployment, seconds=seconds),
            addresses=addresses(deployment),
        )
        sys.stdout.write(f'load for {seconds:.0f} s ...\n')
        await load_generator.run()
        _print_report(load_generator, replica_share(deployment))
    finally:
        deployment.stop()
    return 1 if load_generator.violations.total else 0


def _print_report(load_generator: load.LoadGenerator, share: float) -> None:
    sys.stdout.write(
        ROW_FORMAT.format(
            'callers', 'statements', 'errors', 'median ms', 'p99 ms'
        ),
    )
    for name, group in load_generator.groups.items():
        _print_group(name, group)
    sys.stdout.write(f'share of reads served by replicas: {share:.3f}\n')
    for guarantee in checks.Guarantee:
        broken = load_generator.violations.counts[guarantee]
        sys.stdout.write(f'violations of "{guarantee.value}": {broken}\n')
    for example in load_generator.violations.examples:
        sys.stdout.write(f'    {example}\n')


def _print_group(name: str, group: measures.GroupStatistics) -> None:
    figures = measures.summarize(group)
    failed = figures['statements'] - figures['outcomes'].get('done', 0)
    sys.stdout.write(
        ROW_FORMAT.format(
            name,
            figures['statements'],
            failed,
            f'{figures["median_ms"]:.2f}',
            f'{figures["p99_ms"]:.2f}',
        ),
    )
    for kind, count in figures['outcomes'].items():
        if kind != 'done':
            sys.stdout.write(f'    {kind}: {count}\n')


def main() -> None:
    """Run the demonstration and exit with its code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--example', default='ausili-brambilla')
    parser.add_argument('--seconds', type=float, default=DEMO_SECONDS)
    options = parser.parse_args()
    sys.exit(asyncio.run(run(options.example, options.seconds)))


if __name__ == '__main__':
    main()
