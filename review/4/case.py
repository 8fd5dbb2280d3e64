"""A primary crashes while the replica that has its latest commits drains.

The service has `sync_replicas` 1: each commit is acknowledged once one
replica has received it. One replica drains, as planned, and goes on receiving.
The other receives nothing for a while, and the primary crashes meanwhile.
"""

import asyncio
import pathlib

from standins import callers, case, deployment, record

DATABASE = 'loans'
CALLERS = 6
WORK_SECONDS = 0.006
DEAF_SECONDS = 6.5


class Writer:
    """A caller that writes one entry after the other."""

    def __init__(self, deployed: deployment.Deployment, number: int) -> None:
        self._deployed = deployed
        self._number = number
        self.acknowledged: list[callers.Answer] = []

    async def run(self) -> None:
        """Write until cancelled, over a new session after each failure."""
        name = f'writer-{self._number}'
        count = 0
        while True:
            session = await self._deployed.session(
                self._number % 3, DATABASE, name
            )
            while session is not None:
                count += 1
                answer = await session.query(f'WRITE item-{name} {count}')
                if not answer.is_ok:
                    session.close()
                    break
                self.acknowledged.append(answer)
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.1)


async def play(events: record.Record, has_trouble: bool) -> list[str]:
    """Return the acknowledged commits that the promoted server lacks."""
    async with deployment.Deployment(
        events=events,
        routes=[deployment.route(DATABASE, 'prestiti', 'primary')],
        work=lambda _text: WORK_SECONDS,
        sync_replicas=1,
    ) as deployed:
        primary, draining, deaf = deployed.group.servers.values()
        writers = [Writer(deployed, number) for number in range(CALLERS)]
        tasks = [asyncio.ensure_future(writer.run()) for writer in writers]
        await asyncio.sleep(2)
        if has_trouble:
            draining.drain()
            await asyncio.sleep(1)
            deaf.is_deaf = True
            events.add('deaf', server=deaf.name, seconds=DEAF_SECONDS)
            await asyncio.sleep(1)
            primary.crash()
        await asyncio.sleep(DEAF_SECONDS - 1)
        deaf.is_deaf = False
        for task in tasks:
            task.cancel()
        if has_trouble and not deployed.group.takeovers:
            raise case.NotShownError('no server was promoted')
        return _lost(deployed, writers)


def _lost(deployed: deployment.Deployment, writers: list[Writer]) -> list[str]:
    proofs = {
        answer.position: answer
        for writer in writers
        for answer in writer.acknowledged
    }
    broken = []
    for takeover in deployed.group.takeovers:
        kept = {entry.position for entry in takeover.log}
        lost = [
            answer
            for answer in proofs.values()
            if answer.times[1] < takeover.at and answer.position not in kept
        ]
        broken += [
            f'LOST: commit {answer.position}, acknowledged at '
            f'{answer.times[1]:.3f}, is not in the log of '
            f'{takeover.server.name}, promoted at {takeover.at:.3f}'
            for answer in lost
        ]
    return broken


if __name__ == '__main__':
    case.main(pathlib.Path(__file__).resolve().parent, play)
