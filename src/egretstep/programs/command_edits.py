"""Commands that change one entry of the settings in force."""

import getpass
import sys

from egretstep import errors
from egretstep.callers import keys
from egretstep.operators import edits
from egretstep.programs import command_base
from egretstep.settings import schema


class _EditCommand(command_base.OperatorCommand):
    """Base class of commands that edit the settings in force.

    The edited text is applied only if the version in force has not changed
    meanwhile.
    """

    def edit(self, text: str) -> str:
        """Return the edited text."""
        raise NotImplementedError

    async def _run(self) -> int:
        operator = self._client()
        record = await operator.settings()
        if record is None:
            raise errors.SettingsError(
                'no settings are in force; run egretstep apply first',
            )
        version = await operator.apply(
            text=self.edit(record['text']),
            expected=record['version'],
            author=getpass.getuser(),
            comment=self.name or '',
        )
        self.line(f'version {version} is accepted')
        return 0


class _AvailabilityCommand(_EditCommand):
    """Sets the availability of an entry of `section`."""

    section = ''
    state = schema.AvailabilityState.IN
    options = [command_base.AGENT_OPTION]

    def edit(self, text: str) -> str:
        """Return the text with the entry in its new state."""
        return edits.set_state(
            text,
            section=self.section,
            name=self.argument('name'),
            state=self.state,
        )


class ZoneOutCommand(_AvailabilityCommand):
    """Take an availability zone out of service."""

    name = 'zone out'
    description = 'Give an availability zone no new work.'
    arguments = [command_base.argument('name', 'Availability zone')]
    help = 'Example: <info>egretstep zone out bergamo</info>'
    section = 'zones'
    state = schema.AvailabilityState.OUT


class ZoneBackCommand(_AvailabilityCommand):
    """Bring an availability zone back into service."""

    name = 'zone back'
    description = 'Give an availability zone work again.'
    arguments = [command_base.argument('name', 'Availability zone')]
    help = 'Example: <info>egretstep zone back bergamo</info>'
    section = 'zones'


class DatabaseDrainCommand(_AvailabilityCommand):
    """Drain a database: give it no new work."""

    name = 'database drain'
    description = 'Give a database no new work.'
    arguments = [command_base.argument('name', 'Database')]
    help = 'Example: <info>egretstep database drain refunds</info>'
    section = 'databases'
    state = schema.AvailabilityState.OUT


class DatabaseBackCommand(_AvailabilityCommand):
    """Bring a database back into service."""

    name = 'database back'
    description = 'Give a database work again.'
    arguments = [command_base.argument('name', 'Database')]
    help = 'Example: <info>egretstep database back refunds</info>'
    section = 'databases'


class KeyAddCommand(_EditCommand):
    """Add a key to a workspace; the key is read from standard input."""

    name = 'key add'
    description = 'Add a key of a workspace.'
    arguments = [
        command_base.argument('workspace', 'Workspace'),
        command_base.argument('key', 'Name of the key'),
    ]
    options = [command_base.AGENT_OPTION]
    help = (
        'Example: <info>printf %s "$KEY" | egretstep key add depot '
        'second</info>'
    )

    def edit(self, text: str) -> str:
        """Return the text with the digest of the new key."""
        return edits.add_key(
            text,
            workspace=self.argument('workspace'),
            name=self.argument('key'),
            digest=keys.make_digest(sys.stdin.read().strip()),
        )


class KeyWithdrawCommand(_EditCommand):
    """Withdraw a key of a workspace."""

    name = 'key withdraw'
    description = 'Withdraw a key of a workspace, on open connections too.'
    arguments = [
        command_base.argument('workspace', 'Workspace'),
        command_base.argument('key', 'Name of the key'),
    ]
    options = [command_base.AGENT_OPTION]
    help = 'Example: <info>egretstep key withdraw depot first</info>'

    def edit(self, text: str) -> str:
        """Return the text with the key withdrawn."""
        return edits.withdraw_key(
            text,
            workspace=self.argument('workspace'),
            name=self.argument('key'),
        )
