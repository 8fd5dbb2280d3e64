"""What scenario steps act on: a deployment, callers, and a load."""

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
FAULT_USER = 'fault'
POLL_SECONDS = 0.05
Caller = asyncmy.Connection


class World:
    """State of one scenario."""

    def __init__(self) -> None:
        self.fleet: fleet.Fleet | None = None
        self.callers: dict[str, Caller] = {}
        self.load: load.LoadGenerator | None = None
        self.last_error: asyncmy_errors.MySQLError | None = None
        self.last_rows: typing.Any = None
        self.failed_at = 0.0
        self.roles: dict[str, str] = {}
        self.outcomes: list[typing.Any] = []
        self.flood_seconds = 0.0
        self._load_task: asyncio.Future[typing.Any] | None = None

    @property
    def deployment(self) -> fleet.Fleet:
        """Return the running deployment."""
        assert self.fleet is not None
        return self.fleet

    async def start(self, example: str, **options: typing.Any) -> None:
        """Start a deployment."""
        self.fleet = fleet.Fleet(
            example=example,
            port_offset=PORT_OFFSET,
            **options,
        )
        await self.fleet.start()

    async def close(self) -> None:
        """End the load and all processes."""
        if self._load_task:
            self._load_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await self._load_task
        for caller in self.callers.values():
            caller.close()
        if self.fleet:
            self.fleet.kill_all()

    async def start_load(self, seconds: float, rate: float = 25) -> None:
        """Send a load in the background."""
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
        """Wait for the end of the load and compare the totals."""
        assert self.load is not None
        assert self._load_task is not None
        await self._load_task
        self.load.exclude_hosts(without)
        await self.load.check()

    def slow_statements(self) -> str:
        """Return what the slowest statement of each group was."""
        groups = self.load.groups if self.load else {}
        return '\n'.join(
            f'{name}: {group.slowest_description}'
            for name, group in groups.items()
        )

    async def find(self, database: str) -> tuple[str, str]:
        """Return the host that owns a database and its primary."""
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            for status in await self.deployment.statuses():
                for entry in status['databases']:
                    if entry['database'] == database and entry['serving']:
                        return entry['owner'], entry['primary']
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f'{database} has no owner')

    async def connect(
        self,
        name: str,
        workspace: str,
        host: str,
        **options: typing.Any,
    ) -> Caller:
        """Connect a named caller."""
        caller = await fixtures.connect(
            self.deployment,
            host=host,
            workspace=workspace,
            **options,
        )
        self.callers[name] = caller
        return caller

    async def run(self, name: str, sql: str) -> None:
        """Run a statement and keep its rows or its error."""
        self.last_error = None
        self.last_rows = None
        try:
            self.last_rows = await fixtures.run(self.callers[name], sql)
        except asyncmy_errors.MySQLError as error:
            self.last_error = error

    async def control(self, server: str, sql: str) -> typing.Any:
        """Run a control statement on a stand-in server."""
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
        """Set a fault of a stand-in server."""
        await self.control(server, f"CALL fault_set('{name}', {setting})")

    async def platform_fault(self, **faults: float) -> None:
        """Set faults of the platform's stand-in."""
        async with aiohttp.ClientSession() as session:
            url = f'{self.deployment.platform_url}/fault'
            async with session.post(url, json=faults) as response:
                assert response.status == 200

    async def eventually(
        self,
        check: typing.Callable[[], typing.Awaitable[bool]],
        seconds: float,
    ) -> float:
        """Wait until a check holds and return how long that took."""
        started = time.monotonic()
        while time.monotonic() - started < seconds:
            if await check():
                return time.monotonic() - started
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f'not so within {seconds} s')
