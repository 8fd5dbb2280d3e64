"""One soak: a deployment, callers, faults, and the comparison at the end."""

import asyncio
import dataclasses
import random

from soak import callers, deployment, faults
from standins import platform_fleet

WRITERS = 6
READERS = 3
RECOVERY_SECONDS = 12.0
SETTLE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What one seed gave."""

    seed: int
    broken: list[str]
    struck: list[str]
    codes: dict[str, int]

    def text(self) -> str:
        """Return a line, and the faults where a promise was broken."""
        state = '; '.join(self.broken) or 'kept'
        lines = [f'seed {self.seed}: {state} {self.codes}']
        if self.broken:
            lines.extend(f'    {each}' for each in self.struck)
        return '\n'.join(lines)


async def soak(*, seed: int, seconds: float, first_port: int) -> Report:
    """Soak a deployment of its own; the faults are those of the seed."""
    randomness = random.Random(seed)
    ledger = callers.Ledger()
    async with deployment.SoakedFleet(first_port=first_port) as fleet:
        plan = faults.Plan(fleet=fleet, randomness=randomness)
        everyone = _make_callers(fleet, ledger, seed)
        sending = [asyncio.ensure_future(each.run()) for each in everyone]
        await plan.run(seconds)
        broken = [f'host-{index} ended alone' for index in fleet.ended_alone()]
        await fleet.heal()
        broken += await _wait_recovered(fleet)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        for caller in everyone:
            caller.leave()
        await asyncio.sleep(SETTLE_SECONDS)
        broken += ledger.compare(_stored(fleet))
        if broken:
            fleet.keep_logs(f'soak-{seed}')
    return Report(
        seed=seed,
        broken=broken,
        struck=plan.struck,
        codes=dict(ledger.codes),
    )


def _make_callers(
    fleet: deployment.SoakedFleet,
    ledger: callers.Ledger,
    seed: int,
) -> list[callers.Caller]:
    databases = [
        *[platform_fleet.DATABASE for _ in range(WRITERS)],
        *[platform_fleet.SESSION_DATABASE for _ in range(READERS)],
    ]
    return [
        callers.Caller(
            name=f'caller{number}',
            fleet=fleet,
            ledger=ledger,
            randomness=random.Random(f'{seed}/{number}'),
            database=database,
        )
        for number, database in enumerate(databases)
    ]


async def _wait_recovered(fleet: deployment.SoakedFleet) -> list[str]:
    try:
        async with asyncio.timeout(RECOVERY_SECONDS):
            await fleet.wait_serving()
    except TimeoutError:
        return [f'no service {RECOVERY_SECONDS} s after the last fault']
    return []


def _stored(fleet: deployment.SoakedFleet) -> list[str]:
    """Return the items of the primary's log; readers' are item and number."""
    items = []
    for entry in fleet.group.primary.log:
        for item, content in entry.writes:
            is_reader = '-' not in item
            items.append(f'{item}-{content}' if is_reader else item)
    return items
