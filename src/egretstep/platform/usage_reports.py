"""Client of the platform's interface that takes the usage of workspaces."""

import orjson

from egretstep import errors, identifiers
from egretstep.settings import node
from egretstep.usage import journal, reporter
from egretstep.web import client as http

MAX_QUOTED_BODY_BYTES = 200
_OK = 200
_FIRST_CLIENT_ERROR = 400
_FIRST_SERVER_ERROR = 500
# Client errors that end by themselves: a time-out, and too many calls.
_TEMPORARY = frozenset((408, 425, 429))


class PlatformUsageReports:
    """Sends reports of usage to the platform, as one host."""

    def __init__(
        self,
        *,
        address: node.Address,
        host: identifiers.HostName,
    ) -> None:
        self._address = address
        self._host = host

    async def send(
        self, report: journal.Report, *, epoch: int, timeout: float
    ) -> None:
        """Send a report; the platform takes `epoch` as the fencing token.

        Raises `reporter.ReportRefusedError` if the platform refuses it, and
        `errors.PlatformError` if its outcome is not known or it may be sent
        again. Each call has a connection of its own, which is reset if the
        call is given up, so that it takes no effect later.
        """
        request = http.Request(
            method='POST',
            target='/usage',
            body=orjson.dumps(
                {'window_id': report.window, 'counts': report.counts},
                option=orjson.OPT_SORT_KEYS,
            ),
            headers=(
                ('Egretstep-Lease-Holder', self._host),
                ('Egretstep-Fencing-Token', str(epoch)),
            ),
        )
        client = http.HttpClient(address=self._address)
        try:
            response = await client.call(request, timeout=timeout)
        finally:
            client.close()
        if response.status == _OK:
            return
        error_type = (
            reporter.ReportRefusedError
            if _is_refused(response.status)
            else errors.PlatformError
        )
        raise error_type(
            f'the platform answered {response.status} to the usage of window '
            f'{report.window} in epoch {epoch}: '
            f'{response.body[:MAX_QUOTED_BODY_BYTES]!r}',
        )


def _is_refused(status: int) -> bool:
    """Return whether the report would be refused again at a next try."""
    if status in _TEMPORARY:
        return False
    return _FIRST_CLIENT_ERROR <= status < _FIRST_SERVER_ERROR
