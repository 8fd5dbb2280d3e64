"""Changes of settings by operators: compare-and-swap, then replication.

A change is accepted once the table service has stored it and it is held by
a majority of its own witnesses and by a majority of the previous record's
witnesses. The previous record is replicated to its own majorities first, so
that a series of changes cannot bypass the witnesses of an accepted record.
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

MAX_WITNESSES = 7
# The smallest number that keeps a majority after the loss of one witness.
MIN_REDUNDANT_WITNESSES = 3
READ_BACK_ATTEMPTS = 5
READ_BACK_PAUSE_SECONDS = 0.3
_logger = logbook.Logger('settings')


class SettingsChanger:
    """Applies the operators' changes of the settings."""

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
        """Put a new version of the settings in force and return its record.

        `text` is the YAML document and `expected` the version that it was
        derived from. Raises `errors.SettingsError` if the text is invalid,
        `errors.ConflictError` if `expected` is not the current version, and
        `errors.PlatformError` if acceptance could not be confirmed; the
        change may then still come into force.
        """
        fleet = self._parse(text)
        current = await self._current()
        current_version = current.version if current else identifiers.NO_VERSION
        if current_version != expected:
            raise errors.ConflictError(
                f'the current version is {current_version}, not {expected}; '
                'check `egretstep diff` and apply again',
            )
        if current:
            await self._replicate_to_witnesses(current)
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
        if len(record.witnesses) < MIN_REDUNDANT_WITNESSES:
            _logger.warning(
                'settings version {} has only the witnesses {}; if one of them '
                'is lost while the table service is down, no majority is '
                'left; apply again when all hosts are up',
                record.version,
                record.witnesses,
            )
        await self._write(record)
        await self._replicate_to_witnesses(record)
        return record

    def _parse(self, text: str) -> schema.FleetSettings:
        parsed = loader.parse(text=text, model=schema.FleetSettings)
        if isinstance(parsed, result.Success):
            return parsed.unwrap()
        problems = '\n'.join(str(problem) for problem in parsed.failure())
        raise errors.SettingsError(problems)

    async def _current(self) -> records.Record | None:
        row = await self._service.read(distribution_module.SETTINGS_KEY)
        if row.body is None:
            return None
        return records.Record.model_validate(row.body)

    async def _write(self, record: records.Record) -> None:
        try:
            await self._service.compare_and_swap(
                distribution_module.SETTINGS_KEY,
                expected=record.version - 1,
                body=record.model_dump(mode='json'),
            )
        except errors.PlatformError:
            await self._read_back(record)

    async def _read_back(self, record: records.Record) -> None:
        for _ in range(READ_BACK_ATTEMPTS):
            await asyncio.sleep(READ_BACK_PAUSE_SECONDS)
            try:
                current = await self._current()
            except errors.PlatformError:
                continue
            if current and current.change_id == record.change_id:
                return
            raise errors.ConflictError(
                'the change did not take effect; check `egretstep diff` '
                'and apply again',
            )
        raise errors.PlatformError(
            'the platform did not confirm the change; run '
            '`egretstep history` later to see whether it took effect',
        )

    async def _replicate_to_witnesses(self, record: records.Record) -> None:
        candidates = {*record.witnesses, *record.previous_witnesses}
        holders = await self._distribution.push(
            data=records.encode(record),
            hosts=sorted(candidates),
        )
        for group in (record.witnesses, record.previous_witnesses):
            _check_majority(group, holders)

    def _choose_witnesses(
        self,
        fleet: schema.FleetSettings,
    ) -> tuple[str, ...]:
        if fleet.witnesses:
            return tuple(fleet.witnesses)
        candidates = (*self._table.others(), self._table.own)
        alive = [
            member
            for member in candidates
            if member.state is members.MemberState.ALIVE
        ]
        ranked = ranking.rank(key='witness', hosts=alive)
        return tuple(_spread_over_zones(ranked)[:MAX_WITNESSES])


def _check_majority(
    group: tuple[str, ...],
    holders: frozenset[str],
) -> None:
    if group and len(holders & set(group)) < records.majority(group):
        raise errors.PlatformError(
            f'only {sorted(holders)} hold the change, but it needs a majority '
            f'of the witnesses {sorted(group)}; it is not accepted yet, start '
            'the missing hosts and apply again',
        )


def _spread_over_zones(ranked: list[members.Member]) -> list[str]:
    by_zone: dict[str, list[str]] = {}
    for member in ranked:
        by_zone.setdefault(member.zone, []).append(member.host)
    chosen: list[str] = []
    while any(by_zone.values()):
        chosen.extend(hosts.pop(0) for hosts in by_zone.values() if hosts)
    return chosen
