"""coordination: leases of account limits at a home entry, and loans between zones.

A home entry hands out its zone's pool of an account to the entries of the zone, by
max-min fairness over their demands. What the zone does not need it lends to home
entries of other zones, and it borrows from them when its own pool is too small. Every
promise is counted until it has certainly ended on the holder's clock.
"""

from collections.abc import Mapping

from lacewingcleat.actions import Send
from lacewingcleat.home_authority import (
    DRIFT_MARGIN,
    LEASE_SECONDS,
    LOAN_SECONDS,
    HomeAuthority,
)
from lacewingcleat.identity import Peer
from lacewingcleat.limit_promises import (
    HomeAccount,
    Loan,
    Promise,
    RecordedDemand,
    fair_share,
    largest_promised,
    remove_expired,
    total_promised,
)
from lacewingcleat.limit_shares import ZERO_AMOUNTS, Amounts, zone_share
from lacewingcleat.messages import LimitDemand, LimitDemands, LimitLease, LimitLeases
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet

LEASE_PROMISE_SECONDS = LEASE_SECONDS * (1.0 + DRIFT_MARGIN)
LOAN_PROMISE_SECONDS = LOAN_SECONDS * (1.0 + DRIFT_MARGIN)
# A loan that ends sooner than this backs no new lease, because the lease would lapse
# before the entry's next demand.
MIN_LOAN_REMAINING_SECONDS = 1.5
LOAN_RENEWAL_SECONDS = 3.0
# Pause before a zone that lent nothing is asked again.
LOAN_BACKOFF_SECONDS = 8.0
# Bound on the demands for loans per second of one process, over all accounts. At 40 the
# loans alone could use the 29 KB/s that all control traffic of a process may use.
LOAN_DEMANDS_PER_SECOND = 10
# A demand counts as present for this long.
DEMAND_TTL_SECONDS = 3.0
# Part of the pool that is never lent beyond, so that the first requests in an idle zone
# find a lease at once.
UNLENDABLE_FRACTION = 0.1


