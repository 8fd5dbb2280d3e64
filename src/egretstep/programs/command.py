"""The operators' command line.

Exit codes: 0 done, 1 refused or not reached, 2 wrong settings or arguments,
3 another operator was faster.
"""

import asyncio
import getpass
import os
import pathlib
import sys
import typing

import cleo.application
import cleo.commands.command
import cleo.helpers
import orjson
from returns import result

import egretstep
from egretstep import errors
from egretstep.callers import keys
from egretstep.operators import client, edits
from egretstep.settings import loader, schema, tree

EXIT_REFUSED = 1
EXIT_WRONG = 2
EXIT_CONFLICT = 3
DEFAULT_AGENT = 'http://127.0.0.1:7203'
FILE = 'file'
_argument = cleo.helpers.argument
_option = cleo.helpers.option
_AGENT = _option('agent', None, 'URL of an agent', flag=False)
_JSON = _option('json', None, 'Print JSON for other programs')


class _OperatorCommand(cleo.commands.command.Command):
    """A command that talks to an agent."""

    def _client(self) -> client.OperatorClient:
        url = self.option('agent') or os.environ.get('EGRETSTEP_AGENT')
        return client.OperatorClient(
            url=url or DEFAULT_AGENT,
            token=os.environ.get('EGRETSTEP_TOKEN', ''),
        )

    def handle(self) -> int:
        """Run the command and turn errors into exit codes."""
        try:
            return asyncio.run(self._run())
        except errors.ConflictError as error:
            self.line_error(f'<error>{error}</error>')
            return EXIT_CONFLICT
        except errors.SettingsError as error:
            self.line_error(f'<error>{error}</error>')
            return EXIT_WRONG
        except errors.EgretstepError as error:
            self.line_error(f'<error>{error}</error>')
            return EXIT_REFUSED

    async def _run(self) -> int:
        raise NotImplementedError


class CheckCommand(cleo.commands.command.Command):
    """Check a settings file without applying it."""

    name = 'check'
    description = 'Report every error of a settings file.'
    arguments = [_argument(FILE, 'YAML file, such as fleet.yaml')]
    options = [_option('host', None, "The file is a host's own settings")]
    help = 'Example: <info>egretstep check fleet.yaml</info>'

    def handle(self) -> int:
        """Print the errors; exit 2 when there are any."""
        path = pathlib.Path(self.argument(FILE))
        model: type[typing.Any] = schema.FleetSettings
        if self.option('host'):
            model = schema.HostSettings
        checked = loader.load(path=path, model=model)
        if isinstance(checked, result.Success):
            self.line(f'{path}: no errors')
            return 0
        for problem in checked.failure():
            self.line_error(f'{path}: {problem}')
        return EXIT_WRONG


class ApplyCommand(_OperatorCommand):
    """Make a settings file the settings in force."""

    name = 'apply'
    description = 'Apply a settings file to the whole fleet.'
    arguments = [_argument(FILE, 'YAML file with the whole tree')]
    options = [
        _AGENT,
        _option('expect', None, 'Version it was made on', flag=False),
        _option('comment', 'm', 'Why, for the history', flag=False),
    ]
    help = 'Example: <info>egretstep apply fleet.yaml -m "add a key"</info>'

    async def _run(self) -> int:
        text = _read(self.argument(FILE))
        operator = self._client()
        expected = self.option('expect')
        if expected is None:
            record = await operator.settings()
            expected = record['version'] if record else 0
        version = await operator.apply(
            text=text,
            expected=int(expected),
            author=getpass.getuser(),
            comment=self.option('comment') or '',
        )
        self.line(f'version {version} is accepted')
        return 0


class DiffCommand(_OperatorCommand):
    """Show what a file would change."""

    name = 'diff'
    description = 'Compare a settings file with the settings in force.'
    arguments = [_argument(FILE, 'YAML file with the whole tree')]
    options = [_AGENT]
    help = 'Example: <info>egretstep diff fleet.yaml</info>'

    async def _run(self) -> int:
        text = _read(self.argument(FILE))
        record = await self._client().settings()
        changes = edits.difference(record['text'] if record else '', text)
        self.line(changes or 'no difference')
        return 0


class _EditCommand(_OperatorCommand):
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
    state = schema.PlaceState.IN
    options = [_AGENT]

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
    arguments = [_argument('name', 'Availability zone')]
    help = 'Example: <info>egretstep zone out bergamo</info>'
    place = 'zones'
    state = schema.PlaceState.OUT


class ZoneBackCommand(_StateCommand):
    """Bring an availability zone back."""

    name = 'zone back'
    description = 'Give an availability zone work again.'
    arguments = [_argument('name', 'Availability zone')]
    help = 'Example: <info>egretstep zone back bergamo</info>'
    place = 'zones'


