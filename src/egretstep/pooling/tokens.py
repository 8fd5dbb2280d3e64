"""Tokens of workspaces at this host: counted here or borrowed from others."""

import typing

from egretstep import clock, errors, identifiers
from egretstep.limits import admission
from egretstep.membership import view
from egretstep.peers import links
from egretstep.pooling import owned

TOKEN_TIMEOUT_SECONDS = 0.3
_Key = tuple[identifiers.DatabaseName, identifiers.WorkspaceName]


class TokenDesk:
    """Admissions of all workspaces on the databases of this host.

    A database that was lost to another host and claimed again counts anew,
    since the other one has given tokens in the meantime.
    """

    def __init__(
        self,
        *,
        host: identifiers.HostName,
        serving: typing.Mapping[
            identifiers.DatabaseName,
            owned.OwnedDatabase,
        ],
        current_view: typing.Callable[[], view.FleetView],
        pool_links: links.LinkTable,
        time_source: clock.Clock,
    ) -> None:
        self._host = host
        self._serving = serving
        self._view = current_view
        self._links = pool_links
        self._clock = time_source
        self._admissions: dict[_Key, admission.Admission] = {}

    def gatekeeper(
        self,
        database: identifiers.DatabaseName,
        workspace: identifiers.WorkspaceName,
    ) -> admission.Admission:
        """Return what admits a workspace on a database."""
        key = (database, workspace)
        known = self._admissions.get(key)
        if known is None or not self._counts_on(known, database):
            known = self._make(database, workspace)
            self._admissions[key] = known
        return known

    def take(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> admission.Lot | None:
        """Give tokens of a workspace that is counted here, or none."""
        home = self._home_of(workspace)
        serving = self._serving.get(home) if home else None
        if home is None or serving is None or not serving.is_serving:
            return None
        counting = self.gatekeeper(home, workspace)
        if not isinstance(counting, admission.CountingAdmission):
            return None
        return counting.take(wanted)

    def forget(self, database: identifiers.DatabaseName) -> None:
        """Drop the admissions of a database that left this host."""
        for key in tuple(self._admissions):
            if key[0] == database:
                self._admissions.pop(key)

    def follow(self, current: view.FleetView) -> None:
        """Follow a change of settings."""
        for (database, workspace), known in self._admissions.items():
            known.apply_settings(
                current.tree.effective(workspace=workspace, database=database),
            )

    def _counts_on(
        self,
        known: admission.Admission,
        database: identifiers.DatabaseName,
    ) -> bool:
        if not isinstance(known, admission.CountingAdmission):
            return True
        return known.empty_at == self._serving[database].counting_since

    def _make(
        self,
        database: identifiers.DatabaseName,
        workspace: identifiers.WorkspaceName,
    ) -> admission.Admission:
        if self._home_of(workspace) in {None, database}:
            return admission.CountingAdmission(
                workspace=workspace,
                effective=self._view().tree.effective(
                    workspace=workspace,
                    database=database,
                ),
                time_source=self._clock,
                empty_at=self._serving[database].counting_since,
            )
        return admission.BorrowingAdmission(
            workspace=workspace,
            take_tokens=self._borrow,
            time_source=self._clock,
        )

    def _home_of(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> identifiers.DatabaseName | None:
        known = self._view().tree.fleet.workspaces.get(workspace)
        if known is None:
            return None
        return identifiers.DatabaseName(known.databases[0])

    async def _borrow(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> admission.Lot:
        own_lot = self.take(workspace, wanted)
        if own_lot is not None:
            return own_lot
        home = self._home_of(workspace)
        counting = self._view().owner(home) if home else None
        if counting is None or counting.host == self._host:
            return admission.Lot(granted=0, retry_after=TOKEN_TIMEOUT_SECONDS)
        link = self._links.get(counting.address, counting.pool_port)
        try:
            answer = await link.call(
                lambda pool: pool.takeTokens(
                    workspace=workspace,
                    wanted=wanted,
                    term=0,
                ),
                timeout=TOKEN_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return admission.Lot(
                granted=0,
                retry_after=links.RECONNECT_DELAY_SECONDS,
            )
        return admission.Lot(
            granted=answer.granted,
            retry_after=clock.to_seconds(answer.retryAfterMs),
        )
