"""The operators' command line.

Exit codes: 0 success, 1 refused or unreachable, 2 invalid settings or
arguments, 3 the settings were changed by another operator meanwhile.
"""

import getpass
import pathlib
import sys
import typing

import cleo.application
import orjson
from returns import result

import egretstep
from egretstep import errors
from egretstep.callers import keys
from egretstep.operators import edits
from egretstep.programs import (
    command_base,
    command_edits,
    command_hosts,
    command_logs,
)
from egretstep.settings import loader, schema, tree


class CheckCommand(command_base.Command):
    """Check a settings file without applying it."""

    name = 'check'
    description = 'Report every error of a settings file.'
    arguments = [
        command_base.argument(
            command_base.FILE_ARGUMENT, 'YAML file, such as fleet.yaml'
        )
    ]
    options = [
        command_base.option('host', None, "The file is a host's own settings")
    ]
    help = 'Example: <info>egretstep check fleet.yaml</info>'

    def handle(self) -> int:
        """Print the errors; return `EXIT_INVALID` if there are any."""
        path = pathlib.Path(self.argument(command_base.FILE_ARGUMENT))
        model: type[typing.Any] = schema.FleetSettings
        if self.option('host'):
            model = schema.HostSettings
        loaded = loader.load(path=path, model=model)
        if isinstance(loaded, result.Success):
            self.line(f'{path}: no errors')
            return 0
        for problem in loaded.failure():
            self.line_error(f'{path}: {problem}')
        return command_base.EXIT_INVALID


class ApplyCommand(command_base.OperatorCommand):
    """Apply a settings file to the whole fleet."""

    name = 'apply'
    description = 'Apply a settings file to the whole fleet.'
    arguments = [
        command_base.argument(
            command_base.FILE_ARGUMENT, 'YAML file with the whole tree'
        )
    ]
    options = [
        command_base.AGENT_OPTION,
        command_base.option(
            'expect', None, 'Version it was made on', flag=False
        ),
        command_base.option('comment', 'm', 'Why, for the history', flag=False),
    ]
    help = 'Example: <info>egretstep apply fleet.yaml -m "add a key"</info>'

    async def _run(self) -> int:
        text = _read_text(self.argument(command_base.FILE_ARGUMENT))
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


class DiffCommand(command_base.OperatorCommand):
    """Show the difference between a file and the settings in force."""

    name = 'diff'
    description = 'Compare a settings file with the settings in force.'
    arguments = [
        command_base.argument(
            command_base.FILE_ARGUMENT, 'YAML file with the whole tree'
        )
    ]
    options = [command_base.AGENT_OPTION]
    help = 'Example: <info>egretstep diff fleet.yaml</info>'

    async def _run(self) -> int:
        text = _read_text(self.argument(command_base.FILE_ARGUMENT))
        record = await self._client().settings()
        changes = edits.unified_diff(record['text'] if record else '', text)
        self.line(changes or 'no difference')
        return 0


class StatusCommand(command_base.OperatorCommand):
    """Show the hosts, databases and settings that one agent sees."""

    name = 'status'
    description = 'Show the state of the fleet as one agent sees it.'
    options = [command_base.AGENT_OPTION, command_base.JSON_OPTION]
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


class ExplainCommand(command_base.Command):
    """Show a value in force and the level of the settings that sets it."""

    name = 'explain'
    description = 'Show a value in force and the level that sets it.'
    arguments = [
        command_base.argument(
            command_base.FILE_ARGUMENT, 'YAML file with the whole tree'
        ),
        command_base.argument('value', 'Name of the value, such as rate'),
    ]
    options = [
        command_base.option(
            'workspace', None, 'Workspace', flag=False, default=''
        ),
        command_base.option(
            'database', None, 'Database', flag=False, default=''
        ),
        command_base.option('zone', None, 'Availability zone', flag=False),
    ]
    help = (
        'Example: <info>egretstep explain fleet.yaml rate '
        '--workspace depot</info>'
    )

    def handle(self) -> int:
        """Print the value and the level of the settings that sets it."""
        path = pathlib.Path(self.argument(command_base.FILE_ARGUMENT))
        loaded = loader.load(path=path, model=schema.FleetSettings)
        if isinstance(loaded, result.Failure):
            self.line_error(f'{path} is wrong; run egretstep check')
            return command_base.EXIT_INVALID
        try:
            found = tree.SettingsTree(fleet=loaded.unwrap()).explain(
                name=self.argument('value'),
                workspace=self.option('workspace'),
                database=self.option('database'),
                zone=self.option('zone'),
            )
        except KeyError as error:
            known = sorted(schema.Tunables.model_fields)
            self.line_error(f'{error} is no value; one of {known}')
            return command_base.EXIT_INVALID
        self.line(f'{found.name} = {found.setting} from {found.level}')
        return 0


class DigestCommand(command_base.Command):
    """Print a key's digest; the settings store the digest, not the key."""

    name = 'key digest'
    description = 'Read a key from standard input and print its digest.'
    help = 'Example: <info>printf %s "$KEY" | egretstep key digest</info>'

    def handle(self) -> int:
        """Print the digest of the key on standard input."""
        self.line(keys.make_digest(sys.stdin.read().strip()))
        return 0


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error}); name a readable YAML file',
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
        command_edits.ZoneOutCommand(),
        command_edits.ZoneBackCommand(),
        command_edits.DatabaseDrainCommand(),
        command_edits.DatabaseBackCommand(),
        command_edits.KeyAddCommand(),
        command_edits.KeyWithdrawCommand(),
        command_hosts.HostStatusCommand(),
        command_hosts.HostExplainCommand(),
        command_logs.TraceCommand(),
        DigestCommand(),
    ):
        application.add(command)
    sys.exit(application.run())


if __name__ == '__main__':
    main()
