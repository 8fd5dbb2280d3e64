"""Start of a program: settings file, logs, event loop and signals."""

import argparse
import asyncio
import contextlib
import pathlib
import signal
import sys
import typing

import capnp
from returns import result

from egretstep.observability import logs
from egretstep.settings import loader, schema

EXIT_INVALID_SETTINGS = 2

Program = typing.Callable[[schema.HostSettings], typing.Awaitable[None]]


def run(*, program: Program, description: str) -> None:
    """Read the settings file of the host and run a program.

    The program is cancelled by SIGTERM or SIGINT. `description` is shown in
    the help of the command line. Exits with `EXIT_INVALID_SETTINGS` and a
    list of the errors if the settings file is invalid.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('settings', type=pathlib.Path, help='YAML file')
    path = parser.parse_args().settings
    checked = loader.load(path=path, model=schema.HostSettings)
    if isinstance(checked, result.Failure):
        for problem in checked.failure():
            sys.stderr.write(f'{path}: {problem}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = checked.unwrap()
    logs.set_up(log_format=settings.log_format)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(capnp.run(_run_until_signal(program, settings)))


async def _run_until_signal(
    program: Program,
    settings: schema.HostSettings,
) -> None:
    task = asyncio.ensure_future(program(settings))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task
