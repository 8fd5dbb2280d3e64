"""Faults that strike the deployment, several at a time, drawn from a seed."""

import asyncio
import random
import signal
import typing

from soak import deployment, proxy

SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 4.0
SHORTEST_GAP_SECONDS = 0.2
LONGEST_GAP_SECONDS = 1.6
CHUNK_DELAY_SECONDS = (0.02, 0.25)

Strike = typing.Callable[
    [deployment.SoakedFleet, random.Random, float],
    typing.Awaitable[None],
]


async def kill_host(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """SIGKILL one host, and start it again."""
    await _down(fleet, randomness, seconds, signal.SIGKILL)


async def stop_host(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """SIGTERM one host, and start it again."""
    await _down(fleet, randomness, seconds, signal.SIGTERM)


async def kill_all(
    fleet: deployment.SoakedFleet,
    _randomness: random.Random,
    seconds: float,
) -> None:
    """SIGKILL all hosts at once, and start them again."""
    indexes = fleet.up
    for index in indexes:
        await fleet.take_down(index, signal.SIGKILL)
    await asyncio.sleep(seconds)
    for index in indexes:
        await fleet.bring_up(index)


async def pause_host(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Let one host stand still."""
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
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Crash a server, unless another one is down; its log stays."""
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
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Hold everything from and to one server."""
    chosen = _any_server(fleet, randomness)
    await _disturb(chosen, seconds, holds_requests=True, holds_answers=True)


async def lose_answers(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Hold the answers of one server, then reset its connections."""
    chosen = _any_server(fleet, randomness)
    await _disturb(chosen, seconds, holds_answers=True)


async def slow_server(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Delay what one server gets and sends."""
    chosen = _any_server(fleet, randomness)
    await _disturb(
        chosen,
        seconds,
        delay=randomness.uniform(*CHUNK_DELAY_SECONDS),
    )


async def reset_server(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    _seconds: float,
) -> None:
    """Reset the connections of one server."""
    _any_server(fleet, randomness).reset()


async def cut_store(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
) -> None:
    """Cut one host off the store."""
    chosen = randomness.choice(list(fleet.store_proxies.values()))
    await _disturb(chosen, seconds, holds_requests=True)


async def silence_store(
    fleet: deployment.SoakedFleet,
    _randomness: random.Random,
    seconds: float,
) -> None:
    """Let the store answer nobody."""
    await _disturb_store(fleet, seconds, 'is_silent')


async def refuse_store(
    fleet: deployment.SoakedFleet,
    _randomness: random.Random,
    seconds: float,
) -> None:
    """Let the store refuse everybody."""
    await _disturb_store(fleet, seconds, 'is_busy')


async def lose_store_writes(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    _seconds: float,
) -> None:
    """Let the store do some writes without an answer."""
    fleet.store.faults.lost_writes = randomness.randint(1, 4)


async def configure(
    fleet: deployment.SoakedFleet,
    _randomness: random.Random,
    _seconds: float,
) -> None:
    """Write the next version of the configuration."""
    fleet.configure()


STRIKES: tuple[Strike, ...] = (
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


class Plan:
    """Strikes drawn from a seed, some of them at the same time."""

    def __init__(
        self,
        *,
        fleet: deployment.SoakedFleet,
        randomness: random.Random,
    ) -> None:
        self._fleet = fleet
        self._random = randomness
        self.struck: list[str] = []

    async def run(self, seconds: float) -> None:
        """Strike until the time is over, and wait for the last ones."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        running: set[asyncio.Task[None]] = set()
        while loop.time() - started < seconds:
            lasts = self._random.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
            strike = self._random.choice(STRIKES)
            name = getattr(strike, '__name__', '')
            moment = loop.time() - started
            self.struck.append(f'{moment:.2f} {name} for {lasts:.2f} s')
            running.add(
                asyncio.ensure_future(
                    strike(self._fleet, self._random, lasts),
                ),
            )
            gap = self._random.uniform(
                SHORTEST_GAP_SECONDS,
                LONGEST_GAP_SECONDS,
            )
            await asyncio.sleep(gap)
        await asyncio.gather(*running)


async def _down(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
    seconds: float,
    number: signal.Signals,
) -> None:
    if not fleet.up:
        return
    index = randomness.choice(fleet.up)
    await fleet.take_down(index, number)
    await asyncio.sleep(seconds)
    await fleet.bring_up(index)


def _any_server(
    fleet: deployment.SoakedFleet,
    randomness: random.Random,
) -> proxy.Proxy:
    return randomness.choice(list(fleet.server_proxies.values()))


async def _disturb_store(
    fleet: deployment.SoakedFleet,
    seconds: float,
    fault: str,
) -> None:
    setattr(fleet.store.faults, fault, True)
    await asyncio.sleep(seconds)
    setattr(fleet.store.faults, fault, False)


async def _disturb(
    chosen: proxy.Proxy,
    seconds: float,
    **disturbance: typing.Any,
) -> None:
    chosen.disturbance = proxy.Disturbance(**disturbance)
    await asyncio.sleep(seconds)
    if chosen.disturbance.holds_answers:
        chosen.reset()
    chosen.heal()
