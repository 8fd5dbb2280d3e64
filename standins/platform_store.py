"""Stand-in for the store and the promotion call of the platform."""

import asyncio
import base64
import dataclasses
import typing

from aiohttp import web

from standins import platform_servers

# Table and key of a row.
RowKey = tuple[str, str]
SHUTDOWN_TIMEOUT_SECONDS = 0.05
MAX_PAGE_ROWS = 500
# Tables that the system can't write to. After a restore, the operator and the
# servers write again what they wrote since the copy was made.
_REWRITTEN_TABLES = ('op', 'servers')


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults of the store that a test can set while it runs.

    `is_silent` delays all requests until it is off, `is_busy` answers all
    requests with 503, and `delay` delays each request by some seconds. The
    next `lost_writes` transactions take effect and are answered 2 seconds
    late. `loses_polls` leaves polls of the change feed that arrive without an
    answer for good. `forgets` answers polls of the change feed with 410, as if the
    requested changes were no longer kept. `promotion_answer_delay` delays the
    answers to promotion requests by some seconds; what they ask for begins at
    once.
    """

    is_silent: bool = False
    is_busy: bool = False
    delay: float = 0
    lost_writes: int = 0
    loses_polls: bool = False
    forgets: bool = False
    promotion_answer_delay: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """The rows of the store at a version, and the changes up to it."""

    rows: dict[RowKey, tuple[bytes, int]]
    version: int
    changes: list[tuple[int, RowKey]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromotionRequest:
    """A promotion that a host requested.

    `holder` and `token` are the holder of the lease and its fencing token.
    """

    service: str
    server: str
    holder: str
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageReport:
    """The usage of a window that a host reported; `at` is the loop's time."""

    window: int
    counts: dict[str, int]
    holder: str
    token: int
    at: float


