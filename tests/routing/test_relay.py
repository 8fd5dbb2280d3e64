import contextlib
import unittest
import unittest.mock

from egretstep import clock, errors, identifiers
from egretstep.membership import members
from egretstep.peers import messages
from egretstep.routing import relay

Kind = identifiers.StatementKind
LOST = errors.LinkLostError('lost')


class FakeLink:
    """Answers each call with the next of a list of results."""

    is_open = True

    def __init__(self, *results: object) -> None:
        self.results = list(results)
        self.calls = 0

    async def call(self, _call: object, *, timeout: float) -> object:
        self.calls += 1
        outcome = self.results.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return unittest.mock.Mock(answer=outcome)

    def close(self) -> None:
        """Do nothing."""


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        member = members.Member(
            host=identifiers.HostName('h'),
            zone=identifiers.ZoneName('z'),
            address='127.0.0.1',
            agent_port=1,
            pool_port=2,
        )
        view = unittest.mock.Mock(hosts=(member,))
        view.owner.return_value = member
        self.relay = relay.Relay(
            current_view=lambda: view,
            time_source=clock.MonotonicClock(),
            seed=1,
        )

    async def _deliver(
        self,
        link: FakeLink,
        kind: Kind,
        *,
        expect_pin: bool = False,
        request_key: str = '',
        repeatable: bool = False,
    ) -> relay.Relayed:
        request = messages.StatementRequest(
            request_id=identifiers.RequestId(7),
            workspace=identifiers.WorkspaceName('w'),
            database=identifiers.DatabaseName('d'),
            sql=b'x',
            kind=kind,
            timeout_ms=1000,
            expect_pin=expect_pin,
            request_key=identifiers.RequestKey(request_key),
        )
        delivery = relay.Delivery(
            request=request,
            deadline=clock.MonotonicClock().now() + 1,
            repeatable=repeatable,
        )
        with contextlib.ExitStack() as stack:
            patch = unittest.mock.patch.object
            stack.enter_context(
                patch(self.relay, '_link', return_value=link),
            )
            stack.enter_context(
                patch(messages, 'decode_answer', side_effect=lambda each: each),
            )
            return await self.relay.deliver(delivery)

    async def test_write_on_a_lost_link_is_unknown_and_not_retried(
        self,
    ) -> None:
        link = FakeLink(LOST)
        with self.assertRaises(errors.RefusedError) as refused:
            await self._deliver(link, Kind.WRITE)
        outcome = refused.exception.refusal.outcome
        self.assertIs(outcome, identifiers.Outcome.UNKNOWN)
        self.assertEqual(link.calls, 1)

    async def test_commit_on_a_lost_link_is_unknown(self) -> None:
        with self.assertRaises(errors.RefusedError) as refused:
            await self._deliver(FakeLink(LOST), Kind.COMMIT, expect_pin=True)
        outcome = refused.exception.refusal.outcome
        self.assertIs(outcome, identifiers.Outcome.UNKNOWN)

    async def test_statement_on_a_lost_link_loses_its_transaction(self) -> None:
        with self.assertRaises(errors.RefusedError) as refused:
            await self._deliver(FakeLink(LOST), Kind.WRITE, expect_pin=True)
        kind = refused.exception.refusal.kind
        self.assertIs(kind, errors.RefusalKind.TRANSACTION_LOST)

    async def test_reads_and_repeatable_writes_are_retried(self) -> None:
        for kind, options in (
            (Kind.READ, {}),
            (Kind.WRITE, {'request_key': 'k'}),
            (Kind.WRITE, {'repeatable': True}),
        ):
            link = FakeLink(LOST, _done())
            relayed = await self._deliver(link, kind, **options)
            self.assertIs(relayed.answer.outcome, identifiers.Outcome.DONE)

    async def test_answer_to_another_request_is_not_passed_on(self) -> None:
        link = FakeLink(_done(request_id=8))
        with self.assertRaises(errors.RefusedError) as refused:
            await self._deliver(link, Kind.WRITE)
        outcome = refused.exception.refusal.outcome
        self.assertIs(outcome, identifiers.Outcome.UNKNOWN)

    async def test_request_that_has_not_run_is_retried(self) -> None:
        link = FakeLink(
            errors.LinkError('down'),
            _done(
                outcome=identifiers.Outcome.NOT_RUN,
                error_code=errors.RefusalKind.NOT_OWNER.code,
            ),
            _done(),
        )
        await self._deliver(link, Kind.WRITE)
        self.assertEqual(link.calls, 3)


def _done(**changes: object) -> messages.Answer:
    fields: dict = {
        'request_id': identifiers.RequestId(7),
        'outcome': identifiers.Outcome.DONE,
    }
    return messages.Answer(**(fields | changes))
