"""The settings in force on this host, and when they were last confirmed.

A host may act on its settings only if it was confirmed within the freshness
limit that no later version had been accepted. A confirmation comes from a
consistent read of the table service or, while that is down, from a majority
of the witnesses that the record names. A majority of witnesses suffices
because a change is accepted only when it is held by a majority of the old
and of the new witnesses. Hosts pass confirmations on with their age, so the
settings of a host that is cut off from both sources expire.
"""

import dataclasses

from egretstep import clock, identifiers
from egretstep.settings import records

FRESHNESS_LIMIT_SECONDS = 2.5
NEVER = float('-inf')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vouch:
    """A settings version and the age of its confirmation in seconds."""

    version: identifiers.SettingsVersion
    age: float


class SettingsKeeper:
    """Holds the latest record that this host has received.

    The version never decreases. A new record keeps the confirmation of the
    previous one: if no version after the previous one had been accepted at
    that time, then none after the new one had been either.
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._record: records.Record | None = None
        self._data = b''
        self._confirmed_at = NEVER

    @property
    def record(self) -> records.Record | None:
        """Return the latest record, or None before the first one."""
        return self._record

    @property
    def encoded(self) -> bytes:
        """Return the latest record as encoded for other programs."""
        return self._data

    @property
    def version(self) -> identifiers.SettingsVersion:
        """Return the version of the latest record, zero before the first."""
        if self._record is None:
            return identifiers.NO_VERSION
        return self._record.settings_version

    @property
    def confirmed_at(self) -> float:
        """Return the monotonic time of the last confirmation."""
        return self._confirmed_at

    def vouch(self) -> Vouch:
        """Return this host's version and the age of its confirmation."""
        return Vouch(
            version=self.version,
            age=self._clock.now() - self._confirmed_at,
        )

    def adopt(self, data: bytes) -> bool:
        """Replace the record if `data` is a later one.

        Returns whether it was. Raises `pydantic.ValidationError` if `data`
        is no valid record.
        """
        record = records.decode(data)
        if record.version <= self.version:
            return False
        self._record = record
        self._data = data
        return True

    def confirm(
        self,
        *,
        version: identifiers.SettingsVersion,
        at: float,
    ) -> None:
        """Record that a version was the latest one at a monotonic time.

        `at` must be a time before the request was sent; otherwise a delayed
        answer would make the confirmation seem more recent than it is.
        """
        if version and version == self.version:
            self._confirmed_at = max(self._confirmed_at, at)

    def confirm_by_peer(self, *, vouch: Vouch, sent_at: float) -> None:
        """Record a peer's confirmation, requested at `sent_at`."""
        self.confirm(version=vouch.version, at=sent_at - vouch.age)

    def confirm_by_witnesses(
        self,
        *,
        versions: list[identifiers.SettingsVersion],
        sent_at: float,
    ) -> bool:
        """Record the versions that witnesses hold, requested at `sent_at`.

        `versions` has one entry for each witness that answered, including
        this host if it is a witness. Returns whether a majority of the
        witnesses knows of no later version.
        """
        if self._record is None:
            return False
        agreeing = [version for version in versions if version <= self.version]
        if len(agreeing) < records.majority(self._record.witnesses):
            return False
        self.confirm(version=self.version, at=sent_at)
        return True


def is_fresh(*, confirmed_at: float, now: float) -> bool:
    """Return whether settings confirmed at a time may still be used.

    Both times are monotonic, in seconds.

    >>> is_fresh(confirmed_at=10, now=11)
    True
    """
    return now - confirmed_at <= FRESHNESS_LIMIT_SECONDS
