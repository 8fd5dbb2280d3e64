"""Links: Cap'n Proto connections between programs, with heartbeats.

A link connects on first use and reconnects after a failure. While calls are
pending it sends heartbeats, so that a silent peer is detected before the
deadline of the calls. A long poll gets none, since its answer may be large and
slow; if it times out, one heartbeat tells whether the peer is silent.
`errors.LinkError` means that a call was not sent, and `errors.LinkLostError`
that it may have run.
"""

import asyncio
import contextlib
import typing

import capnp
import logbook

from egretstep import clock, errors

CONNECT_TIMEOUT_SECONDS = 0.5
HEARTBEAT_INTERVAL_SECONDS = 0.25
HEARTBEAT_TIMEOUT_SECONDS = 1.0
# What is left of a large answer may still be on its way.
LATE_POLL_HEARTBEAT_TIMEOUT_SECONDS = 1.0
RECONNECT_DELAY_SECONDS = 0.1
_DISCONNECTED_ERROR_TYPE = 'DISCONNECTED'
_logger = logbook.Logger('links')

Remote = typing.Any
Call = typing.Callable[[Remote], typing.Awaitable[typing.Any]]


class Link:
    """A connection to one peer, opened on use.

    `heartbeat` is the call that checks the peer. Without it, no heartbeats are
    sent, and the link is closed when a call times out. `heartbeat_timeout` is
    in seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        interface: typing.Any,
        heartbeat: Call | None = None,
        time_source: clock.Clock | None = None,
        heartbeat_timeout: float = HEARTBEAT_TIMEOUT_SECONDS,
    ) -> None:
        self._heartbeat_timeout = heartbeat_timeout
        self._address = address
        self._port = port
        self._interface = interface
        self._heartbeat = heartbeat
        self._clock = time_source or clock.MonotonicClock()
        self._remote: Remote = None
        self._client: typing.Any = None
        self._stream: typing.Any = None
        self._pending_calls = 0
        self._heartbeat_calls = 0
        self._connect_lock = asyncio.Lock()
        self._connect_failed_at = float('-inf')
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._disconnect_task: asyncio.Task[None] | None = None
        self._late_poll_check: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether the link is connected."""
        return self._remote is not None

    @property
    def is_idle(self) -> bool:
        """Tell whether no call is pending."""
        return self._pending_calls == 0

    async def call(
        self,
        call: Call,
        *,
        timeout: float,
        is_long_poll: bool = False,
    ) -> typing.Any:
        """Make one call and return its answer.

        Heartbeats are sent until the answer arrives, for a long poll only one
        after a timeout; a peer that does not answer one is disconnected.
        Raises `errors.LinkError` if the call was not sent, and
        `errors.LinkLostError` if no answer arrived within `timeout` seconds,
        the time to connect included, or the connection failed.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        remote = self._remote or await self._connect_until(deadline)
        self._pending_calls += 1
        if not is_long_poll:
            self._start_heartbeats()
        try:
            async with asyncio.timeout_at(deadline):
                return await call(remote)
        except TimeoutError as error:
            self._check_after_timeout(remote, is_long_poll=is_long_poll)
            raise errors.LinkLostError(
                f'no answer from {self._peer_name()} within {timeout:.3f} s; '
                'check that the host is up',
            ) from error
        except capnp.KjException as error:
            self._close_if_disconnected(error, remote)
            raise errors.LinkLostError(
                f'connection to {self._peer_name()} failed: '
                f'{error.description}; check that the host is up',
            ) from error
        finally:
            self._pending_calls -= 1
            self._heartbeat_calls -= not is_long_poll

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._heartbeat_task:
            self._heartbeat_task.cancel()
            self._heartbeat_task = None
        if self._disconnect_task:
            self._disconnect_task.cancel()
            self._disconnect_task = None
        client = self._client
        stream = self._stream
        self._remote = None
        self._client = None
        self._stream = None
        if client:
            client.close()
        if stream:
            stream.close()

    def _peer_name(self) -> str:
        return f'{self._address}:{self._port}'

    async def _connect_until(self, deadline: float) -> Remote:
        try:
            async with asyncio.timeout_at(deadline):
                return await self._connect()
        except TimeoutError as error:
            raise errors.LinkError(
                f'cannot connect to {self._peer_name()} in the time of the '
                'call; check that the host is up',
            ) from error

    async def _connect(self) -> Remote:
        async with self._connect_lock:
            if self._remote:
                return self._remote
            if (
                self._clock.now() - self._connect_failed_at
                < RECONNECT_DELAY_SECONDS
            ):
                raise errors.LinkError(
                    f'connecting to {self._peer_name()} failed less than '
                    f'{RECONNECT_DELAY_SECONDS} s ago; try another host',
                )
            try:
                return await self._open()
            except (OSError, TimeoutError, capnp.KjException) as error:
                self._connect_failed_at = self._clock.now()
                raise errors.LinkError(
                    f'cannot connect to {self._peer_name()}: {error!r}; '
                    'check that the host is up',
                ) from error

    async def _open(self) -> Remote:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            self._stream = await capnp.AsyncIoStream.create_connection(
                host=self._address,
                port=self._port,
            )
        self._client = capnp.TwoPartyClient(self._stream)
        self._remote = self._client.bootstrap().cast_as(self._interface)
        self._disconnect_task = asyncio.create_task(
            self._close_on_disconnect(self._client)
        )
        return self._remote

    async def _close_on_disconnect(self, client: typing.Any) -> None:
        """Close the link when the peer disconnects, so that no call uses it."""
        with contextlib.suppress(capnp.KjException):
            await client.on_disconnect()
        if self._client is client:
            self._disconnect_task = None
            self.close()

    def _start_heartbeats(self) -> None:
        """Count a call that needs heartbeats, and start to send them."""
        self._heartbeat_calls += 1
        if self._heartbeat and not self._heartbeat_task:
            self._heartbeat_task = asyncio.create_task(
                self._send_heartbeats(self._heartbeat, self._remote),
            )

    async def _send_heartbeats(self, heartbeat: Call, remote: Remote) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if not self._heartbeat_calls:
                self._heartbeat_task = None
                return
            await self._check(heartbeat, remote, self._heartbeat_timeout)

    async def _check(
        self, heartbeat: Call, remote: Remote, timeout: float
    ) -> None:
        """Close the link if a heartbeat is not answered in time."""
        try:
            async with asyncio.timeout(timeout):
                await heartbeat(remote)
        except (TimeoutError, capnp.KjException) as error:
            if self._remote is remote:
                _logger.info(
                    'link to {} is closed: a heartbeat was not answered within '
                    '{} s ({!r}); pending calls: {}',
                    self._peer_name(),
                    timeout,
                    error,
                    self._pending_calls,
                )
                self.close()

    def _check_after_timeout(
        self, remote: Remote, *, is_long_poll: bool
    ) -> None:
        """Make sure that a link to a silent peer is closed.

        Without heartbeats nothing else would notice the silence.
        """
        if self._heartbeat is None and self._remote is remote:
            self.close()
        elif self._heartbeat is not None and is_long_poll:
            self._late_poll_check = asyncio.create_task(
                self._check(
                    self._heartbeat,
                    remote,
                    LATE_POLL_HEARTBEAT_TIMEOUT_SECONDS,
                ),
            )

    def _close_if_disconnected(
        self,
        error: capnp.KjException,
        remote: Remote,
    ) -> None:
        if error.type == _DISCONNECTED_ERROR_TYPE and self._remote is remote:
            self.close()
