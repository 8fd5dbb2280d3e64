"""Measures how long writes stop when a primary or an owner is lost.

One writer sends writes without a pause while the same kind of failure is
brought about again and again. A gap is the time between the last write
acknowledged before and the first one acknowledged after it.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import statistics
import sys
import time
import typing

import asyncmy
from asyncmy import errors as asyncmy_errors

from standins import fleet

PORT_OFFSET = 4000
SETTLE_SECONDS = 1.5
WATCH_SECONDS = 4.0
KINDS = ('freeze primary', 'silence primary', 'kill pool', 'stop pool')


@dataclasses.dataclass(slots=True)
class Writer:
    """Sends writes and keeps the times of the acknowledged ones."""

    host: typing.Any
    times: list[float] = dataclasses.field(default_factory=list)
    unknown: int = 0
    refused: int = 0
    written: int = 0

    async def run(self) -> None:
        """Write until cancelled."""
        connection: asyncmy.Connection | None = None
        while True:
            try:
                connection = connection or await _connect(self.host)
                await _run(connection, 'UPDATE gaps SET n = n + 1')
            except asyncmy_errors.MySQLError as error:
                self.unknown += error.args[0] == 45011
                self.refused += error.args[0] != 45011
            else:
                self.written += 1
                self.times.append(time.monotonic())

    def gap_around(self, moment: float) -> float:
        """Return the longest gap that ends after a moment."""
        pairs = zip(self.times, self.times[1:], strict=False)
        return max(
            (later - earlier for earlier, later in pairs if later > moment),
            default=WATCH_SECONDS,
        )


async def measure(example: str, kind: str, cuts: int) -> None:
    """Bring one kind of failure about and print the gaps."""
    deployment = fleet.Fleet(
        example=example,
        port_offset=PORT_OFFSET,
        change=_raise_limits,
    )
    database = next(iter(deployment.settings.databases))
    try:
        await deployment.start()
        gaps = await _cut_again_and_again(deployment, database, kind, cuts)
    finally:
        deployment.kill_all()
    sys.stdout.write(
        f'{example}, {kind}, {cuts} cuts: median '
        f'{statistics.median(gaps):.2f} s, longest {max(gaps):.2f} s\n',
    )
    sys.stdout.flush()


async def _cut_again_and_again(
    deployment: fleet.Fleet,
    database: str,
    kind: str,
    cuts: int,
) -> list[float]:
    writer = Writer(host=_caller_host(deployment, database))
    connection = await _connect(writer.host)
    await _run(connection, 'CREATE TABLE gaps (n INTEGER)')
    await _run(connection, 'INSERT INTO gaps VALUES (0)')
    task = asyncio.create_task(writer.run())
    gaps = []
    for _ in range(cuts):
        await asyncio.sleep(SETTLE_SECONDS)
        writer.times = writer.times[-1:]
        moment = time.monotonic()
        await _cut(deployment, database, kind)
        gaps.append(writer.gap_around(moment))
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    stored = (await _run(connection, 'SELECT n FROM gaps'))[0][0]
    sys.stdout.write(
        f'{writer.written} acknowledged, {writer.unknown} unknown, '
        f'{writer.refused} refused, {stored} stored\n',
    )
    return gaps


async def _cut(deployment: fleet.Fleet, database: str, kind: str) -> None:
    owner, primary = await _roles(deployment, database)
    if kind in {'kill pool', 'stop pool'}:
        await _cut_pool(deployment, f'{owner}/pool', kind)
    elif kind == 'freeze primary':
        deployment.suspend(primary)
        await asyncio.sleep(WATCH_SECONDS / 2)
        deployment.resume(primary)
    else:
        await _silence(deployment, database, primary, 2)
        await asyncio.sleep(WATCH_SECONDS / 2)
        await _silence(deployment, database, primary, 0)


async def _cut_pool(deployment: fleet.Fleet, name: str, kind: str) -> None:
    if kind == 'kill pool':
        await asyncio.to_thread(deployment.kill, name)
    else:
        await asyncio.to_thread(deployment.terminate, name)
    await asyncio.sleep(WATCH_SECONDS)
    deployment.start_program(*name.split('/'))
    await asyncio.sleep(WATCH_SECONDS)


async def _roles(deployment: fleet.Fleet, database: str) -> tuple[str, str]:
    while True:
        for status in await deployment.statuses():
            for entry in status['databases']:
                if entry['database'] == database and entry['serving']:
                    return entry['owner'], entry['primary']
        await asyncio.sleep(0.05)


async def _silence(
    deployment: fleet.Fleet,
    database: str,
    primary: str,
    level: int,
) -> None:
    server = deployment.settings.databases[database].servers[primary]
    connection = await asyncmy.connect(
        host=server.address,
        port=server.port,
        user='fault',
        autocommit=None,
    )
    await _run(connection, f"CALL fault_set('silent', {level})")
    connection.close()


def _raise_limits(document: dict[str, typing.Any]) -> None:
    for workspace in document['workspaces'].values():
        workspace['defaults'] = {'rate': 10_000, 'burst': 10_000}


def _caller_host(deployment: fleet.Fleet, database: str) -> typing.Any:
    workspace = next(
        name
        for name, settings in deployment.settings.workspaces.items()
        if settings.databases[0] == database
    )
    return workspace, database, deployment.hosts['host-1']


async def _connect(target: typing.Any) -> asyncmy.Connection:
    workspace, database, host = target
    return await asyncmy.connect(
        host=host.address,
        port=host.caller_port,
        user=workspace,
        password=f'key-of-{workspace}',
        database=database,
        autocommit=True,
    )


async def _run(connection: asyncmy.Connection, sql: str) -> typing.Any:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()


def main() -> None:
    """Start the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--example', default='ausili-brambilla')
    parser.add_argument('--kind', choices=KINDS, action='append')
    parser.add_argument('--cuts', type=int, default=20)
    options = parser.parse_args()
    for kind in options.kind or KINDS:
        asyncio.run(measure(options.example, kind, options.cuts))


if __name__ == '__main__':
    main()
