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

MAX_TRACKED_INCARNATIONS = 4
MAX_RECENT_REQUESTS = 1024
RATE_SMOOTHING_SECONDS = 5.0
MAX_OTHER_ENTRIES_RATE = 1.0
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
class SentRequest:
    """Track a request that this entry has sent until it ends."""

    target: Target
    sent_at: float
    work_seconds: float
    finished: bool = False


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Represent the estimated current load of a target.

    :param has_fresh_report: whether the estimate is based on a report that is not
        stale.
    :param report_age: seconds since the values in the report were measured.
    :param queued_seconds: queued work, including requests sent since the report.
    :param running: running requests, including those sent since the report.
    :param reported_running: requests that were running when the report was made, when
        its step time was measured.
    """

    has_fresh_report: bool
    report_age: float
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

    `backlog_seconds` is the queued work in seconds at the time `backlog_at`; a
    group works off one second of it per second.
    """

    report: GroupReport | None = None
    incarnation: str = ""
    measured_at: float = float("-inf")
    backlog_seconds: float = 0.0
    backlog_at: float = float("-inf")
    running: int = 0
    other_entries_rate: float = 0.0
    own_work: float = 0.0
    own_work_at_report: float = 0.0
    own_rate: float = 0.0
    own_rate_at: float = 0.0
    recent_requests: list[SentRequest] = field(default_factory=list)
    end_times: list[float] = field(default_factory=list)
    sequence_by_incarnation: dict[str, int] = field(default_factory=dict)


class LoadView:
    """Estimate the load of each target from reports and from requests sent since.

    :param zone_entry_count: number of entries in this entry's zone, including itself.
        A number that is too high does little harm; with one that is too low, entries
        herd onto the same targets.

    `fleet_entry_count` is the number of entries in all zones, since entries of every
    zone may send to targets of other zones.
    """

    __slots__ = ("_load_by_target", "fleet_entry_count", "zone_entry_count")

    def __init__(self, zone_entry_count: int = 1) -> None:
        self.zone_entry_count = zone_entry_count
        self.fleet_entry_count = zone_entry_count
        self._load_by_target: dict[Target, _TargetLoad] = {}

    def apply_report(self, report: GroupReport, incarnation: str, now: float) -> bool:
        """Apply a report and return whether it was newer than the last one.

        :param incarnation: incarnation of the sender, used if the report names none.
        """
        reporter = report.incarnation or incarnation
        target = Target(report.group, report.server)
        load = self._load_by_target.setdefault(target, _TargetLoad())
        measured_at = now - max(0.0, report.age)
        if not _is_newer(load, reporter, report.sequence, measured_at, now):
            return False
        _update_other_entries_rate(load, report, reporter, measured_at)
        if reporter == load.incarnation:
            measured_at = max(measured_at, load.measured_at)
        _record_sequence(load, reporter, report.sequence)
        load.report = report
        load.incarnation = reporter
        load.measured_at = measured_at
        load.own_work_at_report = load.own_work
        _replay_sent_requests(load, report, measured_at)
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
            age = now - load.measured_at
            if age > STALE_SECONDS:
                continue
            reports.append(
                msgspec.structs.replace(
                    load.report, age=age, incarnation=load.incarnation
                ),
            )
        return ZoneDigest(zone, tuple(reports))

    def record_send(self, target: Target, cost: RequestCost, now: float) -> SentRequest:
        """Add a request that this entry has just sent to the load of its target."""
        load = self._load_by_target.setdefault(target, _TargetLoad())
        work = _queued_work(load, cost)
        request = SentRequest(target, now, work)
        load.recent_requests.append(request)
        del load.recent_requests[:-MAX_RECENT_REQUESTS]
        load.running += 1
        load.backlog_seconds = _remaining_backlog(load, now) + work
        load.backlog_at = now
        load.own_work += cost.total_seconds
        elapsed = max(0.0, now - load.own_rate_at)
        decay = max(0.0, 1.0 - elapsed / RATE_SMOOTHING_SECONDS)
        load.own_rate = (
            load.own_rate * decay + cost.total_seconds / RATE_SMOOTHING_SECONDS
        )
        load.own_rate_at = now
        return request

    def record_finish(self, request: SentRequest, now: float) -> None:
        """Remove an ended request from the load; repeated calls are ignored."""
        if request.finished:
            return
        request.finished = True
        load = self._load_by_target.get(request.target)
        if load is None:
            return
        load.running = max(0, load.running - 1)
        if request.sent_at <= load.measured_at:
            load.end_times.append(now)
            del load.end_times[:-MAX_RECENT_REQUESTS]

    def estimate(self, target: Target, now: float) -> LoadEstimate:
        """Return the estimated current load of a target."""
        load = self._load_by_target.get(target)
        if load is None or load.report is None:
            queued_seconds = 0.0 if load is None else _remaining_backlog(load, now)
            running = 0 if load is None else load.running
            return LoadEstimate(
                False,
                float("inf"),
                queued_seconds,
                running,
                0,
                0,
                0.0,
                0.0,
                1.0,
                (),
                (),
            )
        report = load.report
        report_age = max(0.0, now - load.measured_at)
        return LoadEstimate(
            report_age <= STALE_SECONDS,
            report_age,
            _remaining_backlog(load, now, self._estimate_other_entries_rate(load, now)),
            load.running,
            report.running,
            report.capacity,
            report.step_seconds,
            report.prefill_tokens_per_second,
            report.kv_free_share,
            report.adapters,
            report.versions,
        )

    def discard_reports(self) -> None:
        """Discard all reports after the process was paused or disconnected.

        Sequence numbers are retained, so that reports from before the pause are still
        rejected, and so are this entry's requests in flight.
        """
        for load in self._load_by_target.values():
            load.report = None
            load.measured_at = float("-inf")
            load.backlog_seconds = 0.0
            load.other_entries_rate = 0.0

    def retain(self, targets: Iterable[Target]) -> None:
        """Remove all other targets, which the sheet no longer contains."""
        retained = set(targets)
        for target in [name for name in self._load_by_target if name not in retained]:
            del self._load_by_target[target]

    def __len__(self) -> int:
        """Return the number of targets that have load data."""
        return len(self._load_by_target)

    def _estimate_other_entries_rate(self, load: _TargetLoad, now: float) -> float:
        report = load.report
        if report is not None and report.admitted_seconds > 0.0:
            return load.other_entries_rate
        elapsed = max(0.0, now - load.own_rate_at)
        decay = max(0.0, 1.0 - elapsed / RATE_SMOOTHING_SECONDS)
        return min(
            MAX_OTHER_ENTRIES_RATE, load.own_rate * decay * (self.zone_entry_count - 1)
        )


