"""coordination: who leads a group, and how its ranks' reports reach the leader.

The lowest live rank leads. Rank reports travel up a tree with a fan-in of 16 over the
live ranks in their order, so the leader of 256 ranks receives 16 reports a second
instead of 255.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewingcleat.actions import Action, Send
from lacewingcleat.messages import GroupReport, RankReport

FAN_IN = 16
# With 16 children and its reports to 11 entries, the leader of 256 ranks stays within
# 29 KB/s at this interval.
REPORT_INTERVAL_SECONDS = 1.25
STALE_REPORT_SECONDS = 3.5
# 16 children with 192 entries of about 9 bytes each stay under 29 KB/s.
MAX_REPORTED_EXPERTS = 192
STEPS_PER_LAYER = 32


def reported_layer(step: int, layers: int) -> int:
    """Return the layer whose loads all ranks report at a step.

    Reports name one layer at a time, chosen by the common step number, because the
    loads of all layers would exceed the limit for control traffic.
    """
    return step // STEPS_PER_LAYER % layers


def tree_parent(rank: int, live_ranks: tuple[int, ...]) -> int | None:
    """Return the rank to which a rank reports, or None for the leader.

    :param live_ranks: sorted; the tree is laid over their positions.
    """
    position = live_ranks.index(rank)
    return None if position == 0 else live_ranks[(position - 1) // FAN_IN]


@dataclass(frozen=True, slots=True)
class GroupQueueState:
    """Hold what the front server's agent knows about the group's queue.

    :param queued_seconds: estimated work queued, in seconds of group time.
    """

    queued_seconds: float
    running: int
    capacity: int
    prefill_tokens_per_second: float
    adapters: tuple[str, ...]
    versions: tuple[str, ...]
    kv_free_share: float


@dataclass(slots=True)
class _ReceivedReport:
    report: RankReport
    received_at: float


class ReportAggregator:
    """Aggregate rank reports at one rank's agent; lead if it is the lowest live rank.

    :param instance_by_rank: agents of all ranks, in rank order.
    """

    def __init__(
        self,
        group: str,
        rank: int,
        instance_by_rank: tuple[str, ...],
    ) -> None:
        self.group = group
        self.rank = rank
        self._instance_by_rank = instance_by_rank
        self._live_ranks = tuple(range(len(instance_by_rank)))
        self._own_report: RankReport | None = None
        self._received_by_instance: dict[str, _ReceivedReport] = {}
        self._rank_report_sequence = 0
        self._group_report_sequence = 0
        self._last_sent_at = float("-inf")

    @property
    def is_leader(self) -> bool:
        """Return whether this rank is the lowest live one."""
        return not self._live_ranks or self._live_ranks[0] >= self.rank

    @property
    def leader_instance(self) -> str:
        """Return the agent that leads the group in this process's view."""
        return self._instance_by_rank[min((self.rank, *self._live_ranks))]

    def set_live_instances(self, instances: Iterable[str]) -> None:
        """Take the instances that this process knows to be alive."""
        alive = set(instances)
        self._live_ranks = tuple(
            rank
            for rank, instance in enumerate(self._instance_by_rank)
            if instance in alive or rank == self.rank
        )

    def record_own_load(
        self,
        step_seconds: float,
        load_by_expert: dict[tuple[int, int], int],
        map_version: int,
    ) -> None:
        """Take the own engine's figures of the last period."""
        self._own_report = RankReport(
            self.group,
            map_version,
            {self.rank: step_seconds},
            load_by_expert,
            0,
        )

    def receive(self, sender: str, report: RankReport, now: float) -> None:
        """Take the report of a child in the tree; older ones are ignored.

        :param sender: instance name of the child.
        """
        if report.group != self.group:
            return
        previous = self._received_by_instance.get(sender)
        if previous is not None and previous.report.sequence >= report.sequence:
            if now - previous.received_at < STALE_REPORT_SECONDS:
                return
        self._received_by_instance[sender] = _ReceivedReport(report, now)

    def tick(self, now: float) -> list[Action]:
        """Send the aggregate to the parent once a second, unless this rank leads."""
        if now - self._last_sent_at < REPORT_INTERVAL_SECONDS or self.is_leader:
            return []
        parent = tree_parent(self.rank, self._live_ranks)
        report = self.aggregate(now)
        if parent is None or report is None:
            return []
        self._last_sent_at = now
        return [Send(self._instance_by_rank[parent], report)]

    def aggregate(self, now: float) -> RankReport | None:
        """Return the figures of this rank and its subtree as one report.

        Figures of the newest map only: a subtree that reports an older one is behind
        a switch, and its loads belong to other replicas.
        """
        reports = [
            received.report
            for received in self._received_by_instance.values()
            if now - received.received_at < STALE_REPORT_SECONDS
        ]
        if self._own_report is not None:
            reports.append(self._own_report)
        if not reports:
            return None
        newest = max(report.map_version for report in reports)
        step_seconds_by_rank: dict[int, float] = {}
        load_by_expert: dict[tuple[int, int], int] = {}
        for report in reports:
            if report.map_version != newest:
                continue
            step_seconds_by_rank |= report.step_seconds_by_rank
            for expert, load in report.load_by_expert.items():
                load_by_expert[expert] = load_by_expert.get(expert, 0) + load
        heaviest = sorted(load_by_expert.items(), key=lambda item: -item[1])
        self._rank_report_sequence += 1
        return RankReport(
            self.group,
            newest,
            step_seconds_by_rank,
            dict(heaviest[:MAX_REPORTED_EXPERTS]),
            self._rank_report_sequence,
        )

    def group_report(self, queue: GroupQueueState, now: float) -> GroupReport | None:
        """Return the group's report for the entries, if this rank leads."""
        aggregated = self.aggregate(now) if self.is_leader else None
        if aggregated is None or not aggregated.step_seconds_by_rank:
            return None
        seconds_by_rank = aggregated.step_seconds_by_rank
        slowest = max(seconds_by_rank, key=lambda rank: (seconds_by_rank[rank], -rank))
        self._group_report_sequence += 1
        return GroupReport(
            group=self.group,
            server=self._instance_by_rank[0],
            queued_seconds=queue.queued_seconds,
            running=queue.running,
            capacity=queue.capacity,
            step_seconds=seconds_by_rank[slowest],
            slowest_rank=slowest,
            prefill_tokens_per_second=queue.prefill_tokens_per_second,
            adapters=queue.adapters,
            versions=queue.versions,
            kv_free_share=queue.kv_free_share,
            sequence=self._group_report_sequence,
        )
