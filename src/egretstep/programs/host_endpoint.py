"""Server for the calls of the other hosts of the fleet."""

import typing

from egretstep import clock, identifiers
from egretstep.limits import grants
from egretstep.membership import fleet_links, voter
from egretstep.peers import fleet_messages, fleet_schema, usage_messages
from egretstep.pooling import brokers
from egretstep.pooling import work as work_module
from egretstep.programs import remote_statements, tasks
from egretstep.settings import configuration_follower, deployment
from egretstep.storage import change_feed


class HostEndpoint(fleet_schema.Host.Server):
    """Serves one link from another host."""

    def __init__(
        self,
        *,
        link: work_module.LinkId,
        local: remote_statements.RemoteStatements,
        broker_table: brokers.BrokerTable,
        own_voter: voter.Voter,
        peers: fleet_links.FleetLinks,
        fleet_tasks: tasks.FleetTasks,
        feed_server: change_feed.FeedServer,
        configuration: configuration_follower.ConfigurationFollower,
    ) -> None:
        self._link = link
        self._local = local
        self._brokers = broker_table
        self._voter = own_voter
        self._peers = peers
        self._tasks = fleet_tasks
        self._feed_server = feed_server
        self._configuration = configuration

    async def execute(
        self,
        work: typing.Any,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Run a statement and return its answer."""
        decoded = fleet_messages.decode_work(work)
        answer = await self._local.execute(decoded, self._link)
        _context.results.result = fleet_messages.encode_answer(answer)

    async def release(self, pinId: int, **_kwargs: typing.Any) -> None:
        """Roll back a pinned transaction."""
        self._brokers.release(self._link, identifiers.PinId(pinId))

    async def heartbeat(self, **_kwargs: typing.Any) -> None:
        """Return at once, which shows that this host runs."""

    async def acknowledged(
        self,
        service: str,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Return the acknowledged log position of a service owned here."""
        owner = self._tasks.owner(deployment.ServiceName(service))
        known = owner.acknowledged() if owner else None
        _context.results.serving = known is not None
        if known is not None:
            epoch, position = known
            _context.results.epoch = epoch
            _context.results.position.term = position.term
            _context.results.position.offset = position.offset

    async def confirm(
        self,
        claims: typing.Any,
        voterEpoch: int,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Merge the claims of another host; return those known to be newer."""
        decoded = [fleet_messages.decode_claim(each) for each in claims]
        answer = self._voter.confirm(decoded, voterEpoch)
        _context.results.confirmed = answer.is_confirmed
        _context.results.voterEpoch = answer.epoch
        _context.results.newer = [
            fleet_messages.encode_claim(claim) for claim in answer.newer
        ]

    async def reaches(self, host: str, **_kwargs: typing.Any) -> bool:
        """Return whether another host answers this one."""
        return await self._peers.reaches(identifiers.HostName(host))

    async def takeTokens(
        self,
        demands: typing.Any,
        caller: str,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Grant tokens of workspaces if this host is the counting host.

        A call without demands only records the contact.
        """
        granted_lots = []
        self._tasks.record_contact(identifiers.HostName(caller))
        for demand in demands:
            workspace = identifiers.WorkspaceName(demand.workspace)
            grant = self._tasks.take_tokens(
                workspace,
                demand.wanted,
                identifiers.HostName(caller),
            )
            if grant is None:
                _context.results.serving = False
                return
            granted_lots.append(_encode_grant(workspace, grant))
        _context.results.serving = self._tasks.is_counting
        _context.results.lots = granted_lots

    async def takePooledTokens(
        self,
        demands: typing.Any,
        caller: str,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Grant tokens of the rate that hosts pool here, as a standby.

        A call without demands only adds the caller's share to the pool.
        """
        host = identifiers.HostName(caller)
        self._tasks.standby.record_contact(host)
        granted_lots = []
        for demand in demands:
            workspace = identifiers.WorkspaceName(demand.workspace)
            grant = self._tasks.standby.take(workspace, demand.wanted, host)
            granted_lots.append(_encode_grant(workspace, grant))
        _context.results.lots = granted_lots

    async def reportUsage(
        self,
        caller: str,
        windows: typing.Any,
        recordedUntil: int,
        timeMs: int,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Take counts of usage, for the report if this host composes it."""
        call = usage_messages.decode_call(
            caller, windows, recordedUntil, timeMs
        )
        reply = self._tasks.take_usage(call)
        usage_messages.encode_reply(reply, _context.results)

    async def changes(
        self,
        known: typing.Any,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Return the changes after the known versions, by long polling."""
        versions = fleet_messages.decode_versions(known)
        update = await self._feed_server.poll(versions)
        _context.results.ageMs = clock.to_milliseconds(update.age)
        _context.results.era = update.era
        _context.results.tables = [
            fleet_messages.encode_table_changes(table, changed)
            for table, changed in update.tables.items()
        ]

    async def laterConfiguration(
        self,
        version: int,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Return the configuration in force here if it is a later version."""
        known = identifiers.SettingsVersion(version)
        _context.results.content = self._configuration.content_after(known)

    async def link_closed(self) -> None:
        """Roll back the transactions left open by callers of the other host."""
        self._brokers.release_link(self._link)


def _encode_grant(
    workspace: identifiers.WorkspaceName, grant: grants.Grant
) -> dict[str, typing.Any]:
    return {
        'workspace': workspace,
        'granted': grant.granted,
        'retryAfterMs': clock.to_milliseconds(grant.retry_after),
        'waitMs': clock.to_milliseconds(grant.wait),
    }
