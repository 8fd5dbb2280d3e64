"""State of one stand-in database server, and replication between them."""

import asyncio
import contextlib
import dataclasses
import json
import typing

import asyncmy
from mysql_mimic import errors

from standins import replicated_log, storage

ERROR_CODE_QUORUM_LOST = 1180
REPLICATION_USER = 'replicator'
MAX_PULLED_ENTRIES = 500
PULL_WAIT_SECONDS = 0.2
QUORUM_TIMEOUT_SECONDS = 2.0


class Session(typing.Protocol):
    """An open connection, as the member uses it."""

    @property
    def owner(self) -> str:
        """Return the owner that opened the connection, empty until known."""

    def disconnect(self) -> None:
        """Close the connection at once."""

    def stop_answering(self) -> None:
        """Leave every later statement on this connection unanswered."""


def mysql_error(code: int, message: str) -> errors.MysqlError:
    """Return a MySQL error, also with a code that mysql_mimic lacks."""
    return errors.MysqlError(message, typing.cast(errors.ErrorCode, code))


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a test can set while the server runs.

    `apply_lag` is the delay between receiving and applying an entry, and
    `answer_delay` the delay of each answer, in seconds. The others are flags,
    on unless zero: `silent` delays all answers until it is off, above 1 also
    new connections of other users than `fault`; `silent_old` silences for
    good the connections that are open when it is set; `lose_commit_answers`
    delays the answers of commits after they have taken effect.
    """

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
    """Command line options of the server; delays and lags are in seconds.

    `slots` is the limit of concurrent statements, `connections` that of open
    connections. If `commit` is 'quorum', a commit waits until a majority of
    the `group_size` servers has received the transaction.
    """

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
    """One server of a database group: its term, role, log and storage.

    Only the owner of the latest promised term can change the role of the
    server. A primary appends transactions to its log; the other servers pull
    the entries from it.
    """

    def __init__(self, *, options: Options) -> None:
        self.options = options
        self.faults = Faults(apply_lag=options.apply_lag)
        self.log = replicated_log.ReplicatedLog()
        self.committed_storage = storage.Storage()
        self.working_storage = storage.Storage()
        self.promised_term = 0
        self.promised_owner = ''
        self.is_primary = False
        self.applied_index = 0
        self.follower_acks: dict[str, int] = {}
        self.received_statements: list[str] = []
        self.slots = asyncio.Semaphore(options.slots)
        self.changed = asyncio.Condition()
        self.write_lock = asyncio.Lock()
        self.open_connections = 0
        self.peak_connections = 0
        self.sessions: set[Session] = set()
        self._replication: asyncio.Task[None] | None = None

    @property
    def applied_term(self) -> int:
        """Return the term of the last applied entry, 0 if there is none."""
        return self.log.term_at(self.applied_index)

    def status_row(self, accepted: bool) -> list[typing.Any]:
        """Return the status in the column order of the control procedures."""
        return [
            int(accepted),
            self.options.name,
            int(self.is_primary),
            self.promised_term,
            self.promised_owner,
            self.log.last_term,
            self.log.last_index,
            self.applied_term,
            self.applied_index,
        ]

    async def notify_waiters(self) -> None:
        """Wake the tasks that wait for a change of log, term or role."""
        async with self.changed:
            self.changed.notify_all()

    async def fence(self, term: int, owner: str) -> bool:
        """Promise `term` to `owner` and fence the owners of earlier terms.

        Returns whether `term` is promised to `owner`. A new term closes the
        connections of other owners and ends the role of the server.
        """
        if term < self.promised_term:
            return False
        if term == self.promised_term:
            return owner == self.promised_owner
        for session in list(self.sessions):
            if session.owner not in {'', owner}:
                session.disconnect()
        self.promised_term = term
        self.promised_owner = owner
        self.is_primary = False
        self._stop_replication()
        await self.notify_waiters()
        return True

    async def promote(self, term: int, owner: str) -> bool:
        """Apply the whole log and become the primary of `term`.

        Returns False unless `term` is promised to `owner`.
        """
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        if self.is_primary:
            return True
        self._stop_replication()
        self._apply_through(self.log.last_index)
        self.log.append(replicated_log.Entry(term, ()))
        self.applied_index = self.log.last_index
        self.follower_acks = {}
        self.is_primary = True
        await self.notify_waiters()
        return True

    async def follow(self, term: int, owner: str, port: int) -> bool:
        """Start to replicate from the primary that listens on `port`.

        Returns False unless `term` is promised to `owner`.
        """
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        self._stop_replication()
        self.is_primary = False
        self._replication = asyncio.create_task(self._replicate(term, port))
        return True

    async def commit(self, term: int, statements: tuple[str, ...]) -> int:
        """Append a transaction to the log and return its index.

        Waits for a quorum if the options say so. Raises a MySQL error if that
        takes too long or the term ends; the transaction stays in the log.
        """
        index = self.log.append(replicated_log.Entry(term, statements))
        self.committed_storage.apply(statements)
        self.applied_index = index
        await self.notify_waiters()
        if self.options.commit == 'quorum':
            await self._wait_quorum(term, index)
        return index

    async def wait_applied(self, term: int, index: int, timeout: float) -> bool:
        """Return whether a position is applied within `timeout` seconds."""

        def is_applied() -> bool:
            return (self.applied_term, self.applied_index) >= (term, index)

        try:
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(is_applied)
        except TimeoutError:
            return False
        return True

    async def pull(
        self, follower: str, term: int, index: int, last_term: int
    ) -> dict[str, typing.Any]:
        """Return the entries that follow the last one of a follower's log.

        `index` and `last_term` identify that last entry, which the call
        acknowledges. Waits up to `PULL_WAIT_SECONDS` for entries. The answer
        is `stale` if this is not the primary of `term`, and `back_to` with an
        index if the follower's log differs and must be truncated.
        """
        if not self.is_primary or term != self.promised_term:
            return {'stale': True}
        if not self.log.matches(index, last_term):
            return {'back_to': self._truncation_index(index, last_term)}
        self.follower_acks[follower] = index
        await self.notify_waiters()
        if index == self.log.last_index:
            await self._wait_for_entries(index)
        entries = self.log.entries_after(index, MAX_PULLED_ENTRIES)
        return {
            'entries': [[entry.term, entry.statements] for entry in entries],
        }

    async def _wait_for_entries(self, index: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PULL_WAIT_SECONDS), self.changed:
                await self.changed.wait_for(
                    lambda: self.log.last_index > index or not self.is_primary,
                )

    def _truncation_index(self, index: int, last_term: int) -> int:
        """Return the index to which a follower has to truncate its log."""
        candidate = min(index, self.log.last_index)
        if candidate < index:
            return candidate
        while candidate and self.log.term_at(candidate) > last_term:
            candidate -= 1
        return candidate if candidate < index else max(0, index - 1)

    async def _wait_quorum(self, term: int, index: int) -> None:
        needed_acks = self.options.group_size // 2

        def has_quorum() -> bool:
            acks = [ack for ack in self.follower_acks.values() if ack >= index]
            return len(acks) >= needed_acks or self.promised_term != term

        try:
            async with asyncio.timeout(QUORUM_TIMEOUT_SECONDS), self.changed:
                await self.changed.wait_for(has_quorum)
        except TimeoutError as error:
            raise mysql_error(
                ERROR_CODE_QUORUM_LOST, 'no quorum; outcome unknown'
            ) from error
        if self.promised_term != term:
            raise mysql_error(
                ERROR_CODE_QUORUM_LOST, 'term ended; outcome unknown'
            )

    def _stop_replication(self) -> None:
        if self._replication:
            self._replication.cancel()
            self._replication = None

    async def _replicate(self, term: int, port: int) -> None:
        while True:
            try:
                await self._pull_entries(term, port)
            except (OSError, asyncmy.errors.Error, TimeoutError):
                await asyncio.sleep(PULL_WAIT_SECONDS)

    async def _pull_entries(self, term: int, port: int) -> None:
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
                    answer = await self._request_entries(connection, term)
                await self._append_entries(answer)
        finally:
            connection.close()

    async def _request_entries(
        self, connection: asyncmy.Connection, term: int
    ) -> dict[str, typing.Any]:
        name = self.options.name
        last = f'{self.log.last_index}, {self.log.last_term}'
        async with connection.cursor() as cursor:
            await cursor.execute(f"CALL group_pull('{name}', {term}, {last})")
            row = await cursor.fetchone()
        return json.loads(row[0])

    async def _append_entries(self, answer: dict[str, typing.Any]) -> None:
        if answer.get('stale'):
            await asyncio.sleep(PULL_WAIT_SECONDS)
        if 'back_to' in answer:
            self._truncate(answer['back_to'])
        entries = answer.get('entries', [])
        for entry_term, statements in entries:
            self.log.append(replicated_log.Entry(entry_term, tuple(statements)))
        if not entries:
            return
        if self.faults.apply_lag:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.faults.apply_lag,
                lambda index: asyncio.ensure_future(self._apply_async(index)),
                self.log.last_index,
            )
        else:
            await self._apply_async(self.log.last_index)

    async def _apply_async(self, index: int) -> None:
        self._apply_through(min(index, self.log.last_index))
        await self.notify_waiters()

    def _apply_through(self, index: int) -> None:
        for entry in self.log.entries_after(
            self.applied_index, max(0, index - self.applied_index)
        ):
            self.committed_storage.apply(entry.statements)
            self.working_storage.apply(entry.statements)
            self.applied_index += 1

    def _truncate(self, index: int) -> None:
        self.log.truncate(index)
        if self.applied_index > index:
            self.committed_storage.reset()
            self.working_storage.reset()
            self.applied_index = 0
            self._apply_through(index)
