"""Deployment of a soak test, whose hosts connect through faulty proxies."""

import asyncio
import pathlib
import signal
import tempfile

from soak import proxy
from standins import platform_fleet

HOSTS = 4


class SoakFleet(platform_fleet.PlatformFleet):
    """Hosts that reach their database servers and the store through proxies.

    There is one proxy for each server, and one to the store for each host.
    `down` and `paused` hold the indexes of the hosts whose process was
    ended or suspended by a fault.
    """

    def __init__(self, *, first_port: int) -> None:
        super().__init__(hosts=HOSTS, first_port=first_port)
        self.server_proxies: dict[str, proxy.Proxy] = {}
        self.store_proxies: dict[int, proxy.Proxy] = {}
        self.down: set[int] = set()
        # Faults overlap, and two of them may end or start the same host.
        self._host_locks = [asyncio.Lock() for _ in range(HOSTS)]
        self.paused: set[int] = set()

    @property
    def proxies(self) -> list[proxy.Proxy]:
        """Return the proxies of all servers and of the store."""
        return [*self.server_proxies.values(), *self.store_proxies.values()]

    @property
    def up(self) -> list[int]:
        """Return the indexes of the hosts that no fault has ended."""
        return [index for index in range(HOSTS) if index not in self.down]

    async def __aexit__(self, *error: object) -> None:
        """Stop the hosts, the servers, the store and the proxies."""
        await super().__aexit__(*error)
        for running_proxy in self.proxies:
            await running_proxy.stop()

    def store_port(self, index: int) -> int:
        """Return the port of a host's proxy to the store."""
        return self.store_proxies[index].port

    async def take_down(
        self, index: int, signal_number: signal.Signals
    ) -> None:
        """End a host with a signal, unless it is down already."""
        async with self._host_locks[index]:
            if index in self.down:
                return
            self.down.add(index)
            await self.stop_host(index, signal_number)

    async def bring_up(self, index: int) -> None:
        """Start a host again if it is down."""
        async with self._host_locks[index]:
            if index in self.down:
                await self.start_host(index)
                self.down.discard(index)

    def responsive_hosts(self) -> list[int]:
        """Return the indexes of the hosts that are neither down nor paused."""
        return [index for index in self.up if index not in self.paused]

    def write_stacks(self, index: int) -> None:
        """Let a host write to its log where its threads and tasks stand."""
        self.signal_host(index, signal.SIGUSR1)

    def keep_logs(self, name: str) -> pathlib.Path:
        """Copy the logs of the hosts to a folder that outlives the fleet.

        The folder has this name and lies in the folder for temporary files.
        """
        folder = pathlib.Path(tempfile.gettempdir()) / name
        folder.mkdir(exist_ok=True)
        for index in range(HOSTS):
            path = folder / f'host-{index}.log'
            path.write_text(self.read_log(index))
        return folder

    def unexpectedly_ended(self) -> list[int]:
        """Return the indexes of the hosts whose process ended by itself."""
        return [index for index in self.up if self.exit_code(index) is not None]

    async def heal(self) -> None:
        """End all faults, and start all hosts and servers that are down."""
        for faulty_proxy in self.proxies:
            faulty_proxy.heal()
        self.store.faults = type(self.store.faults)()
        await self.store.start()
        for index in self.up:
            self.signal_host(index, signal.SIGCONT)
        for index in list(self.down):
            await self.bring_up(index)
        for server in self.group.servers.values():
            if server.faults.is_down:
                await server.start()
        self.store.register_all()

    async def _before_registration(self) -> None:
        for name, server in self.group.servers.items():
            self.server_proxies[name] = await _start_proxy(server.port)
            server.advertised_port = self.server_proxies[name].port
        for index in range(HOSTS):
            self.store_proxies[index] = await _start_proxy(self.store.port)


async def _start_proxy(target_port: int) -> proxy.Proxy:
    new_proxy = proxy.Proxy(target_port=target_port)
    await new_proxy.start()
    return new_proxy
