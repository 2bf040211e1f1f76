"""coordination: the current load of groups, estimated from delayed reports.

A report describes a group at a past moment. The estimate adds the requests that this
entry has sent since then and those that other entries have probably sent, and subtracts
the work that the group has probably done. Reports may be lost, duplicated, reordered,
delayed or sent by an agent that has been replaced.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lacewingcleat.messages import GroupReport, ZoneDigest

STALE_SECONDS = 10.0
"""Age above which a report is ignored; reports arrive twice a second."""

LEADER_SILENCE_SECONDS = 3.0
"""Three heartbeats; after such a silence, an earlier incarnation may report again."""

REMEMBERED_INCARNATIONS = 4
MAX_RECENT_SENDS = 1024
RATE_SMOOTHING_SECONDS = 5.0
MAX_OTHERS_RATE = 1.0
"""Cap of the estimated rate; agents shed load above it, so no queue grows faster."""


@dataclass(frozen=True, slots=True)
class Target:
    """Identify a destination for requests.

    :param group: model group or plain service.
    :param server: backend server to which requests are sent.
    """

    group: str
    server: str


@dataclass(frozen=True, slots=True)
class RequestCost:
    """Represent the estimated cost of a request in seconds of group time.

    :param decode_seconds: expected output tokens times the share of one slot in the
        duration of a step.
    """

    prefill_seconds: float
    decode_seconds: float

    @property
    def total_seconds(self) -> float:
        """Return the cost of prefill and decode together."""
        return self.prefill_seconds + self.decode_seconds


@dataclass(slots=True, eq=False)
class Sent:
    """Track a request that this entry has sent until it ends."""

    target: Target
    at: float
    work_seconds: float
    finished: bool = False


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Represent the estimated current load of a target.

    :param known: whether the estimate is based on a report that is not
        stale.
    :param age: seconds since the values in the report were measured.
    :param queued_seconds: queued work, including requests sent since the report.
    :param running: running requests, including those sent since the report.
    :param reported_running: requests that were running when the report was made, when
        its step time was measured.
    """

    known: bool
    age: float
    queued_seconds: float
    running: int
    reported_running: int
    capacity: int
    step_seconds: float
    prefill_tokens_per_second: float
    kv_free_share: float
    adapters: tuple[str, ...]
    versions: tuple[str, ...]


@dataclass(slots=True)
class _TargetLoad:
    """Store the last report of a target and the changes since then.

    `backlog` is the queued work in seconds at the time `backlog_at`; a
    group works off one second of it per second.
    """

    report: GroupReport | None = None
    incarnation: str = ""
    taken_at: float = float("-inf")
    backlog: float = 0.0
    backlog_at: float = float("-inf")
    running: int = 0
    others_rate: float = 0.0
    own_work: float = 0.0
    own_work_at_report: float = 0.0
    own_rate: float = 0.0
    own_rate_at: float = 0.0
    recent: list[Sent] = field(default_factory=list)
    ended: list[float] = field(default_factory=list)
    sequence_by_incarnation: dict[str, int] = field(default_factory=dict)


