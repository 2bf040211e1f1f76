"""coordination: which targets of a pool are compared for a request.

One is due by its share of the work. Those that hold the prompt's prefix, the session's
KV cache or the adapter are added, and one of other zones when the own zone is busy.
"""

from random import Random

from lacewingcleat.load_view import LoadView
from lacewingcleat.outlier_ejection import OutlierEjection
from lacewingcleat.prefix_affinity import PrefixIndex
from lacewingcleat.routing_choice import (
    Exclusion,
    ModelRequest,
    RouteRequest,
    ServiceRequest,
)
from lacewingcleat.routing_pools import Member, Pool

MAX_PRELOADED_CANDIDATES = 2
MAX_PREFIX_CANDIDATES = 1
"""More holders raise the cached share a little, and the unevenness more."""


SPILL_OVER_WAIT_SECONDS = 0.1
"""Wait in the own zone above which other zones are considered."""

SPILL_OVER_UTILISATION = 0.9

AFFINITY_LOAD_FACTOR = 1.25
"""Load above the pool's mean up to which a cached prefix may attract requests."""

AFFINITY_BASE_UTILISATION = 0.1
"""Use of slots that is always allowed, so that an idle pool uses its caches."""

PROBE_SHARE = 0.1
"""Share of requests that probe while a target of the pool waits for a probe."""


class CandidateFinder:
    """Find the candidates for a request."""

    __slots__ = ("_ejection", "_loads", "_prefixes")

    def __init__(
        self,
        loads: LoadView,
        prefixes: PrefixIndex,
        ejection: OutlierEjection,
    ) -> None:
        self._loads = loads
        self._prefixes = prefixes
        self._ejection = ejection

    def pick_probe(
        self,
        pool: Pool,
        request: RouteRequest,
        now: float,
        rng: Random,
    ) -> Member | None:
        """Return a target to probe; a call that must not be repeated is no probe."""
        probing = pool.local.probing + pool.remote.probing
        if not probing or request.isolated:
            return None
        if isinstance(request, ServiceRequest) and not request.idempotent:
            return None
        if rng.random() >= PROBE_SHARE:
            return None
        for member in probing:
            admitted = self._ejection.may_probe(member.target, now)
            if admitted and accepts(member, request):
                return member
        return None

    def find_candidates(
        self,
        pool: Pool,
        request: RouteRequest,
        now: float,
        rng: Random,
    ) -> list[Member]:
        """Return the candidates for a request, own zone first."""

        def accepts_member(member: Member) -> bool:
            return accepts(member, request)

        local = pool.local.select(accepts_member)
        if not isinstance(request, ModelRequest):
            return local + self._find_spill_over(pool, local, request, now, rng)
        candidates = local + self._find_cached(pool, request, now)
        if request.adapter or request.version:
            candidates += self._find_preloaded(pool, request, now, rng)
        return candidates + self._find_spill_over(pool, candidates, request, now, rng)

    def _find_spill_over(
        self,
        pool: Pool,
        candidates: list[Member],
        request: RouteRequest,
        now: float,
        rng: Random,
    ) -> list[Member]:
        """Draw from other zones if every near candidate is busy."""
        for member in candidates:
            load = self._loads.estimate(member.target, now)
            full = load.running >= SPILL_OVER_UTILISATION * load.capacity
            if load.queued_seconds <= SPILL_OVER_WAIT_SECONDS and not (
                load.has_fresh_report and full and load.capacity
            ):
                return []
        pool.refresh_remote(self._loads, self._ejection, now, rng)
        return pool.remote.select(lambda member: accepts(member, request))

    def _find_cached(
        self,
        pool: Pool,
        request: ModelRequest,
        now: float,
    ) -> list[Member]:
        """Return groups with the session or a prefix, if they are not overloaded."""
        names = [request.resume_group] if request.resume_group else []
        if request.prefix_blocks:
            holders = self._prefixes.find_longest_prefixes(
                request.prefix_blocks,
                now,
                MAX_PREFIX_CANDIDATES,
            )
            names += [holder.group for holder in holders]
        if not names:
            return []
        limit = AFFINITY_LOAD_FACTOR * pool.mean_utilisation + AFFINITY_BASE_UTILISATION
        found = []
        for member in pool.local.members:
            if member.target.group not in names or not accepts(member, request):
                continue
            load = self._loads.estimate(member.target, now)
            if load.running <= limit * (load.capacity or 1):
                found.append(member)
        return found

    def _find_preloaded(
        self,
        pool: Pool,
        request: ModelRequest,
        now: float,
        rng: Random,
    ) -> list[Member]:
        """Return groups that have already loaded the adapter and version."""
        preloaded = []
        for member in pool.local.members:
            if not accepts(member, request):
                continue
            load = self._loads.estimate(member.target, now)
            if request.adapter and request.adapter not in load.adapters:
                continue
            if request.version and request.version not in load.versions:
                continue
            preloaded.append(member)
        return rng.sample(preloaded, min(MAX_PRELOADED_CANDIDATES, len(preloaded)))


def accepts(member: Member, request: RouteRequest) -> bool:
    """Return whether a request may go to a target, whatever the target's state."""
    return find_mismatch(member, request) is None


def find_mismatch(member: Member, request: RouteRequest) -> Exclusion | None:
    """Return why a request cannot go to a target, whatever the target's state."""
    failed = Exclusion.FAILED if member.target in request.excluded else None
    group = member.group
    if group is None or not isinstance(request, ModelRequest):
        return failed
    if group.firm not in ("", request.firm):
        return Exclusion.OTHER_FIRM
    if request.version and request.version not in group.versions:
        return Exclusion.VERSION
    if request.adapter and request.adapter not in group.adapters:
        return Exclusion.ADAPTER
    return failed
