"""Client of the platform's interface that takes the usage of workspaces."""

from egretstep import errors, identifiers
from egretstep.platform import fenced_calls
from egretstep.settings import node
from egretstep.usage import journal, reporter

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
        self._caller = fenced_calls.FencedCaller(address=address, host=host)

    async def send(
        self, report: journal.Report, *, epoch: int, timeout: float
    ) -> None:
        """Send a report as the holder in `epoch`.

        Raises `reporter.ReportRefusedError` if the platform refuses it, and
        `errors.PlatformError` if its outcome is not known or it may be sent
        again.
        """
        response = await self._caller.post(
            '/usage',
            {'window_id': report.window, 'counts': report.counts},
            epoch=epoch,
            timeout=timeout,
        )
        if response.status == fenced_calls.OK:
            return
        error_type = (
            reporter.ReportRefusedError
            if _is_refused(response.status)
            else errors.PlatformError
        )
        raise error_type(
            f'the platform answered {response.status} to the usage of window '
            f'{report.window} in epoch {epoch}: '
            f'{fenced_calls.quote_body(response)}',
        )


def _is_refused(status: int) -> bool:
    """Return whether the report would be refused again at a next try."""
    if status in _TEMPORARY:
        return False
    return _FIRST_CLIENT_ERROR <= status < _FIRST_SERVER_ERROR
