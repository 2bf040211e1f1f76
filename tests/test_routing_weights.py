from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.routing_weights import TargetLoad, compute_shares, find_water_level

LOADS = st.builds(
    TargetLoad,
    weighted_capacity=st.floats(0.1, 100.0),
    reported_requests=st.floats(0.0, 500.0),
    request_delta=st.floats(-50.0, 50.0),
    report_age=st.one_of(st.floats(0.0, 100.0), st.just(float("inf"))),
)


class ComputeSharesTest(TestCase):
    def test_only_fresh_report_favours_idle_target(self) -> None:
        """Guards against trust in an old report, and disregard of a new one."""
        shares = []
        for age in (0.0, 60.0):
            loads = [TargetLoad(8, 0, 0, age), TargetLoad(8, 8, 0, age)]
            shares.append(compute_shares(loads, 1.0)[0])
        self.assertEqual(1.0, shares[0])
        self.assertLess(shares[1], 0.55)

    def test_more_traffic_makes_shares_more_equal(self) -> None:
        """Guards against many entries that fill one idle target."""
        loads = [TargetLoad(8, 0, 0, 0.5), TargetLoad(8, 8, 0, 0.5)]
        shares = [compute_shares(loads, rate)[0] for rate in (1.0, 10.0, 100.0)]
        self.assertEqual(sorted(shares, reverse=True), shares)
        self.assertLess(shares[2], 0.55)

    def test_weight_decides_between_equals(self) -> None:
        """Guards against a slow start that gets a full share."""
        loads = [TargetLoad(0.8, 0, 0, 0.1), TargetLoad(8, 0, 0, 0.1)]
        self.assertAlmostEqual(1 / 11, compute_shares(loads, 5.0)[0])

    def test_empty_pool(self) -> None:
        """Guards against a division by the size of an empty pool."""
        self.assertEqual([], compute_shares([], 5.0))

    @given(st.lists(LOADS, min_size=1, max_size=12), st.floats(0.0, 1000.0))
    def test_shares_are_a_distribution(
        self, loads: list[TargetLoad], rate: float
    ) -> None:
        """Guards against negative or lost shares for any mix of reports."""
        shares = compute_shares(loads, rate)
        self.assertGreaterEqual(min(shares), 0.0)
        self.assertAlmostEqual(1.0, sum(shares))

    @given(
        st.lists(
            st.tuples(st.floats(-10, 100), st.floats(0.1, 50)), min_size=1, max_size=12
        ),
        st.floats(1.0, 1000.0),
    )
    def test_level_distributes_all_work(
        self, vessels: list[tuple[float, float]], amount: float
    ) -> None:
        """Guards against a level that shares out more or less than is sent."""
        levels = [level for level, _ in vessels]
        sizes = [size for _, size in vessels]
        level = find_water_level(levels, sizes, amount)
        poured = sum(size * max(0.0, level - own) for own, size in vessels)
        self.assertAlmostEqual(amount, poured, delta=1e-6 * amount + 1e-6)
