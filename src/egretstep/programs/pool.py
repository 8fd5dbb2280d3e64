"""The program that owns databases: connections, queues, failover."""

import asyncio
import contextlib
import itertools
import typing

import orjson

from egretstep import clock, identifiers
from egretstep.membership import view
from egretstep.observability import metrics_endpoint, traces
from egretstep.peers import links, messages, schema
from egretstep.pooling import host, owned, pins
from egretstep.programs import runner
from egretstep.settings import schema as settings_schema
from egretstep.supervision import supervisor

LEAVING_PROGRAM = 'pool-leaving'
# JSON has no infinity; this age stands for one without evidence.
LONGEST_AGE_SECONDS = 1e9


class PoolServer(schema.Pool.Server):
    """One link to the pool, from an entry or another pool."""

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
        """Run one statement."""
        decoded = messages.decode_request(request)
        with self._tracer.span('pool', decoded.traceparent):
            answer = await self._pool.execute(decoded, self._link)
        messages.encode_answer(answer, _context.results.init('answer'))

    async def release(self, pinId: int, **_kwargs: typing.Any) -> None:
        """Roll back and free what a caller held."""
        await self._pool.release(self._link, identifiers.PinId(pinId))

    async def heartbeat(self, **_kwargs: typing.Any) -> None:
        """Answer, to show that this program runs."""

    async def status(self, _context: typing.Any, **_kwargs: typing.Any) -> None:
        """List the databases of this host."""
        _context.results.databases = [
            _status(database) for database in self._pool.databases
        ]

    async def handOver(
        self,
        database: str,
        term: int,
        **_kwargs: typing.Any,
    ) -> bool:
        """Note that another host has released a database."""
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
        """Give tokens of a workspace that is counted here."""
        lot = self._pool.take_tokens(
            identifiers.WorkspaceName(workspace),
            wanted,
        )
        _context.results.serving = lot is not None
        if lot is not None:
            _context.results.granted = lot.granted
            _context.results.retryAfterMs = clock.to_milliseconds(
                lot.retry_after,
            )

    async def link_closed(self) -> None:
        """Free what the callers of the link held."""
        await self._pool.link_closed(self._link)


def _status(database: owned.OwnedDatabase) -> dict[str, typing.Any]:
    tenure = database.database_group.tenure
    servers = {
        watched.name: {
            'up': watched.is_up,
            'applied': list(watched.applied),
            'age_bound': min(
                database.database_group.staleness.age_bound(watched.applied),
                LONGEST_AGE_SECONDS,
            ),
        }
        for watched in database.database_group.monitors
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
    listener = links.Listener(
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
    running = asyncio.ensure_future(tree.run())
    try:
        await asyncio.shield(running)
    except asyncio.CancelledError:
        feed.rename(LEAVING_PROGRAM)
        await pool.stop()
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running


def main() -> None:
    """Start the program."""
    runner.run(program=_serve, description=__doc__)


if __name__ == '__main__':
    main()
