"""Steps that start deployments, send load and cause failures."""

import asyncio
import signal
import time
import typing

from behave import given, then, when

from standins import fleet

Context = typing.Any


@given('the {example} deployment')
def start_deployment(context: Context, example: str) -> None:
    context.run(context.world.start(example))


@given(
    'a rate of {rate:d} statements/s for "{workspace}" in the {example} deployment'
)
def start_deployment_with_rate(
    context: Context,
    rate: int,
    workspace: str,
    example: str,
) -> None:
    def set_rate(document: dict[str, typing.Any]) -> None:
        document['workspaces'][workspace]['defaults'] = {
            'rate': rate,
            'burst': rate,
        }

    context.run(context.world.start(example, change=set_rate))


@given('load for {seconds:d} seconds')
def start_load(context: Context, seconds: int) -> None:
    context.run(context.world.start_load(seconds))


@given('replicas of "{database}" that lag {seconds:g} s')
def lag_replicas(context: Context, database: str, seconds: float) -> None:
    for server in context.world.deployment.settings.databases[database].servers:
        context.run(context.world.set_fault(server, 'apply_lag', seconds))


@when('the primary of "{database}" is {failure}')
def fail_primary(context: Context, database: str, failure: str) -> None:
    _owner, primary = context.run(
        context.world.find_owner_and_primary(database)
    )
    context.world.roles['primary'] = primary
    context.world.failed_at = time.monotonic()
    deployment = context.world.deployment
    if failure == 'killed':
        deployment.kill(primary)
    elif failure == 'frozen':
        deployment.suspend(primary)
    elif failure == 'silent on open connections and on new ones':
        # Above 1, new connections get no answer either.
        context.run(context.world.set_fault(primary, 'silent', 2))
    elif failure == 'silent on open connections only':
        context.run(context.world.set_fault(primary, 'silent_old', 1))
    else:
        raise AssertionError(f'no such failure: {failure}')


@when('the primary of "{database}" loses the answers to commits')
def lose_answers(context: Context, database: str) -> None:
    _owner, primary = context.run(
        context.world.find_owner_and_primary(database)
    )
    context.run(context.world.set_fault(primary, 'lose_commit_answers', 1))


@when('the old primary wakes up')
def resume_primary(context: Context) -> None:
    primary = context.world.roles['primary']
    context.world.deployment.resume(primary)
    context.run(context.world.set_fault(primary, 'silent', 0))


@when('the host that owns "{database}" is {failure}')
def fail_owner(context: Context, database: str, failure: str) -> None:
    owner, _primary = context.run(
        context.world.find_owner_and_primary(database)
    )
    context.world.roles['owner'] = owner
    deployment = context.world.deployment
    if failure == 'killed':
        deployment.kill_host(owner)
    elif failure == 'frozen':
        for program in fleet.PROGRAMS:
            deployment.suspend(f'{owner}/{program}')
    elif failure == 'stopped on plan':
        for program in fleet.PROGRAMS:
            deployment.send_signal(f'{owner}/{program}', signal.SIGTERM)
    else:
        raise AssertionError(f'no such failure: {failure}')


@when('the pool that owns "{database}" is {failure}')
def fail_pool(context: Context, database: str, failure: str) -> None:
    owner, _primary = context.run(
        context.world.find_owner_and_primary(database)
    )
    context.world.roles['owner'] = owner
    deployment = context.world.deployment
    if failure == 'killed':
        deployment.kill(f'{owner}/pool')
    else:
        deployment.suspend(f'{owner}/pool')


@when('the frozen programs wake up')
def resume_owner(context: Context) -> None:
    owner = context.world.roles['owner']
    for program in fleet.PROGRAMS:
        name = f'{owner}/{program}'
        if name in context.world.deployment.names():
            context.world.deployment.resume(name)


@when('the entry of "{host}" is killed')
def kill_entry(context: Context, host: str) -> None:
    context.world.deployment.kill(f'{host}/entry')


@when('the platform {state}')
def set_platform_state(context: Context, state: str) -> None:
    faults = {
        'is down': {'outage': 1},
        'is back': {'outage': 0},
        'loses its answers': {'lose_answers': 1},
        'serves old reads': {'old_reads': 1},
    }
    context.run(context.world.set_platform_faults(**faults[state]))


@when('{seconds:g} s pass')
def wait(context: Context, seconds: float) -> None:
    context.run(asyncio.sleep(seconds))


@when('the agents of all hosts but "{host}" are frozen')
def suspend_agents(context: Context, host: str) -> None:
    for other_host in context.world.deployment.hosts:
        if other_host != host:
            context.world.deployment.suspend(f'{other_host}/agent')


@when('"{host}" is killed and started again')
def restart_host(context: Context, host: str) -> None:
    context.world.deployment.kill_host(host)
    context.world.deployment.start_host(host)


@then('"{database}" has another primary within {seconds:g} s')
def check_other_primary(
    context: Context, database: str, seconds: float
) -> None:
    async def has_changed() -> bool:
        _owner, primary = await context.world.find_owner_and_primary(database)
        return primary != context.world.roles['primary']

    context.run(context.world.wait_until(has_changed, seconds))


@then('"{database}" has another owner within {seconds:g} s')
def check_other_owner(context: Context, database: str, seconds: float) -> None:
    async def has_changed() -> bool:
        owner, _primary = await context.world.find_owner_and_primary(database)
        return owner != context.world.roles['owner']

    context.run(context.world.wait_until(has_changed, seconds))


@then('the load ends with no promise broken')
def check_load(context: Context) -> None:
    context.run(context.world.finish_load())
    _check_violations(context)


@then('the load without the lost host ends with no promise broken')
def check_load_without_lost_host(context: Context) -> None:
    context.run(
        context.world.finish_load(without=[context.world.roles['owner']]),
    )
    _check_violations(context)


def _check_violations(context: Context) -> None:
    violations = context.world.load.violations
    assert not violations.total, violations.examples


@then('no caller of "{database}" waited more than {seconds:g} s')
def check_longest_gap(context: Context, database: str, seconds: float) -> None:
    for name, group in context.world.load.groups.items():
        if name.endswith(f'/{database}'):
            gap = group.longest_gap()
            assert gap < seconds, f'{name} had a gap of {gap:.2f} s'


@then('no statement of "{database}" took more than {seconds:g} s')
def check_slowest_statement(
    context: Context, database: str, seconds: float
) -> None:
    for name, group in context.world.load.groups.items():
        if name.endswith(f'/{database}'):
            slowest_seconds = group.slowest_seconds
            assert slowest_seconds < seconds, (
                f'{name}: one took {slowest_seconds:.2f} s'
            )


@then('no statement had the outcome {kinds}')
def check_no_outcome(context: Context, kinds: str) -> None:
    for name, group in context.world.load.groups.items():
        for kind in kinds.split(' or '):
            count = group.outcomes[kind]
            assert not count, f'{name}: {count} of {kind}'


@then('no server had more connections than its limit')
def check_connection_limit(context: Context) -> None:
    fleet_settings = context.world.deployment.settings
    for database in fleet_settings.databases.values():
        for server in database.servers:
            # A primary that a step has noted was made to fail.
            if server == context.world.roles.get('primary'):
                continue
            rows = context.run(
                context.world.run_control(server, 'CALL group_counters()'),
            )
            most_connections = int(rows[0][0].split(':')[1].strip(' }'))
            assert most_connections <= database.connections, (
                f'{server}: {most_connections}'
            )
