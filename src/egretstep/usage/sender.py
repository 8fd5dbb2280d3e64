"""Sends the counts of this host to the holder of the usage task.

The counts are cumulative, so that a message may be repeated or lost. A new
holder is sent all recent windows. The holder copies its own counts to a backup
host, since they would be lost with it: each host passes on what it keeps of
others to the next holder.

Load pattern: many hosts send at the same time; the interval grows with their
number, so that the holder gets at most `MAX_MESSAGES_PER_SECOND`.
"""

import asyncio
import dataclasses
import random

import logbook

from egretstep import clock, errors, identifiers
from egretstep.membership import (
    claims,
    directory,
    fleet_links,
    leases,
    rendezvous,
)
from egretstep.peers import usage_messages
from egretstep.usage import (
    collector,
    counter,
    fleet_time,
    reporter,
    window_clock,
)

MIN_INTERVAL_SECONDS = 1.0
MAX_MESSAGES_PER_SECOND = 300
INTERVAL_SPREAD = 0.1
FLUSH_RETRY_SECONDS = 0.05
# A longer call says too little about the time at which it was answered.
MAX_TIME_CALL_SECONDS = 0.2
_logger = logbook.Logger('usage')


@dataclasses.dataclass(kw_only=True, slots=True)
class _Delivery:
    """What a receiver has: the sum of each process's counts for a window.

    A receiver is a host, with the epoch of the holder.
    """

    receiver: tuple[identifiers.HostName, int]
    is_known: bool = False
    sums: dict[tuple[collector.Source, int], int] = dataclasses.field(
        default_factory=dict
    )

    def changed(self, counts: collector.SourceCounts) -> collector.SourceCounts:
        """Return the counts that the receiver does not have.

        Those that this host no longer keeps are forgotten.
        """
        self.sums = {key: self.sums[key] for key in counts if key in self.sums}
        return {
            key: dict(each)
            for key, each in counts.items()
            if self.sums.get(key) != sum(each.values())
        }

    def mark(self, sent: collector.SourceCounts) -> None:
        """Note that the receiver has the counts that were sent."""
        self.is_known = True
        for key, each in sent.items():
            self.sums[key] = sum(each.values())


