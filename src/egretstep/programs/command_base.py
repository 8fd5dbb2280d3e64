"""Base classes, options and exit codes of the operators' commands."""

import asyncio
import os
import typing

import cleo.commands.command
import cleo.helpers

from egretstep import errors
from egretstep.operators import client

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
DEFAULT_AGENT_URL = 'http://127.0.0.1:7203'
FILE_ARGUMENT = 'file'
argument = cleo.helpers.argument
option = cleo.helpers.option
AGENT_OPTION = option('agent', None, 'URL of an agent', flag=False)
JSON_OPTION = option('json', None, 'Print JSON for other programs')


Command = cleo.commands.command.Command


class OperatorCommand(Command):
    """Base class of commands that call an agent or a host.

    Subclasses implement `_run`, which returns the exit code.
    """

    def _client(self) -> client.OperatorClient:
        url = self.option('agent') or os.environ.get('EGRETSTEP_AGENT')
        return client.OperatorClient(
            url=url or DEFAULT_AGENT_URL,
            token=os.environ.get('EGRETSTEP_TOKEN', ''),
        )

    def _print_table(
        self,
        names: list[str],
        rows: list[dict[str, typing.Any]],
    ) -> None:
        table = self.table()
        table.set_headers(names)
        table.set_rows([[str(row[name]) for name in names] for row in rows])
        table.render()

    def handle(self) -> int:
        """Run the command; print an error and return its exit code."""
        try:
            return asyncio.run(self._run())
        except errors.ConflictError as error:
            self.line_error(f'<error>{error}</error>')
            return EXIT_CONFLICT
        except errors.SettingsError as error:
            self.line_error(f'<error>{error}</error>')
            return EXIT_INVALID
        except errors.EgretstepError as error:
            self.line_error(f'<error>{error}</error>')
            return EXIT_REFUSED

    async def _run(self) -> int:
        raise NotImplementedError
