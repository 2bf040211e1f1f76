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
REPAIR_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PeerAhead:
    """A peer whose message carried a higher revision before an offer arrived.

    :param heard_at: when that message was received.
    """

    instance: str
    revision: int
    heard_at: float


class PeerRevisions:
    """Schedule queries to a peer that is ahead and offers to peers that are behind."""

    __slots__ = ("_ahead", "_told_at")

    def __init__(self) -> None:
        self._ahead: PeerAhead | None = None
        self._told_at: dict[str, float] = {}

    def note_ahead(self, instance: str, revision: int, now: float) -> None:
        """Record a peer with a higher revision.

        Only the first peer with the highest revision is retained.
        """
        if self._ahead is None or self._ahead.revision < revision:
            self._ahead = PeerAhead(instance, revision, now)

    def reached(self, revision: int) -> None:
        """Discard the peer ahead if this process has reached its revision."""
        if self._ahead and self._ahead.revision <= revision:
            self._ahead = None

    def forget_ahead(self) -> None:
        """Discard the peer ahead, because after a pause it is outdated."""
        self._ahead = None

    def take_query(self, now: float) -> PeerAhead | None:
        """Return and clear the peer to query now, or None.

        It is queried again only after another message with a higher revision.
        """
        ahead = self._ahead
        if ahead is None or now - ahead.heard_at < QUERY_DELAY_SECONDS:
            return None
        self._ahead = None
        return ahead

    def take_repair(self, instance: str, in_force_at: float, now: float) -> bool:
        """Return whether to repeat the offer to a peer that is behind, and record it.

        :param in_force_at: when this process put its revision in force.
        """
        last = max(in_force_at, self._told_at.get(instance, in_force_at))
        if now - last < REPAIR_SECONDS:
            return False
        self._told_at[instance] = now
        return True

    def keep_only(self, known: Collection[str]) -> None:
        """Discard all other peers, which bounds memory use."""
        self._told_at = {
            instance: at for instance, at in self._told_at.items() if instance in known
        }