class PlatformStore:
    """Versioned rows with a change feed, and promotions.

    `rows` maps the table and key of a row to its content and its version. One
    counter numbers the changes of all tables. `era` grows with each restore
    from a copy; the store then gives out versions a second time.
    """

    def __init__(
        self,
        *,
        groups: typing.Sequence[platform_servers.Group],
    ) -> None:
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.era = 1
        self.faults = StoreFaults()
        self.promotion_requests: list[PromotionRequest] = []
        self.usage_reports: list[UsageReport] = []
        self.request_count = 0
        self.page_size = MAX_PAGE_ROWS
        self.port = 0
        self._groups = {group.service: group for group in groups}
        self._last_version = 0
        self._changes: list[tuple[int, RowKey]] = []
        self._change_event = asyncio.Event()
        self._runner: web.AppRunner | None = None
        for group in groups:
            group.on_change = self.register_all

    async def start(self) -> None:
        """Listen on loopback; a restart uses the same port.

        Does nothing if the store is listening.
        """
        if self._runner is not None:
            return
        application = web.Application(middlewares=[self._apply_faults])
        application.router.add_get('/v1/rows-get', self._get_rows)
        application.router.add_get('/v1/rows-feed', self._poll_changes)
        application.router.add_post('/v1/rows-tx', self._transact)
        application.router.add_post('/promotion', self._accept_promotion)
        application.router.add_post('/usage', self._accept_usage)
        self._runner = web.AppRunner(
            application,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
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
        """Clear the faults, stop listening and close all connections."""
        self.faults = StoreFaults()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def copy(self) -> StoreCopy:
        """Return a copy of the store, to which it can be restored."""
        return StoreCopy(
            rows=dict(self.rows),
            version=self._last_version,
            changes=list(self._changes),
        )

    def restore(
        self,
        copy: StoreCopy,
        *,
        rewritten_tables: typing.Collection[str] = _REWRITTEN_TABLES,
    ) -> None:
        """Return to an earlier copy; all writes since then are lost.

        The operator and the servers write their lost changes of the
        `rewritten_tables` again.
        """
        lost = {
            key: self.rows.get(key)
            for key in sorted({*self.rows, *copy.rows})
            if key[0] in rewritten_tables
            and self.rows.get(key) != copy.rows.get(key)
        }
        self.era += 1
        self.rows = dict(copy.rows)
        self._last_version = copy.version
        self._changes = list(copy.changes)
        for (table, key), row in lost.items():
            self.put(table, key, row[0] if row else None)

    def put(self, table: str, key: str, content: bytes | None) -> int:
        """Write a row, or delete it if `content` is None.

        Returns the version of the change. No fault applies.
        """
        self._last_version += 1
        if content is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (content, self._last_version)
        self._changes.append((self._last_version, (table, key)))
        self._change_event.set()
        self._change_event = asyncio.Event()
        return self._last_version

    def register_all(self) -> None:
        """Write the registrations of the servers that are up.

        Deletes those of the servers that are down.
        """
        for group in self._groups.values():
            for name, server in group.servers.items():
                content = None
                if not server.faults.is_down:
                    content = web.json_response(server.registration()).body
                self.put('servers', name, typing.cast(bytes, content))

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        self.request_count += 1
        while self.faults.is_silent:
            await asyncio.sleep(0.02)
        if self.faults.is_busy:
            return web.Response(status=503)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        response = await handler(request)
        response.headers['Store-Era'] = str(self.era)
        return response

    async def _get_rows(self, request: web.Request) -> web.Response:
        table = request.query['table']
        first_key = request.query.get('from', '')
        end_key = request.query.get('to', '\U0010ffff')
        rows = [
            self._describe_row(key)
            for key in sorted(self.rows)
            if key[0] == table and first_key <= key[1] < end_key
        ]
        page = rows[: self.page_size]
        has_more = len(rows) > len(page)
        return self._respond({'rows': page, 'has_more': has_more})

    async def _poll_changes(self, request: web.Request) -> web.Response:
        table = request.query['table']
        after_version = int(request.query['after'])
        if self.faults.loses_polls:
            await asyncio.Event().wait()
        if self.faults.forgets or after_version > self._last_version:
            return web.Response(status=410)
        wait_seconds = int(request.query['wait_ms']) / 1000
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while True:
            changed = {
                key: version
                for version, key in self._changes
                if version > after_version and key[0] == table
            }
            remaining = deadline - asyncio.get_running_loop().time()
            if changed or remaining <= 0:
                return self._respond({'rows': self._describe_changes(changed)})
            change = asyncio.ensure_future(self._change_event.wait())
            await asyncio.wait([change], timeout=remaining)
            change.cancel()

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.is_busy:
            return web.Response(status=503)
        for expected in body['expected_rev']:
            key = (expected['table'], expected['key'])
            if self.rows.get(key, (b'', 0))[1] != expected['ver']:
                return web.json_response({'rows': []}, status=412)
        for written in body['puts']:
            content = base64.b64decode(written['value'])
            self.put(written['table'], written['key'], content)
        for deleted in body['delete']:
            self.put(deleted['table'], deleted['key'], None)
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            await asyncio.sleep(2)
        return self._respond({})

    async def _accept_promotion(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.promotion_requests.append(
            PromotionRequest(
                service=body['service'],
                server=body['id'],
                holder=request.headers['Egretstep-Lease-Holder'],
                token=int(request.headers['Egretstep-Fencing-Token']),
            ),
        )
        group = self._groups[body['service']]
        accepted = await group.promote(body['id'])
        await asyncio.sleep(self.faults.promotion_answer_delay)
        return web.Response(status=200 if accepted else 409)

    async def _accept_usage(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.usage_reports.append(
            UsageReport(
                window=body['window_id'],
                counts=body['counts'],
                holder=request.headers['Egretstep-Lease-Holder'],
                token=int(request.headers['Egretstep-Fencing-Token']),
                at=asyncio.get_running_loop().time(),
            ),
        )
        return web.Response()

    def _describe_row(self, key: RowKey) -> dict[str, typing.Any]:
        content, version = self.rows[key]
        return {
            'table': key[0],
            'part': '',
            'key': key[1],
            'value': base64.b64encode(content).decode(),
            'ver': version,
        }

    def _describe_changes(self, changed: dict[RowKey, int]) -> list[typing.Any]:
        return [
            self._describe_row(key)
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

    def _respond(self, fields: dict[str, typing.Any]) -> web.Response:
        return web.json_response({
            **fields,
            'ver': self._last_version,
            'now_ms': int(asyncio.get_running_loop().time() * 1000),
        })
