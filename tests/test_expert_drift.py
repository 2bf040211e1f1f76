"""Maps of groups whose topics shift, against static maps, in `bench.expert_drift`."""

from dataclasses import replace

from testtools import TestCase

from bench.expert_drift import MODELS, compare

SECONDS = 12.0


class ExpertDriftTest(TestCase):
    def test_large_groups_follow_shifting_topics(self) -> None:
        """Guards against maps that are kept, or that fit a demand which has passed.

        Passes must take at most 0.85 of their time with the static map, copies
        included.
        """
        for model in MODELS[:4]:
            outcome = compare(model, SECONDS, 1, with_best=False)
            self.assertLess(
                outcome.driver.mean_pass_time, 0.85 * outcome.static.mean_pass_time
            )

    def test_small_groups_are_not_worse_off(self) -> None:
        """Guards against switches that cost a small group more than they gain."""
        outcome = compare(MODELS[4], SECONDS, 1, with_best=False)
        self.assertLess(outcome.driver.mean_pass_time, outcome.static.mean_pass_time)

    def test_a_calm_day_is_not_slower(self) -> None:
        """Guards against maps that fit the prompts of a few ranks of a large group.

        With maps for the counts of 2 of 96 ranks, streams of a calm day were later.
        Here all topics prefer the same experts.
        """
        model = replace(MODELS[1], preferred_load=0.0)
        outcome = compare(model, SECONDS, 1, with_best=False)
        self.assertLessEqual(
            outcome.driver.mean_pass_time, outcome.static.mean_pass_time
        )
