"""Brings settings to this host and keeps them confirmed.

Witnesses read the table service; while it does not answer they ask each
other. All other hosts learn of versions and confirmations from the probes
of their agents, and fetch a record from the peer that told of it.
"""

import asyncio
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.membership import gossip as gossip_module
from egretstep.membership import members
from egretstep.settings import freshness, records
from egretstep.storage import interfaces

SETTINGS_KEY = 'egretstep/settings'
POLL_SECONDS = 0.5
ASK_TIMEOUT_SECONDS = 0.4
PUSH_TIMEOUT_SECONDS = 1.0
_logger = logbook.Logger('settings')


class Distribution:
    """Follows the table service, the witnesses and the peers."""

    def __init__(
        self,
        *,
        keeper: freshness.SettingsKeeper,
        table: members.MemberTable,
        gossip: gossip_module.Gossip,
        service: interfaces.TableService,
        time_source: clock.Clock,
    ) -> None:
        self._keeper = keeper
        self._table = table
        self._gossip = gossip
        self._service = service
        self._clock = time_source
        self._store_answers = True

    async def run(self) -> None:
        """Confirm the settings again and again until cancelled."""
        while True:
            if self._is_source():
                await self._confirm()
            await asyncio.sleep(POLL_SECONDS)

    async def on_vouch(
        self,
        sender: members.Member,
        vouch: freshness.Vouch,
        asked_at: float,
    ) -> None:
        """Take in what a peer says about its settings."""
        if vouch.version > self._keeper.version:
            await self.fetch_from(sender)
        self._keeper.confirm_by_peer(vouch=vouch, asked_at=asked_at)

    async def fetch_from(self, member: members.Member) -> None:
        """Fetch a later record from a peer; failures are left to repair."""
        try:
            answer = await self._gossip.link_to(member).call(
                lambda agent: agent.fetchSettings(
                    knownVersion=self._keeper.version,
                ),
                timeout=PUSH_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return
        if answer.versioned.version > self._keeper.version:
            self._adopt(bytes(answer.versioned.record))

    async def refresh_from_store(self) -> None:
        """Read the table service once; raises `errors.PlatformError`."""
        asked_at = self._clock.now()
        row = await self._service.read(SETTINGS_KEY)
        if row.body is None:
            return
        record = records.Record.model_validate(row.body)
        self._adopt(records.encode(record))
        self._keeper.confirm(version=record.settings_version, at=asked_at)

    async def push(
        self,
        *,
        data: bytes,
        hosts: typing.Iterable[str],
    ) -> frozenset[str]:
        """Give a record to hosts; returns those that hold it now."""
        names = list(hosts)
        held = await asyncio.gather(
            *(self._push_to(name, data) for name in names),
        )
        return frozenset(
            name for name, done in zip(names, held, strict=True) if done
        )

    def _is_source(self) -> bool:
        record = self._keeper.record
        if record is None or not record.witnesses:
            return True
        return self._table.own.host in record.witnesses

    async def _confirm(self) -> None:
        try:
            await self.refresh_from_store()
        except errors.PlatformError as error:
            self._note_store(answers=False, reason=str(error))
            await self._ask_witnesses()
        else:
            self._note_store(answers=True)

    async def _ask_witnesses(self) -> None:
        record = self._keeper.record
        if record is None:
            return
        asked_at = self._clock.now()
        own = self._table.own.host
        others = [name for name in record.witnesses if name != own]
        answers = await asyncio.gather(*map(self._ask_version, others))
        versions = [version for version in answers if version is not None]
        if own in record.witnesses:
            versions.append(self._keeper.version)
        self._keeper.confirm_by_witnesses(versions=versions, asked_at=asked_at)

    async def _ask_version(
        self,
        host: str,
    ) -> identifiers.SettingsVersion | None:
        member = self._table.get(identifiers.HostName(host))
        if member is None:
            return None
        try:
            answer = await self._gossip.link_to(member).call(
                lambda agent: agent.witnessVersion(),
                timeout=ASK_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return None
        if answer.version > self._keeper.version:
            await self.fetch_from(member)
        return answer.version

    async def _push_to(self, host: str, data: bytes) -> bool:
        if host == self._table.own.host:
            self._adopt(data)
            return True
        member = self._table.get(identifiers.HostName(host))
        if member is None:
            return False
        version = records.decode(data).version
        try:
            answer = await self._gossip.link_to(member).call(
                lambda agent: agent.pushSettings(
                    versioned={'version': version, 'record': data},
                ),
                timeout=PUSH_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return False
        return answer.version >= version

    def _adopt(self, data: bytes) -> None:
        if self._keeper.adopt(data):
            _logger.info('settings version {} in force', self._keeper.version)

    def _note_store(self, *, answers: bool, reason: str = '') -> None:
        if answers != self._store_answers:
            self._store_answers = answers
            state = 'answers again' if answers else f'is down: {reason}'
            _logger.warning('the table service {}', state)
