"""coordination: rate and concurrency limits of client accounts at an entry.

An entry may always use a fixed reserve of each account's limits. Beyond the reserve it
uses a lease from the account's home entry until the lease expires. Tokens are charged
by estimate on admission and corrected to the actual usage after the response. The
entry also runs a `LimitHome` for the accounts whose home entry it is; messages that it
addresses to itself are passed to that object directly.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from math import inf

from lacewingcleat.account_use import LEASE_WAIT_SECONDS, AccountUse, SentDemand
from lacewingcleat.actions import Action, Send
from lacewingcleat.home_authority import LEASE_SECONDS, VOTE_CHANGE_SECONDS
from lacewingcleat.identity import Peer, Role
from lacewingcleat.lease_bucket import LeaseBucket
from lacewingcleat.limit_home import LimitHome
from lacewingcleat.limit_shares import (
    NOTHING,
    Amounts,
    limit_of,
    zone_share,
)
from lacewingcleat.messages import LimitDemand, LimitDemands, LimitLease, LimitLeases
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet

DEMAND_SECONDS = 1.0
# Minimum interval between urgent demands for one account.
URGENT_SECONDS = 0.5
# Minimum interval between urgent demands while the home entry does not answer.
UNANSWERED_SECONDS = 2.0
# No leases are requested for an account that runs no requests and received none for
# this long.
ACTIVE_SECONDS = 2.0
# The record of an idle account is evicted after this time unless a bucket is in debt.
FORGET_SECONDS = 60.0
SERVICE_WEIGHT = 0.1
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 60.0


class LimitReason(Enum):
    """Name the limit that a refused request exceeded."""

    UNKNOWN_ACCOUNT = "unknown-account"
    REQUEST_RATE = "request-rate"
    CONCURRENCY = "concurrency"
    TOKEN_RATE = "token-rate"


@dataclass(frozen=True, slots=True)
class LimitPermit:
    """Represent an admitted request; pass it to `finish` when the request has ended.

    :param estimated_tokens: tokens charged on admission.
    """

    account: str
    estimated_tokens: int
    admitted_at: float


@dataclass(frozen=True, slots=True)
class LimitWait:
    """Ask the caller to delay a request while an urgent demand is unanswered.

    Call `admit` again with `waited` set after the next `LimitLeases` message, or at
    `until` if none has arrived.

    :param actions: demands to send now.
    """

    until: float
    actions: tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class LimitRefusal:
    """Refuse a request before any of it has run.

    :param retry_after_seconds: delay after which a retry is likely to be admitted.
    """

    reason: LimitReason
    retry_after_seconds: float


LimitDecision = LimitPermit | LimitWait | LimitRefusal


class AccountLimits:
    """Admit or refuse requests according to the limits of their accounts.

    :param me: the entry that this object runs in.
    """

    __slots__ = (
        "_account_by_name",
        "_challenge_by_instance",
        "_demanded_at",
        "_digest",
        "_home",
        "_live",
        "_me",
        "_next_request_id",
        "_sheet",
        "_voted_at",
        "_voted_digest",
    )

    def __init__(self, me: Peer, now: float) -> None:
        self._me = me
        self._home = LimitHome(me)
        self._sheet: Sheet | None = None
        self._live: tuple[str, ...] = (me.instance,)
        self._digest = ""
        self._account_by_name: dict[str, AccountUse] = {}
        self._challenge_by_instance: dict[str, int] = {}
        # Request ids must differ from those of an earlier incarnation. Otherwise the
        # term of a late lease for that one would start at a demand of this one.
        self._next_request_id = int(me.incarnation[:10] or "0", 16) << 23
        self._demanded_at = -inf
        self._voted_digest = ""
        # An earlier incarnation may have voted just before this one started.
        self._voted_at = now
        self.observe_entries([me], now)

    @property
    def home(self) -> LimitHome:
        """Return the home entry's state, for metrics and status pages."""
        return self._home

    def apply_sheet(self, sheet: Sheet, now: float) -> None:
        """Apply a new revision of the sheet."""
        old = self._sheet
        same_zones = old is not None and old.zone_by_name == sheet.zone_by_name
        self._sheet = sheet
        self._home.apply_sheet(sheet, now)
        for name, account in list(self._account_by_name.items()):
            if name not in sheet.account_by_name:
                if account.running == 0:
                    del self._account_by_name[name]
                continue
            record = sheet.account_by_name[name]
            if same_zones and old and old.account_by_name.get(name) == record:
                # A new sheet arrives every two seconds and changes few accounts, so
                # unchanged accounts are skipped.
                continue
            account.limit = limit_of(record)
            account.reserve = zone_share(sheet, record, self._me.zone).reserve
            account.requests.set_reserve(account.reserve.requests_per_second, now)
            account.tokens.set_reserve(account.reserve.tokens_per_second, now)

    def observe_entries(self, entries: Iterable[Peer], now: float) -> None:
        """Update the live entries of all zones from the membership state.

        This entry is always included.

        :param entries: live peers without those that are shutting down; peers of other
            roles are ignored.
        """
        live_by_instance = {
            peer.instance: peer for peer in entries if peer.role is Role.ENTRY
        }
        # Membership may still list an earlier incarnation of this entry.
        live_by_instance[self._me.instance] = self._me
        live = live_by_instance.values()
        own = sorted(
            (peer.instance, peer.incarnation)
            for peer in live
            if peer.zone == self._me.zone
        )
        self._live = tuple(instance for instance, _ in own)
        text = "\n".join(f"{name} {incarnation}" for name, incarnation in own)
        self._digest = blake2b(text.encode(), digest_size=8).hexdigest()
        names_by_zone: dict[str, list[str]] = {}
        for peer in live:
            names_by_zone.setdefault(peer.zone, []).append(peer.instance)
        self._home.observe_view(
            {zone: tuple(sorted(names)) for zone, names in names_by_zone.items()},
            self._digest,
            now,
        )

    def admit(
        self,
        account_name: str,
        estimated_tokens: int,
        now: float,
        waited: bool = False,
    ) -> LimitDecision:
        """Admit, delay or refuse a request.

        :param estimated_tokens: prompt tokens plus the maximum or estimated number of
            answer tokens.
        :param waited: whether the request has already been delayed by a `LimitWait`.
        """
        account = self._account(account_name, now)
        if account is None:
            return LimitRefusal(LimitReason.UNKNOWN_ACCOUNT, MAX_RETRY_AFTER_SECONDS)
        account.seen_at = now
        if not waited:
            account.offered += 1
            account.offered_tokens += estimated_tokens
        reason = self._refusal(account, now)
        actions: list[Action] = []
        if reason is not None and not waited:
            if reason is LimitReason.CONCURRENCY:
                account.refused_slots += 1
            actions = self._demand_urgently(account_name, account, now)
            # If this entry is the home entry, the call above has applied the lease.
            reason = self._refusal(account, now)
        if reason is None:
            account.requests.charge(1.0, now)
            account.tokens.charge(estimated_tokens, now)
            account.running += 1
            account.peak = max(account.peak, account.running)
            return LimitPermit(account_name, estimated_tokens, now)
        until = account.urgent_at + LEASE_WAIT_SECONDS
        if not waited and not account.answered and now < until:
            return LimitWait(until, tuple(actions))
        seconds = self._retry_after(account, reason, estimated_tokens, now)
        bounded = min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        return LimitRefusal(reason, bounded)

    def settle(self, permit: LimitPermit, used_tokens: int, now: float) -> None:
        """Correct the token charge of a request from the estimate to actual usage.

        :param used_tokens: prompt and answer tokens; 0 if the request was not run.
        """
        account = self._account_by_name.get(permit.account)
        if account is not None:
            account.tokens.charge(used_tokens - permit.estimated_tokens, now)

    def finish(self, permit: LimitPermit, used_tokens: int, now: float) -> None:
        """Release the slot of a finished request and correct its token charge."""
        account = self._account_by_name.get(permit.account)
        if account is None:
            return
        account.running -= 1
        seconds = max(now - permit.admitted_at, 1e-3)
        account.service_seconds += SERVICE_WEIGHT * (seconds - account.service_seconds)
        self.settle(permit, used_tokens, now)

    def running_of(self, account_name: str) -> int:
        """Return the number of running requests of an account at this entry."""
        account = self._account_by_name.get(account_name)
        return account.running if account else 0

    def share_of(self, account_name: str, now: float) -> Amounts:
        """Return an account's reserve plus current lease at this entry."""
        account = self._account_by_name.get(account_name)
        if account is None:
            return NOTHING
        return Amounts(
            account.requests.rate(now),
            account.slots(now),
            account.tokens.rate(now),
        )

    def tick(self, now: float) -> list[Action]:
        """Return the periodic demands and votes to send; call this every 0.25 s."""
        actions: list[Action] = list(self._home.tick(now))
        if now - self._demanded_at < DEMAND_SECONDS:
            return actions
        period = min(now - self._demanded_at, 2.0 * DEMAND_SECONDS)
        self._demanded_at = now
        for name, account in list(self._account_by_name.items()):
            account.estimate(period)
            idle = now - account.seen_at > FORGET_SECONDS and account.running == 0
            if idle and not account.in_debt(now):
                del self._account_by_name[name]
        return actions + self._demand(now, self._vote(now))

    def receive(
        self,
        sender: Peer,
        message: LimitDemands | LimitLeases,
        now: float,
    ) -> list[Action]:
        """Process a message from another entry and return the replies to send."""
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
                        self._take_lease(lease, now)
                return []

    def _account(self, name: str, now: float) -> AccountUse | None:
        record = self._sheet.account_by_name.get(name) if self._sheet else None
        if record is None or self._sheet is None:
            return None
        known = self._account_by_name.get(name)
        if known is not None:
            return known
        reserve = zone_share(self._sheet, record, self._me.zone).reserve
        account = AccountUse(
            LeaseBucket(reserve.requests_per_second, now),
            LeaseBucket(reserve.tokens_per_second, now),
            limit_of(record),
            reserve,
            now,
        )
        self._account_by_name[name] = account
        return account

    def _refusal(self, account: AccountUse, now: float) -> LimitReason | None:
        slots = account.slots(now)
        if slots == 0 and account.unanswered(now):
            # The limit is too small to reserve a slot at each entry. Allow one request
            # without a slot, so that the account stays usable while its home entry is
            # unreachable; the reserved rate still applies.
            slots = 1
        if account.running >= slots:
            return LimitReason.CONCURRENCY
        if not account.requests.may_charge(now):
            return LimitReason.REQUEST_RATE
        if not account.tokens.may_charge(now):
            return LimitReason.TOKEN_RATE
        return None

    def _retry_after(
        self,
        account: AccountUse,
        reason: LimitReason,
        estimated_tokens: int,
        now: float,
    ) -> float:
        match reason:
            case LimitReason.REQUEST_RATE:
                return account.requests.retry_after(1.0, now)
            case LimitReason.TOKEN_RATE:
                return account.tokens.retry_after(estimated_tokens, now)
            case _:
                slots = max(account.slots(now), 1)
                freed = (now - account.promised_at) * slots / account.service_seconds
                account.promised_slots = max(0.0, account.promised_slots - freed) + 1.0
                account.promised_at = now
                return account.promised_slots * account.service_seconds / slots

    def _demand_urgently(
        self,
        name: str,
        account: AccountUse,
        now: float,
    ) -> list[Action]:
        interval = URGENT_SECONDS if account.answered else UNANSWERED_SECONDS
        if now - account.urgent_at < interval:
            return []
        account.urgent_at = now
        demand = self._demand_of(name, account, now)
        account.urgent_request_id = demand.request_id
        home = rank_by_rendezvous(name, self._live)[0]
        return self._send_demands(home, [demand], "", now)

    def _vote(self, now: float) -> str:
        """Return the view digest to vote for, or "" while a vote change must wait."""
        if self._voted_digest != self._digest:
            if now - self._voted_at < VOTE_CHANGE_SECONDS:
                return ""
            self._voted_digest = self._digest
        self._voted_at = now
        return self._digest

    def _demand(self, now: float, vote: str) -> list[Action]:
        demands_by_instance: dict[str, list[LimitDemand]] = {
            instance: [] for instance in self._live
        }
        for name, account in self._account_by_name.items():
            if account.running or now - account.seen_at <= ACTIVE_SECONDS:
                home = rank_by_rendezvous(name, self._live)[0]
                demand = self._demand_of(name, account, now)
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

    def _demand_of(self, name: str, account: AccountUse, now: float) -> LimitDemand:
        self._next_request_id += 1
        sent = account.sent_by_request_id
        while sent and next(iter(sent.values())).sent_at <= now - LEASE_SECONDS:
            del sent[next(iter(sent))]
        needed = account.needed()
        asked = needed.or_keep(account.lease(now))
        account.give_back(asked, now)
        sent[self._next_request_id] = SentDemand(now)
        return LimitDemand(
            name,
            self._next_request_id,
            asked.requests_per_second,
            asked.concurrency,
            asked.tokens_per_second,
            held=max(0, account.running - account.reserve.concurrency),
        )

    def _take_lease(self, lease: LimitLease, now: float) -> None:
        account = self._account_by_name.get(lease.account)
        if account is None or lease.request_id <= account.lease_request_id:
            return
        sent = account.sent_by_request_id.get(lease.request_id)
        if sent is None:
            return
        end = sent.sent_at + lease.term_seconds
        if end <= now:
            return
        amounts = Amounts(
            lease.requests_per_second,
            lease.concurrency,
            lease.tokens_per_second,
        )
        account.lease_request_id = lease.request_id
        account.set_lease(amounts.lower(sent.cap), end, now)
