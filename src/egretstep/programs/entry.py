"""The program that callers connect to."""

import asyncio
import contextlib
import ssl

from egretstep import clock, errors, identifiers
from egretstep.callers import entry_services, server
from egretstep.membership import view
from egretstep.observability import metrics_endpoint, traces
from egretstep.programs import runner
from egretstep.routing import relay, statements
from egretstep.settings import schema
from egretstep.supervision import supervisor


class Entry:
    """Creates, connects and runs the components of the entry."""

    def __init__(self, *, settings: schema.HostSettings) -> None:
        self._is_stopping = False
        time_source = clock.MonotonicClock()
        self._feed = view.FleetViewFeed(
            address=settings.address,
            port=settings.agent_port,
            program='entry',
        )
        self._server = server.CallerServer(
            address=settings.address,
            port=settings.caller_port,
            tls=_make_tls_context(settings),
            shared=entry_services.EntryServices(
                current_view=self._current_view,
                relay=relay.Relay(
                    current_view=self._current_view,
                    time_source=time_source,
                ),
                classifier=statements.StatementClassifier(),
                tracer=traces.Tracer(
                    program='entry',
                    sample=settings.trace_sample,
                ),
                time_source=time_source,
                zone=identifiers.ZoneName(settings.zone),
                is_stopping=lambda: self._is_stopping,
            ),
        )
        endpoint = metrics_endpoint.MetricsEndpoint(
            address=settings.address,
            port=settings.entry_metrics_port,
        )
        self._tree = supervisor.Supervisor(
            name='entry',
            children=[
                supervisor.Child(name='view', run=self._feed.run),
                supervisor.Child(name='callers', run=self._accept_callers),
                supervisor.Child(name='metrics', run=endpoint.run),
            ],
        )

    async def run(self) -> None:
        """Serve until cancelled, then drain the sessions of callers."""
        tree_task = asyncio.ensure_future(self._tree.run())
        try:
            await asyncio.shield(tree_task)
        except asyncio.CancelledError:
            self._is_stopping = True
            await self._server.drain(
                errors.Refusal(
                    kind=errors.RefusalKind.STOPPING,
                    message='this host is stopping; connect again',
                ),
            )
            tree_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await tree_task

    def _current_view(self) -> view.FleetView | None:
        return self._feed.latest

    async def _accept_callers(self) -> None:
        await self._feed.wait_ready()
        self._feed.views.subscribe(self._server.end_withdrawn)
        await self._server.run()


def _make_tls_context(settings: schema.HostSettings) -> ssl.SSLContext | None:
    if settings.certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate, settings.certificate_key)
    return context


async def _serve(settings: schema.HostSettings) -> None:
    await Entry(settings=settings).run()


def main() -> None:
    """Start the program."""
    runner.run(program=_serve, description=__doc__)


if __name__ == '__main__':
    main()
