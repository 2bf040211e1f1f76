from random import Random

from testtools import TestCase

from lacewingcleat.routing_choice import ChoiceRule, NoRouteReason, ServiceRequest
from tests.builders_routing import make_report, make_request, make_router, make_target


class GroupRouterTest(TestCase):
    def test_less_loaded_candidate_wins(self) -> None:
        """Guards against a choice that ignores the reports."""
        router = make_router(("regina", "regina"))
        router.loads.apply_report(make_report(1, queued_seconds=9.0), "a", 1.0)
        router.loads.apply_report(make_report(2), "b", 1.0)
        rng = Random(1)
        chosen = [router.choose(make_request(), 1.0, rng).unwrap() for _ in range(40)]
        hits = sum(choice.target == make_target(2) for choice in chosen)
        self.assertGreater(hits, 20)

    def test_failed_target_is_never_chosen_again(self) -> None:
        """Guards against a retry that goes back to the target that failed."""
        router = make_router(("regina", "regina"))
        request = make_request(excluded=[make_target(1)])
        for seed in range(20):
            choice = router.choose(request, 1.0, Random(seed)).unwrap()
            self.assertEqual(make_target(2), choice.target)
            self.assertEqual(ChoiceRule.ONLY, choice.rule)

    def test_unknown_pool_is_not_retried(self) -> None:
        """Guards against callers that wait for a service that does not exist."""
        request = ServiceRequest("none", "acme")
        no_route = make_router().choose(request, 1.0, Random(1)).unwrap_err()
        self.assertEqual(NoRouteReason.UNKNOWN_POOL, no_route.reason)
        self.assertIsNone(no_route.retry_after)

    def test_no_available_server_says_so(self) -> None:
        """Guards against an empty pool that raises instead of answering."""
        router = make_router()
        router.set_servers(set(), set(), 2.0)
        no_route = router.choose(make_request(), 2.0, Random(1)).unwrap_err()
        self.assertEqual(NoRouteReason.ALL_UNAVAILABLE, no_route.reason)
