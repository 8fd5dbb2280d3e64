"""HTTP client of the platform's table service, object store, host list."""

import asyncio
import dataclasses
import typing

import aiohttp
import orjson

from egretstep import errors
from egretstep.storage import interfaces

CALL_TIMEOUT_SECONDS = 1.0
_CONFLICT = 409
_OK = 200


class PlatformClient:
    """Table service, object store and host list over HTTP.

    >>> client = PlatformClient(url='http://127.0.0.1:7000')
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None

    async def read(self, key: str) -> interfaces.Row:
        """Return a record, read consistently."""
        message = await self._json('GET', f'/table/{key}?consistent=1')
        return interfaces.Row(**message)

    async def swap(self, key: str, *, expected: int, body: typing.Any) -> int:
        """Compare and swap a record."""
        message = await self._json(
            'PUT',
            f'/table/{key}',
            {'expected': expected, 'body': body},
        )
        return message['version']

    async def read_object(self, key: str) -> bytes:
        """Return the bytes of an object."""
        return await self._request('GET', f'/object/{key}')

    async def write_object(self, key: str, body: bytes) -> None:
        """Store the bytes of an object."""
        await self._request('PUT', f'/object/{key}', raw=body)

    async def list_hosts(self) -> list[interfaces.ListedHost]:
        """Return the platform's list of hosts."""
        listed = await self._json('GET', '/hosts')
        return [interfaces.ListedHost(**host) for host in listed]

    async def report_host(self, host: interfaces.ListedHost) -> None:
        """Report this host as live or leaving."""
        await self._json('PUT', f'/hosts/{host.host}', dataclasses.asdict(host))

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session:
            await self._session.close()
            self._session = None

    async def _json(
        self,
        method: str,
        path: str,
        message: typing.Any = None,
    ) -> typing.Any:
        data = await self._request(method, path, message=message)
        return orjson.loads(data)

    async def _request(
        self,
        method: str,
        path: str,
        *,
        message: typing.Any = None,
        raw: bytes | None = None,
    ) -> bytes:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        body = {'json': message} if raw is None else {'data': raw}
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
                'service goes on with the settings in force, try again later',
            ) from error
        _check_status(response.status, path)
        return data


def _check_status(status: int, path: str) -> None:
    if status == _CONFLICT:
        raise errors.ConflictError(
            f'{path} was changed by another operator; read it and try again',
        )
    if status != _OK:
        raise errors.PlatformError(
            f'the platform answered {status} for {path}; try again later',
        )
