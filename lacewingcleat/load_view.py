"""coordination: the present load of groups, estimated from lagged reports.

A report describes a group at a past moment. The view adds what this entry has sent
since that moment and what other entries have probably sent, and lets the group work off
its queue meanwhile. Reports may be lost, doubled, reordered, late or from an agent that
has been replaced.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lacewingcleat.messages import GroupReport, ZoneDigest

STALE_SECONDS = 10.0
"""Age above which a report says nothing about the load; reports come twice a second."""

LEADER_SILENCE_SECONDS = 3.0
"""Silence after which an earlier incarnation may report again: three heartbeats."""

MAX_TRACKED_INCARNATIONS = 4
MAX_RECENT_REQUESTS = 1024
RATE_SMOOTHING_SECONDS = 5.0
MAX_OTHER_ENTRIES_RATE = 1.0
"""Cap of the estimated rate: agents shed above it, so the queue cannot grow faster."""


@dataclass(frozen=True, slots=True)
class Target:
    """Name a place that can take a request.

    :param group: model group or plain service.
    :param server: backend server that takes the request.
    """

    group: str
    server: str


@dataclass(frozen=True, slots=True)
class RequestCost:
    """Hold the estimated cost of a request in seconds of group time.

    :param decode_seconds: expected output tokens times a slot's share of a step.
    """

    prefill_seconds: float
    decode_seconds: float

    @property
    def total_seconds(self) -> float:
        """Return the whole cost."""
        return self.prefill_seconds + self.decode_seconds


@dataclass(slots=True, eq=False)
class SentRequest:
    """Follow one own request from its send to its end."""

    target: Target
    sent_at: float
    work_seconds: float
    finished: bool = False


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Estimate the load of a target now.

    :param has_fresh_report: whether a report that is not stale stands behind the figures.
    :param report_age: seconds since the figures of the report were taken.
    :param queued_seconds: work waiting, including sends since the report.
    :param running: requests running, including sends since the report.
    :param reported_running: requests running when the report was made, to which its
        step time belongs.
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
    """Hold the last report of a target and what happened since.

    `backlog_seconds` is the queue at `backlog_at`; it drains at one second of work per second.
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
    """Combine reports and sends into the present load of each target.

    :param zone_entry_count: entries of the own zone, this one included. Too high a number does
        little harm; with too low a number entries herd on the same targets.

    `fleet_entry_count` counts those of all zones, which share the targets of other zones.
    """

    __slots__ = ("_load_by_target", "fleet_entry_count", "zone_entry_count")

    def __init__(self, zone_entry_count: int = 1) -> None:
        self.zone_entry_count = zone_entry_count
        self.fleet_entry_count = zone_entry_count
        self._load_by_target: dict[Target, _TargetLoad] = {}

    def apply_report(self, report: GroupReport, incarnation: str, now: float) -> bool:
        """Take in a report and return whether it was news.

        :param incarnation: that of the sender; the report's own comes first.
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
        """Take in the reports of another zone and return how many were news.

        :param incarnation: that of the entry that passed them on; used only for reports
            that do not name their maker.
        """
        return sum(
            self.apply_report(report, incarnation, now) for report in digest.reports
        )

    def make_digest(
        self, zone: str, targets: Iterable[Target], now: float
    ) -> ZoneDigest:
        """Return the last reports of a zone's targets, with their ages, to pass on."""
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
        """Count a request that this entry has just sent."""
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
        """Count the end of a request; a second call is ignored."""
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
        """Return the load of a target now."""
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
        """Forget all reports, because the process was paused or cut off.

        Sequence numbers stay, so that a report from before the pause is not taken for a
        new one, and so do own requests in flight.
        """
        for load in self._load_by_target.values():
            load.report = None
            load.measured_at = float("-inf")
            load.backlog_seconds = 0.0
            load.other_entries_rate = 0.0

    def retain(self, targets: Iterable[Target]) -> None:
        """Forget all other targets, because the sheet no longer has them."""
        retained = set(targets)
        for target in [name for name in self._load_by_target if name not in retained]:
            del self._load_by_target[target]

    def __len__(self) -> int:
        """Return the number of targets with any information."""
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
    """Return whether a report is newer than what is known.

    Incarnations have no order. One that was replaced may report again only when its
    successor is silent, as when a leader returns after a short absence.
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
    """Return the work that a later request has to wait for.

    While a slot is free, only the prefill comes first; decodes share the steps.
    """
    if load.report is not None and load.running < load.report.capacity:
        return cost.prefill_seconds
    return cost.total_seconds


def _replay_sent_requests(
    load: _TargetLoad, report: GroupReport, measured_at: float
) -> None:
    """Start from the report and add the sends that it cannot contain."""
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
    """Return the queue left after the group has worked and others have sent."""
    elapsed = now - load.backlog_at
    if elapsed <= 0.0 or load.backlog_seconds == 0.0:
        return load.backlog_seconds
    rate = load.other_entries_rate if other_entries_rate is None else other_entries_rate
    return max(0.0, load.backlog_seconds - (1.0 - rate) * elapsed)
