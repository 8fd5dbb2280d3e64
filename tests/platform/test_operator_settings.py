"""Guards against a configuration with values that no decision can use."""

import unittest

import orjson

from egretstep import errors
from egretstep.platform import operator_settings

ROUTE = 'loans'
SERVICE = 'ledger'
WORKSPACE = 'depot'


def _encode(**changes: dict) -> bytes:
    route = {
        'database': ROUTE,
        'service': SERVICE,
        'route_type': 'primary',
        'timeout_ms': 800,
        'target_latency_ms': 150,
        'priority': 1,
    }
    service = {'name': SERVICE, 'max_conns': 20}
    workspace = {'name': WORKSPACE, 'rate_per_s': 10, 'burst': 10}
    return orjson.dumps({
        'version': 7,
        'routes': [route | changes.get('route', {})],
        'services': [service | changes.get('service', {})],
        'tenants': [workspace | changes.get('workspace', {})],
    })


class RangeTest(unittest.TestCase):
    def _assert_refused(self, name: str, content: bytes, *quoted: str) -> None:
        with self.assertRaises(errors.SettingsError) as refused:
            operator_settings.decode_configuration(content)
        for part in (name, *quoted):
            self.assertIn(part, str(refused.exception))

    def test_valid_values_are_accepted(self) -> None:
        current = operator_settings.decode_configuration(_encode())
        self.assertEqual(list(current.routes), [ROUTE])

    def test_a_route_out_of_range_is_named_with_value_and_range(self) -> None:
        day_ms = operator_settings.MAX_DURATION_MS
        for field, wrong, valid in (
            ('priority', -1, 'from 0 to 255'),
            ('priority', 256, 'from 0 to 255'),
            ('timeout_ms', 0, 'from 1 to'),
            ('timeout_ms', day_ms + 1, 'from 1 to'),
            ('target_latency_ms', -5, 'from 0 to'),
            ('target_latency_ms', day_ms + 1, 'from 0 to'),
        ):
            with self.subTest(field=field, wrong=wrong):
                content = _encode(route={field: wrong})
                self._assert_refused(ROUTE, content, field, str(wrong), valid)

    def test_limits_out_of_range_name_their_entry(self) -> None:
        self._assert_refused(
            SERVICE, _encode(service={'max_conns': 0}), 'max_conns', '0'
        )
        for field in ('rate_per_s', 'burst'):
            content = _encode(workspace={field: -2})
            self._assert_refused(WORKSPACE, content, field, '-2')
