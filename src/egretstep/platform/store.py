"""Client of the platform's metadata store."""

import base64
import typing
import urllib.parse

import logbook
import orjson

from egretstep import clock, errors
from egretstep.observability import metrics
from egretstep.settings import node
from egretstep.storage import tables
from egretstep.web import client as http

REQUEST_TIMEOUT_SECONDS = 1.0
LONG_POLL_MARGIN_SECONDS = 2.0
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_ERA_HEADER = 'store-era'
_logger = logbook.Logger('store')
# Appended to a prefix, this is greater than all keys with the prefix.
_LAST_CODE_POINT = '\U0010ffff'


class PlatformStore:
    """Implements `tables.Tables` with the store's HTTP interface.

    Long polls for the changes of a table have a connection for each table,
    so that other requests don't wait for them.
    """

    def __init__(self, *, address: node.Address) -> None:
        self._address = address
        self._client = http.HttpClient(address=address)
        self._poll_clients: dict[str, http.HttpClient] = {}
        self._era = 0

    async def read(self, table: str, prefix: str = '') -> tables.Snapshot:
        """Return all rows whose keys begin with a prefix, read page by page."""
        query = {'table': table, 'part': ''}
        if prefix:
            query['from'] = prefix
            query['to'] = f'{prefix}{_LAST_CODE_POINT}'
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
        """Return the rows that changed after a version.

        Waits up to `longest_wait` seconds for the first change. Raises
        `tables.HistoryGoneError` when the store no longer has the changes
        since that version.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': clock.to_milliseconds(longest_wait),
        }
        if longest_wait:
            body = await self._get(
                'rows-feed',
                query,
                self._poll_client(table),
                longest_wait + LONG_POLL_MARGIN_SECONDS,
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
        """Replace a row, or delete it if the content is None.

        Returns the new version. Raises `errors.ConflictError` when the row
        is not at the expected version.
        """
        row_key = {'table': table, 'part': '', 'key': key}
        transaction: dict[str, typing.Any] = {
            'expected_rev': [{**row_key, 'ver': expected}],
            'puts': [],
            'delete': [],
        }
        if content is None:
            transaction['delete'] = [row_key]
        else:
            encoded = base64.b64encode(content).decode()
            transaction['puts'] = [{**row_key, 'value': encoded}]
        request = http.Request(
            method='POST',
            target='/v1/rows-tx',
            body=orjson.dumps(transaction),
        )
        response = await self._client.call(
            request, timeout=REQUEST_TIMEOUT_SECONDS
        )
        self._record_era(response)
        if response.status == _PRECONDITION_FAILED:
            raise errors.ConflictError(
                f'{table}/{key} is no longer at version {expected}; '
                'read it again',
            )
        return _decode_body(response, request)['ver']

    def _poll_client(self, table: str) -> http.HttpClient:
        client = self._poll_clients.get(table)
        if client is None:
            client = http.HttpClient(address=self._address)
            self._poll_clients[table] = client
        return client

    async def _get(
        self,
        call: str,
        query: dict[str, typing.Any],
        client: http.HttpClient | None = None,
        timeout: float = REQUEST_TIMEOUT_SECONDS,
    ) -> dict[str, typing.Any]:
        request = http.Request(
            method='GET',
            target=f'/v1/{call}?{urllib.parse.urlencode(query)}',
        )
        used_client = client or self._client
        response = await used_client.call(request, timeout=timeout)
        self._record_era(response)
        return _decode_body(response, request)

    def _record_era(self, response: http.Response) -> None:
        era = int(response.headers.get(_ERA_HEADER, 0))
        if era != self._era:
            _logger.info(
                'the store answers in era {} (before: {})', era, self._era
            )
            metrics.store_era.set({}, era)
            self._era = era


def _decode_body(
    response: http.Response,
    request: http.Request,
) -> dict[str, typing.Any]:
    if response.status == _GONE:
        raise tables.HistoryGoneError(
            f'the store no longer has the changes: {request.target}'
        )
    if response.status != _OK:
        raise errors.PlatformError(
            f'the store answered {response.status} to {request.method} '
            f'{request.target}; try again later',
        )
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise errors.PlatformError(
            f'malformed answer of the store to {request.target}: {error}',
        ) from error


def _decode_row(row: dict[str, typing.Any]) -> tables.Row:
    # On the wire, a deleted row is called a tombstone.
    is_deleted = bool(row.get('tombstone'))
    encoded = '' if is_deleted else row.get('value') or ''
    return tables.Row(
        key=row['key'],
        content=base64.b64decode(encoded),
        version=row['ver'],
        is_deleted=is_deleted,
    )
