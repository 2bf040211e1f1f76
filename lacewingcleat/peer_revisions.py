"""coordination: track which peers hold a higher or lower revision than this process.

Offers may be lost. Every other message carries the sender's revision too: this process
queries a peer that is ahead, and repeats its offer to a peer that is behind.
"""

from collections.abc import Collection
from dataclasses import dataclass

# An offer along the distribution tree usually arrives within this time after a
# heartbeat with a higher revision, which makes the query unnecessary.
QUERY_DELAY_SECONDS = 0.25
# A peer that is still behind after this time has lost its offer: a fetch that needs two
# attempts takes 0.4 s.
REPEAT_OFFER_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PeerAhead:
    """A peer whose message carried a higher revision before an offer arrived.

    :param received_at: when that message was received.
    """

    instance: str
    revision: int
    received_at: float


class PeerRevisions:
    """Schedule queries to a peer that is ahead and offers to peers that are behind."""

    __slots__ = ("_ahead", "_last_offer_at")

    def __init__(self) -> None:
        self._ahead: PeerAhead | None = None
        self._last_offer_at: dict[str, float] = {}

    def record_ahead(self, instance: str, revision: int, now: float) -> None:
        """Record a peer with a higher revision.

        Only the first peer with the highest revision is retained.
        """
        if self._ahead is None or self._ahead.revision < revision:
            self._ahead = PeerAhead(instance, revision, now)

    def discard_reached(self, revision: int) -> None:
        """Discard the peer ahead if this process has reached its revision."""
        if self._ahead and self._ahead.revision <= revision:
            self._ahead = None

    def discard_ahead(self) -> None:
        """Discard the peer ahead, because after a pause it is outdated."""
        self._ahead = None

    def take_peer_to_query(self, now: float) -> PeerAhead | None:
        """Return and clear the peer to query now, or None.

        It is queried again only after another message with a higher revision.
        """
        ahead = self._ahead
        if ahead is None or now - ahead.received_at < QUERY_DELAY_SECONDS:
            return None
        self._ahead = None
        return ahead

    def take_repeat_offer(self, instance: str, in_force_at: float, now: float) -> bool:
        """Return whether to repeat the offer to a peer that is behind, and record it.

        :param in_force_at: when this process put its revision in force.
        """
        last_offer_at = max(in_force_at, self._last_offer_at.get(instance, in_force_at))
        if now - last_offer_at < REPEAT_OFFER_SECONDS:
            return False
        self._last_offer_at[instance] = now
        return True

    def retain_peers(self, known_peers: Collection[str]) -> None:
        """Discard all other peers, which bounds memory use."""
        self._last_offer_at = {
            instance: at
            for instance, at in self._last_offer_at.items()
            if instance in known_peers
        }
