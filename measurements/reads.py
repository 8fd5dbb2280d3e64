"""Compares the policies for reads: share of replicas, latency, violations.

Each policy gets a fresh deployment with lagging replicas and the same load,
with sessions that write and roam.
"""

import argparse
import asyncio
import sys
import typing

from egretstep.bench import load, measures
from egretstep.settings import schema
from standins import demo, fleet

PORT_OFFSET = 4000
LOAD_SECONDS = 8.0
LAG_SECONDS = 0.04


async def measure(example: str, policy: schema.ReadPolicy) -> None:
    """Run one policy and print its figures."""

    def change(document: dict[str, typing.Any]) -> None:
        document['defaults']['read_policy'] = policy.value

    deployment = fleet.Fleet(
        example=example,
        port_offset=PORT_OFFSET,
        change=change,
        database_options=['--apply-lag', str(LAG_SECONDS)],
    )
    try:
        await deployment.start()
        running = load.Load(
            model=demo.make_workload(deployment, seconds=LOAD_SECONDS),
            addresses=demo.addresses(deployment),
        )
        await running.run()
        share = demo.replica_share(deployment)
    finally:
        deployment.kill_all()
    _report(example, policy, running, share)


def _report(
    example: str,
    policy: schema.ReadPolicy,
    running: load.Load,
    share: float,
) -> None:
    figures = [measures.summary(group) for group in running.groups.values()]
    medians = [each['median_ms'] for each in figures]
    worst = max(each['p99_ms'] for each in figures)
    statements = sum(each['statements'] for each in figures)
    done = sum(each['outcomes'].get('done', 0) for each in figures)
    sys.stdout.write(
        f'{example}, {policy.value}: {share:.3f} of the reads by replicas, '
        f'median {sum(medians) / len(medians):.1f} ms, worst p99 '
        f'{worst:.1f} ms, {statements - done} of {statements} not done, '
        f'{running.violations.total} violations\n',
    )
    sys.stdout.flush()


def main() -> None:
    """Start the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--example', default='ausili-brambilla')
    options = parser.parse_args()
    for policy in schema.ReadPolicy:
        asyncio.run(measure(options.example, policy))


if __name__ == '__main__':
    main()
