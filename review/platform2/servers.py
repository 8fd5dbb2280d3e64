"""Stand-ins for the database servers of one service.

They speak the wire protocol of PROTOCOL.md with the standard library only.
All servers of a service run in the process of the script; each has its own
log, role and term.
"""

import asyncio
import dataclasses
import itertools
import time

MAX_LINE_BYTES = 2 * 1024 * 1024
FOLLOW_SECONDS = 0.5
_macs = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Entry:
    """A commit in the log: its term, its number and what it wrote."""

    term: int
    number: int
    writes: tuple
    statement_id: str


class Server:
    """One server: `receive_s` is how long a commit takes to reach it."""

    def __init__(self, name, group, zone, address, receive_s):
        self.name = name
        self.group = group
        self.zone = zone
        self.host, self.port = address
        self.receive_s = receive_s
        self.log = []
        self.term = 1
        self.is_primary = False
        self.is_up = False
        self.is_registered = True
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.listener = None
        self.writers = set()

    @property
    def last(self):
        """Return the last position (term, number) of the log."""
        entry = self.log[-1] if self.log else None
        return (entry.term, entry.number) if entry else (1, 0)

    async def start(self):
        """Listen; a server that was down comes back with its log."""
        self.listener = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_LINE_BYTES
        )
        self.is_up = True

    async def crash(self):
        """Stop at once; connections are reset and nothing is sent."""
        self.is_up = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def registration(self):
        """Return the entry that the server writes to `servers/ID`."""
        self.sequence += 1
        return {
            'service': self.group.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.group.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'db_role': 'primary' if self.is_primary else 'replica',
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Group:
    """The servers of a service; the first one is the first primary.

    `work_s(text)` gives the time that a statement takes.
    """

    def __init__(self, service, record, *, slots=3, max_conns=22,
                 sync_replicas=0, promote_s=0.3, work_s=lambda text: 0.005):
        self.service = service
        self.record = record
        self.slots = slots
        self.max_conns = max_conns
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.work_s = work_s
        self.servers = {}
        self.takeovers = []
        self.committed_terms = {}

    def add(self, name, zone, address, receive_s):
        """Add a server."""
        server = Server(name, self, zone, address, receive_s)
        server.is_primary = not self.servers
        self.servers[name] = server
        return server

    @property
    def leader(self):
        """Return the primary of the latest term."""
        primaries = [each for each in self.servers.values() if each.is_primary]
        return max(primaries, key=lambda each: each.term)

    async def commit(self, primary, writes, statement_id):
        """Append a commit; return once enough replicas have received it."""
        entry = Entry(primary.term, primary.last[1] + 1, tuple(writes),
                      statement_id)
        primary.log.append(entry)
        self.committed_terms[statement_id] = entry.term
        self.record(f'server {primary.name} committed {statement_id} '
                    f'{entry.term}.{entry.number}')
        loop = asyncio.get_running_loop()
        for server in self.servers.values():
            if server is not primary:
                loop.call_later(server.receive_s, self._receive, server,
                                primary)
        while self.sync_replicas:
            count = sum(
                server is not primary and entry in server.log[-200:]
                for server in self.servers.values()
            )
            if count >= self.sync_replicas or not primary.is_up:
                break
            await asyncio.sleep(0.002)

    def _receive(self, server, primary):
        """Give a replica what has had the time to reach it."""
        if not (server.is_up and primary.is_up) or server.is_primary:
            return
        if server.term != primary.term or not primary.is_primary:
            return
        missing = primary.log[len(server.log):]
        if missing:
            server.log.append(missing[0])

    async def restart(self, server):
        """Bring a crashed server back, as a replica if another one leads."""
        if self.leader is not server:
            self._follow(server, self.leader)
        await server.start()
        for other in self.servers.values():
            if other is not server and server.is_primary:
                other.log = list(server.log)
        self.record(f'server {server.name} is back as '
                    f'{"primary" if server.is_primary else "replica"}')

    def promote(self, name):
        """Start a promotion; return the status of the answer."""
        server = self.servers.get(name)
        if server is None or not server.is_up:
            return 409
        if server is not self.leader:
            asyncio.get_running_loop().call_later(
                self.promote_s, self._complete, server
            )
        return 200

    def _complete(self, server):
        if server is self.leader or not server.is_up:
            return
        former = self.leader
        server.term = max(each.term for each in self.servers.values()) + 1
        server.is_primary = True
        self.takeovers.append((server.name, server.term, list(server.log)))
        self.record(f'PROMOTED {server.name} leads term {server.term} with '
                    f'its log up to {server.last}')
        for other in self.servers.values():
            if other not in (server, former) and other.is_up:
                self._follow(other, server)
        asyncio.get_running_loop().call_later(1.0, self._demote, former,
                                              server)

    def _demote(self, former, server):
        if former.is_up and self.leader is server:
            self._follow(former, server)

    def _follow(self, server, primary):
        server.is_primary = False
        server.term = primary.term
        server.log = list(primary.log)


class Refused(Exception):
    """The statement is answered with ERROR and this text."""


class Session:
    """One connection to a server."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.group = server.group
        self.reader = reader
        self.writer = writer
        self.state = 'I'
        self.is_read_only = False
        self.pending = []
        self.prepared = {}
        self.values = {}
        self.tenant = ''

    async def run(self):
        """Answer the messages of the connection in order."""
        start = (await self._line()).split(' ')
        if len(self.server.writers) > self.group.max_conns:
            return self._send(f'ERROR CONNLIMIT {self.server.name}')
        if start[1] != self.group.service or (
                len(start) > 3 and start[3] != self.server.name):
            return self._send(f'ERROR WRONGNODE {self.server.name}')
        self.tenant = start[2]
        self._send(self._ready())
        while True:
            _, statement_id, text = (await self._line()).split(' ', 2)
            lines = await self._answer(statement_id, text)
            self._send(*lines, self._ready())

    async def _line(self):
        line = await self.reader.readuntil(b'\r\n')
        return line[:-2].decode('latin-1')

    def _send(self, *lines):
        if self.server.is_up:
            text = ''.join(f'{line}\r\n' for line in lines)
            self.writer.write(text.encode('latin-1'))

    def _ready(self):
        term, number = self.server.last
        return f'READY {self.state} {term}.{number}'

    async def _answer(self, statement_id, text):
        try:
            return await self._execute(statement_id, text)
        except Refused as error:
            if self.state == 'T':
                self.state = 'E'
            return [f'ERROR {error} {self.server.name}']

    async def _execute(self, statement_id, text):
        words = text.split(' ')
        if words[0] == 'SYNCPOS':
            term, _, number = words[1].partition('.')
            if self.server.last < (int(term), int(number)):
                raise Refused('LAGGING')
            words = words[2:]
            text = ' '.join(words)
        verb = words[0]
        if verb == 'SET':
            self.values[words[1]] = ' '.join(words[2:])
            return ['COMPLETE -']
        if verb == 'PREPARE':
            self.prepared[words[1]] = (words[2], ' '.join(words[3:]))
            return ['COMPLETE -']
        if verb == 'RESET':
            self.values, self.prepared = {}, {}
            return ['COMPLETE -']
        if verb in ('STATUS', 'STEPDOWN', 'PAUSE', 'RESUME'):
            if verb == 'STEPDOWN' and int(words[1]) > self.server.term:
                self.server.is_primary = False
            role = 'primary' if self.server.is_primary else 'replica'
            term, number = self.server.last
            return [f'ROW {role} {self.server.term} {term}.{number} 0 0 0 1',
                    'COMPLETE -']
        if verb == 'BEGIN':
            self.is_read_only = words[1:] == ['READ']
            if not self.is_read_only and not self.server.is_primary:
                raise Refused('READONLY')
            self.state = 'T'
            return ['COMPLETE -']
        if verb == 'ROLLBACK':
            self.state, self.pending = 'I', []
            return ['COMPLETE -']
        return await self._statement(statement_id, text, words)

    async def _statement(self, statement_id, text, words):
        if self.state == 'E':
            self.state = 'I' if words[0] == 'COMMIT' else 'E'
            raise Refused('MALFORMED')
        verb, shape = words[0], ''
        if verb == 'EXECUTE':
            if words[1] not in self.prepared:
                raise Refused('NOSTMT')
            verb, shape = self.prepared[words[1]]
            words = words[1:]
        self.group.record(f'server {self.server.name} got {statement_id} '
                          f'{text} {shape[:80]}'.rstrip()
                          + f' (tenant {self.tenant})')
        await asyncio.sleep(self.group.work_s(text))
        if not self.server.is_primary and not self.is_read_only and (
                verb in ('WRITE', 'COMMIT') or self.state == 'T'):
            raise Refused('READONLY')
        rows = []
        if verb == 'READ':
            rows = [f'ROW {shape[:80] or self._read(words[1])}']
        elif verb == 'WRITE':
            self.pending.append((words[1], ' '.join(words[2:])))
        if verb == 'COMMIT' or self.state == 'I':
            self.state = 'I'
            writes, self.pending = self.pending, []
            if writes:
                await self.group.commit(self.server, writes, statement_id)
        return [*rows, f'COMPLETE {self.server.name}.{next(_macs)}']

    def _read(self, item):
        found = 'none'
        for entry in self.server.log:
            found = dict(entry.writes).get(item, found)
        return found
