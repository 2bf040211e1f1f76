"""coordination: the targets of a model or service and how candidates are drawn.

Drawing must stay cheap as pools grow, so the usable targets and their weights are kept
per pool and renewed a few times a second, not at each request.
"""

from bisect import bisect
from collections.abc import Callable, Set
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

from lacewingcleat.load_view import LoadView, Target
from lacewingcleat.outlier_ejection import OutlierEjection, TargetState
from lacewingcleat.sheet import ModelGroup, ServerState, Sheet

REFRESH_SECONDS = 0.25
MAX_DRAWS = 6
"""Draws that may hit an excluded target before the pool is scanned."""

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
    """Hold the usable members of one side, own zone or other zones."""

    members: list[Member] = field(default_factory=list)
    cumulative_weights: list[float] = field(default_factory=list)

    def draw(
        self,
        accepts: Callable[[Member], bool],
        count: int,
        rng: Random,
    ) -> list[Member]:
        """Return up to `count` distinct members by weight that are accepted."""
        drawn: list[Member] = []
        if not self.members:
            return drawn
        total = self.cumulative_weights[-1]
        last = len(self.members) - 1
        for _ in range(MAX_DRAWS):
            index = min(last, bisect(self.cumulative_weights, rng.random() * total))
            member = self.members[index]
            if member not in drawn and accepts(member):
                drawn.append(member)
            if len(drawn) == min(count, len(self.members)):
                return drawn
        rest = [m for m in self.members if m not in drawn and accepts(m)]
        rng.shuffle(rest)
        return drawn + rest[: count - len(drawn)]


@dataclass(slots=True)
class Pool:
    """Hold the targets of a model or service.

    :param usable: members whose servers are available and not leaving.
    :param probing: members that wait for a probe, own zone first.
    :param mean_running_share: mean use of slots over the own zone's targets with a
        recent report.
    """

    members: tuple[Member, ...]
    usable: list[Member] = field(default_factory=list)
    near: Side = field(default_factory=Side)
    far: Side = field(default_factory=Side)
    probing: list[Member] = field(default_factory=list)
    mean_running_share: float = 0.0
    refreshed_at: float = float("-inf")

    def refresh(
        self,
        zone: str,
        loads: LoadView,
        ejection: OutlierEjection,
        now: float,
    ) -> None:
        """Renew weights and means if they are older than `REFRESH_SECONDS`."""
        if 0.0 <= now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = now
        near: list[tuple[Member, float]] = []
        far: list[tuple[Member, float]] = []
        shares: list[float] = []
        self.probing = []
        for member in self.usable:
            state = ejection.state(member.target, now)
            if state is TargetState.PROBING:
                self.probing.append(member)
            if state in (TargetState.PROBING, TargetState.EJECTED):
                continue
            load = loads.estimate(member.target, now)
            weight = member.weight * ejection.weight(member.target, now)
            if not load.known:
                weight *= UNKNOWN_LOAD_WEIGHT
            side = near if member.zone == zone else far
            side.append((member, weight))
            if load.known and load.capacity and member.zone == zone:
                shares.append(load.running / load.capacity)
        self.probing.sort(key=lambda member: member.zone != zone)
        self.near = _make_side(near)
        self.far = _make_side(far)
        self.mean_running_share = sum(shares) / len(shares) if shares else 0.0


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


def _make_side(weighted: list[tuple[Member, float]]) -> Side:
    if sum(weight for _, weight in weighted) <= 0.0:
        weighted = [(member, 1.0) for member, _ in weighted]
    return Side(
        [member for member, _ in weighted],
        list(accumulate(weight for _, weight in weighted)),
    )


def _group_member(sheet: Sheet, group: ModelGroup) -> Member:
    zone = sheet.server_by_name[group.front_server].zone
    target = Target(group.name, group.front_server)
    return Member(target, zone, _region(sheet, zone), group.weight, group)


def _region(sheet: Sheet, zone: str) -> str:
    record = sheet.zone_by_name.get(zone)
    return zone if record is None else record.region
