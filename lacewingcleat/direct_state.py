"""coordination: what a direct entry knows, and the decisions it takes from it."""

import math
from random import Random

from lacewingcleat.adaptive_concurrency import AdaptiveConcurrencyLimit
from lacewingcleat.connection_backoff import ConnectionBackoff
from lacewingcleat.request_context import DirectCall
from lacewingcleat.direct_settings import RuleBounds
from lacewingcleat.group_tracker import GroupTracker
from lacewingcleat.load_gossip import LoadGossip
from lacewingcleat.load_view import Target
from lacewingcleat.outlier_ejection import OutlierEjection, OutlierEvent
from lacewingcleat.retries import RetryBudget, RetryPolicy
from lacewingcleat.routing_config import EngineCapacity, RoutingConfig
from lacewingcleat.server_choice import (
    ChosenServer,
    ServerChoice,
    ServerLoads,
    choose_server,
)
from lacewingcleat.server_directory import ServerDirectory
from lacewingcleat.server_record import ServerRecord

# Entries over which the fleet's extra retries are divided at least, since an entry that
# has just started or is cut off knows few others.
LEAST_BUDGET_ENTRIES = 8
# Part of the allowed share that is used, since windows of entries do not coincide.
SHARE_USED = 0.6


class DirectState:
    """Hold configuration, servers, loads and retry budgets of one entry."""

    __slots__ = (
        "_bounds",
        "_budget_by_service",
        "_zone",
        "config",
        "directory",
        "groups",
        "least_gap_seconds",
        "loads",
        "outliers",
        "pace",
        "peers",
        "random",
        "reach",
    )

    def __init__(
        self,
        zone: str,
        bounds: RuleBounds,
        peers: LoadGossip,
        random: Random,
    ) -> None:
        self._zone = zone
        self._bounds = bounds
        self._budget_by_service: dict[str, RetryBudget] = {}
        self.config: RoutingConfig | None = None
        self.least_gap_seconds = 0.0
        self.directory = ServerDirectory()
        self.groups = GroupTracker()
        self.loads = ServerLoads()
        self.reach = ConnectionBackoff()
        self.outliers = OutlierEjection()
        self.pace = AdaptiveConcurrencyLimit()
        self.peers = peers
        self.random = random

    def peers_are_ready(self, now: float) -> bool:
        """Return whether another entry can probably judge requests."""
        return self.peers.any_ready(now)

    def alternative_exists(self, call: DirectCall, tried: str, now: float) -> bool:
        """Return whether a request could be moved to another server at once."""
        if not self.budget(call.service, now).has_retry(now):
            return False
        choice = self.choose(call.service, call.failed_names | {tried}, now)
        match choice:
            case ChosenServer(record, load):
                # Where every slot is taken the request would begin to wait anew.
                return load < record.slots
            case _:
                return False

    def budget(self, service: str, now: float) -> RetryBudget:
        """Return the retry budget of a service."""
        policy = self._retry_policy()
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(now, policy)
        budget.set_policy(policy)
        return budget

    def _retry_policy(self) -> RetryPolicy:
        """Return this entry's part of the fleet's retries.

        The most entries ever known count, so that a part of the fleet that is cut off
        does not use the retries of the whole.
        """
        bounds = self._bounds
        entries = max(LEAST_BUDGET_ENTRIES, self.peers.max_peer_count + 1)
        extra = bounds.retry_extra / entries
        # A window sees the saved burst and what is earned meanwhile.
        return RetryPolicy(
            retries_per_request=bounds.retry_share * SHARE_USED,
            min_retries_per_second=extra / 2.0 / bounds.retry_window_seconds,
            burst=extra / 2.0,
        )

    def take_config(self, config: RoutingConfig) -> bool:
        """Put a configuration in force unless it is older than the present one."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.least_gap_seconds = config.min_event_interval_seconds()
        return True

    def choose(
        self,
        service: str,
        excluded: frozenset[str],
        now: float,
    ) -> ServerChoice:
        """Choose the server for a request of a service."""
        servers = self.directory.accepting_servers(service, now)
        closed = self._closed_groups(excluded)
        left = [
            record
            for record in servers
            if record.name not in excluded
            and not self.reach.is_backing_off(record.name, now)
            and self.groups.is_open(record.name)
            and self.groups.find_group_name(record.name) not in closed
        ]
        return choose_server(
            left,
            self.loads,
            lambda record: self._weight(record, now),
            self._limit,
            self._zone,
            self.random,
            now,
        )

    def _closed_groups(self, excluded: frozenset[str]) -> set[str]:
        """Return the groups of servers that have failed a request.

        A group answers for all of its ranks, so another rank would fail it as well.
        """
        names = (self.groups.find_group_name(name) for name in excluded)
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

    def due_reports(self, now: float) -> list[ServerRecord]:
        """Return the servers of model services to ask for a report now."""
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

    def _limit(self, record: ServerRecord) -> float:
        """Return the requests from which on a server is full.

        Rounded up or down at random, so that the share holds on average over servers
        of few slots.
        """
        share = self.pace.slot_share(self.groups.find_group_name(record.name))
        return math.floor(record.slots * share + self.random.random())

    def adjust_pace(self, now: float) -> list[tuple[str, float, float]]:
        """Adjust the shares of all groups; return group, share and gap of changes."""
        names = self.groups.group_names()
        self.pace.retain(names)
        changes = []
        for name in sorted(names):
            gap = self.groups.find_event_interval(name, now)
            if self.pace.adjust(name, gap, self.least_gap_seconds, now):
                changes.append((name, self.pace.slot_share(name), gap or 0.0))
        return changes

    def _weight(self, record: ServerRecord, now: float) -> float:
        return self.outliers.weight(Target(record.service, record.name), now)

    def judge(self, now: float) -> list[OutlierEvent]:
        """Eject outliers of each service."""
        events: list[OutlierEvent] = []
        config = self.config
        targets: list[Target] = []
        for service in config.service_by_name if config else ():
            pool = [
                Target(service, record.name)
                for record in self.directory.accepting_servers(service, now)
            ]
            targets += pool
            events += self.outliers.evaluate(pool, now)
        self.outliers.retain(targets)
        names = set(self.directory.names())
        self.loads.retain(names)
        self.groups.retain(names)
        self.reach.retain(names)
        return events
