"""Creates the components through which a host takes part in the fleet."""

import dataclasses
import typing

from egretstep import clock
from egretstep.membership import (
    directory,
    fleet_links,
    host_registration,
    host_rows,
    lease_renewal,
    leases,
    quorum_calls,
    voter,
    voter_changes,
    voters,
)
from egretstep.storage import tables


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostMembership:
    """The known hosts, the calls to them, and the leases of this host."""

    hosts: directory.Directory
    registration: host_registration.HostRegistration
    peers: fleet_links.FleetLinks
    known_voters: voters.KnownVoters
    quorum: quorum_calls.QuorumCalls
    voter: voter.Voter
    voter_changes: voter_changes.VoterChanges
    keeper: leases.LeaseKeeper
    renewal: lease_renewal.LeaseRenewal


def make(
    *,
    pending: host_rows.PendingRegistration,
    registration: host_rows.Registration,
    store: tables.Tables,
    is_first_start: bool,
    store_silence: typing.Callable[[], float],
    time_source: clock.Clock,
) -> HostMembership:
    """Return the components of a host that is not registered yet.

    `is_first_start` says that the fleet starts for the first time, and
    `store_silence` returns the seconds without news of the store.
    """
    hosts = directory.Directory(own=pending.own, time_source=time_source)
    hosts.is_registered = False
    peers = fleet_links.FleetLinks(hosts=hosts, time_source=time_source)
    known_voters = voters.KnownVoters(
        store_silence=store_silence, time_source=time_source
    )
    quorum = quorum_calls.QuorumCalls(
        hosts=hosts,
        links=peers,
        known_voters=known_voters,
    )
    keeper = leases.LeaseKeeper(
        store=store,
        hosts=hosts,
        confirmers=quorum,
        time_source=time_source,
        first_era=pending.fleet.version.era if is_first_start else None,
    )
    return HostMembership(
        hosts=hosts,
        registration=host_registration.HostRegistration(
            registration=registration,
            pending=pending,
            hosts=hosts,
        ),
        peers=peers,
        known_voters=known_voters,
        quorum=quorum,
        voter=voter.Voter(keeper=keeper, known_voters=known_voters),
        voter_changes=voter_changes.VoterChanges(
            hosts=hosts,
            known_voters=known_voters,
            calls=quorum,
            links=peers,
            store=store,
            time_source=time_source,
        ),
        keeper=keeper,
        renewal=lease_renewal.LeaseRenewal(
            keeper=keeper,
            store=store,
            confirmers=quorum,
            time_source=time_source,
        ),
    )
