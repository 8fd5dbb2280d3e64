"""Server for calls from this host's programs and from other agents."""

import typing

from egretstep import identifiers
from egretstep.peers import schema
from egretstep.programs import host_view
from egretstep.settings import freshness


class AgentServer(schema.Agent.Server):
    """Serves one link, from a program of this host or from another agent."""

    def __init__(self, *, view_source: host_view.HostViewSource) -> None:
        self._view_source = view_source
        self._program = ''
        self._sent_confirmed_at = freshness.NEVER

    async def watch(
        self,
        settingsVersion: int,
        membersRevision: int,
        program: str,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Return the changes of settings and members, by long polling.

        Answers when something differs from the given versions, at the latest
        after `host_view.WATCH_TIMEOUT_SECONDS`.
        """
        if program != self._program:
            self._view_source.remove_program(self._program)
        self._program = program
        self._view_source.record_program(program, up=True)
        self._view_source.pool_watch.record_request(program)
        await self._view_source.wait_for_change(
            settingsVersion,
            membersRevision,
            self._sent_confirmed_at,
        )
        self._sent_confirmed_at = self._view_source.keeper.confirmed_at
        self._view_source.write_changes(
            _context.results.init('view'),
            settingsVersion,
            membersRevision,
        )
        self._view_source.pool_watch.record_answer(program)

    async def probe(
        self,
        gossip: typing.Any,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Answer the probe of another agent with gossip."""
        _context.results.gossip = self._view_source.gossip.answer(gossip)

    async def probeFor(self, host: str, **_kwargs: typing.Any) -> bool:
        """Probe a host on behalf of another agent that could not reach it."""
        return await self._view_source.gossip.probe_for_other(
            identifiers.HostName(host),
        )

    async def fetchSettings(
        self,
        knownVersion: int,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Return the settings record if it is later than the known version."""
        keeper = self._view_source.keeper
        versioned = _context.results.init('versioned')
        versioned.version = keeper.version
        if keeper.version > knownVersion:
            versioned.record = keeper.encoded

    async def pushSettings(
        self,
        versioned: typing.Any,
        **_kwargs: typing.Any,
    ) -> int:
        """Adopt a settings record and return the version held afterwards."""
        self._view_source.keeper.adopt(bytes(versioned.record))
        return self._view_source.keeper.version

    async def witnessVersion(self, **_kwargs: typing.Any) -> int:
        """Return the settings version that this witness holds."""
        return self._view_source.keeper.version

    async def statusJson(self, **_kwargs: typing.Any) -> str:
        """Return an empty status; operators use the HTTP endpoint instead."""
        return '{}'

    async def link_closed(self) -> None:
        """Record that the program at the other end of the link has ended."""
        if self._program:
            self._view_source.record_program(self._program, up=False)
