"""Entries and answers that another writer left; no reader may fail on them."""

import asyncio
import base64
import dataclasses
import typing
import unittest
import unittest.mock

import hypothesis
import orjson
from hypothesis import strategies

from egretstep import errors, identifiers, json_fields
from egretstep.backends import connection
from egretstep.membership import claims, directory, fencing
from egretstep.platform import backend, operator_settings, registrations, wire
from egretstep.platform import store as platform_store
from egretstep.settings import node
from egretstep.storage import row_decoding, tables
from egretstep.web import client as http

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    max_examples=300,
    deadline=None,
)
ERA = 1
NESTING_DEPTH = 1000
PLACEHOLDER = 'placeholder'
GOOD_KEY = 'i-1'
SERVER = {
    'service': 'ledger',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 3,
    'state': 'ready',
    'db_role': 'replica',
    'born': 1_700_000_000_000,
    'sequence': 7,
}
HOST = {
    'host': 'host-1',
    'zone': 'a',
    'address': '10.0.0.1',
    'port': 80,
    'boot': 1_000_000_001,
    'processor': 1.0,
    'state': 'up',
}
CLAIM = {'task': 'count', 'host': 'host-1', 'boot': 1, 'epoch': 1_000_000_001}
CONFIGURATION = {
    'version': 2,
    'routes': [
        {
            'database': 'd',
            'service': 'ledger',
            'route_type': 'primary',
            'timeout_ms': 600,
        },
    ],
    'services': [{'name': 'ledger', 'max_conns': 30}],
    'tenants': [
        {'name': 't', 'rate_per_s': 1, 'burst': 2, 'api_keys': ['key']},
    ],
    'limits': {'tx_idle_ms': 3000},
}


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=5,
)
ODD_VALUES = strategies.builds(orjson.dumps, _JSON) | strategies.sampled_from([
    b'[' * NESTING_DEPTH + b']' * NESTING_DEPTH,
    b'1e300',
    b'1e999',
    b'-1',
    b'9223372036854775808',
    b'18446744073709551616',
    b'""',
    b'"%s"' % (b'a' * 100_000),
    b'"two words"',
    rb'"line\r\nend"',
    b'"10.0.0.1:99999"',
    b'"10.0.0.1:0"',
    b'"10.0.0.1:-1"',
    '"10.0.0.1:٣"'.encode(),
    b'"nowhere.example:80"',
])


def _replace(base: dict[str, typing.Any], name: str, odd: bytes) -> bytes:
    """Return an object with one field replaced by the text of a value."""
    encoded = orjson.dumps({**base, name: PLACEHOLDER})
    return encoded.replace(orjson.dumps(PLACEHOLDER), odd)


def _changed(base: dict[str, typing.Any]) -> strategies.SearchStrategy[bytes]:
    """Return contents of which one field is odd or missing, or all bytes."""
    replaced = strategies.builds(
        _replace,
        strategies.just(base),
        strategies.sampled_from(sorted(base)),
        ODD_VALUES,
    )
    removed = strategies.builds(
        lambda name: _without(base, name), strategies.sampled_from(sorted(base))
    )
    return replaced | removed | ODD_VALUES | strategies.binary(max_size=60)


def _without(base: dict[str, typing.Any], name: str) -> bytes:
    return orjson.dumps({key: base[key] for key in base if key != name})


def _row(key: str, content: bytes) -> tables.Row:
    return tables.Row(
        key=key,
        content=content,
        version=tables.Version(era=ERA, number=1),
    )


class ServerEntryProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(_changed(SERVER))
    def test_one_odd_entry_leaves_the_other_servers(
        self, content: bytes
    ) -> None:
        """One ended the hosts that read it, again and again."""
        rows = {
            'odd': _row('odd', content),
            GOOD_KEY: _row(GOOD_KEY, orjson.dumps(SERVER)),
        }
        decoder = row_decoding.RowDecoder(decode=registrations.decode_row)
        servers = decoder.decode(rows)
        self.assertIn(GOOD_KEY, [server.server for server in servers])
        for server in servers:
            self._assert_usable(server)

    def _assert_usable(self, server: connection.BackendServer) -> None:
        node.checked_address(server.address.host, server.address.port)
        message = f'START {server.service} w {server.server}'
        self.assertEqual(len(message.split()), 4)
        self.assertLessEqual(server.slots, registrations.MAX_SLOTS)
        self.assertIs(type(server.started_ms), int)
        self.assertLessEqual(server.sequence, json_fields.MAX_INTEGER)

    def test_an_odd_key_names_no_server(self) -> None:
        for key in ('', 'a b', 'a\r\nb', 'a' * 1000):
            row = _row(key, orjson.dumps(SERVER))
            self.assertIsNone(registrations.decode_row(row))

    def test_opening_at_an_impossible_address_is_a_broken_connection(
        self,
    ) -> None:
        server = registrations.decode_row(_row(GOOD_KEY, orjson.dumps(SERVER)))
        for host, port in (('10.0.0.1', 99_999), ('a' * 100, 80), ('', -1)):
            moved = dataclasses.replace(
                typing.cast(connection.BackendServer, server),
                address=node.Address(host=host, port=port),
            )
            opening = backend.PlatformOpener().open(
                moved, identifiers.WorkspaceName('w')
            )
            with self.assertRaises(connection.ConnectionBrokenError):
                asyncio.run(opening)


class FleetRowProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(_changed(HOST))
    def test_an_odd_row_of_a_host_can_be_stored_again_or_is_none(
        self, content: bytes
    ) -> None:
        host = directory.decode_row(_row('host/host-1', content))
        if host is not None:
            self.assertEqual(host.host, 'host-1')
            self.assertTrue(fencing.is_possible(host.boot, ERA))
            self.assertEqual(directory.decode(directory.encode(host)), host)

    @SETTINGS
    @hypothesis.given(_changed(CLAIM))
    def test_an_odd_claim_can_be_stored_again_or_is_none(
        self, content: bytes
    ) -> None:
        claim = claims.decode_row(_row('task/count', content))
        if claim is not None:
            self.assertEqual(claim.task, 'count')
            self.assertTrue(fencing.is_possible(claim.epoch, ERA))
            self.assertEqual(claims.decode(claims.encode(claim)), claim)

    def test_a_row_does_not_speak_for_another_host_or_task(self) -> None:
        host = _row('host/host-2', orjson.dumps(HOST))
        self.assertIsNone(directory.decode_row(host))
        claim = _row('task/other', orjson.dumps(CLAIM))
        self.assertIsNone(claims.decode_row(claim))


class ConfigurationProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(_changed(CONFIGURATION))
    def test_an_odd_configuration_is_refused_or_valid(
        self, content: bytes
    ) -> None:
        self._decode(content)

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(['routes', 'services', 'tenants']),
        strategies.data(),
    )
    def test_an_odd_part_of_a_configuration(
        self, part: str, drawn: strategies.DataObject
    ) -> None:
        odd = drawn.draw(_changed(CONFIGURATION[part][0]))
        self._decode(_replace(CONFIGURATION, part, b'[%s]' % odd))

    def _decode(self, content: bytes) -> None:
        try:
            decoded = operator_settings.decode_configuration(content)
        except errors.SettingsError:
            return
        for route in decoded.routes.values():
            self.assertGreaterEqual(route.timeout, 0)
            self.assertEqual(len(f'START {route.service} w'.split()), 3)
        for workspace in decoded.workspaces.values():
            self.assertGreaterEqual(workspace.rate, 0)


class StoreAnswerProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        _changed({
            'rows': [{'key': 'k', 'value': 'eA==', 'ver': 1}],
            'ver': 1,
            'has_more': False,
        })
    )
    def test_an_odd_answer_is_an_error_of_the_platform(
        self, body: bytes
    ) -> None:
        self._read(body)

    @SETTINGS
    @hypothesis.given(_changed({'key': 'k', 'value': 'eA==', 'ver': 1}))
    def test_an_odd_row_leaves_the_others(self, row: bytes) -> None:
        good = {
            'key': 'good',
            'value': base64.b64encode(b'x').decode(),
            'ver': 1,
        }
        body = b'{"ver":1,"rows":[%s,%s]}' % (orjson.dumps(good), row)
        keys = self._read(body)
        if keys is not None:
            self.assertIn('good', keys)

    def _read(self, body: bytes) -> list[str] | None:
        client = platform_store.PlatformStore(
            address=node.Address(host='127.0.0.1', port=1)
        )
        client._client = _Answering(body)
        try:
            snapshot = asyncio.run(client.read('servers'))
        except errors.PlatformError:
            return None
        return [row.key for row in snapshot.rows]


class _Answering:
    """An HTTP client that returns one body, and an empty page after it."""

    def __init__(self, body: bytes) -> None:
        self._bodies = [body]

    async def call(
        self, _request: http.Request, *, timeout: float
    ) -> http.Response:
        body = self._bodies.pop() if self._bodies else b'{"ver":1,"rows":[]}'
        return http.Response(status=200, body=body)


class ServerAnswerProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=60)
        | strategies.sampled_from([
            b'primary 3 3.1 0 0 0 0',
            b'leader 3 3.1',
            b'\xff 3 3.1',
            b'primary 3 3.%s' % (b'9' * 5000),
            b'primary %s 3.1' % (b'9' * 5000),
            b'primary',
            b'',
        ])
    )
    def test_an_odd_status_is_a_broken_connection(self, row: bytes) -> None:
        asyncio.run(self._read_status(row))

    async def _read_status(self, row: bytes) -> None:
        reader = asyncio.StreamReader(limit=wire.MAX_MESSAGE_BYTES)
        reader.feed_data(b'ROW %s\r\nCOMPLETE -\r\nREADY I -\r\n' % row)
        reader.feed_eof()
        server = backend.PlatformConnection(
            reader=reader, writer=unittest.mock.Mock()
        )
        try:
            status = await server.status()
        except connection.ConnectionBrokenError:
            return
        self.assertLessEqual(status.received.offset, json_fields.MAX_INTEGER)
