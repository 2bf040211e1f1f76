"""coordination: choose the group or plain-service server for a request.

Each target gets a share of the work that tends to even out the load, and the target
whose turn it is takes the request. Targets that hold the prompt's prefix, the session's
KV cache or the adapter take it instead if their expected time is lower.
"""

from collections.abc import Set
from random import Random

from result import Err, Ok, Result

from lacewingcleat.crash_suspects import choose_isolation_server
from lacewingcleat.load_view import (
    LoadEstimate,
    LoadView,
    RequestCost,
    Target,
)
from lacewingcleat.outlier_ejection import OutlierEjection, OutlierEvent, TargetState
from lacewingcleat.prefix_affinity import BLOCK_TOKENS, PrefixIndex
from lacewingcleat.request_cost import CostModel
from lacewingcleat.routing_candidates import (
    CandidateFinder,
    accepts,
    find_mismatch,
)
from lacewingcleat.routing_choice import (
    Choice,
    ChoiceRule,
    Exclusion,
    ModelRequest,
    NoRoute,
    NoRouteReason,
    Outcome,
    RoutedRequest,
    RouteRequest,
    Score,
    ServiceRequest,
    TargetAssessment,
)
from lacewingcleat.routing_health import RoutingHealth
from lacewingcleat.routing_pools import (
    Member,
    Pool,
    has_no_capacity,
    is_usable,
    make_pools,
    model_key,
    service_key,
)
from lacewingcleat.routing_score import Scorer
from lacewingcleat.sheet import Sheet

RETRY_DELAY_SECONDS = 1.0
"""Wait before asking again for a pool without servers: one heartbeat."""


