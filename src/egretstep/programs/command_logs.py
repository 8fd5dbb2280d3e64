"""Commands that read the logs of the fleet."""

import pathlib
import typing

from egretstep.observability import log_trail
from egretstep.programs import command_base


class TraceCommand(command_base.Command):
    """Show the log lines of one request, in order, from all hosts."""

    name = 'trace'
    description = 'Follow the id of a request through the logs of all hosts.'
    arguments = [
        command_base.argument('id', 'Id of the request, as the caller sent it'),
        command_base.argument(
            'files',
            'Log files, one of each host; the name of a file is its host',
            multiple=True,
        ),
    ]
    help = 'Example: <info>egretstep trace 4f2a logs/*.log</info>'

    def handle(self) -> int:
        """Print the log lines of the request.

        Returns `EXIT_REFUSED` if no line has its id.
        """
        reader = log_trail.LogReader()
        lines: list[log_trail.LogLine] = []
        for name in self.argument('files'):
            lines.extend(self._read_lines(reader, pathlib.Path(name)))
        request_id = self.argument('id')
        trail = log_trail.find_trail(lines, request_id)
        for line in trail:
            self.line(line.text())
        if reader.skipped:
            self.line_error(f'{reader.skipped} lines are no structured lines')
        if trail:
            return 0
        self.line_error(
            f'no line has the id {request_id!r}: it went well, or it was '
            'sent to hosts whose logs are not among the files',
        )
        return command_base.EXIT_REFUSED

    def _read_lines(
        self,
        reader: log_trail.LogReader,
        path: pathlib.Path,
    ) -> typing.Iterator[log_trail.LogLine]:
        try:
            text = path.read_bytes()
        except OSError as error:
            self.line_error(f'{path} can not be read: {error}')
            return iter(())
        return reader.read(path.stem, text.splitlines())
