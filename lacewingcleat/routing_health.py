"""coordination: detect overdue first tokens and check targets for outliers.

A stalled target completes no request, so its failures show only as first tokens that
do not arrive.
"""

from collections.abc import Collection

from lacewingcleat.load_view import STALE_SECONDS, LoadView
from lacewingcleat.outlier_ejection import OutlierEjection, OutlierEvent
from lacewingcleat.routing_choice import Choice, RoutedRequest
from lacewingcleat.routing_pools import Member, Pool

MAX_CHECKED_TARGETS = 512
"""Targets checked per tick, a few milliseconds of work; whole pools are checked."""

REMOTE_CHECK_SECONDS = 30.0
"""Time for which targets of other zones are checked after the last spill-over."""

OVERDUE_SECONDS = 2.0
OVERDUE_RATIO = 5.0
"""A first token counts as a failure if it exceeds both this time and this multiple of
the expected time."""

DEFAULT_REPORT_AGE_SECONDS = 2.0
"""Report age assumed for a target without a recent report."""


class RoutingHealth:
    """Track this entry's requests in flight and check the targets in use."""

    __slots__ = ("_ejection", "_in_flight", "_loads", "_unchecked_pools")

    def __init__(self, loads: LoadView, ejection: OutlierEjection) -> None:
        self._loads = loads
        self._ejection = ejection
        self._in_flight: dict[int, RoutedRequest] = {}
        self._unchecked_pools: list[Pool] = []

    def track(self, routed: RoutedRequest) -> None:
        """Start tracking a request."""
        self._in_flight[id(routed)] = routed

    def untrack(self, routed: RoutedRequest) -> bool:
        """Stop tracking a request and return whether it was tracked."""
        return self._in_flight.pop(id(routed), None) is not None

    def exclude_in_flight(self) -> None:
        """Exclude requests in flight during a pause of this process from detection."""
        for routed in self._in_flight.values():
            routed.excluded_from_checks = True

    def discard_unchecked_pools(self) -> None:
        """Discard the pools still to be checked, because the sheet changed."""
        self._unchecked_pools = []

    def record_first_token(self, routed: RoutedRequest, now: float) -> None:
        """Record the first token of a request; repeated calls are ignored.

        The age of the load report is added to the expected time, because a healthy
        target's queue may have grown since. Without this allowance, reports that lag by
        5 s cause false ejections.
        """
        if routed.first_token_seen or routed.excluded_from_checks:
            return
        routed.first_token_seen = True
        self._ejection.record_first_token(
            routed.choice.target,
            now - routed.load_record.sent_at,
            routed.choice.first_token_seconds + _report_age_seconds(routed.choice),
            now,
        )

    def check_targets(self, pools: Collection[Pool], now: float) -> list[OutlierEvent]:
        """Check targets for outliers and return ejections and readmissions.

        Targets of the local zone are compared with each other, and those of other zones
        separately while in use, so the limit on ejections applies to each side. Large
        sheets are checked over several calls, to avoid blocking the event loop.
        """
        self._record_overdue(now)
        if not self._unchecked_pools:
            self._unchecked_pools = list(pools)
        events: list[OutlierEvent] = []
        checked_count = 0
        while self._unchecked_pools and checked_count < MAX_CHECKED_TARGETS:
            pool = self._unchecked_pools.pop()
            localities = [pool.usable_local]
            if now - pool.remote_used_at < REMOTE_CHECK_SECONDS:
                localities.append(pool.usable_remote)
            for members in localities:
                checked_count += len(members)
                locality_events = self._check_members(members, now)
                if locality_events:
                    pool.expire_shares()
                events += locality_events
        return events

    def _check_members(self, members: list[Member], now: float) -> list[OutlierEvent]:
        targets = [member.target for member in members]
        for target in targets:
            load = self._loads.estimate(target, now)
            step_seconds = load.step_seconds if load.has_fresh_report else 0.0
            self._ejection.record_step_time(target, step_seconds, now)
        return self._ejection.evaluate(targets, now)

    def _record_overdue(self, now: float) -> None:
        for routed in self._in_flight.values():
            if routed.first_token_seen or routed.excluded_from_checks:
                continue
            expected = routed.choice.first_token_seconds
            limit = max(OVERDUE_SECONDS, OVERDUE_RATIO * expected)
            limit += _report_age_seconds(routed.choice)
            sent_at = routed.load_record.sent_at
            if now - sent_at > limit:
                routed.excluded_from_checks = True
                target = routed.choice.target
                self._ejection.record_result(target, False, sent_at, now)


def _report_age_seconds(choice: Choice) -> float:
    """Return the report age, during which a queue may have grown unnoticed."""
    age = choice.scores[0].report_age
    return age if age <= STALE_SECONDS else DEFAULT_REPORT_AGE_SECONDS
