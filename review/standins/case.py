"""Runs one case: with the disruption, or without it if TROUBLE is 0."""

import asyncio
import collections.abc
import os
import pathlib
import sys
import traceback

from standins import deployment, record

HELD = 0
BROKEN = 1
NOT_RUN = 2
LONGEST_SECONDS = 110

# Plays the case and returns the broken promises, one line each.
Play = collections.abc.Callable[
    [record.Record, bool], collections.abc.Awaitable[list[str]]
]


class NotShownError(Exception):
    """The events that the case needs did not come about."""


def main(folder: pathlib.Path, play: Play) -> None:
    """Play a case, write its record and exit with its result."""
    events = record.Record(folder / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(_limited(play(events, has_trouble)))
    except (deployment.NotStartedError, NotShownError, TimeoutError) as error:
        events.add('not-run', reason=repr(error))
        print(f'the case could not run: {error!r}')
        code = NOT_RUN
    except Exception:
        traceback.print_exc()
        code = NOT_RUN
    else:
        for line in broken:
            events.add('BROKEN', what=line)
            print(line)
        events.add('result', broken=len(broken))
        print(f'broken: {len(broken)}, trouble: {has_trouble}')
        code = BROKEN if broken else HELD
    events.close()
    sys.exit(code)


async def _limited(
    played: collections.abc.Awaitable[list[str]],
) -> list[str]:
    async with asyncio.timeout(LONGEST_SECONDS):
        return await played
