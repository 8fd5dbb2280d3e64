"""The values and prepared statements of one session."""

import typing

from egretstep.backends import answers, commands
from egretstep.pooling import work as work_module

ParsePrepared = typing.Callable[[bytes], commands.Prepared | None]


class SessionState:
    """Values and prepared statements of a session, by name.

    They are kept here and sent along with statements, because the statements
    of a session run on several connections to servers.
    """

    def __init__(self, *, parse_prepared: ParsePrepared) -> None:
        self._parse_prepared = parse_prepared
        self._values: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, commands.Prepared] = {}

    @property
    def session_values(self) -> work_module.SessionValues:
        """Return pairs of the name and content of each value."""
        return tuple(self._values.items())

    def find_prepared(self, name: bytes) -> commands.Prepared | None:
        """Return the prepared statement of a name, or None."""
        return self._prepared.get(name)

    def apply(self, command: commands.Command) -> answers.Answer | None:
        """Apply SET, PREPARE or DEALLOCATE and return the answer.

        Returns None for any other command and for a malformed PREPARE.
        """
        if command.action is commands.Action.SET:
            self._values[command.name] = command.argument
        elif command.action is commands.Action.PREPARE:
            prepared = self._parse_prepared(command.argument)
            if prepared is None:
                return None
            self._prepared[command.name] = prepared
        elif command.action is commands.Action.DEALLOCATE:
            if self._prepared.pop(command.name, None) is None:
                return unknown_prepared()
        else:
            return None
        return answers.Answer()


def unknown_prepared() -> answers.Answer:
    """Return the refusal of a prepared statement that does not exist."""
    return answers.refusal(
        answers.Code.NO_PREPARED,
        'no statement of that name is prepared',
    )
