"""State that the steps of a scenario share: deployment, callers and load."""

import asyncio
import contextlib
import os
import time
import typing

import aiohttp
import asyncmy
from asyncmy import errors as asyncmy_errors

from egretstep.bench import load
from standins import demo, fleet
from tests import fixtures

PORT_OFFSET = int(os.environ.get('EGRETSTEP_PORT_OFFSET', '8000'))
# Stand-in servers accept this user's connections even while silent.
FAULT_USER = 'fault'
POLL_INTERVAL_SECONDS = 0.05
Caller = asyncmy.Connection


class World:
    """The deployment, callers and load of one scenario.

    `last_rows` and `last_error` are the result of the last statement that
    `run_statement` ran: the rows if it succeeded, else the error. `roles`
    holds the names of the host and the server that an earlier step found to
    be the `owner` and the `primary`. `results` holds what the concurrent
    operations of a step returned, and `flood_seconds` how long a step sent
    statements without regard to refusals.
    """

    def __init__(self) -> None:
        self.fleet: fleet.Fleet | None = None
        self.callers: dict[str, Caller] = {}
        self.load: load.LoadGenerator | None = None
        self.last_error: asyncmy_errors.MySQLError | None = None
        self.last_rows: typing.Any = None
        self.failed_at = 0.0
        self.roles: dict[str, str] = {}
        self.results: list[typing.Any] = []
        self.flood_seconds = 0.0
        self._load_task: asyncio.Future[typing.Any] | None = None

    @property
    def deployment(self) -> fleet.Fleet:
        """Return the deployment that `start` has started."""
        assert self.fleet is not None
        return self.fleet

    async def start(self, example: str, **options: typing.Any) -> None:
        """Start a deployment of an example and wait until it serves.

        `options` are passed on to `fleet.Fleet`.
        """
        self.fleet = fleet.Fleet(
            example=example,
            port_offset=PORT_OFFSET,
            **options,
        )
        await self.fleet.start()

    async def close(self) -> None:
        """Cancel the load, close the callers and kill all processes."""
        if self._load_task:
            self._load_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await self._load_task
        for caller in self.callers.values():
            caller.close()
        if self.fleet:
            self.fleet.kill_all()

    async def start_load(self, seconds: float, rate: float = 25) -> None:
        """Start a load in the background; return after its first second.

        `rate` is in statements a second for each workspace.
        """
        model = demo.make_workload(
            self.deployment,
            seconds=seconds,
            rate=rate,
        )
        self.load = load.LoadGenerator(
            model=model,
            addresses=demo.addresses(self.deployment),
        )
        await self.load.prepare()
        self._load_task = asyncio.ensure_future(self.load.send())
        await asyncio.sleep(1)

    async def finish_load(self, without: typing.Collection[str] = ()) -> None:
        """Wait for the end of the load and check its rows.

        `without` names hosts that are down, which the check must not use.
        The violations found are in `load.violations`.
        """
        assert self.load is not None
        assert self._load_task is not None
        await self._load_task
        self.load.exclude_hosts(without)
        await self.load.check()

    def list_slowest_statements(self) -> str:
        """Return the slowest statement of each caller group, one to a line."""
        groups = self.load.groups if self.load else {}
        return '\n'.join(
            f'{name}: {group.slowest_description}'
            for name, group in groups.items()
        )

    async def find_owner_and_primary(self, database: str) -> tuple[str, str]:
        """Return the host that owns a database, and the name of its primary.

        Waits until a host serves the database. Raises `AssertionError` if
        none does within ten seconds.
        """
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            for status in await self.deployment.statuses():
                for entry in status['databases']:
                    if entry['database'] == database and entry['serving']:
                        return entry['owner'], entry['primary']
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise AssertionError(
            f'no host serves database {database!r} within 10 s'
        )

    async def connect(
        self,
        name: str,
        workspace: str,
        host: str,
        **options: typing.Any,
    ) -> Caller:
        """Connect a caller to a host and keep it under `name`.

        `options` are passed on to `fixtures.connect`.
        """
        caller = await fixtures.connect(
            self.deployment,
            host=host,
            workspace=workspace,
            **options,
        )
        self.callers[name] = caller
        return caller

    async def run_statement(self, name: str, sql: str) -> None:
        """Run a statement of a caller and keep its rows or its error."""
        self.last_error = None
        self.last_rows = None
        try:
            self.last_rows = await fixtures.run(self.callers[name], sql)
        except asyncmy_errors.MySQLError as error:
            self.last_error = error

    async def run_control(self, server: str, sql: str) -> typing.Any:
        """Run a control statement on a stand-in server and return its rows."""
        for database in self.deployment.settings.databases.values():
            if server in database.servers:
                settings = database.servers[server]
        connection = await asyncmy.connect(
            host=settings.address,
            port=settings.port,
            user=FAULT_USER,
            autocommit=None,
        )
        try:
            return await fixtures.run(connection, sql)
        finally:
            connection.close()

    async def set_fault(self, server: str, name: str, setting: float) -> None:
        """Set a fault of a stand-in server, zero to end it.

        The setting is in seconds for delays, such as `apply_lag`.
        """
        await self.run_control(server, f"CALL fault_set('{name}', {setting})")

    async def set_platform_faults(self, **faults: float) -> None:
        """Set faults of the platform's stand-in by name, zero to end one."""
        async with aiohttp.ClientSession() as session:
            url = f'{self.deployment.platform_url}/fault'
            async with session.post(url, json=faults) as response:
                assert response.status == 200

    async def wait_until(
        self,
        check: typing.Callable[[], typing.Awaitable[bool]],
        seconds: float,
    ) -> float:
        """Wait until a check returns True; return the seconds that it took.

        Raises `AssertionError` if it doesn't within `seconds`.
        """
        started_at = time.monotonic()
        while time.monotonic() - started_at < seconds:
            if await check():
                return time.monotonic() - started_at
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise AssertionError(f'{check.__name__} is not true within {seconds} s')
