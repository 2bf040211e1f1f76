"""coordination: the targets of a model or service and whose turn it is.

Drawing must stay cheap as pools grow, so the usable targets and their shares are kept
per pool and renewed a few times a second, not at each request.
"""

from collections.abc import Callable, Set
from dataclasses import dataclass, field
from math import exp
from random import Random

from lacewingcleat.load_view import LoadEstimate, LoadView, Target
from lacewingcleat.outlier_ejection import OutlierEjection, TargetState
from lacewingcleat.routing_weights import TargetLoad, compute_shares
from lacewingcleat.sheet import ModelGroup, ServerState, Sheet

REFRESH_SECONDS = 0.25
REFRESH_SECONDS_PER_MEMBER = 0.004
"""Bounds the work at large pools: 64 members are renewed four times a second."""

RATE_TIME_CONSTANT_SECONDS = 5.0
"""Time over which the rate of own sends is averaged."""

CREDIT_TIME_CONSTANT_SECONDS = 5.0
"""Time over which credit fades: the requests behind it have ended by then."""

DEFAULT_CAPACITY = 32
INITIAL_MEAN_COST_SECONDS = 0.1
MEAN_COST_SMOOTHING = 0.02

UNKNOWN_LOAD_FACTOR = 0.25
"""Share of its weight for a target without a recent report, while others have one."""


@dataclass(frozen=True, slots=True, eq=False)
class Member:
    """Describe a target of a pool; compared by identity, as pools are built once.

    :param group: None for a server of a plain service.
    """

    target: Target
    zone: str
    region: str
    weight: float
    group: ModelGroup | None


@dataclass(slots=True)
class Locality:
    """Hold the usable members of one side, own zone or other zones.

    Work is dealt out by credit, not by chance, because a random draw by the same shares
    leaves the load less even.

    :param shares: shares of the next work, by member.
    :param probing: members that are ejected and wait for a probe.
    :param credits: share of the work that a member should have had, less what it got.
    """

    members: list[Member] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
    credits: list[float] = field(default_factory=list)
    index_by_target: dict[Target, int] = field(default_factory=dict)
    probing: list[Member] = field(default_factory=list)
    created_at: float = float("-inf")

    def select(self, accepts: Callable[[Member], bool]) -> list[Member]:
        """Return the accepted member with the most credit, none if none is accepted.

        Members without a share come last: they are full, but may be the only ones.
        """
        best: Member | None = None
        best_credit = float("-inf")
        best_has_share = False
        for member, share, credit in zip(
            self.members, self.shares, self.credits, strict=True
        ):
            has_share = share > 0.0
            if has_share < best_has_share:
                continue
            if has_share == best_has_share and credit <= best_credit:
                continue
            if accepts(member):
                best, best_credit, best_has_share = member, credit, has_share
        return [] if best is None else [best]

    def charge(self, target: Target, cost_seconds: float) -> None:
        """Credit all members with their share of a request and charge its taker."""
        charged_index = self.index_by_target.get(target)
        if charged_index is None:
            return
        for index, share in enumerate(self.shares):
            self.credits[index] += share * cost_seconds
        self.credits[charged_index] -= cost_seconds


