"""coordination: what one process knows about one peer.

A message may arrive long after it was sent, for instance after a partition heals or
when a paused receiver empties its sockets. So signs of life are dated by the sender's
clock, translated to the receiver's clock by the smallest difference ever seen between
the two, and not by the time of arrival.
"""

from dataclasses import dataclass

from lacewingcleat.identity import Peer

NEVER = float("-inf")
# Clocks of two hosts drift by at most about 200 ppm against each other; the allowance
# keeps a slow clock from looking like growing delay.
DRIFT_ALLOWANCE = 0.001
# Clocks of former incarnations are kept, so that their delayed messages are recognised
# when their successor has died as well.
MAX_CLOCKS = 4


@dataclass(slots=True)
class ClockOffset:
    """Translate a peer's clock to the local one.

    :param difference: smallest local time minus sender time seen so far.
    :param seen_at: local time of that observation.
    """

    difference: float
    seen_at: float

    def local_time(self, sent_at: float, now: float) -> float:
        """Return when a message was sent, by the local clock, and learn from it."""
        allowed = self.difference + DRIFT_ALLOWANCE * max(0.0, now - self.seen_at)
        observed = now - sent_at
        if observed <= allowed:
            self.difference = observed
            self.seen_at = now
            return now
        return sent_at + allowed


@dataclass(slots=True)
class _Clock:
    offset: ClockOffset
    last_sent_at: float = NEVER


@dataclass(slots=True)
class _Candidate:
    peer: Peer
    sent_at: float


class PeerView:
    """Follow one instance through its incarnations.

    `noted_at` dates what was heard from others: that this is the present incarnation,
    or that it is leaving. `alive_at` dates its own last sign of life.

    :param peer: the incarnation first heard of.
    """

    __slots__ = (
        "_candidate",
        "_clock_by_incarnation",
        "alive_at",
        "announced_at",
        "answered_at",
        "control_address",
        "known_at",
        "leaving",
        "noted_at",
        "peer",
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
        self.known_at = now
        self.control_address = control_address
        self.request_address = request_address
        self.leaving = False
        self.noted_at = NEVER
        self.announced_at = NEVER
        self.view_digest = ""
        self.alive_at = NEVER
        self.answered_at = NEVER
        self._clock_by_incarnation: dict[str, _Clock] = {}
        self._candidate: _Candidate | None = None

    def is_alive(self, now: float, timeout: float) -> bool:
        """Return whether a sign of life is younger than the timeout."""
        return now - self.alive_at <= timeout

    def accept(
        self,
        peer: Peer,
        sent_at: float,
        now: float,
        timeout: float,
        not_before: float,
    ) -> bool:
        """Take a dated message as a sign of life, or reject it as out of date.

        Another incarnation is adopted if the present one is not alive, or if it is
        heard twice while the present one stays silent. Thus a delayed message of a
        dead process, or a resumed process whose name was given to a successor, does
        not displace a running one.

        :param not_before: local time of the last pause or partition; anything sent
            earlier is rejected.
        """
        clock = self._clock_by_incarnation.get(peer.incarnation)
        if clock is None:
            clock = self._add_clock(peer, ClockOffset(now - sent_at, now))
        if sent_at <= clock.last_sent_at:
            return False
        alive_at = clock.offset.local_time(sent_at, now)
        clock.last_sent_at = sent_at
        if alive_at < not_before or now - alive_at > timeout:
            return False
        if peer.incarnation != self.peer.incarnation:
            if self.is_alive(now, timeout) and not self._is_successor(peer, sent_at):
                return False
            self.replace(peer)
        self._candidate = None
        self.alive_at = max(self.alive_at, alive_at)
        return True

    def sent_locally(self, sent_at: float, now: float) -> float:
        """Return when a message of the present incarnation was sent.

        Returns `NEVER` without a clock offset, that is before the first heartbeat.
        """
        clock = self._clock_by_incarnation.get(self.peer.incarnation)
        return NEVER if clock is None else clock.offset.local_time(sent_at, now)

    def drop(self) -> None:
        """Forget signs of life, but neither the clock offset nor that it is leaving."""
        self.alive_at = NEVER
        self.view_digest = ""
        self._candidate = None

    def replace(self, peer: Peer) -> None:
        """Follow another incarnation, of which nothing is known yet."""
        self.peer = peer
        self.leaving = False
        self.view_digest = ""
        self.alive_at = NEVER
        self._candidate = None

    def _add_clock(self, peer: Peer, offset: ClockOffset) -> _Clock:
        if len(self._clock_by_incarnation) >= MAX_CLOCKS:
            del self._clock_by_incarnation[next(iter(self._clock_by_incarnation))]
        clock = _Clock(offset)
        self._clock_by_incarnation[peer.incarnation] = clock
        return clock

    def _is_successor(self, peer: Peer, sent_at: float) -> bool:
        candidate = self._candidate
        if candidate is None or candidate.peer != peer:
            self._candidate = _Candidate(peer, sent_at)
            return False
        return sent_at > candidate.sent_at
