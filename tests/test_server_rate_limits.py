"""Shares of the limits that servers name, and their exchange between entries."""

from random import Random

from testtools import TestCase

from lacewingcleat.server_rate_limits import (
    MAX_LIMITS_PER_MESSAGE,
    REPEAT_SECONDS,
    NamedLimit,
    ServerRateLimits,
)
from tests.limit_simulation import LimitFleet
from tests.limited_servers import WINDOW_SECONDS, allowed_arrivals, busiest_window

# What the users ask of a larger fleet against a smaller one.
MIN_SERVED_SHARE = 0.7


class ServerRateLimitsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limits = ServerRateLimits("e1")

    def _send_all(self, seconds: float) -> int:
        sent = 0
        for step in range(int(seconds * 20)):
            now = step / 20.0
            if self.limits.may_send("i", now):
                self.limits.take("i", now)
                sent += 1
        return sent

    def test_lone_entry_sends_as_much_as_the_server_takes(self) -> None:
        """Guards against sparing a server more than it asks for."""
        self.assertTrue(self.limits.may_send("i", 0.0))
        self.limits.record_answer("i", 2.0, 0.0, 0.0)
        self.assertEqual(20, self._send_all(10.05))

    def test_shares_of_all_entries_add_up_to_the_limit(self) -> None:
        """Guards against a limit that each entry takes for itself."""
        names = [f"e{number}" for number in range(35)]
        sent = 0
        for name in names:
            self.limits = ServerRateLimits(name)
            self.limits.set_entries(names, 0.0)
            self.limits.record_answer("i", 3.5, 0.0, 0.0)
            sent += self._send_all(20.0)
        self.assertTrue(0.8 * 3.5 * 20 <= sent <= 3.5 * 20 + 1, sent)

    def _serve_through(self, count: int) -> float:
        """Send twice what 16 servers take and return the share of it that is sent."""
        random = Random(1)
        servers = [f"i-{number}" for number in range(16)]
        names = [f"e{number}" for number in range(count)]
        limits_by_name = {name: ServerRateLimits(name) for name in names}
        arrivals: dict[str, list[float]] = {server: [] for server in servers}
        for limits in limits_by_name.values():
            limits.set_entries(names, 0.0)
            for server in servers:
                limits.record_answer(server, 1.0, 0.0, 0.0)
        for step in range(20 * 2 * len(servers)):
            now = step / (2.0 * len(servers))
            limits = limits_by_name[random.choice(names)]
            allowed = [name for name in servers if limits.may_send(name, now)]
            if allowed:
                server = random.choice(allowed)
                limits.take(server, now)
                arrivals[server].append(now)
        most = max(map(busiest_window, arrivals.values()))
        self.assertLessEqual(most, allowed_arrivals(1.0), count)
        return sum(map(len, arrivals.values())) / 20.0 / len(servers)

    def test_load_is_served_as_far_as_all_servers_take_it(self) -> None:
        """Guards against refusing what servers in need still take."""
        for count in (8, 35):
            served = self._serve_through(count)
            self.assertGreater(served, MIN_SERVED_SHARE, count)

    def test_load_is_served_as_far_as_all_servers_take_it_in_large_fleets(self) -> None:
        """Guards against refusing at entries that have no share of any limit."""
        self.assertGreater(self._serve_through(98), MIN_SERVED_SHARE)

    def test_limit_of_nothing_still_lets_the_end_of_it_be_seen(self) -> None:
        """Guards against never asking a server again."""
        self.limits.record_answer("i", 0.0, 0.0, 0.0)
        self.assertEqual(1, self._send_all(11.0))

    def test_answer_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        """Guards against a late answer from before the server's need."""
        self.limits.record_answer("i", 1.0, 4.0, 5.0)
        self.assertFalse(self.limits.record_answer("i", None, 4.9, 5.1))
        self.assertFalse(self.limits.may_send("i", 5.1))
        self.assertTrue(self.limits.record_answer("i", None, 5.05, 5.2))
        self.assertTrue(self.limits.may_send("i", 5.2))

    def test_older_news_of_a_peer_is_ignored(self) -> None:
        """Guards against a limit that comes back after its end."""
        self.limits.record_answer("i", 1.0, 4.0, 5.0)
        self.limits.record_answer("i", None, 5.5, 6.0)
        self.assertEqual([], self.limits.merge([NamedLimit("i", 1.0, 1.0)], 6.5))
        self.assertTrue(self.limits.may_send("i", 6.5))
        newer = NamedLimit("i", 1.0, 0.0)
        self.assertEqual([newer], self.limits.merge([newer], 6.5))
        self.assertFalse(self.limits.may_send("i", 6.5))

    def test_messages_are_bounded_and_name_each_limit_in_turn(self) -> None:
        """Guards against datagrams that grow with the servers in need."""
        for number in range(3 * MAX_LIMITS_PER_MESSAGE):
            self.limits.record_answer(f"i-{number}", 1.0, 0.0, 0.0)
        seen: set[str] = set()
        for _ in range(3):
            message = self.limits.next_message(1.0)
            self.assertEqual(MAX_LIMITS_PER_MESSAGE, len(message))
            seen.update(named.server for named in message)
        self.assertEqual(3 * MAX_LIMITS_PER_MESSAGE, len(seen))
        self.assertEqual([], self.limits.next_message(REPEAT_SECONDS + 0.1))

    def test_forgotten_server_is_not_limited(self) -> None:
        """Guards against limits of servers that are gone."""
        self.limits.record_answer("i", 1.0, 0.0, 0.0)
        self.limits.retain(())
        self.assertEqual(0, self.limits.limited_count)


class FleetLimitTest(TestCase):
    def test_fleets_keep_to_a_limit_over_restarts_cuts_and_joins(self) -> None:
        """Guards against a server in need that entries together overload."""
        for count in (8, 35, 98):
            for seed, limit in ((1, 0.4), (2, 1.1), (3, 6.0)):
                fleet = LimitFleet(count, seed, limit)
                fleet.play_disturbed_day(requests_per_second=count * 2.0)
                most = busiest_window(fleet.counted_arrivals)
                case = (count, seed, limit, most)
                self.assertLessEqual(most, allowed_arrivals(limit), case)
                self.assertEqual(0, fleet.refused, case)

    def test_all_entries_use_a_server_again_after_its_need(self) -> None:
        """Guards against entries that never hear of the end of a limit."""
        for count in (8, 35, 98):
            fleet = LimitFleet(count, 1, 1.0)
            fleet.advance(10.0, count * 2.0)
            fleet.per_second = None
            fleet.advance(6.0, count * 2.0)
            before = len(fleet.arrivals)
            fleet.advance(WINDOW_SECONDS, count * 2.0)
            fair_share = count * 2.0 * WINDOW_SECONDS / 8
            self.assertGreater(len(fleet.arrivals) - before, 0.6 * fair_share, count)
