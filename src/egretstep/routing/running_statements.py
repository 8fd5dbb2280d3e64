"""The statements that run on a host, as a planned stop sees them."""

import asyncio

from egretstep.pooling import brokers, failure_answers, local_host
from egretstep.routing import dispatcher

# Time for a statement that was ended at its server to be answered from there,
# which tells better whether it took effect.
LOCAL_ANSWER_SECONDS = 0.03


class RunningStatements:
    """The statements at this host's servers, and those sent to other hosts."""

    def __init__(
        self,
        *,
        local: local_host.LocalHost,
        broker_table: brokers.BrokerTable,
        sender: dispatcher.Dispatcher,
    ) -> None:
        self._local = local
        self._brokers = broker_table
        self._sender = sender

    @property
    def count(self) -> int:
        """Return how many run or wait at servers of this host."""
        return self._local.held_count

    async def end(self) -> None:
        """End all of them, each with a true answer."""
        self._sender.end_repeats()
        self._brokers.interrupt(failure_answers.STOPPING)
        await asyncio.sleep(LOCAL_ANSWER_SECONDS)
        self._sender.interrupt(failure_answers.STOPPING)
