import unittest

from returns import result

from egretstep import errors, identifiers
from egretstep.routing import statements

Kind = identifiers.StatementKind
CASES = {
    'SELECT * FROM loans WHERE id = 7': Kind.READ,
    "SELECT * FROM loans WHERE note = 'a;b'": Kind.READ,
    'WITH x AS (SELECT 1) SELECT * FROM x': Kind.READ,
    'WITH x AS (SELECT 1) DELETE FROM loans': Kind.WRITE,
    'SELECT * FROM loans FOR UPDATE': Kind.WRITE,
    'SELECT * FROM loans LOCK IN SHARE MODE': Kind.WRITE,
    "SELECT * INTO OUTFILE 'x' FROM loans": Kind.WRITE,
    'SELECT refund(7)': Kind.WRITE,
    "SELECT GET_LOCK('a', 1)": Kind.SESSION,
    'SELECT @a := 1': Kind.SESSION,
    'SELECT NOW(), UUID(), COUNT(*) FROM loans': Kind.READ,
    'CALL refund(7)': Kind.WRITE,
    'BEGIN': Kind.BEGIN,
    'START TRANSACTION READ ONLY': Kind.BEGIN,
    'COMMIT': Kind.COMMIT,
    'ROLLBACK': Kind.ROLLBACK,
    'ROLLBACK TO first': Kind.WRITE,
    'SET @a = 1': Kind.SESSION,
    'LOCK TABLES loans WRITE': Kind.SESSION,
    'CREATE TEMPORARY TABLE t (a INT)': Kind.SESSION,
    'CREATE TABLE t (a INT)': Kind.WRITE,
    'SHOW TABLES': Kind.READ,
    'EXPLAIN DELETE FROM loans': Kind.READ,
    'EXPLAIN ANALYZE SELECT 1': Kind.WRITE,
    '/* till 4 */ SELECT 1': Kind.READ,
    'this is no SQL': Kind.WRITE,
}
REFUSED = {
    'SELECT 1; DELETE FROM loans': errors.RefusalKind.MANY_STATEMENTS,
    "SELECT 'a'; SELECT ';'": errors.RefusalKind.MANY_STATEMENTS,
    '': errors.RefusalKind.SYNTAX,
    'SELECT /*! 1; DROP TABLE loans */': errors.RefusalKind.SYNTAX,
    "CALL group_fence(9, 'me')": errors.RefusalKind.ACCESS_DENIED,
    "CALL Fault_Set('silent', 1)": errors.RefusalKind.ACCESS_DENIED,
}


class ClassifierTest(unittest.TestCase):
    def test_kinds(self) -> None:
        classifier = statements.StatementClassifier()
        for sql, kind in CASES.items():
            with self.subTest(sql=sql):
                found = classifier.classify_sync(sql)
                self.assertEqual(found, result.Success(kind))

    def test_refusals(self) -> None:
        for sql, kind in REFUSED.items():
            with self.subTest(sql=sql):
                refusal = statements.classify_text(sql).failure()
                self.assertIs(refusal.kind, kind)

    def test_shape_leaves_literals_out(self) -> None:
        self.assertEqual(
            statements.shape_of("SELECT 'it''s', 4.5 FROM t2"),
            'SELECT ?, ? FROM t2',
        )

    def test_text_with_ambiguous_quotes_is_its_own_shape(self) -> None:
        for sql in (r"SELECT 'a\' FROM t", 'SELECT "x"', "SELECT 1 -- '"):
            self.assertEqual(statements.shape_of(sql), sql)

    def test_cache_is_bounded(self) -> None:
        classifier = statements.StatementClassifier(capacity=2)
        for name in 'abcd':
            classifier.classify_sync(f'SELECT 1 FROM {name}')
        self.assertEqual(len(classifier._shapes), 2)
