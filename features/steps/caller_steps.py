"""Steps about callers: their connections, statements and results."""

import asyncio
import time
import typing

from behave import given, then, when

from tests import fixtures

Context = typing.Any


@given('caller "{name}" of "{workspace}" on "{host}"')
@when('caller "{name}" of "{workspace}" connects to "{host}"')
def connect(context: Context, name: str, workspace: str, host: str) -> None:
    databases = context.world.deployment.settings.workspaces[
        workspace
    ].databases
    context.run(
        context.world.connect(name, workspace, host, database=databases[0]),
    )


@given('"{name}" has run "{sql}"')
@when('"{name}" runs "{sql}"')
def run_statement(context: Context, name: str, sql: str) -> None:
    context.run(context.world.run_statement(name, sql))


@given('the table "{definition}" made by "{name}"')
def make_table(context: Context, definition: str, name: str) -> None:
    context.run(context.world.run_statement(name, f'CREATE TABLE {definition}'))
    assert context.world.last_error is None, context.world.last_error


@then('the answer is {expected}')
def check_answer(context: Context, expected: str) -> None:
    assert context.world.last_error is None, context.world.last_error
    cells = ', '.join(
        str(cell) for row in context.world.last_rows for cell in row
    )
    assert cells == expected, f'{cells} instead of {expected}'


@then('the statement fails with {code:d}')
def check_error(context: Context, code: int) -> None:
    error = context.world.last_error
    assert error is not None, f'got {context.world.last_rows}'
    assert error.args[0] == code, error


@then('the message says "{text}"')
def check_message(context: Context, text: str) -> None:
    assert text in str(context.world.last_error), context.world.last_error


@then('"{name}" gets the error {code:d} for "{sql}" within {seconds:g} s')
def check_error_within(
    context: Context,
    name: str,
    code: int,
    sql: str,
    seconds: float,
) -> None:
    async def is_refused() -> bool:
        await context.world.run_statement(name, sql)
        error = context.world.last_error
        # 2006 and 2013: the host has closed the connection after a refusal.
        return error is not None and error.args[0] in {code, 2006, 2013}

    context.run(context.world.wait_until(is_refused, seconds))


@then('"{name}" reads {expected} with "{sql}" within {seconds:g} s')
def check_read_within(
    context: Context,
    name: str,
    expected: str,
    sql: str,
    seconds: float,
) -> None:
    async def has_read_expected() -> bool:
        await context.world.run_statement(name, sql)
        rows = context.world.last_rows
        return rows is not None and str(rows[0][0]) == expected

    context.run(context.world.wait_until(has_read_expected, seconds))


@then('{count:d} writes by "{writer}" are each seen at once by "{reader}"')
def check_read_your_writes(
    context: Context,
    count: int,
    writer: str,
    reader: str,
) -> None:
    for number in range(1, count + 1):
        context.run(
            context.world.run_statement(
                writer,
                f'REPLACE INTO seen (id, n) VALUES (1, {number})',
            ),
        )
        assert context.world.last_error is None, context.world.last_error
        context.run(
            context.world.run_statement(
                reader, 'SELECT n FROM seen WHERE id = 1'
            ),
        )
        check_answer(context, str(number))


@when('callers of "{workspace}" send {rate:d} statements/s for {seconds:d} s')
def flood(context: Context, workspace: str, rate: int, seconds: int) -> None:
    context.run(_flood(context, workspace, rate, seconds))


async def _flood(
    context: Context,
    workspace: str,
    rate: int,
    seconds: int,
) -> None:
    world = context.world
    database = world.deployment.settings.workspaces[workspace].databases[0]
    callers = [
        await world.connect(
            f'flood-{host}-{number}',
            workspace,
            host,
            database=database,
        )
        for host in world.deployment.hosts
        for number in range(4)
    ]
    started_at = time.monotonic()
    interval = len(callers) / rate
    world.results = await asyncio.gather(
        *(
            _send_until(caller, started_at + seconds, interval)
            for caller in callers
        ),
    )
    world.flood_seconds = time.monotonic() - started_at


async def _send_until(
    caller: typing.Any,
    deadline: float,
    interval: float,
) -> int:
    completed = 0
    due_at = time.monotonic()
    while time.monotonic() < deadline:
        due_at += interval
        try:
            await fixtures.run(caller, 'SELECT 1')
        except Exception as error:  # noqa: BLE001
            assert error.args[0] in {45002, 45004, 2006, 2013}, error
        else:
            completed += 1
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
    return completed


@then('no more of "{workspace}" ran than its {allowance} allows')
def check_at_most(context: Context, workspace: str, allowance: str) -> None:
    world = context.world
    settings = world.deployment.settings.workspaces[workspace].defaults
    allowed = settings.rate * world.flood_seconds
    if allowance == 'rate and burst':
        allowed += settings.burst
    completed = sum(world.results)
    assert completed <= allowed, f'{completed} ran, {allowed:.1f} allowed'


@then('at least {limit:d} of them ran')
def check_at_least(context: Context, limit: int) -> None:
    completed = sum(context.world.results)
    assert completed >= limit, f'{completed} ran'


@then('no database server was given a key')
def check_no_key_received(context: Context) -> None:
    for database in context.world.deployment.settings.databases:
        received_statements = context.run(
            fixtures.read_received_statements(
                context.world.deployment, database
            ),
        )
        for text in received_statements:
            assert 'key-of-' not in text
