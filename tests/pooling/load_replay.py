"""Replays the load of several kinds of statements at one server queue."""

import asyncio
import dataclasses
import random
import typing

from egretstep import errors, identifiers
from egretstep.pooling import fair_queue, queueing
from tests import virtual_time

SLOTS = 6
WORKSPACES = 20
SEED = 1
CALM_SHARE = 0.2
HOT = identifiers.WorkspaceName('hot')
# Virtual time in seconds, and the load of the queue then.
Sample = tuple[float, fair_queue.QueueLoad]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of statement; times in seconds, `share` of the sent work."""

    name: str
    service: float
    priority: int
    target: float
    limit: float
    worth: float
    share: float


WRITES = Kind(
    name='writes',
    service=0.011,
    priority=0,
    target=0.25,
    limit=1.2,
    worth=3.4,
    share=0.35,
)
SESSION_READS = Kind(
    name='session reads',
    service=0.033,
    priority=1,
    target=0.5,
    limit=1.2,
    worth=1.8,
    share=0.35,
)
BOUNDED_READS = Kind(
    name='bounded reads',
    service=0.055,
    priority=2,
    target=1.5,
    limit=5.0,
    worth=0.45,
    share=0.3,
)
KINDS = (WRITES, SESSION_READS, BOUNDED_READS)


def is_calm(load: fair_queue.QueueLoad) -> bool:
    """Tell whether no kind waits for more than a fifth of its target."""
    return all(
        load.waits[kind.priority] < CALM_SHARE * kind.target for kind in KINDS
    )


@dataclasses.dataclass(slots=True)
class Count:
    """What became of the operations of one kind or workspace."""

    sent: int = 0
    served: int = 0
    in_time: int = 0
    rejected: int = 0
    rejected_late: int = 0

    @property
    def in_time_share(self) -> float:
        return self.in_time / max(1, self.sent)


@dataclasses.dataclass(slots=True, kw_only=True)
class Replay:
    """Sends operations at one server and counts their outcomes.

    `is_plain` leaves out priority and target. `max_returns` is how often a
    rejected caller comes back after the told time, within its time limit.
    `pinned_load` is the load by open transactions and `hot_share` the share of
    the workspace `HOT`. Between the two times of `outage` the server is silent.
    """

    policy: queueing.QueuePolicy = queueing.QueuePolicy.FAIR
    is_plain: bool = False
    max_returns: int = 0
    pinned_load: float = 0
    hot_share: float = 0
    outage: tuple[float, float] = (0, 0)
    by_kind: dict[str, Count] = dataclasses.field(default_factory=dict)
    by_workspace: dict[tuple[str, str], Count] = dataclasses.field(
        default_factory=dict
    )
    returns: list[float] = dataclasses.field(default_factory=list)
    told: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    queue: fair_queue.FairQueue = dataclasses.field(init=False)
    server: asyncio.Semaphore = dataclasses.field(init=False)
    rng: random.Random = dataclasses.field(init=False)

    @property
    def worth(self) -> float:
        return sum(
            kind.worth * self.by_kind[kind.name].in_time for kind in KINDS
        )

    def run(
        self,
        load_at: typing.Callable[[float], float],
        seconds: float,
        slots_at: typing.Callable[[float], int] | None = None,
    ) -> 'Replay':
        """Send load, as a multiple of the capacity, for a number of seconds."""
        virtual_time.run(self._run(load_at, seconds, slots_at))
        return self

    async def _run(self, load_at, seconds, slots_at) -> None:
        self.queue = fair_queue.FairQueue(
            slots=SLOTS,
            time_source=virtual_time.LoopClock(),
            policy=self.policy,
        )
        self.server = asyncio.Semaphore(SLOTS)
        self.rng = random.Random(SEED)
        # The queue spreads return times with the module's own generator.
        random.seed(SEED)
        await asyncio.gather(
            *(self._send(kind, load_at, seconds) for kind in KINDS),
            self._send_pinned(seconds),
            self._follow_capacity(slots_at, seconds),
        )

    async def _follow_capacity(self, slots_at, seconds) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < seconds:
            if slots_at is not None:
                self.queue.set_capacity(slots_at(loop.time()))
            self.samples.append((loop.time(), self.queue.load_now()))
            await asyncio.sleep(0.05)

    async def _send(self, kind, load_at, seconds) -> None:
        loop = asyncio.get_running_loop()
        running = []
        while loop.time() < seconds:
            rate = load_at(loop.time()) * kind.share * SLOTS / kind.service
            await asyncio.sleep(self.rng.expovariate(rate))
            running.append(asyncio.ensure_future(self._operate(kind)))
        await asyncio.gather(*running)

    async def _send_pinned(self, seconds) -> None:
        loop = asyncio.get_running_loop()
        running = []
        rate = self.pinned_load * SLOTS / WRITES.service
        while rate and loop.time() < seconds:
            await asyncio.sleep(self.rng.expovariate(rate))
            running.append(asyncio.ensure_future(self._run_pinned()))
        await asyncio.gather(*running)

    async def _run_pinned(self) -> None:
        with self.queue.charged(workspace=self._workspace(), weight=1):
            await self._serve(WRITES)

    def _workspace(self) -> identifiers.WorkspaceName:
        if self.rng.random() < self.hot_share:
            return HOT
        number = self.rng.randrange(WORKSPACES)
        return identifiers.WorkspaceName(f'workspace-{number}')

    async def _operate(self, kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        workspace = self._workspace()
        counts = (
            self.by_kind.setdefault(kind.name, Count()),
            self.by_workspace.setdefault((workspace, kind.name), Count()),
        )
        for count in counts:
            count.sent += 1
        for _ in range(self.max_returns + 1):
            told = await self._try(kind, workspace, counts, started)
            if told is None or loop.time() + told > started + kind.limit:
                return
            await asyncio.sleep(told)
            self.returns.append(loop.time())

    async def _try(self, kind, workspace, counts, started) -> float | None:
        """Return None when served, else the told seconds."""
        loop = asyncio.get_running_loop()
        tried = loop.time()
        options = {}
        if not self.is_plain:
            options['priority'] = kind.priority
            options['target_at'] = started + kind.target
        try:
            async with self.queue.slot(
                workspace=workspace,
                weight=1,
                deadline=tried + kind.limit,
                **options,
            ):
                await self._serve(kind)
        except errors.RefusedError as error:
            told = error.refusal.retry_after_ms / 1000
            self.told.append((kind.priority, told))
            for count in counts:
                count.rejected += 1
                count.rejected_late += loop.time() - tried > kind.limit / 2
            return told
        for count in counts:
            count.served += loop.time() <= started + kind.limit
            count.in_time += loop.time() <= started + kind.target
        return None

    async def _serve(self, kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        async with self.server:
            if self.outage[0] <= loop.time() < self.outage[1]:
                await asyncio.sleep(self.outage[1] - loop.time())
            await asyncio.sleep(kind.service * self.rng.uniform(0.7, 1.3))
