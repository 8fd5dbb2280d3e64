"""Starts an example deployment and runs it until Ctrl-C."""

import argparse
import asyncio
import contextlib
import sys

from standins import fleet


async def run(example: str) -> None:
    """Start a deployment and print its endpoints; runs until cancelled."""
    deployment = fleet.Fleet(example=example)
    try:
        await deployment.start()
        _print_endpoints(deployment)
        await asyncio.Event().wait()
    finally:
        deployment.stop()


def _print_endpoints(deployment: fleet.Fleet) -> None:
    for name, host in deployment.hosts.items():
        sys.stdout.write(
            f'{name} in {host.zone}: callers {host.address}:'
            f'{host.caller_port}, operators http://{host.address}:'
            f'{host.operator_port} (token {host.operator_token})\n',
        )
    for name, workspace in deployment.settings.workspaces.items():
        databases = ', '.join(workspace.databases)
        sys.stdout.write(f'{name}: key key-of-{name}, databases {databases}\n')
    sys.stdout.write('Ctrl-C stops everything\n')
    sys.stdout.flush()


def main() -> None:
    """Run the deployment that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--example', default='ausili-brambilla')
    options = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(options.example))


if __name__ == '__main__':
    main()
