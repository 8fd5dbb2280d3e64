"""How long writes stop while the primary of a service is replaced.

    python -m measurements.primary_changes

Real host processes run against the stand-in of the platform, whose promotions
take a second. The longest time without a successful write is printed for each
kind of change, in seconds.
"""

import asyncio
import statistics
import sys
import typing

from standins import platform_fleet, platform_servers, platform_writers

REPEATS = 5
PROMOTION_SECONDS = 1.0
FORMER_PRIMARY_SECONDS = 1.0
WARM_UP_SECONDS = 1.0
CHANGE_SECONDS = 5.0
SLOW_WORK_SECONDS = 0.3
_FIRST_PORT = 23900

Trouble = typing.Callable[
    [platform_fleet.PlatformFleet, platform_servers.Server],
    typing.Awaitable[None],
]


async def _drain(
    fleet: platform_fleet.PlatformFleet, server: platform_servers.Server
) -> None:
    server.state = 'draining'
    fleet.store.register_all()


async def _crash(
    _fleet: platform_fleet.PlatformFleet, server: platform_servers.Server
) -> None:
    await server.stop()


async def _silence(
    _fleet: platform_fleet.PlatformFleet, server: platform_servers.Server
) -> None:
    server.faults.is_silent = True


async def _evacuate(
    fleet: platform_fleet.PlatformFleet, server: platform_servers.Server
) -> None:
    fleet.store.put('op', f'evacuate/{server.zone}', b'{}')


async def _slow_down(
    _fleet: platform_fleet.PlatformFleet, server: platform_servers.Server
) -> None:
    server.faults.work = SLOW_WORK_SECONDS


_TROUBLES: dict[str, Trouble] = {
    'primary drains': _drain,
    'zone is taken out': _evacuate,
    'primary crashes': _crash,
    'primary is silent': _silence,
    'primary is slow': _slow_down,
}


async def _measure(trouble: Trouble) -> float:
    async with platform_fleet.PlatformFleet(first_port=_FIRST_PORT) as fleet:
        fleet.group.promotion_delay = PROMOTION_SECONDS
        fleet.group.former_primary_seconds = FORMER_PRIMARY_SECONDS
        writers = platform_writers.Writers(fleet)
        writers.start()
        await asyncio.sleep(WARM_UP_SECONDS)
        started = asyncio.get_running_loop().time()
        await trouble(fleet, fleet.group.primary)
        await asyncio.sleep(CHANGE_SECONDS)
        await writers.stop()
        return writers.longest_gap(started)


async def _run() -> None:
    for name, trouble in _TROUBLES.items():
        gaps = [await _measure(trouble) for _ in range(REPEATS)]
        sys.stdout.write(
            f'{name}: median {statistics.median(gaps):.2f}, longest '
            f'{max(gaps):.2f} in {REPEATS} changes\n'
        )
        sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(_run())
