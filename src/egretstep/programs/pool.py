"""The program that owns databases: connections, queues, failover."""

import asyncio
import contextlib
import itertools
import typing

import orjson

from egretstep import clock, identifiers
from egretstep.membership import view
from egretstep.observability import metrics_endpoint, traces
from egretstep.peers import listening, messages, schema
from egretstep.pooling import host, owned, pins
from egretstep.programs import runner
from egretstep.settings import schema as settings_schema
from egretstep.supervision import supervisor

LEAVING_PROGRAM_NAME = 'pool-leaving'
# JSON has no infinity; a server whose staleness is unknown has this age.
MAX_REPORTED_AGE_SECONDS = 1e9


class PoolServer(schema.Pool.Server):
    """Serves one link to the pool, from an entry or another pool."""

    def __init__(
        self,
        *,
        pool: host.PoolHost,
        link: pins.LinkId,
        tracer: traces.Tracer,
    ) -> None:
        self._pool = pool
        self._link = link
        self._tracer = tracer

    async def execute(
        self,
        request: typing.Any,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Run a statement and return its answer."""
        decoded = messages.decode_request(request)
        with self._tracer.span('pool', decoded.traceparent):
            answer = await self._pool.execute(decoded, self._link)
        messages.encode_answer(answer, _context.results.init('answer'))

    async def release(self, pinId: int, **_kwargs: typing.Any) -> None:
        """Roll back a pinned transaction and free its connection."""
        await self._pool.release(self._link, identifiers.PinId(pinId))

    async def heartbeat(self, **_kwargs: typing.Any) -> None:
        """Return at once, which shows that this program runs."""

    async def status(self, _context: typing.Any, **_kwargs: typing.Any) -> None:
        """Return the status of each database that this host owns."""
        _context.results.databases = [
            _database_status(database) for database in self._pool.databases
        ]

    async def handOver(
        self,
        database: str,
        term: int,
        **_kwargs: typing.Any,
    ) -> bool:
        """Accept a database that its former owner has released."""
        return self._pool.accept_handover(
            identifiers.DatabaseName(database),
            identifiers.Term(term),
        )

    async def takeTokens(
        self,
        workspace: str,
        wanted: int,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Grant tokens of a workspace if this host keeps its bucket."""
        grant = self._pool.take_tokens(
            identifiers.WorkspaceName(workspace),
            wanted,
        )
        _context.results.serving = grant is not None
        if grant is not None:
            _context.results.granted = grant.granted
            _context.results.retryAfterMs = clock.to_milliseconds(
                grant.retry_after,
            )

    async def link_closed(self) -> None:
        """Roll back the transactions that callers of the link left open."""
        await self._pool.link_closed(self._link)


def _database_status(database: owned.OwnedDatabase) -> dict[str, typing.Any]:
    tenure = database.database_group.tenure
    servers = {
        monitor.name: {
            'up': monitor.is_up,
            'applied': list(monitor.applied),
            'age_bound': min(
                database.database_group.staleness.age_bound(monitor.applied),
                MAX_REPORTED_AGE_SECONDS,
            ),
        }
        for monitor in database.database_group.monitors
    }
    return {
        'database': database.database_group.database,
        'owned': True,
        'serving': database.is_serving,
        'term': tenure.term if tenure else 0,
        'primary': tenure.primary if tenure else '',
        'servers': orjson.dumps(servers).decode(),
    }


async def _serve(settings: settings_schema.HostSettings) -> None:
    feed = view.FleetViewFeed(
        address=settings.address,
        port=settings.agent_port,
        program='pool',
    )
    pool = host.PoolHost(
        host=identifiers.HostName(settings.host),
        credentials=owned.Credentials(
            user=settings.database_user,
            password=settings.database_password,
        ),
        feed=feed,
        time_source=clock.MonotonicClock(),
    )
    tracer = traces.Tracer(program='pool', sample=settings.trace_sample)
    endpoint = metrics_endpoint.MetricsEndpoint(
        address=settings.address,
        port=settings.pool_metrics_port,
    )
    link_ids = itertools.count(1)
    listener = listening.Listener(
        address=settings.address,
        port=settings.pool_port,
        make_server=lambda: PoolServer(
            pool=pool,
            link=pins.LinkId(next(link_ids)),
            tracer=tracer,
        ),
    )
    tree = supervisor.Supervisor(
        name='pool',
        children=[
            supervisor.Child(name='view', run=feed.run),
            supervisor.Child(name='listener', run=listener.run),
            supervisor.Child(name='databases', run=pool.run),
            supervisor.Child(name='metrics', run=endpoint.run),
        ],
    )
    tree_task = asyncio.ensure_future(tree.run())
    try:
        await asyncio.shield(tree_task)
    except asyncio.CancelledError:
        feed.rename(LEAVING_PROGRAM_NAME)
        await pool.stop()
        tree_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await tree_task


def main() -> None:
    """Start the program."""
    runner.run(program=_serve, description=__doc__)


if __name__ == '__main__':
    main()
