"""Callers that keep connections open, and what each of them was told."""

import asyncio
import collections
import dataclasses
import itertools
import random
import typing

from soak import deployment
from standins import platform_fleet

# These answers promise that nothing of the statement is kept.
NOT_RUN_CODES = frozenset((
    'BUSY',
    'ABORTED',
    'LAGGING',
    'READONLY',
    'WRONGNODE',
    'CONNLIMIT',
    'NOAUTH',
    'NODB',
))
PAUSE_SECONDS = 0.03
ANSWER_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EarlierRead:
    """A read that gave an earlier write of a caller than its last one."""

    expected: str
    seen: str


class Ledger:
    """What callers were told, and what is wrong with it."""

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self.not_run: set[str] = set()
        self.unknown: set[str] = set()
        self.earlier_reads: list[EarlierRead] = []
        self.unanswered: list[str] = []
        self.codes: collections.Counter[str] = collections.Counter()

    def compare(self, stored: typing.Sequence[str]) -> list[str]:
        """Return each broken promise, given the items in the final log."""
        counted = collections.Counter(stored)
        known = self.acknowledged | self.not_run | self.unknown
        lost = sorted(self.acknowledged - set(counted))
        kept = sorted(self.not_run & set(counted))
        twice = sorted(name for name in known if counted[name] > 1)
        found = (
            ('acknowledged and not stored', lost),
            ('told as not run, and stored', kept),
            ('stored more than once', twice),
            ('an own write was not seen', self._stale_reads(stored)),
            (f'no answer in {ANSWER_SECONDS} s', self.unanswered),
        )
        return [f'{text}: {names}' for text, names in found if names]

    def _stale_reads(self, stored: typing.Sequence[str]) -> list[str]:
        """Return the reads that no late write of unknown outcome explains.

        Such a write may take effect behind one that was acknowledged later.
        """
        places = {item: place for place, item in enumerate(stored)}
        return [
            f'{read.expected}, read {read.seen}'
            for read in self.earlier_reads
            if read.seen not in self.unknown
            or places.get(read.seen, -1) < places.get(read.expected, -1)
        ]


class Caller:
    """One caller: writes items once each, or reads back what it wrote."""

    def __init__(
        self,
        *,
        name: str,
        fleet: deployment.SoakedFleet,
        ledger: Ledger,
        randomness: random.Random,
        database: str,
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._ledger = ledger
        self._random = randomness
        self._database = database
        self._session: platform_fleet.Caller | None = None
        self._host = 0
        self._numbers = itertools.count(1)
        self._newest = 0

    async def run(self) -> None:
        """Send statements until cancelled."""
        while True:
            await asyncio.sleep(PAUSE_SECONDS * self._random.random())
            try:
                session = await self._connected()
            except (OSError, TimeoutError, platform_fleet.AnswerError):
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            if self._database == platform_fleet.SESSION_DATABASE:
                await self._write_and_read(session)
            else:
                await self._write(session)

    def leave(self) -> None:
        """Close the connection."""
        if self._session is not None:
            self._session.close()
            self._session = None

    async def _connected(self) -> platform_fleet.Caller:
        if self._session is None:
            self._host = self._random.randrange(deployment.HOSTS)
            async with asyncio.timeout(ANSWER_SECONDS):
                self._session = await platform_fleet.Caller.connect(
                    self._fleet.port(self._host),
                    database=self._database,
                )
        return self._session

    async def _write(self, session: platform_fleet.Caller) -> None:
        item = f'{self._name}-{next(self._numbers)}'
        await self._count(session, item, f'WRITE {item} 1')

    async def _write_and_read(self, session: platform_fleet.Caller) -> None:
        number = next(self._numbers)
        item = f'{self._name}-{number}'
        if await self._count(session, item, f'WRITE {self._name} {number}'):
            self._newest = number
        if self._session is None:
            # Another connection is another session.
            self._newest = 0
            return
        await self._read(session)

    async def _read(self, session: platform_fleet.Caller) -> None:
        expected = self._newest
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                rows = await session.run(f'READ {self._name}')
        except platform_fleet.AnswerError:
            return
        except (OSError, TimeoutError):
            self.leave()
            self._newest = 0
            return
        seen = int(rows[0]) if rows and rows[0].isdigit() else 0
        if seen < expected:
            self._ledger.earlier_reads.append(
                EarlierRead(
                    expected=f'{self._name}-{expected}',
                    seen=f'{self._name}-{seen}',
                ),
            )

    async def _count(
        self,
        session: platform_fleet.Caller,
        item: str,
        text: str,
    ) -> bool:
        """Write; returns whether it was acknowledged."""
        code = await self._ask(session, item, text)
        self._ledger.codes[code] += 1
        if code == 'OK':
            self._ledger.acknowledged.add(item)
        elif code in NOT_RUN_CODES:
            self._ledger.not_run.add(item)
        else:
            self._ledger.unknown.add(item)
        return code == 'OK'

    async def _ask(
        self,
        session: platform_fleet.Caller,
        item: str,
        text: str,
    ) -> str:
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await session.run(text, statement_id=item)
        except platform_fleet.AnswerError as error:
            return error.code
        except TimeoutError:
            self._note_unanswered(item)
            self.leave()
            return 'unanswered'
        except OSError:
            self.leave()
            return 'closed'
        return 'OK'

    def _note_unanswered(self, item: str) -> None:
        """A host that stands still or is down may stay silent."""
        if self._host in self._fleet.answering():
            self._ledger.unanswered.append(item)
