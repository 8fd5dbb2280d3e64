"""Commands that edit the settings in force and apply them."""

import getpass
import sys

from egretstep import errors
from egretstep.callers import keys
from egretstep.operators import edits
from egretstep.programs import command_base
from egretstep.settings import schema


class _EditCommand(command_base.OperatorCommand):
    """A command that edits the settings in force and applies them."""

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


class _StateCommand(_EditCommand):
    place = ''
    state = schema.AvailabilityState.IN
    options = [command_base.AGENT]

    def edit(self, text: str) -> str:
        """Return the text with the place in its new state."""
        return edits.set_state(
            text,
            place=self.place,
            name=self.argument('name'),
            state=self.state,
        )


class ZoneOutCommand(_StateCommand):
    """Take an availability zone out."""

    name = 'zone out'
    description = 'Give an availability zone no new work.'
    arguments = [command_base.argument('name', 'Availability zone')]
    help = 'Example: <info>egretstep zone out bergamo</info>'
    place = 'zones'
    state = schema.AvailabilityState.OUT


class ZoneBackCommand(_StateCommand):
    """Bring an availability zone back."""

    name = 'zone back'
    description = 'Give an availability zone work again.'
    arguments = [command_base.argument('name', 'Availability zone')]
    help = 'Example: <info>egretstep zone back bergamo</info>'
    place = 'zones'


class DatabaseDrainCommand(_StateCommand):
    """Let a database leave."""

    name = 'database drain'
    description = 'Give a database no new work.'
    arguments = [command_base.argument('name', 'Database')]
    help = 'Example: <info>egretstep database drain refunds</info>'
    place = 'databases'
    state = schema.AvailabilityState.OUT


class DatabaseBackCommand(_StateCommand):
    """Bring a database back."""

    name = 'database back'
    description = 'Give a database work again.'
    arguments = [command_base.argument('name', 'Database')]
    help = 'Example: <info>egretstep database back refunds</info>'
    place = 'databases'


class KeyAddCommand(_EditCommand):
    """Add a key; the key itself is read from standard input."""

    name = 'key add'
    description = 'Add a key of a workspace.'
    arguments = [
        command_base.argument('workspace', 'Workspace'),
        command_base.argument('key', 'Name of the key'),
    ]
    options = [command_base.AGENT]
    help = (
        'Example: <info>printf %s "$KEY" | egretstep key add depot '
        'second</info>'
    )

    def edit(self, text: str) -> str:
        """Return the text with the key's digest."""
        return edits.add_key(
            text,
            workspace=self.argument('workspace'),
            name=self.argument('key'),
            digest=keys.make_digest(sys.stdin.read().strip()),
        )


class KeyWithdrawCommand(_EditCommand):
    """Withdraw a key."""

    name = 'key withdraw'
    description = 'Withdraw a key of a workspace, on open connections too.'
    arguments = [
        command_base.argument('workspace', 'Workspace'),
        command_base.argument('key', 'Name of the key'),
    ]
    options = [command_base.AGENT]
    help = 'Example: <info>egretstep key withdraw depot first</info>'

    def edit(self, text: str) -> str:
        """Return the text with the key withdrawn."""
        return edits.withdraw_key(
            text,
            workspace=self.argument('workspace'),
            name=self.argument('key'),
        )
