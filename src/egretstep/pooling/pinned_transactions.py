"""Open transactions of one server, each pinned to its connection."""

import dataclasses
import typing

import logbook

from egretstep import clock, errors, identifiers
from egretstep.backends import answers
from egretstep.observability import metrics
from egretstep.pooling import (
    idle_transactions,
    statement_state,
    workspace_connections,
)
from egretstep.pooling import work as work_module

NO_CONNECTION_RETRY_MS = 250
_logger = logbook.Logger('pinned_transactions')
_IdleTransaction = idle_transactions.IdleTransaction[statement_state.PinKey]


class PinnedTransactions:
    """Pins transactions to connections and rolls them back."""

    def __init__(self, *, server: str, time_source: clock.Clock) -> None:
        self._server = server
        self._clock = time_source
        self._pins: dict[statement_state.PinKey, statement_state.Pin] = {}
        self._connections: workspace_connections.WorkspaceConnections | None = (
            None
        )

    def __len__(self) -> int:
        """Return how many transactions are open."""
        return len(self._pins)

    @property
    def connections(self) -> workspace_connections.WorkspaceConnections:
        """Return the connections to which transactions are pinned."""
        return typing.cast(
            workspace_connections.WorkspaceConnections, self._connections
        )

    def use(
        self, connections: workspace_connections.WorkspaceConnections
    ) -> None:
        """Set the connections, which call `make_room` in turn."""
        self._connections = connections

    def get(self, key: statement_state.PinKey) -> statement_state.Pin | None:
        """Return the transaction of a caller, None if it has none."""
        return self._pins.get(key)

    def pin_or_release(
        self,
        conn: statement_state.SessionConnection,
        key: statement_state.PinKey,
        work: work_module.Work,
        answer: answers.Answer,
    ) -> answers.Answer:
        """Pin the connection if a transaction is open, else release it.

        A transaction whose first statement failed is rolled back: its caller
        may repeat the statement, which opens another one.
        """
        if answer.state is answers.TransactionState.OUTSIDE:
            self.connections.release(conn)
            return answer
        if not answer.is_ok:
            self.connections.discard(conn)
            return answer
        self._pins[key] = statement_state.Pin(
            session_connection=conn,
            is_read_only=work.opens is work_module.Opens.READ_TRANSACTION,
            used_at=self._clock.now(),
            has_written=work.command.is_write,
        )
        return dataclasses.replace(answer, is_pinned=True)

    def unpin_when_ended(
        self,
        key: statement_state.PinKey,
        pin: statement_state.Pin,
        answer: answers.Answer,
    ) -> answers.Answer:
        """Release the connection if the answer ends the transaction."""
        if key not in self._pins:
            # The pin was released meanwhile, which closed the connection.
            return answer
        if answer.state is answers.TransactionState.OUTSIDE:
            self._pins.pop(key)
            self.connections.release(pin.session_connection)
            return answer
        return dataclasses.replace(answer, is_pinned=True)

    def roll_back(self, key: statement_state.PinKey) -> None:
        """Roll back the transaction of a caller, if it has one."""
        pin = self._pins.pop(key, None)
        if pin is not None:
            self.connections.discard(pin.session_connection)

    def roll_back_link(self, link: work_module.LinkId) -> None:
        """Roll back the transactions of a host whose link is closed."""
        link_keys = tuple(key for key in self._pins if key[0] == link)
        for key in link_keys:
            self.roll_back(key)

    def roll_back_all(self) -> None:
        """Roll back every transaction."""
        for key in list(self._pins):
            self.roll_back(key)

    def roll_back_idle(self, idle_limit_seconds: float) -> None:
        """Roll back transactions idle for more than a number of seconds."""
        limit = self._clock.now() - idle_limit_seconds
        for key, pin in list(self._pins.items()):
            if not pin.is_busy and pin.used_at < limit:
                self.roll_back(key)

    def make_room(self, workspace: identifiers.WorkspaceName) -> bool:
        """Roll back an idle transaction for a statement of a workspace.

        Returns whether one was rolled back. If it would be one of the
        workspace itself, raises `errors.RefusedError` instead: waiting would
        hold a slot, and the workspace has more than its share already.
        """
        holdings = self.connections.holdings
        chosen = idle_transactions.choose(
            self._idle(), holdings, now=self._clock.now()
        )
        if chosen is None:
            return False
        if chosen.workspace == workspace:
            metrics.connections_refused.inc(workspace)
            raise _too_many_transactions()
        metrics.idle_transactions_ended.inc(chosen.workspace)
        _logger.info(
            'server {}: transaction of workspace {} rolled back for one of {}: '
            'idle for {:.2f} s, {} connections held, share {:.1f}',
            self._server,
            chosen.workspace,
            workspace,
            self._clock.now() - chosen.idle_since,
            holdings.held[chosen.workspace],
            holdings.share,
        )
        self.roll_back(chosen.key)
        return True

    def _idle(self) -> typing.Iterator[_IdleTransaction]:
        for key, pin in self._pins.items():
            if not pin.is_busy:
                yield idle_transactions.IdleTransaction(
                    key=key,
                    workspace=pin.session_connection.workspace,
                    idle_since=pin.used_at,
                )


def _too_many_transactions() -> errors.RefusedError:
    return errors.RefusedError(
        refusal=errors.Refusal(
            kind=errors.RefusalKind.OVERLOADED,
            message=(
                'idle transactions of the workspace hold too many connections; '
                'end them before new ones are opened'
            ),
            retry_after_ms=NO_CONNECTION_RETRY_MS,
        ),
    )
