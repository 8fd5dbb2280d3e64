"""Load generator that runs a workload through an ordinary MySQL client.

Each session increments a counter row of its own and reads it back, so that
the answers show whether the consistency guarantees hold. A row has two
columns, `total` and `twin`, which every write increments together: a read
that finds them unequal shows a part of a transaction.
"""

import asyncio
import contextlib
import dataclasses
import random
import typing

import asyncmy
from asyncmy import errors as asyncmy_errors

from egretstep import clock, errors
from egretstep.bench import checks, measures, workload

CONNECT_TIMEOUT_SECONDS = 2.0
STATEMENT_TIMEOUT_SECONDS = 8.0
MAX_ATTEMPTS = 100
RETRY_PAUSE_SECONDS = 0.1
TABLE = 'bench_counters'
# Codes of the MySQL client: 2006 means that the connection was gone, 2013
# that it was lost during the statement. 0 stands for an error without a code.
_OUTCOME_UNKNOWN_CODES = frozenset((
    errors.RefusalKind.OUTCOME_UNKNOWN.code,
    2013,
    0,
))
_CONNECTION_CLOSED_CODES = frozenset((
    0,
    2006,
    2013,
    errors.RefusalKind.KEY_WITHDRAWN.code,
    errors.RefusalKind.ZONE_OUT.code,
    errors.RefusalKind.STOPPING.code,
))
_STATEMENT_ERRORS = (OSError, TimeoutError, asyncmy_errors.MySQLError)


@dataclasses.dataclass(slots=True, kw_only=True)
class Session:
    """One session of a caller group.

    `row` is the id of its counter row, and `initial_total` its counter before
    the first write. `sent` describes the statements of
    the current operation and their times. The lock lets one operation run
    at a time.
    """

    name: str
    row: int
    group: workload.CallerGroup
    statistics: measures.GroupStatistics
    writes: checks.WriteCounts
    randomness: random.Random
    initial_total: int = 0
    connection: asyncmy.Connection | None = None
    sent: list[str] = dataclasses.field(default_factory=list)
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


