import asyncio
import types
import typing
import unittest

from mysql_mimic import variables

from egretstep import errors, identifiers
from egretstep.callers import entry_services, keys, session
from egretstep.membership import view
from egretstep.observability import traces
from egretstep.peers import messages
from egretstep.routing import relay, statements
from egretstep.settings import freshness, schema

WORKSPACE = identifiers.WorkspaceName('depot')
HOST = identifiers.HostName('host-1')
POSITION = identifiers.LogPosition(term=1, offset=7)


class FakeClock:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


def make_fleet(state: str = 'active') -> schema.FleetSettings:
    servers = {'s': {'zone': 'z', 'address': '127.0.0.1', 'port': 1}}
    keys_by_name = {'first': {'digest': '0' * 40, 'state': state}}
    return schema.FleetSettings(
        zones={'z': {}},
        databases={'loans': {'servers': servers}},
        workspaces={WORKSPACE: {'databases': ['loans'], 'keys': keys_by_name}},
    )


class FakeRelay:
    """Relay that runs each statement and calls `after` before it answers."""

    def __init__(self, after: typing.Callable[[], None]) -> None:
        self.ran: list[bytes] = []
        self._after = after

    async def deliver(self, delivery: relay.Delivery) -> relay.Relayed:
        self.ran.append(delivery.request.sql)
        self._after()
        answer = messages.Answer(
            request_id=delivery.request.request_id,
            outcome=identifiers.Outcome.DONE,
            position=POSITION,
        )
        return relay.Relayed(answer=answer, host=HOST)

    async def release(self, *_arguments: typing.Any) -> None:
        """Do nothing; the tests open no transaction."""


class FakeSettings:
    """View of the settings, which a test changes while a statement runs."""

    def __init__(self, time_source: FakeClock) -> None:
        self._clock = time_source
        self.fleet = make_fleet()
        self.confirmed_at = time_source.now()

    def current(self) -> view.FleetView:
        tree = types.SimpleNamespace(
            fleet=self.fleet,
            effective=lambda **_names: types.SimpleNamespace(
                request_timeout_ms=5000,
            ),
        )
        return typing.cast(
            view.FleetView,
            types.SimpleNamespace(tree=tree, confirmed_at=self.confirmed_at),
        )

    def make_stale(self) -> None:
        self._clock.time += 2 * freshness.FRESHNESS_LIMIT_SECONDS

    def withdraw_key(self) -> None:
        self.fleet = make_fleet(state='withdrawn')


class ChangeDuringStatementTest(unittest.TestCase):
    """The settings change after a statement ran and before its answer.

    The rows of a read must not reach a caller whose key no longer works, and
    a write that ran must not be refused as "not run".
    """

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.settings = FakeSettings(self.clock)

    def execute(
        self,
        sql: bytes,
        after: typing.Callable[[], None],
    ) -> errors.RefusalKind | None:
        self.relay = FakeRelay(after)
        caller_session = session.CallerSession(
            shared=entry_services.EntryServices(
                current_view=self.settings.current,
                relay=typing.cast(relay.Relay, self.relay),
                classifier=statements.StatementClassifier(),
                tracer=traces.Tracer(program='test', sample=0),
                time_source=self.clock,
                zone=identifiers.ZoneName('z'),
                is_stopping=bool,
            ),
            global_variables=variables.GlobalVariables(),
        )
        caller_session.username = keys.encode_identity(
            keys.Identity(workspace=WORKSPACE, key_name='first'),
        )
        try:
            asyncio.run(caller_session.execute(sql))
        except errors.RefusedError as error:
            return error.refusal.kind
        return None

    def test_a_write_that_ran_has_unknown_outcome_if_settings_expire(
        self,
    ) -> None:
        refusal_kind = self.execute(
            b'UPDATE t SET n = 1',
            self.settings.make_stale,
        )
        self.assertEqual(len(self.relay.ran), 1)
        self.assertIs(refusal_kind, errors.RefusalKind.OUTCOME_UNKNOWN)

    def test_a_write_that_ran_has_unknown_outcome_if_its_key_ends(self) -> None:
        refusal_kind = self.execute(
            b'UPDATE t SET n = 1',
            self.settings.withdraw_key,
        )
        self.assertIs(refusal_kind, errors.RefusalKind.OUTCOME_UNKNOWN)

    def test_a_withdrawn_key_gets_no_rows(self) -> None:
        refusal_kind = self.execute(
            b'SELECT n FROM t',
            self.settings.withdraw_key,
        )
        self.assertIs(refusal_kind, errors.RefusalKind.KEY_WITHDRAWN)

    def test_stale_settings_give_no_rows(self) -> None:
        refusal_kind = self.execute(
            b'SELECT n FROM t',
            self.settings.make_stale,
        )
        self.assertIs(refusal_kind, errors.RefusalKind.SETTINGS_STALE)
