"""coordination: state of a direct entry and the routing decisions based on it."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from lacewingcleat.adaptive_concurrency import AdaptiveConcurrencyLimit, GroupPace
from lacewingcleat.cold_servers import ColdServers
from lacewingcleat.connection_backoff import MAX_BACKOFF_SECONDS, ConnectionBackoff
from lacewingcleat.crash_evidence import CrashEvidence
from lacewingcleat.direct_settings import PlatformBounds
from lacewingcleat.group_tracker import GroupTracker
from lacewingcleat.load_gossip import LoadGossip
from lacewingcleat.load_view import Target
from lacewingcleat.outlier_ejection import OutlierEjection, OutlierEvent
from lacewingcleat.priority_admission import (
    PriorityAdmission,
    find_prioritized_services,
)
from lacewingcleat.request_context import OpenAttempt, RequestContext
from lacewingcleat.retries import RetryBudget, RetryPolicy
from lacewingcleat.retry_after import OverloadClock, RefusedRequests
from lacewingcleat.routing_config import EngineCapacity, RoutingConfig, ServiceConfig
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
from lacewingcleat.server_restrictions import (
    Restriction,
    ServerRestrictions,
    UnusableReason,
)
from lacewingcleat.slow_first_events import SlowFirstEvents
from lacewingcleat.waiting_requests import FirstEventTimes

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
# Time for which the reasons of a refusal are reused, since an overloaded entry refuses
# many requests for the same ones.
EXPLANATION_SECONDS = 0.1
# Fraction of its weight that a cold server has, so that it gets few requests while warm
# servers have free slots.
COLD_WEIGHT = 0.25
# Age of the view of the store above which a server may have restarted unnoticed. While
# the store answers, the view is at most as old as two watches of 1.4 s, the interval
# between them and a response take.
MAX_VIEW_SECONDS = 3.5
# Time for which a server is suspected for that reason. It is renewed with each request
# and ends soon after the store has told what has changed.
OLD_VIEW_SUSPICION_SECONDS = 0.5
# Time for which a server that has failed is expected to start again. It is cold after
# that. It is not below the longest back-off, so that no request is sent before the
# result of the next connection attempt is known.
RESTART_SECONDS = MAX_BACKOFF_SECONDS
# Part of its time that a request must still have to be sent to a cold server, which is
# slow: a request that is late there would be repeated at another server.
MIN_COLD_TIME_SHARE = 0.5


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


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Represent why a service could not take a request.

    :param at: time at which its servers were examined.
    :param other_servers: names of the servers without a reason.
    """

    at: float
    count_by_reason: dict[str, int]
    other_servers: frozenset[str]


