"""A planned stop cuts a statement that is under way at a server.

A host gets SIGTERM. One requester has a transaction open through it and goes on
with it. Another one connects 1.8 s later, as the balancer still sends it there,
and begins a reading transaction. It rests for 2.8 s, less than `tx_idle_ms`.
Its first READ takes a server 0.9 s; the route allows 2 s.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'platform2'))
import deployment  # noqa: E402

GRACE_S = deployment.BOUNDS['grace_s']
SLOW_ITEM = 'report'
SLOW_S = 0.9
CONNECTS_AFTER_S = 1.8
SENT_AFTER_S = 4.6


def work_s(text):
    """Return how long a server works on a statement."""
    return SLOW_S if text == f'READ {SLOW_ITEM}' else 0.005


async def keep_open(world, stopped):
    """Use a transaction through a host until it is ended."""
    client = await world.connect('a', stopped, 'loans')
    await client.run('BEGIN')
    try:
        while True:
            await client.run('READ loan1')
            await asyncio.sleep(0.5)
    except (deployment.AnswerError, ConnectionError) as error:
        world.record(f'the transaction of client a has ended: {error}')


async def case(folder, has_trouble):
    """Return the statements whose connection ended without an answer."""
    world = deployment.Deployment(
        folder, work_s=work_s, routes=[
            ('loans', 'primary', 800, False),
            ('stock', 'bounded_staleness', 2000, False)])
    found = []
    try:
        await world.start()
        await asyncio.sleep(2)
        # A host in the zone of a replica, which does not own the service.
        stopped = next(each for each in (1, 2) if each != world.owner())
        keeping = asyncio.ensure_future(keep_open(world, stopped))
        await asyncio.sleep(0.7)
        started = time.monotonic()
        if has_trouble:
            world.send_signal(stopped, signal.SIGTERM)
        await asyncio.sleep(CONNECTS_AFTER_S)
        client = await world.connect('c', stopped, 'stock')
        await client.run('BEGIN READ')
        await asyncio.sleep(started + SENT_AFTER_S - time.monotonic())
        sent_at = time.monotonic() - started
        try:
            await client.run(f'READ {SLOW_ITEM}')
            await client.run('COMMIT')
        except deployment.AnswerError as error:
            world.record(f'answered with {error}')
        except ConnectionError as error:
            ended_at = time.monotonic() - started
            if 'server i-' in world.record.lines_of(f'got {error} '):
                found.append(
                    f'LOST: {error} was sent {sent_at:.2f} s after the '
                    f'SIGTERM, passed on to a server, and its connection '
                    f'ended without an answer {ended_at - sent_at:.2f} s '
                    f'later; {GRACE_S - ended_at:.2f} s of the grace time '
                    'were left')
        for line in found:
            world.record(line)
        keeping.cancel()
        return found
    finally:
        await world.stop()


if __name__ == '__main__':
    deployment.main(case)
