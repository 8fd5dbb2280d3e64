"""What an agent answers on its links, from programs and other agents."""

import typing

from egretstep import identifiers
from egretstep.peers import schema
from egretstep.programs import agent_news
from egretstep.settings import freshness


class AgentServer(schema.Agent.Server):
    """One link to the agent, from a program of its host or another agent."""

    def __init__(self, *, told: agent_news.AgentNews) -> None:
        self._told = told
        self._program = ''
        self._told_confirmed_at = freshness.NEVER

    async def watch(
        self,
        settingsVersion: int,
        membersRevision: int,
        program: str,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Answer when there is news, or after a short while."""
        if program != self._program:
            self._told.forget_name(self._program)
        self._program = program
        self._told.note_program(program, up=True)
        self._told.pool_watch.record_request(program)
        await self._told.wait_news(
            settingsVersion,
            membersRevision,
            self._told_confirmed_at,
        )
        self._told_confirmed_at = self._told.keeper.confirmed_at
        self._told.fill_view(
            _context.results.init('view'),
            settingsVersion,
            membersRevision,
        )
        self._told.pool_watch.record_answer(program)

    async def probe(
        self,
        gossip: typing.Any,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Answer another agent's probe."""
        _context.results.gossip = self._told.gossip.answer(gossip)

    async def probeFor(self, host: str, **_kwargs: typing.Any) -> bool:
        """Probe a host for an agent that can't reach it."""
        return await self._told.gossip.probe_for_other(
            identifiers.HostName(host),
        )

    async def fetchSettings(
        self,
        knownVersion: int,
        _context: typing.Any,
        **_kwargs: typing.Any,
    ) -> None:
        """Give the record when it is later than the known one."""
        keeper = self._told.keeper
        versioned = _context.results.init('versioned')
        versioned.version = keeper.version
        if keeper.version > knownVersion:
            versioned.record = keeper.encoded

    async def pushSettings(
        self,
        versioned: typing.Any,
        **_kwargs: typing.Any,
    ) -> int:
        """Take a record in and return the version held."""
        self._told.keeper.adopt(bytes(versioned.record))
        return self._told.keeper.version

    async def witnessVersion(self, **_kwargs: typing.Any) -> int:
        """Return the version held, for other witnesses."""
        return self._told.keeper.version

    async def statusJson(self, **_kwargs: typing.Any) -> str:
        """Return nothing yet; operators use the HTTP endpoint."""
        return '{}'

    async def link_closed(self) -> None:
        """Note that a program of this host has ended."""
        if self._program:
            self._told.note_program(self._program, up=False)