class HomeLimits:
    """Grant leases and loans of the accounts that an entry is the home entry of.

    :param me: the entry.
    """

    __slots__ = (
        "_account_by_name",
        "_authority",
        "_entry_names_by_zone",
        "_lender_zones",
        "_loan_demand_budget",
        "_loan_demand_budget_at",
        "_me",
        "_next_request_id",
        "_pool_by_account",
        "_sent_at_by_request_id",
        "_sheet",
        "_view_digest",
    )

    def __init__(self, me: Peer) -> None:
        self._me = me
        self._authority = HomeAuthority(me)
        self._sheet: Sheet | None = None
        self._lender_zones: list[str] = []
        self._pool_by_account: dict[str, Amounts] = {}
        self._view_digest = ""
        self._entry_names_by_zone: Mapping[str, tuple[str, ...]] = {}
        self._account_by_name: dict[str, HomeAccount] = {}
        self._next_request_id = (int(me.incarnation[:10] or "0", 16) << 23) + (1 << 22)
        self._sent_at_by_request_id: dict[int, float] = {}
        self._loan_demand_budget = 0.0
        self._loan_demand_budget_at = 0.0

    @property
    def authority(self) -> HomeAuthority:
        """Return the votes, for metrics and status pages."""
        return self._authority

    def apply_sheet(self, sheet: Sheet, now: float) -> None:
        """Put a revision in force."""
        self._sheet = sheet
        self._pool_by_account.clear()
        own = sheet.zone_by_name.get(self._me.zone)
        region = own.region if own else ""
        others = [z for z in sheet.zone_by_name.values() if z.name != self._me.zone]
        # Loans of the own region come back sooner and survive more partitions.
        others.sort(key=lambda zone: (zone.region != region, zone.name))
        self._lender_zones = [zone.name for zone in others]
        for name in list(self._account_by_name):
            if name not in sheet.account_by_name:
                del self._account_by_name[name]
        self.update_view(self._entry_names_by_zone, self._view_digest, now)

    def update_view(
        self,
        entry_names_by_zone: Mapping[str, tuple[str, ...]],
        view_digest: str,
        now: float,
    ) -> None:
        """Take over the live entries.

        :param entry_names_by_zone: instance names of the live entries of each zone.
        :param view_digest: digest of the own zone's view.
        """
        self._entry_names_by_zone = entry_names_by_zone
        self._view_digest = view_digest
        expected_entries = 0
        if self._sheet is not None and self._me.zone in self._sheet.zone_by_name:
            expected_entries = self._sheet.zone_by_name[self._me.zone].entries
        entry_names = entry_names_by_zone.get(self._me.zone, ())
        self._authority.update_view(entry_names, view_digest, expected_entries, now)

    def receive_demands(
        self,
        sender: Peer,
        message: LimitDemands,
        now: float,
    ) -> LimitLeases | None:
        """Answer the demands of an entry of the zone or of another home entry."""
        challenge = 0
        if sender.zone == self._me.zone:
            if message.view_digest:
                self._authority.receive_vote(
                    sender.instance,
                    message.view_digest,
                    message.challenge,
                    now,
                )
            challenge = self._authority.issue_challenge(now)
        leases = [
            lease
            for demand in message.demands
            if (lease := self._answer_demand(sender, demand, now)) is not None
        ]
        if not leases and not challenge:
            return None
        return LimitLeases(tuple(leases), challenge)

    def receive_loan(self, sender: Peer, lease: LimitLease, now: float) -> None:
        """Count a loan of another zone from the moment it was asked for."""
        sent_at = self._sent_at_by_request_id.get(lease.request_id)
        account = self._account_by_name.get(lease.account)
        if sent_at is None or account is None:
            return
        old = account.borrowed_by_zone.get(sender.zone)
        if old is not None and old.request_id >= lease.request_id:
            return
        amounts = Amounts(
            lease.requests_per_second,
            lease.concurrency,
            lease.tokens_per_second,
        )
        if amounts.is_zero:
            account.borrowed_by_zone.pop(sender.zone, None)
            return
        end = sent_at + lease.term_seconds
        account.borrowed_by_zone[sender.zone] = Loan(amounts, lease.request_id, end)

    def tick(self, now: float) -> list[Send]:
        """Ask other zones for loans; call it every 0.25 s."""
        self._remove_expired(now)
        refill = (now - self._loan_demand_budget_at) * LOAN_DEMANDS_PER_SECOND
        self._loan_demand_budget_at = now
        self._loan_demand_budget = min(
            self._loan_demand_budget + refill, LOAN_DEMANDS_PER_SECOND
        )
        demands_by_instance: dict[str, list[LimitDemand]] = {}
        for name, account in self._account_by_name.items():
            if not self._authority.may_grant(name, now):
                continue
            self._request_loans(name, account, demands_by_instance, now)
        return [
            Send(instance, LimitDemands(tuple(demands)))
            for instance, demands in demands_by_instance.items()
        ]

    def _answer_demand(
        self,
        sender: Peer,
        demand: LimitDemand,
        now: float,
    ) -> LimitLease | None:
        if self._sheet is None or demand.account not in self._sheet.account_by_name:
            return None
        if demand.loan == (sender.zone == self._me.zone):
            return None
        account = self._account_by_name.setdefault(demand.account, HomeAccount())
        remove_expired(account.leases_by_entry, now)
        remove_expired(account.loans_by_borrower, now)
        requested = Amounts(
            demand.requests_per_second,
            demand.concurrency,
            demand.tokens_per_second,
        )
        if not demand.loan and not self._record_demand(
            account,
            sender,
            demand,
            requested,
            now,
        ):
            return None
        if not self._authority.may_grant(demand.account, now):
            return None
        if demand.loan:
            amounts, term = self._grant_loan(
                account,
                demand.account,
                sender,
                requested,
                demand.held,
                now,
            )
        else:
            amounts, term = self._grant_lease(account, demand, sender, requested, now)
        return LimitLease(
            demand.account,
            demand.request_id,
            amounts.requests_per_second,
            amounts.concurrency,
            amounts.tokens_per_second,
            term,
            demand.loan,
        )

    def _record_demand(
        self,
        account: HomeAccount,
        sender: Peer,
        demand: LimitDemand,
        requested: Amounts,
        now: float,
    ) -> bool:
        """Take over a demand unless a later one has arrived.

        The sender uses no more than its newest demand asks for, whatever it was granted
        before.
        """
        old = account.demand_by_entry.get(sender)
        if old is not None and old.request_id > demand.request_id:
            return False
        account.leases_by_entry[sender] = [
            Promise(promise.amounts.minimum(requested), promise.end)
            for promise in account.leases_by_entry.get(sender, ())
        ]
        account.demand_by_entry[sender] = RecordedDemand(
            requested,
            demand.held,
            demand.request_id,
            now + DEMAND_TTL_SECONDS,
        )
        return True

    def _pool(self, name: str) -> Amounts:
        assert self._sheet is not None
        pool = self._pool_by_account.get(name)
        if pool is None:
            account = self._sheet.account_by_name[name]
            pool = zone_share(self._sheet, account, self._me.zone).pool
            self._pool_by_account[name] = pool
        return pool

    def _grant_lease(
        self,
        account: HomeAccount,
        demand: LimitDemand,
        sender: Peer,
        requested: Amounts,
        now: float,
    ) -> tuple[Amounts, float]:
        usable_loans = [
            loan
            for loan in account.borrowed_by_zone.values()
            if loan.end - now >= MIN_LOAN_REMAINING_SECONDS * (1.0 + DRIFT_MARGIN)
        ]
        capacity = self._pool(demand.account)
        for loan in usable_loans:
            capacity += loan.amounts
        capacity -= total_promised(account.loans_by_borrower, sender)
        free = capacity - total_promised(account.leases_by_entry, sender)
        other_demands = self._other_demands(account, sender, now)
        free -= Amounts(0.0, self._unleased_slots_in_use(account, sender, now), 0.0)
        fair_amounts = Amounts(
            fair_share(
                capacity.requests_per_second,
                requested.requests_per_second,
                [item.amounts.requests_per_second for item in other_demands],
            ),
            max(
                demand.held,
                int(
                    fair_share(
                        capacity.concurrency,
                        requested.concurrency,
                        [
                            max(item.amounts.concurrency, item.slots_in_use)
                            for item in other_demands
                        ],
                    ),
                ),
            ),
            fair_share(
                capacity.tokens_per_second,
                requested.tokens_per_second,
                [item.amounts.tokens_per_second for item in other_demands],
            ),
        )
        amounts = requested.minimum(fair_amounts).minimum(free)
        shortest_loan_seconds = min(
            (loan.end - now for loan in usable_loans), default=LEASE_PROMISE_SECONDS
        )
        promise_seconds = min(shortest_loan_seconds, LEASE_PROMISE_SECONDS)
        promises = account.leases_by_entry.setdefault(sender, [])
        promises.append(Promise(amounts, now + promise_seconds))
        return amounts, promise_seconds / (1.0 + DRIFT_MARGIN)

    def _other_demands(
        self, account: HomeAccount, sender: Peer, now: float
    ) -> list[RecordedDemand]:
        return [
            item
            for holder, item in account.demand_by_entry.items()
            if holder != sender and item.end > now
        ]

    def _unleased_slots_in_use(
        self,
        account: HomeAccount,
        sender: Peer,
        now: float,
    ) -> int:
        """Count slots that others still use although no lease covers them any more."""
        unleased = 0
        for holder, item in account.demand_by_entry.items():
            if holder != sender and item.end > now:
                leased = largest_promised(account.leases_by_entry.get(holder, ()))
                unleased += max(0, item.slots_in_use - leased.concurrency)
        return unleased

    def _grant_loan(
        self,
        account: HomeAccount,
        name: str,
        sender: Peer,
        requested: Amounts,
        slots_in_use: int,
        now: float,
    ) -> tuple[Amounts, float]:
        pool = self._pool(name)
        needed = ZERO_AMOUNTS
        for item in self._other_demands(account, sender, now):
            needed += item.amounts.maximum(Amounts(0.0, item.slots_in_use, 0.0))
        leased = total_promised(account.leases_by_entry, sender)
        lent = total_promised(account.loans_by_borrower, sender)
        unpromised = pool - lent - leased
        free = (
            pool
            - lent
            - leased.maximum(needed).maximum(pool.scaled(UNLENDABLE_FRACTION))
        )
        # Slots that run borrowed work stay lent, so that the sum of running work does
        # not exceed the limit when the lender's own demand returns.
        retained = Amounts(0.0, min(slots_in_use, unpromised.concurrency), 0.0)
        amounts = requested.minimum(free).maximum(retained)
        if not amounts.is_zero:
            promises = account.loans_by_borrower.setdefault(sender, [])
            promises.append(Promise(amounts, now + LOAN_PROMISE_SECONDS))
        return amounts, LOAN_SECONDS

    def _request_loans(
        self,
        name: str,
        account: HomeAccount,
        demands_by_instance: dict[str, list[LimitDemand]],
        now: float,
    ) -> None:
        needed = ZERO_AMOUNTS
        for item in account.demand_by_entry.values():
            if item.end > now:
                needed += item.amounts
        pool = self._pool(name)
        missing = needed - pool
        borrowed_slots_in_use = self._slots_in_use(account, now) - pool.concurrency
        # Zones that lend come first, so that loans are renewed before new ones.
        zones = sorted(
            self._lender_zones, key=lambda zone: zone not in account.borrowed_by_zone
        )
        for zone in zones:
            if (
                missing.is_zero and borrowed_slots_in_use <= 0
            ) or self._loan_demand_budget < 1.0:
                return
            loan = account.borrowed_by_zone.get(zone)
            interval = LOAN_RENEWAL_SECONDS if loan else LOAN_BACKOFF_SECONDS
            entry_names = self._entry_names_by_zone.get(zone, ())
            may_request = (
                now - account.loan_requested_at_by_zone.get(zone, -interval) >= interval
            )
            if may_request and entry_names:
                home = rank_by_rendezvous(name, entry_names)[0]
                self._next_request_id += 1
                self._sent_at_by_request_id[self._next_request_id] = now
                account.loan_requested_at_by_zone[zone] = now
                self._loan_demand_budget -= 1.0
                demand = LimitDemand(
                    name,
                    self._next_request_id,
                    missing.requests_per_second,
                    missing.concurrency,
                    missing.tokens_per_second,
                    loan=True,
                    held=max(
                        0,
                        min(
                            borrowed_slots_in_use,
                            loan.amounts.concurrency if loan else 0,
                        ),
                    ),
                )
                demands_by_instance.setdefault(home, []).append(demand)
            if loan is not None:
                missing -= loan.amounts
                borrowed_slots_in_use -= loan.amounts.concurrency

    def _slots_in_use(self, account: HomeAccount, now: float) -> int:
        return sum(
            item.slots_in_use
            for item in account.demand_by_entry.values()
            if item.end > now
        )

    def _remove_expired(self, now: float) -> None:
        """Drop what has ended, so that idle accounts take no memory."""
        sent_at_by_request_id = self._sent_at_by_request_id
        while (
            sent_at_by_request_id
            and next(iter(sent_at_by_request_id.values())) <= now - LOAN_SECONDS
        ):
            del sent_at_by_request_id[next(iter(sent_at_by_request_id))]
        for name, account in list(self._account_by_name.items()):
            remove_expired(account.leases_by_entry, now)
            remove_expired(account.loans_by_borrower, now)
            for holder, item in list(account.demand_by_entry.items()):
                if item.end <= now:
                    del account.demand_by_entry[holder]
            for zone, loan in list(account.borrowed_by_zone.items()):
                if loan.end <= now:
                    del account.borrowed_by_zone[zone]
            loan_requests_at = account.loan_requested_at_by_zone.values()
            idle = not (
                account.leases_by_entry
                or account.loans_by_borrower
                or account.demand_by_entry
                or account.borrowed_by_zone
            )
            if idle and all(
                now - at >= LOAN_BACKOFF_SECONDS for at in loan_requests_at
            ):
                del self._account_by_name[name]
