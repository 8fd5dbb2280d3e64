"""At most one run for each request key, kept in the database itself.

The key is inserted in the same transaction as the statement, so that it
holds across retries, hosts and failovers for as long as the row is kept.
"""

from egretstep import identifiers
from egretstep.backends import mysql as database

TABLE = 'egretstep_requests'
CODE_DUPLICATE = 1062
CODE_NO_TABLE = 1146
_CREATE = (
    f'CREATE TABLE IF NOT EXISTS {TABLE} ('
    'request_key VARCHAR(200) PRIMARY KEY, affected_rows BIGINT, '
    'insert_id BIGINT)'
)


async def run_once(
    *,
    connection: database.ServerConnection,
    workspace: identifiers.WorkspaceName,
    request_key: identifiers.RequestKey,
    sql: bytes,
) -> database.StatementResult:
    """Run a write unless its key has run already.

    Returns the result of the first run, with its row counts. Raises what
    `ServerConnection.run` raises.
    """
    key = f'{workspace}/{request_key}'
    try:
        return await _run(connection, key, sql)
    except database.ServerRefusalError as error:
        await connection.run('ROLLBACK')
        if error.code == CODE_NO_TABLE and TABLE in error.message:
            await connection.run(_CREATE)
            return await _run(connection, key, sql)
        if error.code == CODE_DUPLICATE and TABLE in error.message:
            return await _recall(connection, key)
        raise


async def _run(
    connection: database.ServerConnection,
    key: str,
    sql: bytes,
) -> database.StatementResult:
    await connection.run('BEGIN')
    await connection.run(
        f"INSERT INTO {TABLE} (request_key) VALUES ('{key}')",
    )
    done = await connection.run(sql)
    await connection.run(
        f'UPDATE {TABLE} SET affected_rows = {done.affected_rows}, '
        f"insert_id = {done.insert_id} WHERE request_key = '{key}'",
    )
    committed = await connection.run('COMMIT')
    return done._replace(
        information=committed.information,
        in_transaction=False,
    )


async def _recall(
    connection: database.ServerConnection,
    key: str,
) -> database.StatementResult:
    found = await connection.run(
        f'SELECT affected_rows, insert_id FROM {TABLE} '
        f"WHERE request_key = '{key}'",
    )
    affected_rows, insert_id = (int(cell or 0) for cell in found.rows[0])
    return database.StatementResult(
        columns=(),
        rows=(),
        affected_rows=affected_rows,
        insert_id=insert_id,
        information=b'',
        in_transaction=False,
    )
