"""coordination: find slow and failing servers of small services from shared evidence.

Behind many entries each one sees few answers of a server, and would go on sending to a
server that has become slow. Entries therefore tell each other the latest answers that
they got: the server, how long it took and whether the answer was wrong, with its age.
An entry passes on its own answers only, so that none counts twice, and decides by
itself.

A server is avoided if its latest answers took over twice as long as those of the
fastest server of its service, by more than their spread explains, or if they were
wrong. The comparison with the fastest one never avoids all servers of a service. An
avoided server gets a small share of the idempotent requests; it is used again once
these are answered well, or when nothing has been heard of it for a while.

Load: each entry keeps the latest answers of each server and sends a few answers in each
datagram, whatever the number of entries and servers. Servers of model groups are left
out, since their ranks share each pass.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from math import exp, log, sqrt
from random import Random
from statistics import fmean, median_low, pstdev

import msgspec

# Latest answers that are kept for a server.
MAX_SAMPLES = 16
# Numbers of latest answers that are compared: two show a large change at once, many a
# small one, or one of a service whose requests differ.
WINDOWS = (2, 4, 8, 16)
# Fewest answers of the fastest server.
MIN_REFERENCE_SAMPLES = 3
# A server with free slots is not worth avoiding for less.
SLOW_FACTOR = 2.0
# Multiple of the standard error that the difference must exceed.
REQUIRED_DEVIATIONS = 4.0
# Spread of the logarithm of the time of equal requests, at least.
MIN_SPREAD = 0.3
# Wrong answers among the latest ones for which a server is avoided, as pairs of both
# numbers.
WRONG_LIMITS = ((2, 4), (4, 12))
# Factor of slowness that stands for wrong answers where servers have to be compared.
WRONG_ANSWER_FACTOR = 12.0
# Answers in a row that must be good for an avoided server to be used again. A server
# that answers every second request wrongly often has two good ones in a row.
REQUIRED_GOOD_ANSWERS = 2
REQUIRED_GOOD_ANSWERS_AFTER_WRONG = 6
# Share of the idempotent requests that are sent to an avoided server.
PROBE_SHARE = 0.08
# The same once it has given half of the good answers that it needs.
RECOVERING_PROBE_SHARE = 0.4
# Largest service that is examined. In larger ones a slow server gets few requests, and
# the work of an evaluation stays bounded.
MAX_SERVERS = 64
# A server of which nothing was heard for this time may have recovered.
EVIDENCE_TTL_SECONDS = 20.0
# A request is counted as slow before its end once it takes this multiple of the time
# that the fastest server takes.
OVERDUE_FACTOR = 4.0
# Time for which an answer is repeated to peers; in a fleet of 350 entries each peer is
# sent a datagram every 4.4 s.
REPEAT_SECONDS = 5.0
MAX_SAMPLES_PER_MESSAGE = 12
# Requests of a process that was paused for this time look slow through its own fault.
PAUSE_SECONDS = 1.0
MIN_SECONDS = 0.001


class ServerAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Announce an answer that the sender got.

    :param number: number of the answer among those of the sender's process.
    :param server: name and start time of the server.
    :param seconds: time from the request to the answer, or until now if it is overdue.
    :param wrong: whether the server failed the request.
    :param age: seconds since the answer.
    """

    number: int
    server: str
    seconds: float
    wrong: bool
    age: float


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """Announce the latest answers that the sender got, the oldest first."""

    answers: list[ServerAnswer] = []


class AvoidanceReason(Enum):
    """Name why a server is avoided."""

    SLOW = "slow"
    WRONG = "wrong answers"


@dataclass(frozen=True, slots=True)
class PaceChange:
    """Report that a server is avoided or used again.

    :param reason: None if it is used again.
    :param factor: time of its answers as a multiple of the fastest server's.
    """

    service: str
    server: str
    reason: AvoidanceReason | None
    factor: float


@dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    log_seconds: float
    wrong: bool
    source: str


