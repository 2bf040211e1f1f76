"""Authorization of requests by the configuration and the age of its view."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.request_access import (
    DenialReason,
    Denied,
    Granted,
    authorize_request,
    choose_service,
)
from lacewingcleat.routing_config import ConfigAccount, RoutingConfig, WeightedService
from tests.builders_direct import make_config, make_route

REVOCATION = 5.0
APPLY = 2.0


def _authorize(
    config: RoutingConfig | None,
    age: float,
    path: str = "/a/x",
    key: str | None = "k",
) -> Granted | Denied:
    return authorize_request(config, age, "h", path, key, REVOCATION, APPLY)


class RequestAccessTest(TestCase):
    @given(age=st.floats(0.0, 60.0))
    def test_no_key_is_admitted_past_the_bound(self, age: float) -> None:
        """Guards against admitting a key after the time bound for its removal."""
        access = _authorize(make_config(), age)
        if age >= REVOCATION:
            self.assertEqual(Denied(503, DenialReason.STALE_CONFIG), access)

    @given(age=st.floats(0.0, 60.0), path=st.sampled_from(["/a/x", "/none/"]))
    def test_an_old_view_denies_nothing(self, age: float, path: str) -> None:
        """Guards against 401 and 404 for requests that a newer view permits."""
        access = _authorize(make_config(), age, path, "unknown")
        if age > APPLY:
            self.assertEqual(Denied(503, DenialReason.STALE_CONFIG), access)

    @given(age=st.floats(0.0, 60.0), path=st.sampled_from(["/a/x", "/none/"]))
    def test_a_config_that_may_be_lost_denies_nothing(
        self, age: float, path: str
    ) -> None:
        """Guards against 404 for a route that the restored store has lost."""
        access = authorize_request(
            make_config(), age, "h", path, "unknown", REVOCATION, APPLY, True
        )
        self.assertEqual(Denied(503, DenialReason.STALE_CONFIG), access)

    def test_missing_config_gives_503(self) -> None:
        """Guards against 404 from a process that has no configuration yet."""
        self.assertEqual(Denied(503, DenialReason.NO_CONFIG), _authorize(None, 0.0))

    def test_public_routes_need_no_key_and_no_fresh_view(self) -> None:
        """Guards against refusing public requests during an outage of the store."""
        config = make_config(make_route(public=True))
        access = _authorize(config, 60.0, key=None)
        self.assertIsInstance(access, Granted)

    def test_a_config_without_keys_admits_nobody(self) -> None:
        """Guards against a service that is open to all once its last key is removed."""
        access = _authorize(make_config(keys={}), 0.0)
        self.assertEqual(Denied(401, DenialReason.UNKNOWN_KEY), access)

    def test_the_longest_prefix_wins(self) -> None:
        """Guards against a route that hides a more specific one."""
        config = make_config(make_route("long", "/a/b/"), make_route("short", "/a/"))
        access = _authorize(config, 0.0, "/a/b/c")
        assert isinstance(access, Granted)
        self.assertEqual("long", access.route.name)

    def test_account_priority_overrides_route_priority(self) -> None:
        """Guards against using the route's priority if the account has its own."""
        config = make_config(keys={"k": ConfigAccount("acme", 0)})
        access = _authorize(config, 0.0)
        assert isinstance(access, Granted)
        self.assertEqual(0, access.priority)

    @given(share=st.floats(0.0, 1.0))
    def test_zero_weight_gets_no_requests(self, share: float) -> None:
        """Guards against requests to a service whose weight is 0."""
        shares = (WeightedService("x", 0.0), WeightedService("y", 3.0))
        self.assertEqual("y", choose_service(make_route(shares=shares), share))
