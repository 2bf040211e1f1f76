"""coordination: watch sent requests for missing first tokens, and judge targets.

A stalled target ends no request, so its failures show only as first tokens that stay
out.
"""

from collections.abc import Collection

from lacewingcleat.load_view import STALE_SECONDS, LoadView
from lacewingcleat.outlier_ejection import OutlierEjection, OutlierEvent
from lacewingcleat.routing_choice import Choice, RoutedRequest
from lacewingcleat.routing_pools import Member, Pool

MAX_CHECKED_TARGETS = 512
"""Targets judged in one tick, a few milliseconds of work."""

REMOTE_CHECK_SECONDS = 30.0
"""Time for which other zones' targets are judged after the last spill-over."""

OVERDUE_SECONDS = 2.0
OVERDUE_RATIO = 5.0
"""A first token that is this late, absolutely and by ratio, counts as a failure."""

DEFAULT_REPORT_AGE_SECONDS = 2.0
"""Age that is assumed where there is no report."""


class RoutingHealth:
    """Follow own requests in flight and judge the targets in use."""

    __slots__ = ("_ejection", "_in_flight", "_loads", "_unchecked_pools")

    def __init__(self, loads: LoadView, ejection: OutlierEjection) -> None:
        self._loads = loads
        self._ejection = ejection
        self._in_flight: dict[int, RoutedRequest] = {}
        self._unchecked_pools: list[Pool] = []

    def track(self, routed: RoutedRequest) -> None:
        """Follow a request."""
        self._in_flight[id(routed)] = routed

    def untrack(self, routed: RoutedRequest) -> bool:
        """Stop following a request and return whether it was followed."""
        return self._in_flight.pop(id(routed), None) is not None

    def exclude_in_flight(self) -> None:
        """Blame no target for requests that were in flight during an own pause."""
        for routed in self._in_flight.values():
            routed.excluded_from_checks = True

    def discard_unchecked_pools(self) -> None:
        """Drop the pools that are still to be judged, because the sheet changed."""
        self._unchecked_pools = []

    def record_first_token(self, routed: RoutedRequest, now: float) -> None:
        """Count a first token once.

        The expected time allows for the age of the report, in which a healthy target's
        queue may have grown unseen. Without this, lags of 5 s cause false ejections.
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
        """Judge the targets and return ejections and returns.

        The own zone's targets are compared with each other, and so are those of other
        zones while they are in use, so the cap holds for each side. Large sheets take
        several calls, so that one call does not hold up the loop.
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
    """Return the time in which a queue may have grown unseen."""
    age = choice.scores[0].report_age
    return age if age <= STALE_SECONDS else DEFAULT_REPORT_AGE_SECONDS
