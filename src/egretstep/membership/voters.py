"""The voters: the hosts whose majorities confirm leases without the store.

Each voter set has an epoch and is stored in one row. Hosts join and leave it
through a joint set, of which a majority of the former and of the next voters
is needed. The set that follows is written only when no quorum of the former
set can form any more, because enough of its voters know of a later one and
refuse its epoch. `specifications/voters.py` models these rules.

If half of the voters or more are lost at once, no change can be completed that
way. One that is left then forces a set of the hosts that run. It counts only
after all others must have noticed it or stopped: a host that has had no news of
the store for `MAX_STORE_SILENCE_SECONDS` needs the confirmation of all voters,
and the writer of the forced set gives it to no earlier set any more.
"""

import collections
import dataclasses
import itertools
import typing

import logbook
import orjson

from egretstep import clock, errors, identifiers, json_fields
from egretstep.membership import directory, fencing
from egretstep.storage import tables

# A table is read in the order of its keys. A set is adopted together with the
# claims that were stored before it, so its key comes before theirs.
KEY = 'quorum/voters'
# In a larger fleet, more voters cost calls and tolerate no other losses.
MAX_VOTERS = 31
MAX_STORE_SILENCE_SECONDS = 30.0
# News of the store may be older than their arrival by the time of a poll, and a
# lease may last on after it.
FORCED_WAIT_MARGIN_SECONDS = 5.0
FORCED_WAIT_SECONDS = (
    MAX_STORE_SILENCE_SECONDS
    + tables.LONGEST_WAIT_SECONDS
    + tables.POLL_ANSWER_SECONDS
    + FORCED_WAIT_MARGIN_SECONDS
)
_logger = logbook.Logger('voters')

HostNames = frozenset[identifiers.HostName]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoterSet:
    """The voters in an epoch.

    `groups` holds the voters; during a change it holds the former and the next
    ones, and a quorum needs a majority of each group. `former_groups` are the
    groups of the epoch before; a set that `is_forced` has none.

    >>> hosts = frozenset('abc')
    >>> voters = VoterSet(epoch=1, groups=(hosts, frozenset('cd')))
    >>> voters.is_quorum(frozenset('ac'))
    False
    >>> voters.is_quorum(frozenset('acd'))
    True
    """

    epoch: int
    groups: tuple[HostNames, ...]
    former_groups: tuple[HostNames, ...] = ()
    is_forced: bool = False

    @property
    def is_joint(self) -> bool:
        """Return whether the set is in the middle of a change."""
        return len(self.groups) > 1

    @property
    def target(self) -> HostNames:
        """Return the voters once the change, if any, is complete."""
        return self.groups[-1]

    @property
    def all_hosts(self) -> HostNames:
        """Return the hosts of all groups."""
        return frozenset(itertools.chain.from_iterable(self.groups))

    def is_quorum(self, hosts: HostNames) -> bool:
        """Return whether hosts are a majority of each group."""
        return all(_is_majority(hosts, group) for group in self.groups)

    def is_former_blocked(self, hosts: HostNames) -> bool:
        """Return whether the former set has no quorum without these hosts."""
        return not self.former_groups or _block(hosts, self.former_groups)

    def may_be_changed_by(self, hosts: HostNames) -> bool:
        """Return whether hosts that reach each other can complete a change.

        They have to be so many that no quorum can form without them.
        """
        return _block(hosts, self.groups)

    def may_be_forced_by(self, host: identifiers.HostName) -> bool:
        """Return whether no host can get the votes of all without this one.

        That goes for the former set as well, in which hosts may still be.
        """
        return all(
            host in group for group in (*self.groups, *self.former_groups)
        )

    def next_step(
        self, target: HostNames, informed: HostNames, epoch: int
    ) -> 'VoterSet | None':
        """Return the set that leads towards `target`, with the given epoch.

        `informed` are the hosts that know this set. Returns None while these
        are too few. The next set shares a group with this one, so that any two
        quorums of both have a host in common.
        """
        if not self.is_former_blocked(informed):
            return None
        if not self.is_joint:
            return self._followed_by(epoch, self.target, target)
        complete = self._followed_by(epoch, self.target)
        if complete.is_quorum(informed):
            return complete
        if target == self.target:
            return None
        return self._followed_by(epoch, self.groups[0], target)

    def _followed_by(self, epoch: int, *groups: HostNames) -> 'VoterSet':
        return VoterSet(epoch=epoch, groups=groups, former_groups=self.groups)


def _is_majority(hosts: HostNames, group: HostNames) -> bool:
    return len(hosts & group) * 2 > len(group)


def _block(hosts: HostNames, groups: typing.Iterable[HostNames]) -> bool:
    return any(len(hosts & group) * 2 >= len(group) for group in groups)


