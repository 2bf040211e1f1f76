"""Entries in memory that count the control messages of the account limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lacewingcleat.account_limits import (
    AccountLimits,
    LimitDecision,
    LimitPermit,
    LimitWait,
)
from lacewingcleat.actions import Action, Send
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import LimitDemands, LimitLeases
from lacewingcleat.sheet import ClientAccount, Firm, Sheet, Zone

STEP_SECONDS = 0.25
# Sender, incarnation, zone, role, revision and two digests of an envelope, and the
# lengths of frame and names; `control_wire` is not part of this model.
ENVELOPE_BYTES = 120


def make_sheet(accounts: Iterable[ClientAccount], zones: dict[str, int]) -> Sheet:
    """Build a sheet of accounts and zones only.

    :param zones: expected entries by zone name.
    """
    return Sheet(
        revision=1,
        digest="1",
        routing_digest="1",
        firm_by_name={"coteau": Firm("coteau", "America/Regina", 1.0, 1.0)},
        zone_by_name={name: Zone(name, "r", count) for name, count in zones.items()},
        account_by_name={account.name: account for account in accounts},
        server_by_name={},
        group_by_name={},
        service_by_name={},
        claims_by_pool={},
    )


def make_account(
    name: str,
    requests_per_second: float,
    concurrency: int = 100_000,
    tokens_per_second: float = 1e9,
) -> ClientAccount:
    """Build an account that is limited by its request rate alone by default."""
    tokens = tokens_per_second * 60.0
    key = name.rjust(64, "0")
    return ClientAccount(
        name,
        "coteau",
        key,
        requests_per_second,
        concurrency,
        tokens,
        0,
    )


def message_size(message: LimitDemands | LimitLeases) -> int:
    """Return the bytes of a message on the wire."""
    return len(msgspec.msgpack.encode(message)) + ENVELOPE_BYTES


@dataclass(slots=True)
class Traffic:
    """Count what one process sends and receives."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(slots=True)
class Entry:
    """Hold an entry process."""

    peer: Peer
    limits: AccountLimits
    traffic: Traffic = field(default_factory=Traffic)


class LimitsModel:
    """Run entries whose messages arrive at once unless a partition stops them."""

    def __init__(self, sheet: Sheet) -> None:
        self.now = 0.0
        self.entry_by_name: dict[str, Entry] = {}
        self.side_by_name: dict[str, int] = {}
        for zone in sheet.zone_by_name.values():
            for number in range(zone.entries):
                name = f"{zone.name}-{number}"
                incarnation = f"{len(self.entry_by_name) + 1:010x}"
                peer = Peer(name, incarnation, zone.name, Role.ENTRY)
                limits = AccountLimits(peer, self.now)
                limits.apply_sheet(sheet, self.now)
                self.entry_by_name[name] = Entry(peer, limits)
        self.observe()

    def observe(self) -> None:
        """Let each entry see the entries that it reaches."""
        for name, entry in self.entry_by_name.items():
            reached = [
                other.peer
                for other_name, other in self.entry_by_name.items()
                if self._reaches(name, other_name)
            ]
            entry.limits.update_entries(reached, self.now)

    def step(self) -> None:
        """Let a quarter of a second pass."""
        self.now += STEP_SECONDS
        for entry in self.entry_by_name.values():
            self.deliver(entry, entry.limits.tick(self.now))

    def run(self, seconds: float) -> None:
        """Let time pass without requests."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def decide(self, name: str, account: str, tokens: int = 1) -> LimitDecision:
        """Offer a request at an entry, waiting for a lease if asked to."""
        entry = self.entry_by_name[name]
        decision = entry.limits.admit(account, tokens, self.now)
        if isinstance(decision, LimitWait):
            self.deliver(entry, decision.actions)
            decision = entry.limits.admit(account, tokens, self.now, waited=True)
        return decision

    def admit(self, name: str, account: str, tokens: int = 1) -> LimitPermit | None:
        """Offer a request at an entry; return its permit if it is admitted."""
        decision = self.decide(name, account, tokens)
        return decision if isinstance(decision, LimitPermit) else None

    def deliver(self, sender: Entry, actions: Iterable[Action]) -> None:
        """Deliver messages and their answers, and count them on both sides."""
        for action in actions:
            if not isinstance(action, Send):
                continue
            message = action.message
            assert isinstance(message, LimitDemands | LimitLeases)
            size = message_size(message)
            sender.traffic.sent += 1
            sender.traffic.sent_bytes += size
            if not self._reaches(sender.peer.instance, action.instance):
                continue
            receiver = self.entry_by_name[action.instance]
            receiver.traffic.received += 1
            receiver.traffic.received_bytes += size
            answers = receiver.limits.receive(sender.peer, message, self.now)
            self.deliver(receiver, answers)

    def _reaches(self, one: str, other: str) -> bool:
        return self.side_by_name.get(one, 0) == self.side_by_name.get(other, 0)