class DirectState:
    """Store the configuration, servers, loads and retry budgets of one entry."""

    __slots__ = (
        "_bounds",
        "_cold_services",
        "_occupancy_by_group",
        "_refusal_by_service",
        "_retry_budget_by_service",
        "_zone",
        "admission",
        "cold_servers",
        "concurrency_limit",
        "config",
        "connection_backoff",
        "crash_evidence",
        "directory",
        "first_event_times",
        "groups",
        "loads",
        "max_event_interval_seconds",
        "outliers",
        "overload",
        "pace",
        "peers",
        "random",
        "rate_limits",
        "refused_requests",
        "restrictions",
        "slow_first_events",
        "view_age",
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
        self._refusal_by_service: dict[str, _Refusal] = {}
        self.config: RoutingConfig | None = None
        self.max_event_interval_seconds = 0.0
        self.directory = ServerDirectory(bounds.heartbeat_seconds)
        self.groups = GroupTracker()
        self.loads = ServerLoads()
        self.connection_backoff = ConnectionBackoff()
        self.crash_evidence = CrashEvidence()
        self.outliers = OutlierEjection()
        self.concurrency_limit = AdaptiveConcurrencyLimit()
        self.admission = PriorityAdmission()
        self.first_event_times = FirstEventTimes()
        self.refused_requests = RefusedRequests()
        self.overload = OverloadClock()
        self.peers = peers
        self.random = random
        self.rate_limits = ServerRateLimits(peers.own_address)
        self.restrictions = ServerRestrictions()
        self.cold_servers = ColdServers(
            peers.own_address,
            bounds.cold_overshoot,
            bounds.cold_slack,
            peers.has_seeds,
        )
        self.slow_first_events = SlowFirstEvents()
        # Services whose cold servers accept few requests.
        self._cold_services: dict[str, ServiceConfig] = {}
        # Returns the age in seconds of the view of the store at a given time.
        self.view_age: Callable[[float], float] = lambda _now: 0.0
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
            context.service,
            context.failed_servers | {current_server},
            now,
            self.may_use_cold_server(context, now),
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
        self.admission.set_services(find_prioritized_services(config))
        self.overload.retain(config.service_by_name)
        self._cold_services = {
            name: service
            for name, service in config.service_by_name.items()
            if service.cold_per_second > 0.0
        }
        return True

    def choose_server(
        self,
        service: str,
        excluded: frozenset[str],
        now: float,
        may_use_cold: bool = True,
        may_probe: bool = False,
    ) -> ServerChoice:
        """Choose the server for a request of a service.

        :param excluded: servers at which an attempt has failed.
        :param may_use_cold: whether the request may be sent to a cold server.
        :param may_probe: whether the request may be sent to a server that is avoided.
        """
        servers = self.directory.accepting_servers(service, now)
        failed_groups = self._failed_groups(excluded, now)
        restrictions = self.restrictions
        has_restrictions = restrictions.has_any
        candidates = [
            record
            for record in servers
            if record.name not in excluded
            and not self.connection_backoff.is_backing_off(record.name, now)
            and self.groups.is_open(record.name)
            and self.groups.find_group_name(record.name) not in failed_groups
            and not (has_restrictions and restrictions.find(record, now))
        ]
        spared_zones = self.restrictions.spared_zones(self.random, now)
        if spared_zones:
            choice = self._choose_among(
                [record for record in candidates if record.zone not in spared_zones],
                now,
                may_use_cold,
                may_probe,
            )
            # A spared zone is used before a caller is refused.
            if isinstance(choice, ChosenServer):
                return choice
        return self._choose_among(candidates, now, may_use_cold, may_probe)

    def _choose_among(
        self,
        candidates: list[ServerRecord],
        now: float,
        may_use_cold: bool,
        may_probe: bool,
    ) -> ServerChoice:
        returning_zones = frozenset(self.restrictions.returning_zones(now))

        def choose(records: Sequence[ServerRecord]) -> ServerChoice:
            return choose_server(
                records,
                self.loads,
                lambda record: self._weight(record, now),
                lambda record: (
                    self._returning_limit(record, now, may_use_cold)
                    if record.zone in returning_zones
                    else self._request_limit(record, now, may_use_cold)
                ),
                self._zone,
                self.random,
                now,
                own_zone_first=not self.peers.announces_to_all(),
            )

        if not self.pace.has_avoided:
            return choose(candidates)
        return choose_avoiding(
            candidates,
            lambda record: self.pace.avoided_factor(record.incarnation),
            choose,
            may_probe and self.pace.draws_probe(self.random),
        )

    def find_unusable_reason(self, record: ServerRecord, now: float) -> str | None:
        """Return why a server gets no requests, none if it may get some.

        If several reasons hold, the one that is likely to last longest is returned.
        """
        if record.leaving:
            return UnusableReason.LEAVING
        restriction = self.restrictions.find(record, now)
        if restriction is not None:
            return restriction.reason
        if not self.directory.accepts_requests(record.name, now):
            return UnusableReason.UNREGISTERED
        if self._weight(record, now) <= 0.0:
            return UnusableReason.EJECTED
        if self.connection_backoff.is_backing_off(record.name, now):
            return UnusableReason.UNREACHABLE
        if not self.groups.is_open(record.name):
            return UnusableReason.GROUP_CLOSED
        if not self.rate_limits.may_send(record.incarnation, now):
            return UnusableReason.RATE_LIMITED
        if self._cold_services and not self._may_send_cold(record, now, True):
            return UnusableReason.COLD
        return None

    def count_unusable(
        self, records: Iterable[ServerRecord], now: float
    ) -> dict[str, int]:
        """Return the number of servers that get no requests, by reason."""
        return _count_reasons(
            self.find_unusable_reason(record, now) for record in records
        )

    def explain_refusal(
        self, service: str, excluded: frozenset[str], now: float
    ) -> dict[str, int]:
        """Return why no server of a service was chosen, as a number by reason.

        Servers without another reason are full, unless an attempt at them or their
        group has failed.

        :param excluded: servers at which an attempt has failed.
        """
        known = self._refusal_by_service.get(service)
        if known is None or now - known.at >= EXPLANATION_SECONDS:
            known = self._examine_refusal(service, now)
            self._refusal_by_service[service] = known
        counts = dict(known.count_by_reason)
        failed_groups = self._failed_groups(excluded, now)
        tried = len(known.other_servers & excluded)
        if failed_groups:
            tried = sum(
                name in excluded or self.groups.find_group_name(name) in failed_groups
                for name in known.other_servers
            )
        full = len(known.other_servers) - tried
        for reason, count in (
            (UnusableReason.TRIED, tried),
            (UnusableReason.FULL, full),
        ):
            if count:
                counts[reason] = count
        return counts

    def _examine_refusal(self, service: str, now: float) -> _Refusal:
        reason_by_server = {
            record.name: self.find_unusable_reason(record, now)
            for record in self.directory.all_servers(service, now)
        }
        other_servers = frozenset(
            name for name, reason in reason_by_server.items() if reason is None
        )
        return _Refusal(now, _count_reasons(reason_by_server.values()), other_servers)

    def first_release(self, service: str, now: float) -> float | None:
        """Return when the first server of a service may be sent requests again.

        :returns: none if a server is not restricted, or if no end is known.
        """
        records = self.directory.accepting_servers(service, now)
        if any(self.restrictions.find(record, now) is None for record in records):
            return None
        return self.restrictions.next_release(records, now)

    def expire_restrictions(self, now: float) -> list[str]:
        """Remove what restricts no server any more; see `ServerRestrictions.expire`."""
        return self.restrictions.expire(self.directory.find, now)

    def find_restriction(self, record: ServerRecord, now: float) -> Restriction | None:
        """Return why no request may be written to a chosen server any more.

        :param record: record by which the server was chosen, which may have changed.
        """
        current = self.directory.find(record.name)
        restriction = self.restrictions.find(record, now)
        if restriction is None and current is not None:
            restriction = self.restrictions.find(current, now)
        return restriction

    def _returning_limit(
        self, record: ServerRecord, now: float, may_use_cold: bool
    ) -> float:
        """Return the request limit of a server whose zone was evacuated until now."""
        share = self.restrictions.slot_share(record.zone, now)
        return min(
            self._request_limit(record, now, may_use_cold),
            math.floor(record.slots * share + self.random.random()),
        )

    def forms_until(self, service: str, now: float) -> float | None:
        """Return when the first group of a model service will be open again.

        :returns: none if a group is open, or if no group is forming.
        """
        names = self._group_names(service, now)
        if any(self.groups.is_group_open(name) for name in names):
            return None
        times = [self.groups.forms_until(name, now) for name in names]
        return min((time for time in times if time is not None), default=None)

    def expected_open_at(self, service: str, now: float) -> float:
        """Return when the first group of a model service will probably be open.

        This is now if a group is open, or the service has no known group.
        """
        return min(
            (
                self.groups.expected_open_at(name, now)
                for name in self._group_names(service, now)
            ),
            default=now,
        )

    def _group_names(self, service: str, now: float) -> set[str]:
        """Return the known groups of a model service."""
        names = {
            self.groups.find_group_name(record.name)
            for record in self.directory.all_servers(service, now)
        }
        return {name for name in names if name}

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

    def _failed_groups(self, servers: frozenset[str], now: float) -> set[str]:
        """Return the groups of servers that have failed a request.

        All ranks of a group run each pass together, so the request would fail at
        another rank of the group as well, unless the server has said that it leaves or
        pauses itself.
        """
        groups = set()
        for server in servers:
            group = self.groups.find_group_name(server)
            record = self.directory.find(server)
            if group and not (
                record is not None and self.restrictions.is_restricted_run(record, now)
            ):
                groups.add(group)
        return groups

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
            if self.restrictions.find(record, now) is None
        }
        return [
            records[name] for name in self.groups.select_servers_to_poll(records, now)
        ]

    def _request_limit(
        self, record: ServerRecord, now: float, may_use_cold: bool
    ) -> float:
        """Return the number of requests at which a server counts as full.

        A pass of a group takes longer with each of its streams, so all servers are full
        when the group has its share of streams, wherever they run. The limit of a
        server is rounded up or down at random, so that the slot share is met on average
        for servers with few slots.
        """
        if not self.rate_limits.may_send(record.incarnation, now):
            return 0.0
        if self._cold_services and not self._may_send_cold(record, now, may_use_cold):
            return 0.0
        group = self.groups.find_group_name(record.name)
        share = self.concurrency_limit.slot_share(group)
        occupancy = self._occupancy_by_group.get(group, 0.0) if group else 0.0
        if occupancy >= MAX_OCCUPANCY_RATIO * share:
            return 0.0
        return math.floor(record.slots * share + self.random.random())

    def may_use_cold_server(self, context: RequestContext, now: float) -> bool:
        """Return whether a request has enough time left for a cold server."""
        allowed_seconds = context.deadline - context.arrived_at
        return context.deadline - now >= MIN_COLD_TIME_SHARE * allowed_seconds

    def _may_send_cold(
        self, record: ServerRecord, now: float, may_use_cold: bool
    ) -> bool:
        """Return whether the coldness of a server, if any, permits a request now."""
        service = self._cold_services.get(record.service)
        if service is None:
            return True
        per_second = service.cold_per_second
        if self.view_age(now) > MAX_VIEW_SECONDS and self.cold_servers.has_part(
            per_second
        ):
            # Without a share of any server the entry would refuse all requests, though
            # nothing tells that a server has restarted.
            self._suspect_restart(record, OLD_VIEW_SUSPICION_SECONDS, now)
        if not may_use_cold and self.cold_servers.is_cold(record.name, now):
            return False
        return self.cold_servers.may_send(record.name, now)

    def _suspect_restart(
        self, record: ServerRecord, seconds: float, now: float
    ) -> bool:
        service = self._cold_services.get(record.service)
        return service is not None and self.cold_servers.suspect(
            record.name, seconds, service.cold_per_second, now
        )

    def record_first_event(
        self, record: ServerRecord, seconds: float, now: float
    ) -> bool:
        """Record the time to a stream's first event.

        :returns: whether its server may now be cold, unlike before.
        """
        service = self._cold_services.get(record.service)
        if service is None:
            return False
        slow_events = self.slow_first_events
        if not slow_events.record(record.service, record.name, seconds, now):
            return False
        return self._suspect_restart(record, service.cold_seconds, now)

    def record_lost_answer(self, record: ServerRecord, now: float) -> None:
        """Record that a server has broken off, as it may have restarted."""
        service = self._cold_services.get(record.service)
        if service is not None:
            seconds = RESTART_SECONDS + service.cold_seconds
            self._suspect_restart(record, seconds, now)

    def record_connection(
        self, record: ServerRecord, connected: bool, now: float
    ) -> bool:
        """Record the result of a connection attempt.

        A server that is reached again may have restarted before its new record arrives.

        :returns: whether the server now counts as cold for this reason.
        """
        has_changed = self.connection_backoff.record_attempt(
            record.name, connected, now
        )
        service = self._cold_services.get(record.service)
        if service is None:
            return False
        if not connected:
            seconds = RESTART_SECONDS + service.cold_seconds
            self._suspect_restart(record, seconds, now)
            return False
        return has_changed and self.cold_servers.record(
            record.name, service.cold_seconds, service.cold_per_second, now
        )

    def record_cold_record(
        self, record: ServerRecord, has_started: bool, now: float
    ) -> bool:
        """Record what a new record of the store says about a server's coldness.

        :param has_started: whether the server has started while the store was read.
        :returns: whether the server was believed to be warm.
        """
        service = self._cold_services.get(record.service)
        if service is None:
            return False
        seconds = record.cold_seconds
        if has_started:
            seconds = max(seconds, service.cold_seconds)
        return self.cold_servers.record(
            record.name, seconds, service.cold_per_second, now
        )

    def all_warm_from(self, service: str, now: float) -> float | None:
        """Return when the first server of a service is warm, if all are cold now."""
        if service not in self._cold_services:
            return None
        records = self.directory.accepting_servers(service, now)
        if not all(self.cold_servers.is_cold(record.name, now) for record in records):
            return None
        return min(
            (self.cold_servers.warm_at(record.name, now) for record in records),
            default=None,
        )

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
        self._update_admission(now)
        return changes

    def _update_admission(self, now: float) -> None:
        """Update the admission to the services whose requests differ in priority."""
        self.admission.peer_ttl = self.peers.counts_ttl()
        for service in self.admission.services:
            records = [
                record
                for record in self.directory.accepting_servers(service, now)
                if self.groups.is_open(record.name)
            ]
            usable_slots = sum(
                record.slots
                * self.concurrency_limit.slot_share(
                    self.groups.find_group_name(record.name)
                )
                for record in records
            )
            slots = sum(record.slots for record in records)
            requests = sum(self.loads.estimate(record.name, now) for record in records)
            self.admission.update(service, slots, usable_slots, requests, now)

    def _occupancy(self, records: Iterable[ServerRecord], now: float) -> float:
        """Return the estimated number of requests per slot of some servers."""
        slots, requests = 0, 0.0
        for record in records:
            slots += record.slots
            requests += self.loads.estimate(record.name, now)
        return requests / slots if slots else 0.0

    def _weight(self, record: ServerRecord, now: float) -> float:
        weight = self.outliers.weight(Target(record.service, record.name), now)
        if self._cold_services and self.cold_servers.is_cold(record.name, now):
            return weight * COLD_WEIGHT
        return weight

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
        self.cold_servers.retain(names)
        self.slow_first_events.retain(names)
        self.cold_servers.set_entries(self.peers.addresses(), now)
        return events


def _count_reasons(reasons: Iterable[str | None]) -> dict[str, int]:
    """Return the number of servers by the reason for which they get no requests."""
    return dict(Counter(str(reason) for reason in reasons if reason is not None))
