"""The deployment that is soaked: hosts, with proxies before what they call."""

import pathlib
import signal
import tempfile

from soak import proxy
from standins import platform_fleet

HOSTS = 4


class SoakedFleet(platform_fleet.PlatformFleet):
    """Reaches its servers and its store through proxies."""

    def __init__(self, *, first_port: int) -> None:
        super().__init__(hosts=HOSTS, first_port=first_port)
        self.server_proxies: dict[str, proxy.Proxy] = {}
        self.store_proxies: dict[int, proxy.Proxy] = {}
        self.down: set[int] = set()
        self.paused: set[int] = set()

    @property
    def proxies(self) -> list[proxy.Proxy]:
        """Return all proxies."""
        return [*self.server_proxies.values(), *self.store_proxies.values()]

    @property
    def up(self) -> list[int]:
        """Return the hosts that run."""
        return [index for index in range(HOSTS) if index not in self.down]

    async def __aexit__(self, *error: object) -> None:
        """Stop everything."""
        await super().__aexit__(*error)
        for each in self.proxies:
            await each.stop()

    def store_port(self, index: int) -> int:
        """Return the port on which a host reaches the store."""
        return self.store_proxies[index].port

    async def take_down(self, index: int, number: signal.Signals) -> None:
        """End a host that runs; others are left alone."""
        if index in self.down:
            return
        self.down.add(index)
        await self.stop_host(index, number)

    async def bring_up(self, index: int) -> None:
        """Start a host again."""
        if index in self.down:
            await self.start_host(index)
            self.down.discard(index)

    def answering(self) -> list[int]:
        """Return the hosts that run and do not stand still."""
        return [index for index in self.up if index not in self.paused]

    def keep_logs(self, name: str) -> pathlib.Path:
        """Copy the logs of the hosts to a folder that stays."""
        folder = pathlib.Path(tempfile.gettempdir()) / name
        folder.mkdir(exist_ok=True)
        for index in range(HOSTS):
            path = folder / f'host-{index}.log'
            path.write_text(self.read_log(index))
        return folder

    def ended_alone(self) -> list[int]:
        """Return the hosts whose process ended without being told."""
        return [index for index in self.up if self.exit_code(index) is not None]

    async def heal(self) -> None:
        """End all faults and start all hosts."""
        for each in self.proxies:
            each.heal()
        self.store.faults = type(self.store.faults)()
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
            self.server_proxies[name] = await _start(server.port)
            server.advertised_port = self.server_proxies[name].port
        for index in range(HOSTS):
            self.store_proxies[index] = await _start(self.store.port)


async def _start(target_port: int) -> proxy.Proxy:
    started = proxy.Proxy(target_port=target_port)
    await started.start()
    return started
