"""Stand-in for the platform's store and its promotion call, on loopback."""

import asyncio
import base64
import dataclasses
import typing

from aiohttp import web

from standins import line_group

Key = tuple[str, str]
SHUTDOWN_SECONDS = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults of the store, set while it runs; times in seconds."""

    is_silent: bool = False
    is_busy: bool = False
    delay: float = 0
    lost_writes: int = 0
    forgets: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """A promotion that was asked for."""

    service: str
    server: str
    holder: str
    token: int


class PlatformStore:
    """Rows with versions, a feed of changes, and promotions."""

    def __init__(
        self,
        *,
        groups: typing.Sequence[line_group.Group],
    ) -> None:
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.faults = StoreFaults()
        self.orders: list[Order] = []
        self.calls = 0
        self.port = 0
        self._groups = {group.service: group for group in groups}
        self._version = 0
        self._changes: list[tuple[int, Key]] = []
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        for group in groups:
            group.on_change = self.register_all

    async def start(self) -> None:
        """Listen on loopback."""
        application = web.Application(middlewares=[self._disturb])
        application.router.add_get('/v1/rows-get', self._get)
        application.router.add_get('/v1/rows-feed', self._feed)
        application.router.add_post('/v1/rows-tx', self._transact)
        application.router.add_post('/promotion', self._promote)
        self._runner = web.AppRunner(
            application,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            '127.0.0.1',
            self.port,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        self.faults = StoreFaults()
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, content: bytes | None) -> int:
        """Write or delete a row, as the operator or a server does."""
        self._version += 1
        if content is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (content, self._version)
        self._changes.append((self._version, (table, key)))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def register_all(self) -> None:
        """Write the rows of all servers that are up."""
        for group in self._groups.values():
            for name, server in group.servers.items():
                content = None
                if not server.faults.is_down:
                    content = web.json_response(server.registration()).body
                self.put('servers', name, typing.cast(bytes, content))

    @web.middleware
    async def _disturb(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        self.calls += 1
        while self.faults.is_silent:
            await asyncio.sleep(0.02)
        if self.faults.is_busy:
            return web.Response(status=503)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        return await handler(request)

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query['table']
        first = request.query.get('from', '')
        last = request.query.get('to', '\U0010ffff')
        rows = [
            self._row(key)
            for key in sorted(self.rows)
            if key[0] == table and first <= key[1] < last
        ]
        return self._answer({'rows': rows, 'has_more': False})

    async def _feed(self, request: web.Request) -> web.Response:
        table = request.query['table']
        after = int(request.query['after'])
        if self.faults.forgets:
            return web.Response(status=410)
        wait = int(request.query['wait_ms']) / 1000
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            changed = {
                key: version
                for version, key in self._changes
                if version > after and key[0] == table
            }
            remaining = deadline - asyncio.get_running_loop().time()
            if changed or remaining <= 0:
                return self._answer({'rows': self._described(changed)})
            waiting = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait([waiting], timeout=remaining)
            waiting.cancel()

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.is_busy:
            return web.Response(status=503)
        for expected in body['expected_rev']:
            key = (expected['table'], expected['key'])
            if self.rows.get(key, (b'', 0))[1] != expected['ver']:
                return web.json_response({'rows': []}, status=412)
        for put in body['puts']:
            content = base64.b64decode(put['value'])
            self.put(put['table'], put['key'], content)
        for dropped in body['delete']:
            self.put(dropped['table'], dropped['key'], None)
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            await asyncio.sleep(2)
        return self._answer({})

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.orders.append(
            Order(
                service=body['service'],
                server=body['id'],
                holder=request.headers['Egretstep-Lease-Holder'],
                token=int(request.headers['Egretstep-Fencing-Token']),
            ),
        )
        group = self._groups[body['service']]
        accepted = await group.promote(body['id'])
        return web.Response(status=200 if accepted else 409)

    def _row(self, key: Key) -> dict[str, typing.Any]:
        content, version = self.rows[key]
        return {
            'table': key[0],
            'part': '',
            'key': key[1],
            'value': base64.b64encode(content).decode(),
            'ver': version,
        }

    def _described(self, changed: dict[Key, int]) -> list[typing.Any]:
        return [
            self._row(key)
            if key in self.rows
            else {
                'table': key[0],
                'part': '',
                'key': key[1],
                'ver': version,
                'tombstone': True,
            }
            for key, version in changed.items()
        ]

    def _answer(self, fields: dict[str, typing.Any]) -> web.Response:
        return web.json_response({
            **fields,
            'ver': self._version,
            'now_ms': int(asyncio.get_running_loop().time() * 1000),
        })
