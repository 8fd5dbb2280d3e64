"""Faults that are injected into the deployment, several at a time.

A fault is a function that takes the fleet, a source of random numbers and a
duration in seconds. It ends a fault that lasts before it returns. The random
numbers come from a seed, and determine the faults, their times and targets.
"""

import asyncio
import random
import signal
import typing

from soak import deployment, proxy

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0
MIN_GAP_SECONDS = 0.2
MAX_GAP_SECONDS = 1.6
CHUNK_DELAY_RANGE_SECONDS = (0.02, 0.25)
MAX_COPY_AGE_SECONDS = 6.0
MAX_STORE_AWAY_SECONDS = 2.0

Fault = typing.Callable[
    [deployment.SoakFleet, random.Random, float],
    typing.Awaitable[None],
]


async def kill_host(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Kill one host with SIGKILL, and start it again after the duration."""
    await _take_down_random_host(fleet, randomness, seconds, signal.SIGKILL)


async def stop_host(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Stop one host with SIGTERM, and start it again after the duration."""
    await _take_down_random_host(fleet, randomness, seconds, signal.SIGTERM)


async def kill_all(
    fleet: deployment.SoakFleet,
    _randomness: random.Random,
    seconds: float,
) -> None:
    """Kill all hosts with SIGKILL, and start them again."""
    indexes = fleet.up
    for index in indexes:
        await fleet.take_down(index, signal.SIGKILL)
    await asyncio.sleep(seconds)
    for index in indexes:
        await fleet.bring_up(index)


async def pause_host(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Suspend one host with SIGSTOP, and continue it after the duration."""
    if not fleet.up:
        return
    index = randomness.choice(fleet.up)
    fleet.paused.add(index)
    fleet.signal_host(index, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    fleet.paused.discard(index)
    if index not in fleet.down:
        fleet.signal_host(index, signal.SIGCONT)


async def crash_server(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Crash a server and restart it with its log, if no other one is down.

    The store learns of both changes from new registrations.
    """
    servers = list(fleet.group.servers.values())
    if any(server.faults.is_down for server in servers):
        return
    server = randomness.choice(servers)
    await server.stop()
    fleet.store.register_all()
    await asyncio.sleep(seconds)
    if server.faults.is_down:
        await server.start()
        fleet.store.register_all()


async def silence_server(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Hold back requests to one server and its answers, then reset."""
    faulty_proxy = _random_server_proxy(fleet, randomness)
    await _inject_proxy_fault(
        faulty_proxy, seconds, holds_requests=True, holds_answers=True
    )


async def lose_answers(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Hold back the answers of one server, then reset its connections."""
    faulty_proxy = _random_server_proxy(fleet, randomness)
    await _inject_proxy_fault(faulty_proxy, seconds, holds_answers=True)


async def slow_server(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Delay the requests to one server and its answers."""
    faulty_proxy = _random_server_proxy(fleet, randomness)
    await _inject_proxy_fault(
        faulty_proxy,
        seconds,
        delay=randomness.uniform(*CHUNK_DELAY_RANGE_SECONDS),
    )


async def reset_server(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    _seconds: float,
) -> None:
    """Reset the connections of one server."""
    _random_server_proxy(fleet, randomness).reset()


async def cut_store(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Hold back the requests of one host to the store."""
    faulty_proxy = randomness.choice(list(fleet.store_proxies.values()))
    await _inject_proxy_fault(faulty_proxy, seconds, holds_requests=True)


async def silence_store(
    fleet: deployment.SoakFleet,
    _randomness: random.Random,
    seconds: float,
) -> None:
    """Let the store hold back all requests."""
    await _inject_store_fault(fleet, seconds, 'is_silent')


async def refuse_store(
    fleet: deployment.SoakFleet,
    _randomness: random.Random,
    seconds: float,
) -> None:
    """Let the store refuse all requests."""
    await _inject_store_fault(fleet, seconds, 'is_busy')


async def lose_store_writes(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    _seconds: float,
) -> None:
    """Let the store apply one to four writes and answer them late."""
    fleet.store.faults.lost_writes = randomness.randint(1, 4)


async def configure(
    fleet: deployment.SoakFleet,
    _randomness: random.Random,
    _seconds: float,
) -> None:
    """Write the next version of the configuration."""
    fleet.configure()


async def restore_store(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
) -> None:
    """Let the store go away and return from a copy of some seconds before."""
    copy = fleet.store.copy()
    await asyncio.sleep(randomness.uniform(0, MAX_COPY_AGE_SECONDS))
    await fleet.store.stop()
    await asyncio.sleep(randomness.uniform(0, MAX_STORE_AWAY_SECONDS))
    fleet.store.restore(copy)
    await fleet.store.start()


# A seed selects faults by position, so another order changes every seed.
FAULTS: tuple[Fault, ...] = (
    kill_host,
    stop_host,
    kill_all,
    pause_host,
    crash_server,
    silence_server,
    lose_answers,
    slow_server,
    reset_server,
    cut_store,
    silence_store,
    refuse_store,
    lose_store_writes,
    configure,
)


class FaultSchedule:
    """Injects random faults that may overlap.

    The store is also restored from a copy `restores` times. Their times come
    from `restore_randomness`, so that the other faults don't depend on them.
    `injected_faults` describes each fault with its name, and its start and
    duration in seconds.
    """

    def __init__(
        self,
        *,
        fleet: deployment.SoakFleet,
        randomness: random.Random,
        restores: int,
        restore_randomness: random.Random,
    ) -> None:
        self._fleet = fleet
        self._random = randomness
        self._restores = restores
        self._restore_random = restore_randomness
        self.injected_faults: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for a time in seconds, and wait for their ends."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        restoring = asyncio.ensure_future(self._restore_store(seconds))
        running_faults: set[asyncio.Task[None]] = set()
        while loop.time() - started_at < seconds:
            duration = self._random.uniform(
                MIN_FAULT_SECONDS, MAX_FAULT_SECONDS
            )
            fault = self._random.choice(FAULTS)
            name = getattr(fault, '__name__', '')
            elapsed = loop.time() - started_at
            self.injected_faults.append(
                f'{elapsed:.2f} {name} for {duration:.2f} s'
            )
            running_faults.add(
                asyncio.ensure_future(
                    fault(self._fleet, self._random, duration),
                ),
            )
            gap = self._random.uniform(
                MIN_GAP_SECONDS,
                MAX_GAP_SECONDS,
            )
            await asyncio.sleep(gap)
        await asyncio.gather(restoring, *running_faults)

    async def _restore_store(self, seconds: float) -> None:
        """Restore the store some times, beside the other faults."""
        randomness = self._restore_random
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for _ in range(self._restores):
            await asyncio.sleep(randomness.uniform(0, seconds / self._restores))
            elapsed = loop.time() - started_at
            self.injected_faults.append(f'{elapsed:.2f} restore_store')
            await restore_store(self._fleet, randomness)


async def _take_down_random_host(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
    seconds: float,
    signal_number: signal.Signals,
) -> None:
    if not fleet.up:
        return
    index = randomness.choice(fleet.up)
    await fleet.take_down(index, signal_number)
    await asyncio.sleep(seconds)
    await fleet.bring_up(index)


def _random_server_proxy(
    fleet: deployment.SoakFleet,
    randomness: random.Random,
) -> proxy.Proxy:
    return randomness.choice(list(fleet.server_proxies.values()))


async def _inject_store_fault(
    fleet: deployment.SoakFleet,
    seconds: float,
    fault: str,
) -> None:
    setattr(fleet.store.faults, fault, True)
    await asyncio.sleep(seconds)
    setattr(fleet.store.faults, fault, False)


async def _inject_proxy_fault(
    faulty_proxy: proxy.Proxy,
    seconds: float,
    **faults: typing.Any,
) -> None:
    faulty_proxy.faults = proxy.ProxyFaults(**faults)
    await asyncio.sleep(seconds)
    if faulty_proxy.faults.holds_answers:
        faulty_proxy.reset()
    faulty_proxy.heal()
