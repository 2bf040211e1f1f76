"""Each mechanism that keeps the bound on admission, in the fault it exists for."""

from collections.abc import Iterable

from testtools import TestCase

from lacewingcleat.account_limits import LimitWait
from lacewingcleat.actions import Send
from lacewingcleat.home_authority import (
    DRIFT_MARGIN,
    LEASE_SECONDS,
    MAX_PROMISE_SECONDS,
    NEW_HOME_DELAY_SECONDS,
    VOTE_VALIDITY_SECONDS,
    HomeAuthority,
)
from lacewingcleat.lease_bucket import LeaseBucket
from lacewingcleat.messages import LimitDemand, LimitDemands, LimitLease
from lacewingcleat.rendezvous import rank_by_rendezvous
from tests.builders import make_peer
from tests.builders_limits import LimitsProcess
from tests.test_limits_machine import ENTRY_NAMES, LimitsMachine

REGINA = tuple(name for name in ENTRY_NAMES if name.startswith("regina"))
BRANDON = tuple(name for name in ENTRY_NAMES if name.startswith("brandon"))


SLOW_CLOCK_RATE = 0.955
FAST_CLOCK_RATE = 1.045


class ScriptedMachine(LimitsMachine):
    """Run fixed steps; all checks of the machine stay on."""

    def __init__(self, clocks: Iterable[float] = (1.0,) * len(ENTRY_NAMES)) -> None:
        self.begin(7, list(clocks))

    def run_in_small_steps(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.04)):
            self.step(0.04, sorted(self.flooded))


def make_authority(now: float = 0.0) -> HomeAuthority:
    """Build the authority of a zone's only entry, which is always the home entry."""
    authority = HomeAuthority(make_peer())
    authority.update_view(("entry-1",), "digest", 1, now)
    return authority


def cast_vote(authority: HomeAuthority, now: float) -> None:
    authority.receive_vote("entry-1", "digest", authority.issue_challenge(now), now)


