"""Calls to the voters, which confirm claims and tell which hosts are lost."""

import asyncio
import dataclasses
import typing

from egretstep import identifiers
from egretstep.membership import claims as claims_module
from egretstep.membership import directory, fleet_links, voters
from egretstep.peers import fleet_messages

# How long to wait for further replies once a quorum has answered.
STRAGGLER_WAIT_SECONDS = 0.05
_Reply = typing.TypeVar('_Reply')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ConfirmReply:
    """The answer of a host; `newer` is None if it does not confirm."""

    newer: typing.Sequence[claims_module.Claim] | None
    voter_epoch: int


class QuorumCalls:
    """Calls to the voters that this host has adopted.

    One set of voters counts for all answers to a call, also if another one is
    adopted meanwhile. A voter that knows a later set does not confirm.
    Long after the last news of the store, only all voters are a quorum.
    """

    def __init__(
        self,
        *,
        hosts: directory.Directory,
        links: fleet_links.FleetLinks,
        known_voters: voters.KnownVoters,
    ) -> None:
        self._hosts = hosts
        self._links = links
        self._voters = known_voters
        self._pending_calls: set[asyncio.Future[typing.Any]] = set()

    async def reaches(self, host: identifiers.HostName) -> bool:
        """Return whether another host answers this one."""
        return await self._links.reaches(host)

    async def is_lost(self, host: identifiers.HostName) -> bool:
        """Return whether at most half of the answering voters reach a host.

        Returns False if less than a quorum answers, because this host may then
        be the one that is cut off.
        """
        current = self._voters.current
        if current is None:
            return False
        reached = await self._gather_quorum(
            current,
            {
                each: self._request_reaches(each, host)
                for each in self._others(current) - {host}
            },
        )
        if not self._is_quorum(current, reached):
            return False
        return sum(reached.values()) * 2 <= len(reached)

    async def is_reached_by_any(self, host: identifiers.HostName) -> bool:
        """Return whether another voter that answers reaches a host."""
        current = self._voters.current
        queried = self._others(current) - {host} if current else ()
        replies = await asyncio.gather(
            *(self._request_reaches(each, host) for each in queried)
        )
        return any(replies)

    async def confirm(
        self, sent: typing.Sequence[claims_module.Claim]
    ) -> claims_module.Confirmation:
        """Return what the voters know of claims.

        The other hosts are told as well. Once a quorum of the voters has
        answered, the others have only `STRAGGLER_WAIT_SECONDS` left.
        """
        current = self._voters.current
        if current is None:
            return claims_module.Confirmation(newer=(), has_quorum=False)
        may_count = self._voters.is_usable
        fields = [fleet_messages.encode_claim(claim) for claim in sent]
        replies = await self._gather_quorum(
            current,
            {
                each: self._request_newer(each, fields, current.epoch)
                for each in self._others(current) | self._usable_others()
            },
        )
        return claims_module.Confirmation(
            newer=tuple(replies.values()),
            has_quorum=may_count and self._is_quorum(current, replies),
        )

    async def voter_epochs(
        self, queried: typing.Iterable[identifiers.HostName]
    ) -> dict[identifiers.HostName, int]:
        """Return the epoch of the voters that each answering host knows."""
        names = list(queried)
        replies = await asyncio.gather(
            *(self._request_confirm(each, [], 0) for each in names)
        )
        return {
            host: reply.voter_epoch
            for host, reply in zip(names, replies, strict=True)
            if reply is not None
        }

    def _others(self, current: voters.VoterSet) -> voters.HostNames:
        return current.all_hosts - {self._hosts.own.host}

    def _usable_others(self) -> voters.HostNames:
        usable = frozenset(host.host for host in self._hosts.usable())
        return usable - {self._hosts.own.host}

    def _is_quorum(
        self,
        current: voters.VoterSet,
        replies: typing.Mapping[identifiers.HostName, typing.Any],
    ) -> bool:
        hosts = frozenset((*replies, self._hosts.own.host))
        if self._voters.has_recent_news:
            return current.is_quorum(hosts)
        return current.all_hosts <= hosts

    async def _gather_quorum(
        self,
        current: voters.VoterSet,
        calls: typing.Mapping[
            identifiers.HostName, typing.Coroutine[None, None, _Reply | None]
        ],
    ) -> dict[identifiers.HostName, _Reply]:
        """Return the replies that arrive until shortly after a quorum."""
        replies: dict[identifiers.HostName, _Reply] = {}
        pending = {
            asyncio.ensure_future(_add_reply(replies, host, call))
            for host, call in calls.items()
        }
        self._pending_calls |= pending
        for each in pending:
            each.add_done_callback(self._pending_calls.discard)
        while pending:
            has_quorum = self._is_quorum(current, replies)
            done, pending = await asyncio.wait(
                pending,
                timeout=STRAGGLER_WAIT_SECONDS if has_quorum else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
        # Later replies are not counted.
        return dict(replies)

    async def _request_newer(
        self,
        host: identifiers.HostName,
        fields: list[dict[str, typing.Any]],
        epoch: int,
    ) -> typing.Sequence[claims_module.Claim] | None:
        reply = await self._request_confirm(host, fields, epoch)
        return reply.newer if reply else None

    async def _request_confirm(
        self,
        host: identifiers.HostName,
        fields: list[dict[str, typing.Any]],
        epoch: int,
    ) -> _ConfirmReply | None:
        try:
            reply = await self._links.call(
                host,
                lambda remote: remote.confirm(claims=fields, voterEpoch=epoch),
            )
            newer = fleet_links.decode_reply(
                host, fleet_messages.decode_claims, reply.newer
            )
        except fleet_links.LINK_ERRORS:
            return None
        return _ConfirmReply(
            newer=newer if reply.confirmed else None,
            voter_epoch=reply.voterEpoch,
        )

    async def _request_reaches(
        self,
        host: identifiers.HostName,
        other: identifiers.HostName,
    ) -> bool | None:
        try:
            reply = await self._links.call(
                host,
                lambda remote: remote.reaches(host=other),
                timeout=fleet_links.CONTROL_TIMEOUT_SECONDS * 2,
            )
        except fleet_links.LINK_ERRORS:
            return None
        return reply.reached


async def _add_reply(
    replies: dict[identifiers.HostName, _Reply],
    host: identifiers.HostName,
    call: typing.Coroutine[None, None, _Reply | None],
) -> None:
    reply = await call
    if reply is not None:
        replies[host] = reply
