"""State of one stand-in database server: term, role, log and storage."""

import asyncio
import contextlib
import dataclasses
import json
import typing

import asyncmy
from mysql_mimic import errors

from standins import log, storage

CODE_QUORUM_LOST = 1180
REPLICATION_USER = 'replicator'
PULL_BATCH = 500
PULL_WAIT_SECONDS = 0.2
QUORUM_WAIT_SECONDS = 2.0


class Session(typing.Protocol):
    """What a member needs of its open connections."""

    @property
    def owner(self) -> str:
        """Return the owner that bound the connection to its term."""

    def end(self) -> None:
        """Close the connection."""

    def cut(self) -> None:
        """Leave the connection silent for good."""


def mysql_error(code: int, message: str) -> errors.MysqlError:
    """Make an error with any code."""
    return errors.MysqlError(message, typing.cast(errors.ErrorCode, code))


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a test can set while the server runs, times in seconds."""

    apply_lag: float = 0
    answer_delay: float = 0
    silent: float = 0
    refuse_connections: float = 0
    stop_replication: float = 0
    lose_commit_answers: float = 0
    accept_stale_terms: float = 0
    silent_old: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Options:
    """How the server is set up."""

    name: str
    address: str
    port: int
    slots: int
    connections: int
    connect_delay: float
    statement_delay: float
    group_size: int
    commit: str
    apply_lag: float = 0


class Member:
    """State of one server of the group: term, role, log and storage."""

    def __init__(self, *, options: Options) -> None:
        self.options = options
        self.faults = Faults(apply_lag=options.apply_lag)
        self.log = log.ReplicatedLog()
        self.storage = storage.Storage()
        self.working = storage.Storage()
        self.promised_term = 0
        self.promised_owner = ''
        self.primary = False
        self.applied_index = 0
        self.follower_acks: dict[str, int] = {}
        self.received: list[str] = []
        self.slots = asyncio.Semaphore(options.slots)
        self.changed = asyncio.Condition()
        self.write_lock = asyncio.Lock()
        self.open_connections = 0
        self.most_connections = 0
        self.sessions: set[Session] = set()
        self._follow_task: asyncio.Task[None] | None = None

    @property
    def applied_term(self) -> int:
        """Return the term of the last applied entry."""
        return self.log.term_at(self.applied_index)

    def status_row(self, accepted: bool) -> list[typing.Any]:
        """Return the row that every control procedure answers with."""
        return [
            int(accepted),
            self.options.name,
            int(self.primary),
            self.promised_term,
            self.promised_owner,
            self.log.last_term,
            self.log.last_index,
            self.applied_term,
            self.applied_index,
        ]

    async def notify(self) -> None:
        """Wake everything that waits for log, term or role."""
        async with self.changed:
            self.changed.notify_all()

    async def fence(self, term: int, owner: str) -> bool:
        """Promise a term to an owner, or renew the same promise."""
        if term < self.promised_term:
            return False
        if term == self.promised_term:
            return owner == self.promised_owner
        for session in list(self.sessions):
            if session.owner not in {'', owner}:
                session.end()
        self.promised_term = term
        self.promised_owner = owner
        self.primary = False
        self._stop_following()
        await self.notify()
        return True

    async def promote(self, term: int, owner: str) -> bool:
        """Become the primary of a promised term."""
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        if self.primary:
            return True
        self._stop_following()
        self._apply_to(self.log.last_index)
        self.log.append(log.Entry(term, ()))
        self.applied_index = self.log.last_index
        self.follower_acks = {}
        self.primary = True
        await self.notify()
        return True

    async def follow(self, term: int, owner: str, port: int) -> bool:
        """Replicate from the primary of a promised term."""
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        self._stop_following()
        self.primary = False
        self._follow_task = asyncio.create_task(self._follow(term, port))
        return True

    async def commit(self, term: int, statements: tuple[str, ...]) -> int:
        """Append a transaction and wait until a majority has received it."""
        index = self.log.append(log.Entry(term, statements))
        self.storage.apply(statements)
        self.applied_index = index
        await self.notify()
        if self.options.commit == 'quorum':
            await self._wait_quorum(term, index)
        return index

    async def wait_applied(
        self,
        term: int,
        index: int,
        timeout: float,
    ) -> bool:
        """Wait until a position is applied here."""

        def is_applied() -> bool:
            return (self.applied_term, self.applied_index) >= (term, index)

        try:
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(is_applied)
        except TimeoutError:
            return False
        return True

    async def pull(
        self,
        follower: str,
        term: int,
        index: int,
        last_term: int,
    ) -> dict[str, typing.Any]:
        """Serve a follower: acknowledge its log and send what follows."""
        if not self.primary or term != self.promised_term:
            return {'stale': True}
        if not self.log.matches(index, last_term):
            return {'back_to': self._common_index(index, last_term)}
        self.follower_acks[follower] = index
        await self.notify()
        if index == self.log.last_index:
            await self._wait_longer_log(index)
        entries = self.log.after(index, PULL_BATCH)
        return {
            'entries': [[entry.term, entry.statements] for entry in entries],
        }

    async def _wait_longer_log(self, index: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PULL_WAIT_SECONDS), self.changed:
                await self.changed.wait_for(
                    lambda: self.log.last_index > index or not self.primary,
                )

    def _common_index(self, index: int, last_term: int) -> int:
        common = min(index, self.log.last_index)
        if common < index:
            return common
        while common and self.log.term_at(common) > last_term:
            common -= 1
        return common if common < index else max(0, index - 1)

    async def _wait_quorum(self, term: int, index: int) -> None:
        needed = self.options.group_size // 2

        def has_quorum() -> bool:
            acks = [ack for ack in self.follower_acks.values() if ack >= index]
            return len(acks) >= needed or self.promised_term != term

        try:
            async with asyncio.timeout(QUORUM_WAIT_SECONDS), self.changed:
                await self.changed.wait_for(has_quorum)
        except TimeoutError as error:
            raise mysql_error(
                CODE_QUORUM_LOST, 'no quorum; outcome unknown'
            ) from error
        if self.promised_term != term:
            raise mysql_error(CODE_QUORUM_LOST, 'term ended; outcome unknown')

    def _stop_following(self) -> None:
        if self._follow_task:
            self._follow_task.cancel()
            self._follow_task = None

    async def _follow(self, term: int, port: int) -> None:
        while True:
            try:
                await self._follow_once(term, port)
            except (OSError, asyncmy.errors.Error, TimeoutError):
                await asyncio.sleep(PULL_WAIT_SECONDS)

    async def _follow_once(self, term: int, port: int) -> None:
        connection = await asyncmy.connect(
            host=self.options.address,
            port=port,
            user=REPLICATION_USER,
            connect_timeout=1,
        )
        try:
            while True:
                if self.faults.stop_replication:
                    await asyncio.sleep(PULL_WAIT_SECONDS)
                    continue
                async with asyncio.timeout(1 + PULL_WAIT_SECONDS):
                    answer = await self._ask(connection, term)
                await self._receive(answer)
        finally:
            connection.close()

    async def _ask(
        self,
        connection: asyncmy.Connection,
        term: int,
    ) -> dict[str, typing.Any]:
        name = self.options.name
        last = f'{self.log.last_index}, {self.log.last_term}'
        async with connection.cursor() as cursor:
            await cursor.execute(f"CALL group_pull('{name}', {term}, {last})")
            row = await cursor.fetchone()
        return json.loads(row[0])

    async def _receive(self, answer: dict[str, typing.Any]) -> None:
        if answer.get('stale'):
            await asyncio.sleep(PULL_WAIT_SECONDS)
        if 'back_to' in answer:
            self._truncate(answer['back_to'])
        entries = answer.get('entries', [])
        for entry_term, statements in entries:
            self.log.append(log.Entry(entry_term, tuple(statements)))
        if not entries:
            return
        if self.faults.apply_lag:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.faults.apply_lag,
                lambda index: asyncio.ensure_future(self._apply_later(index)),
                self.log.last_index,
            )
        else:
            await self._apply_later(self.log.last_index)

    async def _apply_later(self, index: int) -> None:
        self._apply_to(min(index, self.log.last_index))
        await self.notify()

    def _apply_to(self, index: int) -> None:
        for entry in self.log.after(
            self.applied_index,
            max(0, index - self.applied_index),
        ):
            self.storage.apply(entry.statements)
            self.working.apply(entry.statements)
            self.applied_index += 1

    def _truncate(self, index: int) -> None:
        self.log.truncate(index)
        if self.applied_index > index:
            self.storage.reset()
            self.working.reset()
            self.applied_index = 0
            self._apply_to(index)
