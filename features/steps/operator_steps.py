"""Steps of operators: changes of settings and their effect."""

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
def withdraw(context: Context, workspace: str) -> None:
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
    place = {'zone': 'zones', 'database': 'databases'}[kind]
    document[place][name]['state'] = {'out': 'out', 'back': 'in'}[state]
    _apply(context)


@when('two operators change the settings at once')
def race(context: Context) -> None:
    context.world.outcomes = context.run(_race(context))


async def _race(context: Context) -> list[typing.Any]:
    deployment = context.world.deployment
    record = await deployment.operator_client('host-1').settings()
    tasks = []
    for host, rate in (('host-1', 111), ('host-2', 222)):
        document = yaml.safe_load(record['text'])
        document['defaults']['rate'] = rate
        tasks.append(
            deployment.operator_client(host).apply(
                text=yaml.safe_dump(document),
                expected=record['version'],
                author=host,
                comment='',
            ),
        )
    return await asyncio.gather(*tasks, return_exceptions=True)


@then('one of them wins and the other is told of the conflict')
def one_wins(context: Context) -> None:
    outcomes = context.world.outcomes
    winners = [each for each in outcomes if isinstance(each, int)]
    losers = [each for each in outcomes if not isinstance(each, int)]
    assert len(winners) == 1, outcomes
    assert isinstance(losers[0], errors.ConflictError), outcomes


@when('the operator changes the rate of all workspaces to {rate:d}')
def change_rate(context: Context, rate: int) -> None:
    context.world.deployment.settings_document['defaults']['rate'] = rate
    _apply(context)


@then('every host has version {version:d} within {seconds:g} s')
def in_force(context: Context, version: int, seconds: float) -> None:
    hosts = len(context.world.deployment.hosts)

    async def everywhere() -> bool:
        statuses = await context.world.deployment.statuses()
        versions = [status['settings_version'] for status in statuses]
        return versions == [version] * hosts

    context.run(context.world.eventually(everywhere, seconds))


@then('the owner of "{database}" is outside its zone within {seconds:g} s')
def owner_moves(context: Context, database: str, seconds: float) -> None:
    deployment = context.world.deployment
    zone = deployment.hosts[context.world.roles['owner']].zone

    async def is_outside() -> bool:
        owner, _primary = await context.world.find(database)
        return deployment.hosts[owner].zone != zone

    context.run(context.world.eventually(is_outside, seconds))


@when('the owner and primary of "{database}" are noted')
def note_roles(context: Context, database: str) -> None:
    owner, primary = context.run(context.world.find(database))
    context.world.roles.update(owner=owner, primary=primary)
