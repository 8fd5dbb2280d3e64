"""Supervisor, which restarts tasks that fail and stops tasks in order.

Children start in the given order and stop in the reverse one. The `run`
method of a supervisor can be a child of another one, so that they form a
tree.
"""

import asyncio
import dataclasses
import random
import typing

import logbook

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 5.0
BACKOFF_RESET_SECONDS = 30.0
_logger = logbook.Logger('supervisor')

RunTask = typing.Callable[[], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Child:
    """A task of a supervisor.

    `run` is called again when it raises an exception, but not when it
    returns.
    """

    name: str
    run: RunTask


class Supervisor:
    """Runs children until stopped.

    >>> async def serve() -> None:
    ...     await asyncio.sleep(3600)
    >>> supervisor = Supervisor(
    ...     name='program', children=[Child(name='serve', run=serve)]
    ... )
    """

    def __init__(
        self,
        *,
        name: str,
        children: typing.Sequence[Child] = (),
    ) -> None:
        self._name = name
        self._children = list(children)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._restarts = 0

    @property
    def restarts(self) -> int:
        """Return how many times children were restarted after a failure."""
        return self._restarts

    @property
    def names(self) -> list[str]:
        """Return the names of the children that were started and not stopped."""
        return list(self._tasks)

    def start(self, child: Child) -> None:
        """Start a child; do nothing if one of that name was started."""
        if child.name not in self._tasks:
            self._tasks[child.name] = asyncio.create_task(
                self._supervise(child),
                name=f'{self._name}/{child.name}',
            )

    async def stop_child(self, name: str) -> None:
        """Cancel the child of that name, if any, and wait until it has ended."""
        task = self._tasks.pop(name, None)
        if task:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def run(self) -> None:
        """Run the children until cancelled, then stop them in reverse."""
        for child in self._children:
            self.start(child)
        try:
            await asyncio.Event().wait()
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Stop all children, the last started first."""
        for name in reversed(list(self._tasks)):
            await self.stop_child(name)

    async def _supervise(self, child: Child) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                await child.run()
            except Exception:
                _logger.exception(
                    'task {}/{} failed and will be restarted',
                    self._name,
                    child.name,
                )
            else:
                return
            if loop.time() - started > BACKOFF_RESET_SECONDS:
                backoff = INITIAL_BACKOFF_SECONDS
            self._restarts += 1
            await asyncio.sleep(backoff * random.uniform(0.5, 1))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
