from testtools import TestCase

from lacewingcleat.request_cost import PRIOR_OUTPUT_TOKENS, CostModel, GroupRates

RATES = GroupRates(10_000.0, 0.02, 10)


class CostModelTest(TestCase):
    def test_cached_prompt_and_batch_share_are_counted(self) -> None:
        """Guards against a cost that ignores the cache or the shared step."""
        cost = CostModel().estimate(30_000, 20_000, 100.0, RATES)
        self.assertAlmostEqual(1.0, cost.prefill_seconds)
        self.assertAlmostEqual(0.2, cost.decode_seconds)

    def test_more_cached_than_prompt_costs_nothing(self) -> None:
        """Guards against a negative cost from an overestimated prefix."""
        self.assertEqual(0.0, CostModel().estimate(5, 128, 0.0, RATES).total_seconds)

    def test_accounts_have_separate_estimates(self) -> None:
        """Guards against one account's long outputs charged to all."""
        costs = CostModel()
        for _ in range(50):
            costs.record_output("long", "m", 6000)
            costs.record_output("short", "m", 20)
        long = costs.expected_output_tokens("long", "m")
        short = costs.expected_output_tokens("short", "m")
        self.assertGreater(long, 50 * short / 2)
        between = costs.expected_output_tokens("new", "m")
        self.assertTrue(short < between < long)

    def test_callers_token_limit_bounds_the_estimate(self) -> None:
        """Guards against a short request that is charged a long output."""
        costs = CostModel()
        self.assertEqual(10.0, costs.expected_output_tokens("a", "m", 10))
        for _ in range(50):
            costs.record_output("a", "m", 6000)
        self.assertLessEqual(costs.expected_output_tokens("a", "m", 10), 10.0)

    def test_estimate_follows_a_change(self) -> None:
        """Guards against a history so heavy that a new pattern never shows."""
        costs = CostModel()
        for _ in range(1000):
            costs.record_output("a", "m", 20)
        for _ in range(128):
            costs.record_output("a", "m", 6000)
        self.assertGreater(costs.expected_output_tokens("a", "m"), 3000)

    def test_histories_are_bounded(self) -> None:
        """Guards against memory that grows with the number of accounts."""
        costs = CostModel(max_histories=10)
        for number in range(100):
            costs.record_output(f"a{number}", "m", 20)
        self.assertEqual(10, len(costs))
        self.assertLess(
            costs.expected_output_tokens("new", "m"), PRIOR_OUTPUT_TOKENS / 2
        )
