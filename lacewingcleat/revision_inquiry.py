"""coordination: query peers for their revision after a start or a pause.

The sheet in force may be outdated after a start or a pause. No decision may use it
until a peer has answered, or 2 s have passed without an answer.
"""

from collections.abc import Sequence

INQUIRY_TIMEOUT_SECONDS = 2.0
QUERY_INTERVAL_SECONDS = 0.5
PEERS_PER_ROUND = 4


class RevisionInquiry:
    """Track one inquiry about the highest revision. Each pause starts a new inquiry.

    :param incarnation: prefix that makes the query ids unique among processes.
    """

    __slots__ = (
        "_deadline",
        "_highest_answer",
        "_incarnation",
        "_inquiry_number",
        "_last_round_at",
        "_round_count",
        "query_id",
    )

    def __init__(self, incarnation: str, now: float) -> None:
        self._incarnation = incarnation
        self._inquiry_number = 0
        self._round_count = 0
        self.begin(now)

    def begin(self, now: float) -> None:
        """Start an inquiry. Answers to earlier inquiries are ignored from now on."""
        self._deadline: float | None = now + INQUIRY_TIMEOUT_SECONDS
        self._last_round_at: float | None = None
        self._highest_answer: int | None = None
        self._inquiry_number += 1
        self.query_id = f"{self._incarnation}/{self._inquiry_number}"

    def is_complete(self, revision: int, now: float) -> bool:
        """Return whether decisions may use the sheet in force.

        :param revision: revision of the sheet in force.
        """
        if self._deadline is None or now >= self._deadline:
            return True
        return self._highest_answer is not None and self._highest_answer <= revision

    def end_if_complete(self, revision: int, now: float) -> None:
        """End the inquiry if it is complete, so that later answers cannot reopen it."""
        if self.is_complete(revision, now):
            self._deadline = None
            self.query_id = ""

    def record_answer(self, query_id: str, revision: int, now: float) -> None:
        """Record a peer's revision if the query id belongs to the current inquiry."""
        if query_id and query_id == self.query_id:
            self._highest_answer = max(self._highest_answer or 0, revision)
            self.extend_deadline(now)

    def extend_deadline(self, now: float) -> None:
        """Extend the deadline to 2 s from now while a newer revision is fetched."""
        if self._highest_answer is None:
            return
        if self._deadline is not None and now < self._deadline:
            self._deadline = now + INQUIRY_TIMEOUT_SECONDS

    def take_peers_to_query(self, peers: Sequence[str], now: float) -> list[str]:
        """Return the peers to query now. Each round queries the next few peers.

        :param peers: all known peers, in order of preference.
        """
        if self._deadline is None or not peers:
            return []
        if (
            self._last_round_at is not None
            and now - self._last_round_at < QUERY_INTERVAL_SECONDS
        ):
            return []
        self._last_round_at = now
        start = self._round_count * PEERS_PER_ROUND % len(peers)
        self._round_count += 1
        return [*peers[start:], *peers[:start]][:PEERS_PER_ROUND]
