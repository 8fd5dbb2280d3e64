"""Values and prepared statements that belong to one session."""

import typing

from egretstep.backends import answers, commands
from egretstep.pooling import work as work_module

ParsePrepared = typing.Callable[[bytes], commands.Prepared | None]


class SessionNames:
    """What a session has set and prepared; no server is needed for it."""

    def __init__(self, *, parse_prepared: ParsePrepared) -> None:
        self._parse_prepared = parse_prepared
        self._values: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, commands.Prepared] = {}

    @property
    def session_values(self) -> work_module.SessionValues:
        """Return names and contents of the values."""
        return tuple(self._values.items())

    def prepared(self, name: bytes) -> commands.Prepared | None:
        """Return the prepared statement of a name."""
        return self._prepared.get(name)

    def apply(self, command: commands.Command) -> answers.Answer | None:
        """Carry out a command; none if it is malformed."""
        if command.action is commands.Action.SET:
            self._values[command.name] = command.argument
        elif command.action is commands.Action.PREPARE:
            prepared = self._parse_prepared(command.argument)
            if prepared is None:
                return None
            self._prepared[command.name] = prepared
        elif command.action is commands.Action.DEALLOCATE:
            if self._prepared.pop(command.name, None) is None:
                return unknown_name()
        else:
            return None
        return answers.Answer()


def unknown_name() -> answers.Answer:
    """Answer for a prepared statement that does not exist."""
    return answers.refusal(
        answers.Code.NO_PREPARED,
        'no statement of that name is prepared',
    )
