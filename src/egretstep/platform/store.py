"""Client of the platform's metadata store."""

import base64
import dataclasses
import typing
import urllib.parse

import logbook
import orjson

from egretstep import clock, errors, json_fields
from egretstep.observability import metrics
from egretstep.platform import store_polls
from egretstep.settings import node
from egretstep.storage import tables
from egretstep.web import client as http

REQUEST_TIMEOUT_SECONDS = 1.0
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_ERA_HEADER = 'store-era'
# Era of a store that does not state it.
_ONLY_ERA = 0
_logger = logbook.Logger('store')
# Appended to a prefix, this is greater than all keys with the prefix.
_LAST_CODE_POINT = '\U0010ffff'


class PlatformStore:
    """Implements `tables.Tables` with the store's HTTP interface.

    Long polls for the changes of a table have a connection for each table,
    so that other requests don't wait for them. A poll ends when another call
    shows that its answer may never come. Versions are numbers on the wire;
    their era is that of the answer, or of the latest answer.
    """

    def __init__(self, *, address: node.Address) -> None:
        self._address = address
        self._client = http.HttpClient(address=address)
        self._poll_clients: dict[str, http.HttpClient] = {}
        self._era = _ONLY_ERA
        self._is_answering = True
        self._polls = store_polls.PendingPolls()

    async def read(self, table: str, prefix: str = '') -> tables.Snapshot:
        """Return all rows whose keys begin with a prefix, read page by page."""
        query = {'table': table, 'part': ''}
        if prefix:
            query['from'] = prefix
            query['to'] = f'{prefix}{_LAST_CODE_POINT}'
        page = await self._get('rows-get', query)
        # A row of the first page may change before the last one is read, so
        # changes must be followed from the first page's version.
        first_page = page
        rows = list(page.rows)
        while page.has_more:
            query['from'] = f'{rows[-1].key}\0'
            page = await self._get('rows-get', query)
            if page.version.era != first_page.version.era:
                raise errors.PlatformError(
                    f'the store was restored while table {table} was read; '
                    'read it again',
                )
            rows.extend(page.rows)
        return tables.Snapshot(rows=tuple(rows), version=first_page.version)

    async def read_row(self, table: str, key: str) -> tables.Row:
        """Return a row; the version of a missing row `is_absent`."""
        query = {'table': table, 'part': '', 'from': key, 'to': f'{key}\0'}
        answer = await self._get('rows-get', query)
        if answer.rows:
            return answer.rows[0]
        missing = tables.absent_version(answer.version.era)
        return tables.Row(key=key, content=b'', version=missing)

    async def changes(
        self,
        table: str,
        after: tables.Version,
        *,
        longest_wait: float = tables.LONGEST_WAIT_SECONDS,
    ) -> tables.Snapshot:
        """Return the rows that changed after a version.

        Waits up to `longest_wait` seconds for the first change. Raises
        `tables.HistoryGoneError` when the store no longer has the changes
        since that version, which is so when the version is of another era, and
        `tables.PollEndedError` when another call shows that the answer may
        never come.
        """
        self._check_history(table, after)
        query = {
            'table': table,
            'after': after.number,
            'wait_ms': clock.to_milliseconds(longest_wait),
        }
        timeout = longest_wait + tables.POLL_ANSWER_SECONDS
        if longest_wait:
            answer = await self._poll(table, after, query, timeout)
        else:
            answer = await self._get('rows-feed', query, self._client, timeout)
        self._check_history(table, after)
        return tables.Snapshot(rows=answer.rows, version=answer.version)

    async def compare_and_swap(
        self,
        table: str,
        key: str,
        *,
        expected: tables.Version,
        content: bytes | None,
    ) -> tables.Version:
        """Replace a row, or delete it if the content is None.

        Returns the new version. Raises `errors.ConflictError` when the row
        is not at the expected version, and `errors.PlatformError` when it is
        unknown whether it was, because the store was restored meanwhile.
        """
        if expected.era < self._era:
            raise errors.ConflictError(
                f'{table}/{key} was read in era {expected.era} of the store, '
                f'which is now in era {self._era}; read it again',
            )
        row_key = {'table': table, 'part': '', 'key': key}
        transaction: dict[str, typing.Any] = {
            'expected_rev': [{**row_key, 'ver': expected.number}],
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
        response = await self._call(
            self._client, request, REQUEST_TIMEOUT_SECONDS
        )
        era = self._record_era(response)
        if response.status == _PRECONDITION_FAILED:
            raise errors.ConflictError(
                f'{table}/{key} is no longer at version {expected}; '
                'read it again',
            )
        answer = _decode_answer(response, request, era)
        if era != expected.era:
            raise errors.PlatformError(
                f'the store was restored before {table}/{key} was written; '
                'read it again',
            )
        return answer.version

    async def _poll(
        self,
        table: str,
        after: tables.Version,
        query: dict[str, typing.Any],
        timeout: float,
    ) -> '_Answer':
        """Poll a table until it changes or another call ends the poll."""
        call = self._get('rows-feed', query, self._poll_client(table), timeout)
        try:
            return await self._polls.run(call, table=table, after=after)
        except tables.PollEndedError:
            self._check_history(table, after)
            raise

    def close(self) -> None:
        """Close all connections."""
        for client in (self._client, *self._poll_clients.values()):
            client.close()

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
    ) -> '_Answer':
        request = http.Request(
            method='GET',
            target=f'/v1/{call}?{urllib.parse.urlencode(query)}',
        )
        response = await self._call(client or self._client, request, timeout)
        era = self._record_era(response)
        answer = _decode_answer(response, request, era)
        self._polls.record_version(answer.version)
        return answer

    async def _call(
        self,
        client: http.HttpClient,
        request: http.Request,
        timeout: float,
    ) -> http.Response:
        """Send a request; end all polls if it is answered again."""
        try:
            response = await client.call(request, timeout=timeout)
        except errors.PlatformError:
            self._is_answering = False
            raise
        if not self._is_answering:
            self._is_answering = True
            self._polls.end_all('the store did not answer for a while')
        return response

    def _check_history(self, table: str, after: tables.Version) -> None:
        if after.era != self._era and self._era != _ONLY_ERA:
            raise tables.HistoryGoneError(
                f'the store is in era {self._era} and has no changes of table '
                f'{table} since version {after}',
            )

    def _record_era(self, response: http.Response) -> int:
        """Return the era of an answer, which never decreases.

        Raises `errors.PlatformError` if the answer is from before the latest
        restore, which another connection has already shown.
        """
        stated = response.headers.get(_ERA_HEADER)
        era = self._era if stated is None else _decode_era(stated)
        if era < self._era:
            raise errors.PlatformError(
                f'an answer of the store from era {era} arrived in era '
                f'{self._era} and is ignored; try again',
            )
        if era > self._era:
            _logger.info(
                'the store answers in era {} (before: {})', era, self._era
            )
            metrics.store_era.set({}, era)
            self._era = era
            self._polls.end_all('the store was restored')
        return era


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Answer:
    """An answer of the store: rows, and the newest version of the store."""

    rows: tuple[tables.Row, ...]
    version: tables.Version
    has_more: bool


