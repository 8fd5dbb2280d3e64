"""Guards against a failing server that is trusted again at each good moment."""

import unittest

from egretstep import clock
from egretstep.backends import connection
from egretstep.routing import server_trust

SERVER = connection.ServerId('s1')


class ServerTrustTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.trust = server_trust.ServerTrust(time_source=self.clock)

    def test_one_bad_report_is_not_enough(self) -> None:
        self.trust.record_report(SERVER, 1)
        self.assertTrue(self.trust.is_trusted(SERVER))

    def test_each_relapse_doubles_the_hold(self) -> None:
        holds = []
        for _ in range(6):
            self._report_failures()
            holds.append(self._seconds_until_trusted())
        self.assertEqual(holds, [0.5, 1, 2, 4, 5, 5])
        self.clock.advance(server_trust.RELAPSE_SECONDS + 1)
        self._report_failures()
        self.assertEqual(self._seconds_until_trusted(), 0.5)

    def test_good_probes_do_not_outweigh_a_bad_share(self) -> None:
        self._report_failures()
        for _ in range(2 * server_trust.GOOD_PROBES):
            self.trust.record_probe_answer(SERVER, is_good=True)
        self.assertFalse(self.trust.is_trusted(SERVER))

    def test_good_probes_restore_trust_after_lost_answers(self) -> None:
        for _ in range(3):
            self.trust.record_lost(SERVER)
        self.assertFalse(self.trust.is_trusted(SERVER))
        for _ in range(server_trust.GOOD_PROBES):
            self.clock.advance(server_trust.PROBE_INTERVAL_SECONDS)
            self.assertTrue(self.trust.is_probe_due(SERVER))
            self.trust.record_probe_sent(SERVER)
            self.assertFalse(self.trust.is_probe_due(SERVER))
            self.trust.record_probe_answer(SERVER, is_good=True)
        self.assertTrue(self.trust.is_trusted(SERVER))

    def _report_failures(self) -> None:
        for _ in range(server_trust.MIN_BAD_REPORTS):
            self.trust.record_report(SERVER, 0.5)

    def _seconds_until_trusted(self) -> float:
        started = self.clock.now()
        while not self.trust.is_trusted(SERVER):
            self.clock.advance(0.125)
            self.trust.record_report(SERVER, 0)
        return self.clock.now() - started
