"""Commands that show one host's own view of the fleet."""

import typing

import orjson

from egretstep import errors
from egretstep.programs import command_base, host_report
from egretstep.settings import node
from egretstep.web import client, endpoint

REPORT_TIMEOUT_SECONDS = 3.0
ADDRESS_ARGUMENT = command_base.argument(
    'address',
    'Metrics address of a host, as IP:PORT; the port is 9464 unless the '
    'deploy file says otherwise',
)


class HostCommand(command_base.OperatorCommand):
    """Base class of commands that fetch the report of a host."""

    async def _fetch_report(self) -> dict[str, typing.Any]:
        try:
            address = node.parse_address(self.argument('address'))
        except ValueError as error:
            raise errors.SettingsError(str(error)) from error
        http_client = client.HttpClient(address=address)
        try:
            response = await http_client.call(
                client.Request(method='GET', target=host_report.PATH),
                timeout=REPORT_TIMEOUT_SECONDS,
            )
        finally:
            http_client.close()
        if response.status != endpoint.OK:
            raise errors.PlatformError(
                f'{address} answered with status {response.status}; check that '
                'it is the metrics address of a host',
            )
        return orjson.loads(response.body)


class HostStatusCommand(HostCommand):
    """Show the hosts, tasks, servers and workspaces that one host sees."""

    name = 'host status'
    description = 'Show what one host believes of the fleet.'
    arguments = [ADDRESS_ARGUMENT]
    options = [command_base.JSON_OPTION]
    help = 'Example: <info>egretstep host status 10.1.0.5:9464</info>'

    async def _run(self) -> int:
        report = await self._fetch_report()
        if self.option('json'):
            self.line(orjson.dumps(report).decode())
            return 0
        ready = 'ready' if report['is_ready'] else 'not ready'
        self.line(f'{report["host"]} in {report["zone"]}: {ready}')
        self.line(_describe_settings(report))
        for kind in ('hosts', 'tasks', 'servers', 'workspaces'):
            entries = report[kind]
            if entries:
                self._print_table(list(entries[0]), entries)
        return 0


class HostExplainCommand(HostCommand):
    """Show the settings in force for a database or workspace."""

    name = 'host explain'
    description = 'Show the values in force and where they come from.'
    arguments = [
        ADDRESS_ARGUMENT,
        command_base.argument('name', 'Database or workspace'),
    ]
    help = 'Example: <info>egretstep host explain 10.1.0.5:9464 depot</info>'

    async def _run(self) -> int:
        report = await self._fetch_report()
        name = self.argument('name')
        matches = [
            (kind, entry)
            for kind, key in (
                ('routes', 'database'),
                ('workspaces', 'workspace'),
            )
            for entry in report[kind]
            if entry[key] == name
        ]
        if not matches:
            known = sorted(entry['database'] for entry in report['routes'])
            self.line_error(
                f'{name!r} is no database or workspace of configuration '
                f'{report["settings_version"]}; databases are {known}',
            )
            return command_base.EXIT_REFUSED
        self.line(_describe_settings(report))
        for kind, entry in matches:
            for key, setting in entry.items():
                self.line(f'{kind}.{name}.{key} = {setting}')
        return 0


def _describe_settings(report: dict[str, typing.Any]) -> str:
    return (
        f'configuration {report["settings_version"]}, '
        f'from {report["settings_source"]}, '
        f'confirmed {report["settings_age_s"]} s ago'
    )
