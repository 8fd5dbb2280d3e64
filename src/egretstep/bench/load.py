"""Runs a workload against the hosts of a fleet, as stock MySQL clients."""

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
SETTLE_TRIES = 100
SETTLE_PAUSE_SECONDS = 0.1
TABLE = 'bench_counters'
_UNKNOWN_CODES = frozenset((errors.RefusalKind.OUTCOME_UNKNOWN.code, 2013, 0))
_CLOSED_CODES = frozenset((
    0,
    2006,
    2013,
    errors.RefusalKind.KEY_WITHDRAWN.code,
    errors.RefusalKind.ZONE_OUT.code,
    errors.RefusalKind.STOPPING.code,
))
_LOST = (OSError, TimeoutError, asyncmy_errors.MySQLError)


@dataclasses.dataclass(slots=True, kw_only=True)
class Session:
    """One caller: its row, its connection and what it has seen."""

    name: str
    row: int
    group: workload.CallerGroup
    measures: measures.GroupMeasures
    ledger: checks.Ledger
    randomness: random.Random
    connection: asyncmy.Connection | None = None
    sent: list[str] = dataclasses.field(default_factory=list)
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


class Load:
    """All sessions of a workload."""

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
            f'{group.workspace}/{group.database}': measures.GroupMeasures()
            for group in model.groups
        }
        self._sessions = [
            session for group in model.groups for session in self._make(group)
        ]

    async def run(self) -> None:
        """Create the rows, send the load, and check the totals."""
        await self.prepare()
        await self.send()
        await self.check()

    async def send(self) -> None:
        """Send the load of all groups."""
        await asyncio.gather(*map(self._drive, self._model.groups))

    def leave_hosts(self, hosts: typing.Collection[str]) -> None:
        """Connect to these hosts no more."""
        self._addresses = [
            each for each in self._addresses if each.host not in hosts
        ]

    async def prepare(self) -> None:
        """Create each session's counter."""
        databases = {group.database for group in self._model.groups}
        for database in sorted(databases):
            first = next(
                session
                for session in self._sessions
                if session.group.database == database
            )
            await self._insist(
                first,
                f'CREATE TABLE IF NOT EXISTS {TABLE} '
                '(id INTEGER PRIMARY KEY, total INTEGER, twin INTEGER)',
            )
        for session in self._sessions:
            await self._insist(
                session,
                f'REPLACE INTO {TABLE} VALUES ({session.row}, 0, 0)',
            )

    async def check(self) -> None:
        """Compare every counter with what its session was told."""
        for session in self._sessions:
            rows = await self._insist(
                session,
                f'SELECT total FROM {TABLE} WHERE id = {session.row}',
            )
            checks.check_total(
                violations=self.violations,
                name=session.name,
                ledger=session.ledger,
                stored=rows[0][0],
            )
            if session.connection:
                session.connection.close()

    def _make(self, group: workload.CallerGroup) -> list[Session]:
        seen = self.groups[f'{group.workspace}/{group.database}']
        first_row = 1000 * (1 + self._model.groups.index(group))
        return [
            Session(
                name=f'{group.workspace}-{number}',
                row=first_row + number,
                group=group,
                measures=seen,
                ledger=checks.Ledger(),
                randomness=random.Random(first_row + number),
            )
            for number in range(group.sessions)
        ]

    async def _drive(self, group: workload.CallerGroup) -> None:
        sessions = [each for each in self._sessions if each.group is group]
        deadline = self._clock.now() + self._model.seconds
        due = self._clock.now()
        running: set[asyncio.Task[None]] = set()
        while due < deadline:
            due += self._random.expovariate(group.rate)
            await asyncio.sleep(max(0.0, due - self._clock.now()))
            session = self._random.choice(sessions)
            task = asyncio.create_task(self._step(session, due))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def _step(self, session: Session, due: float) -> None:
        async with session.lock:
            waited = self._clock.now() - due
            session.sent = [f'{waited:.3f} s behind others']
            try:
                async with asyncio.timeout(STATEMENT_TIMEOUT_SECONDS):
                    await self._act(session)
            except _LOST as error:
                session.measures.failure(
                    _kind(error),
                    seconds=self._clock.now() - due,
                    sent=', '.join(session.sent),
                )
                if _ends_connection(error):
                    self._disconnect(session)
            else:
                now = self._clock.now()
                session.measures.success(
                    now=now,
                    seconds=now - due,
                    sent=', '.join(session.sent),
                )

    async def _act(self, session: Session) -> None:
        group = session.group
        if session.randomness.random() < group.moves:
            self._disconnect(session)
        drawn = session.randomness.random()
        if drawn < group.transaction_share:
            await self._transact(session)
        elif session.randomness.random() < group.read_share:
            await self._read(session)
        else:
            await self._write(session)

    async def _read(self, session: Session) -> None:
        expected = session.ledger.acknowledged
        # The marker shows that the answer belongs to this request.
        marker = session.randomness.randrange(10**9)
        rows = await self._send(
            session,
            f'SELECT total, twin, {marker} FROM {TABLE} '
            f'WHERE id = {session.row}',
        )
        if not rows or rows[0][2] != marker:
            self.violations.note(
                checks.Promise.OWN_ANSWER,
                f'{session.name} got {rows}',
            )
            return
        total, twin, _marker = rows[0]
        if total < expected:
            self.violations.note(
                checks.Promise.READ_YOUR_WRITES,
                f'{session.name} wrote {expected} and read {total}',
            )
        if total != twin:
            self.violations.note(
                checks.Promise.ISOLATION,
                f'{session.name} read {total} beside {twin}',
            )

    async def _write(self, session: Session) -> None:
        await self._count_write(
            session,
            f'UPDATE {TABLE} SET total = total + 1, twin = twin + 1 '
            f'WHERE id = {session.row}',
        )

    async def _transact(self, session: Session) -> None:
        await self._send(session, 'BEGIN')
        try:
            for column in ('total', 'twin'):
                await self._send(
                    session,
                    f'UPDATE {TABLE} SET {column} = {column} + 1 '
                    f'WHERE id = {session.row}',
                )
        except _LOST:
            self._disconnect(session)
            raise
        await self._count_write(session, 'COMMIT')

    async def _count_write(self, session: Session, sql: str) -> None:
        try:
            await self._send(session, sql)
        except asyncmy_errors.MySQLError as error:
            if _code(error) in _UNKNOWN_CODES:
                session.ledger.unknown += 1
            raise
        except (OSError, TimeoutError, asyncio.CancelledError):
            session.ledger.unknown += 1
            raise
        session.ledger.acknowledged += 1

    async def _send(self, session: Session, sql: str) -> typing.Any:
        connection = session.connection or await self._connect(session)
        started = self._clock.now()
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
                return await cursor.fetchall()
        finally:
            took = self._clock.now() - started
            session.sent.append(f'{sql.split(maxsplit=1)[0]} {took:.3f} s')

    async def _connect(self, session: Session) -> asyncmy.Connection:
        target = session.randomness.choice(self._addresses)
        connection = await asyncmy.connect(
            host=target.address,
            port=target.port,
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

    async def _insist(self, session: Session, sql: str) -> typing.Any:
        for _ in range(SETTLE_TRIES):
            with contextlib.suppress(*_LOST):
                async with asyncio.timeout(STATEMENT_TIMEOUT_SECONDS):
                    return await self._send(session, sql)
            self._disconnect(session)
            await asyncio.sleep(SETTLE_PAUSE_SECONDS)
        raise errors.LinkError(f'no host runs {sql!r}; is the fleet up?')


def _ends_connection(error: BaseException) -> bool:
    if not isinstance(error, asyncmy_errors.MySQLError):
        return True
    return _code(error) in _CLOSED_CODES


def _code(error: BaseException) -> int:
    code = error.args[0] if error.args else 0
    return code if isinstance(code, int) else 0


def _kind(error: BaseException) -> str:
    code = _code(error)
    for kind in errors.RefusalKind:
        if kind.code == code:
            return kind.name.lower()
    return f'error {code}' if code else type(error).__name__
