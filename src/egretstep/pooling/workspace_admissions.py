"""Rate limits of workspaces on the databases of this host.

The owner of a workspace's home database, the first in its list, keeps the
workspace's token bucket. Owners of its other databases request tokens from it.
"""

import typing

from egretstep import clock, errors, identifiers
from egretstep.limits import admission
from egretstep.membership import view
from egretstep.peers import link_table, links
from egretstep.pooling import owned

TOKEN_TIMEOUT_SECONDS = 0.3
_Key = tuple[identifiers.DatabaseName, identifiers.WorkspaceName]


class WorkspaceAdmissions:
    """The admissions of all workspaces on the databases of this host.

    When this host regains a database from another host, the token buckets
    start empty, since the other host has granted tokens in the meantime.
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
        pool_links: link_table.LinkTable,
        time_source: clock.Clock,
    ) -> None:
        self._host = host
        self._serving = serving
        self._view = current_view
        self._links = pool_links
        self._clock = time_source
        self._admissions: dict[_Key, admission.Admission] = {}

    def admission_of(
        self,
        database: identifiers.DatabaseName,
        workspace: identifiers.WorkspaceName,
    ) -> admission.Admission:
        """Return the admission of a workspace on a database."""
        key = (database, workspace)
        workspace_admission = self._admissions.get(key)
        if workspace_admission is None or not self._is_current(
            workspace_admission, database
        ):
            workspace_admission = self._make_admission(database, workspace)
            self._admissions[key] = workspace_admission
        return workspace_admission

    def take(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> admission.Lot | None:
        """Grant up to `wanted` tokens from the bucket of a workspace.

        Returns None when this host does not keep the token bucket.
        """
        home_database = self._home_database(workspace)
        serving = self._serving.get(home_database) if home_database else None
        if home_database is None or serving is None or not serving.is_serving:
            return None
        home_admission = self.admission_of(home_database, workspace)
        if not isinstance(home_admission, admission.CountingAdmission):
            return None
        return home_admission.take(wanted)

    def drop_database(self, database: identifiers.DatabaseName) -> None:
        """Drop the admissions of a database that this host released."""
        for key in tuple(self._admissions):
            if key[0] == database:
                self._admissions.pop(key)

    def apply_view(self, current: view.FleetView) -> None:
        """Apply changed settings to all admissions."""
        for (database, workspace), each in self._admissions.items():
            each.apply_settings(
                current.tree.effective(workspace=workspace, database=database),
            )

    def _is_current(
        self,
        workspace_admission: admission.Admission,
        database: identifiers.DatabaseName,
    ) -> bool:
        if not isinstance(workspace_admission, admission.CountingAdmission):
            return True
        return (
            workspace_admission.empty_at
            == self._serving[database].buckets_empty_at
        )

    def _make_admission(
        self,
        database: identifiers.DatabaseName,
        workspace: identifiers.WorkspaceName,
    ) -> admission.Admission:
        if self._home_database(workspace) in {None, database}:
            return admission.CountingAdmission(
                workspace=workspace,
                effective=self._view().tree.effective(
                    workspace=workspace,
                    database=database,
                ),
                time_source=self._clock,
                empty_at=self._serving[database].buckets_empty_at,
            )
        return admission.BorrowingAdmission(
            workspace=workspace,
            take_tokens=self._borrow,
            time_source=self._clock,
        )

    def _home_database(
        self,
        workspace: identifiers.WorkspaceName,
    ) -> identifiers.DatabaseName | None:
        workspace_settings = self._view().tree.fleet.workspaces.get(workspace)
        if workspace_settings is None:
            return None
        return identifiers.DatabaseName(workspace_settings.databases[0])

    async def _borrow(
        self,
        workspace: identifiers.WorkspaceName,
        wanted: int,
    ) -> admission.Lot:
        local_lot = self.take(workspace, wanted)
        if local_lot is not None:
            return local_lot
        home_database = self._home_database(workspace)
        counting_owner = (
            self._view().owner(home_database) if home_database else None
        )
        if counting_owner is None or counting_owner.host == self._host:
            return admission.Lot(granted=0, retry_after=TOKEN_TIMEOUT_SECONDS)
        link = self._links.get(counting_owner.address, counting_owner.pool_port)
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
