"""Runs a write at most once for each request key.

The key is inserted in the caller's database, in the same transaction as the
write. The guarantee therefore holds across retries, hosts and failovers for
as long as the row is kept.
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
    """Run a write, unless a write with its request key has run before.

    A repeated key returns the affected rows and the insert id of the first
    run. The table of keys is created when it is missing. Raises the errors
    of `ServerConnection.run`.
    """
    key = f'{workspace}/{request_key}'
    try:
        return await _run_with_key(connection, key, sql)
    except database.ServerRefusalError as error:
        await connection.run('ROLLBACK')
        if error.code == CODE_NO_TABLE and TABLE in error.message:
            await connection.run(_CREATE)
            return await _run_with_key(connection, key, sql)
        if error.code == CODE_DUPLICATE and TABLE in error.message:
            return await _read_first_result(connection, key)
        raise


async def _run_with_key(
    connection: database.ServerConnection,
    key: str,
    sql: bytes,
) -> database.StatementResult:
    await connection.run('BEGIN')
    await connection.run(
        f"INSERT INTO {TABLE} (request_key) VALUES ('{key}')",
    )
    result = await connection.run(sql)
    await connection.run(
        f'UPDATE {TABLE} SET affected_rows = {result.affected_rows}, '
        f"insert_id = {result.insert_id} WHERE request_key = '{key}'",
    )
    committed = await connection.run('COMMIT')
    return result._replace(
        information=committed.information,
        in_transaction=False,
    )


async def _read_first_result(
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
