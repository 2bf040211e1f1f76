"""coordination: limits of client accounts at an entry.

An entry may use a fixed reserve of each account's limits at any time, and a lease from
the account's home entry until the lease ends. Tokens are charged by estimate when a
request is admitted and settled after its response. The entry also runs the `HomeLimits`
for the accounts that it is the home entry of; messages to itself are delivered here.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from math import inf

from lacewingcleat.account_usage import LEASE_TIMEOUT_SECONDS, AccountUsage, SentDemand
from lacewingcleat.actions import Action, Send
from lacewingcleat.home_authority import LEASE_SECONDS, VOTE_CHANGE_DELAY_SECONDS
from lacewingcleat.home_limits import HomeLimits
from lacewingcleat.identity import Peer, Role
from lacewingcleat.lease_bucket import LeaseBucket
from lacewingcleat.limit_shares import (
    ZERO_AMOUNTS,
    Amounts,
    account_limit,
    zone_share,
)
from lacewingcleat.messages import LimitDemand, LimitDemands, LimitLease, LimitLeases
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet

DEMAND_INTERVAL_SECONDS = 1.0
# Interval between urgent demands of an account.
URGENT_DEMAND_INTERVAL_SECONDS = 0.5
# Interval while the home entry does not answer.
UNANSWERED_DEMAND_INTERVAL_SECONDS = 2.0
# An account without requests for this long asks for no leases.
ACTIVITY_WINDOW_SECONDS = 2.0
# An idle account is forgotten after this time, if its buckets hold no debt.
IDLE_EVICTION_SECONDS = 60.0
SERVICE_TIME_WEIGHT = 0.1
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 60.0


class LimitReason(Enum):
    """Say which limit refused a request."""

    UNKNOWN_ACCOUNT = "unknown-account"
    REQUEST_RATE = "request-rate"
    CONCURRENCY = "concurrency"
    TOKEN_RATE = "token-rate"


@dataclass(frozen=True, slots=True)
class LimitPermit:
    """Admit a request; hand it back to `finish` when the request has ended.

    :param estimated_tokens: tokens charged so far.
    """

    account: str
    estimated_tokens: int
    admitted_at: float


@dataclass(frozen=True, slots=True)
class LimitWait:
    """Ask to hold a request for a moment, because a lease is on its way.

    Call `admit` again with `waited` set after the next `LimitLeases` message, and at
    the latest at `until`.

    :param actions: demands to be sent now.
    """

    until: float
    actions: tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class LimitRefusal:
    """Refuse a request as not run.

    :param retry_after_seconds: when a repeated request can expect to be admitted.
    """

    reason: LimitReason
    retry_after_seconds: float


LimitDecision = LimitPermit | LimitWait | LimitRefusal


class AccountLimits:
    """Admit or refuse requests by the limits of their accounts.

    :param me: the entry.
    """

    __slots__ = (
        "_challenge_by_instance",
        "_home",
        "_last_demands_at",
        "_last_vote_at",
        "_last_vote_digest",
        "_live_zone_entries",
        "_me",
        "_next_request_id",
        "_sheet",
        "_usage_by_account",
        "_view_digest",
    )

    def __init__(self, me: Peer, now: float) -> None:
        self._me = me
        self._home = HomeLimits(me)
        self._sheet: Sheet | None = None
        self._live_zone_entries: tuple[str, ...] = (me.instance,)
        self._view_digest = ""
        self._usage_by_account: dict[str, AccountUsage] = {}
        self._challenge_by_instance: dict[str, int] = {}
        # Request ids of an earlier incarnation must not match those of this one: its
        # lease would be counted from the wrong moment.
        self._next_request_id = int(me.incarnation[:10] or "0", 16) << 23
        self._last_demands_at = -inf
        self._last_vote_digest = ""
        # An earlier incarnation may have voted just before this one started.
        self._last_vote_at = now
        self.update_entries([me], now)

    @property
    def home(self) -> HomeLimits:
        """Return the home entry's part, for metrics and status pages."""
        return self._home

    def apply_sheet(self, sheet: Sheet, now: float) -> None:
        """Put a revision in force."""
        old = self._sheet
        same_zones = old is not None and old.zone_by_name == sheet.zone_by_name
        self._sheet = sheet
        self._home.apply_sheet(sheet, now)
        for name, account in list(self._usage_by_account.items()):
            if name not in sheet.account_by_name:
                if account.running == 0:
                    del self._usage_by_account[name]
                continue
            record = sheet.account_by_name[name]
            if same_zones and old and old.account_by_name.get(name) == record:
                # A new sheet arrives every two seconds and changes few accounts.
                continue
            account.limit = account_limit(record)
            account.reserve = zone_share(sheet, record, self._me.zone).reserve
            account.request_bucket.set_reserve(account.reserve.requests_per_second, now)
            account.token_bucket.set_reserve(account.reserve.tokens_per_second, now)

    def update_entries(self, entries: Iterable[Peer], now: float) -> None:
        """Take over the live entries that membership knows, of all zones.

        Entries that are leaving are left out. The own entry is always part.
        """
        live_by_instance = {
            peer.instance: peer for peer in entries if peer.role is Role.ENTRY
        }
        # Membership may still list an earlier incarnation of this entry.
        live_by_instance[self._me.instance] = self._me
        live = live_by_instance.values()
        own_zone = sorted(
            (peer.instance, peer.incarnation)
            for peer in live
            if peer.zone == self._me.zone
        )
        self._live_zone_entries = tuple(instance for instance, _ in own_zone)
        text = "\n".join(f"{name} {incarnation}" for name, incarnation in own_zone)
        self._view_digest = blake2b(text.encode(), digest_size=8).hexdigest()
        names_by_zone: dict[str, list[str]] = {}
        for peer in live:
            names_by_zone.setdefault(peer.zone, []).append(peer.instance)
        self._home.update_view(
            {zone: tuple(sorted(names)) for zone, names in names_by_zone.items()},
            self._view_digest,
            now,
        )

    def admit(
        self,
        account_name: str,
        estimated_tokens: int,
        now: float,
        waited: bool = False,
    ) -> LimitDecision:
        """Decide about a request.

        :param estimated_tokens: prompt tokens plus the longest allowed answer, or the
            best estimate of it.
        :param waited: whether the request was held after a `LimitWait`.
        """
        account = self._get_or_create_usage(account_name, now)
        if account is None:
            return LimitRefusal(LimitReason.UNKNOWN_ACCOUNT, MAX_RETRY_AFTER_SECONDS)
        account.last_request_at = now
        if not waited:
            account.offered_requests += 1
            account.offered_tokens += estimated_tokens
        reason = self._exceeded_limit(account, now)
        actions: list[Action] = []
        if reason is not None and not waited:
            if reason is LimitReason.CONCURRENCY:
                account.concurrency_refusals += 1
            actions = self._send_urgent_demand(account_name, account, now)
            # The answer is already here if this entry is the home entry.
            reason = self._exceeded_limit(account, now)
        if reason is None:
            account.request_bucket.charge(1.0, now)
            account.token_bucket.charge(estimated_tokens, now)
            account.running += 1
            account.peak_running = max(account.peak_running, account.running)
            return LimitPermit(account_name, estimated_tokens, now)
        until = account.urgent_demand_at + LEASE_TIMEOUT_SECONDS
        if not waited and not account.is_answered and now < until:
            return LimitWait(until, tuple(actions))
        seconds = self._retry_after(account, reason, estimated_tokens, now)
        bounded = min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        return LimitRefusal(reason, bounded)

    def reconcile_tokens(
        self, permit: LimitPermit, used_tokens: int, now: float
    ) -> None:
        """Replace the estimate of a finished request by the tokens it used.

        :param used_tokens: prompt and answer tokens, 0 if the request was not run.
        """
        account = self._usage_by_account.get(permit.account)
        if account is not None:
            account.token_bucket.charge(used_tokens - permit.estimated_tokens, now)

    def finish(self, permit: LimitPermit, used_tokens: int, now: float) -> None:
        """End a request: free its slot and settle its tokens."""
        account = self._usage_by_account.get(permit.account)
        if account is None:
            return
        account.running -= 1
        seconds = max(now - permit.admitted_at, 1e-3)
        account.mean_service_seconds += SERVICE_TIME_WEIGHT * (
            seconds - account.mean_service_seconds
        )
        self.reconcile_tokens(permit, used_tokens, now)

    def running_requests(self, account_name: str) -> int:
        """Return the requests of an account that run through this entry."""
        account = self._usage_by_account.get(account_name)
        return account.running if account else 0

    def current_share(self, account_name: str, now: float) -> Amounts:
        """Return what an account may use through this entry, reserve and lease."""
        account = self._usage_by_account.get(account_name)
        if account is None:
            return ZERO_AMOUNTS
        return Amounts(
            account.request_bucket.rate(now),
            account.slot_limit(now),
            account.token_bucket.rate(now),
        )

    def tick(self, now: float) -> list[Action]:
        """Send demands and votes when they are due; call it every 0.25 s."""
        actions: list[Action] = list(self._home.tick(now))
        if now - self._last_demands_at < DEMAND_INTERVAL_SECONDS:
            return actions
        interval_seconds = min(
            now - self._last_demands_at, 2.0 * DEMAND_INTERVAL_SECONDS
        )
        self._last_demands_at = now
        for name, account in list(self._usage_by_account.items()):
            account.update_estimate(interval_seconds)
            idle = (
                now - account.last_request_at > IDLE_EVICTION_SECONDS
                and account.running == 0
            )
            if idle and not account.is_in_debt(now):
                del self._usage_by_account[name]
        return actions + self._send_periodic_demands(now, self._next_vote(now))

    def receive(
        self,
        sender: Peer,
        message: LimitDemands | LimitLeases,
        now: float,
    ) -> list[Action]:
        """Take a message from another entry and return the answers."""
        match message:
            case LimitDemands():
                reply = self._home.receive_demands(sender, message, now)
                return [] if reply is None else [Send(sender.instance, reply)]
            case LimitLeases():
                if message.challenge:
                    self._challenge_by_instance[sender.instance] = message.challenge
                for lease in message.leases:
                    if lease.loan:
                        self._home.receive_loan(sender, lease, now)
                    else:
                        self._apply_lease(lease, now)
                return []

    def _get_or_create_usage(self, name: str, now: float) -> AccountUsage | None:
        record = self._sheet.account_by_name.get(name) if self._sheet else None
        if record is None or self._sheet is None:
            return None
        existing = self._usage_by_account.get(name)
        if existing is not None:
            return existing
        reserve = zone_share(self._sheet, record, self._me.zone).reserve
        account = AccountUsage(
            LeaseBucket(reserve.requests_per_second, now),
            LeaseBucket(reserve.tokens_per_second, now),
            account_limit(record),
            reserve,
            now,
        )
        self._usage_by_account[name] = account
        return account

    def _exceeded_limit(self, account: AccountUsage, now: float) -> LimitReason | None:
        slots = account.slot_limit(now)
        if slots == 0 and account.is_home_unresponsive(now):
            # The limit is too small for a slot in each reserve. One request may run
            # without a slot, so that the loss of the home entry does not stop the
            # account; the reserved rate still applies.
            slots = 1
        if account.running >= slots:
            return LimitReason.CONCURRENCY
        if not account.request_bucket.may_charge(now):
            return LimitReason.REQUEST_RATE
        if not account.token_bucket.may_charge(now):
            return LimitReason.TOKEN_RATE
        return None

    def _retry_after(
        self,
        account: AccountUsage,
        reason: LimitReason,
        estimated_tokens: int,
        now: float,
    ) -> float:
        match reason:
            case LimitReason.REQUEST_RATE:
                return account.request_bucket.retry_after(1.0, now)
            case LimitReason.TOKEN_RATE:
                return account.token_bucket.retry_after(estimated_tokens, now)
            case _:
                slots = max(account.slot_limit(now), 1)
                freed_slots = (
                    (now - account.pending_retries_at)
                    * slots
                    / account.mean_service_seconds
                )
                account.pending_retries = (
                    max(0.0, account.pending_retries - freed_slots) + 1.0
                )
                account.pending_retries_at = now
                return account.pending_retries * account.mean_service_seconds / slots

    def _send_urgent_demand(
        self,
        name: str,
        account: AccountUsage,
        now: float,
    ) -> list[Action]:
        interval = (
            URGENT_DEMAND_INTERVAL_SECONDS
            if account.is_answered
            else UNANSWERED_DEMAND_INTERVAL_SECONDS
        )
        if now - account.urgent_demand_at < interval:
            return []
        account.urgent_demand_at = now
        demand = self._create_demand(name, account, now)
        account.urgent_request_id = demand.request_id
        home = rank_by_rendezvous(name, self._live_zone_entries)[0]
        return self._send_demands(home, [demand], "", now)

    def _next_vote(self, now: float) -> str:
        """Return the digest to vote for, empty while a vote must not be changed."""
        if self._last_vote_digest != self._view_digest:
            if now - self._last_vote_at < VOTE_CHANGE_DELAY_SECONDS:
                return ""
            self._last_vote_digest = self._view_digest
        self._last_vote_at = now
        return self._view_digest

    def _send_periodic_demands(self, now: float, vote: str) -> list[Action]:
        demands_by_instance: dict[str, list[LimitDemand]] = {
            instance: [] for instance in self._live_zone_entries
        }
        for name, account in self._usage_by_account.items():
            if (
                account.running
                or now - account.last_request_at <= ACTIVITY_WINDOW_SECONDS
            ):
                home = rank_by_rendezvous(name, self._live_zone_entries)[0]
                demand = self._create_demand(name, account, now)
                demands_by_instance[home].append(demand)
        return [
            action
            for instance, demands in demands_by_instance.items()
            for action in self._send_demands(instance, demands, vote, now)
        ]

    def _send_demands(
        self,
        instance: str,
        demands: list[LimitDemand],
        vote: str,
        now: float,
    ) -> list[Action]:
        challenge = self._challenge_by_instance.get(instance, 0)
        message = LimitDemands(tuple(demands), vote, challenge)
        if instance != self._me.instance:
            return [Send(instance, message)]
        reply = self._home.receive_demands(self._me, message, now)
        if reply is not None:
            self.receive(self._me, reply, now)
        return []

    def _create_demand(
        self, name: str, account: AccountUsage, now: float
    ) -> LimitDemand:
        self._next_request_id += 1
        sent_demands = account.demand_by_request_id
        while (
            sent_demands
            and next(iter(sent_demands.values())).sent_at <= now - LEASE_SECONDS
        ):
            del sent_demands[next(iter(sent_demands))]
        needed = account.needed_lease()
        requested = needed.with_hysteresis(account.current_lease(now))
        account.cap_leases(requested, now)
        sent_demands[self._next_request_id] = SentDemand(now)
        return LimitDemand(
            name,
            self._next_request_id,
            requested.requests_per_second,
            requested.concurrency,
            requested.tokens_per_second,
            held=max(0, account.running - account.reserve.concurrency),
        )

    def _apply_lease(self, lease: LimitLease, now: float) -> None:
        account = self._usage_by_account.get(lease.account)
        if account is None or lease.request_id <= account.lease_request_id:
            return
        sent_demand = account.demand_by_request_id.get(lease.request_id)
        if sent_demand is None:
            return
        end = sent_demand.sent_at + lease.term_seconds
        if end <= now:
            return
        amounts = Amounts(
            lease.requests_per_second,
            lease.concurrency,
            lease.tokens_per_second,
        )
        account.lease_request_id = lease.request_id
        account.set_lease(amounts.minimum(sent_demand.cap), end, now)
