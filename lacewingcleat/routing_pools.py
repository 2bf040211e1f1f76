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
from lacewingcleat.routing_weights import TargetLoad, share_out
from lacewingcleat.sheet import ModelGroup, ServerState, Sheet

REFRESH_SECONDS = 0.25
REFRESH_SECONDS_PER_MEMBER = 0.004
"""Bounds the work at large pools: 64 members are renewed four times a second."""

RATE_SECONDS = 5.0
"""Time over which the rate of own sends is averaged."""

CREDIT_SECONDS = 5.0
"""Time over which credit fades: the requests behind it have ended by then."""

DEFAULT_CAPACITY = 32
FIRST_MEAN_WORK = 0.1
MEAN_WORK_SHARE = 0.02

UNKNOWN_LOAD_WEIGHT = 0.25
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
class Side:
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
    made_at: float = float("-inf")

    def draw(self, accepts: Callable[[Member], bool]) -> list[Member]:
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

    def charge(self, target: Target, work: float) -> None:
        """Credit all members with their share of a request and charge its taker."""
        taker = self.index_by_target.get(target)
        if taker is None:
            return
        for index, share in enumerate(self.shares):
            self.credits[index] += share * work
        self.credits[taker] -= work


@dataclass(slots=True)
class Pool:
    """Hold the targets of a model or service.

    :param usable: members whose servers are available and not leaving.
    :param rate: own sends per second.
    :param mean_work: mean cost of own requests, in seconds of group time.
    :param mean_running_share: mean use of slots over the own zone's targets with a
        recent report.
    """

    members: tuple[Member, ...]
    usable: list[Member] = field(default_factory=list)
    near: Side = field(default_factory=Side)
    far: Side = field(default_factory=Side)
    usable_near: list[Member] = field(default_factory=list)
    usable_far: list[Member] = field(default_factory=list)
    mean_running_share: float = 0.0
    near_refreshed_at: float = float("-inf")
    far_refreshed_at: float = float("-inf")
    far_used_at: float = float("-inf")
    rate: float = 0.0
    rate_at: float = 0.0
    mean_work: float = FIRST_MEAN_WORK

    def continue_from(self, before: "Pool") -> None:
        """Take over shares and rates from the pool of the previous sheet."""
        self.near = before.near
        self.far = before.far
        self.far_used_at = before.far_used_at
        self.rate = before.rate
        self.rate_at = before.rate_at
        self.mean_work = before.mean_work

    def record_send(self, target: Target, work: float, now: float) -> None:
        """Count a request that was sent to a target."""
        elapsed = max(0.0, now - self.rate_at)
        self.rate = self.rate * exp(-elapsed / RATE_SECONDS) + 1.0 / RATE_SECONDS
        self.rate_at = now
        self.mean_work += MEAN_WORK_SHARE * (work - self.mean_work)
        self.near.charge(target, work)
        self.far.charge(target, work)

    def set_usable(self, members: list[Member], zone: str) -> None:
        """Take over which members take work; shares are renewed at the next choice."""
        self.usable = members
        self.usable_near = [member for member in members if member.zone == zone]
        self.usable_far = [member for member in members if member.zone != zone]
        self.expire()

    def expire(self) -> None:
        """Renew all shares at the next choice."""
        self.near_refreshed_at = float("-inf")
        self.far_refreshed_at = float("-inf")

    def refresh_near(
        self,
        loads: LoadView,
        ejection: OutlierEjection,
        now: float,
        rng: Random,
    ) -> None:
        """Renew the shares of the own zone if they are outdated."""
        elapsed = now - self.near_refreshed_at
        if 0.0 <= elapsed < _refresh_seconds(self.usable_near):
            return
        self.near_refreshed_at = now
        members = self.usable_near
        self.near = self._make_side(
            members, self.near, loads, ejection, loads.zone_entry_count, now, rng
        )
        shares = []
        for member in members:
            load = loads.estimate(member.target, now)
            if load.has_fresh_report and load.capacity:
                shares.append(load.running / load.capacity)
        self.mean_running_share = sum(shares) / len(shares) if shares else 0.0

    def refresh_far(
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
        self.far_used_at = now
        elapsed = now - self.far_refreshed_at
        if 0.0 <= elapsed < _refresh_seconds(self.usable_far):
            return
        self.far_refreshed_at = now
        members = self.usable_far
        self.far = self._make_side(
            members, self.far, loads, ejection, loads.fleet_entry_count, now, rng
        )

    def _make_side(
        self,
        usable: list[Member],
        before: Side,
        loads: LoadView,
        ejection: OutlierEjection,
        entries: int,
        now: float,
        rng: Random,
    ) -> Side:
        rate = self.rate * exp(-max(0.0, now - self.rate_at) / RATE_SECONDS)
        fade = exp(-max(0.0, now - before.made_at) / CREDIT_SECONDS)
        side = Side(made_at=now)
        loads_by_index = []
        for member in usable:
            state = ejection.state(member.target, now)
            if state is TargetState.PROBING:
                side.probing.append(member)
            if state in (TargetState.PROBING, TargetState.EJECTED):
                continue
            load = loads.estimate(member.target, now)
            if is_down(load):
                continue
            weight = member.weight * ejection.weight(member.target, now)
            if not load.has_fresh_report:
                weight *= UNKNOWN_LOAD_WEIGHT
            loads_by_index.append(
                TargetLoad(
                    weight * (load.capacity or DEFAULT_CAPACITY),
                    load.reported_running + load.queued_seconds / self.mean_work,
                    load.running - load.reported_running,
                    load.report_age,
                ),
            )
            index = before.index_by_target.get(member.target)
            if index is None:
                # Entries start at different targets, so that they do not move in step.
                credit = rng.random() * self.mean_work
            else:
                credit = before.credits[index] * fade
            side.index_by_target[member.target] = len(side.members)
            side.members.append(member)
            side.credits.append(credit)
        side.shares = share_out(loads_by_index, rate * entries)
        return side


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


def is_down(load: LoadEstimate) -> bool:
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
