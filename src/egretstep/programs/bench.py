"""The load program: sends a workload and reports what callers saw.

Exit codes: 0 no promise was broken, 1 one was, 2 the workload is wrong.
"""

import argparse
import asyncio
import pathlib
import sys
import typing

import orjson
from returns import result

from egretstep.bench import load, measures, workload
from egretstep.settings import loader

EXIT_VIOLATION = 1
EXIT_INVALID_WORKLOAD = 2


async def _run(
    model: workload.Workload,
    addresses: list[workload.Address],
) -> dict[str, typing.Any]:
    load_generator = load.LoadGenerator(model=model, addresses=addresses)
    await load_generator.run()
    return {
        'groups': {
            name: measures.summarize(group)
            for name, group in load_generator.groups.items()
        },
        'violations': {
            guarantee.value: count
            for guarantee, count in load_generator.violations.counts.items()
        },
        'examples': load_generator.violations.examples,
    }


def _parse_address(text: str) -> workload.Address:
    address, _separator, port = text.rpartition(':')
    return workload.Address(host=text, address=address, port=int(port))


def main() -> None:
    """Start the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('workload', type=pathlib.Path, help='YAML file')
    parser.add_argument(
        'address',
        nargs='+',
        type=_parse_address,
        help='IP number and port of an entry',
    )
    options = parser.parse_args()
    checked = loader.load(path=options.workload, model=workload.Workload)
    if isinstance(checked, result.Failure):
        for problem in checked.failure():
            sys.stderr.write(f'{options.workload}: {problem}\n')
        sys.exit(EXIT_INVALID_WORKLOAD)
    report = asyncio.run(_run(checked.unwrap(), options.address))
    sys.stdout.write(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    sys.stdout.write('\n')
    sys.exit(EXIT_VIOLATION if report['violations'] else 0)


if __name__ == '__main__':
    main()
