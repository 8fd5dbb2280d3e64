"""Load pattern: callers reconnect while a host is starting.

The host has not read its configuration yet. A caller must not be refused for
a route or key that the host doesn't have yet.
"""

import asyncio
import socket
import unittest
import unittest.mock

from egretstep import identifiers
from egretstep.callers import client_limits, session_services
from egretstep.platform import ingress
from egretstep.settings import deployment, node
from tests import platform_fakes

ADDRESS = '127.0.0.1'
DATABASE = identifiers.DatabaseName('loans')
KEY = 'key-of-depot'
CONFIGURED = deployment.Deployment(
    version=identifiers.SettingsVersion(1),
    routes={
        DATABASE: deployment.Route(
            database=DATABASE,
            service=platform_fakes.SERVICE,
            consistency=deployment.Consistency.PRIMARY,
            timeout=1,
            target=1,
            priority=1,
            max_staleness=None,
            is_open=False,
        ),
    },
    services={},
    workspaces={},
    workspaces_by_key={KEY: platform_fakes.DEPOT},
)


class IngressTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        with socket.socket() as probe:
            probe.bind((ADDRESS, 0))
            port = probe.getsockname()[1]
        self.current = deployment.EMPTY
        self.is_configured = asyncio.Event()
        server = ingress.Ingress(
            limits=client_limits.derive(memory_mb=512, max_fds=4300),
            address=node.Address(host=ADDRESS, port=port),
            services=session_services.SessionServices(
                current_deployment=lambda: self.current,
                dispatcher=unittest.mock.MagicMock(),
                rate_limiter=unittest.mock.MagicMock(),
                release_here=unittest.mock.MagicMock(),
                is_stopping=unittest.mock.MagicMock(return_value=False),
                is_configured=self.is_configured,
            ),
        )
        self.server_task = asyncio.ensure_future(server.run())
        await asyncio.sleep(0.05)
        streams = await asyncio.open_connection(ADDRESS, port)
        self.reader = streams[0]
        self.writer = streams[1]

    async def asyncTearDown(self) -> None:
        self.writer.close()
        self.server_task.cancel()

    async def test_a_caller_waits_until_the_host_is_configured(self) -> None:
        self.writer.write(f'START {DATABASE} {KEY}\r\n'.encode())
        reply = asyncio.ensure_future(self.reader.readline())
        await asyncio.sleep(0.1)
        self.assertFalse(reply.done())
        self.current = CONFIGURED
        self.is_configured.set()
        self.assertEqual(await reply, b'READY I -\r\n')

    async def test_an_unknown_database_is_refused(self) -> None:
        self.current = CONFIGURED
        self.is_configured.set()
        self.writer.write(f'START other {KEY}\r\n'.encode())
        self.assertIn(b'NODB', await self.reader.readline())
