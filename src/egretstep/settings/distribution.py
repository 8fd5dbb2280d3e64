"""Distribution of settings to this host, and their confirmation.

Witnesses read the table service, and query each other while it does not
answer. The agents of all other hosts learn of versions and confirmations by
gossip, and fetch a record from the peer that announced it.
"""

import asyncio
import typing

import logbook
import pydantic

from egretstep import clock, errors, identifiers
from egretstep.membership import gossip as gossip_module
from egretstep.membership import members
from egretstep.settings import freshness, records
from egretstep.storage import interfaces

SETTINGS_KEY = 'egretstep/settings'
POLL_INTERVAL_SECONDS = 0.5
VERSION_TIMEOUT_SECONDS = 0.4
RECORD_TIMEOUT_SECONDS = 1.0
_logger = logbook.Logger('settings')


class Distribution:
    """Keeps the settings up to date from the store, witnesses and peers."""

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
        self._is_store_up = True

    async def run(self) -> None:
        """Confirm the settings at an interval until cancelled.

        A host that holds a record and is not one of its witnesses only
        relies on gossip.
        """
        while True:
            if self._reads_store():
                await self._confirm()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def on_vouch(
        self,
        sender: members.Member,
        vouch: freshness.Vouch,
        sent_at: float,
    ) -> None:
        """Process a peer's statement about its settings version.

        `sent_at` is the monotonic time before the request to the peer.
        """
        if vouch.version > self._keeper.version:
            await self.fetch_from(sender)
        self._keeper.confirm_by_peer(vouch=vouch, sent_at=sent_at)

    async def fetch_from(self, member: members.Member) -> None:
        """Fetch and adopt a peer's record if it is later.

        A link failure is ignored; later gossip announces the record again.
        """
        try:
            answer = await self._gossip.link_to(member).call(
                lambda agent: agent.fetchSettings(
                    knownVersion=self._keeper.version,
                ),
                timeout=RECORD_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return
        if answer.versioned.version > self._keeper.version:
            self._adopt(bytes(answer.versioned.record))

    async def refresh_from_store(self) -> None:
        """Adopt and confirm the record in the table service.

        Raises `errors.PlatformError` if the table service does not answer, or
        holds a malformed record.
        """
        sent_at = self._clock.now()
        row = await self._service.read(SETTINGS_KEY)
        if row.body is None:
            return
        record = _decode_record(row.body)
        self._adopt(records.encode(record))
        self._keeper.confirm(version=record.settings_version, at=sent_at)

    async def push(
        self,
        *,
        data: bytes,
        hosts: typing.Iterable[str],
    ) -> frozenset[str]:
        """Send an encoded record to hosts; returns those that hold it now."""
        names = list(hosts)
        results = await asyncio.gather(
            *(self._push_to(name, data) for name in names),
        )
        return frozenset(
            name
            for name, is_held in zip(names, results, strict=True)
            if is_held
        )

    def _reads_store(self) -> bool:
        record = self._keeper.record
        if record is None or not record.witnesses:
            return True
        return self._table.own.host in record.witnesses

    async def _confirm(self) -> None:
        try:
            await self.refresh_from_store()
        except errors.PlatformError as error:
            self._log_store_transition(is_up=False, reason=str(error))
            await self._confirm_by_witnesses()
        else:
            self._log_store_transition(is_up=True)

    async def _confirm_by_witnesses(self) -> None:
        record = self._keeper.record
        if record is None:
            return
        sent_at = self._clock.now()
        own = self._table.own.host
        others = [name for name in record.witnesses if name != own]
        answers = await asyncio.gather(*map(self._fetch_version, others))
        versions = [version for version in answers if version is not None]
        if own in record.witnesses:
            versions.append(self._keeper.version)
        self._keeper.confirm_by_witnesses(versions=versions, sent_at=sent_at)

    async def _fetch_version(
        self,
        host: str,
    ) -> identifiers.SettingsVersion | None:
        member = self._table.get(identifiers.HostName(host))
        if member is None:
            return None
        try:
            answer = await self._gossip.link_to(member).call(
                lambda agent: agent.witnessVersion(),
                timeout=VERSION_TIMEOUT_SECONDS,
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
                timeout=RECORD_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            return False
        return answer.version >= version

    def _adopt(self, data: bytes) -> None:
        try:
            is_later = self._keeper.adopt(data)
        except ValueError as error:
            _logger.error(
                'a malformed settings record is ignored, version {} stays: {}',
                self._keeper.version,
                error,
            )
            return
        if is_later:
            _logger.info(
                'settings version {} is in force', self._keeper.version
            )

    def _log_store_transition(self, *, is_up: bool, reason: str = '') -> None:
        if is_up != self._is_store_up:
            self._is_store_up = is_up
            state = 'answers again' if is_up else f'is down: {reason}'
            _logger.warning('the table service {}', state)


def _decode_record(body: typing.Any) -> records.Record:
    try:
        return records.Record.model_validate(body)
    except pydantic.ValidationError as error:
        raise errors.PlatformError(
            f'{SETTINGS_KEY} of the table service is malformed: {error}; '
            'write valid settings with the command line',
        ) from error