class LimitsScenarioTest(TestCase):
    def test_lease_of_a_slow_clock_ends_before_it_is_granted_again(self) -> None:
        """Guards against clocks that drift while an entry is cut off."""
        _, blocked, third = rank_by_rendezvous("rate", REGINA)
        machine = ScriptedMachine(
            [
                SLOW_CLOCK_RATE if name == blocked else FAST_CLOCK_RATE
                for name in ENTRY_NAMES
            ]
        )
        for phase in range(10):
            machine.flooded = {blocked}
            machine.run_under_load(4.0)
            machine.run_in_small_steps(0.12 * phase)
            # Its lease shrinks at the home entry while it keeps the larger one.
            machine.network.receive_blocked = {blocked}
            machine.flooded = {third}
            machine.run_in_small_steps(4.0)
            machine.network.receive_blocked = set()

    def test_late_lease_counts_from_its_demand(self) -> None:
        """Guards against a delayed lease that outlives the home entry's promise."""
        machine = ScriptedMachine()
        home, name, _ = rank_by_rendezvous("rate", REGINA)
        machine.flooded = set()
        machine.run_under_load(4.0)
        network = machine.network
        process = network.process_by_instance[name]
        server = network.process_by_instance[home]
        demand = self._next_urgent_demand(process, network.now)
        clock = server.clock(network.now)
        answers = server.limits.receive(process.peer, demand.message, clock)
        sent = process.clock(network.now)
        process.limits.receive(server.peer, answers[0].message, sent + 1.5)
        reserve = process.limits.current_share("rate", sent + 60.0)
        leased = process.limits.current_share("rate", sent + 1.9)
        self.assertGreater(leased.requests_per_second, reserve.requests_per_second)
        self.assertEqual(reserve, process.limits.current_share("rate", sent + 2.1))

    def test_lost_smaller_lease_leaves_the_larger_one(self) -> None:
        """Guards against a share that is granted again while its lease still runs."""
        machine = ScriptedMachine()
        machine.network.loss = 0.5
        for flooded in (REGINA[:1], REGINA) * 12:
            machine.flooded = set(flooded)
            machine.run_in_small_steps(2.0)

    def test_loan_outlives_the_home_entry_that_granted_it(self) -> None:
        """Guards against a new home entry that leases out what is still lent."""
        machine = ScriptedMachine()
        machine.flooded = set(REGINA)
        machine.run_under_load(20.0)
        for account in ("rate", "slots", "tokens"):
            machine.kill(rank_by_rendezvous(account, BRANDON)[0])
        machine.network.set_all_views()
        machine.flooded = set(ENTRY_NAMES)
        machine.run_under_load(16.0)

    def test_borrower_does_not_outlive_its_loans(self) -> None:
        """Guards against leases that are backed by a loan which has ended."""
        slow_borrower = [
            SLOW_CLOCK_RATE if name in REGINA else FAST_CLOCK_RATE
            for name in ENTRY_NAMES
        ]
        machine = ScriptedMachine(slow_borrower)
        for phase in range(8):
            machine.flooded = set(REGINA)
            machine.run_under_load(16.0)
            # The lenders are cut off; what they lent comes back to their own zones.
            machine.partition(set(REGINA))
            machine.flooded = set(ENTRY_NAMES)
            machine.run_in_small_steps(3.2 + 0.16 * phase)
            # The entries do not hear that the loan is about to end.
            machine.network.receive_blocked = set(REGINA)
            machine.run_in_small_steps(4.0)
            machine.network.receive_blocked = set()
            machine.heal()

    def test_lease_ends_before_the_loan_that_backs_it(self) -> None:
        """Guards against a full term on a loan that is about to end."""
        machine = ScriptedMachine()
        machine.flooded = set(REGINA)
        machine.run_under_load(16.0)
        machine.partition(set(REGINA))
        home = rank_by_rendezvous("rate", REGINA)[0]
        network = machine.network
        server = network.process_by_instance[home]
        peer = make_peer("regina-9", "ff", "regina")
        terms = []
        for number in range(60):
            machine.run_in_small_steps(0.12)
            clock = server.clock(network.now)
            account = server.limits.home._account_by_name["rate"]
            loans = [loan.end - clock for loan in account.borrowed_by_zone.values()]
            demand = LimitDemand("rate", number, 0.1, 0, 0.0)
            answers = server.limits.receive(peer, LimitDemands((demand,)), clock)
            term = answers[0].message.leases[0].term_seconds
            if loans and min(loans) >= term:
                terms.append(term)
                self.assertLessEqual(term * (1 + DRIFT_MARGIN), min(loans) + 1e-9)
        self.assertLess(min(terms), LEASE_SECONDS)

    def test_late_loan_counts_from_its_demand(self) -> None:
        """Guards against a loan that ends later at the borrower than at the lender."""
        machine = ScriptedMachine()
        machine.flooded = set(REGINA)
        machine.run_under_load(8.0)
        name = rank_by_rendezvous("rate", REGINA)[0]
        home = machine.network.process_by_instance[name].limits.home
        request_id, sent_at = max(home._sent_at_by_request_id.items())
        home._account_by_name["rate"].borrowed_by_zone.clear()
        sender = make_peer("saskatoon-0", "ff", "saskatoon")
        lease = LimitLease("rate", request_id, 1.0, 0, 0.0, 6.0, loan=True)
        home.receive_loan(sender, lease, sent_at + 3.0)
        loan = home._account_by_name["rate"].borrowed_by_zone["saskatoon"]
        self.assertEqual((request_id, sent_at + 6.0), (loan.request_id, loan.end))

    def test_same_amounts_are_not_lent_to_two_zones(self) -> None:
        """Guards against a lender that forgets what it lent to another zone."""
        machine = ScriptedMachine()
        machine.flooded = {*REGINA, "saskatoon-0"}
        machine.run_under_load(30.0)

    def test_minority_grants_nothing(self) -> None:
        """Guards against a minority that leases out the zone's share again."""
        machine = ScriptedMachine()
        machine.split_and_observe({REGINA[0]}, 20.0)
        machine.split_and_observe({REGINA[1], BRANDON[1]}, 20.0)

    def test_vote_that_changes_back_and_forth_makes_no_second_home(self) -> None:
        """Guards against an entry that counts for two majorities at a time."""
        machine = ScriptedMachine()
        first, second, third = rank_by_rendezvous("rate", REGINA)
        machine.network.set_view(second, [second, third])
        for _ in range(20):
            machine.network.set_view(third, [second, third])
            machine.run_under_load(1.0)
            machine.network.set_view(third, [first, second, third])
            machine.run_under_load(1.0)

    def test_running_work_keeps_its_slots(self) -> None:
        """Guards against slots that are leased while their old holder still uses them.

        Without faults the work that runs never exceeds the limit.
        """
        machine = ScriptedMachine()
        machine.end_probability = 0.02
        for flooded in (REGINA[:1], REGINA, BRANDON, ENTRY_NAMES, ENTRY_NAMES[2:4]) * 3:
            machine.flooded = set(flooded)
            for _ in range(40):
                machine.step(0.25, sorted(machine.flooded))
                running = sum(
                    process.limits.running_requests("slots")
                    for process in machine.network.process_by_instance.values()
                )
                self.assertLessEqual(running, 9)

    def test_late_vote_counts_from_its_challenge(self) -> None:
        """Guards against a delayed vote that prolongs a lost majority."""
        authority = make_authority()
        challenge = authority.issue_challenge(0.0)
        authority.receive_vote(
            "entry-1", "digest", challenge, VOTE_VALIDITY_SECONDS - 0.1
        )
        self.assertTrue(authority.has_majority(VOTE_VALIDITY_SECONDS - 0.1))
        self.assertFalse(authority.has_majority(VOTE_VALIDITY_SECONDS + 0.1))

    def test_without_sheet_no_vote_is_a_majority(self) -> None:
        """Guards against an entry that starts alone with an unknown zone size."""
        authority = HomeAuthority(make_peer())
        authority.update_view(("entry-1",), "digest", 0, 0.0)
        cast_vote(authority, 0.0)
        self.assertFalse(authority.has_majority(0.0))

    def test_vote_for_an_earlier_incarnation_does_not_count(self) -> None:
        """Guards against a restarted home entry that lives on old votes."""
        challenge = HomeAuthority(make_peer(incarnation="bb")).issue_challenge(0.0)
        authority = make_authority()
        authority.issue_challenge(0.0)
        authority.receive_vote("entry-1", "digest", challenge, 0.1)
        self.assertFalse(authority.has_majority(0.1))

    def test_home_entry_waits_again_after_long_loss_of_authority(self) -> None:
        """Guards against a home entry that missed the promises of another one."""
        for interruption, expected in (
            (MAX_PROMISE_SECONDS - 2, True),
            (MAX_PROMISE_SECONDS, False),
        ):
            authority = make_authority()
            now = 0.0
            while now <= NEW_HOME_DELAY_SECONDS:
                cast_vote(authority, now)
                now += 1.0
            self.assertTrue(authority.may_grant("acme", now))
            now += VOTE_VALIDITY_SECONDS + interruption
            cast_vote(authority, now)
            self.assertEqual(expected, authority.may_grant("acme", now))

    def test_lease_for_an_earlier_incarnation_is_ignored(self) -> None:
        """Guards against a term that a restarted entry counts from its own demand."""
        machine = ScriptedMachine()
        home = rank_by_rendezvous("rate", REGINA)[0]
        name = next(name for name in REGINA if name != home)
        network = machine.network
        machine.flooded = set()
        # An incarnation that has sent as many demands as the next one will send.
        machine.restart(name, 1.0)
        network.set_view(name, REGINA)
        machine.run_under_load(8.0)
        process = network.process_by_instance[name]
        old = self._next_urgent_demand(process, network.now)
        peer = network.process_by_instance[home].peer
        server = network.process_by_instance[home]
        clock = server.clock(network.now)
        leases = server.limits.receive(process.peer, old.message, clock)
        self.assertGreater(leases[0].message.leases[0].requests_per_second, 0.0)
        machine.restart(name, 1.0)
        network.set_view(name, REGINA)
        process = network.process_by_instance[name]
        self._next_urgent_demand(process, network.now)
        before = process.limits.current_share("rate", process.clock(network.now))
        process.limits.receive(peer, leases[0].message, process.clock(network.now))
        after = process.limits.current_share("rate", process.clock(network.now))
        self.assertEqual(before, after)

    def _next_urgent_demand(self, process: LimitsProcess, now: float) -> Send:
        while True:
            decision = process.limits.admit("rate", 1, process.clock(now))
            if isinstance(decision, LimitWait):
                return decision.actions[0]

    def test_burst_shrinks_with_the_lease(self) -> None:
        """Guards against a burst that is saved at one entry and leased to another."""
        bucket = LeaseBucket(1.0, 0.0)
        bucket.set_lease(9.0, 2.0, 0.0)
        self.assertEqual(10.0, bucket.level(1.5))
        self.assertEqual(1.0, bucket.level(2.0))
        bucket.set_lease(9.0, 4.0, 2.0)
        bucket.level(3.9)
        bucket.set_lease(0.0, 6.0, 3.9)
        self.assertEqual(1.0, bucket.level(3.9))

    def test_debt_is_refilled_before_the_next_request(self) -> None:
        """Guards against a long-run rate above the limit."""
        bucket = LeaseBucket(10.0, 0.0)
        bucket.charge(30.0, 0.0)
        self.assertEqual(0.5, bucket.retry_after(1.0, 2.5))
        self.assertFalse(bucket.may_charge(2.9))
        self.assertTrue(bucket.may_charge(3.0))
