"""Links between programs: one connection to one peer, with heartbeats.

A link is opened on first use and again after a failure. While calls are
outstanding it sends heartbeats, so that a peer that went silent is noticed
before the deadline of the calls. The error tells whether a call was sent:
`LinkError` means that it was not, `LinkLostError` that it may have run.
"""

import asyncio
import contextlib
import typing

import capnp

from egretstep import clock, errors

CONNECT_TIMEOUT_SECONDS = 0.5
HEARTBEAT_INTERVAL_SECONDS = 0.25
HEARTBEAT_TIMEOUT_SECONDS = 1.0
RECONNECT_DELAY_SECONDS = 0.1
IDLE_SECONDS = 60.0
_DISCONNECTED = 'DISCONNECTED'

Remote = typing.Any
Call = typing.Callable[[Remote], typing.Awaitable[typing.Any]]


class Link:
    """A connection to one peer that is opened when it is needed."""

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
        self._outstanding = 0
        self._watched = 0
        self._connecting = asyncio.Lock()
        self._failed_at = float('-inf')
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._end_task: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether a connection to the peer stands."""
        return self._remote is not None

    @property
    def is_idle(self) -> bool:
        """Tell whether no call is under way."""
        return self._outstanding == 0

    async def call(
        self,
        call: Call,
        *,
        timeout: float,
        waits: bool = False,
    ) -> typing.Any:
        """Make one call and return its answer.

        Heartbeats are sent until it comes, but not for a call that `waits`
        on purpose. Raises `LinkError` when the call was not sent, and
        `LinkLostError` when no answer came within `timeout` seconds or before the
        connection broke.
        """
        remote = self._remote or await self._connect()
        self._outstanding += 1
        if not waits:
            self._watch()
        try:
            async with asyncio.timeout(timeout):
                return await call(remote)
        except TimeoutError as error:
            raise errors.LinkLostError(
                f'no answer from {self._name()} within {timeout:.3f} s; '
                'check that the host is up',
            ) from error
        except capnp.KjException as error:
            self._drop_if_disconnected(error, remote)
            raise errors.LinkLostError(
                f'connection to {self._name()} broke: {error.description}; '
                'check that the host is up',
            ) from error
        finally:
            self._outstanding -= 1
            self._watched -= not waits

    def close(self) -> None:
        """Close the connection; a later call opens it again."""
        if self._heartbeat_task:
            self._heartbeat_task.cancel()
            self._heartbeat_task = None
        if self._end_task:
            self._end_task.cancel()
            self._end_task = None
        client = self._client
        stream = self._stream
        self._remote = None
        self._client = None
        self._stream = None
        if client:
            client.close()
        if stream:
            stream.close()

    def _name(self) -> str:
        return f'{self._address}:{self._port}'

    async def _connect(self) -> Remote:
        async with self._connecting:
            if self._remote:
                return self._remote
            if self._clock.now() - self._failed_at < RECONNECT_DELAY_SECONDS:
                raise errors.LinkError(
                    f'{self._name()} was just found down; try another host',
                )
            try:
                return await self._open()
            except (OSError, TimeoutError, capnp.KjException) as error:
                self._failed_at = self._clock.now()
                raise errors.LinkError(
                    f'can not connect to {self._name()}: {error!r}; '
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
        self._end_task = asyncio.create_task(self._watch_end(self._client))
        return self._remote

    async def _watch_end(self, client: typing.Any) -> None:
        """Drop a connection that the peer has closed before it is used."""
        with contextlib.suppress(capnp.KjException):
            await client.on_disconnect()
        if self._client is client:
            self._end_task = None
            self.close()

    def _watch(self) -> None:
        """Send heartbeats from now on, until no call is under way."""
        self._watched += 1
        if self._heartbeat and not self._heartbeat_task:
            self._heartbeat_task = asyncio.create_task(
                self._send_heartbeats(self._heartbeat, self._remote),
            )

    async def _send_heartbeats(self, heartbeat: Call, remote: Remote) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if not self._watched:
                self._heartbeat_task = None
                return
            try:
                async with asyncio.timeout(self._heartbeat_timeout):
                    await heartbeat(remote)
            except (TimeoutError, capnp.KjException):
                self._heartbeat_task = None
                self.close()
                return

    def _drop_if_disconnected(
        self,
        error: capnp.KjException,
        remote: Remote,
    ) -> None:
        if error.type == _DISCONNECTED and self._remote is remote:
            self.close()


class LinkTable:
    """Links by address, opened on use and closed when idle.

    Hosts are replaced all the time, so that links to addresses that nobody
    uses any more must go.
    """

    def __init__(
        self,
        *,
        interface: typing.Any,
        time_source: clock.Clock,
        heartbeat: Call | None = None,
        heartbeat_timeout: float = HEARTBEAT_TIMEOUT_SECONDS,
    ) -> None:
        self._interface = interface
        self._clock = time_source
        self._heartbeat_timeout = heartbeat_timeout
        self._heartbeat = heartbeat
        self._links: dict[tuple[str, int], Link] = {}
        self._used_at: dict[tuple[str, int], float] = {}
        self._swept_at = time_source.now()

    def __len__(self) -> int:
        """Return how many links are kept."""
        return len(self._links)

    def get(self, address: str, port: int) -> Link:
        """Return the link to an address."""
        key = (address, port)
        link = self._links.get(key)
        if link is None:
            link = Link(
                address=address,
                port=port,
                interface=self._interface,
                heartbeat=self._heartbeat,
                time_source=self._clock,
                heartbeat_timeout=self._heartbeat_timeout,
            )
            self._links[key] = link
        now = self._clock.now()
        self._used_at[key] = now
        if now - self._swept_at > IDLE_SECONDS:
            self._sweep(now)
        return link

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        for key, used_at in tuple(self._used_at.items()):
            if now - used_at > IDLE_SECONDS and self._links[key].is_idle:
                self._used_at.pop(key)
                self._links.pop(key).close()


class Listener:
    """Accepts links from other programs.

    `make_server` is called once for each link, so that an implementation
    can hold what belongs to the link; its `link_closed` method is awaited
    when the link ends.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        make_server: typing.Callable[[], typing.Any],
    ) -> None:
        self._address = address
        self._port = port
        self._make_server = make_server

    async def run(self) -> None:
        """Accept links until cancelled."""
        server = await capnp.AsyncIoStream.create_server(
            self._accept,
            self._address,
            self._port,
        )
        async with server:
            await server.serve_forever()

    async def _accept(self, stream: typing.Any) -> None:
        implementation = self._make_server()
        try:
            with contextlib.suppress(capnp.KjException, ConnectionError):
                await capnp.TwoPartyServer(
                    stream,
                    bootstrap=implementation,
                ).on_disconnect()
        finally:
            await implementation.link_closed()
