"""Calls from this host to the other hosts of the fleet."""

import asyncio
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import answers
from egretstep.membership import directory
from egretstep.peers import fleet_messages, fleet_schema, link_table, links
from egretstep.pooling import work as work_module
from egretstep.settings import deployment
from egretstep.storage import change_feed

CONTROL_TIMEOUT_SECONDS = 0.4
REPLY_ALLOWANCE_SECONDS = 0.2
HEARTBEAT_TIMEOUT_SECONDS = 0.4
MAX_PROBE_PAUSE_SECONDS = 8.0
# A probe calls a host at most twice.
MAX_PROBE_SECONDS = 2 * CONTROL_TIMEOUT_SECONDS
_Reply = typing.TypeVar('_Reply')
LINK_ERRORS = (errors.LinkError, errors.LinkLostError)
_logger = logbook.Logger('links')


class FleetLinks:
    """Calls to the other hosts, over links that are opened on first use."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._link_table = link_table.LinkTable(
            interface=fleet_schema.Host,
            time_source=time_source,
            heartbeat=lambda host: host.heartbeat(),
            heartbeat_timeout=HEARTBEAT_TIMEOUT_SECONDS,
        )
        self._probe_tasks: dict[identifiers.HostName, asyncio.Task[None]] = {}

    async def call(
        self,
        host: identifiers.HostName,
        call: links.Call,
        *,
        timeout: float = CONTROL_TIMEOUT_SECONDS,
    ) -> typing.Any:
        """Call a host and return its reply; `timeout` is in seconds.

        Raises `errors.LinkError` or `errors.LinkLostError` if the host is not
        registered or does not answer. It is then avoided until it answers a
        probe.
        """
        try:
            return await self._link(host).call(call, timeout=timeout)
        except LINK_ERRORS as error:
            self._start_probing(host, str(error))
            raise

    def _start_probing(self, host: identifiers.HostName, reason: str) -> None:
        """Avoid a host and probe it in the background until it answers.

        Without the probes a caller's statement would fail each time that the
        suspicion ends, for as long as the row of a lost host stays. The first
        probe is sent at once: often only the link was lost.
        """
        self._hosts.suspect(host, reason, seconds=directory.SUSPECT_SECONDS)
        probe_task = self._probe_tasks.get(host)
        if probe_task is None or probe_task.done():
            self._probe_tasks[host] = asyncio.ensure_future(
                self._probe(host, reason),
            )

    async def _probe(self, host: identifiers.HostName, reason: str) -> None:
        pause = 0.0
        while host in self._hosts.hosts:
            self._hosts.suspect(host, reason, seconds=pause + MAX_PROBE_SECONDS)
            await asyncio.sleep(pause)
            if not self._hosts.is_suspected(host) or await self.is_alive(host):
                self._hosts.clear_suspicion(host)
                _logger.info('host {} answers and is used again', host)
                return
            pause = min(
                max(pause * 2, directory.SUSPECT_SECONDS),
                MAX_PROBE_PAUSE_SECONDS,
            )

    async def is_alive(self, host: identifiers.HostName) -> bool:
        """Return whether a host answers, over a new link if the old one fails.

        A link may be silent while its host runs.
        """
        try:
            await self._send_heartbeat(host)
        except errors.LinkLostError:
            return await self._answers_again(host)
        except errors.LinkError:
            return False
        return True

    async def _answers_again(self, host: identifiers.HostName) -> bool:
        try:
            await self._send_heartbeat(host)
        except LINK_ERRORS:
            return False
        return True

    async def _send_heartbeat(self, host: identifiers.HostName) -> None:
        await self._link(host).call(
            lambda remote: remote.heartbeat(),
            timeout=CONTROL_TIMEOUT_SECONDS,
        )

    def _link(self, host: identifiers.HostName) -> links.Link:
        known = self._hosts.hosts.get(host)
        if known is None:
            raise errors.LinkError(
                f'host {host} is not registered in the store'
            )
        return self._link_table.get(known.address.host, known.address.port)

    async def execute(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        """Execute a statement on another host; raises what `call` raises."""
        fields = fleet_messages.encode_work(work)
        reply = await self.call(
            host,
            lambda remote: remote.execute(work=fields),
            timeout=work.timeout + REPLY_ALLOWANCE_SECONDS,
        )
        return decode_reply(host, fleet_messages.decode_answer, reply.result)

    async def release(
        self,
        host: identifiers.HostName,
        pin_id: identifiers.PinId,
    ) -> None:
        """Roll back a transaction; ignores a host that does not answer.

        A host that has stopped has rolled back its transactions already.
        """
        try:
            await self.call(
                host,
                lambda remote: remote.release(pinId=pin_id),
            )
        except LINK_ERRORS:
            return

    async def acknowledged(
        self,
        host: identifiers.HostName,
        service: deployment.ServiceName,
    ) -> tuple[int, identifiers.LogPosition] | None:
        """Return the owner's epoch and acknowledged position.

        None if the host does not answer or does not own the service.
        """
        try:
            reply = await self.call(
                host,
                lambda remote: remote.acknowledged(service=service),
            )
        except LINK_ERRORS:
            return None
        if not reply.serving:
            return None
        return reply.epoch, fleet_messages.decode_position(reply.position)

    async def changes(
        self,
        host: identifiers.HostName,
        known: change_feed.Versions,
        *,
        wait: float,
    ) -> change_feed.FeedUpdate | None:
        """Ask a host for the changes in the store's tables since `known`.

        The host may delay its answer by up to `wait` seconds. Returns None if
        it does not answer; it is not avoided, since it may be waiting for the
        store itself.
        """
        versions = fleet_messages.encode_versions(known)
        try:
            reply = await self._link(host).call(
                lambda remote: remote.changes(known=versions),
                timeout=change_feed.poll_timeout(wait),
                is_long_poll=True,
            )
            return decode_reply(host, fleet_messages.decode_feed_update, reply)
        except LINK_ERRORS as error:
            _logger.info(
                'host {} gives no changes of tables, another source is asked: '
                '{}',
                host,
                error,
            )
            return None

    async def later_configuration(
        self,
        host: identifiers.HostName,
        version: identifiers.SettingsVersion,
    ) -> bytes:
        """Return a host's configuration if it is later than a version.

        Empty if it is not, or if the host does not answer.
        """
        try:
            reply = await self._link(host).call(
                lambda remote: remote.laterConfiguration(version=version),
                timeout=CONTROL_TIMEOUT_SECONDS,
            )
        except LINK_ERRORS:
            return b''
        return bytes(reply.content)

    async def reaches(self, host: identifiers.HostName) -> bool:
        """Return whether another host answers this one."""
        try:
            await self.call(host, lambda remote: remote.heartbeat())
        except LINK_ERRORS:
            return False
        return True


def decode_reply(
    host: identifiers.HostName,
    decode: typing.Callable[[typing.Any], _Reply],
    reply: typing.Any,
) -> _Reply:
    """Decode an answer of a host.

    Raises `errors.LinkLostError` if it has a value that this host does not
    know, as one of another version may send.
    """
    try:
        return decode(reply)
    except ValueError as error:
        raise errors.LinkLostError(
            f'malformed answer of host {host}: {error}; check its version',
        ) from error
