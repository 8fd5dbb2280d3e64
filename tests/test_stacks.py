"""Guards against a hung process of which nothing is known afterwards."""

import asyncio
import signal
import subprocess
import sys
import unittest

from egretstep.observability import stacks

BLOCKED_PROGRAM = """
import asyncio, time
from egretstep.observability import stacks

def block_loop():
    print('ready', flush=True)
    time.sleep(30)

async def main():
    stacks.write_on_signal()
    block_loop()

asyncio.run(main())
"""


async def _outer() -> None:
    await _inner()


async def _inner() -> None:
    await asyncio.sleep(1)


class StacksTest(unittest.IsolatedAsyncioTestCase):
    async def test_places_name_the_function_that_waits(self) -> None:
        tasks = [asyncio.ensure_future(_outer()) for _ in range(2)]
        await asyncio.sleep(0)
        places = stacks.waiting_places()
        for task in tasks:
            task.cancel()
        counts = [
            count
            for place, count in places.items()
            if place.startswith('_outer:') and '_inner:' in place
        ]
        self.assertEqual(counts, [len(tasks)])


class BlockedLoopTest(unittest.TestCase):
    def test_stack_is_written_while_the_loop_is_blocked(self) -> None:
        with subprocess.Popen(
            (sys.executable, '-c', BLOCKED_PROGRAM),
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            self.addCleanup(process.kill)
            output = process.stdout
            assert output is not None
            self.assertEqual(output.readline(), 'ready\n')
            process.send_signal(signal.SIGUSR1)
            lines = iter(output.readline, '')
            self.assertTrue(any('block_loop' in line for line in lines))
            process.kill()
