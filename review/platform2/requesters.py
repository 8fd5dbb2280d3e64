"""Requesters that send single statements all the time."""

import asyncio
import collections

import deployment

PAUSE_S = 0.1
REQUESTERS = 6


class Requesters:
    """Send reads and writes to the hosts in `hosts`; count what is served.

    `phase` names the counter of the requests that are sent from now on. Every
    third request goes to each of the three `databases`; `read_only` is one of
    them.
    """

    def __init__(self, world, hosts, databases, read_only):
        self.world = world
        self.hosts = hosts
        self.databases = databases
        self.read_only = read_only
        self.counts = collections.defaultdict(collections.Counter)
        self.phase = 'start'
        self.tasks = [asyncio.ensure_future(self._request(number))
                      for number in range(REQUESTERS)]

    def share(self, phase):
        """Return the share of the requests of a phase that was served."""
        counts = self.counts[phase]
        return counts['served'] / max(1, counts.total())

    def stop(self):
        """Stop to send."""
        for each in self.tasks:
            each.cancel()

    async def _request(self, number):
        count = 0
        while True:
            count += 1
            phase = self.phase
            database = self.databases[count % len(self.databases)]
            text = f'READ item{number}'
            if not count % 2 and database != self.read_only:
                text = f'WRITE item{number} {count}'
            host = self.hosts[count % len(self.hosts)]
            client = None
            try:
                client = await self.world.connect(
                    f'r{number}.{count}', host, database)
                await client.run(text)
                self.counts[phase]['served'] += 1
            except deployment.AnswerError as error:
                self.counts[phase][error.code] += 1
            except OSError as error:
                self.counts[phase][type(error).__name__] += 1
            if client:
                client.close()
            await asyncio.sleep(PAUSE_S)
