"""Hosts with real dispatchers and simulated servers, on virtual time."""

import asyncio
import collections
import dataclasses
import random
import types

from egretstep import errors, identifiers
from egretstep.backends import answers, commands, connection, server_load
from egretstep.membership import claims, directory, registry
from egretstep.pooling import failure_answers
from egretstep.pooling import work as work_module
from egretstep.routing import dispatcher
from egretstep.settings import deployment, node
from tests import virtual_time

SERVICE = deployment.ServiceName('depot')
TASK = dispatcher.ownership_task(SERVICE)
OWNER = identifiers.HostName('owner')
OUTCOMES_KEPT = 40
MIN_OUTCOMES = 5
RECENT_SECONDS = 3.0
READ = work_module.Work(
    statement_id=b'id-1',
    command=commands.Command(action=commands.Action.READ, text=b'READ a'),
    workspace=identifiers.WorkspaceName('bode'),
    service=SERVICE,
    timeout=1.2,
    max_staleness=5.0,
)
WRITE = dataclasses.replace(
    READ,
    command=commands.Command(action=commands.Action.WRITE, text=b'WRITE a 1'),
    max_staleness=None,
    priority=0,
)


class SimulatedServer:
    """A server behind a first-come queue, which reports its load.

    It refuses a statement whose expected wait exceeds its timeout.
    """

    def __init__(
        self,
        name: str,
        *,
        rng: random.Random,
        zone: str = 'north',
        service_seconds: float = 0.02,
        slots: int = 6,
        is_primary: bool = False,
    ) -> None:
        self._random = rng
        self._slots = asyncio.Semaphore(slots)
        self._outcomes: collections.deque[tuple[float, bool]] = (
            collections.deque(maxlen=OUTCOMES_KEPT)
        )
        self.backend = connection.BackendServer(
            server=connection.ServerId(name),
            service=SERVICE,
            address=node.Address(host='127.0.0.1', port=1),
            zone=identifiers.ZoneName(zone),
            slots=slots,
            role=(
                connection.Role.PRIMARY
                if is_primary
                else connection.Role.REPLICA
            ),
        )
        self.service_seconds = service_seconds
        self.failure_share = 0.0
        self.refuses_with: answers.Code | None = None
        self.loses_links = False
        self.reports_load = True
        self.held = 0
        self.received = 0
        self.most_held = 0

    async def execute(self, work: work_module.Work) -> answers.Answer:
        """Run a statement, as a broker would."""
        self.received += 1
        if self.loses_links:
            raise errors.LinkLostError('cut')
        if self.refuses_with:
            answer = answers.refusal(self.refuses_with, 'refused')
        elif self._wait() > work.timeout:
            answer = answers.refusal(
                answers.Code.OVERLOADED, 'full', retry_after_ms=500
            )
        else:
            answer = await self._run()
        load = self.load() if self.reports_load else None
        return dataclasses.replace(answer, load=load)

    def load(self) -> server_load.ServerLoad:
        """Return the present load."""
        slots = self.backend.slots
        return server_load.ServerLoad(
            server=self.backend.server,
            capacity=slots,
            running=min(self.held, slots),
            waiting=max(0, self.held - slots),
            service_seconds=self.service_seconds,
            failure_share=self._recent_failure_share(),
            waits=(self._wait(),),
        )

    def _wait(self) -> float:
        slots = self.backend.slots
        return max(0, self.held + 1 - slots) * self.service_seconds / slots

    async def _run(self) -> answers.Answer:
        self.held += 1
        self.most_held = max(self.most_held, self.held)
        try:
            async with self._slots:
                spread = self._random.uniform(0.5, 1.5)
                await asyncio.sleep(self.service_seconds * spread)
        finally:
            self.held -= 1
        is_failed = self._random.random() < self.failure_share
        self._outcomes.append((asyncio.get_running_loop().time(), is_failed))
        code = answers.Code.FAILED if is_failed else answers.Code.OK
        return answers.Answer(code=code, was_sent=True)

    def _recent_failure_share(self) -> float:
        since = asyncio.get_running_loop().time() - RECENT_SECONDS
        recent = [failed for at, failed in self._outcomes if at >= since]
        return sum(recent) / max(MIN_OUTCOMES, len(recent))


class Fleet:
    """Hosts in one zone that send statements to the servers of a service."""

    def __init__(
        self,
        *servers: SimulatedServer,
        host_count: int = 1,
        rng: random.Random,
        zone: str = 'north',
    ) -> None:
        self._random = rng
        self._zone = zone
        self._time = virtual_time.LoopClock()
        self._servers = {each.backend.server: each for each in servers}
        self.claims = {
            TASK: claims.Claim(task=TASK, host=OWNER, boot=1, epoch=1)
        }
        self.moved_until = 0.0
        self.takeover_delay = 0.0
        self.answers: list[answers.Answer] = []
        self.seconds: list[float] = []
        self.dispatchers = [
            self._dispatcher(f'host-{number}') for number in range(host_count)
        ]

    @property
    def mean_seconds(self) -> float:
        """Return the mean time to an answer."""
        return sum(self.seconds) / len(self.seconds)

    def failed_count(self) -> int:
        """Return how many statements were not answered with success."""
        return sum(not answer.is_ok for answer in self.answers)

    async def execute(
        self,
        _host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        """Run a statement at its server, as the host near it would."""
        if work.server:
            return await self._servers[work.server].execute(work)
        if asyncio.get_running_loop().time() < self.moved_until:
            return failure_answers.moved()
        primary = next(
            each
            for each in self._servers.values()
            if each.backend.role is connection.Role.PRIMARY
        )
        return await primary.execute(work)

    async def send(
        self,
        work: work_module.Work,
        *,
        rate: float,
        seconds: float,
    ) -> None:
        """Send statements at random times from random hosts; await all."""
        sent = []
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            sent.append(asyncio.ensure_future(self._dispatch(work)))
            await asyncio.sleep(self._random.expovariate(rate))
        await asyncio.gather(*sent)

    async def _dispatch(self, work: work_module.Work) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        chosen = self._random.choice(self.dispatchers)
        dispatched = await chosen.dispatch(work)
        self.answers.append(dispatched.answer)
        self.seconds.append(loop.time() - started)

    def _dispatcher(self, name: str) -> dispatcher.Dispatcher:
        hosts = directory.Directory(
            own=_host(name, self._zone), time_source=self._time
        )
        servers = registry.ServerRegistry(time_source=self._time)
        servers.update({
            each.backend.server: each.backend for each in self._servers.values()
        })
        return dispatcher.Dispatcher(
            hosts=hosts,
            servers=servers,
            keeper=types.SimpleNamespace(known=self.claims),
            peers=self,
            local=types.SimpleNamespace(
                execute=lambda work, _link: self.execute(OWNER, work)
            ),
            takeover_delay=lambda: self.takeover_delay,
            time_source=self._time,
            rng=self._random,
        )


def _host(name: str, zone: str) -> directory.Host:
    return directory.Host(
        host=identifiers.HostName(name),
        zone=identifiers.ZoneName(zone),
        address=node.Address(host='127.0.0.1', port=1),
        boot=1,
        processor=1,
    )
