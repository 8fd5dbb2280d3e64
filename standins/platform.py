"""Stand-in for the platform: table service, object store and host list.

It speaks HTTP with JSON and keeps everything in memory. `POST /fault` injects
faults; `Faults` holds their names.
"""

import argparse
import asyncio
import dataclasses
import time
import typing

from aiohttp import web

HOST_EXPIRY_SECONDS = 30.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a test can set while the platform runs.

    `latency` delays each request and `host_list_lag` is the age of the host
    list, both in seconds. The others are flags, on unless zero: `outage`
    delays all requests until it is off, `lose_answers` executes writes and
    answers them with 504, and `old_reads` serves the previous version of a
    row unless a consistent read is requested.
    """

    latency: float = 0
    outage: float = 0
    lose_answers: float = 0
    host_list_lag: float = 0
    old_reads: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """A row of the table service; its first version is 1."""

    version: int
    body: typing.Any


class Platform:
    """The state of the platform and the handlers of its requests."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._rows: dict[str, Row] = {}
        self._previous_rows: dict[str, Row] = {}
        self._objects: dict[str, bytes] = {}
        self._hosts: dict[str, tuple[float, typing.Any]] = {}
        self.request_counts = {'reads': 0, 'writes': 0}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the HTTP interface."""
        return [
            web.get('/table/{key:.+}', self.read_row),
            web.put('/table/{key:.+}', self.write_row),
            web.get('/object/{key:.+}', self.read_object),
            web.put('/object/{key:.+}', self.write_object),
            web.get('/hosts', self.list_hosts),
            web.put('/hosts/{name}', self.report_host),
            web.post('/fault', self.set_fault),
            web.get('/counts', self.read_counts),
        ]

    async def read_row(self, request: web.Request) -> web.Response:
        """Return a row; version 0 and no body if there is none."""
        await self._apply_faults()
        self.request_counts['reads'] += 1
        rows = self._rows
        if self.faults.old_reads and 'consistent' not in request.query:
            rows = {**self._rows, **self._previous_rows}
        row = rows.get(request.match_info['key'])
        if row is None:
            return web.json_response({'version': 0, 'body': None})
        return web.json_response(dataclasses.asdict(row))

    async def write_row(self, request: web.Request) -> web.Response:
        """Write a row; answers 409 unless it has the expected version."""
        await self._apply_faults()
        self.request_counts['writes'] += 1
        message = await request.json()
        key = request.match_info['key']
        current = self._rows.get(key)
        version = current.version if current else 0
        if message['expected'] != version:
            return web.json_response({'version': version}, status=409)
        if current:
            self._previous_rows[key] = current
        self._rows[key] = Row(version=version + 1, body=message['body'])
        if self.faults.lose_answers:
            raise web.HTTPGatewayTimeout
        return web.json_response({'version': version + 1})

    async def read_object(self, request: web.Request) -> web.Response:
        """Return the bytes of an object; answers 404 if there is none."""
        await self._apply_faults()
        body = self._objects.get(request.match_info['key'])
        if body is None:
            raise web.HTTPNotFound
        return web.Response(body=body)

    async def write_object(self, request: web.Request) -> web.Response:
        """Store the bytes of an object."""
        await self._apply_faults()
        self._objects[request.match_info['key']] = await request.read()
        return web.json_response({})

    async def list_hosts(self, _request: web.Request) -> web.Response:
        """Return the last reports of the hosts, `host_list_lag` seconds late.

        A host whose report is older than `HOST_EXPIRY_SECONDS` is left out.
        """
        await self._apply_faults()
        visible_until = time.monotonic() - self.faults.host_list_lag
        hosts = [
            host
            for reported_at, host in self._hosts.values()
            if reported_at <= visible_until
            and visible_until - reported_at < HOST_EXPIRY_SECONDS
        ]
        return web.json_response(hosts)

    async def report_host(self, request: web.Request) -> web.Response:
        """Store what a host reports of itself."""
        await self._apply_faults()
        name = request.match_info['name']
        self._hosts[name] = (time.monotonic(), await request.json())
        return web.json_response({})

    async def set_fault(self, request: web.Request) -> web.Response:
        """Set faults by name and return all of them."""
        for name, setting in (await request.json()).items():
            setattr(self.faults, name, float(setting))
        return web.json_response(dataclasses.asdict(self.faults))

    async def read_counts(self, _request: web.Request) -> web.Response:
        """Return how many reads and writes the table service has served."""
        return web.json_response(self.request_counts)

    async def _apply_faults(self) -> None:
        if self.faults.latency:
            await asyncio.sleep(self.faults.latency)
        while self.faults.outage:
            await asyncio.sleep(1)


def main() -> None:
    """Serve the platform on a port until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    options = parser.parse_args()
    application = web.Application(client_max_size=64 * 1024 * 1024)
    application.add_routes(Platform().routes())
    web.run_app(
        application,
        host=options.address,
        port=options.port,
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
    )


if __name__ == '__main__':
    main()
