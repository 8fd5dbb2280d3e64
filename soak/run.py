"""Soak test with one seed: deployment, callers, faults and final checks."""

import asyncio
import dataclasses
import random

from soak import callers, deployment, faults
from standins import platform_caller, platform_fleet

WRITERS = 6
READERS = 3
RECOVERY_TIMEOUT_SECONDS = 12.0
SETTLE_SECONDS = 1.0
MAX_SETTINGS_DELAY_SECONDS = 3.0
ADDED_DATABASE = 'added-after-the-faults'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Result of the soak test with one seed.

    `violations` describes the violated guarantees, `injected_faults` the
    faults. `codes` counts the writes by the answer that callers received.
    """

    seed: int
    violations: list[str]
    injected_faults: list[str]
    codes: dict[str, int]

    def text(self) -> str:
        """Return one line, and the faults if a guarantee was violated."""
        state = '; '.join(self.violations) or 'kept'
        lines = [f'seed {self.seed}: {state} {self.codes}']
        if self.violations:
            lines.extend(f'    {fault}' for fault in self.injected_faults)
        return '\n'.join(lines)


async def soak(
    *, seed: int, seconds: float, first_port: int, restores: int = 0
) -> Report:
    """Run callers and the faults of a seed against a new deployment.

    The faults go on for `seconds`, and the callers until the deployment has
    recovered. `restores` is how often the store returns from a copy. The hosts
    listen on ports from `first_port` on. If a guarantee was violated, the logs
    of the hosts are kept under `soak-SEED` in the folder for temporary files.
    """
    randomness = random.Random(seed)
    history = callers.History()
    async with deployment.SoakFleet(first_port=first_port) as fleet:
        schedule = faults.FaultSchedule(
            fleet=fleet,
            randomness=randomness,
            restores=restores,
            restore_randomness=random.Random(f'{seed}/restores'),
        )
        all_callers = _make_callers(fleet, history, seed)
        caller_tasks = [
            asyncio.ensure_future(caller.run()) for caller in all_callers
        ]
        await schedule.run(seconds)
        violations = [
            f'host-{index} ended alone' for index in fleet.unexpectedly_ended()
        ]
        await fleet.heal()
        violations += await _wait_recovered(fleet)
        violations += await _find_hosts_without_change(fleet)
        for task in caller_tasks:
            task.cancel()
        await asyncio.gather(*caller_tasks, return_exceptions=True)
        for caller in all_callers:
            caller.disconnect()
        await asyncio.sleep(SETTLE_SECONDS)
        violations += history.find_violations(_stored_items(fleet))
        if violations:
            fleet.keep_logs(f'soak-{seed}')
    return Report(
        seed=seed,
        violations=violations,
        injected_faults=schedule.injected_faults,
        codes=dict(history.codes),
    )


def _make_callers(
    fleet: deployment.SoakFleet,
    history: callers.History,
    seed: int,
) -> list[callers.Caller]:
    databases = [
        *[platform_caller.DATABASE for _ in range(WRITERS)],
        *[platform_fleet.SESSION_DATABASE for _ in range(READERS)],
    ]
    return [
        callers.Caller(
            name=f'caller{number}',
            fleet=fleet,
            history=history,
            randomness=random.Random(f'{seed}/{number}'),
            database=database,
        )
        for number, database in enumerate(databases)
    ]


async def _wait_recovered(fleet: deployment.SoakFleet) -> list[str]:
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
            await fleet.wait_serving()
    except TimeoutError:
        return [f'no service {RECOVERY_TIMEOUT_SECONDS} s after the last fault']
    return []


async def _find_hosts_without_change(
    fleet: deployment.SoakFleet,
) -> list[str]:
    """Add a database; return the hosts that do not serve it in time."""
    fleet.added_databases.append(ADDED_DATABASE)
    fleet.configure()
    await asyncio.sleep(MAX_SETTINGS_DELAY_SECONDS)
    behind = []
    for index in fleet.up:
        try:
            caller = await platform_caller.Caller.connect(
                fleet.port(index), database=ADDED_DATABASE
            )
        except (OSError, platform_caller.AnswerError) as error:
            behind.append(
                f'host-{index} does not serve a database '
                f'{MAX_SETTINGS_DELAY_SECONDS} s after it was added: {error!r}'
            )
        else:
            caller.close()
    return behind


def _stored_items(fleet: deployment.SoakFleet) -> list[str]:
    """Return the written items in the order of the primary's log.

    A writer's item is the key of its row. A reader writes numbers to one row
    under its own name, and its item consists of this name and the number.
    """
    items = []
    for entry in fleet.group.primary.log:
        for item, content in entry.writes:
            is_reader = '-' not in item
            items.append(f'{item}-{content}' if is_reader else item)
    return items
