"""Callers of the soak test, and the record of the answers they receive.

A caller writes items with names of its own. At the end, the items in the
log of the primary are compared with the answers that the callers received.
"""

import asyncio
import collections
import dataclasses
import itertools
import random
import typing

from soak import deployment
from standins import platform_caller, platform_fleet

# Error codes that guarantee that the statement had no effect.
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
MAX_PAUSE_SECONDS = 0.03
ANSWER_TIMEOUT_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StaleRead:
    """A read that returned an older item than the last acknowledged one.

    `expected` is the last acknowledged item of the session, and `seen`
    the item that was read.
    """

    expected: str
    seen: str


class History:
    """Record of the answers that callers received.

    `acknowledged`, `not_run` and `unknown` hold the written items by the
    outcome of their write, `unanswered` those whose host should have
    answered in time and did not. `codes` counts the outcomes of all writes.
    A read in `stale_reads` is a violation unless a late write explains it.
    """

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self.not_run: set[str] = set()
        self.unknown: set[str] = set()
        self.stale_reads: list[StaleRead] = []
        self.unanswered: list[str] = []
        self.codes: collections.Counter[str] = collections.Counter()

    def find_violations(self, stored: typing.Sequence[str]) -> list[str]:
        """Return a description of each violated guarantee.

        `stored` holds the items in the primary's log at the end, in order.
        """
        copies = collections.Counter(stored)
        written = self.acknowledged | self.not_run | self.unknown
        lost = sorted(self.acknowledged - set(copies))
        unexpected = sorted(self.not_run & set(copies))
        duplicated = sorted(name for name in written if copies[name] > 1)
        checks = (
            ('acknowledged and not stored', lost),
            ('told as not run, and stored', unexpected),
            ('stored more than once', duplicated),
            ('an own write was not seen', self._violating_reads(stored)),
            (f'no answer in {ANSWER_TIMEOUT_SECONDS} s', self.unanswered),
        )
        return [f'{text}: {names}' for text, names in checks if names]

    def _violating_reads(self, stored: typing.Sequence[str]) -> list[str]:
        """Return the stale reads that violate read-your-writes.

        A write with an unknown outcome may take effect after a write that
        was acknowledged later. A read that returns such a late write is no
        violation.
        """
        log_positions = {item: position for position, item in enumerate(stored)}
        return [
            f'{read.expected}, read {read.seen}'
            for read in self.stale_reads
            if read.seen not in self.unknown
            or log_positions.get(read.seen, -1)
            < log_positions.get(read.expected, -1)
        ]


class Caller:
    """Caller that writes each item once and, in some databases, reads back.

    Callers of `platform_fleet.SESSION_DATABASE` write increasing numbers
    under their own name and read them back after each write.
    """

    def __init__(
        self,
        *,
        name: str,
        fleet: deployment.SoakFleet,
        history: History,
        randomness: random.Random,
        database: str,
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._history = history
        self._random = randomness
        self._database = database
        self._connection: platform_caller.Caller | None = None
        self._host_index = 0
        self._item_numbers = itertools.count(1)
        self._last_acknowledged = 0

    async def run(self) -> None:
        """Send statements until cancelled, and reconnect when necessary."""
        while True:
            await asyncio.sleep(MAX_PAUSE_SECONDS * self._random.random())
            try:
                connection = await self._ensure_connected()
            except (OSError, TimeoutError, platform_caller.AnswerError):
                await asyncio.sleep(MAX_PAUSE_SECONDS)
                continue
            if self._database == platform_fleet.SESSION_DATABASE:
                await self._write_and_read(connection)
            else:
                await self._write(connection)

    def disconnect(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _ensure_connected(self) -> platform_caller.Caller:
        if self._connection is None:
            self._host_index = self._random.randrange(deployment.HOSTS)
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                self._connection = await platform_caller.Caller.connect(
                    self._fleet.port(self._host_index),
                    database=self._database,
                )
        return self._connection

    async def _write(self, connection: platform_caller.Caller) -> None:
        item = f'{self._name}-{next(self._item_numbers)}'
        await self._write_and_record(connection, item, f'WRITE {item} 1')

    async def _write_and_read(self, connection: platform_caller.Caller) -> None:
        number = next(self._item_numbers)
        item = f'{self._name}-{number}'
        if await self._write_and_record(
            connection, item, f'WRITE {self._name} {number}'
        ):
            self._last_acknowledged = number
        if self._connection is None:
            # A new connection is a new session, which need not see the
            # writes of the earlier one.
            self._last_acknowledged = 0
            return
        await self._read(connection)

    async def _read(self, connection: platform_caller.Caller) -> None:
        expected = self._last_acknowledged
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                rows = await connection.run(f'READ {self._name}')
        except platform_caller.AnswerError:
            return
        except (OSError, TimeoutError):
            self.disconnect()
            self._last_acknowledged = 0
            return
        seen = int(rows[0]) if rows and rows[0].isdigit() else 0
        if seen < expected:
            self._history.stale_reads.append(
                StaleRead(
                    expected=f'{self._name}-{expected}',
                    seen=f'{self._name}-{seen}',
                ),
            )

    async def _write_and_record(
        self,
        connection: platform_caller.Caller,
        item: str,
        text: str,
    ) -> bool:
        """Send a write, record its outcome, and tell if it was acknowledged."""
        code = await self._send_write(connection, item, text)
        self._history.codes[code] += 1
        if code == 'OK':
            self._history.acknowledged.add(item)
        elif code in NOT_RUN_CODES:
            self._history.not_run.add(item)
        else:
            self._history.unknown.add(item)
        return code == 'OK'

    async def _send_write(
        self,
        connection: platform_caller.Caller,
        item: str,
        text: str,
    ) -> str:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                await connection.run(text, statement_id=item)
        except platform_caller.AnswerError as error:
            return error.code
        except TimeoutError:
            self._record_unanswered(item)
            self.disconnect()
            return 'unanswered'
        except OSError:
            self.disconnect()
            return 'closed'
        return 'OK'

    def _record_unanswered(self, item: str) -> None:
        """Record a missing answer, unless the host is paused or down."""
        if self._host_index in self._fleet.responsive_hosts():
            self._history.unanswered.append(item)
            self._fleet.write_stacks(self._host_index)