def choose(
    candidates: typing.Iterable[directory.Host], current: HostNames
) -> HostNames:
    """Return the hosts that should vote, from all availability zones alike.

    Current voters are preferred within their zone.
    """
    by_zone: dict[identifiers.ZoneName, list[directory.Host]] = (
        collections.defaultdict(list)
    )
    ordered = sorted(
        candidates, key=lambda each: (each.host not in current, each.host)
    )
    for host in ordered:
        by_zone[host.zone].append(host)
    rounds = itertools.zip_longest(*by_zone.values())
    ranked = (each for each in itertools.chain(*rounds) if each is not None)
    return frozenset(host.host for host in itertools.islice(ranked, MAX_VOTERS))


def encode(voters: VoterSet) -> bytes:
    """Encode a set as the content of its row."""
    return orjson.dumps({
        'epoch': voters.epoch,
        'groups': [sorted(group) for group in voters.groups],
        'former_groups': [sorted(group) for group in voters.former_groups],
        'is_forced': voters.is_forced,
    })


def decode_row(row: tables.Row) -> VoterSet | None:
    """Decode a row; None if it holds no set that a host can have written."""
    if not row.content:
        return None
    try:
        voters = _decode(json_fields.JsonFields.decode(row.content))
    except errors.MalformedFieldError as error:
        _logger.warning('malformed voters in the store are ignored: {}', error)
        return None
    is_own = fencing.is_own_row(row, key=KEY, number=voters.epoch)
    return voters if is_own else None


def _decode(fields: json_fields.JsonFields) -> VoterSet:
    groups = _decode_groups(fields, 'groups')
    if not groups or not all(groups):
        raise errors.MalformedFieldError('a voter set needs voters')
    return VoterSet(
        epoch=fields.integer('epoch'),
        groups=groups,
        former_groups=_decode_groups(fields, 'former_groups'),
        is_forced=fields.flag('is_forced', default=False),
    )


def _decode_groups(
    fields: json_fields.JsonFields, name: str
) -> tuple[HostNames, ...]:
    return tuple(
        frozenset(identifiers.HostName(host) for host in group)
        for group in fields.name_lists(name)
    )


class KnownVoters:
    """The latest voter set that this host has adopted from the store.

    `store_silence` returns for how many seconds this host has had no news of
    the store.
    """

    def __init__(
        self,
        *,
        store_silence: typing.Callable[[], float],
        time_source: clock.Clock,
    ) -> None:
        self._store_silence = store_silence
        self._clock = time_source
        self._current: VoterSet | None = None
        self._adopted_at = 0.0
        self._promised_epoch = 0
        self._is_lost_from_store = False

    @property
    def current(self) -> VoterSet | None:
        """Return the latest set, None if none is known."""
        return self._current

    @property
    def epoch(self) -> int:
        """Return the epoch of the latest set, zero if none is known."""
        return self._current.epoch if self._current else 0

    @property
    def has_recent_news(self) -> bool:
        """Return whether no other host can have forced a set that counts."""
        return self._store_silence() <= MAX_STORE_SILENCE_SECONDS

    @property
    def is_usable(self) -> bool:
        """Return whether quorums of the latest set count."""
        if self._current is None or self._promised_epoch > self.epoch:
            return False
        if not self._current.is_forced:
            return True
        # Another host may have taken over a task during the wait. So this one
        # needs news of the store from after it, which brings the claim.
        news_at = self._clock.now() - self._store_silence()
        return news_at - self._adopted_at >= FORCED_WAIT_SECONDS

    @property
    def has_promised(self) -> bool:
        """Return whether this host waits for the set that it has forced."""
        return self._promised_epoch > self.epoch

    @property
    def takeover_delay(self) -> float:
        """Return for how many seconds no lost holder of a task is replaced.

        That is so until a forced set counts. Zero otherwise.
        """
        if self._current is None or self.is_usable:
            return 0
        elapsed = self._clock.now() - self._adopted_at
        return max(0.0, FORCED_WAIT_SECONDS - elapsed)

    def promise(self, epoch: int) -> None:
        """Vote in no earlier epoch, also if this one is never written."""
        self._promised_epoch = max(self._promised_epoch, epoch)

    def accepts(self, caller_epoch: int) -> bool:
        """Return whether this host votes for a caller with a set."""
        return caller_epoch >= max(self.epoch, self._promised_epoch)

    @property
    def is_lost_from_store(self) -> bool:
        """Return whether the store has no set or, restored, an earlier one."""
        return self._is_lost_from_store

    def update(self, rows: typing.Mapping[str, tables.Row]) -> None:
        """Adopt the set in the rows of the store, if it is a later one.

        The caller merges the claims in the rows at the same time.
        """
        row = rows.get(KEY)
        stored = decode_row(row) if row else None
        stored_epoch = stored.epoch if stored else 0
        if stored is not None and stored_epoch > self.epoch:
            self._current = stored
            self._adopted_at = self._clock.now()
            _logger.info(
                'voters of epoch {}: {}{}',
                stored.epoch,
                ', then '.join(
                    ' '.join(sorted(group)) for group in stored.groups
                ),
                (
                    f'; forced, so that they count in {FORCED_WAIT_SECONDS} s'
                    if stored.is_forced
                    else ''
                ),
            )
        self._is_lost_from_store = stored_epoch < self.epoch