class UsageSender:
    """Sends counts while they change, and serves those of other hosts."""

    def __init__(
        self,
        *,
        counts: counter.UsageCounter,
        collected: collector.UsageCollector,
        usage_reporter: reporter.UsageReporter,
        windows: window_clock.WindowClock,
        hosts: directory.Directory,
        keeper: leases.LeaseKeeper,
        peers: fleet_links.FleetLinks,
        time_source: clock.Clock,
    ) -> None:
        self._counter = counts
        self._collector = collected
        self._reporter = usage_reporter
        self._windows = windows
        self._hosts = hosts
        self._keeper = keeper
        self._peers = peers
        self._clock = time_source
        self._fleet_time = fleet_time.FleetTime(time_source=time_source)
        self._deliveries: dict[str, _Delivery] = {}

    async def run(self) -> None:
        """Send in intervals until cancelled."""
        while True:
            spread = random.uniform(1 - INTERVAL_SPREAD, 1 + INTERVAL_SPREAD)
            await asyncio.sleep(interval_seconds(self._hosts) * spread)
            self._windows.check()
            await self.send()

    async def flush(self, timeout: float) -> None:
        """Send what is left before this host ends, for some seconds at most."""
        try:
            async with asyncio.timeout(timeout):
                while not await self.send():
                    await asyncio.sleep(FLUSH_RETRY_SECONDS)
        except TimeoutError:
            _logger.warning('the last counts of usage could not be sent')

    async def send(self) -> bool:
        """Send the changed counts; return whether the holder has them all."""
        claim = self._keeper.known.get(reporter.TASK)
        if not self._reporter.is_serving:
            self._discard_old()
        counts = self._own_counts()
        if claim is None:
            return False
        if claim.host == self._hosts.own.host:
            return await self._record_here(claim, counts)
        return await self._deliver(
            'holder',
            claim.host,
            claim.epoch,
            {
                **self._copies(claim),
                **counts,
            },
        )

    def accept(
        self, call: usage_messages.UsageCall
    ) -> usage_messages.UsageReply:
        """Take the counts that another host sent.

        Also a host that is not the holder keeps them, for the next holder.
        """
        self._collector.record(call.counts)
        self._reporter.learn_recorded(call.recorded_until)
        self._fleet_time.record(call.caller, time_of_day=call.time_of_day)
        return usage_messages.UsageReply(
            is_serving=self._reporter.is_serving,
            recorded_until=self._reporter.recorded_until,
            fleet_time=self._fleet_time.now(),
        )

    def _own_counts(self) -> collector.SourceCounts:
        own = self._hosts.own
        return {
            ((own.host, own.boot), window): counts
            for window, counts in self._counter.recent().items()
        }

    def _copies(self, claim: claims.Claim) -> collector.SourceCounts:
        """Return the kept counts of others, except those of the holder."""
        holder = (claim.host, claim.boot)
        return {
            key: counts
            for key, counts in self._collector.held.items()
            if key[0] != holder
        }

    async def _record_here(
        self, claim: claims.Claim, counts: collector.SourceCounts
    ) -> bool:
        own = self._hosts.own.host
        self._fleet_time.record(own, time_of_day=self._windows.time_of_day)
        self._correct_clock(self._fleet_time.now())
        if not self._reporter.is_serving:
            return False
        delivery = self._delivery('holder', (own, claim.epoch))
        changed = delivery.changed(counts)
        self._collector.record(changed)
        delivery.mark(changed)
        backup = self._backup_host()
        if backup is not None:
            await self._deliver('backup', backup, claim.epoch, counts)
        return True

    def _backup_host(self) -> identifiers.HostName | None:
        own = self._hosts.own.host
        names = [each.host for each in self._hosts.usable() if each.host != own]
        return rendezvous.best(key=own, hosts=names) if names else None

    async def _deliver(
        self,
        role: str,
        host: identifiers.HostName,
        epoch: int,
        counts: collector.SourceCounts,
    ) -> bool:
        """Send the counts that a host does not have; return whether it did."""
        delivery = self._delivery(role, (host, epoch))
        changed = delivery.changed(counts)
        if delivery.is_known and not changed:
            return True
        reply = await self._call(host, changed)
        if reply is None or not (reply.is_serving or role == 'backup'):
            return False
        delivery.mark(changed)
        self._reporter.learn_recorded(reply.recorded_until)
        return True

    async def _call(
        self, host: identifiers.HostName, counts: collector.SourceCounts
    ) -> usage_messages.UsageReply | None:
        called_at = self._clock.now()
        fields = usage_messages.encode_call(
            usage_messages.UsageCall(
                caller=self._hosts.own.host,
                counts=counts,
                recorded_until=self._reporter.recorded_until,
                time_of_day=self._windows.time_of_day,
            ),
        )
        try:
            reply = await self._peers.call(
                host, lambda remote: remote.reportUsage(**fields)
            )
        except (errors.LinkError, errors.LinkLostError) as error:
            _logger.info('counts of usage are sent again: {}', error)
            return None
        decoded = usage_messages.decode_reply(reply)
        call_seconds = self._clock.now() - called_at
        if decoded.is_serving and call_seconds < MAX_TIME_CALL_SECONDS:
            self._correct_clock(decoded.fleet_time)
        return decoded

    def _correct_clock(self, fleet_now: float | None) -> None:
        if fleet_now is not None:
            self._windows.correct(fleet_now)

    def _delivery(
        self, role: str, receiver: tuple[identifiers.HostName, int]
    ) -> _Delivery:
        delivery = self._deliveries.get(role)
        if delivery is None or delivery.receiver != receiver:
            delivery = _Delivery(receiver=receiver)
            self._deliveries[role] = delivery
        return delivery

    def _discard_old(self) -> None:
        oldest = self._windows.now() - counter.RETENTION_SECONDS
        self._collector.discard_until(
            int(oldest // self._windows.window_seconds) - 1
        )


def interval_seconds(hosts: directory.Directory) -> float:
    """Return the time between two messages of a host."""
    return max(MIN_INTERVAL_SECONDS, len(hosts.hosts) / MAX_MESSAGES_PER_SECOND)
