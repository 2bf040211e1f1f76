"""coordination: the expected time of a request at a target.

The score is the expected time to the first token plus the expected output tokens times
the expected time per token, at the step time of the group's slowest rank.
"""

from lacewingcleat.load_view import LoadEstimate, RequestCost
from lacewingcleat.request_cost import (
    DEFAULT_CAPACITY,
    DEFAULT_STEP_SECONDS,
    CostModel,
    GroupRates,
)
from lacewingcleat.routing_choice import ModelRequest, RouteRequest, Score
from lacewingcleat.routing_pools import Member

SAME_REGION_SECONDS = 0.05
OTHER_REGION_SECONDS = 0.3
"""Cost of another zone: latency, less certain load, and traffic between zones."""

ADAPTER_LOAD_SECONDS = 1.0
VERSION_LOAD_SECONDS = 30.0
"""Typical times to load from the rate-limited weight store."""

FULL_BATCH_STEP_GROWTH = 0.5
"""Growth of the step time from an empty to a full batch, as a share."""

DEFAULT_SERVICE_SECONDS = 0.05


class Scorer:
    """Compute scores and costs of requests at targets.

    :param zone: this entry's availability zone.
    :param costs: expected output lengths.
    """

    __slots__ = ("_costs", "region", "zone")

    def __init__(self, zone: str, costs: CostModel) -> None:
        self.zone = zone
        self.region = zone
        self._costs = costs

    def score(
        self,
        member: Member,
        request: RouteRequest,
        load: LoadEstimate,
        cached_tokens: int,
    ) -> Score:
        """Return the parts of the expected time of a request at a member."""
        prefill_seconds = 0.0
        loading_seconds = 0.0
        if isinstance(request, ModelRequest):
            if request.resume_group == member.target.group:
                cached_tokens = request.prompt_tokens
            cached_tokens = min(cached_tokens, request.prompt_tokens)
            cost = self.cost(request, cached_tokens, load)
            prefill_seconds = cost.prefill_seconds
            loading_seconds = _loading_seconds(request, load)
            tokens = self._output_tokens(request)
            service_seconds = tokens * _step_seconds(load)
        else:
            service_seconds = load.step_seconds or DEFAULT_SERVICE_SECONDS
        return Score(
            target=member.target,
            wait_seconds=max(
                load.queued_seconds, _slot_wait_seconds(load, service_seconds)
            ),
            prefill_seconds=prefill_seconds,
            decode_seconds=service_seconds,
            loading_seconds=loading_seconds,
            zone_seconds=self._zone_seconds(member),
            cached_tokens=cached_tokens,
            report_age=load.report_age,
        )

    def cost(
        self,
        request: RouteRequest,
        cached_tokens: int,
        load: LoadEstimate,
    ) -> RequestCost:
        """Return the cost of a request in seconds of the target's time."""
        if not isinstance(request, ModelRequest):
            seconds = load.step_seconds or DEFAULT_SERVICE_SECONDS
            return RequestCost(0.0, seconds / max(1, load.capacity))
        rates = GroupRates(
            load.prefill_tokens_per_second,
            load.step_seconds,
            load.capacity,
        )
        tokens = self._output_tokens(request)
        return self._costs.estimate(request.prompt_tokens, cached_tokens, tokens, rates)

    def _output_tokens(self, request: ModelRequest) -> float:
        return self._costs.expected_output_tokens(
            request.account,
            request.model,
            request.max_tokens,
        )

    def _zone_seconds(self, member: Member) -> float:
        if member.zone == self.zone:
            return 0.0
        if member.region == self.region:
            return SAME_REGION_SECONDS
        return OTHER_REGION_SECONDS


def _step_seconds(load: LoadEstimate) -> float:
    """Return the step time expected with the requests sent since the report."""
    step_seconds = load.step_seconds or DEFAULT_STEP_SECONDS
    capacity = load.capacity or DEFAULT_CAPACITY
    added = load.running - load.reported_running
    return step_seconds * max(0.5, 1.0 + FULL_BATCH_STEP_GROWTH * added / capacity)


def _slot_wait_seconds(load: LoadEstimate, service_seconds: float) -> float:
    """Return the expected wait for a slot when all are taken."""
    if load.capacity <= 0 or load.running < load.capacity:
        return 0.0
    queue_position = load.running + 1 - load.capacity
    return queue_position * service_seconds / load.capacity


def _loading_seconds(request: ModelRequest, load: LoadEstimate) -> float:
    if not load.has_fresh_report:
        return 0.0
    seconds = 0.0
    if request.adapter and request.adapter not in load.adapters:
        seconds += ADAPTER_LOAD_SECONDS
    if request.version and request.version not in load.versions:
        seconds += VERSION_LOAD_SECONDS
    return seconds
