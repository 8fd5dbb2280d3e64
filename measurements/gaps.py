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
STABLE_SECONDS = 1.5
OBSERVATION_SECONDS = 4.0
KINDS = ('freeze primary', 'silence primary', 'kill pool', 'stop pool')


@dataclasses.dataclass(slots=True)
class Writer:
    """Sends writes one after another and records their outcomes.

    `target` is the workspace, the database and the host to connect to.
    `times` holds the monotonic times in seconds of the acknowledged writes
    since the last one before the current failure. `written`, `unknown` and
    `refused` count writes by outcome since the start.
    """

    target: typing.Any
    times: list[float] = dataclasses.field(default_factory=list)
    unknown: int = 0
    refused: int = 0
    written: int = 0

    async def run(self) -> None:
        """Send writes until cancelled."""
        connection: asyncmy.Connection | None = None
        while True:
            try:
                connection = connection or await _connect(self.target)
                await _execute(connection, 'UPDATE gaps SET n = n + 1')
            except asyncmy_errors.MySQLError as error:
                # 45011 is the error code of an unknown outcome.
                self.unknown += error.args[0] == 45011
                self.refused += error.args[0] != 45011
            else:
                self.written += 1
                self.times.append(time.monotonic())

    def gap_around(self, failed_at: float) -> float:
        """Return the longest gap in seconds that ends after a time.

        Without a write after that time, it is the time of observation.
        """
        consecutive = zip(self.times, self.times[1:], strict=False)
        return max(
            (
                later - earlier
                for earlier, later in consecutive
                if later > failed_at
            ),
            default=OBSERVATION_SECONDS,
        )


async def measure(example: str, kind: str, cuts: int) -> None:
    """Cause one kind of failure `cuts` times and print the gaps in writes.

    `kind` is one of `KINDS`.
    """
    deployment = fleet.Fleet(
        example=example,
        port_offset=PORT_OFFSET,
        change=_raise_limits,
    )
    database = next(iter(deployment.settings.databases))
    try:
        await deployment.start()
        gaps = await _measure_gaps(deployment, database, kind, cuts)
    finally:
        deployment.kill_all()
    sys.stdout.write(
        f'{example}, {kind}, {cuts} cuts: median '
        f'{statistics.median(gaps):.2f} s, longest {max(gaps):.2f} s\n',
    )
    sys.stdout.flush()


async def _measure_gaps(
    deployment: fleet.Fleet,
    database: str,
    kind: str,
    cuts: int,
) -> list[float]:
    writer = Writer(target=_connection_target(deployment, database))
    connection = await _connect(writer.target)
    await _execute(connection, 'CREATE TABLE gaps (n INTEGER)')
    await _execute(connection, 'INSERT INTO gaps VALUES (0)')
    writer_task = asyncio.create_task(writer.run())
    gaps = []
    for _ in range(cuts):
        await asyncio.sleep(STABLE_SECONDS)
        writer.times = writer.times[-1:]
        failed_at = time.monotonic()
        await _cause_failure(deployment, database, kind)
        gaps.append(writer.gap_around(failed_at))
    writer_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await writer_task
    stored = (await _execute(connection, 'SELECT n FROM gaps'))[0][0]
    sys.stdout.write(
        f'{writer.written} acknowledged, {writer.unknown} unknown, '
        f'{writer.refused} refused, {stored} stored\n',
    )
    return gaps


async def _cause_failure(
    deployment: fleet.Fleet, database: str, kind: str
) -> None:
    """Cause a failure, let the gap in writes pass, and end the failure."""
    owner, primary = await _owner_and_primary(deployment, database)
    if kind in {'kill pool', 'stop pool'}:
        await _end_pool(deployment, f'{owner}/pool', kind)
    elif kind == 'freeze primary':
        deployment.suspend(primary)
        await asyncio.sleep(OBSERVATION_SECONDS / 2)
        deployment.resume(primary)
    else:
        await _set_silence(deployment, database, primary, 2)
        await asyncio.sleep(OBSERVATION_SECONDS / 2)
        await _set_silence(deployment, database, primary, 0)


async def _end_pool(deployment: fleet.Fleet, name: str, kind: str) -> None:
    if kind == 'kill pool':
        await asyncio.to_thread(deployment.kill, name)
    else:
        await asyncio.to_thread(deployment.terminate, name)
    await asyncio.sleep(OBSERVATION_SECONDS)
    deployment.start_program(*name.split('/'))
    await asyncio.sleep(OBSERVATION_SECONDS)


async def _owner_and_primary(
    deployment: fleet.Fleet, database: str
) -> tuple[str, str]:
    while True:
        for status in await deployment.statuses():
            for entry in status['databases']:
                if entry['database'] == database and entry['serving']:
                    return entry['owner'], entry['primary']
        await asyncio.sleep(0.05)


async def _set_silence(
    deployment: fleet.Fleet,
    database: str,
    primary: str,
    level: int,
) -> None:
    """Set whether a primary answers: 0 always, 2 not even new connections."""
    server = deployment.settings.databases[database].servers[primary]
    connection = await asyncmy.connect(
        host=server.address,
        port=server.port,
        user='fault',
        autocommit=None,
    )
    await _execute(connection, f"CALL fault_set('silent', {level})")
    connection.close()


def _raise_limits(document: dict[str, typing.Any]) -> None:
    for workspace in document['workspaces'].values():
        workspace['defaults'] = {'rate': 10_000, 'burst': 10_000}


def _connection_target(deployment: fleet.Fleet, database: str) -> typing.Any:
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


async def _execute(connection: asyncmy.Connection, sql: str) -> typing.Any:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()


def main() -> None:
    """Run the measurement for the kinds of failure on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--example', default='ausili-brambilla')
    parser.add_argument('--kind', choices=KINDS, action='append')
    parser.add_argument('--cuts', type=int, default=20)
    options = parser.parse_args()
    for kind in options.kind or KINDS:
        asyncio.run(measure(options.example, kind, options.cuts))


if __name__ == '__main__':
    main()
