from testtools import TestCase

from bench.direct_serving import SITE_BY_NAME, Simulation, choose_as_entry, main

# Objective for the 95th percentile of the time to the first token.
MAX_P95_FIRST_TOKEN_MS = 1100


class DirectServingTest(TestCase):
    def _p95_first_token_ms(self, site: str) -> float:
        simulation = Simulation(SITE_BY_NAME[site], choose_as_entry, 1.0, 1)
        return simulation.run(25.0).percentile(95) * 1000.0

    def test_many_entries_do_not_choose_the_same_idle_server(self) -> None:
        """Guards against queues that form because many entries choose an idle server.

        Entries learn of each other's requests with a delay, so that all of them see the
        same server as idle.
        """
        self.assertLessEqual(self._p95_first_token_ms("grown"), MAX_P95_FIRST_TOKEN_MS)

    def test_few_entries_balance_normal_load(self) -> None:
        """Guards against choices no better than random ones on a small site."""
        self.assertLessEqual(self._p95_first_token_ms("small"), MAX_P95_FIRST_TOKEN_MS)

    def test_command_compares_all_policies(self) -> None:
        """Guards against a benchmark command that fails."""
        self.assertEqual(0, main(["--site", "small", "--seconds", "8"]))
