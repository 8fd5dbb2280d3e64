"""The system never serves again after its third machine was replaced.

Two of three machines are replaced, one after the other. Then all lose power.
Two come back, and a new one comes in place of the third, which held the
service.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'platform2'))
import deployment  # noqa: E402
import requesters  # noqa: E402

RECOVER_S = 12
REPLACED_AFTER_S = 1.0
SETTLED_S = 6.0
DOWN_S = 1.0
JUDGED_S = 15
ROUTES = [('loans', 'primary', 800, False),
          ('stock', 'bounded_staleness', 2000, False),
          ('status', 'read_your_writes', 800, False)]


async def replace(world, hosts, index, new):
    """Remove a machine for good; a new one comes at another address."""
    world.send_signal(index, signal.SIGKILL)
    await world.processes[index].wait()
    hosts.remove(index)
    await asyncio.sleep(REPLACED_AFTER_S)
    await world.start_host(new)
    await asyncio.sleep(2)
    hosts.append(new)
    await asyncio.sleep(SETTLED_S)


async def case(folder, has_trouble):
    """Return the rule if little is served after the final fault."""
    world = deployment.Deployment(folder, hosts=6, routes=ROUTES)
    callers = None
    try:
        await world.start(hosts=3)
        hosts = [0, 1, 2]
        callers = requesters.Requesters(
            world, hosts, [name for name, *_ in ROUTES], 'stock')
        await asyncio.sleep(4)
        if has_trouble:
            for new in (3, 4):
                index = next(each for each in (0, 1, 2)
                             if each in hosts and each != world.owner())
                await replace(world, hosts, index, new)
        callers.phase = 'before'
        await asyncio.sleep(5)
        if has_trouble:
            holder = world.owner()
            world.record(f'final fault; host {holder} holds the service')
            callers.phase = 'fault'
            for index in hosts:
                world.send_signal(index, signal.SIGKILL)
            for index in hosts:
                await world.processes[index].wait()
            await asyncio.sleep(DOWN_S)
            hosts.append(5)
            hosts.remove(holder)
            for index in hosts:
                await world.start_host(index)
        callers.phase = 'recovery'
        world.record(f'the machines are back: hosts {hosts}')
        await asyncio.sleep(RECOVER_S)
        callers.phase = 'after'
        await asyncio.sleep(JUDGED_S)
        for phase, counts in callers.counts.items():
            world.record(f'{phase}: {dict(counts)}')
        before, after = callers.share('before'), callers.share('after')
        world.record(f'served: {before:.2f} before, {after:.2f} later than '
                     f'{RECOVER_S} s after the machines were back')
        if before >= 0.25 > after:
            return [f'RECOVER: {after:.2f} of the requests are served, '
                    f'{before:.2f} were before the final fault']
        return []
    finally:
        if callers:
            callers.stop()
        await world.stop()


if __name__ == '__main__':
    deployment.main(case)
