"""coordination: requests to the router and the routing decisions it returns.

A decision carries its reasons as data, so that `explain` can print them.
"""

from dataclasses import dataclass, field
from enum import Enum

from lacewingcleat.load_view import RequestCost, SentRequest, Target
from lacewingcleat.outlier_ejection import TargetState


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """Represent the properties of a model request that matter for routing.

    :param firm: firm of the account; groups of other firms are never used.
    :param version: version of the model, empty for any.
    :param adapter: adapter of the model, empty for none.
    :param prompt_tokens: prompt length in tokens.
    :param max_tokens: maximum number of output tokens, 0 if the caller sets none.
    :param prefix_blocks: chained digests of the prompt's blocks, shortest prefix first.
    :param resume_group: group that holds the KV cache of the session, empty if none.
    :param excluded: targets that have already failed this request.
    :param isolated: whether the request is a crash suspect and must run in isolation.
    :param fingerprint: request fingerprint that selects the isolation server.
    """

    model: str
    account: str
    firm: str
    prompt_tokens: int
    max_tokens: int = 0
    version: str = ""
    adapter: str = ""
    prefix_blocks: tuple[str, ...] = ()
    resume_group: str = ""
    excluded: frozenset[Target] = frozenset()
    isolated: bool = False
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Represent the properties of a plain-service call that matter for routing.

    :param idempotent: whether the call may be repeated; only then can it be a probe.
    """

    service: str
    account: str
    idempotent: bool = False
    excluded: frozenset[Target] = frozenset()
    isolated: bool = False
    fingerprint: str = ""


RouteRequest = ModelRequest | ServiceRequest


class ChoiceRule(Enum):
    """Represent the rule that decided a routing choice."""

    SHARE = "due by its share of the work"
    PREFIX = "holds the longest cached prefix"
    RESUMED = "holds the KV cache of the session"
    ALONE = "the zone's server for requests that run alone"
    PROBE = "probe of an ejected target"


class Exclusion(Enum):
    """Represent the reason why a target was not a candidate."""

    UNAVAILABLE = "server not available or leaving"
    FAILED = "has failed this request"
    EJECTED = "ejected as an outlier"
    OTHER_FIRM = "belongs to another firm"
    VERSION = "does not serve the version"
    ADAPTER = "does not serve the adapter"


@dataclass(frozen=True, slots=True)
class Score:
    """Represent the components of a target's score in seconds; the lowest total wins.

    :param loading_seconds: time to load a missing adapter or version.
    :param zone_seconds: penalty for a target outside this entry's zone.
    :param report_age: age of the load report, infinite without one.
    """

    target: Target
    wait_seconds: float
    prefill_seconds: float
    decode_seconds: float
    loading_seconds: float
    zone_seconds: float
    cached_tokens: int
    report_age: float

    @property
    def total_seconds(self) -> float:
        """Return the expected time to the last token."""
        return (
            self.wait_seconds
            + self.prefill_seconds
            + self.decode_seconds
            + self.loading_seconds
            + self.zone_seconds
        )


@dataclass(frozen=True, slots=True)
class Choice:
    """Represent the target selected for a request and the reasons.

    :param server: the target's front server; its agent receives the request.
    :param cost: estimated cost, added to the target's load when the request is sent.
    :param scores: scores of all candidates, best first.
    :param spilled: whether the target is in another zone than this entry.
    """

    target: Target
    server: str
    zone: str
    rule: ChoiceRule
    cost: RequestCost
    scores: tuple[Score, ...]
    spilled: bool
    pool_size: int

    @property
    def first_token_seconds(self) -> float:
        """Return the expected time to the first token."""
        score = self.scores[0]
        return score.total_seconds - score.decode_seconds


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """Represent a request in flight at its target.

    :param load_record: the request's record in the load view.
    :param excluded_from_checks: whether outlier detection ignores the request, because
        its missing first token was already recorded as a failure or this entry was
        paused.
    """

    choice: Choice
    request: RouteRequest
    load_record: SentRequest
    first_token_seen: bool = False
    excluded_from_checks: bool = False


class Outcome(Enum):
    """Represent how a request ended at its target."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class TargetAssessment:
    """Represent the routing assessment of one target, for `explain`."""

    target: Target
    exclusion: Exclusion | None
    state: TargetState
    score: Score


class NoRouteReason(Enum):
    """Represent the reason why a request has no target."""

    UNKNOWN_POOL = "the sheet has no such model or service"
    NOT_ALLOWED = "no group serves this firm, version or adapter"
    ALL_UNAVAILABLE = "no target is available"
    ALL_FAILED = "every available target has failed this request"
    ALL_EJECTED = "every available target is ejected"


@dataclass(frozen=True, slots=True)
class NoRoute:
    """Represent a failed routing decision.

    :param retry_after: seconds after which a retry may succeed, None if never.
    """

    reason: NoRouteReason
    retry_after: float | None
    pool_size: int
    count_by_exclusion: dict[Exclusion, int] = field(default_factory=dict)
