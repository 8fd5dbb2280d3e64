"""HTTP client of an agent's operator endpoint, for the command line."""

import asyncio
import typing

import aiohttp

from egretstep import errors

CALL_TIMEOUT_SECONDS = 10.0
_OK = 200


class OperatorClient:
    """Calls the agent at `url` with the operators' token.

    All methods raise `errors.PlatformError` if the agent does not answer
    within `CALL_TIMEOUT_SECONDS` or answers with an unexpected status.
    """

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url.rstrip('/')
        self._headers = {'Authorization': f'Bearer {token}'}

    async def settings(self) -> dict[str, typing.Any] | None:
        """Return the settings record in force, None before the first one."""
        return await self._call('GET', '/settings')

    async def status(self) -> dict[str, typing.Any]:
        """Return the state of the fleet as the agent sees it."""
        return await self._call('GET', '/status')

    async def apply(
        self,
        *,
        text: str,
        expected: int,
        author: str,
        comment: str,
    ) -> int:
        """Apply a settings text and return its new version.

        Raises `errors.ConflictError` if `expected` is not the version in
        force, `errors.SettingsError` if the text is invalid, and
        `errors.PlatformError` if the change is not accepted.
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
                    raise await _make_error(response)
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.PlatformError(
                f'the agent at {self._url} does not answer ({error!r}); '
                'choose another one with --agent',
            ) from error


async def _make_error(response: aiohttp.ClientResponse) -> Exception:
    if response.content_type == 'application/json':
        text = (await response.json()).get('error', '')
    else:
        text = await response.text()
    error_types: dict[int, type[Exception]] = {
        409: errors.ConflictError,
        422: errors.SettingsError,
    }
    return error_types.get(response.status, errors.PlatformError)(text)
