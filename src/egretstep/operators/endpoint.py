"""HTTP endpoint of an agent for operators.

Operators authenticate with a token that is separate from the keys of callers.
"""

import asyncio
import hmac
import typing

from aiohttp import web

from egretstep import errors
from egretstep.settings import changes, freshness

StatusSource = typing.Callable[[], typing.Awaitable[dict[str, typing.Any]]]
_MAX_BODY_BYTES = 16_777_216
_UNPROCESSABLE_STATUS = 422
_CONFLICT_STATUS = 409
_UNAVAILABLE_STATUS = 503


class OperatorEndpoint:
    """Serves settings and status, and applies changes of the settings.

    `status` returns the content of the status page. Requests without the
    token are refused with status 401.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        token: str,
        changer: changes.SettingsChanger,
        keeper: freshness.SettingsKeeper,
        status: StatusSource,
    ) -> None:
        self._address = address
        self._port = port
        self._token = token
        self._changer = changer
        self._keeper = keeper
        self._status = status

    async def run(self) -> None:
        """Serve until cancelled."""
        application = web.Application(
            client_max_size=_MAX_BODY_BYTES,
            middlewares=[self._authenticate],
        )
        application.add_routes([
            web.get('/settings', self.read_settings),
            web.put('/settings', self.change_settings),
            web.get('/status', self.read_status),
        ])
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        try:
            await web.TCPSite(runner, self._address, self._port).start()
            await asyncio.Event().wait()
        finally:
            await runner.cleanup()

    async def read_settings(self, _request: web.Request) -> web.Response:
        """Return the settings record in force on this host, or null."""
        record = self._keeper.record
        message = record.model_dump(mode='json') if record else None
        return web.json_response(message)

    async def change_settings(self, request: web.Request) -> web.Response:
        """Apply a new settings text and return its version.

        Answers 409 if another change came first, 422 if the text is invalid,
        and 503 if the change could not be accepted.
        """
        message = await request.json()
        try:
            record = await self._changer.apply(
                text=message['text'],
                expected=message['expected'],
                author=message.get('author', ''),
                comment=message.get('comment', ''),
            )
        except errors.SettingsError as error:
            return _error_response(error, status=_UNPROCESSABLE_STATUS)
        except errors.ConflictError as error:
            return _error_response(error, status=_CONFLICT_STATUS)
        except errors.PlatformError as error:
            return _error_response(error, status=_UNAVAILABLE_STATUS)
        return web.json_response({'version': record.version})

    async def read_status(self, _request: web.Request) -> web.Response:
        """Return the state of the fleet as this host sees it."""
        return web.json_response(await self._status())

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        given_header = request.headers.get('Authorization', '')
        expected_header = f'Bearer {self._token}'
        if not hmac.compare_digest(
            given_header.encode(), expected_header.encode()
        ):
            raise web.HTTPUnauthorized(
                text="show the operators' token; set EGRETSTEP_TOKEN",
            )
        return await handler(request)


def _error_response(error: Exception, *, status: int) -> web.Response:
    return web.json_response({'error': str(error)}, status=status)
