"""What an owner leaves to the next one about the primary of its service.

It is the detail of the owner's claim. An ordered promotion is recorded before
the order goes out, since it may take effect at any time after that, also when
its answer is lost or its owner has stopped.
"""

import dataclasses

import logbook
import orjson

from egretstep import errors, identifiers, json_fields
from egretstep.backends import connection
from egretstep.settings import node

NO_SERVER = connection.ServerId('')
_logger = logbook.Logger('primary')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogHolder:
    """A process of a server that may hold acknowledged commits.

    `address` is its last address, and `started_ms` its start time: a server
    that starts again under its name has none of the commits.
    """

    server: connection.ServerId
    address: node.Address
    started_ms: int = 0

    @property
    def process(self) -> tuple[connection.ServerId, int]:
        """Return what tells the process from others of the server."""
        return self.server, self.started_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryRecord:
    """The primary of a service, or the server that is to become it.

    `server` is empty if nothing was recorded. It leads `term`; or, if
    `is_pending` is set, its promotion was ordered when `term` was the latest
    one, and no other server may be used until its outcome is known.
    `log_holders` are the servers on which an acknowledged commit may be, the
    primary included, whether or not they are registered.

    >>> record = PrimaryRecord(server=connection.ServerId('i-1'))
    >>> decode(record.encode()) == record
    True
    """

    server: connection.ServerId = NO_SERVER
    term: identifiers.Term = identifiers.NO_TERM
    is_pending: bool = False
    log_holders: tuple[LogHolder, ...] = ()

    def encode(self) -> str:
        """Return the record as the detail of a claim."""
        return orjson.dumps({
            'server': self.server,
            'term': self.term,
            'is_pending': self.is_pending,
            'log_holders': [
                {
                    'server': each.server,
                    'address': each.address.host,
                    'port': each.address.port,
                    'started_ms': each.started_ms,
                }
                for each in self.log_holders
            ],
        }).decode()

    def accepts(
        self, server: connection.ServerId, status: connection.ServerStatus
    ) -> bool:
        """Return whether a server that reports a status may be used.

        It must lead a later term than the recorded primary, or be that one.
        """
        if status.role is not connection.Role.PRIMARY:
            return False
        if self.is_pending:
            return server == self.server and status.term > self.term
        if server == self.server:
            return status.term >= self.term
        return status.term > self.term


def decode(detail: str) -> PrimaryRecord:
    """Return the record in the detail of a claim.

    A detail that is not in this format is the name of a server, as earlier
    versions wrote it.
    """
    if not detail.startswith('{'):
        return PrimaryRecord(server=connection.ServerId(detail))
    try:
        fields = json_fields.JsonFields.decode(detail.encode())
        return PrimaryRecord(
            server=connection.ServerId(fields.text('server')),
            term=identifiers.Term(fields.integer('term')),
            is_pending=fields.flag('is_pending'),
            log_holders=tuple(
                _decode_holder(each)
                for each in fields.objects('log_holders', is_optional=True)
            ),
        )
    except errors.MalformedFieldError as error:
        _logger.warning('malformed record of a primary is ignored: {}', error)
        return PrimaryRecord()


def _decode_holder(fields: json_fields.JsonFields) -> LogHolder:
    return LogHolder(
        server=connection.ServerId(fields.name('server')),
        address=node.checked_address(
            fields.text('address'), fields.integer('port')
        ),
        started_ms=fields.integer('started_ms', default=0),
    )
