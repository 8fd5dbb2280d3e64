"""The platform's metadata store as tables of the product."""

import base64
import typing
import urllib.parse

import orjson

from egretstep import clock, errors
from egretstep.settings import node
from egretstep.storage import tables
from egretstep.web import client as http

CALL_SECONDS = 1.0
ANSWER_SECONDS = 2.0
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
# The key after the last one that begins with a prefix.
_AFTER_PREFIX = '\U0010ffff'


class PlatformStore:
    """Client of the store; each watcher of a table has its own connection."""

    def __init__(self, *, address: node.Address) -> None:
        self._address = address
        self._client = http.HttpClient(address=address)
        self._watchers: dict[str, http.HttpClient] = {}

    async def read(self, table: str, prefix: str = '') -> tables.Snapshot:
        """Return all rows whose keys begin with a prefix."""
        query = {'table': table, 'part': ''}
        if prefix:
            query['from'] = prefix
            query['to'] = f'{prefix}{_AFTER_PREFIX}'
        rows: list[tables.Row] = []
        while True:
            body = await self._get('rows-get', query)
            rows.extend(_decode_row(row) for row in body['rows'])
            if not body['has_more']:
                return tables.Snapshot(rows=tuple(rows), version=body['ver'])
            query['from'] = f'{rows[-1].key}\0'

    async def read_row(self, table: str, key: str) -> tables.Row:
        """Return a row; the version of a missing row is `ABSENT_VERSION`."""
        query = {'table': table, 'part': '', 'from': key, 'to': f'{key}\0'}
        body = await self._get('rows-get', query)
        rows = body['rows']
        if rows:
            return _decode_row(rows[0])
        return tables.Row(key=key, content=b'', version=tables.ABSENT_VERSION)

    async def changes(
        self,
        table: str,
        after: int,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        """Wait some seconds for rows that changed after a version."""
        query = {
            'table': table,
            'after': after,
            'wait_ms': clock.to_milliseconds(longest_wait),
        }
        if longest_wait:
            body = await self._get(
                'rows-feed',
                query,
                self._watcher(table),
                longest_wait + ANSWER_SECONDS,
            )
        else:
            body = await self._get('rows-feed', query)
        rows = tuple(_decode_row(row) for row in body['rows'])
        return tables.Snapshot(rows=rows, version=body['ver'])

    async def compare_and_swap(
        self,
        table: str,
        key: str,
        *,
        expected: int,
        content: bytes | None,
    ) -> int:
        """Replace a row of a version, or delete it; return the new version."""
        place = {'table': table, 'part': '', 'key': key}
        transaction: dict[str, typing.Any] = {
            'expected_rev': [{**place, 'ver': expected}],
            'puts': [],
            'delete': [],
        }
        if content is None:
            transaction['delete'] = [place]
        else:
            encoded = base64.b64encode(content).decode()
            transaction['puts'] = [{**place, 'value': encoded}]
        request = http.Request(
            method='POST',
            target='/v1/rows-tx',
            body=orjson.dumps(transaction),
        )
        response = await self._client.call(request, timeout=CALL_SECONDS)
        if response.status == _PRECONDITION_FAILED:
            raise errors.ConflictError(
                f'{table}/{key} is no longer at version {expected}',
            )
        return _decode_body(response, request)['ver']

    def _watcher(self, table: str) -> http.HttpClient:
        client = self._watchers.get(table)
        if client is None:
            client = http.HttpClient(address=self._address)
            self._watchers[table] = client
        return client

    async def _get(
        self,
        call: str,
        query: dict[str, typing.Any],
        client: http.HttpClient | None = None,
        timeout: float = CALL_SECONDS,
    ) -> dict[str, typing.Any]:
        request = http.Request(
            method='GET',
            target=f'/v1/{call}?{urllib.parse.urlencode(query)}',
        )
        used = client or self._client
        response = await used.call(request, timeout=timeout)
        return _decode_body(response, request)


def _decode_body(
    response: http.Response,
    request: http.Request,
) -> dict[str, typing.Any]:
    if response.status == _GONE:
        raise tables.HistoryGoneError(f'history is gone: {request.target}')
    if response.status != _OK:
        raise errors.PlatformError(
            f'the store answered {response.status} to {request.method} '
            f'{request.target}; try again later',
        )
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise errors.PlatformError(
            f'unreadable answer to {request.target}: {error}',
        ) from error


def _decode_row(row: dict[str, typing.Any]) -> tables.Row:
    # A dropped row is called a tombstone on the wire.
    is_deleted = bool(row.get('tombstone'))
    encoded = '' if is_deleted else row.get('value') or ''
    return tables.Row(
        key=row['key'],
        content=base64.b64decode(encoded),
        version=row['ver'],
        is_deleted=is_deleted,
    )
