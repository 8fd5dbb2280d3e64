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
APPLY_LAG_SECONDS = 0.04


async def measure(example: str, policy: schema.ReadPolicy) -> None:
    """Measure one read policy of an example deployment and print the result."""

    def change(document: dict[str, typing.Any]) -> None:
        document['defaults']['read_policy'] = policy.value

    deployment = fleet.Fleet(
        example=example,
        port_offset=PORT_OFFSET,
        change=change,
        database_options=['--apply-lag', str(APPLY_LAG_SECONDS)],
    )
    try:
        await deployment.start()
        load_generator = load.LoadGenerator(
            model=demo.make_workload(deployment, seconds=LOAD_SECONDS),
            addresses=demo.addresses(deployment),
        )
        await load_generator.run()
        share = demo.replica_share(deployment)
    finally:
        deployment.kill_all()
    _report(example, policy, load_generator, share)


def _report(
    example: str,
    policy: schema.ReadPolicy,
    load_generator: load.LoadGenerator,
    share: float,
) -> None:
    summaries = [
        measures.summarize(group) for group in load_generator.groups.values()
    ]
    medians = [each['median_ms'] for each in summaries]
    worst = max(each['p99_ms'] for each in summaries)
    statements = sum(each['statements'] for each in summaries)
    done = sum(each['outcomes'].get('done', 0) for each in summaries)
    sys.stdout.write(
        f'{example}, {policy.value}: {share:.3f} of the reads by replicas, '
        f'median {sum(medians) / len(medians):.1f} ms, worst p99 '
        f'{worst:.1f} ms, {statements - done} of {statements} not done, '
        f'{load_generator.violations.total} violations\n',
    )
    sys.stdout.flush()


def main() -> None:
    """Measure each read policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--example', default='ausili-brambilla')
    options = parser.parse_args()
    for policy in schema.ReadPolicy:
        asyncio.run(measure(options.example, policy))


if __name__ == '__main__':
    main()
