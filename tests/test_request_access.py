"""Authorization of requests by the configuration and the age of its view."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.request_access import (
    Denial,
    Denied,
    Granted,
    choose_service,
    decide_access,
)
from lacewingcleat.routing_config import ConfigAccount, RoutingConfig, ServiceShare
from tests.builders_direct import make_config, make_route

REVOCATION = 5.0
APPLY = 2.0


def _decide(
    config: RoutingConfig | None,
    age: float,
    path: str = "/a/x",
    key: str | None = "k",
) -> Granted | Denied:
    return decide_access(config, age, "h", path, key, REVOCATION, APPLY)


class RequestAccessTest(TestCase):
    @given(age=st.floats(0.0, 60.0))
    def test_no_key_passes_at_the_bound(self, age: float) -> None:
        """Guards against admitting a key after the time bound for its removal."""
        found = _decide(make_config(), age)
        if age >= REVOCATION:
            self.assertEqual(Denied(503, Denial.STALE_CONFIG), found)

    @given(age=st.floats(0.0, 60.0), path=st.sampled_from(["/a/x", "/none/"]))
    def test_an_old_view_denies_nothing(self, age: float, path: str) -> None:
        """Guards against 401 and 404 for requests that a newer view permits."""
        found = _decide(make_config(), age, path, "unknown")
        if age > APPLY:
            self.assertEqual(Denied(503, Denial.STALE_CONFIG), found)

    def test_nothing_known(self) -> None:
        """Guards against 404 from a process that has no configuration yet."""
        self.assertEqual(Denied(503, Denial.NO_CONFIG), _decide(None, 0.0))

    def test_public_routes_need_no_key_and_no_fresh_view(self) -> None:
        """Guards against refusing public requests during an outage of the store."""
        config = make_config(make_route(public=True))
        found = _decide(config, 60.0, key=None)
        self.assertIsInstance(found, Granted)

    def test_a_config_without_keys_admits_nobody(self) -> None:
        """Guards against a service that is open to all once its last key is removed."""
        found = _decide(make_config(keys={}), 0.0)
        self.assertEqual(Denied(401, Denial.UNKNOWN_KEY), found)

    def test_the_longest_prefix_wins(self) -> None:
        """Guards against a route that hides a more specific one."""
        config = make_config(make_route("long", "/a/b/"), make_route("short", "/a/"))
        found = _decide(config, 0.0, "/a/b/c")
        assert isinstance(found, Granted)
        self.assertEqual("long", found.route.name)

    def test_the_accounts_priority_goes_first(self) -> None:
        """Guards against using the route's priority if the account has its own."""
        config = make_config(keys={"k": ConfigAccount("acme", 0)})
        found = _decide(config, 0.0)
        assert isinstance(found, Granted)
        self.assertEqual(0, found.priority)

    @given(share=st.floats(0.0, 1.0))
    def test_no_weight_no_request(self, share: float) -> None:
        """Guards against requests to a service whose weight is 0."""
        shares = (ServiceShare("x", 0.0), ServiceShare("y", 3.0))
        self.assertEqual("y", choose_service(make_route(shares=shares), share))
