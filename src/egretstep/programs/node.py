"""The one program of a host on the users' platform.

It takes callers, reads from replicas of its zone, owns services, and counts
rates, as the fleet's leases say.
"""

import argparse
import asyncio
import contextlib
import signal

import capnp
import logbook

from egretstep.membership import directory, host_rows
from egretstep.observability import logs, stacks
from egretstep.platform import process_settings, store
from egretstep.programs import wiring
from egretstep.settings import node

REGISTRATION_RETRY_SECONDS = 0.3
DEFAULT_METRICS_PORT = 9464
_logger = logbook.Logger('node')


async def _start_registration(
    settings: node.NodeSettings,
    registration: host_rows.Registration,
) -> host_rows.PendingRegistration:
    """Read the table of hosts, which gives this host its boot number.

    Retries until the store answers.
    """
    unregistered = directory.Host(
        host=settings.host,
        zone=settings.zone,
        address=settings.peers,
        boot=0,
        processor=settings.processor,
    )
    while True:
        try:
            return await registration.start(unregistered)
        except host_rows.WRITE_FAILURES as error:
            _logger.warning(
                'host {} could not read the fleet table and tries again: {}',
                settings.host,
                error,
            )
            await asyncio.sleep(REGISTRATION_RETRY_SECONDS)


async def _serve(settings: node.NodeSettings) -> None:
    platform_store = store.PlatformStore(address=settings.store)
    try:
        await _run_node(settings, platform_store)
    finally:
        platform_store.close()


async def _run_node(
    settings: node.NodeSettings, platform_store: store.PlatformStore
) -> None:
    registration = host_rows.Registration(store=platform_store)
    pending = await _start_registration(settings, registration)
    own = pending.own
    _logger.info(
        'host {} started in zone {}, boot number {}',
        own.host,
        own.zone,
        own.boot,
    )
    host_node = wiring.Node(
        settings=settings,
        pending_registration=pending,
        registration=registration,
        platform_store=platform_store,
    )
    await host_node.run()


async def _run_until_signal(settings: node.NodeSettings) -> None:
    task = asyncio.ensure_future(_serve(settings))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, _Stop(task=task).begin)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    stacks.write_on_signal()
    with contextlib.suppress(asyncio.CancelledError):
        await task


class _Stop:
    """The planned stop, which a second SIGTERM must not cut short."""

    def __init__(self, *, task: asyncio.Future[None]) -> None:
        self._task = task
        self._has_begun = False

    def begin(self) -> None:
        """Begin to stop, unless that is under way."""
        if self._has_begun:
            _logger.info('SIGTERM: the host is stopping already')
            return
        self._has_begun = True
        self._task.cancel()


def _reload() -> None:
    # The addresses and the size of a host are fixed while its process runs.
    _logger.info(
        'SIGHUP: a changed settings file takes effect at the next start'
    )


def main() -> None:
    """Start the program with the settings that the platform wrote."""
    logs.set_up_bounded()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=DEFAULT_METRICS_PORT,
        help='port on which counters and histograms are served',
    )
    port = parser.parse_args().metrics_port
    settings = process_settings.load(process_settings.path(), port)
    asyncio.run(capnp.run(_run_until_signal(settings)))


if __name__ == '__main__':
    main()
