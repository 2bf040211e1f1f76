import msgspec
from testtools import TestCase

from lacewingcleat.account_limits import (
    LimitPermit,
    LimitReason,
    LimitRefusal,
    LimitWait,
)
from lacewingcleat.sheet import Zone
from tests.builders import make_account, make_sheet
from tests.builders_limits import LimitsNetwork, make_limits_zone

WARM_UP_SECONDS = 14.0


def offer_overload(network: LimitsNetwork, seconds: float, entries: list[str]) -> int:
    """Offer far more than the limit and count what is admitted."""
    admitted = 0
    for _ in range(int(seconds / 0.05)):
        for instance in entries:
            process = network.process_by_instance[instance]
            limits = process.limits
            decision = limits.admit("acme", 10, network.now)
            if isinstance(decision, LimitWait):
                network.send(process.peer, decision.actions)
                decision = limits.admit("acme", 10, network.now, waited=True)
            if isinstance(decision, LimitPermit):
                admitted += 1
                limits.finish(decision, 10, network.now)
        network.run(0.05, 0.05)
    return admitted


class AccountLimitsTest(TestCase):
    def test_one_entry_gets_the_whole_pool_when_the_others_are_idle(self) -> None:
        """Guards against a limit that is only a static split."""
        network = make_limits_zone(make_sheet())
        network.run(WARM_UP_SECONDS)
        offer_overload(network, 5.0, ["regina-0"])
        admitted = offer_overload(network, 10.0, ["regina-0"])
        self.assertGreaterEqual(admitted, 100 * 0.85)
        self.assertLessEqual(admitted, 100 + 10 + 1)

    def test_idle_zones_lend_their_share(self) -> None:
        """Guards against a busy zone that is held to its share of the limit."""
        sheet = make_sheet(
            zones=[Zone(name, "prairie", 3) for name in ("regina", "brandon")],
        )
        network = make_limits_zone(sheet)
        other = make_limits_zone(sheet, "brandon")
        network.process_by_instance |= other.process_by_instance
        network.set_all_views()
        network.run(WARM_UP_SECONDS)
        offer_overload(network, 6.0, ["regina-0", "regina-1"])
        admitted = offer_overload(network, 10.0, ["regina-0", "regina-1"])
        self.assertGreaterEqual(admitted, 100 * 0.75)
        self.assertLessEqual(admitted, 100 + 10 + 2)

    def test_reserve_is_used_without_home_entry(self) -> None:
        """Guards against an entry that serves nothing while it is cut off."""
        network = make_limits_zone(make_sheet(), entries=1)
        admitted = offer_overload(network, 60.0, ["regina-0"])
        reserved = 60.0 * 10.0 * 0.2 / 3
        self.assertGreaterEqual(admitted, reserved - 1)
        self.assertLessEqual(admitted, reserved + 1)

    def test_refusal_names_the_limit(self) -> None:
        """Guards against a caller that cannot tell which limit to raise."""
        network = make_limits_zone(make_sheet(accounts=[make_account(concurrency=3)]))
        network.run(WARM_UP_SECONDS)
        process = network.process_by_instance["regina-0"]
        limits = process.limits
        decisions = []
        for _ in range(6):
            decision = limits.admit("acme", 10, network.now)
            if isinstance(decision, LimitWait):
                network.send(process.peer, decision.actions)
                decision = limits.admit("acme", 10, network.now, waited=True)
            decisions.append(decision)
            network.run(0.5)
        self.assertEqual(3, limits.running_requests("acme"))
        refused = decisions[-1]
        self.assertIsInstance(refused, LimitRefusal)
        self.assertEqual(LimitReason.CONCURRENCY, refused.reason)

    def test_slots_of_running_work_are_not_leased_again(self) -> None:
        """Guards against a fair share that counts slots which are still in use."""
        account = make_account(requests_per_second=1000.0, concurrency=30)
        network = make_limits_zone(make_sheet(accounts=[account]))
        network.run(WARM_UP_SECONDS)
        running = 0
        for names in (["regina-0"], ["regina-0", "regina-1", "regina-2"]):
            for _ in range(40):
                for name in names:
                    process = network.process_by_instance[name]
                    decision = process.limits.admit("acme", 10, network.now)
                    if isinstance(decision, LimitWait):
                        network.send(process.peer, decision.actions)
                    running += isinstance(decision, LimitPermit)
                network.run(0.25)
        self.assertGreaterEqual(running, 28)
        self.assertLessEqual(running, 30)

    def test_earlier_incarnation_of_entry_is_not_counted(self) -> None:
        """Guards against a restarted entry whose zone seems to have one entry more."""
        network = make_limits_zone(
            make_sheet(zones=[Zone("regina", "prairie", 1)]),
            entries=1,
        )
        process = network.process_by_instance["regina-0"]
        old = msgspec.structs.replace(process.peer, incarnation="0ld")
        process.limits.update_entries([old, process.peer], network.now)
        network.run(WARM_UP_SECONDS)
        self.assertTrue(process.limits.home.authority.has_majority(network.now))
