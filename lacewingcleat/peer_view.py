"""coordination: track what one process knows about one peer.

A message may arrive long after it was sent, for example after a network partition ends
or when a paused receiver resumes and reads its sockets. Signs of life are therefore
dated by the sender's clock and not by the time of arrival. The sender's time is
converted to the receiver's clock with the smallest difference observed between the two.
"""

from dataclasses import dataclass

from lacewingcleat.identity import Peer

NEVER = float("-inf")
# The clocks of two hosts drift by at most about 200 ppm relative to each other. Without
# this allowance, a slow clock would look like a growing network delay.
CLOCK_DRIFT_RATIO = 0.001
# Clocks of earlier incarnations are retained to recognise their delayed messages even
# after the successor has died as well.
MAX_INCARNATION_CLOCKS = 4


@dataclass(slots=True)
class ClockOffset:
    """Convert a peer's clock to the local clock.

    :param min_difference: smallest observed value of local time minus sender time.
    :param updated_at: local time of that observation.
    """

    min_difference: float
    updated_at: float

    def to_local_time(self, sent_at: float, now: float) -> float:
        """Return the sending time by the local clock, and update the difference."""
        allowed = self.min_difference + CLOCK_DRIFT_RATIO * max(
            0.0, now - self.updated_at
        )
        observed = now - sent_at
        if observed <= allowed:
            self.min_difference = observed
            self.updated_at = now
            return now
        return sent_at + allowed


@dataclass(slots=True)
class _IncarnationClock:
    offset: ClockOffset
    last_sent_at: float = NEVER


@dataclass(slots=True)
class _SuccessorCandidate:
    peer: Peer
    sent_at: float


class PeerView:
    """State of one instance across its incarnations.

    `last_seen_at` is the time of the instance's last sign of life. `reported_at` is
    the time of the latest information from other processes: which incarnation is
    current, or that it is leaving.

    :param peer: the first known incarnation.
    """

    __slots__ = (
        "_candidate",
        "_clock_by_incarnation",
        "added_at",
        "control_address",
        "last_seen_at",
        "leaving",
        "leaving_announced_at",
        "peer",
        "replied_at",
        "reported_at",
        "request_address",
        "view_digest",
    )

    def __init__(
        self,
        peer: Peer,
        control_address: str,
        request_address: str,
        now: float,
    ) -> None:
        self.peer = peer
        self.added_at = now
        self.control_address = control_address
        self.request_address = request_address
        self.leaving = False
        self.reported_at = NEVER
        self.leaving_announced_at = NEVER
        self.view_digest = ""
        self.last_seen_at = NEVER
        self.replied_at = NEVER
        self._clock_by_incarnation: dict[str, _IncarnationClock] = {}
        self._candidate: _SuccessorCandidate | None = None

    def is_alive(self, now: float, timeout: float) -> bool:
        """Return whether the last sign of life is within the timeout."""
        return now - self.last_seen_at <= timeout

    def accept(
        self,
        peer: Peer,
        sent_at: float,
        now: float,
        timeout: float,
        not_before: float,
    ) -> bool:
        """Record a message as a sign of life, or reject it as outdated.

        Another incarnation replaces the current one if the current one is not alive, or
        after two messages from it without one from the current one in between. So a
        running process is displaced neither by a delayed message of a dead process nor
        by a resumed process whose name now belongs to a successor.

        :param sent_at: sending time by the sender's clock.
        :param not_before: local time of the last pause; messages sent earlier are
            rejected.
        :return: whether the message was accepted.
        """
        clock = self._clock_by_incarnation.get(peer.incarnation)
        if clock is None:
            clock = self._add_clock(peer, ClockOffset(now - sent_at, now))
        if sent_at <= clock.last_sent_at:
            return False
        last_seen_at = clock.offset.to_local_time(sent_at, now)
        clock.last_sent_at = sent_at
        if last_seen_at < not_before or now - last_seen_at > timeout:
            return False
        if peer.incarnation != self.peer.incarnation:
            if self.is_alive(now, timeout) and not self._is_successor(peer, sent_at):
                return False
            self.replace(peer)
        self._candidate = None
        self.last_seen_at = max(self.last_seen_at, last_seen_at)
        return True

    def to_local_time(self, sent_at: float, now: float) -> float:
        """Return by the local clock when the current incarnation sent a message.

        The result is `NEVER` before the first heartbeat, which sets the clock offset.
        """
        clock = self._clock_by_incarnation.get(self.peer.incarnation)
        return NEVER if clock is None else clock.offset.to_local_time(sent_at, now)

    def drop(self) -> None:
        """Discard signs of life, but retain the clock offset and the leaving mark."""
        self.last_seen_at = NEVER
        self.view_digest = ""
        self._candidate = None

    def replace(self, peer: Peer) -> None:
        """Switch to another incarnation, of which nothing is known yet."""
        self.peer = peer
        self.leaving = False
        self.view_digest = ""
        self.last_seen_at = NEVER
        self._candidate = None

    def _add_clock(self, peer: Peer, offset: ClockOffset) -> _IncarnationClock:
        if len(self._clock_by_incarnation) >= MAX_INCARNATION_CLOCKS:
            del self._clock_by_incarnation[next(iter(self._clock_by_incarnation))]
        clock = _IncarnationClock(offset)
        self._clock_by_incarnation[peer.incarnation] = clock
        return clock

    def _is_successor(self, peer: Peer, sent_at: float) -> bool:
        candidate = self._candidate
        if candidate is None or candidate.peer != peer:
            self._candidate = _SuccessorCandidate(peer, sent_at)
            return False
        return sent_at > candidate.sent_at
