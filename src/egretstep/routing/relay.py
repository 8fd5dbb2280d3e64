"""Sends a caller's request to the owner of its database, with safe retries.

A request that certainly has not run is retried until its deadline. One that
may have run is retried only when it is a read or opens a transaction, when
the caller marked it repeatable, or when it has a request key.
"""

import asyncio
import dataclasses
import random
import typing

from egretstep import clock, errors, identifiers
from egretstep.membership import members, view
from egretstep.observability import metrics
from egretstep.peers import link_table, links, messages, schema
from egretstep.pooling import outcomes
from egretstep.routing import budget

INITIAL_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.1
# The owner answers by the deadline; this is for the answer to arrive.
ANSWER_ALLOWANCE_SECONDS = 0.25
_RETRYABLE_ERROR_CODES = frozenset((
    errors.RefusalKind.NOT_OWNER.code,
    errors.RefusalKind.UNAVAILABLE.code,
))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """An answer and the host that gave it."""

    answer: messages.Answer
    host: identifiers.HostName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryableFailure:
    """An attempt that had no effect, or that may safely be repeated.

    `redirect` is the host to try next, where the answer named one.
    """

    reason: str = ''
    redirect: identifiers.HostName | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delivery:
    """A request and the rules for its delivery.

    `deadline` is a monotonic time in seconds. `repeatable` says that the
    request may run twice. `pinned_host` is the host that holds the caller's
    open transaction; such a request can't run elsewhere.
    """

    request: messages.StatementRequest
    deadline: float
    repeatable: bool = False
    pinned_host: identifiers.HostName | None = None


class Relay:
    """Delivers requests over the links from one entry to the pools."""

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
        self._links = link_table.LinkTable(
            interface=schema.Pool,
            time_source=time_source,
            heartbeat=lambda pool: pool.heartbeat(),
        )
        self._budget = budget.RetryBudget()

    async def deliver(self, delivery: Delivery) -> Relayed:
        """Send a request, with retries, and return its answer.

        Raises `errors.RefusedError` when the deadline passes, or when the link
        is lost before the answer to a request that can't be retried.
        """
        self._budget.deposit()
        backoff = INITIAL_BACKOFF_SECONDS
        redirect = delivery.pinned_host
        reason = 'no host owns the database'
        while self._clock.now() < delivery.deadline:
            attempted = await self._attempt(delivery, redirect)
            if isinstance(attempted, Relayed):
                return attempted
            reason = attempted.reason or reason
            redirect = attempted.redirect
            await asyncio.sleep(backoff * self._random.uniform(0.5, 1))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
            metrics.retries.inc('not run')
        raise errors.RefusedError(refusal=outcomes.unavailable(reason))

    async def release(
        self,
        host: identifiers.HostName,
        pin_id: identifiers.PinId,
    ) -> None:
        """Tell a pool that a caller has abandoned its transaction.

        Does nothing when there is no open link to the host.
        """
        member = self._find_member(host)
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
            # The pool rolls back all transactions of a link that is closed.
            link.close()

    async def _attempt(
        self,
        delivery: Delivery,
        redirect: identifiers.HostName | None,
    ) -> Relayed | RetryableFailure:
        member = self._target_member(delivery, redirect)
        if member is None:
            return RetryableFailure()
        try:
            relayed = await self._send(delivery, member)
        except errors.LinkError as error:
            self._raise_if_pinned(delivery, error)
            return RetryableFailure(reason=str(error))
        answer = relayed.answer
        if _is_retryable(delivery, answer):
            return RetryableFailure(
                reason=answer.message,
                redirect=answer.redirect or None,
            )
        return relayed

    def _target_member(
        self,
        delivery: Delivery,
        redirect: identifiers.HostName | None,
    ) -> members.Member | None:
        fleet_view = self._view()
        if fleet_view is None:
            return None
        redirected = self._find_member(redirect) if redirect else None
        return redirected or fleet_view.owner(delivery.request.database)

    def _find_member(self, host: identifiers.HostName) -> members.Member | None:
        fleet_view = self._view()
        hosts = fleet_view.hosts if fleet_view else ()
        return next((each for each in hosts if each.host == host), None)

    async def _send(
        self,
        delivery: Delivery,
        member: members.Member,
    ) -> Relayed:
        """Send a request once.

        Raises `errors.LinkError` when it had no effect or may be retried.
        """
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
            return self._raise_for_lost_link(delivery, error)
        answer = messages.decode_answer(reply.answer)
        if answer.request_id != delivery.request.request_id:
            link.close()
            return self._raise_for_lost_link(
                delivery,
                errors.LinkLostError('the answer belongs to another request'),
            )
        return Relayed(answer=answer, host=member.host)

    def _raise_for_lost_link(
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
        is_safe_to_repeat = (
            kind is identifiers.StatementKind.READ
            or kind is identifiers.StatementKind.BEGIN
            or delivery.repeatable
            or bool(delivery.request.request_key)
        )
        if is_safe_to_repeat and not is_commit and self._budget.try_withdraw():
            metrics.retries.inc('lost')
            raise errors.LinkError(str(error)) from error
        raise errors.RefusedError(
            refusal=outcomes.unknown(str(error)),
        ) from error

    def _raise_if_pinned(
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


def _is_retryable(delivery: Delivery, answer: messages.Answer) -> bool:
    if delivery.request.expect_pin:
        return False
    is_not_run = answer.outcome is identifiers.Outcome.NOT_RUN
    return is_not_run and answer.error_code in _RETRYABLE_ERROR_CODES
