"""coordination: the expected cost of a request in seconds of group time.

Costs of requests differ by a factor of a hundred, so the number of requests is a poor
measure of load. The length of the prompt is known; that of the output is estimated from
earlier outputs of the same account and model.
"""

from array import array
from collections import OrderedDict
from dataclasses import dataclass

from lacewingcleat.load_view import RequestCost

MAX_HISTORIES = 8192
"""Maximum number of histories; 5,600 accounts use one or two of 37 models each."""

PRIOR_OUTPUT_TOKENS = 256.0
PRIOR_WEIGHT = 4.0
"""Number of observations that the prior counts as at first. The prior of an account is
the estimate for its model.
"""

PRIOR_MAX_OBSERVATIONS = 16.0
"""Number of observations from which on the prior no longer counts. Lengths differ by a
factor of a hundred, so a permanent prior would overestimate short outputs tenfold.
"""

MAX_HISTORY_WEIGHT = 64.0
"""Number of observations above which older ones decay, so that estimates adapt."""

BUCKET_COUNT = 16
"""Bucket b counts outputs of 2**b to 2**(b+1) tokens; the last has no upper bound."""

DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
DEFAULT_STEP_SECONDS = 0.025
DEFAULT_CAPACITY = 64


@dataclass(frozen=True, slots=True)
class GroupRates:
    """Represent the processing rates of a group; zeros are replaced by defaults."""

    prefill_tokens_per_second: float = 0.0
    step_seconds: float = 0.0
    capacity: int = 0


class CostModel:
    """Estimate costs of requests from observed output lengths, in bounded memory."""

    __slots__ = ("_histogram_by_key", "_max_histories")

    def __init__(self, max_histories: int = MAX_HISTORIES) -> None:
        self._max_histories = max_histories
        self._histogram_by_key: OrderedDict[tuple[str, str], array[float]] = (
            OrderedDict()
        )

    def expected_output_tokens(
        self,
        account: str,
        model: str,
        max_tokens: int = 0,
    ) -> float:
        """Return the expected output length.

        The history of the account is blended with that of all accounts of the model,
        and this one with a constant prior, as long as there are few observations.

        :param max_tokens: limit that the caller set for the output, 0 for none.
        """
        limit = float(max_tokens) if max_tokens > 0 else float("inf")
        estimate = min(PRIOR_OUTPUT_TOKENS, limit)
        for key in (("", model), (account, model)):
            histogram = self._histogram_by_key.get(key)
            if histogram is not None:
                estimate = _blend_with_prior(histogram, limit, estimate)
        return estimate

    def record_output(self, account: str, model: str, output_tokens: int) -> None:
        """Record the output length of a completed request."""
        bucket = min(BUCKET_COUNT - 1, max(1, output_tokens).bit_length() - 1)
        for key in (("", model), (account, model)):
            histogram = self._histogram_by_key.get(key)
            if histogram is None:
                histogram = self._histogram_by_key[key] = array(
                    "f", [0.0] * BUCKET_COUNT
                )
            self._histogram_by_key.move_to_end(key)
            total = sum(histogram)
            if total >= MAX_HISTORY_WEIGHT:
                decay = (MAX_HISTORY_WEIGHT - 1.0) / total
                for index in range(BUCKET_COUNT):
                    histogram[index] *= decay
            histogram[bucket] += 1.0
        while len(self._histogram_by_key) > self._max_histories:
            self._histogram_by_key.popitem(last=False)

    def estimate(
        self,
        prompt_tokens: int,
        cached_tokens: float,
        output_tokens: float,
        rates: GroupRates,
    ) -> RequestCost:
        """Return the cost of a request at a group.

        A decoding request occupies one of `capacity` slots, so it is charged that
        fraction of the group's time.

        :param cached_tokens: tokens at the start of the prompt that need no prefill.
        """
        prefill_rate = (
            rates.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND
        )
        step_seconds = rates.step_seconds or DEFAULT_STEP_SECONDS
        capacity = rates.capacity or DEFAULT_CAPACITY
        uncached = max(0.0, prompt_tokens - cached_tokens)
        return RequestCost(
            uncached / prefill_rate,
            output_tokens * step_seconds / capacity,
        )

    def __len__(self) -> int:
        """Return the number of output length histories."""
        return len(self._histogram_by_key)


def _blend_with_prior(histogram: "array[float]", limit: float, prior: float) -> float:
    weight = PRIOR_WEIGHT * max(0.0, 1.0 - sum(histogram) / PRIOR_MAX_OBSERVATIONS)
    total = weight * prior
    for bucket, count in enumerate(histogram):
        total += count * min(limit, 1.5 * 2.0**bucket)
        weight += count
    return total / weight
