from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.outlier_ejection import (
    CONSECUTIVE_FAILURE_LIMIT,
    FIRST_EJECTION_SECONDS,
    MAX_EJECTED_SHARE,
    REQUIRED_PROBES,
    SLOW_START_SECONDS,
    Ejected,
    EjectionCause,
    OutlierEjection,
    Reinstated,
    TargetState,
)
from tests.builders_routing import make_target

POOL = [make_target(number) for number in range(1, 7)]


def _fail(ejection: OutlierEjection, number: int, now: float) -> None:
    for _ in range(CONSECUTIVE_FAILURE_LIMIT):
        ejection.record_result(make_target(number), False, now, now)


class OutlierEjectionTest(TestCase):
    def test_failing_target_is_ejected_and_returns_by_probes(self) -> None:
        """Guards against a failed server that stays in use, or never comes back."""
        ejection = OutlierEjection()
        target = POOL[0]
        _fail(ejection, 1, 1.0)
        [event] = ejection.evaluate(POOL, 1.0)
        self.assertEqual((target, EjectionCause.ERRORS), (event.target, event.cause))
        self.assertEqual(0.0, ejection.weight(target, 2.0))
        now = 1.0 + FIRST_EJECTION_SECONDS
        self.assertTrue(ejection.may_probe(target, now))
        ejection.record_probe(target, now)
        self.assertFalse(ejection.may_probe(target, now))
        for _ in range(REQUIRED_PROBES):
            ejection.record_result(target, True, now, now + 0.1)
        self.assertEqual([Reinstated(target)], ejection.evaluate(POOL, now + 0.1))
        self.assertIs(TargetState.SLOW_START, ejection.state(target, now + 1.0))
        self.assertLess(ejection.weight(target, now + 5.0), 0.5)
        later = now + 0.1 + SLOW_START_SECONDS
        self.assertEqual(1.0, ejection.weight(target, later))

    def test_failed_probe_doubles_the_ejection(self) -> None:
        """Guards against a broken server that is probed at the same rate for ever."""
        ejection = OutlierEjection()
        _fail(ejection, 1, 1.0)
        ejection.evaluate(POOL, 1.0)
        now = 1.0 + FIRST_EJECTION_SECONDS
        ejection.record_result(POOL[0], False, now, now)
        [event] = ejection.evaluate(POOL, now)
        self.assertEqual(EjectionCause.PROBE, event.cause)
        self.assertEqual(2 * FIRST_EJECTION_SECONDS, event.seconds)

    def test_result_of_an_earlier_request_is_no_probe(self) -> None:
        """Guards against a stream from before the ejection that counts as a probe."""
        ejection = OutlierEjection()
        _fail(ejection, 1, 1.0)
        ejection.evaluate(POOL, 1.0)
        now = 2.0 + FIRST_EJECTION_SECONDS
        ejection.record_result(POOL[0], False, 0.5, now)
        self.assertEqual([], ejection.evaluate(POOL, now))

    def test_lost_probe_does_not_block_the_next(self) -> None:
        """Guards against a target that stays out because a probe was lost."""
        ejection = OutlierEjection()
        _fail(ejection, 1, 1.0)
        ejection.evaluate(POOL, 1.0)
        ejection.record_probe(POOL[0], 20.0)
        self.assertFalse(ejection.may_probe(POOL[0], 25.0))
        self.assertTrue(ejection.may_probe(POOL[0], 31.0))

    def test_step_time_must_stay_high(self) -> None:
        """Guards against an ejection for one slow report, and a slow rank in use."""
        ejection = OutlierEjection()
        for target in POOL:
            ejection.record_step_time(target, 0.02, 1.0)
        ejection.record_step_time(POOL[0], 0.2, 1.0)
        self.assertEqual([], ejection.evaluate(POOL, 1.0))
        [event] = ejection.evaluate(POOL, 2.0)
        self.assertEqual(
            (POOL[0], EjectionCause.STEP_TIME), (event.target, event.cause)
        )
        self.assertFalse(ejection.may_probe(POOL[0], 11.5))
        ejection.evaluate(POOL, 11.5)
        self.assertFalse(ejection.may_probe(POOL[0], 12.0))

    def test_general_slowdown_ejects_nothing(self) -> None:
        """Guards against ejections that make an overload worse."""
        ejection = OutlierEjection()
        for now in (1.0, 2.0, 3.0):
            for target in POOL:
                ejection.record_step_time(target, 0.5, now)
                ejection.record_first_token(target, 9.0, 0.1, now)
            self.assertEqual([], ejection.evaluate(POOL, now))

    def test_shrunken_pool_reinstates_ejected_targets(self) -> None:
        """Guards against a pool whose last servers are ejected."""
        ejection = OutlierEjection()
        _fail(ejection, 1, 1.0)
        _fail(ejection, 2, 1.0)
        self.assertEqual(2, len(ejection.evaluate(POOL, 1.0)))
        events = ejection.evaluate(POOL[:2], 2.0)
        self.assertEqual([True, True], [event.over_cap for event in events])

    def test_own_pause_ejects_no_target(self) -> None:
        """Guards against a paused entry that blames servers for its own delay."""
        ejection = OutlierEjection()
        for _ in range(10):
            ejection.record_first_token(POOL[0], 30.0, 0.1, 1.0)
        ejection.reset_stats(31.0)
        self.assertEqual([], ejection.evaluate(POOL, 31.0))

    def test_empty_pool(self) -> None:
        """Guards against a division by the size of an empty pool."""
        self.assertEqual([], OutlierEjection().evaluate([], 1.0))

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 11),
                st.sampled_from(["ok", "fail", "slow", "join", "judge"]),
                st.floats(0.0, 5.0),
                st.integers(0, 12),
            ),
            max_size=80,
        ),
    )
    def test_at_most_a_third_is_ejected(
        self, steps: list[tuple[int, str, float, int]]
    ) -> None:
        """Guards against any order of events that ejects over a third of a pool."""
        targets = [make_target(number) for number in range(12)]
        ejection = OutlierEjection()
        now = 0.0
        for number, step, elapsed, size in steps:
            now += elapsed
            target = targets[number]
            match step:
                case "ok" | "fail":
                    for _ in range(CONSECUTIVE_FAILURE_LIMIT):
                        ejection.record_result(target, step == "ok", now, now)
                case "slow":
                    ejection.record_step_time(target, 1.0 + number, now)
                case "join":
                    ejection.record_joined(target, now)
                case "judge":
                    pool = targets[:size]
                    for event in ejection.evaluate(pool, now):
                        self.assertIsInstance(event, Ejected | Reinstated)
                    ejected_states = (TargetState.EJECTED, TargetState.PROBING)
                    count = sum(ejection.state(t, now) in ejected_states for t in pool)
                    self.assertLessEqual(count, size * MAX_EJECTED_SHARE)
