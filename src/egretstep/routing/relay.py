"""Sends a caller's request to the owner of its database, and again if safe.

A request that surely has not run is sent again until its deadline. One that
may have run is sent again only when it is a read, when the caller marked it
repeatable, or when it has a request key.
"""

import asyncio
import dataclasses
import random
import typing

from egretstep import clock, errors, identifiers
from egretstep.membership import members, view
from egretstep.observability import metrics
from egretstep.peers import links, messages, schema
from egretstep.pooling import outcomes
from egretstep.routing import budget

FIRST_BACKOFF_SECONDS = 0.01
LONGEST_BACKOFF_SECONDS = 0.1
# The owner decides at the deadline; its answer needs time to come back.
ANSWER_ALLOWANCE_SECONDS = 0.25
_TRY_ELSEWHERE = frozenset((
    errors.RefusalKind.NOT_OWNER.code,
    errors.RefusalKind.UNAVAILABLE.code,
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """An answer and the host that gave it."""

    answer: messages.Answer
    host: identifiers.HostName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """A try that surely had no effect, and where to go next if known."""

    reason: str = ''
    redirect: identifiers.HostName | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delivery:
    """A request with how it may be delivered.

    `pinned_host` holds the caller's transaction; the request can't go
    elsewhere. `deadline` is a monotonic time.
    """

    request: messages.StatementRequest
    deadline: float
    repeatable: bool = False
    pinned_host: identifiers.HostName | None = None


class Relay:
    """Links of one entry to the pools of the fleet."""

    def __init__(
        self,
        *,
        current_view: typing.Callable[[], view.FleetView | None],
        time_source: clock.Clock,
        seed: int | None = None,
    ) -> None:
        self._view = current_view
        self._clock = time_source
        self._random = random.Random(seed)
        self._links = links.LinkTable(
            interface=schema.Pool,
            time_source=time_source,
            heartbeat=lambda pool: pool.heartbeat(),
        )
        self._budget = budget.RetryBudget()

    async def deliver(self, delivery: Delivery) -> Relayed:
        """Return the final answer of a request.

        Raises `errors.RefusedError` when there is none.
        """
        self._budget.earn()
        backoff = FIRST_BACKOFF_SECONDS
        redirect = delivery.pinned_host
        reason = 'no host owns the database'
        while self._clock.now() < delivery.deadline:
            tried = await self._try(delivery, redirect)
            if isinstance(tried, Relayed):
                return tried
            reason = tried.reason or reason
            redirect = tried.redirect
            await asyncio.sleep(backoff * self._random.uniform(0.5, 1))
            backoff = min(backoff * 2, LONGEST_BACKOFF_SECONDS)
            metrics.retries.inc('not run')
        raise errors.RefusedError(refusal=outcomes.unavailable(reason))

    async def release(
        self,
        host: identifiers.HostName,
        pin_id: identifiers.PinId,
    ) -> None:
        """Tell a pool that a caller has left its transaction."""
        member = self._find(host)
        if member is None:
            return
        link = self._link(member)
        if not link.is_open:
            return
        try:
            await link.call(
                lambda pool: pool.release(pinId=pin_id),
                timeout=links.HEARTBEAT_TIMEOUT_SECONDS,
            )
        except (errors.LinkError, errors.LinkLostError):
            # The pool frees everything of a link that is gone.
            link.close()

    async def _try(
        self,
        delivery: Delivery,
        redirect: identifiers.HostName | None,
    ) -> Relayed | NotRun:
        member = self._target(delivery, redirect)
        if member is None:
            return NotRun()
        try:
            relayed = await self._attempt(delivery, member)
        except errors.LinkError as error:
            self._refuse_if_pinned(delivery, error)
            return NotRun(reason=str(error))
        answer = relayed.answer
        if _is_to_retry(delivery, answer):
            return NotRun(
                reason=answer.message,
                redirect=answer.redirect or None,
            )
        return relayed

    def _target(
        self,
        delivery: Delivery,
        redirect: identifiers.HostName | None,
    ) -> members.Member | None:
        current = self._view()
        if current is None:
            return None
        redirected = self._find(redirect) if redirect else None
        return redirected or current.owner(delivery.request.database)

    def _find(self, host: identifiers.HostName) -> members.Member | None:
        current = self._view()
        hosts = current.hosts if current else ()
        return next((each for each in hosts if each.host == host), None)

    async def _attempt(
        self,
        delivery: Delivery,
        member: members.Member,
    ) -> Relayed:
        """Send once; raises `errors.LinkError` when that did nothing."""
        remaining = delivery.deadline - self._clock.now()
        encoded = messages.encode_request(
            delivery.request,
            max(1, clock.to_milliseconds(remaining)),
        )
        link = self._link(member)
        try:
            reply = await link.call(
                lambda pool: pool.execute(request=encoded),
                timeout=remaining + ANSWER_ALLOWANCE_SECONDS,
            )
        except errors.LinkLostError as error:
            return self._settle_lost(delivery, error)
        answer = messages.decode_answer(reply.answer)
        if answer.request_id != delivery.request.request_id:
            link.close()
            return self._settle_lost(
                delivery,
                errors.LinkLostError('the answer belongs to another request'),
            )
        return Relayed(answer=answer, host=member.host)

    def _settle_lost(
        self,
        delivery: Delivery,
        error: errors.LinkLostError,
    ) -> typing.NoReturn:
        kind = delivery.request.kind
        is_commit = kind is identifiers.StatementKind.COMMIT
        if delivery.request.expect_pin and not is_commit:
            raise errors.RefusedError(
                refusal=outcomes.transaction_lost(str(error)),
            ) from error
        is_safe = (
            kind is identifiers.StatementKind.READ
            or kind is identifiers.StatementKind.BEGIN
            or delivery.repeatable
            or bool(delivery.request.request_key)
        )
        if is_safe and not is_commit and self._budget.spend():
            metrics.retries.inc('lost')
            raise errors.LinkError(str(error)) from error
        raise errors.RefusedError(
            refusal=outcomes.unknown(str(error)),
        ) from error

    def _refuse_if_pinned(
        self,
        delivery: Delivery,
        error: errors.LinkError,
    ) -> None:
        if delivery.request.expect_pin:
            raise errors.RefusedError(
                refusal=outcomes.transaction_lost(str(error)),
            ) from error

    def _link(self, member: members.Member) -> links.Link:
        return self._links.get(member.address, member.pool_port)


def _is_to_retry(delivery: Delivery, answer: messages.Answer) -> bool:
    if delivery.request.expect_pin:
        return False
    is_not_run = answer.outcome is identifiers.Outcome.NOT_RUN
    return is_not_run and answer.error_code in _TRY_ELSEWHERE
