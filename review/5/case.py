"""A primary turns slow, is taken for dead, and goes on committing writes."""

import asyncio
import itertools
import pathlib
import random

from standins import callers, case, deployment, record

DATABASE = 'swaps'
SERVICE = 'swaps-db'
TRANSACTION_CALLERS = 12
WRITERS = 12
TIMEOUT_MS = 1200
STATEMENTS = 8
PAUSE_SECONDS = 0.02
SLOW_FACTOR = 5.0
SLOW_SECONDS = 6.5
REST_SECONDS = 4
# The disruption may come more than once.
SPELLS = 6
# The installation's work, in seconds: confirmations and lookups.
WRITE_MEAN, WRITE_MOST = 0.009, 0.022
READ_MEAN, READ_MOST = 0.015, 0.110
RETRY_PAUSE_SECONDS = 0.05


def _work(text: str) -> float:
    is_read = text.startswith('READ')
    mean = READ_MEAN if is_read else WRITE_MEAN
    most = READ_MOST if is_read else WRITE_MOST
    return min(most, random.lognormvariate(0, 0.7) * mean)


class Caller:
    """A caller that repeats one operation, over a new session if needed."""

    def __init__(
        self, deployed: deployment.Deployment, name: str, host: int
    ) -> None:
        self._deployed = deployed
        self._name = name
        self._host = host
        self._items = itertools.count(1)
        self.acknowledged: dict[str, float] = {}

    async def write(self) -> None:
        """Write single entries until cancelled."""
        while True:
            session = await self._open()
            while session is not None and await self._run(session, 'WRITE'):
                await asyncio.sleep(PAUSE_SECONDS)

    async def transact(self) -> None:
        """Run transactions until cancelled."""
        while True:
            session = await self._open()
            while session is not None and await self._transact(session):
                await asyncio.sleep(PAUSE_SECONDS)

    async def _transact(self, session: callers.Session) -> bool:
        if not (await session.query('BEGIN')).is_ok:
            session.close()
            return False
        for number in range(STATEMENTS):
            if not await self._run(session, 'READ' if number % 2 else 'WRITE'):
                return False
            await asyncio.sleep(PAUSE_SECONDS)
        return await self._run(session, 'COMMIT')

    async def _open(self) -> callers.Session | None:
        await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return await self._deployed.session(self._host, DATABASE, self._name)

    async def _run(self, session: callers.Session, verb: str) -> bool:
        item = f'{self._name}.{next(self._items)}'
        text = {'WRITE': f'WRITE {item} 1', 'READ': f'READ {item}'}
        answer = await session.query(text.get(verb, verb))
        if answer.is_ok:
            self.acknowledged[answer.request] = answer.times[1]
        else:
            session.close()
        return answer.is_ok


async def play(events: record.Record, has_trouble: bool) -> list[str]:
    """Return the writes of a former primary that were acknowledged."""
    async with deployment.Deployment(
        events=events,
        routes=[
            deployment.route(
                DATABASE, SERVICE, 'primary', timeout_ms=TIMEOUT_MS
            ),
        ],
        service=SERVICE,
        work=_work,
        slots=2,
        queue=16,
        max_conns=30,
        promote_seconds=0.3,
    ) as deployed:
        all_callers = [
            Caller(deployed, f'tx-{number}', number % 3)
            for number in range(TRANSACTION_CALLERS)
        ]
        tasks = [asyncio.ensure_future(each.transact()) for each in all_callers]
        writers = [
            Caller(deployed, f'writer-{number}', number % 3)
            for number in range(WRITERS)
        ]
        tasks += [asyncio.ensure_future(each.write()) for each in writers]
        for _ in range(SPELLS):
            await asyncio.sleep(REST_SECONDS)
            primary = deployed.group.leader
            if has_trouble:
                primary.slow_factor = SLOW_FACTOR
                events.add('slow', server=primary.name, factor=SLOW_FACTOR)
            await asyncio.sleep(SLOW_SECONDS)
            primary.slow_factor = 1
            events.add('normal', server=primary.name)
        await asyncio.sleep(REST_SECONDS)
        for task in tasks:
            task.cancel()
        return _late_commits(deployed, [*all_callers, *writers])


def _late_commits(
    deployed: deployment.Deployment, all_callers: list[Caller]
) -> list[str]:
    acknowledged = {
        request: at
        for caller in all_callers
        for request, at in caller.acknowledged.items()
    }
    broken = []
    for committed_at, server, entry in deployed.group.commits:
        later = [
            each
            for each in deployed.group.takeovers
            if each.at < committed_at and each.term > entry.term
        ]
        if later and entry.request in acknowledged:
            broken.append(
                f'ONE: commit {entry.position} at {server.name} at '
                f'{committed_at:.3f}, acknowledged at '
                f'{acknowledged[entry.request]:.3f}, though '
                f'{later[0].server.name} took over at {later[0].at:.3f}'
            )
    return broken


if __name__ == '__main__':
    case.main(pathlib.Path(__file__).resolve().parent, play)
