"""Callers that write all the time, and what they were told."""

import asyncio
import itertools

from standins import platform_caller, platform_fleet

WRITER_COUNT = 6
WRITE_PAUSE_SECONDS = 0.02
_ids = itertools.count(1)


class Writers:
    """Callers that write through all hosts until they are stopped.

    `acknowledged` holds, by the id of each write that succeeded, the time of
    its answer.
    """

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []
        self.acknowledged: dict[str, float] = {}

    def start(self) -> None:
        """Start to write."""
        self._tasks = [
            asyncio.create_task(self._write(number))
            for number in range(WRITER_COUNT)
        ]

    async def stop(self) -> None:
        """Stop to write."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def longest_gap(self, since: float) -> float:
        """Return the longest time without a successful write, in seconds."""
        times = sorted([since, *self.acknowledged.values()])
        pairs = itertools.pairwise(each for each in times if each >= since)
        return max((later - earlier for earlier, later in pairs), default=0)

    async def _write(self, number: int) -> None:
        while True:
            try:
                caller = await platform_caller.Caller.connect(
                    self._fleet.port(number % 3)
                )
                await self._write_until_error(caller, f'item-{number}')
            except (OSError, platform_caller.AnswerError):
                await asyncio.sleep(WRITE_PAUSE_SECONDS)

    async def _write_until_error(
        self, caller: platform_caller.Caller, item: str
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                statement_id = f'{next(_ids):x}'
                await caller.run(f'WRITE {item} 1', statement_id)
                self.acknowledged[statement_id] = loop.time()
                await asyncio.sleep(WRITE_PAUSE_SECONDS)
        finally:
            caller.close()
