"""Stand-in for the platform's store and its promotion call, over HTTP."""

import asyncio
import base64
import json
import time
import urllib.parse

LAST_KEY = '\U0010ffff'


class Platform:
    """Rows with versions, a feed of changes, and promotions."""

    def __init__(self, address, groups, record):
        self.host, self.port = address
        self.groups = {group.service: group for group in groups}
        self.record = record
        self.rows = {}
        self.version = 0
        self.changes = []
        self.changed = asyncio.Event()
        self.server = None
        self.tasks = []

    async def start(self, heartbeat_s):
        """Listen, and let the servers report."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        for group in self.groups.values():
            for server in group.servers.values():
                self.tasks.append(asyncio.ensure_future(
                    self._report(server, heartbeat_s)))

    def stop(self):
        """Stop listening."""
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def put(self, table, key, content):
        """Write a row, or drop it without content."""
        self.version += 1
        if content is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (content, self.version)
        self.changes.append((self.version, (table, key)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _report(self, server, heartbeat_s):
        """Write a server's entry; it is dropped after three silent intervals."""
        reported_at, former = None, None
        while True:
            now = time.monotonic()
            if server.is_up and server.is_registered:
                role = (server.is_primary, server.state)
                if (reported_at is None or role != former
                        or now - reported_at >= heartbeat_s):
                    self.put('servers', server.name,
                             json.dumps(server.registration()).encode())
                    reported_at, former = now, role
            elif reported_at and now - reported_at > 3 * heartbeat_s:
                self.put('servers', server.name, None)
                self.record(f'entry of server {server.name} is removed')
                reported_at = None
            await asyncio.sleep(0.02)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                lines = head.split('\r\n')
                method, target, _ = lines[0].split(' ')
                headers = {
                    name.strip().lower(): content.strip()
                    for name, _, content in (
                        line.partition(':') for line in lines[1:] if line)
                }
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size) if size else b''
                status, fields = await self._handle(
                    method, target, headers, body)
                content = json.dumps(fields).encode()
                writer.write(
                    f'HTTP/1.1 {status} Answer\r\nContent-Type: '
                    f'application/json\r\nContent-Length: {len(content)}'
                    '\r\n\r\n'.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, headers, body):
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        if path == '/v1/rows-get':
            return self._get(fields)
        if path == '/v1/rows-feed':
            return await self._feed(fields)
        if path == '/v1/rows-tx':
            return self._transact(json.loads(body))
        if path == '/promotion':
            return self._promote(headers, json.loads(body))
        return 404, {}

    def _get(self, fields):
        first, end = fields.get('from', ''), fields.get('to', LAST_KEY)
        rows = [
            self._row(each) for each in sorted(self.rows)
            if each[0] == fields['table'] and first <= each[1] < end
        ]
        return 200, self._answer({'rows': rows, 'has_more': False})

    async def _feed(self, fields):
        after = int(fields['after'])
        ends_at = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            found = {
                key: version for version, key in self.changes
                if version > after and key[0] == fields['table']
            }
            remaining = ends_at - time.monotonic()
            if found or remaining <= 0:
                rows = [
                    self._row(key) if key in self.rows else
                    {'table': key[0], 'part': '', 'key': key[1],
                     'ver': version, 'tombstone': True}
                    for key, version in found.items()
                ]
                return 200, self._answer({'rows': rows})
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                pass

    def _transact(self, body):
        for each in body['expected_rev']:
            key = (each['table'], each['key'])
            if self.rows.get(key, (b'', 0))[1] != each['ver']:
                rows = [self._row(key)] if key in self.rows else []
                return 412, {'rows': rows}
        for each in body['puts']:
            self.put(each['table'], each['key'],
                     base64.b64decode(each['value']))
        for each in body['delete']:
            self.put(each['table'], each['key'], None)
        return 200, self._answer({})

    def _promote(self, headers, body):
        status = self.groups[body['service']].promote(body['id'])
        self.record(
            f'promotion of {body["id"]} for {body["service"]} asked by '
            f'{headers["egretstep-lease-holder"]} with epoch '
            f'{headers["egretstep-fencing-token"]}: {status}')
        return status, {}

    def _row(self, key):
        content, version = self.rows[key]
        return {'table': key[0], 'part': '', 'key': key[1],
                'value': base64.b64encode(content).decode(), 'ver': version}

    def _answer(self, fields):
        return {**fields, 'ver': self.version,
                'now_ms': int(time.monotonic() * 1000)}
