"""Steps about operators: changes of the settings and their effects."""

import asyncio
import time
import typing

import yaml
from behave import then, when

from egretstep import errors

Context = typing.Any


def _apply(context: Context, **options: typing.Any) -> None:
    context.world.failed_at = time.monotonic()
    context.run(context.world.deployment.apply(**options))


@when('the operator withdraws the key of "{workspace}"')
def withdraw_key(context: Context, workspace: str) -> None:
    document = context.world.deployment.settings_document
    keys = document['workspaces'][workspace]['keys']
    keys['first']['state'] = 'withdrawn'
    _apply(context)


@when('the operator takes {kind} "{name}" {state}')
def change_state(context: Context, kind: str, name: str, state: str) -> None:
    document = context.world.deployment.settings_document
    if name == 'of the owner':
        name = context.world.deployment.hosts[context.world.roles['owner']].zone
    if name == 'of the primary':
        servers = context.world.deployment.settings.databases['loans'].servers
        name = servers[context.world.roles['primary']].zone
    section = {'zone': 'zones', 'database': 'databases'}[kind]
    document[section][name]['state'] = {'out': 'out', 'back': 'in'}[state]
    _apply(context)


@when('two operators change the settings at once')
def apply_concurrently(context: Context) -> None:
    context.world.results = context.run(_apply_concurrently(context))


async def _apply_concurrently(context: Context) -> list[typing.Any]:
    deployment = context.world.deployment
    record = await deployment.operator_client('host-1').settings()
    changes = []
    for host, rate in (('host-1', 111), ('host-2', 222)):
        document = yaml.safe_load(record['text'])
        document['defaults']['rate'] = rate
        changes.append(
            deployment.operator_client(host).apply(
                text=yaml.safe_dump(document),
                expected=record['version'],
                author=host,
                comment='',
            ),
        )
    return await asyncio.gather(*changes, return_exceptions=True)


@then('one of them wins and the other is told of the conflict')
def check_one_conflict(context: Context) -> None:
    results = context.world.results
    winners = [result for result in results if isinstance(result, int)]
    losers = [result for result in results if not isinstance(result, int)]
    assert len(winners) == 1, results
    assert isinstance(losers[0], errors.ConflictError), results


@when('the operator changes the rate of all workspaces to {rate:d}')
def change_rate(context: Context, rate: int) -> None:
    context.world.deployment.settings_document['defaults']['rate'] = rate
    _apply(context)


@then('every host has version {version:d} within {seconds:g} s')
def check_settings_version(
    context: Context, version: int, seconds: float
) -> None:
    hosts = len(context.world.deployment.hosts)

    async def is_everywhere() -> bool:
        statuses = await context.world.deployment.statuses()
        versions = [status['settings_version'] for status in statuses]
        return versions == [version] * hosts

    context.run(context.world.wait_until(is_everywhere, seconds))


@then('the owner of "{database}" is outside its zone within {seconds:g} s')
def check_owner_leaves_zone(
    context: Context, database: str, seconds: float
) -> None:
    deployment = context.world.deployment
    zone = deployment.hosts[context.world.roles['owner']].zone

    async def is_outside() -> bool:
        owner, _primary = await context.world.find_owner_and_primary(database)
        return deployment.hosts[owner].zone != zone

    context.run(context.world.wait_until(is_outside, seconds))


@when('the owner and primary of "{database}" are noted')
def note_roles(context: Context, database: str) -> None:
    owner, primary = context.run(context.world.find_owner_and_primary(database))
    context.world.roles.update(owner=owner, primary=primary)
