"""coordination: choose the group or plain-service server for a request.

The router draws two candidates and takes the one with the lower expected time, so that
many entries with the same outdated report do not all choose the same target.
"""

from collections.abc import Set
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from lacewingcleat.load_view import LoadView, RequestCost, Target
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.routing_choice import (
    Choice,
    ChoiceRule,
    Exclusion,
    ModelRequest,
    NoRoute,
    NoRouteReason,
    RouteRequest,
    Score,
    ServiceRequest,
)
from lacewingcleat.sheet import ModelGroup, Sheet

RETRY_SECONDS = 1.0
SPILL_SECONDS = 0.5
DEFAULT_STEP_SECONDS = 0.025
DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
DEFAULT_OUTPUT_TOKENS = 256


@dataclass(frozen=True, slots=True)
class _Member:
    target: Target
    zone: str
    weight: float
    group: ModelGroup | None


class GroupRouter:
    """Choose targets from the sheet, the available servers and the load.

    :param zone: this entry's availability zone.
    """

    def __init__(self, zone: str, loads: LoadView | None = None) -> None:
        self.zone = zone
        self.loads = LoadView() if loads is None else loads
        self._members_by_pool: dict[str, tuple[_Member, ...]] = {}
        self._available: Set[str] = frozenset()
        self._unavailable: Set[str] = frozenset()

    def set_sheet(self, sheet: Sheet, now: float) -> None:
        """Take over the groups and services of an accepted sheet."""
        pools: dict[str, tuple[_Member, ...]] = {}
        for model, groups in sheet.groups_by_model.items():
            pools[f"model/{model}"] = tuple(
                _Member(
                    Target(group.name, group.front_server),
                    sheet.server_by_name[group.front_server].zone,
                    group.weight,
                    group,
                )
                for group in groups
                if group.ranks
            )
        for service in sheet.service_by_name.values():
            pools[f"service/{service.name}"] = tuple(
                _Member(
                    Target(service.name, server),
                    sheet.server_by_name[server].zone,
                    1.0,
                    None,
                )
                for server in service.backend_servers
            )
        self._members_by_pool = pools
        self.loads.retain(
            member.target for members in pools.values() for member in members
        )

    def set_servers(
        self,
        available: Set[str],
        unavailable: Set[str],
        now: float,
    ) -> None:
        """Take over the servers' state from membership.

        :param available: servers whose agents are alive and accept new work.
        :param unavailable: servers known to be dead, unreachable or leaving; a group
            with any such rank takes no new work. A rank in neither set does no harm.
        """
        self._available = available
        self._unavailable = unavailable

    def choose(
        self,
        request: RouteRequest,
        now: float,
        rng: Random,
    ) -> Result[Choice, NoRoute]:
        """Return the target for a request, or why there is none."""
        members = self._members_by_pool.get(_pool_key(request))
        if not members:
            return Err(NoRoute(NoRouteReason.UNKNOWN_POOL, None, 0))
        counts: dict[Exclusion, int] = {}
        candidates = []
        for member in members:
            exclusion = self._exclusion(member, request)
            if exclusion is None:
                candidates.append(member)
            else:
                counts[exclusion] = counts.get(exclusion, 0) + 1
        if not candidates:
            return Err(_no_route(len(members), counts))
        rule, drawn = self._draw(candidates, request, rng)
        scored = sorted(
            ((self._score(member, request, now), member) for member in drawn),
            key=lambda pair: pair[0].total_seconds,
        )
        best = scored[0][1]
        if len(candidates) == 1:
            rule = ChoiceRule.ONLY
        return Ok(
            Choice(
                best.target,
                best.target.server,
                best.zone,
                rule,
                RequestCost(scored[0][0].prefill_seconds, 0.0),
                tuple(score for score, _ in scored),
                best.zone != self.zone,
                len(members),
                counts,
            ),
        )

    def _exclusion(self, member: _Member, request: RouteRequest) -> Exclusion | None:
        if member.target.server not in self._available:
            return Exclusion.UNAVAILABLE
        group = member.group
        if group is not None and not self._unavailable.isdisjoint(group.ranks):
            return Exclusion.UNAVAILABLE
        if member.target in request.excluded:
            return Exclusion.FAILED
        if group is None or not isinstance(request, ModelRequest):
            return None
        if group.firm not in ("", request.firm):
            return Exclusion.OTHER_FIRM
        if request.version and request.version not in group.versions:
            return Exclusion.VERSION
        if request.adapter and request.adapter not in group.adapters:
            return Exclusion.ADAPTER
        return None

    def _draw(
        self,
        candidates: list[_Member],
        request: RouteRequest,
        rng: Random,
    ) -> tuple[ChoiceRule, list[_Member]]:
        own = [member for member in candidates if member.zone == self.zone]
        near = own or candidates
        if request.alone:
            first = rank_by_rendezvous(
                "alone", [f"{m.target.group} {m.target.server}" for m in near]
            )[0]
            return ChoiceRule.ALONE, [
                m for m in near if f"{m.target.group} {m.target.server}" == first
            ]
        weights = [member.weight for member in near]
        drawn = rng.choices(near, weights, k=2)
        others = [member for member in candidates if member.zone != self.zone]
        if own and others:
            drawn += rng.choices(others, [m.weight for m in others], k=1)
        return ChoiceRule.SAMPLED, list({m.target: m for m in drawn}.values())

    def _score(self, member: _Member, request: RouteRequest, now: float) -> Score:
        load = self.loads.estimate(member.target, now)
        prefill = 0.0
        decode = 0.0
        if isinstance(request, ModelRequest):
            rate = load.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND
            prefill = request.prompt_tokens / rate
            step = load.step_seconds or DEFAULT_STEP_SECONDS
            decode = step * (request.max_tokens or DEFAULT_OUTPUT_TOKENS)
        return Score(
            member.target,
            load.queued_seconds,
            prefill,
            decode,
            0.0,
            0.0 if member.zone == self.zone else SPILL_SECONDS,
            0,
            load.age,
        )


def _pool_key(request: RouteRequest) -> str:
    match request:
        case ModelRequest():
            return f"model/{request.model}"
        case ServiceRequest():
            return f"service/{request.service}"


def _no_route(pool_size: int, counts: dict[Exclusion, int]) -> NoRoute:
    if Exclusion.FAILED in counts:
        return NoRoute(NoRouteReason.ALL_FAILED, RETRY_SECONDS, pool_size, counts)
    if Exclusion.EJECTED in counts:
        return NoRoute(NoRouteReason.ALL_EJECTED, RETRY_SECONDS, pool_size, counts)
    if Exclusion.UNAVAILABLE in counts:
        return NoRoute(NoRouteReason.ALL_UNAVAILABLE, RETRY_SECONDS, pool_size, counts)
    return NoRoute(NoRouteReason.NOT_ALLOWED, None, pool_size, counts)
