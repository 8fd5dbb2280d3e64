import asyncio
import types
import typing
import unittest

from mysql_mimic import variables

from egretstep import errors, identifiers
from egretstep.callers import keys, session, surroundings
from egretstep.membership import view
from egretstep.observability import traces
from egretstep.peers import messages
from egretstep.routing import relay, statements
from egretstep.settings import freshness, schema

WORKSPACE = identifiers.WorkspaceName('depot')
HOST = identifiers.HostName('host-1')
POSITION = identifiers.LogPosition(term=1, offset=7)


class Clock:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


def make_fleet(state: str = 'active') -> schema.FleetSettings:
    servers = {'s': {'zone': 'z', 'address': '127.0.0.1', 'port': 1}}
    keys_of = {'first': {'digest': '0' * 40, 'state': state}}
    return schema.FleetSettings(
        zones={'z': {}},
        databases={'loans': {'servers': servers}},
        workspaces={WORKSPACE: {'databases': ['loans'], 'keys': keys_of}},
    )


class Answering:
    """A relay whose owner runs each statement, then lets `after` happen."""

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
        """Roll nothing back."""


class Settings:
    """The view of a host whose settings the test changes."""

    def __init__(self, time_source: Clock) -> None:
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

    def grow_old(self) -> None:
        self._clock.time += 2 * freshness.FRESHNESS_LIMIT_SECONDS

    def withdraw_key(self) -> None:
        self.fleet = make_fleet(state='withdrawn')


class AnswerAfterChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.settings = Settings(self.clock)

    def run_one(
        self, sql: bytes, after: typing.Callable[[], None]
    ) -> errors.RefusalKind | None:
        self.relay = Answering(after)
        caller = session.CallerSession(
            shared=surroundings.Surroundings(
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
        caller.username = keys.encode_identity(
            keys.CallerIdentity(workspace=WORKSPACE, key_name='first'),
        )
        try:
            asyncio.run(caller.execute(sql))
        except errors.RefusedError as error:
            return error.refusal.kind
        return None

    def test_a_write_that_ran_is_not_refused_for_old_settings(self) -> None:
        told = self.run_one(b'UPDATE t SET n = 1', self.settings.grow_old)
        self.assertEqual(len(self.relay.ran), 1)
        self.assertIs(told, errors.RefusalKind.OUTCOME_UNKNOWN)

    def test_a_write_that_ran_is_not_refused_for_its_key(self) -> None:
        told = self.run_one(b'UPDATE t SET n = 1', self.settings.withdraw_key)
        self.assertIs(told, errors.RefusalKind.OUTCOME_UNKNOWN)

    def test_rows_are_kept_from_a_withdrawn_key(self) -> None:
        told = self.run_one(b'SELECT n FROM t', self.settings.withdraw_key)
        self.assertIs(told, errors.RefusalKind.KEY_WITHDRAWN)

    def test_rows_are_kept_while_settings_are_old(self) -> None:
        told = self.run_one(b'SELECT n FROM t', self.settings.grow_old)
        self.assertIs(told, errors.RefusalKind.SETTINGS_STALE)
