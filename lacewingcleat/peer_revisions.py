"""coordination: which peers hold a higher or a lower revision than this process.

Offers may be lost. The revision in every other message shows who is ahead, to be asked,
and who is behind, to be told again.
"""

from collections.abc import Collection
from dataclasses import dataclass

# An offer along the tree usually overtakes the query after a heartbeat.
QUERY_DELAY_SECONDS = 0.25
# A peer that is still behind after this time has lost its offer; a fetch that had to
# ask twice takes 0.4 s.
REPAIR_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PeerAhead:
    """Name a peer that mentioned a higher revision before its offer arrived."""

    instance: str
    revision: int
    heard_at: float


class PeerRevisions:
    """Decide when to ask a peer that is ahead and when to tell one that is behind."""

    __slots__ = ("_ahead", "_told_at")

    def __init__(self) -> None:
        self._ahead: PeerAhead | None = None
        self._told_at: dict[str, float] = {}

    def note_ahead(self, instance: str, revision: int, now: float) -> None:
        """Note a higher revision; only the first peer with the highest one counts."""
        if self._ahead is None or self._ahead.revision < revision:
            self._ahead = PeerAhead(instance, revision, now)

    def reached(self, revision: int) -> None:
        """Forget peers that are no longer ahead."""
        if self._ahead and self._ahead.revision <= revision:
            self._ahead = None

    def forget_ahead(self) -> None:
        """Forget what was heard before a pause."""
        self._ahead = None

    def take_query(self, now: float) -> PeerAhead | None:
        """Return the peer to ask now; it is asked again only if heard of again."""
        ahead = self._ahead
        if ahead is None or now - ahead.heard_at < QUERY_DELAY_SECONDS:
            return None
        self._ahead = None
        return ahead

    def take_repair(self, instance: str, in_force_at: float, now: float) -> bool:
        """Return whether to offer the revision again to a peer that is behind.

        :param in_force_at: when this process put its revision in force.
        """
        last = max(in_force_at, self._told_at.get(instance, in_force_at))
        if now - last < REPAIR_SECONDS:
            return False
        self._told_at[instance] = now
        return True

    def keep_only(self, known: Collection[str]) -> None:
        """Forget peers that are gone, to bound memory."""
        self._told_at = {
            instance: at for instance, at in self._told_at.items() if instance in known
        }
