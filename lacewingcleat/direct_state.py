"""coordination: state of a direct entry and the routing decisions based on it."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lacewingcleat.adaptive_concurrency import AdaptiveConcurrencyLimit, GroupPace
from lacewingcleat.connection_backoff import ConnectionBackoff
from lacewingcleat.crash_evidence import CrashEvidence
from lacewingcleat.direct_settings import PlatformBounds
from lacewingcleat.group_tracker import GroupTracker
from lacewingcleat.load_gossip import LoadGossip
from lacewingcleat.load_view import Target
from lacewingcleat.outlier_ejection import OutlierEjection, OutlierEvent
from lacewingcleat.request_context import OpenAttempt, RequestContext
from lacewingcleat.retries import RetryBudget, RetryPolicy
from lacewingcleat.routing_config import EngineCapacity, RoutingConfig
from lacewingcleat.server_choice import (
    ChosenServer,
    ServerChoice,
    ServerLoads,
    choose_avoiding,
    choose_server,
)
from lacewingcleat.server_directory import ServerDirectory
from lacewingcleat.server_pace import OpenRequest, PaceChange, ServerPace
from lacewingcleat.server_rate_limits import ServerRateLimits
from lacewingcleat.server_record import ServerRecord

# Minimum number of entries among which the fleet's extra retries are divided, because
# an entry that has just started or is partitioned off sees few peers.
MIN_BUDGET_ENTRIES = 8
# Fraction of the allowed retry ratio that is used, because the budget windows of the
# entries do not coincide.
RETRY_RATIO_FACTOR = 0.6
# A group whose occupancy exceeds its share by this factor is full at all its servers.
# The limits of single servers do not hold the share where entries know little of each
# other.
MAX_OCCUPANCY_RATIO = 1.1


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Describe a change of the concurrency limit of a group, with its inputs.

    :param share: new share of the slots that may be used.
    :param occupancy: requests in flight per slot of the group.
    """

    group: str
    share: float
    occupancy: float
    pace: GroupPace | None


