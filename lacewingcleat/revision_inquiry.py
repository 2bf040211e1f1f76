"""coordination: ask peers for the highest revision after a start or a pause.

Until a peer has answered, or 2 s have passed without an answer, the sheet in force may
be outdated and no decision may use it.
"""

from collections.abc import Sequence

ASK_SECONDS = 2.0
ASK_AGAIN_SECONDS = 0.5
ASKED_PEERS = 4


class PeerInquiry:
    """Track one inquiry; each pause begins a new one.

    :param incarnation: makes the query ids differ from those of other processes.
    """

    __slots__ = (
        "_answer",
        "_asked_at",
        "_incarnation",
        "_number",
        "_rounds",
        "_until",
        "query_id",
    )

    def __init__(self, incarnation: str, now: float) -> None:
        self._incarnation = incarnation
        self._number = 0
        self._rounds = 0
        self.begin(now)

    def begin(self, now: float) -> None:
        """Begin an inquiry; answers to earlier ones no longer count."""
        self._until: float | None = now + ASK_SECONDS
        self._asked_at: float | None = None
        self._answer: int | None = None
        self._number += 1
        self.query_id = f"{self._incarnation}/{self._number}"

    def is_over(self, revision: int, now: float) -> bool:
        """Return whether decisions may use the given revision, which is in force."""
        if self._until is None or now >= self._until:
            return True
        return self._answer is not None and self._answer <= revision

    def settle(self, revision: int, now: float) -> None:
        """End the inquiry if it is over, so that later news does not reopen it."""
        if self.is_over(revision, now):
            self._until = None
            self.query_id = ""

    def note_answer(self, query_id: str, revision: int, now: float) -> None:
        """Note the revision that a peer holds, if it answers the present inquiry."""
        if query_id and query_id == self.query_id:
            self._answer = max(self._answer or 0, revision)
            self.note_progress(now)

    def note_progress(self, now: float) -> None:
        """Wait for another 2 s if a peer has named a newer revision, which arrives."""
        if self._answer is None:
            return
        if self._until is not None and now < self._until:
            self._until = now + ASK_SECONDS

    def peers_to_ask(self, peers: Sequence[str], now: float) -> list[str]:
        """Return the peers to ask now; each round asks others.

        :param peers: all known peers, the preferred ones first.
        """
        if self._until is None or not peers:
            return []
        if self._asked_at is not None and now - self._asked_at < ASK_AGAIN_SECONDS:
            return []
        self._asked_at = now
        start = self._rounds * ASKED_PEERS % len(peers)
        self._rounds += 1
        return [*peers[start:], *peers[:start]][:ASKED_PEERS]
