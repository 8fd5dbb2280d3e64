"""HTTP endpoint of an agent for operators.

Operators show a token of their own, which is no caller's key.
"""

import asyncio
import hmac
import typing

from aiohttp import web

from egretstep import errors
from egretstep.settings import changes, freshness

StatusSource = typing.Callable[[], typing.Awaitable[dict[str, typing.Any]]]
_MAXIMUM_BODY_BYTES = 16_777_216
_WRONG_TEXT = 422
_CONFLICT = 409
_NOT_ACCEPTED = 503


class OperatorEndpoint:
    """Serves settings, changes and status to the command line."""

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
            client_max_size=_MAXIMUM_BODY_BYTES,
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
        """Return the record in force on this host."""
        record = self._keeper.record
        message = record.model_dump(mode='json') if record else None
        return web.json_response(message)

    async def change_settings(self, request: web.Request) -> web.Response:
        """Apply a change; 409 for a conflict, 422 for a wrong text."""
        message = await request.json()
        try:
            record = await self._changer.apply(
                text=message['text'],
                expected=message['expected'],
                author=message.get('author', ''),
                comment=message.get('comment', ''),
            )
        except errors.SettingsError as error:
            return _problem(error, status=_WRONG_TEXT)
        except errors.ConflictError as error:
            return _problem(error, status=_CONFLICT)
        except errors.PlatformError as error:
            return _problem(error, status=_NOT_ACCEPTED)
        return web.json_response({'version': record.version})

    async def read_status(self, _request: web.Request) -> web.Response:
        """Return what this host knows of the fleet."""
        return web.json_response(await self._status())

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        shown = request.headers.get('Authorization', '')
        wanted = f'Bearer {self._token}'
        if not hmac.compare_digest(shown.encode(), wanted.encode()):
            raise web.HTTPUnauthorized(
                text="show the operators' token; set EGRETSTEP_TOKEN",
            )
        return await handler(request)


def _problem(error: Exception, *, status: int) -> web.Response:
    return web.json_response({'error': str(error)}, status=status)
