"""The values and prepared statements of one session."""

import typing

from egretstep.backends import answers, commands
from egretstep.pooling import work as work_module

# Objects of a value or prepared statement beside its bytes.
ENTRY_BYTES = 200
# Commands that are never sent to a server.
LOCAL_ACTIONS = frozenset((
    commands.Action.SET,
    commands.Action.PREPARE,
    commands.Action.DEALLOCATE,
    commands.Action.UNKNOWN,
))
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
        self._held_bytes = 0

    @property
    def session_values(self) -> work_module.SessionValues:
        """Return pairs of the name and content of each value."""
        return tuple(self._values.items())

    @property
    def held_bytes(self) -> int:
        """Return the size of the values and prepared statements in bytes."""
        return self._held_bytes

    def find_prepared(self, name: bytes) -> commands.Prepared | None:
        """Return the prepared statement of a name, or None."""
        return self._prepared.get(name)

    def apply(self, command: commands.Command) -> answers.Answer | None:
        """Apply SET, PREPARE or DEALLOCATE and return the answer.

        Returns None for any other command and for a malformed PREPARE.
        """
        if command.action is commands.Action.SET:
            previous = self._values.get(command.name)
            self._values[command.name] = command.argument
            self._held_bytes += _size(command.name, command.argument)
            self._held_bytes -= _size(command.name, previous)
        elif command.action is commands.Action.PREPARE:
            prepared = self._parse_prepared(command.argument)
            if prepared is None:
                return None
            self._drop_prepared(command.name)
            self._prepared[command.name] = prepared
            self._held_bytes += _size(command.name, prepared.shape)
        elif command.action is commands.Action.DEALLOCATE:
            if not self._drop_prepared(command.name):
                return unknown_prepared()
        else:
            return None
        return answers.Answer()

    def _drop_prepared(self, name: bytes) -> bool:
        """Drop a prepared statement; returns False if there is none."""
        prepared = self._prepared.pop(name, None)
        if prepared is None:
            return False
        self._held_bytes -= _size(name, prepared.shape)
        return True


def _size(name: bytes, content: bytes | None) -> int:
    if content is None:
        return 0
    return ENTRY_BYTES + len(name) + len(content)


def unknown_prepared() -> answers.Answer:
    """Return the refusal of a prepared statement that does not exist."""
    return answers.refusal(
        answers.Code.NO_PREPARED,
        'no statement of that name is prepared',
    )
