"""Answers of the platform to reports of usage.

A report that the platform will never take must be told from one that it may
take later: it would otherwise hold back all later ones.
"""

import unittest
import unittest.mock

from egretstep import errors, identifiers
from egretstep.platform import usage_reports
from egretstep.settings import node
from egretstep.usage import journal, reporter
from egretstep.web import client

REPORT = journal.Report(window=8, counts={}, epoch=1, accepted_until=7)


class UsageReportsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_error_is_a_refusal(self) -> None:
        for status in (400, 401, 405, 409, 410, 422, 451):
            with (
                self.subTest(status=status),
                self.assertRaises(reporter.ReportRefusedError),
            ):
                await self._send(status)

    async def test_other_errors_may_end(self) -> None:
        for status in (408, 429, 500, 503):
            with self.subTest(status=status):
                with self.assertRaises(errors.PlatformError) as raised:
                    await self._send(status)
                self.assertNotIsInstance(
                    raised.exception, reporter.ReportRefusedError
                )

    async def _send(self, status: int) -> None:
        reports = usage_reports.PlatformUsageReports(
            address=node.Address(host='127.0.0.1', port=1),
            host=identifiers.HostName('own'),
        )
        response = client.Response(status=status, body=b'')
        with unittest.mock.patch.object(
            client.HttpClient, 'call', return_value=response
        ):
            await reports.send(REPORT, epoch=1, timeout=1)
