"""coordination: the expected cost of a request in seconds of group time.

Requests differ by a factor of a hundred, so a count of requests says little about load.
The prompt's length is known; the output's length is learned per account and model.
"""

from array import array
from collections import OrderedDict
from dataclasses import dataclass

from lacewingcleat.load_view import RequestCost

MAX_HISTORIES = 8192
"""Histories kept; 5,600 accounts use one or two of 37 models each."""

PRIOR_OUTPUT_TOKENS = 256.0
PRIOR_WEIGHT = 4.0
"""Observations as which the model's history counts for a new account."""

PRIOR_MAX_OBSERVATIONS = 16.0
"""Own observations after which the model's history no longer counts; a prior that
stays would overrate short outputs tenfold, as lengths differ by a factor of a hundred.
"""

MAX_HISTORY_WEIGHT = 64.0
"""Observations after which older ones fade, so that the estimate follows a change."""

BUCKET_COUNT = 16
"""Bucket b counts outputs of 2**b to 2**(b+1) tokens; the last one is open."""

DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
DEFAULT_STEP_SECONDS = 0.025
DEFAULT_CAPACITY = 64


@dataclass(frozen=True, slots=True)
class GroupRates:
    """Hold the rates of a group; zeros are replaced by defaults."""

    prefill_tokens_per_second: float = 0.0
    step_seconds: float = 0.0
    capacity: int = 0


class CostModel:
    """Estimate costs and learn the length of outputs, in bounded memory."""

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

        Few observations of an account are completed by those of all accounts, and
        these by a prior.

        :param max_tokens: the most tokens that the caller accepts, 0 if not stated.
        """
        limit = float(max_tokens) if max_tokens > 0 else float("inf")
        estimate = min(PRIOR_OUTPUT_TOKENS, limit)
        for key in (("", model), (account, model)):
            histogram = self._histogram_by_key.get(key)
            if histogram is not None:
                estimate = _blend_with_prior(histogram, limit, estimate)
        return estimate

    def record_output(self, account: str, model: str, output_tokens: int) -> None:
        """Learn from a completed request."""
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

        A decoding request occupies one of `capacity` slots, so it costs that share of
        the group's time.

        :param cached_tokens: leading part of the prompt that needs no prefill.
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
        """Return the number of histories."""
        return len(self._histogram_by_key)


def _blend_with_prior(histogram: "array[float]", limit: float, prior: float) -> float:
    weight = PRIOR_WEIGHT * max(0.0, 1.0 - sum(histogram) / PRIOR_MAX_OBSERVATIONS)
    total = weight * prior
    for bucket, count in enumerate(histogram):
        total += count * min(limit, 1.5 * 2.0**bucket)
        weight += count
    return total / weight
