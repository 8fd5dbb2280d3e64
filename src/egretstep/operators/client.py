"""The command line's client of an agent's operator endpoint."""

import asyncio
import typing

import aiohttp

from egretstep import errors

CALL_TIMEOUT_SECONDS = 10.0
_OK = 200


class OperatorClient:
    """Calls one agent with the operators' token."""

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url.rstrip('/')
        self._headers = {'Authorization': f'Bearer {token}'}

    async def settings(self) -> dict[str, typing.Any] | None:
        """Return the record in force, or none before the first one."""
        return await self._call('GET', '/settings')

    async def status(self) -> dict[str, typing.Any]:
        """Return what the agent knows of the fleet."""
        return await self._call('GET', '/status')

    async def apply(
        self,
        *,
        text: str,
        expected: int,
        author: str,
        comment: str,
    ) -> int:
        """Apply a change and return the version that it made.

        Raises `errors.ConflictError`, `errors.SettingsError` or
        `errors.PlatformError`.
        """
        answer = await self._call(
            'PUT',
            '/settings',
            {
                'text': text,
                'expected': expected,
                'author': author,
                'comment': comment,
            },
        )
        return answer['version']

    async def _call(
        self,
        method: str,
        path: str,
        message: typing.Any = None,
    ) -> typing.Any:
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_SECONDS),
                aiohttp.ClientSession(headers=self._headers) as session,
                session.request(
                    method, self._url + path, json=message
                ) as response,
            ):
                if response.status != _OK:
                    raise await _problem(response)
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.PlatformError(
                f'the agent at {self._url} does not answer ({error!r}); '
                'name another one with --agent',
            ) from error


async def _problem(response: aiohttp.ClientResponse) -> Exception:
    if response.content_type == 'application/json':
        text = (await response.json()).get('error', '')
    else:
        text = await response.text()
    kinds: dict[int, type[Exception]] = {
        409: errors.ConflictError,
        422: errors.SettingsError,
    }
    return kinds.get(response.status, errors.PlatformError)(text)
