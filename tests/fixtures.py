"""Helpers of tests that run real processes: callers and their statements."""

import typing

import asyncmy

from standins import fleet

PORT_OFFSET = 2000


async def connect(
    deployment: fleet.Fleet,
    *,
    host: str = 'host-1',
    workspace: str = 'depot-milano',
    key: str | None = None,
    database: str | None = 'loans',
    **options: typing.Any,
) -> asyncmy.Connection:
    """Connect a caller of a workspace to one host.

    `key` is the workspace's key in the examples unless it is given. Other
    options are those of `asyncmy.connect`; `autocommit` is on by default.
    """
    settings = deployment.hosts[host]
    return await asyncmy.connect(
        host=settings.address,
        port=settings.caller_port,
        user=workspace,
        password=f'key-of-{workspace}' if key is None else key,
        database=database,
        autocommit=options.pop('autocommit', True),
        **options,
    )


async def run(connection: asyncmy.Connection, sql: str) -> typing.Any:
    """Run one statement and return its rows, each a tuple."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()


async def read_received_statements(
    deployment: fleet.Fleet, database: str
) -> list[str]:
    """Return the statements that each server of a database has received.

    There is one string for each server, a JSON list.
    """
    statements: list[str] = []
    for server in deployment.settings.databases[database].servers.values():
        connection = await asyncmy.connect(
            host=server.address,
            port=server.port,
            user='test',
            autocommit=None,
        )
        rows = await run(connection, 'CALL group_received()')
        statements.append(rows[0][0])
        connection.close()
    return statements
