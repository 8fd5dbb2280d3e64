"""Changes of settings by operators: compare, swap, and wait for witnesses.

A change is accepted when it stands in the table service and a majority of
the witnesses before it and of the witnesses after it hold it. The record
before it is brought to its own majorities first, so that no chain of
changes leaves the witnesses of an accepted record behind.
"""

import asyncio
import uuid

import logbook
from returns import result

from egretstep import errors, identifiers
from egretstep.membership import members, ranking
from egretstep.settings import distribution as distribution_module
from egretstep.settings import freshness, loader, records, schema
from egretstep.storage import interfaces

WITNESS_COUNT = 7
# The least number of which one may be lost.
SAFE_WITNESS_COUNT = 3
READ_BACK_TRIES = 5
READ_BACK_PAUSE_SECONDS = 0.3
_logger = logbook.Logger('settings')


class SettingsChanger:
    """Carries out changes on behalf of operators."""

    def __init__(
        self,
        *,
        keeper: freshness.SettingsKeeper,
        table: members.MemberTable,
        distribution: distribution_module.Distribution,
        service: interfaces.TableService,
    ) -> None:
        self._keeper = keeper
        self._table = table
        self._distribution = distribution
        self._service = service

    async def apply(
        self,
        *,
        text: str,
        expected: int,
        author: str = '',
        comment: str = '',
    ) -> records.Record:
        """Make a text the settings in force and return its record.

        `expected` is the version that the change was made on. Raises
        `errors.SettingsError` for a wrong text, `errors.ConflictError` when
        another version stands, and `errors.PlatformError` when acceptance
        could not be confirmed; the change may then still come into force.
        """
        fleet = self._check(text)
        current = await self._current()
        standing = current.version if current else identifiers.NO_VERSION
        if standing != expected:
            raise errors.ConflictError(
                f'version {standing} stands, not {expected}; look at `egretstep diff` and apply again',
            )
        if current:
            await self._reach_witnesses(current)
        record = records.Record(
            version=expected + 1,
            change_id=uuid.uuid4().hex,
            author=author,
            comment=comment,
            witnesses=self._choose_witnesses(fleet),
            previous_witnesses=current.witnesses if current else (),
            text=text,
            document=fleet.model_dump_json(exclude_defaults=True),
        )
        if len(record.witnesses) < SAFE_WITNESS_COUNT:
            _logger.warning(
                'version {} has only the witnesses {}; while the store is '
                'down, the loss of one leaves no majority; apply again when '
                'all hosts are up',
                record.version,
                record.witnesses,
            )
        await self._swap(record)
        await self._reach_witnesses(record)
        return record

    def _check(self, text: str) -> schema.FleetSettings:
        checked = loader.parse(text=text, model=schema.FleetSettings)
        if isinstance(checked, result.Success):
            return checked.unwrap()
        problems = '\n'.join(str(problem) for problem in checked.failure())
        raise errors.SettingsError(problems)

    async def _current(self) -> records.Record | None:
        row = await self._service.read(distribution_module.SETTINGS_KEY)
        if row.body is None:
            return None
        return records.Record.model_validate(row.body)

    async def _swap(self, record: records.Record) -> None:
        try:
            await self._service.compare_and_swap(
                distribution_module.SETTINGS_KEY,
                expected=record.version - 1,
                body=record.model_dump(mode='json'),
            )
        except errors.PlatformError:
            await self._settle_lost_answer(record)

    async def _settle_lost_answer(self, record: records.Record) -> None:
        for _ in range(READ_BACK_TRIES):
            await asyncio.sleep(READ_BACK_PAUSE_SECONDS)
            try:
                current = await self._current()
            except errors.PlatformError:
                continue
            if current and current.change_id == record.change_id:
                return
            raise errors.ConflictError(
                'the change did not take effect; look at `egretstep diff` '
                'and apply again',
            )
        raise errors.PlatformError(
            'the platform lost the answer to the change; run '
            '`egretstep history` later to see whether it took effect',
        )

    async def _reach_witnesses(self, record: records.Record) -> None:
        everyone = {*record.witnesses, *record.previous_witnesses}
        held = await self._distribution.push(
            data=records.encode(record),
            hosts=sorted(everyone),
        )
        for group in (record.witnesses, record.previous_witnesses):
            _check_majority(group, held)

    def _choose_witnesses(
        self,
        fleet: schema.FleetSettings,
    ) -> tuple[str, ...]:
        if fleet.witnesses:
            return tuple(fleet.witnesses)
        everyone = (*self._table.others(), self._table.own)
        alive = [
            member
            for member in everyone
            if member.state is members.MemberState.ALIVE
        ]
        ranked = ranking.rank(key='witness', hosts=alive)
        return tuple(_spread_over_zones(ranked)[:WITNESS_COUNT])


def _check_majority(
    group: tuple[str, ...],
    held: frozenset[str],
) -> None:
    if group and len(held & set(group)) < records.majority(group):
        raise errors.PlatformError(
            f'only {sorted(held)} of the witnesses {sorted(group)} hold the '
            'change; it is not accepted yet, start the missing hosts and '
            'apply again',
        )


def _spread_over_zones(ranked: list[members.Member]) -> list[str]:
    by_zone: dict[str, list[str]] = {}
    for member in ranked:
        by_zone.setdefault(member.zone, []).append(member.host)
    chosen: list[str] = []
    while any(by_zone.values()):
        chosen.extend(hosts.pop(0) for hosts in by_zone.values() if hosts)
    return chosen
