"""coordination: take targets out of use that fail or are slow compared with others.

Each target is compared with the median of its pool, so that a general slowdown ejects
nothing. At most a third of a pool is ejected: with more outliers, load is the likelier
cause, and ejecting would make it worse. An ejected target returns by probes and a slow
start; repeated ejections last longer.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import median

from lacewingcleat.load_view import Target

MAX_EJECTED_SHARE = 1.0 / 3.0
SLOW_START_SECONDS = 30.0
SLOW_START_MIN_WEIGHT = 0.1
"""Share of its weight with which a target starts and with which it is probed."""

FIRST_EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 300.0
EJECTION_COUNT_DECAY_SECONDS = 300.0
"""Time in use after which one earlier ejection no longer lengthens the next."""

REQUIRED_PROBES = 3
PROBE_TIMEOUT_SECONDS = 10.0

STATS_HALF_LIFE_SECONDS = 10.0
MIN_SAMPLES = 5.0
CONSECUTIVE_FAILURE_LIMIT = 5
MIN_ERROR_SHARE = 0.3
ERROR_SHARE_FACTOR = 3.0
LATENCY_FACTOR = 3.0
STEP_TIME_FACTOR = 2.0
SLOW_STEP_SECONDS = 1.0
"""Time for which a step time must stay high, since one report may be a hiccup."""

MIN_POOL_SIZE = 3
"""Smallest pool of which a third is one target."""


class EjectionCause(Enum):
    """Say what made a target an outlier."""

    ERRORS = "errors"
    LATENCY = "first-token latency"
    STEP_TIME = "step time"
    PROBE = "failed probe"


class TargetState(Enum):
    """Say whether and how a target is used."""

    ACTIVE = "in use"
    SLOW_START = "slow start"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class Ejected:
    """Report an ejection.

    :param value: figure of the target, for its cause.
    :param pool_value: median of the pool.
    :param seconds: time until it is probed.
    """

    target: Target
    cause: EjectionCause
    value: float
    pool_value: float
    seconds: float

    def __str__(self) -> str:
        """Format the ejection for the log."""
        return (
            f"ejected {self.target.group} at {self.target.server} for "
            f"{self.cause.value} {self.value:.3g}, pool {self.pool_value:.3g}, "
            f"probe in {self.seconds:.0f} s"
        )


@dataclass(frozen=True, slots=True)
class Reinstated:
    """Report that a target is in use again, with a slow start.

    :param over_cap: whether it returns because too much of its pool was ejected.
    """

    target: Target
    over_cap: bool = False

    def __str__(self) -> str:
        """Format the return for the log."""
        reason = (
            "too much of its pool was ejected" if self.over_cap else "probes passed"
        )
        return f"{self.target.group} at {self.target.server} is in use, {reason}"


OutlierEvent = Ejected | Reinstated


@dataclass(slots=True)
class _TargetStats:
    """Hold the statistics and the state of one target."""

    successes: float = 0.0
    failures: float = 0.0
    stats_decayed_at: float = 0.0
    consecutive_failures: int = 0
    latency_ratio: float = 1.0
    latency_samples: float = 0.0
    step_seconds: float = 0.0
    slow_since: float | None = None
    slow_start_at: float = float("-inf")
    ejected_at: float | None = None
    ejected_until: float = 0.0
    ejection_count: int = 0
    ejection_count_decayed_at: float = 0.0
    probes_passed: int = 0
    probe_sent_at: float = float("-inf")


class OutlierEjection:
    """Decide which targets are in use and with which share of their weight."""

    __slots__ = ("_pending_events", "_stats_by_target")

    def __init__(self) -> None:
        self._stats_by_target: dict[Target, _TargetStats] = {}
        self._pending_events: list[OutlierEvent] = []

    def record_joined(self, target: Target, now: float) -> None:
        """Begin a slow start, because the target is new or its server has returned.

        An ejection goes on: a server that misses heartbeats is not healthy for that.
        """
        stats = self._get(target, now)
        if stats.ejected_at is None:
            _begin_slow_start(stats, now)

    def record_result(
        self,
        target: Target,
        success: bool,
        sent_at: float,
        now: float,
    ) -> None:
        """Count the end of a request; only faults of the target are failures.

        :param sent_at: a request sent before the ejection ended is not a probe.
        """
        stats = self._get(target, now)
        _decay_stats(stats, now)
        if success:
            stats.successes += 1.0
            stats.consecutive_failures = 0
        else:
            stats.failures += 1.0
            stats.consecutive_failures += 1
        if stats.ejected_at is not None and sent_at >= stats.ejected_until:
            self._record_probe_result(target, stats, success, now)

    def record_first_token(
        self,
        target: Target,
        seconds: float,
        expected_seconds: float,
        now: float,
    ) -> None:
        """Count a first-token time as a ratio, since prompts differ in length."""
        stats = self._get(target, now)
        _decay_stats(stats, now)
        ratio = seconds / max(expected_seconds, 0.001)
        stats.latency_samples += 1.0
        smoothing = max(0.1, 1.0 / stats.latency_samples)
        stats.latency_ratio += smoothing * (ratio - stats.latency_ratio)

    def record_step_time(self, target: Target, seconds: float, now: float) -> None:
        """Take over the step time from a report."""
        self._get(target, now).step_seconds = seconds

    def record_probe(self, target: Target, now: float) -> None:
        """Note that a request was sent as a probe."""
        self._get(target, now).probe_sent_at = now

    def state(self, target: Target, now: float) -> TargetState:
        """Return how a target is used now."""
        stats = self._stats_by_target.get(target)
        if stats is None:
            return TargetState.ACTIVE
        if stats.ejected_at is not None:
            if now < stats.ejected_until:
                return TargetState.EJECTED
            return TargetState.PROBING
        if now - stats.slow_start_at < SLOW_START_SECONDS:
            return TargetState.SLOW_START
        return TargetState.ACTIVE

    def may_probe(self, target: Target, now: float) -> bool:
        """Return whether a probe may be sent: one at a time, after the ejection."""
        if self.state(target, now) is not TargetState.PROBING:
            return False
        stats = self._stats_by_target[target]
        return now - stats.probe_sent_at > PROBE_TIMEOUT_SECONDS

    def weight(self, target: Target, now: float) -> float:
        """Return the share of its weight that a target gets, 0 if it is ejected."""
        match self.state(target, now):
            case TargetState.ACTIVE:
                return 1.0
            case TargetState.EJECTED:
                return 0.0
            case TargetState.PROBING:
                return SLOW_START_MIN_WEIGHT if self.may_probe(target, now) else 0.0
            case TargetState.SLOW_START:
                started_at = self._stats_by_target[target].slow_start_at
                share = max(0.0, now - started_at) / SLOW_START_SECONDS
                return max(SLOW_START_MIN_WEIGHT, share)

    def seconds_until_probe(self, pool: Sequence[Target], now: float) -> float:
        """Return the seconds until the first ejected target of a pool is probed."""
        waits = [
            stats.ejected_until - now
            for stats in map(self._stats_by_target.get, pool)
            if stats is not None and stats.ejected_at is not None
        ]
        return max(0.0, min(waits, default=0.0))

    def evaluate(self, pool: Sequence[Target], now: float) -> list[OutlierEvent]:
        """Eject outliers of a pool within the cap and return what has changed.

        Call it about once a second with the pool's available targets. When the pool
        has shrunk so that the cap is exceeded, those ejected first return.
        """
        events, self._pending_events = self._pending_events, []
        stats_by_target = {target: self._get(target, now) for target in pool}
        ejected = [
            target
            for target, record in stats_by_target.items()
            if record.ejected_at is not None
        ]
        cap = int(len(stats_by_target) * MAX_EJECTED_SHARE)
        ejected.sort(key=lambda target: stats_by_target[target].ejected_at or 0.0)
        while len(ejected) > cap:
            target = ejected.pop(0)
            _begin_slow_start(stats_by_target[target], now)
            events.append(Reinstated(target, over_cap=True))
        for stats in stats_by_target.values():
            _decay_stats(stats, now)
            _decay_ejection_count(stats, now)
            _postpone_probe(stats, now)
        if len(stats_by_target) < MIN_POOL_SIZE:
            return events
        outliers = sorted(
            self._find_outliers(stats_by_target, now),
            key=lambda outlier: outlier.value / max(outlier.pool_value, 1e-9),
            reverse=True,
        )
        for outlier in outliers[: cap - len(ejected)]:
            seconds = _eject(stats_by_target[outlier.target], now)
            events.append(
                Ejected(
                    outlier.target,
                    outlier.cause,
                    outlier.value,
                    outlier.pool_value,
                    seconds,
                ),
            )
        return events

    def retain(self, targets: Sequence[Target]) -> None:
        """Forget all other targets, because the sheet no longer has them."""
        retained = set(targets)
        for target in [name for name in self._stats_by_target if name not in retained]:
            del self._stats_by_target[target]

    def reset_stats(self, now: float) -> None:
        """Forget statistics from before a pause of this process.

        Its own pause made requests look slow; ejections stay until their time is over.
        """
        for stats in self._stats_by_target.values():
            stats.successes = stats.failures = 0.0
            stats.consecutive_failures = 0
            stats.latency_ratio = 1.0
            stats.latency_samples = 0.0
            stats.step_seconds = 0.0
            stats.slow_since = None
            stats.stats_decayed_at = now

    def _get(self, target: Target, now: float) -> _TargetStats:
        stats = self._stats_by_target.get(target)
        if stats is None:
            stats = _TargetStats(stats_decayed_at=now, ejection_count_decayed_at=now)
            self._stats_by_target[target] = stats
        return stats

    def _record_probe_result(
        self,
        target: Target,
        stats: _TargetStats,
        success: bool,
        now: float,
    ) -> None:
        stats.probe_sent_at = float("-inf")
        if not success:
            seconds = _eject(stats, now)
            self._pending_events.append(
                Ejected(target, EjectionCause.PROBE, 1.0, 0.0, seconds)
            )
            return
        stats.probes_passed += 1
        if stats.probes_passed >= REQUIRED_PROBES:
            _begin_slow_start(stats, now)
            self._pending_events.append(Reinstated(target))

    def _find_outliers(
        self,
        stats_by_target: dict[Target, _TargetStats],
        now: float,
    ) -> list[Ejected]:
        pool_errors = _median(
            [_error_share(record) for record in stats_by_target.values()]
        )
        pool_latency = _median(
            [record.latency_ratio for record in stats_by_target.values()]
        )
        steps = [
            record.step_seconds
            for record in stats_by_target.values()
            if record.step_seconds > 0.0
        ]
        pool_step = _median(steps) if len(steps) >= MIN_POOL_SIZE else 0.0
        outliers = []
        for target, stats in stats_by_target.items():
            _update_slow_since(stats, pool_step, now)
            if stats.ejected_at is not None:
                continue
            outlier = _check_target(
                target, stats, pool_errors, pool_latency, pool_step, now
            )
            if outlier is not None:
                outliers.append(outlier)
        return outliers


def _check_target(
    target: Target,
    stats: _TargetStats,
    pool_errors: float,
    pool_latency: float,
    pool_step: float,
    now: float,
) -> Ejected | None:
    errors = _error_share(stats)
    failing = stats.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
    has_enough_samples = stats.successes + stats.failures >= MIN_SAMPLES
    has_high_errors = errors >= max(MIN_ERROR_SHARE, ERROR_SHARE_FACTOR * pool_errors)
    if (has_enough_samples and has_high_errors) or (failing and errors > pool_errors):
        return Ejected(target, EjectionCause.ERRORS, errors, pool_errors, 0.0)
    if stats.slow_since is not None and now - stats.slow_since >= SLOW_STEP_SECONDS:
        return Ejected(
            target, EjectionCause.STEP_TIME, stats.step_seconds, pool_step, 0.0
        )
    limit = LATENCY_FACTOR * max(1.0, pool_latency)
    if stats.latency_samples >= MIN_SAMPLES and stats.latency_ratio >= limit:
        ratio = stats.latency_ratio
        return Ejected(target, EjectionCause.LATENCY, ratio, pool_latency, 0.0)
    return None


def _update_slow_since(stats: _TargetStats, pool_step: float, now: float) -> None:
    if pool_step <= 0.0 or stats.step_seconds < STEP_TIME_FACTOR * pool_step:
        stats.slow_since = None
    elif stats.slow_since is None:
        stats.slow_since = now


def _error_share(stats: _TargetStats) -> float:
    total = stats.successes + stats.failures
    return stats.failures / total if total > 0.0 else 0.0


def _median(values: list[float]) -> float:
    return median(values) if values else 0.0


def _decay_stats(stats: _TargetStats, now: float) -> None:
    elapsed = now - stats.stats_decayed_at
    if elapsed <= 0.0:
        return
    factor = 0.5 ** (elapsed / STATS_HALF_LIFE_SECONDS)
    stats.successes *= factor
    stats.failures *= factor
    stats.latency_samples *= factor
    stats.stats_decayed_at = now


def _decay_ejection_count(stats: _TargetStats, now: float) -> None:
    if stats.ejected_at is not None:
        stats.ejection_count_decayed_at = now
    elif (
        stats.ejection_count
        and now - stats.ejection_count_decayed_at >= EJECTION_COUNT_DECAY_SECONDS
    ):
        stats.ejection_count -= 1
        stats.ejection_count_decayed_at = now


def _postpone_probe(stats: _TargetStats, now: float) -> None:
    """Spare requests a probe while the reports still show a slow target."""
    if stats.ejected_at is not None and stats.slow_since is not None:
        stats.ejected_until = max(stats.ejected_until, now + SLOW_STEP_SECONDS)


def _eject(stats: _TargetStats, now: float) -> float:
    seconds = min(
        MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**stats.ejection_count
    )
    stats.ejection_count += 1
    stats.ejected_at = now
    stats.ejected_until = now + seconds
    stats.probes_passed = 0
    stats.probe_sent_at = float("-inf")
    return seconds


def _begin_slow_start(stats: _TargetStats, now: float) -> None:
    stats.ejected_at = None
    stats.slow_start_at = now
    stats.ejection_count_decayed_at = now
    stats.successes = stats.failures = 0.0
    stats.consecutive_failures = 0
    stats.latency_ratio = 1.0
    stats.latency_samples = 0.0
    stats.slow_since = None
