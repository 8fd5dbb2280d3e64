"""Calls from this host to the other hosts of the fleet."""

import asyncio
import typing

from egretstep import clock, errors, identifiers
from egretstep.backends import answers
from egretstep.membership import claims as claims_module
from egretstep.membership import directory
from egretstep.peers import fleet_messages, fleet_schema, links
from egretstep.pooling import work as work_module
from egretstep.settings import deployment
from egretstep.storage import change_feed

CONTROL_SECONDS = 0.4
ANSWER_ALLOWANCE_SECONDS = 0.2
SILENCE_SECONDS = 0.4
LONGEST_PROBE_PAUSE_SECONDS = 8.0
# For answers that are under way when a majority has answered.
GRACE_SECONDS = 0.05
_Reply = typing.TypeVar('_Reply')
_LINK_ERRORS = (errors.LinkError, errors.LinkLostError)


class FleetLinks:
    """Links to all other hosts, opened on use."""

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        time_source: clock.Clock,
    ) -> None:
        self._hosts = hosts
        self._table = links.LinkTable(
            interface=fleet_schema.Host,
            time_source=time_source,
            heartbeat=lambda host: host.heartbeat(),
            heartbeat_timeout=SILENCE_SECONDS,
        )
        self._asking: set[asyncio.Future[typing.Any]] = set()
        self._probing: dict[identifiers.HostName, asyncio.Task[None]] = {}

    async def call(
        self,
        host: identifiers.HostName,
        call: links.Call,
        *,
        timeout: float = CONTROL_SECONDS,
    ) -> typing.Any:
        """Call a host; raises `errors.LinkError` or `errors.LinkLostError`.

        A host that does not answer is avoided until it answers a probe.
        """
        try:
            return await self._link(host).call(call, timeout=timeout)
        except _LINK_ERRORS as error:
            self._avoid(host, str(error))
            raise

    def _avoid(self, host: identifiers.HostName, reason: str) -> None:
        """Avoid a host; no caller's statement finds out whether it is back.

        Load pattern: a host is gone for good, and its row stays.
        """
        self._hosts.suspect(host, reason, seconds=directory.SUSPECT_SECONDS)
        probing = self._probing.get(host)
        if probing is None or probing.done():
            self._probing[host] = asyncio.ensure_future(
                self._probe(host, reason),
            )

    async def _probe(self, host: identifiers.HostName, reason: str) -> None:
        pause = directory.SUSPECT_SECONDS
        longest_call = CONTROL_SECONDS + links.CONNECT_TIMEOUT_SECONDS
        while host in self._hosts.hosts:
            self._hosts.suspect(host, reason, seconds=pause + longest_call)
            await asyncio.sleep(pause)
            if not self._hosts.is_suspected(host) or await self._answers(host):
                self._hosts.trust(host)
                return
            pause = min(pause * 2, LONGEST_PROBE_PAUSE_SECONDS)

    async def _answers(self, host: identifiers.HostName) -> bool:
        try:
            await self._link(host).call(
                lambda remote: remote.heartbeat(),
                timeout=CONTROL_SECONDS,
            )
        except _LINK_ERRORS:
            return False
        return True

    def _link(self, host: identifiers.HostName) -> links.Link:
        known = self._hosts.hosts.get(host)
        if known is None:
            raise errors.LinkError(f'{host} is not registered')
        return self._table.get(known.address.host, known.address.port)

    async def execute(
        self,
        host: identifiers.HostName,
        work: work_module.Work,
    ) -> answers.Answer:
        """Run a statement on another host."""
        fields = fleet_messages.encode_work(work)
        reply = await self.call(
            host,
            lambda remote: remote.execute(work=fields),
            timeout=work.timeout + ANSWER_ALLOWANCE_SECONDS,
        )
        return fleet_messages.decode_answer(reply.result)

    async def release(
        self,
        host: identifiers.HostName,
        pin_id: identifiers.PinId,
    ) -> None:
        """Roll back a transaction; a host that is gone has done so."""
        try:
            await self.call(
                host,
                lambda remote: remote.release(pinId=pin_id),
            )
        except _LINK_ERRORS:
            return

    async def acknowledged(
        self,
        host: identifiers.HostName,
        service: deployment.ServiceName,
    ) -> tuple[int, identifiers.LogPosition] | None:
        """Return the owner's epoch and acknowledged position."""
        try:
            reply = await self.call(
                host,
                lambda remote: remote.acknowledged(service=service),
            )
        except _LINK_ERRORS:
            return None
        if not reply.serving:
            return None
        return reply.epoch, fleet_messages.decode_position(reply.position)

    async def news(
        self,
        host: identifiers.HostName,
        known: change_feed.Versions,
        *,
        wait: float,
    ) -> change_feed.FeedUpdate | None:
        """Ask a host what changed in the store's tables; it may wait a while.

        A host that has no news for lack of the store is not avoided.
        """
        versions = fleet_messages.encode_versions(known)
        try:
            reply = await self._link(host).call(
                lambda remote: remote.news(known=versions),
                timeout=wait
                + change_feed.CONFIRM_TIMEOUT_SECONDS
                + CONTROL_SECONDS,
                is_long_poll=True,
            )
        except _LINK_ERRORS:
            return None
        return fleet_messages.decode_feed_update(reply)

    async def reaches(self, host: identifiers.HostName) -> bool:
        """Tell whether this host gets an answer from another one."""
        try:
            await self.call(host, lambda remote: remote.heartbeat())
        except _LINK_ERRORS:
            return False
        return True

    async def is_lost(self, host: identifiers.HostName) -> bool:
        """Tell whether a majority answers that most can't reach a host.

        Where no majority answers, this host is cut off as well.
        """
        asked = [each for each in self._hosts.others() if each != host]
        known = await self._gather_majority(
            self._ask_reaches(each, host) for each in asked
        )
        if len(known) < self.majority():
            return False
        return sum(known) * 2 <= len(known)

    async def confirm(
        self,
        claims: typing.Sequence[claims_module.Claim],
    ) -> list[typing.Sequence[claims_module.Claim]]:
        """Return, for each host that answered, the later claims it knows.

        All hosts are asked; a majority does not wait long for the others.
        """
        fields = [fleet_messages.encode_claim(claim) for claim in claims]
        return await self._gather_majority(
            self._ask_confirm(each, fields) for each in self._hosts.others()
        )

    def majority(self) -> int:
        """Return how many other hosts make a majority with this one."""
        return (len(self._hosts.others()) + 1) // 2

    async def _gather_majority(
        self,
        calls: typing.Iterable[typing.Coroutine[None, None, _Reply | None]],
    ) -> list[_Reply]:
        """Return the replies that came until shortly after a majority."""
        pending = {asyncio.ensure_future(call) for call in calls}
        self._asking |= pending
        for asking in pending:
            asking.add_done_callback(self._asking.discard)
        replies: list[_Reply] = []
        while pending:
            is_enough = len(replies) >= self.majority()
            done, pending = await asyncio.wait(
                pending,
                timeout=GRACE_SECONDS if is_enough else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            answered = [asking.result() for asking in done]
            replies.extend(reply for reply in answered if reply is not None)
        return replies

    async def _ask_confirm(
        self,
        host: identifiers.HostName,
        fields: list[dict[str, typing.Any]],
    ) -> typing.Sequence[claims_module.Claim] | None:
        try:
            reply = await self.call(
                host,
                lambda remote: remote.confirm(claims=fields),
            )
        except _LINK_ERRORS:
            return None
        if not reply.confirmed:
            return None
        return [fleet_messages.decode_claim(each) for each in reply.newer]

    async def _ask_reaches(
        self,
        host: identifiers.HostName,
        other: identifiers.HostName,
    ) -> bool | None:
        try:
            reply = await self.call(
                host,
                lambda remote: remote.reaches(host=other),
                timeout=CONTROL_SECONDS * 2,
            )
        except _LINK_ERRORS:
            return None
        return reply.reached