@dataclass(slots=True)
class Pool:
    """Hold the targets of a model or service.

    :param usable: members whose servers are available and not leaving.
    :param request_rate: own sends per second.
    :param mean_cost_seconds: mean cost of own requests, in seconds of group time.
    :param mean_utilisation: mean use of slots over the own zone's targets with a
        recent report.
    """

    members: tuple[Member, ...]
    usable: list[Member] = field(default_factory=list)
    local: Locality = field(default_factory=Locality)
    remote: Locality = field(default_factory=Locality)
    usable_local: list[Member] = field(default_factory=list)
    usable_remote: list[Member] = field(default_factory=list)
    mean_utilisation: float = 0.0
    local_refreshed_at: float = float("-inf")
    remote_refreshed_at: float = float("-inf")
    remote_used_at: float = float("-inf")
    request_rate: float = 0.0
    rate_updated_at: float = 0.0
    mean_cost_seconds: float = INITIAL_MEAN_COST_SECONDS

    def copy_state(self, previous: "Pool") -> None:
        """Take over shares and rates from the pool of the previous sheet."""
        self.local = previous.local
        self.remote = previous.remote
        self.remote_used_at = previous.remote_used_at
        self.request_rate = previous.request_rate
        self.rate_updated_at = previous.rate_updated_at
        self.mean_cost_seconds = previous.mean_cost_seconds

    def record_send(self, target: Target, cost_seconds: float, now: float) -> None:
        """Count a request that was sent to a target."""
        elapsed = max(0.0, now - self.rate_updated_at)
        self.request_rate = (
            self.request_rate * exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)
            + 1.0 / RATE_TIME_CONSTANT_SECONDS
        )
        self.rate_updated_at = now
        self.mean_cost_seconds += MEAN_COST_SMOOTHING * (
            cost_seconds - self.mean_cost_seconds
        )
        self.local.charge(target, cost_seconds)
        self.remote.charge(target, cost_seconds)

    def set_usable(self, members: list[Member], zone: str) -> None:
        """Take over which members take work; shares are renewed at the next choice."""
        self.usable = members
        self.usable_local = [member for member in members if member.zone == zone]
        self.usable_remote = [member for member in members if member.zone != zone]
        self.expire_shares()

    def expire_shares(self) -> None:
        """Renew all shares at the next choice."""
        self.local_refreshed_at = float("-inf")
        self.remote_refreshed_at = float("-inf")

    def refresh_local(
        self,
        loads: LoadView,
        ejection: OutlierEjection,
        now: float,
        rng: Random,
    ) -> None:
        """Renew the shares of the own zone if they are outdated."""
        elapsed = now - self.local_refreshed_at
        if 0.0 <= elapsed < _refresh_seconds(self.usable_local):
            return
        self.local_refreshed_at = now
        members = self.usable_local
        self.local = self._build_locality(
            members, self.local, loads, ejection, loads.zone_entry_count, now, rng
        )
        utilisations = []
        for member in members:
            load = loads.estimate(member.target, now)
            if load.has_fresh_report and load.capacity:
                utilisations.append(load.running / load.capacity)
        self.mean_utilisation = (
            sum(utilisations) / len(utilisations) if utilisations else 0.0
        )

    def refresh_remote(
        self,
        loads: LoadView,
        ejection: OutlierEjection,
        now: float,
        rng: Random,
    ) -> None:
        """Renew the shares of other zones if they are outdated.

        Only a choice that spills over needs them: at the target size, other zones have
        thirty times as many targets as the own zone.
        """
        self.remote_used_at = now
        elapsed = now - self.remote_refreshed_at
        if 0.0 <= elapsed < _refresh_seconds(self.usable_remote):
            return
        self.remote_refreshed_at = now
        members = self.usable_remote
        self.remote = self._build_locality(
            members, self.remote, loads, ejection, loads.fleet_entry_count, now, rng
        )

    def _build_locality(
        self,
        usable: list[Member],
        previous: Locality,
        loads: LoadView,
        ejection: OutlierEjection,
        entries: int,
        now: float,
        rng: Random,
    ) -> Locality:
        rate = self.request_rate * exp(
            -max(0.0, now - self.rate_updated_at) / RATE_TIME_CONSTANT_SECONDS
        )
        credit_decay = exp(
            -max(0.0, now - previous.created_at) / CREDIT_TIME_CONSTANT_SECONDS
        )
        locality = Locality(created_at=now)
        target_loads = []
        for member in usable:
            state = ejection.state(member.target, now)
            if state is TargetState.PROBING:
                locality.probing.append(member)
            if state in (TargetState.PROBING, TargetState.EJECTED):
                continue
            load = loads.estimate(member.target, now)
            if has_no_capacity(load):
                continue
            weight = member.weight * ejection.weight(member.target, now)
            if not load.has_fresh_report:
                weight *= UNKNOWN_LOAD_FACTOR
            target_loads.append(
                TargetLoad(
                    weight * (load.capacity or DEFAULT_CAPACITY),
                    load.reported_running
                    + load.queued_seconds / self.mean_cost_seconds,
                    load.running - load.reported_running,
                    load.report_age,
                ),
            )
            index = previous.index_by_target.get(member.target)
            if index is None:
                # Entries start at different targets, so that they do not move in step.
                credit = rng.random() * self.mean_cost_seconds
            else:
                credit = previous.credits[index] * credit_decay
            locality.index_by_target[member.target] = len(locality.members)
            locality.members.append(member)
            locality.credits.append(credit)
        locality.shares = compute_shares(target_loads, rate * entries)
        return locality


def _refresh_seconds(members: list[Member]) -> float:
    return max(REFRESH_SECONDS, REFRESH_SECONDS_PER_MEMBER * len(members))


def make_pools(sheet: Sheet) -> dict[str, Pool]:
    """Return the pools of a sheet by key."""
    pools = {}
    for model, groups in sheet.groups_by_model.items():
        members = tuple(_group_member(sheet, group) for group in groups if group.ranks)
        pools[model_key(model)] = Pool(members)
    for service in sheet.service_by_name.values():
        members = tuple(
            Member(
                Target(service.name, server),
                sheet.server_by_name[server].zone,
                _region(sheet, sheet.server_by_name[server].zone),
                1.0,
                None,
            )
            for server in service.backend_servers
        )
        pools[service_key(service.name)] = Pool(members)
    return pools


def model_key(model: str) -> str:
    """Return the key of a model's pool; models and services may share names."""
    return f"model/{model}"


def service_key(service: str) -> str:
    """Return the key of a service's pool."""
    return f"service/{service}"


def has_no_capacity(load: LoadEstimate) -> bool:
    """Return whether a target reports that it can run nothing now."""
    return load.has_fresh_report and load.capacity <= 0


def is_usable(
    member: Member,
    sheet: Sheet,
    available: Set[str],
    unavailable: Set[str],
) -> bool:
    """Return whether a target takes new work, by its servers' state.

    A group runs in lock-step, so one rank that is dead or leaving stops all of it.
    """
    if member.target.server not in available:
        return False
    servers = (member.target.server,) if member.group is None else member.group.ranks
    for server in servers:
        if server in unavailable:
            return False
        record = sheet.server_by_name.get(server)
        if record is not None and record.state is ServerState.LEAVING:
            return False
    return True


def _group_member(sheet: Sheet, group: ModelGroup) -> Member:
    zone = sheet.server_by_name[group.front_server].zone
    target = Target(group.name, group.front_server)
    return Member(target, zone, _region(sheet, zone), group.weight, group)


def _region(sheet: Sheet, zone: str) -> str:
    record = sheet.zone_by_name.get(zone)
    return zone if record is None else record.region
