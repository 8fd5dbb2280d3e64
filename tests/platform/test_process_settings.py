"""Decoding of the settings file that the platform writes for a process."""

import pathlib
import resource
import tempfile
import typing
import unittest

import orjson

from egretstep import errors
from egretstep.platform import process_settings
from egretstep.settings import node

METRICS_PORT = 9464
ALL_BOUNDS = {
    'grace_s': 8,
    'config_apply_ms': 4000,
    'drain_ms': 7000,
    'evac_ms': 5000,
}
FIELDS: dict[str, typing.Any] = {
    'node_name': 'host-1',
    'ip': '127.0.0.1',
    'zone': 'north',
    'bind_addrs': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
    'internal_ports': [3, 5],
    'bootstrap': False,
    'limits': {'cpu_share': 0.5, 'cores': 2},
    'platform': {'address': '127.0.0.1:6'},
    'cloud_api': {'address': '127.0.0.1:7'},
}


class ProcessSettingsTest(unittest.TestCase):
    def test_stated_bounds_are_used(self) -> None:
        settings = self._load(ALL_BOUNDS)
        self.assertEqual(settings.stop_grace_seconds, 8)
        self.assertEqual(settings.max_settings_delay_seconds, 4)
        self.assertEqual(settings.drain_seconds, 5)

    def test_a_host_starts_without_any_one_bound(self) -> None:
        """Hosts did not start on a deployment without evacuations."""
        for missing in ALL_BOUNDS:
            with self.subTest(missing=missing):
                bounds = dict(ALL_BOUNDS)
                del bounds[missing]
                settings = self._load(bounds)
                self.assertGreater(settings.stop_grace_seconds, 0)
                self.assertGreater(settings.max_settings_delay_seconds, 0)
                self.assertGreater(settings.drain_seconds, 0)

    def test_the_stated_limit_of_leaving_servers_counts(self) -> None:
        self.assertEqual(self._load({'drain_ms': 9000}).drain_seconds, 9)
        self.assertEqual(self._load({'evac_ms': 8000}).drain_seconds, 8)

    def test_a_host_starts_without_bounds(self) -> None:
        settings = self._load({})
        self.assertEqual(
            settings.drain_seconds * 1000,
            process_settings.DEFAULT_DRAIN_MS,
        )

    def test_a_malformed_bound_is_named(self) -> None:
        with self.assertRaises(errors.SettingsError):
            self._load({'grace_s': 'soon'})

    def test_usage_is_reported_if_it_is_owed(self) -> None:
        bounds = {'report_window_s': 5, 'usage_late_s': 8, 'lease_ms': 2500}
        self.assertEqual(
            self._load(bounds, duties=['failover', 'usage']).usage,
            node.UsageSettings(
                window_seconds=5, late_seconds=8, lease_seconds=2.5
            ),
        )

    def test_no_usage_is_reported_if_none_is_owed(self) -> None:
        """A deployment without the duty must not be sent reports."""
        self.assertIsNone(self._load({'report_window_s': 5}).usage)
        without_window = self._load({'lease_ms': 3000}, duties=['usage'])
        self.assertIsNone(without_window.usage)

    def test_a_window_without_length_is_refused(self) -> None:
        with self.assertRaises(errors.SettingsError):
            self._load({'report_window_s': 0}, duties=['usage'])

    def test_limits_of_the_process(self) -> None:
        limits = {'memory_mb': 200, 'max_fds': 100}
        settings = self._load({}, limits=limits)
        self.assertEqual((settings.memory_mb, settings.max_fds), (200, 100))
        with self.assertRaises(errors.SettingsError):
            self._load({}, limits={'memory_mb': 0})

    def test_the_process_limit_counts_without_a_stated_one(self) -> None:
        """Guards against a stated number that the process can not open."""
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        for limits in ({}, {'max_fds': allowed + 1}):
            settings = self._load({}, limits=limits)
            self.assertEqual(settings.max_fds, allowed)
            self.assertEqual(
                settings.memory_mb, process_settings.DEFAULT_MEMORY_MB
            )

    def _load(
        self,
        bounds: dict[str, typing.Any],
        duties: typing.Sequence[str] | None = None,
        limits: typing.Mapping[str, int] | None = None,
    ) -> node.NodeSettings:
        all_limits = {**FIELDS['limits'], **(limits or {})}
        fields = {**FIELDS, 'bounds': bounds, 'limits': all_limits}
        if duties is not None:
            fields['cloud_api'] = {'address': '127.0.0.1:7', 'duties': duties}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'node.json'
            path.write_bytes(orjson.dumps(fields))
            return process_settings.load(path, METRICS_PORT)