def _decode_era(text: str) -> int:
    if not text.isdecimal():
        raise errors.PlatformError(
            f'the store stated the era {text!r}, not a number; try again',
        )
    return int(text)


def _decode_answer(
    response: http.Response,
    request: http.Request,
    era: int,
) -> _Answer:
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
        return _decode_body(json_fields.JsonFields.decode(response.body), era)
    except errors.MalformedFieldError as error:
        raise errors.PlatformError(
            f'malformed answer of the store to {request.target}: {error}; '
            'try again',
        ) from error


def _decode_body(fields: json_fields.JsonFields, era: int) -> _Answer:
    rows = fields.objects('rows', is_optional=True)
    decoded = (_decode_row(each, era) for each in rows)
    return _Answer(
        rows=tuple(row for row in decoded if row is not None),
        version=tables.Version(era=era, number=fields.integer('ver')),
        has_more=fields.flag('has_more', default=False),
    )


def _decode_row(fields: json_fields.JsonFields, era: int) -> tables.Row | None:
    """Decode a row; None if it is malformed, so that the others hold."""
    try:
        # On the wire, a deleted row is called a tombstone.
        is_deleted = fields.flag('tombstone', default=False)
        return tables.Row(
            key=fields.text('key'),
            content=b'' if is_deleted else fields.encoded('value'),
            version=tables.Version(era=era, number=fields.integer('ver')),
            is_deleted=is_deleted,
        )
    except errors.MalformedFieldError as error:
        _logger.warning('malformed row of the store is ignored: {}', error)
        return None
