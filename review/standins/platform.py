"""The platform: its store, as tables with a change feed, and promotions."""

import asyncio
import base64
import json
import time
import typing

from standins import http, record

MAX_PAGE_ROWS = 500
ANSWER_SECONDS = 0.004
TRANSACTION_SECONDS = 0.005
# Tables that only the operator and the servers write.
_FOREIGN_TABLES = ('op', 'servers')
RowKey = tuple[str, str, str]


class Store:
    """Rows under table, part and key, with one counter of versions."""

    def __init__(self) -> None:
        self._rows: dict[RowKey, tuple[bytes, int]] = {}
        self._changes: list[tuple[int, RowKey]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._server = http.Server(self._handle)

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        await self._server.start(ip, port)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def put(self, table: str, key: str, fields: typing.Any) -> None:
        """Write a row of the operator or a server; None deletes it."""
        content = None if fields is None else json.dumps(fields).encode()
        self._write([((table, '', key), content)])

    def read(self, table: str, key: str) -> typing.Any:
        """Return the decoded content of a row, None if there is none."""
        row = self._rows.get((table, '', key))
        return None if row is None else json.loads(row[0])

    def _write(self, entries: list[tuple[RowKey, bytes | None]]) -> None:
        self._version += 1
        for key, content in entries:
            if content is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = (content, self._version)
            self._changes.append((self._version, key))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        _headers: dict[str, str],
        body: bytes,
    ) -> http.Answer:
        await asyncio.sleep(ANSWER_SECONDS)
        if path == '/v1/rows-get':
            return 200, self._get(query)
        if path == '/v1/rows-feed':
            return 200, await self._feed(query)
        if path == '/v1/rows-tx' and method == 'POST':
            await asyncio.sleep(TRANSACTION_SECONDS)
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> typing.Any:
        limit = min(MAX_PAGE_ROWS, int(query.get('limit', MAX_PAGE_ROWS)))
        keys = sorted(
            key
            for key in self._rows
            if key[0] == query['table']
            and key[1] == query.get('part', '')
            and query.get('from', '') <= key[2]
            and ('to' not in query or key[2] < query['to'])
        )
        rows = [self._describe(key) for key in keys[:limit]]
        return self._stamped({'rows': rows, 'has_more': len(keys) > limit})

    async def _feed(self, query: dict[str, str]) -> typing.Any:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            latest = {
                key: version
                for version, key in self._changes
                if version > after and key[0] == query['table']
            }
            left = ends_at - time.monotonic()
            if latest or left <= 0:
                rows = [
                    self._describe(key)
                    if key in self._rows
                    else self._tombstone(key, version)
                    for key, version in latest.items()
                ]
                return self._stamped({'rows': rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, call: typing.Any) -> http.Answer:
        written = [*call.get('puts', []), *call.get('delete', [])]
        if any(entry['table'] in _FOREIGN_TABLES for entry in written):
            return 403, {}
        expected = call.get('expected_rev', [])
        for entry in expected:
            if self._rows.get(_key(entry), (b'', 0))[1] != entry['ver']:
                rows = [
                    self._describe(_key(each))
                    for each in expected
                    if _key(each) in self._rows
                ]
                return 412, self._stamped({'rows': rows})
        self._write([
            *(
                (_key(each), base64.b64decode(each['value']))
                for each in call.get('puts', [])
            ),
            *((_key(each), None) for each in call.get('delete', [])),
        ])
        return 200, self._stamped({})

    def _describe(self, key: RowKey) -> dict[str, typing.Any]:
        content, version = self._rows[key]
        return {
            'table': key[0],
            'part': key[1],
            'key': key[2],
            'value': base64.b64encode(content).decode(),
            'ver': version,
        }

    def _tombstone(self, key: RowKey, version: int) -> dict[str, typing.Any]:
        return {
            'table': key[0],
            'part': key[1],
            'key': key[2],
            'ver': version,
            'tombstone': True,
        }

    def _stamped(self, fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
        return {
            **fields,
            'ver': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }


def _key(entry: dict[str, typing.Any]) -> RowKey:
    return entry['table'], entry.get('part', ''), entry['key']


class Promotions:
    """Accepts promotions; the fence is recorded and not checked."""

    def __init__(
        self, events: record.Record, groups: dict[str, typing.Any]
    ) -> None:
        self._events = events
        self._groups = groups
        self._server = http.Server(self._handle)

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        await self._server.start(ip, port)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    async def _handle(
        self,
        method: str,
        path: str,
        _query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> http.Answer:
        await asyncio.sleep(ANSWER_SECONDS)
        if (method, path) != ('POST', '/promotion'):
            return 404, {}
        call = json.loads(body)
        accepted = self._groups[call['service']].promote(call['id'])
        self._events.add(
            'promotion-order',
            service=call['service'],
            server=call['id'],
            holder=headers.get('egretstep-lease-holder'),
            fence=headers.get('egretstep-fencing-token'),
            answer=200 if accepted else 409,
        )
        return (200 if accepted else 409), {}
