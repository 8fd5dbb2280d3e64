"""Stacks of a running process, written on a signal.

SIGUSR1 shows where a process stands that no longer answers: first the stacks
of its threads, which are written even while the event loop is blocked, then
a log line for each place at which tasks wait.
"""

import asyncio
import collections
import faulthandler
import signal
import sys
import typing

import logbook

MAX_PLACES = 50
_logger = logbook.Logger('stacks')


def write_on_signal() -> None:
    """Write the stacks of threads and tasks on each SIGUSR1.

    Must be called in the event loop of the main thread.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, _log_tasks)
    faulthandler.register(signal.SIGUSR1, file=sys.stdout, chain=True)


def waiting_places() -> collections.Counter[str]:
    """Return how many tasks wait at each place.

    A place names the functions from the task's own to the one that waits,
    each with its line.
    """
    return collections.Counter(
        _place(task.get_coro()) for task in asyncio.all_tasks()
    )


def _log_tasks() -> None:
    for place, count in waiting_places().most_common(MAX_PLACES):
        _logger.info('{} tasks wait in {}', count, place)


def _place(coroutine: typing.Any) -> str:
    functions = []
    while getattr(coroutine, 'cr_frame', None):
        line = coroutine.cr_frame.f_lineno
        functions.append(f'{coroutine.__qualname__}:{line}')
        coroutine = coroutine.cr_await
    return ' > '.join(functions)