class DirectState:
    """Store the configuration, servers, loads and retry budgets of one entry."""

    __slots__ = (
        "_bounds",
        "_occupancy_by_group",
        "_retry_budget_by_service",
        "_zone",
        "concurrency_limit",
        "config",
        "connection_backoff",
        "crash_evidence",
        "directory",
        "groups",
        "loads",
        "max_event_interval_seconds",
        "outliers",
        "pace",
        "peers",
        "random",
        "rate_limits",
    )

    def __init__(
        self,
        zone: str,
        bounds: PlatformBounds,
        peers: LoadGossip,
        random: Random,
    ) -> None:
        self._zone = zone
        self._bounds = bounds
        self._retry_budget_by_service: dict[str, RetryBudget] = {}
        self._occupancy_by_group: dict[str, float] = {}
        self.config: RoutingConfig | None = None
        self.max_event_interval_seconds = 0.0
        self.directory = ServerDirectory(bounds.heartbeat_seconds)
        self.groups = GroupTracker()
        self.loads = ServerLoads()
        self.connection_backoff = ConnectionBackoff()
        self.crash_evidence = CrashEvidence()
        self.outliers = OutlierEjection()
        self.concurrency_limit = AdaptiveConcurrencyLimit()
        self.peers = peers
        self.random = random
        self.rate_limits = ServerRateLimits(peers.own_address)
        self.pace = ServerPace(peers.own_address)

    def has_ready_peer(self, now: float) -> bool:
        """Return whether a peer has reported that it is ready for requests."""
        return self.peers.any_ready(now)

    def has_alternative_server(
        self, context: RequestContext, current_server: str, now: float
    ) -> bool:
        """Return whether a request could be retried at another server at once.

        :param current_server: server of the current attempt.
        """
        if not self.retry_budget(context.service, now).has_retry(now):
            return False
        choice = self.choose_server(
            context.service, context.failed_servers | {current_server}, now
        )
        match choice:
            case ChosenServer(record, load):
                # At a server without a free slot the request would join the end of
                # another queue.
                return load < record.slots
            case _:
                return False

    def retry_budget(self, service: str, now: float) -> RetryBudget:
        """Return the retry budget of a service."""
        policy = self._retry_policy()
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            budget = self._retry_budget_by_service[service] = RetryBudget(now, policy)
        budget.set_policy(policy)
        return budget

    def _retry_policy(self) -> RetryPolicy:
        """Return this entry's share of the fleet's retries.

        The share is based on the highest number of entries seen so far, so that a
        partition of the fleet does not spend the retries of the whole fleet.
        """
        bounds = self._bounds
        entry_count = max(MIN_BUDGET_ENTRIES, self.peers.max_peer_count + 1)
        extra_retries = bounds.extra_retries / entry_count
        # One window can spend the accumulated burst and the retries added meanwhile, so
        # each gets half of the extra retries.
        return RetryPolicy(
            retries_per_request=bounds.retry_ratio * RETRY_RATIO_FACTOR,
            min_retries_per_second=extra_retries / 2.0 / bounds.retry_window_seconds,
            burst=extra_retries / 2.0,
        )

    def apply_config(self, config: RoutingConfig) -> bool:
        """Apply a configuration and return whether it is newer than the current one."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.max_event_interval_seconds = config.min_event_interval_seconds()
        return True

    def choose_server(
        self,
        service: str,
        excluded: frozenset[str],
        now: float,
        may_probe: bool = False,
    ) -> ServerChoice:
        """Choose the server for a request of a service.

        :param excluded: servers at which an attempt has failed.
        :param may_probe: whether the request may be sent to a server that is avoided.
        """
        servers = self.directory.accepting_servers(service, now)
        failed_groups = self._groups_of(excluded)
        candidates = [
            record
            for record in servers
            if record.name not in excluded
            and not self.connection_backoff.is_backing_off(record.name, now)
            and self.groups.is_open(record.name)
            and self.groups.find_group_name(record.name) not in failed_groups
        ]
        return choose_avoiding(
            candidates,
            lambda record: self.pace.avoided_factor(record.incarnation),
            lambda records: choose_server(
                records,
                self.loads,
                lambda record: self._weight(record, now),
                lambda record: self._request_limit(record, now),
                self._zone,
                self.random,
                now,
                own_zone_first=not self.peers.announces_to_all(),
            ),
            may_probe and self.pace.draws_probe(self.random),
        )

    def expected_open_at(self, service: str, now: float) -> float:
        """Return when the first group of a model service will probably be open.

        This is now if a group is open, or the service has no known group.
        """
        names = {
            self.groups.find_group_name(record.name)
            for record in self.directory.all_servers(service, now)
        }
        return min(
            (self.groups.expected_open_at(name, now) for name in names if name),
            default=now,
        )

    def begin_pace(self, attempt: OpenAttempt, now: float) -> OpenRequest | None:
        """Measure the answer of a server, unless it belongs to a model service."""
        record = attempt.record
        service = self.config and self.config.service_by_name.get(record.service)
        if not service or service.engine is not None:
            return None
        return self.pace.begin(record.incarnation, attempt.load, record.slots, now)

    def evaluate_pace(self, now: float) -> list[PaceChange]:
        """Decide which servers of plain services are avoided; return the changes."""
        changes: list[PaceChange] = []
        self.pace.begin_evaluation(now)
        for service in self.config.service_by_name.values() if self.config else ():
            if service.engine is None:
                records = self.directory.accepting_servers(service.name, now)
                servers = [record.incarnation for record in records]
                changes += self.pace.evaluate(service.name, servers, now)
        return changes

    def avoided_counts(self, now: float) -> dict[str, int]:
        """Return the number of avoided servers by plain service."""
        config = self.config
        return {
            service.name: self.pace.avoided_count(
                record.incarnation
                for record in self.directory.accepting_servers(service.name, now)
            )
            for service in (config.service_by_name.values() if config else ())
            if service.engine is None
        }

    def _groups_of(self, servers: frozenset[str]) -> set[str]:
        """Return the groups of servers that have failed a request.

        All ranks of a group run each pass together, so the request would fail at
        another rank of the group as well.
        """
        names = (self.groups.find_group_name(name) for name in servers)
        return {name for name in names if name}

    def model_groups(
        self,
        now: float,
    ) -> list[tuple[str, dict[str, ServerRecord], EngineCapacity]]:
        """Return the known model groups with their servers and engine figures."""
        members_by_group: dict[str, dict[str, ServerRecord]] = {}
        engine_by_group: dict[str, EngineCapacity] = {}
        for service in self.config.service_by_name.values() if self.config else ():
            if service.engine is None:
                continue
            for record in self.directory.all_servers(service.name, now):
                name = self.groups.find_group_name(record.name)
                if name:
                    members_by_group.setdefault(name, {})[record.name] = record
                    engine_by_group[name] = service.engine
        return [
            (name, members, engine_by_group[name])
            for name, members in sorted(members_by_group.items())
        ]

    def servers_to_poll(self, now: float) -> list[ServerRecord]:
        """Return the servers of model services whose reports are to be polled now."""
        config = self.config
        records = {
            record.name: record
            for service in (config.service_by_name.values() if config else ())
            if service.engine is not None
            for record in self.directory.accepting_servers(service.name, now)
        }
        return [
            records[name] for name in self.groups.select_servers_to_poll(records, now)
        ]

    def _request_limit(self, record: ServerRecord, now: float) -> float:
        """Return the number of requests at which a server counts as full.

        A pass of a group takes longer with each of its streams, so all servers are full
        when the group has its share of streams, wherever they run. The limit of a
        server is rounded up or down at random, so that the slot share is met on average
        for servers with few slots.
        """
        if not self.rate_limits.may_send(record.incarnation, now):
            return 0.0
        group = self.groups.find_group_name(record.name)
        share = self.concurrency_limit.slot_share(group)
        occupancy = self._occupancy_by_group.get(group, 0.0) if group else 0.0
        if occupancy >= MAX_OCCUPANCY_RATIO * share:
            return 0.0
        return math.floor(record.slots * share + self.random.random())

    def adjust_concurrency(self, now: float) -> list[LimitChange]:
        """Adjust the slot shares of all groups and return the changes."""
        self.concurrency_limit.retain(self.groups.group_names())
        self.loads.peer_count_ttl = self.peers.counts_ttl()
        self._occupancy_by_group.clear()
        changes = []
        for name, members, _ in self.model_groups(now):
            pace = self.groups.find_pace(name, now)
            occupancy = self._occupancy(members.values(), now)
            self._occupancy_by_group[name] = occupancy
            if self.concurrency_limit.adjust(
                name,
                self.groups.find_epoch(name),
                pace,
                occupancy,
                self.max_event_interval_seconds,
                now,
            ):
                share = self.concurrency_limit.slot_share(name)
                changes.append(LimitChange(name, share, occupancy, pace))
        return changes

    def _occupancy(self, records: Iterable[ServerRecord], now: float) -> float:
        """Return the estimated number of requests per slot of some servers."""
        slots, requests = 0, 0.0
        for record in records:
            slots += record.slots
            requests += self.loads.estimate(record.name, now)
        return requests / slots if slots else 0.0

    def _weight(self, record: ServerRecord, now: float) -> float:
        return self.outliers.weight(Target(record.service, record.name), now)

    def update_outliers(self, now: float) -> list[OutlierEvent]:
        """Update outlier ejection and drop the state of removed servers."""
        events: list[OutlierEvent] = []
        config = self.config
        targets: list[Target] = []
        for service in config.service_by_name if config else ():
            service_targets = [
                Target(service, record.name)
                for record in self.directory.accepting_servers(service, now)
            ]
            targets += service_targets
            events += self.outliers.evaluate(service_targets, now)
        self.outliers.retain(targets)
        names = set(self.directory.names())
        self.loads.retain(names)
        self.groups.retain(names)
        self.connection_backoff.retain(names)
        self.rate_limits.retain(self.directory.incarnations())
        self.pace.retain(self.directory.incarnations(), self.peers.addresses())
        self.rate_limits.set_entries(self.peers.addresses(), now)
        return events
