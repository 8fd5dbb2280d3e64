"""Chooses the server for a read, and waits for a replica if needed."""

import asyncio
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import mysql as database
from egretstep.pooling import jobs, server_pools
from egretstep.replication import group
from egretstep.routing import replicas


class ReadPlanner:
    """Applies the read policy to the servers that the owner monitors."""

    def __init__(
        self,
        *,
        database_group: group.DatabaseGroup,
        pools: server_pools.ServerPools,
        zone_of: typing.Callable[
            [identifiers.ServerName],
            identifiers.ZoneName,
        ],
        is_zone_in: typing.Callable[[identifiers.ZoneName], bool],
        time_source: clock.Clock,
    ) -> None:
        self._group = database_group
        self._pools = pools
        self._zone_of = zone_of
        self._is_zone_in = is_zone_in
        self._clock = time_source

    async def choose(
        self,
        job: jobs.Job,
        tenure: group.Tenure,
    ) -> identifiers.ServerName:
        """Return the server for a read; the primary if no replica will do."""
        choice = replicas.make_router(job.effective.read_policy).choose(
            needs=self._needs(job),
            candidates=self._candidates(tenure),
        )
        if choice and await self._wait_until_applied(choice, job, tenure):
            return choice.server
        return tenure.primary

    async def _wait_until_applied(
        self,
        choice: replicas.Choice,
        job: jobs.Job,
        tenure: group.Tenure,
    ) -> bool:
        """Wait until the replica has applied the required position.

        Returns false if it does not in time, no connection is free or the
        replica fails; the read then goes to the primary. The wait is at most
        half of the time left until the deadline.
        """
        floor = choice.wait_for
        if floor is None:
            return True
        server_connections = self._pools[choice.server].connections
        if server_connections.free_count <= 0:
            return False
        wait_seconds = min(
            clock.to_seconds(job.effective.replica_wait_ms),
            (job.deadline - self._clock.now()) / 2,
        )
        try:
            async with asyncio.timeout(wait_seconds):
                connection = await server_connections.acquire(tenure.term)
        except (TimeoutError, errors.DatabaseServerError):
            return False
        try:
            async with asyncio.timeout(2 * wait_seconds):
                answer = await connection.run(
                    f'CALL group_wait({floor.term}, {floor.offset}, '
                    f'{wait_seconds:.3f})',
                )
        except (
            TimeoutError,
            errors.DatabaseServerError,
            database.ServerRefusalError,
        ):
            return False
        finally:
            await server_connections.release(connection)
        return answer.rows[0][0] == b'1'

    def _needs(self, job: jobs.Job) -> replicas.ReadNeeds:
        request = job.request
        max_staleness = None
        if request.max_staleness_ms is not None:
            max_staleness = clock.to_seconds(request.max_staleness_ms)
        floor = self._group.floors.floor(
            session_id=request.session_id,
            carried=request.floor,
        )
        return replicas.ReadNeeds(
            floor=floor,
            max_staleness=max_staleness,
            zone=request.zone,
        )

    def _candidates(self, tenure: group.Tenure) -> list[replicas.Candidate]:
        return [
            replicas.Candidate(
                server=monitor.name,
                is_primary=monitor.name == tenure.primary,
                applied=monitor.applied,
                age_bound=self._group.staleness.age_bound(monitor.applied),
                load=self._pools[monitor.name].queue.load,
                zone=self._zone_of(monitor.name),
            )
            for monitor in self._group.monitors
            if monitor.is_up
            and self._group.may_serve(monitor.name)
            and self._is_zone_in(self._zone_of(monitor.name))
        ]
