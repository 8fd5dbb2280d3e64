"""An acknowledged commit is missing from the log of the promoted server.

The entry of one replica lapses while the replica is alive; then the primary
crashes. The service has `sync_replicas` 1.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'platform2'))
import deployment  # noqa: E402

# How long a commit takes to reach each server: the sheets say 60 ms.
RECEIVE_S = (0.0, 0.002, 0.06)
WRITERS = 6


async def write(world, number, acknowledged, is_over):
    """Write all the time, over a new session after each failure."""
    client = None
    count = 0
    while not is_over.is_set():
        try:
            if client is None:
                client = await world.connect(f'w{number}', number % 3, 'loans')
                client.count = count
            _, mac, statement_id = await client.run(
                f'WRITE item{number} {count}')
            acknowledged[statement_id] = mac
        except (OSError, deployment.AnswerError):
            if client is not None:
                client.close()
            client = None
            await asyncio.sleep(0.1)
        count += 100
        if client is not None:
            count = client.count
        await asyncio.sleep(0.02)


async def case(folder, has_trouble):
    """Return the acknowledged commits that the promoted server lacks."""
    world = deployment.Deployment(
        folder, sync_replicas=1, receive_s=RECEIVE_S,
        routes=[('loans', 'primary', 800, False)])
    acknowledged, is_over = {}, asyncio.Event()
    primary, alive, slower = world.group.servers.values()
    writing = []
    try:
        await world.start()
        writing = [
            asyncio.ensure_future(write(world, number, acknowledged, is_over))
            for number in range(WRITERS)
        ]
        await asyncio.sleep(3)
        if has_trouble:
            world.record(f'TROUBLE {alive.name} no longer reaches the store')
            alive.is_registered = False
            # Three intervals, 2 s until it counts as gone, and some more.
            await asyncio.sleep(3 * 1.2 + 2 + 4)
            world.record(f'TROUBLE primary {primary.name} crashes')
            await primary.crash()
            await asyncio.sleep(8)
            await world.group.restart(primary)
            alive.is_registered = True
        await asyncio.sleep(5)
        is_over.set()
        await asyncio.gather(*writing)
        found = []
        for name, term, log in world.group.takeovers:
            kept = {entry.statement_id for entry in log}
            lost = [
                each for each in acknowledged
                if each not in kept and _committed_before(world, each, term)
            ]
            if lost:
                found.append(
                    f'LOST: {name} was promoted to term {term} without '
                    f'{len(lost)} acknowledged commits: {lost}')
        world.record(f'{len(acknowledged)} commits were acknowledged; '
                     f'{found or "none is lost"}')
        if not acknowledged:
            raise RuntimeError('no write was acknowledged')
        return found
    finally:
        for each in writing:
            each.cancel()
        await world.stop()


def _committed_before(world, statement_id, term):
    return world.group.committed_terms.get(statement_id, term) < term


if __name__ == '__main__':
    deployment.main(case)
