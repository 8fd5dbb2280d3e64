"""This host as a voter, which confirms the claims of other hosts."""

import dataclasses
import typing

from egretstep.membership import claims, leases, voters


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoterAnswer:
    """The answer to claims: the later ones known, and whether it counts.

    `epoch` is that of the voters that this host has adopted.
    """

    newer: typing.Sequence[claims.Claim]
    is_confirmed: bool
    epoch: int


class Voter:
    """Answers other hosts that ask for the confirmation of their claims."""

    def __init__(
        self,
        *,
        keeper: leases.LeaseKeeper,
        known_voters: voters.KnownVoters,
    ) -> None:
        self._keeper = keeper
        self._voters = known_voters

    def confirm(
        self, sent: typing.Sequence[claims.Claim], caller_epoch: int
    ) -> VoterAnswer:
        """Merge claims and tell which of them are out of date.

        They are confirmed only if this host knows all claims that its earlier
        processes confirmed, and no later voters than the caller.
        """
        newer = self._keeper.newer_claims(sent)
        is_current = self._voters.accepts(caller_epoch)
        return VoterAnswer(
            newer=newer,
            is_confirmed=is_current and self._keeper.can_confirm(sent),
            epoch=self._voters.epoch,
        )