class LoadView:
    """Estimate the load of each target from reports and from requests sent since.

    :param entries: number of entries in this entry's zone, including itself.
        A number that is too high does little harm; with one that is too low, entries
        herd onto the same targets.

    `all_entries` is the number of entries in all zones, since entries of every
    zone may send to targets of other zones.
    """

    __slots__ = ("_load_by_target", "all_entries", "entries")

    def __init__(self, entries: int = 1) -> None:
        self.entries = entries
        self.all_entries = entries
        self._load_by_target: dict[Target, _TargetLoad] = {}

    def apply_report(self, report: GroupReport, incarnation: str, now: float) -> bool:
        """Apply a report and return whether it was newer than the last one.

        :param incarnation: incarnation of the sender, used if the report names none.
        """
        maker = report.incarnation or incarnation
        target = Target(report.group, report.server)
        load = self._load_by_target.setdefault(target, _TargetLoad())
        taken_at = now - max(0.0, report.age)
        if not _is_news(load, maker, report.sequence, taken_at, now):
            return False
        _learn_others_rate(load, report, maker, taken_at)
        if maker == load.incarnation:
            taken_at = max(taken_at, load.taken_at)
        _remember_sequence(load, maker, report.sequence)
        load.report = report
        load.incarnation = maker
        load.taken_at = taken_at
        load.own_work_at_report = load.own_work
        _replay_sends(load, report, taken_at)
        return True

    def apply_digest(self, digest: ZoneDigest, incarnation: str, now: float) -> int:
        """Apply the reports of another zone and return how many of them were newer.

        :param incarnation: incarnation of the entry that forwarded the digest, used for
            reports that name none.
        """
        return sum(
            self.apply_report(report, incarnation, now) for report in digest.reports
        )

    def make_digest(
        self, zone: str, targets: Iterable[Target], now: float
    ) -> ZoneDigest:
        """Build a digest of the last reports of a zone's targets, with their ages."""
        reports = []
        for target in targets:
            load = self._load_by_target.get(target)
            if load is None or load.report is None:
                continue
            age = now - load.taken_at
            if age > STALE_SECONDS:
                continue
            reports.append(
                msgspec.structs.replace(
                    load.report, age=age, incarnation=load.incarnation
                ),
            )
        return ZoneDigest(zone, tuple(reports))

    def record_send(self, target: Target, cost: RequestCost, now: float) -> Sent:
        """Add a request that this entry has just sent to the load of its target."""
        load = self._load_by_target.setdefault(target, _TargetLoad())
        work = _queued_work(load, cost)
        sent = Sent(target, now, work)
        load.recent.append(sent)
        del load.recent[:-MAX_RECENT_SENDS]
        load.running += 1
        load.backlog = _drained(load, now) + work
        load.backlog_at = now
        load.own_work += cost.total_seconds
        elapsed = max(0.0, now - load.own_rate_at)
        decay = max(0.0, 1.0 - elapsed / RATE_SMOOTHING_SECONDS)
        load.own_rate = (
            load.own_rate * decay + cost.total_seconds / RATE_SMOOTHING_SECONDS
        )
        load.own_rate_at = now
        return sent

    def record_finish(self, sent: Sent, now: float) -> None:
        """Remove an ended request from the load; repeated calls are ignored."""
        if sent.finished:
            return
        sent.finished = True
        load = self._load_by_target.get(sent.target)
        if load is None:
            return
        load.running = max(0, load.running - 1)
        if sent.at <= load.taken_at:
            load.ended.append(now)
            del load.ended[:-MAX_RECENT_SENDS]

    def estimate(self, target: Target, now: float) -> LoadEstimate:
        """Return the estimated current load of a target."""
        load = self._load_by_target.get(target)
        if load is None or load.report is None:
            queued = 0.0 if load is None else _drained(load, now)
            running = 0 if load is None else load.running
            return LoadEstimate(
                False, float("inf"), queued, running, 0, 0, 0.0, 0.0, 1.0, (), ()
            )
        report = load.report
        age = max(0.0, now - load.taken_at)
        return LoadEstimate(
            age <= STALE_SECONDS,
            age,
            _drained(load, now, self._others_rate(load, now)),
            load.running,
            report.running,
            report.capacity,
            report.step_seconds,
            report.prefill_tokens_per_second,
            report.kv_free_share,
            report.adapters,
            report.versions,
        )

    def drop_older_views(self) -> None:
        """Discard all reports after the process was paused or disconnected.

        Sequence numbers are retained, so that reports from before the pause are still
        rejected, and so are this entry's requests in flight.
        """
        for load in self._load_by_target.values():
            load.report = None
            load.taken_at = float("-inf")
            load.backlog = 0.0
            load.others_rate = 0.0

    def retain(self, targets: Iterable[Target]) -> None:
        """Remove all other targets, which the sheet no longer contains."""
        kept = set(targets)
        for target in [name for name in self._load_by_target if name not in kept]:
            del self._load_by_target[target]

    def __len__(self) -> int:
        """Return the number of targets that have load data."""
        return len(self._load_by_target)

    def _others_rate(self, load: _TargetLoad, now: float) -> float:
        report = load.report
        if report is not None and report.admitted_seconds > 0.0:
            return load.others_rate
        elapsed = max(0.0, now - load.own_rate_at)
        decay = max(0.0, 1.0 - elapsed / RATE_SMOOTHING_SECONDS)
        return min(MAX_OTHERS_RATE, load.own_rate * decay * (self.entries - 1))