class LoadGenerator:
    """Sends the operations of a workload and checks the answers.

    `groups` maps `workspace/database` to the results of a caller group, and
    `violations` holds the violated guarantees. Methods that set up or check
    rows raise `LinkError` if no host runs a statement after many attempts.
    """

    def __init__(
        self,
        *,
        model: workload.Workload,
        addresses: typing.Sequence[workload.Address],
    ) -> None:
        self._model = model
        self._addresses = list(addresses)
        self._clock = clock.MonotonicClock()
        self._random = random.Random(model.seed)
        self.violations = checks.Violations()
        self.groups = {
            f'{group.workspace}/{group.database}': measures.GroupStatistics()
            for group in model.groups
        }
        self._sessions = [
            session
            for group in model.groups
            for session in self._make_sessions(group)
        ]

    async def run(self) -> None:
        """Create the counters, send the load, and check the counters."""
        await self.prepare()
        await self.send()
        await self.check()

    async def send(self) -> None:
        """Send the operations of all groups for the time of the workload."""
        await asyncio.gather(*map(self._send_group, self._model.groups))

    def exclude_hosts(self, hosts: typing.Collection[str]) -> None:
        """Stop connecting to these hosts; open connections stay."""
        self._addresses = [
            address for address in self._addresses if address.host not in hosts
        ]

    async def prepare(self) -> None:
        """Create the tables and counters that are missing; read all counters.

        An attempt whose outcome is unknown may run after the load has begun.
        So no statement here changes a counter that exists.
        """
        databases = {group.database for group in self._model.groups}
        for database in sorted(databases):
            setup_session = next(
                session
                for session in self._sessions
                if session.group.database == database
            )
            await self._send_until_done(
                setup_session,
                f'CREATE TABLE IF NOT EXISTS {TABLE} '
                '(id INTEGER PRIMARY KEY, total INTEGER, twin INTEGER)',
            )
        for session in self._sessions:
            await self._send_until_done(
                session,
                f'INSERT INTO {TABLE} SELECT {session.row}, 0, 0 WHERE NOT '
                f'EXISTS (SELECT 1 FROM {TABLE} WHERE id = {session.row})',
            )
            session.initial_total = await self._read_total(session)

    async def check(self) -> None:
        """Compare each counter with its session's writes, and disconnect."""
        for session in self._sessions:
            total = await self._read_total(session)
            checks.check_total(
                violations=self.violations,
                name=session.name,
                writes=session.writes,
                stored=total - session.initial_total,
            )
            if session.connection:
                session.connection.close()

    async def _read_total(self, session: Session) -> int:
        rows = await self._send_until_done(
            session,
            f'SELECT total FROM {TABLE} WHERE id = {session.row}',
        )
        return typing.cast(int, rows[0][0])

    def _make_sessions(self, group: workload.CallerGroup) -> list[Session]:
        group_statistics = self.groups[f'{group.workspace}/{group.database}']
        first_row = 1000 * (1 + self._model.groups.index(group))
        return [
            Session(
                name=f'{group.workspace}-{number}',
                row=first_row + number,
                group=group,
                statistics=group_statistics,
                writes=checks.WriteCounts(),
                randomness=random.Random(first_row + number),
            )
            for number in range(group.sessions)
        ]

    async def _send_group(self, group: workload.CallerGroup) -> None:
        sessions = [
            session for session in self._sessions if session.group is group
        ]
        deadline = self._clock.now() + self._model.seconds
        due_at = self._clock.now()
        running_tasks: set[asyncio.Task[None]] = set()
        while due_at < deadline:
            due_at += self._random.expovariate(group.rate)
            await asyncio.sleep(max(0.0, due_at - self._clock.now()))
            session = self._random.choice(sessions)
            task = asyncio.create_task(self._run_operation(session, due_at))
            running_tasks.add(task)
            task.add_done_callback(running_tasks.discard)
        await asyncio.gather(*running_tasks)

    async def _run_operation(self, session: Session, due_at: float) -> None:
        async with session.lock:
            delayed = self._clock.now() - due_at
            session.sent = [f'{delayed:.3f} s behind others']
            try:
                async with asyncio.timeout(STATEMENT_TIMEOUT_SECONDS):
                    await self._send_operation(session)
            except _STATEMENT_ERRORS as error:
                session.statistics.record_failure(
                    _outcome_name(error),
                    seconds=self._clock.now() - due_at,
                    sent=', '.join(session.sent),
                )
                if _ends_connection(error):
                    self._disconnect(session)
            else:
                now = self._clock.now()
                session.statistics.record_success(
                    now=now,
                    seconds=now - due_at,
                    sent=', '.join(session.sent),
                )

    async def _send_operation(self, session: Session) -> None:
        group = session.group
        if session.randomness.random() < group.moves:
            self._disconnect(session)
        transaction_draw = session.randomness.random()
        if transaction_draw < group.transaction_share:
            await self._run_transaction(session)
        elif session.randomness.random() < group.read_share:
            await self._read(session)
        else:
            await self._write(session)

    async def _read(self, session: Session) -> None:
        expected = session.initial_total + session.writes.acknowledged
        # The random marker shows that the answer belongs to this request.
        marker = session.randomness.randrange(10**9)
        rows = await self._send_statement(
            session,
            f'SELECT total, twin, {marker} FROM {TABLE} '
            f'WHERE id = {session.row}',
        )
        if not rows or rows[0][2] != marker:
            self.violations.record(
                checks.Guarantee.MATCHING_ANSWER,
                f'{session.name} got {rows}',
            )
            return
        total, twin, _marker = rows[0]
        if total < expected:
            self.violations.record(
                checks.Guarantee.READ_YOUR_WRITES,
                f'{session.name} wrote {expected} and read {total}',
            )
        if total != twin:
            self.violations.record(
                checks.Guarantee.ISOLATION,
                f'{session.name} read {total} beside {twin}',
            )

    async def _write(self, session: Session) -> None:
        await self._send_write(
            session,
            f'UPDATE {TABLE} SET total = total + 1, twin = twin + 1 '
            f'WHERE id = {session.row}',
        )

    async def _run_transaction(self, session: Session) -> None:
        await self._send_statement(session, 'BEGIN')
        try:
            for column in ('total', 'twin'):
                await self._send_statement(
                    session,
                    f'UPDATE {TABLE} SET {column} = {column} + 1 '
                    f'WHERE id = {session.row}',
                )
        except _STATEMENT_ERRORS:
            self._disconnect(session)
            raise
        await self._send_write(session, 'COMMIT')

    async def _send_write(self, session: Session, sql: str) -> None:
        try:
            await self._send_statement(session, sql)
        except asyncmy_errors.MySQLError as error:
            if _error_code(error) in _OUTCOME_UNKNOWN_CODES:
                session.writes.unknown += 1
            raise
        except (OSError, TimeoutError, asyncio.CancelledError):
            session.writes.unknown += 1
            raise
        session.writes.acknowledged += 1

    async def _send_statement(self, session: Session, sql: str) -> typing.Any:
        connection = session.connection or await self._connect(session)
        started_at = self._clock.now()
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
                return await cursor.fetchall()
        finally:
            duration = self._clock.now() - started_at
            session.sent.append(f'{sql.split(maxsplit=1)[0]} {duration:.3f} s')

    async def _connect(self, session: Session) -> asyncmy.Connection:
        address = session.randomness.choice(self._addresses)
        connection = await asyncmy.connect(
            host=address.address,
            port=address.port,
            user=session.group.workspace,
            password=session.group.key,
            database=session.group.database,
            autocommit=True,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
        )
        session.connection = connection
        async with connection.cursor() as cursor:
            await cursor.execute(
                f"SET @egretstep_session = '{session.name}'",
            )
        return connection

    def _disconnect(self, session: Session) -> None:
        if session.connection:
            session.connection.close()
            session.connection = None

    async def _send_until_done(self, session: Session, sql: str) -> typing.Any:
        for _ in range(MAX_ATTEMPTS):
            with contextlib.suppress(*_STATEMENT_ERRORS):
                async with asyncio.timeout(STATEMENT_TIMEOUT_SECONDS):
                    return await self._send_statement(session, sql)
            self._disconnect(session)
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        raise errors.LinkError(
            f'no host ran {sql!r} in {MAX_ATTEMPTS} attempts; is the fleet up?',
        )


def _ends_connection(error: BaseException) -> bool:
    if not isinstance(error, asyncmy_errors.MySQLError):
        return True
    return _error_code(error) in _CONNECTION_CLOSED_CODES


def _error_code(error: BaseException) -> int:
    code = error.args[0] if error.args else 0
    return code if isinstance(code, int) else 0


def _outcome_name(error: BaseException) -> str:
    code = _error_code(error)
    for kind in errors.RefusalKind:
        if kind.code == code:
            return kind.name.lower()
    return f'error {code}' if code else type(error).__name__
