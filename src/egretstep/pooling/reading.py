"""Chooses the server of a read at the owner, and waits for it if needed."""

import asyncio
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import mysql as database
from egretstep.pooling import jobs, servers
from egretstep.replication import group
from egretstep.routing import replicas


class ReadPlanner:
    """Applies the read policy to what the owner knows of its servers."""

    def __init__(
        self,
        *,
        database_group: group.DatabaseGroup,
        pools: servers.ServerPools,
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
        """Return the server that serves a read, the primary if no other."""
        choice = replicas.make_router(job.effective.read_policy).choose(
            needs=self._needs(job),
            candidates=self._candidates(tenure),
        )
        if choice and await self._reaches(choice, job, tenure):
            return choice.server
        return tenure.primary

    async def _reaches(
        self,
        choice: replicas.Choice,
        job: jobs.Job,
        tenure: group.Tenure,
    ) -> bool:
        """Wait until a replica is at the floor; false sends to the primary."""
        floor = choice.wait_for
        if floor is None:
            return True
        source = self._pools[choice.server].connections
        if source.free_count <= 0:
            return False
        wait_seconds = min(
            clock.to_seconds(job.effective.replica_wait_ms),
            (job.deadline - self._clock.now()) / 2,
        )
        try:
            async with asyncio.timeout(wait_seconds):
                connection = await source.acquire(tenure.term)
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
            await source.release(connection)
        return answer.rows[0][0] == b'1'

    def _needs(self, job: jobs.Job) -> replicas.ReadNeeds:
        request = job.request
        longest_age = None
        if request.max_staleness_ms is not None:
            longest_age = clock.to_seconds(request.max_staleness_ms)
        floor = self._group.floors.floor(
            session_id=request.session_id,
            carried=request.floor,
        )
        return replicas.ReadNeeds(
            floor=floor,
            longest_age=longest_age,
            zone=request.zone,
        )

    def _candidates(self, tenure: group.Tenure) -> list[replicas.Candidate]:
        return [
            replicas.Candidate(
                server=watched.name,
                is_primary=watched.name == tenure.primary,
                applied=watched.applied,
                age_bound=self._group.staleness.age_bound(watched.applied),
                load=self._pools[watched.name].queue.load,
                zone=self._zone_of(watched.name),
            )
            for watched in self._group.monitors
            if watched.is_up
            and self._group.may_serve(watched.name)
            and self._is_zone_in(self._zone_of(watched.name))
        ]
