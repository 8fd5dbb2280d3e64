"""Properties of rate limits, session floors and parsers of input."""

import unittest

import hypothesis
from hypothesis import strategies

from egretstep import clock, identifiers
from egretstep.callers import parameter_binding
from egretstep.limits import bucket
from egretstep.replication import floors
from egretstep.routing import statements
from egretstep.settings import loader, schema

RATE = 20
BURST = 5
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    max_examples=200,
    deadline=None,
)


class BucketProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 0.5),
                strategies.floats(0, 0.3),
                strategies.integers(0, 4),
            ),
            max_size=60,
        ),
    )
    def test_no_window_gets_more_than_rate_and_burst(
        self,
        steps: list[tuple[float, float, int]],
    ) -> None:
        source = clock.ManualClock()
        token_bucket = bucket.TokenBucket(
            rate=RATE, burst=BURST, time_source=source
        )
        run_times: list[float] = []
        for pause, longest_wait, count in steps:
            source.advance(pause)
            wait = token_bucket.reserve(longest_wait=longest_wait)
            if wait is not None:
                run_times.append(source.now() + wait)
            run_times.extend([source.now()] * token_bucket.take(count))
        run_times.sort()
        for first, window_start in enumerate(run_times):
            for last in range(first, len(run_times)):
                allowed = BURST + RATE * (run_times[last] - window_start)
                self.assertLessEqual(last - first + 1, allowed + 1e-6)


class FloorProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.sampled_from('abcdef'),
            ),
            max_size=80,
        ),
    )
    def test_floor_is_never_below_the_own_write(
        self,
        steps: list[tuple[bool, str]],
    ) -> None:
        session_floors = floors.SessionFloors(capacity=2)
        last_writes: dict[str, int] = {}
        for index, (is_write, name) in enumerate(steps, start=1):
            session = identifiers.SessionId(name)
            if is_write:
                last_writes[name] = index
                session_floors.acknowledge(
                    session_id=session,
                    position=identifiers.LogPosition(term=1, offset=index),
                )
            floor = session_floors.floor(
                session_id=session,
                carried=identifiers.LOG_START,
            )
            self.assertGreaterEqual(floor.offset, last_writes.get(name, 0))
            self.assertLessEqual(len(session_floors), 2)


class InputProperty(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.text(max_size=200))
    def test_any_text_is_classified_or_refused(self, sql: str) -> None:
        statements.classify_text(sql)

    @SETTINGS
    @hypothesis.given(strategies.text(max_size=200))
    def test_any_settings_text_is_checked(self, text: str) -> None:
        loader.parse(text=text, model=schema.FleetSettings)

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=60))
    def test_a_literal_is_one_token(self, raw: bytes) -> None:
        literal_text = parameter_binding.format_literal(raw).decode()
        parts = parameter_binding.split_at_placeholders(
            f'SELECT {literal_text} , ?'
        )
        self.assertEqual(parts, [f'SELECT {literal_text} , ', ''])
