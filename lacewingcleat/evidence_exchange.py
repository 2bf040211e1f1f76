"""coordination: exchange crash evidence between entries.

A new crash or clearance is announced to all peers at once. Each load datagram carries a
hash of the sender's evidence, so an entry that lacks some, since it has started, was
cut off or has lost a datagram, is found by the next datagram to or from any peer.
"""

from collections.abc import Collection
from dataclasses import dataclass

from lacewingcleat.crash_evidence import (
    CrashEvidence,
    CrashRecord,
    split_into_messages,
)
from lacewingcleat.load_gossip import LoadGossip, PeerLoad


@dataclass(frozen=True, slots=True)
class EvidenceMessage:
    """Represent evidence to send in one datagram to each recipient."""

    recipients: list[str]
    crashes: list[CrashRecord]


class EvidenceExchange:
    """Decide which evidence is sent to which peers."""

    __slots__ = ("_evidence", "_peers")

    def __init__(self, evidence: CrashEvidence, peers: LoadGossip) -> None:
        self._evidence = evidence
        self._peers = peers

    def announce(self, crash_ids: Collection[str], now: float) -> list[EvidenceMessage]:
        """Return the messages that announce what is known of some crashes."""
        records = self._evidence.records(now)
        announced = [record for record in records if record.crash_id in crash_ids]
        recipients = self._peers.addresses()
        messages = split_into_messages(announced)
        return [EvidenceMessage(recipients, crashes) for crashes in messages]

    def merge(self, load: PeerLoad, now: float) -> bool:
        """Add the evidence in a datagram and return whether any of it is new."""
        return bool(load.crashes) and self._evidence.merge(load.crashes, now)

    def replies(self, load: PeerLoad, now: float) -> list[EvidenceMessage]:
        """Return the messages to a peer whose evidence differs.

        They carry all evidence, or the hash of none, which the peer answers with its
        own.
        """
        if not self._peers.take_evidence_turn(
            load.address, load.evidence_digest, self._evidence.digest, now
        ):
            return []
        messages = split_into_messages(self._evidence.records(now)) or [[]]
        return [EvidenceMessage([load.address], crashes) for crashes in messages]
