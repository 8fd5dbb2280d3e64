"""Fake of the registry of backend servers, for tests of the owner."""

from egretstep import clock
from egretstep.backends import connection
from egretstep.settings import deployment
from tests import platform_fakes


class RegisteredServers:
    """The servers of one service; the one named in `draining` leaves.

    `left` are the names of those that have drained and have no entry.
    """

    def __init__(self, *servers: platform_fakes.FakeServer) -> None:
        self._servers = servers
        self._clock = clock.MonotonicClock()
        self._draining_since: dict[str, float] = {}
        self.left: set[str] = set()

    @property
    def draining(self) -> str:
        """Return the name of the server that leaves, empty without one."""
        return next(iter(self._draining_since), '')

    @draining.setter
    def draining(self, name: str) -> None:
        self._draining_since = {name: self._clock.now()} if name else {}

    def remove(self, name: str) -> None:
        """Remove the entry of a server."""
        self._servers = tuple(
            each for each in self._servers if each.name != name
        )

    def add(self, server: platform_fakes.FakeServer) -> None:
        """Add the entry of a server."""
        self._servers = (*self._servers, server)

    def has_left(self, name: connection.ServerId) -> bool:
        """Return whether a server has left on plan."""
        return name in self.left

    def no_work_since(self, server: connection.BackendServer) -> float | None:
        """Return since when a server leaves, None if it does not."""
        return self._draining_since.get(server.server)

    def of_service(
        self,
        _service: deployment.ServiceName,
    ) -> list[connection.BackendServer]:
        """Return all servers."""
        return [server.backend() for server in self._servers]

    def find(
        self,
        name: connection.ServerId,
    ) -> connection.BackendServer | None:
        """Return the server with a name, None if there is none."""
        found = [each for each in self._servers if each.name == name]
        return found[0].backend() if found else None

    def takes_work(self, server: connection.BackendServer) -> bool:
        """Tell whether a server does not leave."""
        return not server.is_draining and server.server != self.draining
