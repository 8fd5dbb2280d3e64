"""Interface through which a broker's statements are counted."""

import typing

from egretstep.backends import answers
from egretstep.pooling import work as work_module


class UsageRecorder(typing.Protocol):
    """Counts the statements that backend servers have begun to run."""

    async def counted(
        self,
        work: work_module.Work,
        running: typing.Awaitable[answers.Answer],
    ) -> answers.Answer:
        """Send a statement by awaiting `running`, and return its answer."""


class Uncounted:
    """Counts nothing."""

    async def counted(
        self,
        work: work_module.Work,
        running: typing.Awaitable[answers.Answer],
    ) -> answers.Answer:
        """Send a statement and return its answer."""
        return await running


UNCOUNTED = Uncounted()
