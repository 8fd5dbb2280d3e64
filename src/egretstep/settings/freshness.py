"""Which settings are in force on this host, and how surely.

A host may act on its settings only while it can vouch for them: some source
confirmed, within the freshness limit, that no later version was accepted.
There are two sources. The table service is one, by a consistent read. While
it is down, a majority of the witnesses that the record names is the other,
because a change counts as accepted only when a majority of the old and of
the new witnesses hold it. A confirmation passes from host to host with its
age, and a host that is cut off from both sources runs out of it.
"""

import dataclasses

from egretstep import clock, identifiers
from egretstep.settings import records

FRESHNESS_LIMIT_SECONDS = 2.5
NEVER = float('-inf')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vouch:
    """A version and for how many seconds it has been unconfirmed."""

    version: identifiers.SettingsVersion
    age: float


class SettingsKeeper:
    """Holds the latest record that this host has seen.

    The version never goes back. A confirmation that nothing later than an
    older version was accepted says the same of a newer one, so that it is
    kept when a newer one is adopted.
    """

    def __init__(self, *, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._record: records.Record | None = None
        self._data = b''
        self._confirmed_at = NEVER

    @property
    def record(self) -> records.Record | None:
        """Return the latest record, or none before the first one."""
        return self._record

    @property
    def encoded(self) -> bytes:
        """Return the latest record as it is sent to other programs."""
        return self._data

    @property
    def version(self) -> identifiers.SettingsVersion:
        """Return the latest version, zero before the first one."""
        if self._record is None:
            return identifiers.NO_VERSION
        return self._record.settings_version

    @property
    def confirmed_at(self) -> float:
        """Return when the version was last known to be the latest."""
        return self._confirmed_at

    def vouch(self) -> Vouch:
        """Return what this host can tell others about its version."""
        return Vouch(
            version=self.version,
            age=self._clock.now() - self._confirmed_at,
        )

    def adopt(self, data: bytes) -> bool:
        """Take a record in when it is later; returns whether it was."""
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
        """Note that a version was the latest one at a monotonic time.

        The time must be one before the question was sent, so that a late
        answer can't make the confirmation look younger than it is.
        """
        if version and version == self.version:
            self._confirmed_at = max(self._confirmed_at, at)

    def confirm_by_peer(self, *, vouch: Vouch, asked_at: float) -> None:
        """Note a peer's vouch that answers a question of `asked_at`."""
        self.confirm(version=vouch.version, at=asked_at - vouch.age)

    def confirm_by_witnesses(
        self,
        *,
        versions: list[identifiers.SettingsVersion],
        asked_at: float,
    ) -> bool:
        """Note what witnesses answered to a question of `asked_at`.

        `versions` holds one answer for each witness that answered, this
        host's own included when it is one. Returns whether they are a
        majority that knows of no later version.
        """
        if self._record is None:
            return False
        agreeing = [version for version in versions if version <= self.version]
        if len(agreeing) < records.majority(self._record.witnesses):
            return False
        self.confirm(version=self.version, at=asked_at)
        return True


def is_fresh(*, confirmed_at: float, now: float) -> bool:
    """Tell whether settings of this confirmation may be acted on.

    >>> is_fresh(confirmed_at=10, now=11)
    True
    """
    return now - confirmed_at <= FRESHNESS_LIMIT_SECONDS