@dataclass(slots=True)
class _Server:
    samples: deque[_Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    reason: AvoidanceReason | None = None
    avoided_at: float = 0.0
    factor: float = 1.0
    # Whether it has given half of the good answers that end its avoidance.
    is_recovering: bool = False

    def newest(self, count: int) -> list[_Sample]:
        """Return the latest answers, newest first."""
        return list(islice(reversed(self.samples), count))

    def mean(self) -> float:
        """Return the mean logarithm of the time of the answers that were not wrong."""
        return fmean(s.log_seconds for s in self.samples if not s.wrong)


@dataclass(eq=False, slots=True)
class OpenRequest:
    """Represent a request that a server has not answered yet."""

    server: str
    sent_at: float
    load_factor: float
    is_counted: bool = False


class ServerPace:
    """Collect answers of servers and decide which of them are avoided.

    :param entry: name of this entry.
    """

    __slots__ = (
        "_entry",
        "_evaluated_at",
        "_last_number",
        "_number_by_peer",
        "_open",
        "_own_answers",
        "_server_by_name",
    )

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._server_by_name: dict[str, _Server] = {}
        self._open: dict[OpenRequest, None] = {}
        self._own_answers: deque[tuple[float, ServerAnswer]] = deque(
            maxlen=MAX_SAMPLES_PER_MESSAGE
        )
        self._last_number = 0
        self._evaluated_at = float("-inf")
        self._number_by_peer: dict[str, tuple[int, int]] = {}

    def begin(self, server: str, load: float, slots: int, now: float) -> OpenRequest:
        """Record that a request is sent to a server.

        :param load: requests at the server. Those beyond its slots wait, which says
            nothing about its pace.
        """
        request = OpenRequest(server, now, max(1.0, (load + 1.0) / max(1, slots)))
        self._open[request] = None
        return request

    def end(self, request: OpenRequest, wrong: bool, now: float) -> None:
        """Record the answer to a request."""
        if request not in self._open:
            return
        del self._open[request]
        if now - self._evaluated_at > PAUSE_SECONDS:
            return
        if wrong or not request.is_counted:
            self._add_own(request, wrong, now)

    def discard(self, request: OpenRequest) -> None:
        """Discard a request that was not answered, through no fault of the server."""
        self._open.pop(request, None)

    def _add_own(self, request: OpenRequest, wrong: bool, now: float) -> None:
        seconds = max(MIN_SECONDS, (now - request.sent_at) / request.load_factor)
        self._last_number += 1
        answer = ServerAnswer(
            self._last_number, request.server, round(seconds, 4), wrong, 0.0
        )
        self._own_answers.append((now, answer))
        self._add(answer, self._entry, now)

    def _add(self, answer: ServerAnswer, source: str, at: float) -> None:
        server = self._server_by_name.setdefault(answer.server, _Server())
        if len(server.samples) == MAX_SAMPLES and at < server.samples[0].at:
            return
        sample = _Sample(
            at, log(max(MIN_SECONDS, answer.seconds)), answer.wrong, source
        )
        # Answers of other entries arrive some tenths of a second late.
        later = []
        while server.samples and server.samples[-1].at > at:
            later.append(server.samples.pop())
        server.samples.append(sample)
        server.samples.extend(reversed(later))

    def next_message(self, now: float) -> PaceReport:
        """Return the answers for the next datagram."""
        return PaceReport(
            [
                msgspec.structs.replace(answer, age=round(now - at, 3))
                for at, answer in self._own_answers
                if now - at <= REPEAT_SECONDS
            ]
        )

    def record_peer(
        self,
        peer: str,
        incarnation: int,
        report: PaceReport,
        now: float,
    ) -> None:
        """Record the answers that another entry got, each of them once."""
        answers = report.answers[-MAX_SAMPLES_PER_MESSAGE:]
        if not answers:
            return
        known_incarnation, known_number = self._number_by_peer.get(peer, (0, 0))
        if known_incarnation != incarnation:
            known_number = 0
        newest = known_number
        if answers[-1].number <= known_number:
            return
        for answer in answers:
            is_valid = 0.0 <= answer.age <= REPEAT_SECONDS and answer.seconds >= 0.0
            if answer.number > known_number and is_valid:
                newest = max(newest, answer.number)
                self._add(answer, peer, now - answer.age)
        self._number_by_peer[peer] = (incarnation, newest)

    def begin_evaluation(self, now: float) -> None:
        """Prepare for evaluations; call it several times a second.

        The open requests are discarded if this process was paused, and those that were
        never ended.
        """
        if now - self._evaluated_at > PAUSE_SECONDS:
            self._open.clear()
        for request in [
            each for each in self._open if now - each.sent_at > EVIDENCE_TTL_SECONDS
        ]:
            del self._open[request]
        self._evaluated_at = now

    def evaluate(
        self, service: str, servers: Sequence[str], now: float
    ) -> list[PaceChange]:
        """Decide which servers of a service are avoided; return the changes."""
        if len(servers) > MAX_SERVERS:
            return []
        known = {
            name: server
            for name in servers
            if (server := self._server_by_name.get(name)) is not None
        }
        for server in known.values():
            while server.samples and now - server.samples[0].at > EVIDENCE_TTL_SECONDS:
                server.samples.popleft()
        reference, fastest = self._find_reference(known)
        if fastest:
            self._count_overdue(known, reference, now)
            reference, fastest = self._find_reference(known)
        changes = []
        for name, server in known.items():
            factor = server.factor = self._factor(server, reference)
            if server.reason is not None:
                good_count = self._count_good(server, reference)
                required = _required_good(server.reason)
                server.is_recovering = 2 * good_count >= required
                if good_count >= required or not server.samples:
                    server.reason = None
                    # Answers from before say nothing about it any more.
                    good = [s for s in server.samples if s.at > server.avoided_at]
                    server.samples.clear()
                    server.samples.extend(good[-REQUIRED_GOOD_ANSWERS:])
                    changes.append(PaceChange(service, name, None, factor))
                continue
            reason = self._find_reason(name, server, known, reference, fastest)
            if reason is not None:
                server.reason = reason
                server.avoided_at = now
                server.is_recovering = False
                changes.append(PaceChange(service, name, reason, factor))
        if servers and all(
            name in known and known[name].reason is not None for name in servers
        ):
            changes += self._release_best(service, known)
        return changes

    def _find_reference(self, known: dict[str, _Server]) -> tuple[float, str]:
        """Return the mean of the fastest server that is not avoided, and its name."""
        means = {
            name: server.mean()
            for name, server in known.items()
            if server.reason is None
            and sum(not s.wrong for s in server.samples) >= MIN_REFERENCE_SAMPLES
        }
        if not means:
            return 0.0, ""
        fastest = min(means, key=means.__getitem__)
        return means[fastest], fastest

    def _factor(self, server: _Server, reference: float) -> float:
        times = [s.log_seconds for s in server.newest(4) if not s.wrong]
        return float(exp(fmean(times) - reference)) if times else 1.0

    def _count_overdue(
        self, known: dict[str, _Server], reference: float, now: float
    ) -> None:
        """Count requests that are overdue before they are answered."""
        limit = OVERDUE_FACTOR * exp(reference)
        for request in self._open:
            seconds = (now - request.sent_at) / request.load_factor
            if request.server in known and not request.is_counted and seconds > limit:
                request.is_counted = True
                self._add_own(request, False, now)

    def _find_reason(
        self,
        name: str,
        server: _Server,
        known: dict[str, _Server],
        reference: float,
        fastest: str,
    ) -> AvoidanceReason | None:
        for wrong_limit, window in WRONG_LIMITS:
            wrong = sum(s.wrong for s in server.newest(window))
            if wrong >= wrong_limit and self._fails_more(name, known):
                return AvoidanceReason.WRONG
        if not fastest or fastest == name:
            return None
        reference_count = len(known[fastest].samples)
        spread = self._spread(known)
        timed = [s for s in server.newest(MAX_SAMPLES) if not s.wrong]
        for window in WINDOWS:
            newest = timed[:window]
            sources = {s.source for s in newest}
            if len(newest) < window:
                break
            # One entry may be slow itself, or its link; that concerns only itself.
            if len(sources) < 2 and sources != {self._entry}:
                continue
            difference = fmean(s.log_seconds for s in newest) - reference
            error = spread * sqrt(1.0 / window + 1.0 / reference_count)
            if difference > max(log(SLOW_FACTOR), REQUIRED_DEVIATIONS * error):
                return AvoidanceReason.SLOW
        return None

    def _fails_more(self, name: str, known: dict[str, _Server]) -> bool:
        """Return whether a server fails twice as often as the best one."""
        shares = {
            each: sum(s.wrong for s in server.samples) / len(server.samples)
            for each, server in known.items()
            if server.samples and (server.reason is None or each == name)
        }
        best = min((v for each, v in shares.items() if each != name), default=1.0)
        return shares[name] > 2.0 * best

    def _spread(self, known: dict[str, _Server]) -> float:
        """Return the usual spread of the times of one server."""
        spreads = [
            pstdev([s.log_seconds for s in server.samples if not s.wrong])
            for server in known.values()
            if sum(not s.wrong for s in server.samples) >= MIN_REFERENCE_SAMPLES
        ]
        return max(MIN_SPREAD, median_low(spreads)) if spreads else MIN_SPREAD

    def _count_good(self, server: _Server, reference: float) -> int:
        """Return how many of the latest answers in a row were good."""
        count = 0
        for sample in reversed(server.samples):
            is_slow = sample.log_seconds - reference >= log(SLOW_FACTOR)
            if sample.at <= server.avoided_at or sample.wrong or is_slow:
                break
            count += 1
        return count

    def _release_best(
        self, service: str, known: dict[str, _Server]
    ) -> list[PaceChange]:
        """Use the best server again if all servers of a service are avoided."""
        best = min(
            known,
            key=lambda name: (
                known[name].reason is AvoidanceReason.WRONG,
                self._factor(known[name], 0.0),
            ),
        )
        known[best].reason = None
        known[best].samples.clear()
        return [PaceChange(service, best, None, 1.0)]

    @property
    def has_avoided(self) -> bool:
        """Return whether any server is avoided."""
        return any(s.reason is not None for s in self._server_by_name.values())

    def draws_probe(self, random: Random) -> bool:
        """Return whether a request is to be sent to an avoided server, if any."""
        avoided = [s for s in self._server_by_name.values() if s.reason is not None]
        if not avoided:
            return False
        is_recovering = any(s.is_recovering for s in avoided)
        share = RECOVERING_PROBE_SHARE if is_recovering else PROBE_SHARE
        return random.random() < share

    def is_avoided(self, server: str) -> bool:
        """Return whether a server is avoided."""
        state = self._server_by_name.get(server)
        return state is not None and state.reason is not None

    def avoided_factor(self, server: str) -> float | None:
        """Return the factor by which an avoided server is slower, None for others.

        A server with wrong answers counts as if it was as slow as the slowest ones.
        """
        state = self._server_by_name.get(server)
        if state is None or state.reason is None:
            return None
        if state.reason is AvoidanceReason.WRONG:
            return max(state.factor, WRONG_ANSWER_FACTOR)
        return max(1.0, state.factor)

    def avoided_count(self, servers: Iterable[str]) -> int:
        """Return how many of some servers are avoided."""
        return sum(self.is_avoided(server) for server in servers)

    def retain(self, servers: Iterable[str], peers: Iterable[str]) -> None:
        """Remove the state of all other servers and peers."""
        retained, retained_peers = set(servers), set(peers)
        for name in [n for n in self._server_by_name if n not in retained]:
            del self._server_by_name[name]
        for peer in [p for p in self._number_by_peer if p not in retained_peers]:
            del self._number_by_peer[peer]


def _required_good(reason: AvoidanceReason) -> int:
    """Return how many good answers in a row end an avoidance."""
    if reason is AvoidanceReason.WRONG:
        return REQUIRED_GOOD_ANSWERS_AFTER_WRONG
    return REQUIRED_GOOD_ANSWERS