def _is_newer(
    load: _TargetLoad,
    reporter: str,
    sequence: int,
    measured_at: float,
    now: float,
) -> bool:
    """Return whether a report is newer than the last one applied.

    Incarnations have no order. One that was replaced may report again only when its
    successor is silent, which happens when a leader returns after a short absence.
    """
    last_sequence = load.sequence_by_incarnation.get(reporter)
    if last_sequence is not None and sequence <= last_sequence:
        return False
    if reporter == load.incarnation or load.report is None:
        return True
    if last_sequence is None:
        return measured_at > load.measured_at
    return now - load.measured_at > LEADER_SILENCE_SECONDS


def _record_sequence(load: _TargetLoad, reporter: str, sequence: int) -> None:
    load.sequence_by_incarnation.pop(reporter, None)
    load.sequence_by_incarnation[reporter] = sequence
    while len(load.sequence_by_incarnation) > MAX_TRACKED_INCARNATIONS:
        del load.sequence_by_incarnation[next(iter(load.sequence_by_incarnation))]


def _update_other_entries_rate(
    load: _TargetLoad,
    report: GroupReport,
    reporter: str,
    measured_at: float,
) -> None:
    previous = load.report
    if previous is None or reporter != load.incarnation:
        load.other_entries_rate = 0.0
        return
    elapsed = measured_at - load.measured_at
    if elapsed <= 0.0 or report.admitted_seconds <= 0.0:
        return
    admitted = report.admitted_seconds - previous.admitted_seconds
    own = load.own_work - load.own_work_at_report
    rate = min(MAX_OTHER_ENTRIES_RATE, max(0.0, (admitted - own) / elapsed))
    smoothing = min(1.0, elapsed / RATE_SMOOTHING_SECONDS)
    load.other_entries_rate += smoothing * (rate - load.other_entries_rate)


def _queued_work(load: _TargetLoad, cost: RequestCost) -> float:
    """Return the part of a request's work that delays requests sent after it.

    While a slot is free, only the prefill delays them, since decodes share the steps.
    """
    if load.report is not None and load.running < load.report.capacity:
        return cost.prefill_seconds
    return cost.total_seconds


def _replay_sent_requests(
    load: _TargetLoad, report: GroupReport, measured_at: float
) -> None:
    """Reset the load to a report and add the requests sent after it was measured."""
    load.recent_requests = [
        sent for sent in load.recent_requests if sent.sent_at > measured_at
    ]
    load.end_times = [ended_at for ended_at in load.end_times if ended_at > measured_at]
    load.backlog_seconds = max(0.0, report.queued_seconds)
    load.backlog_at = measured_at
    load.running = max(0, report.running - len(load.end_times))
    for request in load.recent_requests:
        load.backlog_seconds = (
            _remaining_backlog(load, request.sent_at) + request.work_seconds
        )
        load.backlog_at = request.sent_at
        if not request.finished:
            load.running += 1


def _remaining_backlog(
    load: _TargetLoad, now: float, other_entries_rate: float | None = None
) -> float:
    """Return the queued work that is left now.

    :param other_entries_rate: work that other entries send, in seconds per second;
        by default the rate estimated from reports.
    """
    elapsed = now - load.backlog_at
    if elapsed <= 0.0 or load.backlog_seconds == 0.0:
        return load.backlog_seconds
    rate = load.other_entries_rate if other_entries_rate is None else other_entries_rate
    return max(0.0, load.backlog_seconds - (1.0 - rate) * elapsed)
