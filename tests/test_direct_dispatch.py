"""Outlier ejection, retries and retry budgets of a direct entry."""

from random import Random
from typing import Any

from testtools import TestCase

from lacewingcleat.attempt_result import AttemptResult
from lacewingcleat.direct_dispatch import DirectDispatcher
from lacewingcleat.direct_settings import PlatformBounds
from lacewingcleat.direct_state import MIN_BUDGET_ENTRIES, DirectState
from lacewingcleat.group_tracker import RankStatus
from lacewingcleat.load_gossip import LoadGossip, PeerLoad
from lacewingcleat.request_access import Granted
from lacewingcleat.request_context import RequestContext
from lacewingcleat.retries import Attempt, ResponseKind, SendProgress
from tests.builders_direct import make_record, make_route

BOUNDS = PlatformBounds(5.0, 2.0, 2.0, 8.0, 0.2, 92.0, 10.0)


def make_dispatcher(state: DirectState) -> DirectDispatcher:
    """Make a dispatcher without log, metrics and connections."""
    nothing: Any = None
    return DirectDispatcher(nothing, state, nothing, nothing, nothing, nothing, nothing)


class DirectDispatchTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        peers = LoadGossip("me", "10.0.0.1:1", (), Random(1))
        self.state = DirectState("z", BOUNDS, peers, Random(1))
        self.dispatcher = make_dispatcher(self.state)

    def _counts_towards_ejection(
        self,
        response: ResponseKind,
        timed_out: bool = False,
        server_failed: bool = False,
    ) -> bool:
        attempt = Attempt("i-1", SendProgress.SOME, response)
        result = AttemptResult(
            attempt, "", timed_out=timed_out, server_failed=server_failed
        )
        return self.dispatcher._counts_towards_ejection(make_record(), result)

    def test_timeout_of_group_does_not_eject_ranks(self) -> None:
        """Guards against ejecting healthy ranks after a pause of their group.

        A group that is on hold answers no request in time. After a hold of 3.7 s, up to
        five of 16 ranks were ejected for 10 s.
        """
        self.assertTrue(
            self._counts_towards_ejection(
                ResponseKind.NOTHING, timed_out=True, server_failed=True
            )
        )
        status = RankStatus("g", 1, 0, 8, True, 1.0)
        self.state.groups.record_status("i-1", status, 0.0)
        self.assertFalse(
            self._counts_towards_ejection(
                ResponseKind.NOTHING, timed_out=True, server_failed=True
            )
        )
        self.assertTrue(
            self._counts_towards_ejection(ResponseKind.BROKEN, server_failed=True)
        )

    def test_late_request_is_retried_only_at_free_slot(self) -> None:
        """Guards against retries that move a request to the end of another queue.

        On an overloaded group, requests were moved after 1.4 s and the callers
        disconnected after 2 s.
        """
        granted = Granted(make_route(), None)
        context = RequestContext("q", granted, "s", 0.0, 9.0, 9.0, 1, 0.0)
        for name in ("i-1", "i-2"):
            self.state.directory.put(make_record(name))
        slots = make_record().slots
        for _ in range(slots - 1):
            self.state.loads.begin_request("i-2")
        self.assertTrue(self.state.has_alternative_server(context, "i-1", 0.0))
        self.state.loads.begin_request("i-2")
        self.assertFalse(self.state.has_alternative_server(context, "i-1", 0.0))

    def test_entries_share_the_extra_retries(self) -> None:
        """Guards against a fleet whose entries together exceed the retry budget."""
        for entries in (1, 8, 35):
            peers = self.state.peers
            for number in range(entries - 1):
                address = f"10.1.0.{number}:1"
                peers.record(PeerLoad("p", 1, entries, address, {}, []), 0.0)
            budget = self.state.retry_budget("s", 0.0)
            spent = 0
            for tenth in range(100):
                spent += budget.try_spend(tenth / 10.0)
            fleet_retries = spent * max(entries, MIN_BUDGET_ENTRIES)
            self.assertLessEqual(fleet_retries, BOUNDS.extra_retries, entries)

    def test_refusal_does_not_count_as_failure(self) -> None:
        """Guards against ejecting servers that refuse requests while they are full."""
        self.assertFalse(self._counts_towards_ejection(ResponseKind.NOT_RUN))
        self.assertTrue(self._counts_towards_ejection(ResponseKind.COMPLETE))