class GroupRouter:
    """Choose targets from the sheet, the available servers and the load.

    :param zone: this entry's availability zone.
    """

    def __init__(
        self,
        zone: str,
        loads: LoadView | None = None,
        costs: CostModel | None = None,
        prefixes: PrefixIndex | None = None,
        ejection: OutlierEjection | None = None,
    ) -> None:
        self.zone = zone
        self.loads = LoadView() if loads is None else loads
        self.costs = CostModel() if costs is None else costs
        self.prefixes = PrefixIndex() if prefixes is None else prefixes
        self.ejection = OutlierEjection() if ejection is None else ejection
        self._scorer = Scorer(zone, self.costs)
        self._finder = CandidateFinder(self.loads, self.prefixes, self.ejection)
        self._sheet: Sheet | None = None
        self._pools: dict[str, Pool] = {}
        self._available: Set[str] = frozenset()
        self._unavailable: Set[str] = frozenset()
        self._usable_targets: set[Target] | None = None
        self._health = RoutingHealth(self.loads, self.ejection)

    def set_sheet(self, sheet: Sheet, now: float) -> None:
        """Take over the groups and services of an accepted sheet.

        Most changes concern accounts only and cost nothing here. Shares and rates of
        pools that remain are kept.
        """
        previous_sheet = self._sheet
        self._sheet = sheet
        if (
            previous_sheet is not None
            and previous_sheet.routing_digest == sheet.routing_digest
        ):
            return
        zone = sheet.zone_by_name.get(self.zone)
        if zone is not None:
            self._scorer.region = zone.region
            self.loads.zone_entry_count = max(1, zone.entries)
        self.loads.fleet_entry_count = max(
            self.loads.zone_entry_count,
            sum(other.entries for other in sheet.zone_by_name.values()),
        )
        old_pools, self._pools = self._pools, make_pools(sheet)
        for key, pool in self._pools.items():
            if key in old_pools:
                pool.copy_state(old_pools[key])
        self._health.discard_unchecked_pools()
        targets = [
            member.target for pool in self._pools.values() for member in pool.members
        ]
        self.loads.retain(targets)
        self.ejection.retain(targets)
        self._update_usable(now)

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
        if available == self._available and unavailable == self._unavailable:
            return
        self._available = frozenset(available)
        self._unavailable = frozenset(unavailable)
        self._update_usable(now)

    def discard_stale_state(self, now: float) -> None:
        """Forget what was learned before a pause or partition that has just ended."""
        self.loads.discard_reports()
        self.prefixes.clear()
        self.ejection.reset_stats(now)
        self._health.exclude_in_flight()
        for pool in self._pools.values():
            pool.expire_shares()

    def choose(
        self,
        request: RouteRequest,
        now: float,
        rng: Random,
    ) -> Result[Choice, NoRoute]:
        """Return the target for a request, or why there is none."""
        pool = self._pools.get(_pool_key(request))
        if pool is None or not pool.members:
            return Err(NoRoute(NoRouteReason.UNKNOWN_POOL, None, 0))
        pool.refresh_local(self.loads, self.ejection, now, rng)
        probe = self._finder.pick_probe(pool, request, now, rng)
        if probe is not None:
            return Ok(self._make_choice(pool, request, [probe], ChoiceRule.PROBE, now))
        if request.isolated:
            return self._choose_isolated(pool, request, now)
        candidates = self._finder.find_candidates(pool, request, now, rng)
        if not candidates:
            return Err(self._explain_no_route(pool, request, now))
        return Ok(
            self._make_choice(pool, request, candidates, ChoiceRule.SHARE, now),
        )

    def record_send(
        self, choice: Choice, request: RouteRequest, now: float
    ) -> RoutedRequest:
        """Count a request that this entry has just sent to its target."""
        load_record = self.loads.record_send(choice.target, choice.cost, now)
        routed = RoutedRequest(choice, request, load_record)
        pool = self._pools.get(_pool_key(request))
        if pool is not None:
            pool.record_send(choice.target, choice.cost.total_seconds, now)
        self._health.track(routed)
        if choice.rule is ChoiceRule.PROBE:
            self.ejection.record_probe(choice.target, now)
        if isinstance(request, ModelRequest):
            group = choice.target.group
            self.prefixes.record_send(group, request.prefix_blocks, now)
        return routed

    def record_first_token(self, routed: RoutedRequest, now: float) -> None:
        """Count the first token of a stream or the first byte of another answer."""
        self._health.record_first_token(routed, now)

    def record_finish(
        self,
        routed: RoutedRequest,
        outcome: Outcome,
        now: float,
        output_tokens: int = 0,
        cached_tokens: int | None = None,
    ) -> None:
        """Count the end of a request at its target; a second call is ignored.

        :param output_tokens: length of a completed output.
        :param cached_tokens: what the engine says it had cached, None if it does not.
        """
        if not self._health.untrack(routed):
            return
        target = routed.choice.target
        self.loads.record_finish(routed.load_record, now)
        if (
            outcome in (Outcome.COMPLETED, Outcome.FAILED)
            and not routed.excluded_from_checks
        ):
            success = outcome is Outcome.COMPLETED
            self.ejection.record_result(
                target, success, routed.load_record.sent_at, now
            )
        request = routed.request
        if not isinstance(request, ModelRequest):
            return
        if outcome is Outcome.COMPLETED and output_tokens > 0:
            self.costs.record_output(request.account, request.model, output_tokens)
        if cached_tokens is not None:
            self._check_prefix_hit(routed, cached_tokens, now)

    def tick(self, now: float) -> list[OutlierEvent]:
        """Judge targets, about once a second, and return ejections and returns."""
        return self._health.check_targets(self._pools.values(), now)

    def explain(self, request: RouteRequest, now: float) -> list[TargetAssessment]:
        """Return how each target of the request's pool would be considered."""
        pool = self._pools.get(_pool_key(request))
        if pool is None:
            return []
        return [
            TargetAssessment(
                member.target,
                self._find_exclusion(pool, member, request, now),
                self.ejection.state(member.target, now),
                self._score_member(member, request, now),
            )
            for member in pool.members
        ]

    def _update_usable(self, now: float) -> None:
        sheet = self._sheet
        if sheet is None:
            return
        targets: set[Target] = set()
        for pool in self._pools.values():
            usable = [
                member
                for member in pool.members
                if is_usable(member, sheet, self._available, self._unavailable)
            ]
            pool.set_usable(usable, self.zone)
            targets.update(member.target for member in pool.usable)
        previous_targets = self._usable_targets
        if previous_targets:
            for target in targets - previous_targets:
                self.ejection.record_joined(target, now)
        self._usable_targets = targets

    def _find_exclusion(
        self,
        pool: Pool,
        member: Member,
        request: RouteRequest,
        now: float,
    ) -> Exclusion | None:
        mismatch = find_mismatch(member, request)
        if mismatch not in (None, Exclusion.FAILED):
            return mismatch
        if member not in pool.usable or has_no_capacity(
            self.loads.estimate(member.target, now)
        ):
            return Exclusion.UNAVAILABLE
        if mismatch is not None:
            return mismatch
        state = self.ejection.state(member.target, now)
        if state in (TargetState.EJECTED, TargetState.PROBING):
            return Exclusion.EJECTED
        return None

    def _choose_isolated(
        self,
        pool: Pool,
        request: RouteRequest,
        now: float,
    ) -> Result[Choice, NoRoute]:
        """Choose the one server for a suspect, the same at every entry."""
        accepted = [member for member in pool.usable if accepts(member, request)]
        servers_by_zone: dict[str, list[str]] = {}
        for member in accepted:
            servers_by_zone.setdefault(member.zone, []).append(member.target.server)
        isolation_server = choose_isolation_server(request.fingerprint, servers_by_zone)
        members = [
            member for member in accepted if member.target.server == isolation_server
        ]
        if not members:
            return Err(self._explain_no_route(pool, request, now))
        return Ok(self._make_choice(pool, request, members, ChoiceRule.ALONE, now))

    def _make_choice(
        self,
        pool: Pool,
        request: RouteRequest,
        members: list[Member],
        rule: ChoiceRule,
        now: float,
    ) -> Choice:
        member_by_target = {member.target: member for member in members}
        scores = sorted(
            (
                self._score_member(member, request, now)
                for member in member_by_target.values()
            ),
            key=lambda score: score.total_seconds,
        )
        best = scores[0]
        member = member_by_target[best.target]
        if rule is ChoiceRule.SHARE:
            rule = _refine_share_rule(best, request)
        load = self.loads.estimate(best.target, now)
        return Choice(
            target=best.target,
            server=best.target.server,
            zone=member.zone,
            rule=rule,
            cost=self._estimate_cost(request, best, load),
            scores=tuple(scores),
            spilled=member.zone != self.zone,
            pool_size=len(pool.members),
        )

    def _score_member(self, member: Member, request: RouteRequest, now: float) -> Score:
        load = self.loads.estimate(member.target, now)
        cached_blocks = 0
        if isinstance(request, ModelRequest) and request.prefix_blocks:
            cached_blocks = self.prefixes.count_cached(
                member.target.group,
                request.prefix_blocks,
                now,
            )
        return self._scorer.score(member, request, load, cached_blocks * BLOCK_TOKENS)

    def _estimate_cost(
        self,
        request: RouteRequest,
        score: Score,
        load: LoadEstimate,
    ) -> RequestCost:
        return self._scorer.cost(request, score.cached_tokens, load)

    def _check_prefix_hit(
        self, routed: RoutedRequest, cached_tokens: int, now: float
    ) -> None:
        """Doubt the index if the group had cached much less than expected."""
        expected = routed.choice.scores[0].cached_tokens
        if cached_tokens < expected / 2:
            self.prefixes.record_miss(routed.choice.target.group, now)

    def _explain_no_route(
        self,
        pool: Pool,
        request: RouteRequest,
        now: float,
    ) -> NoRoute:
        counts: dict[Exclusion, int] = {}
        for member in pool.members:
            exclusion = self._find_exclusion(pool, member, request, now)
            if exclusion is not None:
                counts[exclusion] = counts.get(exclusion, 0) + 1
        size = len(pool.members)
        if Exclusion.EJECTED in counts:
            targets = [member.target for member in pool.usable]
            wait = max(
                RETRY_DELAY_SECONDS, self.ejection.seconds_until_probe(targets, now)
            )
            return NoRoute(NoRouteReason.ALL_EJECTED, wait, size, counts)
        retry_after = RETRY_DELAY_SECONDS if Exclusion.UNAVAILABLE in counts else None
        if Exclusion.FAILED in counts:
            return NoRoute(NoRouteReason.ALL_FAILED, retry_after, size, counts)
        if Exclusion.UNAVAILABLE in counts:
            return NoRoute(NoRouteReason.ALL_UNAVAILABLE, retry_after, size, counts)
        return NoRoute(NoRouteReason.NOT_ALLOWED, None, size, counts)


def _pool_key(request: RouteRequest) -> str:
    match request:
        case ModelRequest():
            return model_key(request.model)
        case ServiceRequest():
            return service_key(request.service)


def _refine_share_rule(best: Score, request: RouteRequest) -> ChoiceRule:
    if isinstance(request, ModelRequest):
        if request.resume_group and best.target.group == request.resume_group:
            return ChoiceRule.RESUMED
        if best.cached_tokens > 0:
            return ChoiceRule.PREFIX
    return ChoiceRule.SHARE
