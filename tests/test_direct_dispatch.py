"""What a direct entry learns of servers from the ends of attempts."""

from random import Random
from typing import Any

from testtools import TestCase

from lacewingcleat.direct_attempt import AttemptEnd
from lacewingcleat.request_context import DirectCall
from lacewingcleat.direct_dispatch import DirectDispatcher
from lacewingcleat.direct_settings import RuleBounds
from lacewingcleat.direct_state import LEAST_BUDGET_ENTRIES, DirectState
from lacewingcleat.group_tracker import RankStatus
from lacewingcleat.load_gossip import LoadGossip, PeerLoad
from lacewingcleat.request_access import Granted
from lacewingcleat.retries import Attempt, ResponseKind, SendProgress
from tests.builders_direct import make_record, make_route

BOUNDS = RuleBounds(5.0, 2.0, 2.0, 8.0, 0.2, 92.0, 10.0, True)


def make_dispatcher(state: DirectState) -> DirectDispatcher:
    """Make a dispatcher that decides and never sends."""
    nothing: Any = None
    return DirectDispatcher(nothing, state, nothing, nothing, nothing, nothing)


class LearningTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        peers = LoadGossip("me", "10.0.0.1:1", (), Random(1))
        self.state = DirectState("z", BOUNDS, peers, Random(1))
        self.dispatcher = make_dispatcher(self.state)

    def _tells(
        self, said: ResponseKind, timed_out: bool = False, failed: bool = False
    ) -> bool:
        attempt = Attempt("i-1", SendProgress.SOME, said)
        end = AttemptEnd(attempt, "", timed_out=timed_out, server_failed=failed)
        return self.dispatcher._tells_of_server(make_record(), end)

    def test_a_paused_group_blames_no_rank(self) -> None:
        """Guards against ejecting sound ranks after their group was held.

        Seen as up to five of 16 ranks ejected for 10 s after a hold of 3.7 s.
        """
        self.assertTrue(self._tells(ResponseKind.NOTHING, timed_out=True, failed=True))
        status = RankStatus("g", 1, 0, 8, True, 1.0)
        self.state.groups.record_status("i-1", status, 0.0)
        self.assertFalse(self._tells(ResponseKind.NOTHING, timed_out=True, failed=True))
        self.assertTrue(self._tells(ResponseKind.BROKEN, failed=True))

    def test_a_late_request_moves_only_to_a_free_slot(self) -> None:
        """Guards against requests that give up their place in a queue for a worse one.

        Seen on an overloaded group: moved after 1.4 s, given up by the caller at 2 s.
        """
        granted = Granted(make_route(), None)
        call = DirectCall("q", granted, "s", 0.0, 9.0, 9.0, 1, 0.0)
        for name in ("i-1", "i-2"):
            self.state.directory.put(make_record(name))
        slots = make_record().slots
        for _ in range(slots - 1):
            self.state.loads.begin_request("i-2")
        self.assertTrue(self.state.alternative_exists(call, "i-1", 0.0))
        self.state.loads.begin_request("i-2")
        self.assertFalse(self.state.alternative_exists(call, "i-1", 0.0))

    def test_the_entries_share_the_extra_retries(self) -> None:
        """Guards against a fleet that together sends more again than it may."""
        for entries in (1, 8, 35):
            peers = self.state.peers
            for number in range(entries - 1):
                address = f"10.1.0.{number}:1"
                peers.record(PeerLoad("p", 1, entries, address, {}, []), 0.0)
            budget = self.state.budget("s", 0.0)
            spent = 0
            for tenth in range(100):
                spent += budget.try_spend(tenth / 10.0)
            fleet = spent * max(entries, LEAST_BUDGET_ENTRIES)
            self.assertLessEqual(fleet, BOUNDS.retry_extra, entries)

    def test_a_refusal_is_no_fault(self) -> None:
        """Guards against ejecting servers that are only full."""
        self.assertFalse(self._tells(ResponseKind.NOT_RUN))
        self.assertTrue(self._tells(ResponseKind.COMPLETE))
