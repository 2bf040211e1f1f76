"""coordination: what is asked of the router and what it answers.

The answer carries its reasons as data, so that `explain` can print them.
"""

from dataclasses import dataclass, field
from enum import Enum

from lacewingcleat.load_view import RequestCost, SentRequest, Target
from lacewingcleat.outlier_ejection import TargetState


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """Describe a request to a model, as far as routing needs it.

    :param firm: firm of the account; groups of other firms are never used.
    :param version: version of the model, empty for any.
    :param adapter: adapter of the model, empty for none.
    :param prompt_tokens: length of the prompt.
    :param max_tokens: the most output tokens that the caller accepts, 0 if not stated.
    :param prefix_blocks: chained digests of the prompt's blocks, longest prefix last.
    :param resume_group: group that holds the KV cache of the session, empty if none.
    :param excluded: targets that have already failed this request.
    :param isolated: whether the request may only run alone, as a crash suspect.
    :param fingerprint: decides which server runs it alone.
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
    """Describe a call of a plain service, as far as routing needs it.

    :param idempotent: whether it may be repeated; only such calls serve as probes.
    """

    service: str
    account: str
    idempotent: bool = False
    excluded: frozenset[Target] = frozenset()
    isolated: bool = False
    fingerprint: str = ""


RouteRequest = ModelRequest | ServiceRequest


class ChoiceRule(Enum):
    """Say which rule decided a choice."""

    SHARE = "due by its share of the work"
    PREFIX = "holds the longest cached prefix"
    RESUMED = "holds the KV cache of the session"
    ALONE = "the zone's server for requests that run alone"
    PROBE = "probe of an ejected target"


class Exclusion(Enum):
    """Say why a target of the pool was not a candidate."""

    UNAVAILABLE = "server not available or leaving"
    FAILED = "has failed this request"
    EJECTED = "ejected as an outlier"
    OTHER_FIRM = "belongs to another firm"
    VERSION = "does not serve the version"
    ADAPTER = "does not serve the adapter"


@dataclass(frozen=True, slots=True)
class Score:
    """Hold the parts of a target's score in seconds; the lowest total wins.

    :param loading_seconds: time to load a missing adapter or version.
    :param zone_seconds: distance, and the preference for this entry's zone.
    :param report_age: age of the report, infinite if there is none.
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
        """Return the expected time until the last token."""
        return (
            self.wait_seconds
            + self.prefill_seconds
            + self.decode_seconds
            + self.loading_seconds
            + self.zone_seconds
        )


@dataclass(frozen=True, slots=True)
class Choice:
    """Name the target for a request and the reasons.

    :param server: the target's front server, to whose agent the request goes.
    :param cost: estimated cost, to be counted when the request is sent.
    :param scores: all candidates that were compared, the chosen one first.
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
    """Follow a request from its send to its end.

    :param load_record: its part in the load view.
    :param excluded_from_checks: whether its missing first token was counted as a failure.
    """

    choice: Choice
    request: RouteRequest
    load_record: SentRequest
    first_token_seen: bool = False
    excluded_from_checks: bool = False


class Outcome(Enum):
    """Say how a request ended at its target."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class TargetAssessment:
    """Say for one target of a pool whether and how it would be considered."""

    target: Target
    exclusion: Exclusion | None
    state: TargetState
    score: Score


class NoRouteReason(Enum):
    """Say why there is no target."""

    UNKNOWN_POOL = "the sheet has no such model or service"
    NOT_ALLOWED = "no group serves this firm, version or adapter"
    ALL_UNAVAILABLE = "no target is available"
    ALL_FAILED = "every available target has failed this request"
    ALL_EJECTED = "every available target is ejected"


@dataclass(frozen=True, slots=True)
class NoRoute:
    """Say why a request has no target.

    :param retry_after: seconds after which a retry makes sense, None if never.
    """

    reason: NoRouteReason
    retry_after: float | None
    pool_size: int
    count_by_exclusion: dict[Exclusion, int] = field(default_factory=dict)