class DatabaseDrainCommand(_StateCommand):
    """Let a database leave."""

    name = 'database drain'
    description = 'Give a database no new work.'
    arguments = [_argument('name', 'Database')]
    help = 'Example: <info>egretstep database drain refunds</info>'
    place = 'databases'
    state = schema.PlaceState.OUT


class DatabaseBackCommand(_StateCommand):
    """Bring a database back."""

    name = 'database back'
    description = 'Give a database work again.'
    arguments = [_argument('name', 'Database')]
    help = 'Example: <info>egretstep database back refunds</info>'
    place = 'databases'


class KeyAddCommand(_EditCommand):
    """Add a key; the key itself is read from standard input."""

    name = 'key add'
    description = 'Add a key of a workspace.'
    arguments = [
        _argument('workspace', 'Workspace'),
        _argument('key', 'Name of the key'),
    ]
    options = [_AGENT]
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
        _argument('workspace', 'Workspace'),
        _argument('key', 'Name of the key'),
    ]
    options = [_AGENT]
    help = 'Example: <info>egretstep key withdraw depot first</info>'

    def edit(self, text: str) -> str:
        """Return the text with the key withdrawn."""
        return edits.withdraw_key(
            text,
            workspace=self.argument('workspace'),
            name=self.argument('key'),
        )


class StatusCommand(_OperatorCommand):
    """Show hosts, databases and settings."""

    name = 'status'
    description = 'Show the state of the fleet as one agent sees it.'
    options = [_AGENT, _JSON]
    help = 'Example: <info>egretstep status --json</info>'

    async def _run(self) -> int:
        status = await self._client().status()
        if self.option('json'):
            self.line(orjson.dumps(status).decode())
            return 0
        self.line(
            f'settings version {status["settings_version"]}, confirmed '
            f'{status["settings_age_seconds"]} s ago',
        )
        self._print_table(
            ['host', 'zone', 'state', 'pool'],
            status['hosts'],
        )
        if status['databases']:
            self._print_table(
                ['database', 'owner', 'serving', 'term', 'primary'],
                status['databases'],
            )
        return 0

    def _print_table(
        self,
        names: list[str],
        rows: list[dict[str, typing.Any]],
    ) -> None:
        table = self.table()
        table.set_headers(names)
        table.set_rows([[str(row[name]) for name in names] for row in rows])
        table.render()


class ExplainCommand(cleo.commands.command.Command):
    """Tell which level of the tree a value comes from."""

    name = 'explain'
    description = 'Show a value in force and the level that sets it.'
    arguments = [
        _argument(FILE, 'YAML file with the whole tree'),
        _argument('value', 'Name of the value, such as rate'),
    ]
    options = [
        _option('workspace', None, 'Workspace', flag=False, default=''),
        _option('database', None, 'Database', flag=False, default=''),
        _option('zone', None, 'Availability zone', flag=False),
    ]
    help = (
        'Example: <info>egretstep explain fleet.yaml rate '
        '--workspace depot</info>'
    )

    def handle(self) -> int:
        """Print the value and its level."""
        path = pathlib.Path(self.argument(FILE))
        checked = loader.load(path=path, model=schema.FleetSettings)
        if isinstance(checked, result.Failure):
            self.line_error(f'{path} is wrong; run egretstep check')
            return EXIT_WRONG
        try:
            found = tree.SettingsTree(fleet=checked.unwrap()).explain(
                name=self.argument('value'),
                workspace=self.option('workspace'),
                database=self.option('database'),
                zone=self.option('zone'),
            )
        except KeyError as error:
            known = sorted(schema.Tunables.model_fields)
            self.line_error(f'{error} is no value; one of {known}')
            return EXIT_WRONG
        self.line(f'{found.name} = {found.setting} from {found.level}')
        return 0


class DigestCommand(cleo.commands.command.Command):
    """Turn a key into the digest that settings hold."""

    name = 'key digest'
    description = 'Read a key from standard input and print its digest.'
    help = 'Example: <info>printf %s "$KEY" | egretstep key digest</info>'

    def handle(self) -> int:
        """Print the digest."""
        self.line(keys.make_digest(sys.stdin.read().strip()))
        return 0


def _read(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f'{path} can not be read ({error}); name a YAML file',
        ) from error


def main() -> None:
    """Start the program."""
    application = cleo.application.Application(
        'egretstep',
        egretstep.__version__,
    )
    for command in (
        CheckCommand(),
        ApplyCommand(),
        StatusCommand(),
        ExplainCommand(),
        DiffCommand(),
        ZoneOutCommand(),
        ZoneBackCommand(),
        DatabaseDrainCommand(),
        DatabaseBackCommand(),
        KeyAddCommand(),
        KeyWithdrawCommand(),
        DigestCommand(),
    ):
        application.add(command)
    sys.exit(application.run())


if __name__ == '__main__':
    main()
