from testtools import TestCase

from bench.direct_serving import SITE_BY_NAME, Simulation, choose_as_entry, main

# Stated limit on the time to a first token, for 95 requests in 100.
FIRST_TOKEN_MS = 1100


class DirectServingTest(TestCase):
    def _play(self, site: str) -> float:
        simulation = Simulation(SITE_BY_NAME[site], choose_as_entry, 1.0, 1)
        return simulation.run(25.0).percentile(95) * 1000.0

    def test_many_entries_do_not_choose_the_same_idle_server(self) -> None:
        """Guards against queues at servers that all entries believe to be idle."""
        self.assertLessEqual(self._play("grown"), FIRST_TOKEN_MS)

    def test_few_entries_spread_the_usual_load(self) -> None:
        """Guards against choices that are as good as random ones on a small site."""
        self.assertLessEqual(self._play("small"), FIRST_TOKEN_MS)

    def test_command_prints_each_way(self) -> None:
        """Guards against a comparison that cannot be repeated by its command."""
        self.assertEqual(0, main(["--site", "small", "--seconds", "8"]))