def _is_news(
    load: _TargetLoad,
    maker: str,
    sequence: int,
    taken_at: float,
    now: float,
) -> bool:
    """Return whether a report is newer than the last one applied.

    Incarnations have no order. One that was replaced may report again only when its
    successor is silent, which happens when a leader returns after a short absence.
    """
    last_sequence = load.sequence_by_incarnation.get(maker)
    if last_sequence is not None and sequence <= last_sequence:
        return False
    if maker == load.incarnation or load.report is None:
        return True
    if last_sequence is None:
        return taken_at > load.taken_at
    return now - load.taken_at > LEADER_SILENCE_SECONDS


def _remember_sequence(load: _TargetLoad, maker: str, sequence: int) -> None:
    load.sequence_by_incarnation.pop(maker, None)
    load.sequence_by_incarnation[maker] = sequence
    while len(load.sequence_by_incarnation) > REMEMBERED_INCARNATIONS:
        del load.sequence_by_incarnation[next(iter(load.sequence_by_incarnation))]


def _learn_others_rate(
    load: _TargetLoad,
    report: GroupReport,
    maker: str,
    taken_at: float,
) -> None:
    previous = load.report
    if previous is None or maker != load.incarnation:
        load.others_rate = 0.0
        return
    elapsed = taken_at - load.taken_at
    if elapsed <= 0.0 or report.admitted_seconds <= 0.0:
        return
    admitted = report.admitted_seconds - previous.admitted_seconds
    own = load.own_work - load.own_work_at_report
    rate = min(MAX_OTHERS_RATE, max(0.0, (admitted - own) / elapsed))
    share = min(1.0, elapsed / RATE_SMOOTHING_SECONDS)
    load.others_rate += share * (rate - load.others_rate)


def _queued_work(load: _TargetLoad, cost: RequestCost) -> float:
    """Return the part of a request's work that delays requests sent after it.

    While a slot is free, only the prefill delays them, since decodes share the steps.
    """
    if load.report is not None and load.running < load.report.capacity:
        return cost.prefill_seconds
    return cost.total_seconds


def _replay_sends(load: _TargetLoad, report: GroupReport, taken_at: float) -> None:
    """Reset the load to a report and add the requests sent after it was measured."""
    load.recent = [sent for sent in load.recent if sent.at > taken_at]
    load.ended = [ended_at for ended_at in load.ended if ended_at > taken_at]
    load.backlog = max(0.0, report.queued_seconds)
    load.backlog_at = taken_at
    load.running = max(0, report.running - len(load.ended))
    for sent in load.recent:
        load.backlog = _drained(load, sent.at) + sent.work_seconds
        load.backlog_at = sent.at
        if not sent.finished:
            load.running += 1


def _drained(load: _TargetLoad, now: float, others_rate: float | None = None) -> float:
    """Return the queued work that is left now.

    :param others_rate: work that other entries send, in seconds per second;
        by default the rate estimated from reports.
    """
    elapsed = now - load.backlog_at
    if elapsed <= 0.0 or load.backlog == 0.0:
        return load.backlog
    rate = load.others_rate if others_rate is None else others_rate
    return max(0.0, load.backlog - (1.0 - rate) * elapsed)
