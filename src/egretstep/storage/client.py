"""HTTP client of the platform's table service, object store and host list."""

import asyncio
import dataclasses
import typing

import aiohttp
import logbook
import orjson

from egretstep import errors, json_fields
from egretstep.settings import node
from egretstep.storage import interfaces

CALL_TIMEOUT_SECONDS = 1.0
_HTTP_CONFLICT = 409
_HTTP_OK = 200
_logger = logbook.Logger('platform')


class PlatformClient:
    """Table service, object store and host list over HTTP.

    Every call raises `errors.PlatformError` if the platform does not answer
    within `CALL_TIMEOUT_SECONDS` or answers with an error status.

    >>> client = PlatformClient(url='http://127.0.0.1:7000')
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None

    async def read(self, key: str) -> interfaces.Row:
        """Return a record, read with strong consistency."""
        message = await self._request_json('GET', f'/table/{key}?consistent=1')
        try:
            return interfaces.Row(**message)
        except TypeError as error:
            raise errors.PlatformError(
                f'malformed record {key} of the platform: {error}; '
                'try again later',
            ) from error

    async def compare_and_swap(
        self, key: str, *, expected: int, body: typing.Any
    ) -> int:
        """Replace a record if it has the version `expected`.

        Returns the new version. Raises `errors.ConflictError` if the record
        has another version.
        """
        message = await self._request_json(
            'PUT',
            f'/table/{key}',
            {'expected': expected, 'body': body},
        )
        return message['version']

    async def read_object(self, key: str) -> bytes:
        """Return the content of an object."""
        return await self._request('GET', f'/object/{key}')

    async def write_object(self, key: str, body: bytes) -> None:
        """Store the content of an object."""
        await self._request('PUT', f'/object/{key}', content=body)

    async def list_hosts(self) -> list[interfaces.ListedHost]:
        """Return the platform's list of hosts."""
        listed = await self._request_json('GET', '/hosts')
        if not isinstance(listed, list):
            raise errors.PlatformError(
                f'the list of hosts is {json_fields.quote(listed)}, not a list'
            )
        hosts = map(_decode_host, listed)
        return [host for host in hosts if host is not None]

    async def report_host(self, host: interfaces.ListedHost) -> None:
        """Register this host as running or leaving."""
        await self._request_json(
            'PUT', f'/hosts/{host.host}', dataclasses.asdict(host)
        )

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session:
            await self._session.close()
            self._session = None

    async def _request_json(
        self,
        method: str,
        path: str,
        message: typing.Any = None,
    ) -> typing.Any:
        data = await self._request(method, path, message=message)
        try:
            return orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise errors.PlatformError(
                f'malformed answer of the platform to {path}: {error}; '
                'try again later',
            ) from error

    async def _request(
        self,
        method: str,
        path: str,
        *,
        message: typing.Any = None,
        content: bytes | None = None,
    ) -> bytes:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        body = {'json': message} if content is None else {'data': content}
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_SECONDS),
                self._session.request(
                    method, self._url + path, **body
                ) as response,
            ):
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.PlatformError(
                f'the platform at {self._url} did not answer ({error!r}); '
                'service continues with the current settings; try again later',
            ) from error
        _check_status(response.status, path)
        return data


def _decode_host(entry: typing.Any) -> interfaces.ListedHost | None:
    """Decode an entry of the list of hosts; None if it is malformed."""
    try:
        fields = json_fields.JsonFields(entry)
        return interfaces.ListedHost(
            host=fields.name('host'),
            zone=fields.name('zone'),
            address=fields.name('address'),
            agent_port=fields.integer(
                'agent_port', least=1, most=node.MAX_PORT
            ),
            pool_port=fields.integer('pool_port', least=1, most=node.MAX_PORT),
            leaving=fields.flag('leaving', default=False),
        )
    except errors.MalformedFieldError as error:
        _logger.warning('malformed entry in the list of hosts: {}', error)
        return None


def _check_status(status: int, path: str) -> None:
    if status == _HTTP_CONFLICT:
        raise errors.ConflictError(
            f'{path} was changed by another operator (status {status}); '
            'read it again and retry',
        )
    if status != _HTTP_OK:
        raise errors.PlatformError(
            f'the platform answered {path} with status {status}; '
            'try again later',
        )
