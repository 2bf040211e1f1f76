"""coordination: leases of account limits at a home entry, and loans between zones.

A home entry divides its zone's pool of an account among the entries of the zone by
max-min fairness over their demands. It lends amounts that the zone does not need to
home entries of other zones, and borrows from them when its own pool is too small. A
promise is counted until it must have expired on the holder's clock, clock drift
included.
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
    NotedDemand,
    Promise,
    fair_share,
    highest,
    outstanding,
    prune,
)
from lacewingcleat.limit_shares import NOTHING, Amounts, zone_share
from lacewingcleat.messages import LimitDemand, LimitDemands, LimitLease, LimitLeases
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet

LEASE_HOLD_SECONDS = LEASE_SECONDS * (1.0 + DRIFT_MARGIN)
LOAN_HOLD_SECONDS = LOAN_SECONDS * (1.0 + DRIFT_MARGIN)
# No new lease is granted from a loan that expires sooner than this, because the lease
# would expire before the entry's next demand.
MIN_BACKING_SECONDS = 1.5
LOAN_RENEW_SECONDS = 3.0
# Pause before another request for a loan to a zone that has lent nothing.
LOAN_BACKOFF_SECONDS = 8.0
# Maximum number of loan demands per second of one process, over all accounts. At 40,
# loans alone could use up the 29 KB/s allowed for all control traffic of a process.
LOAN_DEMANDS_PER_SECOND = 10
# A demand expires this long after its arrival.
DEMAND_SECONDS = 3.0
# Fraction of the pool that is never lent to other zones, so that the first requests in
# an idle zone get a lease immediately.
KEPT_SHARE = 0.1


class LimitHome:
    """Grant leases and loans for the accounts whose home entry this entry is.

    :param me: the entry that this object runs in.
    """

    __slots__ = (
        "_account_by_name",
        "_ask_budget",
        "_ask_budget_at",
        "_authority",
        "_digest",
        "_me",
        "_names_by_zone",
        "_next_request_id",
        "_pool_by_account",
        "_sent_at_by_request_id",
        "_sheet",
        "_zones",
    )

    def __init__(self, me: Peer) -> None:
        self._me = me
        self._authority = HomeAuthority(me)
        self._sheet: Sheet | None = None
        self._zones: list[str] = []
        self._pool_by_account: dict[str, Amounts] = {}
        self._digest = ""
        self._names_by_zone: Mapping[str, tuple[str, ...]] = {}
        self._account_by_name: dict[str, HomeAccount] = {}
        self._next_request_id = (int(me.incarnation[:10] or "0", 16) << 23) + (1 << 22)
        self._sent_at_by_request_id: dict[int, float] = {}
        self._ask_budget = 0.0
        self._ask_budget_at = 0.0

    @property
    def authority(self) -> HomeAuthority:
        """Return the state of the votes, for metrics and status pages."""
        return self._authority

    def apply_sheet(self, sheet: Sheet, now: float) -> None:
        """Apply a new revision of the sheet."""
        self._sheet = sheet
        self._pool_by_account.clear()
        own = sheet.zone_by_name.get(self._me.zone)
        region = own.region if own else ""
        others = [z for z in sheet.zone_by_name.values() if z.name != self._me.zone]
        # Zones of the same region are asked first: their replies arrive sooner, and
        # fewer partitions separate them from this zone.
        others.sort(key=lambda zone: (zone.region != region, zone.name))
        self._zones = [zone.name for zone in others]
        for name in list(self._account_by_name):
            if name not in sheet.account_by_name:
                del self._account_by_name[name]
        self.observe_view(self._names_by_zone, self._digest, now)

    def observe_view(
        self,
        names_by_zone: Mapping[str, tuple[str, ...]],
        digest: str,
        now: float,
    ) -> None:
        """Update the live entries.

        :param names_by_zone: instance names of the live entries of each zone.
        :param digest: digest of the view of this entry's zone.
        """
        self._names_by_zone = names_by_zone
        self._digest = digest
        expected = 0
        if self._sheet is not None and self._me.zone in self._sheet.zone_by_name:
            expected = self._sheet.zone_by_name[self._me.zone].entries
        names = names_by_zone.get(self._me.zone, ())
        self._authority.observe_view(names, digest, expected, now)

    def receive_demands(
        self,
        sender: Peer,
        message: LimitDemands,
        now: float,
    ) -> LimitLeases | None:
        """Answer the demands of an entry of this zone or another zone's home entry."""
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
            if (lease := self._answer(sender, demand, now)) is not None
        ]
        if not leases and not challenge:
            return None
        return LimitLeases(tuple(leases), challenge)

    def receive_loan(self, sender: Peer, lease: LimitLease, now: float) -> None:
        """Record a loan from another zone; its term starts when it was requested."""
        sent_at = self._sent_at_by_request_id.get(lease.request_id)
        account = self._account_by_name.get(lease.account)
        if sent_at is None or account is None:
            return
        old = account.loan_by_zone.get(sender.zone)
        if old is not None and old.request_id >= lease.request_id:
            return
        amounts = Amounts(
            lease.requests_per_second,
            lease.concurrency,
            lease.tokens_per_second,
        )
        if amounts.empty:
            account.loan_by_zone.pop(sender.zone, None)
            return
        end = sent_at + lease.term_seconds
        account.loan_by_zone[sender.zone] = Loan(amounts, lease.request_id, end)

    def tick(self, now: float) -> list[Send]:
        """Return the loan demands to send to other zones; call this every 0.25 s."""
        self._forget(now)
        gained = (now - self._ask_budget_at) * LOAN_DEMANDS_PER_SECOND
        self._ask_budget_at = now
        self._ask_budget = min(self._ask_budget + gained, LOAN_DEMANDS_PER_SECOND)
        demands_by_instance: dict[str, list[LimitDemand]] = {}
        for name, account in self._account_by_name.items():
            if not self._authority.may_grant(name, now):
                continue
            self._ask_for_loans(name, account, demands_by_instance, now)
        return [
            Send(instance, LimitDemands(tuple(demands)))
            for instance, demands in demands_by_instance.items()
        ]

    def _answer(
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
        prune(account.lease_by_holder, now)
        prune(account.lent_by_holder, now)
        wanted = Amounts(
            demand.requests_per_second,
            demand.concurrency,
            demand.tokens_per_second,
        )
        if not demand.loan and not self._note_demand(
            account,
            sender,
            demand,
            wanted,
            now,
        ):
            return None
        if not self._authority.may_grant(demand.account, now):
            return None
        if demand.loan:
            amounts, term = self._lend(
                account,
                demand.account,
                sender,
                wanted,
                demand.held,
                now,
            )
        else:
            amounts, term = self._grant(account, demand, sender, wanted, now)
        return LimitLease(
            demand.account,
            demand.request_id,
            amounts.requests_per_second,
            amounts.concurrency,
            amounts.tokens_per_second,
            term,
            demand.loan,
        )

    def _note_demand(
        self,
        account: HomeAccount,
        sender: Peer,
        demand: LimitDemand,
        wanted: Amounts,
        now: float,
    ) -> bool:
        """Record a demand and return whether it is the latest of its sender.

        The sender caps its leases at the amounts of its latest demand, so the leases
        that it holds are reduced to these amounts here too.
        """
        old = account.demand_by_holder.get(sender)
        if old is not None and old.request_id > demand.request_id:
            return False
        account.lease_by_holder[sender] = [
            Promise(promise.amounts.lower(wanted), promise.end)
            for promise in account.lease_by_holder.get(sender, ())
        ]
        account.demand_by_holder[sender] = NotedDemand(
            wanted,
            demand.held,
            demand.request_id,
            now + DEMAND_SECONDS,
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

    def _grant(
        self,
        account: HomeAccount,
        demand: LimitDemand,
        sender: Peer,
        wanted: Amounts,
        now: float,
    ) -> tuple[Amounts, float]:
        backing = [
            loan
            for loan in account.loan_by_zone.values()
            if loan.end - now >= MIN_BACKING_SECONDS * (1.0 + DRIFT_MARGIN)
        ]
        capacity = self._pool(demand.account)
        for loan in backing:
            capacity += loan.amounts
        capacity -= outstanding(account.lent_by_holder, sender)
        free = capacity - outstanding(account.lease_by_holder, sender)
        others = self._others(account, sender, now)
        free -= Amounts(0.0, self._held_beyond_leases(account, sender, now), 0.0)
        fair = Amounts(
            fair_share(
                capacity.requests_per_second,
                wanted.requests_per_second,
                [item.amounts.requests_per_second for item in others],
            ),
            max(
                demand.held,
                int(
                    fair_share(
                        capacity.concurrency,
                        wanted.concurrency,
                        [max(item.amounts.concurrency, item.held) for item in others],
                    ),
                ),
            ),
            fair_share(
                capacity.tokens_per_second,
                wanted.tokens_per_second,
                [item.amounts.tokens_per_second for item in others],
            ),
        )
        amounts = wanted.lower(fair).lower(free)
        longest = min((loan.end - now for loan in backing), default=LEASE_HOLD_SECONDS)
        hold = min(longest, LEASE_HOLD_SECONDS)
        held = account.lease_by_holder.setdefault(sender, [])
        held.append(Promise(amounts, now + hold))
        return amounts, hold / (1.0 + DRIFT_MARGIN)

    def _others(
        self, account: HomeAccount, sender: Peer, now: float
    ) -> list[NotedDemand]:
        return [
            item
            for holder, item in account.demand_by_holder.items()
            if holder != sender and item.end > now
        ]

    def _held_beyond_leases(
        self,
        account: HomeAccount,
        sender: Peer,
        now: float,
    ) -> int:
        """Return the slots that other entries use in excess of their leases."""
        beyond = 0
        for holder, item in account.demand_by_holder.items():
            if holder != sender and item.end > now:
                leased = highest(account.lease_by_holder.get(holder, ()))
                beyond += max(0, item.held - leased.concurrency)
        return beyond

    def _lend(
        self,
        account: HomeAccount,
        name: str,
        sender: Peer,
        wanted: Amounts,
        held_slots: int,
        now: float,
    ) -> tuple[Amounts, float]:
        pool = self._pool(name)
        needed = NOTHING
        for item in self._others(account, sender, now):
            needed += item.amounts.higher(Amounts(0.0, item.held, 0.0))
        leased = outstanding(account.lease_by_holder, sender)
        lent = outstanding(account.lent_by_holder, sender)
        unpromised = pool - lent - leased
        free = pool - lent - leased.higher(needed).higher(pool.scaled(KEPT_SHARE))
        # Lent slots that are in use stay lent, so that the number of running requests
        # does not exceed the limit when demand in the lending zone rises again.
        kept = Amounts(0.0, min(held_slots, unpromised.concurrency), 0.0)
        amounts = wanted.lower(free).higher(kept)
        if not amounts.empty:
            held = account.lent_by_holder.setdefault(sender, [])
            held.append(Promise(amounts, now + LOAN_HOLD_SECONDS))
        return amounts, LOAN_SECONDS

    def _ask_for_loans(
        self,
        name: str,
        account: HomeAccount,
        demands_by_instance: dict[str, list[LimitDemand]],
        now: float,
    ) -> None:
        needed = NOTHING
        for item in account.demand_by_holder.values():
            if item.end > now:
                needed += item.amounts
        pool = self._pool(name)
        missing = needed - pool
        held = self._held_slots(account, now) - pool.concurrency
        # Zones with a current loan come first, so that loans are renewed before new
        # ones are requested.
        zones = sorted(self._zones, key=lambda zone: zone not in account.loan_by_zone)
        for zone in zones:
            if (missing.empty and held <= 0) or self._ask_budget < 1.0:
                return
            loan = account.loan_by_zone.get(zone)
            wait = LOAN_RENEW_SECONDS if loan else LOAN_BACKOFF_SECONDS
            names = self._names_by_zone.get(zone, ())
            due = now - account.asked_at_by_zone.get(zone, -wait) >= wait
            if due and names:
                home = rank_by_rendezvous(name, names)[0]
                self._next_request_id += 1
                self._sent_at_by_request_id[self._next_request_id] = now
                account.asked_at_by_zone[zone] = now
                self._ask_budget -= 1.0
                demand = LimitDemand(
                    name,
                    self._next_request_id,
                    missing.requests_per_second,
                    missing.concurrency,
                    missing.tokens_per_second,
                    loan=True,
                    held=max(0, min(held, loan.amounts.concurrency if loan else 0)),
                )
                demands_by_instance.setdefault(home, []).append(demand)
            if loan is not None:
                missing -= loan.amounts
                held -= loan.amounts.concurrency

    def _held_slots(self, account: HomeAccount, now: float) -> int:
        return sum(
            item.held for item in account.demand_by_holder.values() if item.end > now
        )

    def _forget(self, now: float) -> None:
        """Remove expired records and idle accounts to free their memory."""
        sent = self._sent_at_by_request_id
        while sent and next(iter(sent.values())) <= now - LOAN_SECONDS:
            del sent[next(iter(sent))]
        for name, account in list(self._account_by_name.items()):
            prune(account.lease_by_holder, now)
            prune(account.lent_by_holder, now)
            for holder, item in list(account.demand_by_holder.items()):
                if item.end <= now:
                    del account.demand_by_holder[holder]
            for zone, loan in list(account.loan_by_zone.items()):
                if loan.end <= now:
                    del account.loan_by_zone[zone]
            asked = account.asked_at_by_zone.values()
            idle = not (
                account.lease_by_holder
                or account.lent_by_holder
                or account.demand_by_holder
                or account.loan_by_zone
            )
            if idle and all(now - at >= LOAN_BACKOFF_SECONDS for at in asked):
                del self._account_by_name[name]
