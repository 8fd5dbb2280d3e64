import unittest

from egretstep import errors, identifiers
from egretstep.callers import hints, keys, parameter_binding
from egretstep.settings import schema


class ParameterBindingTest(unittest.TestCase):
    def test_values_cannot_end_their_literal(self) -> None:
        pieces = parameter_binding.split_at_placeholders('SELECT ? , ?')
        malicious = [b"' OR '1'='1", b'a\\']
        self.assertEqual(
            parameter_binding.bind(pieces, malicious),
            b"SELECT ''' OR ''1''=''1' , 'a\\\\'",
        )

    def test_a_value_that_looks_like_a_placeholder(self) -> None:
        pieces = parameter_binding.split_at_placeholders(
            "SELECT '?', ?, `a?`, ?"
        )
        statement = parameter_binding.bind(pieces, [b'?', 2])
        self.assertEqual(statement, b"SELECT '?', '?', `a?`, 2")

    def test_bytes_that_are_not_text(self) -> None:
        self.assertEqual(
            parameter_binding.format_literal(b'\xff\x00'), b"X'ff00'"
        )
        self.assertEqual(parameter_binding.format_literal(None), b'NULL')


class HintsTest(unittest.TestCase):
    def test_session_and_staleness(self) -> None:
        with_session = hints.apply_statement(
            hints.Hints(),
            "SET @egretstep_session = 'till-4'",
        ).unwrap()
        with_both = hints.apply_statement(
            with_session,
            'SET @egretstep_max_staleness_ms = 500',
        ).unwrap()
        self.assertEqual(with_both.session, 'till-4')
        self.assertEqual(with_both.max_staleness_ms, 500)

    def test_wrong_values_are_refused_with_a_remedy(self) -> None:
        for sql in (
            "SET @egretstep_session = 'a b'",
            "SET @egretstep_request_key = 'x''; DROP'",
            "SET @egretstep_timeout_ms = 'soon'",
            "SET @egretstep_colour = 'blue'",
        ):
            refusal = hints.apply_statement(hints.Hints(), sql).failure()
            self.assertIs(refusal.kind, errors.RefusalKind.WRONG_VALUE)


class IdentityTest(unittest.TestCase):
    def test_withdrawn_and_unknown_keys(self) -> None:
        fleet = schema.FleetSettings(
            zones={'z': {}},
            databases={
                'd': {
                    'servers': {
                        's': {'zone': 'z', 'address': '127.0.0.1', 'port': 1},
                    },
                },
            },
            workspaces={
                'w': {
                    'databases': ['d'],
                    'keys': {
                        'old': {'digest': '0' * 40, 'state': 'withdrawn'},
                        'new': {'digest': '1' * 40},
                    },
                },
            },
        )
        workspace = identifiers.WorkspaceName('w')
        active = {
            name: keys.is_active(
                keys.Identity(workspace=workspace, key_name=name),
                fleet,
            )
            for name in ('old', 'new', 'none', '')
        }
        self.assertEqual(
            active,
            {'old': False, 'new': True, 'none': False, '': False},
        )
