"""coordination: eject targets that fail or are slow compared with others.

Each target is compared with the median of its pool, so that a general slowdown ejects
nothing. At most a third of a pool is ejected: with more outliers, overload is the more
likely cause, and ejections would make it worse. An ejected target returns to rotation
after successful probes, with a slow start; repeated ejections last longer.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import median

from lacewingcleat.load_view import Target

MAX_EJECTED_SHARE = 1.0 / 3.0
SLOW_START_SECONDS = 30.0
SLOW_START_FLOOR = 0.1
"""Fraction of its weight that a target has when a slow start begins or for probes."""

FIRST_EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 300.0
FORGIVE_SECONDS = 300.0
"""Time in rotation after which one earlier ejection no longer lengthens the next."""

PROBES_TO_RETURN = 3
PROBE_TIMEOUT_SECONDS = 10.0

HALF_LIFE_SECONDS = 10.0
MIN_RESULTS = 5.0
CONSECUTIVE_FAILURES = 5
MIN_ERROR_SHARE = 0.3
ERROR_RATIO = 3.0
LATENCY_RATIO = 3.0
STEP_RATIO = 2.0
OUTLIER_SECONDS = 1.0
"""Time for which a step time must stay high, since a single report may be a spike."""

MIN_POOL = 3
"""Smallest pool in which one target does not exceed the cap of a third."""


class Cause(Enum):
    """Name the statistic by which a target is an outlier."""

    ERRORS = "errors"
    LATENCY = "first-token latency"
    STEP_TIME = "step time"
    PROBE = "failed probe"


class TargetState(Enum):
    """Represent the routing state of a target."""

    IN_USE = "in use"
    SLOW_START = "slow start"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class Ejected:
    """Report that a target was ejected.

    :param value: the target's value of the statistic that `cause` names.
    :param pool_value: median of that statistic in the pool.
    :param seconds: time until the target is probed.
    """

    target: Target
    cause: Cause
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
class Returned:
    """Report that a target is back in rotation, with a slow start.

    :param over_cap: whether it returns because its pool has more ejected targets than
        the cap allows.
    """

    target: Target
    over_cap: bool = False

    def __str__(self) -> str:
        """Format the return for the log."""
        reason = (
            "too much of its pool was ejected" if self.over_cap else "probes passed"
        )
        return f"{self.target.group} at {self.target.server} is in use, {reason}"


OutlierEvent = Ejected | Returned


@dataclass(slots=True)
class _Record:
    """Store the statistics and the ejection state of one target."""

    successes: float = 0.0
    failures: float = 0.0
    decayed_at: float = 0.0
    consecutive_failures: int = 0
    latency_ratio: float = 1.0
    latency_weight: float = 0.0
    step_seconds: float = 0.0
    slow_since: float | None = None
    started_at: float = float("-inf")
    ejected_at: float | None = None
    ejected_until: float = 0.0
    strikes: int = 0
    forgiven_at: float = 0.0
    probes_passed: int = 0
    probe_sent_at: float = float("-inf")


class OutlierEjection:
    """Decide which targets are in rotation and with which fraction of their weight."""

    __slots__ = ("_pending", "_record_by_target")

    def __init__(self) -> None:
        self._record_by_target: dict[Target, _Record] = {}
        self._pending: list[OutlierEvent] = []

    def record_joined(self, target: Target, now: float) -> None:
        """Begin a slow start, because the target is new or its server has returned.

        An ejected target stays ejected, because missing heartbeats for a while does not
        make a server healthy.
        """
        record = self._get(target, now)
        if record.ejected_at is None:
            _begin_slow_start(record, now)

    def record_result(
        self,
        target: Target,
        success: bool,
        sent_at: float,
        now: float,
    ) -> None:
        """Record the result of a request.

        :param success: false only if the target itself is at fault.
        :param sent_at: time of the send, since a request that was sent before the
            ejection ended does not count as a probe.
        """
        record = self._get(target, now)
        _decay(record, now)
        if success:
            record.successes += 1.0
            record.consecutive_failures = 0
        else:
            record.failures += 1.0
            record.consecutive_failures += 1
        if record.ejected_at is not None and sent_at >= record.ejected_until:
            self._take_probe_result(target, record, success, now)

    def record_first_token(
        self,
        target: Target,
        seconds: float,
        expected_seconds: float,
        now: float,
    ) -> None:
        """Record the time to first token.

        It is recorded as a ratio to the expected time, since prompts differ in length.
        """
        record = self._get(target, now)
        _decay(record, now)
        ratio = seconds / max(expected_seconds, 0.001)
        record.latency_weight += 1.0
        share = max(0.1, 1.0 / record.latency_weight)
        record.latency_ratio += share * (ratio - record.latency_ratio)

    def record_step_time(self, target: Target, seconds: float, now: float) -> None:
        """Record the step time of a report."""
        self._get(target, now).step_seconds = seconds

    def record_probe(self, target: Target, now: float) -> None:
        """Record that a request was sent as a probe."""
        self._get(target, now).probe_sent_at = now

    def state(self, target: Target, now: float) -> TargetState:
        """Return the current routing state of a target."""
        record = self._record_by_target.get(target)
        if record is None:
            return TargetState.IN_USE
        if record.ejected_at is not None:
            if now < record.ejected_until:
                return TargetState.EJECTED
            return TargetState.PROBING
        if now - record.started_at < SLOW_START_SECONDS:
            return TargetState.SLOW_START
        return TargetState.IN_USE

    def admits_probe(self, target: Target, now: float) -> bool:
        """Return whether a probe may be sent now; probes are sent one at a time."""
        if self.state(target, now) is not TargetState.PROBING:
            return False
        record = self._record_by_target[target]
        return now - record.probe_sent_at > PROBE_TIMEOUT_SECONDS

    def weight(self, target: Target, now: float) -> float:
        """Return the fraction of its weight that a target has, 0 while ejected."""
        match self.state(target, now):
            case TargetState.IN_USE:
                return 1.0
            case TargetState.EJECTED:
                return 0.0
            case TargetState.PROBING:
                return SLOW_START_FLOOR if self.admits_probe(target, now) else 0.0
            case TargetState.SLOW_START:
                started_at = self._record_by_target[target].started_at
                share = max(0.0, now - started_at) / SLOW_START_SECONDS
                return max(SLOW_START_FLOOR, share)

    def retry_after(self, pool: Sequence[Target], now: float) -> float:
        """Return the seconds until the first ejected target of a pool can be probed."""
        waits = [
            record.ejected_until - now
            for record in map(self._record_by_target.get, pool)
            if record is not None and record.ejected_at is not None
        ]
        return max(0.0, min(waits, default=0.0))

    def judge(self, pool: Sequence[Target], now: float) -> list[OutlierEvent]:
        """Eject outliers of a pool within the cap and return the state changes.

        Call it about once a second with the pool's available targets. If the pool has
        shrunk so that the cap is exceeded, the targets ejected first return.
        """
        events, self._pending = self._pending, []
        records = {target: self._get(target, now) for target in pool}
        ejected = [
            target for target, stats in records.items() if stats.ejected_at is not None
        ]
        cap = int(len(records) * MAX_EJECTED_SHARE)
        ejected.sort(key=lambda target: records[target].ejected_at or 0.0)
        while len(ejected) > cap:
            target = ejected.pop(0)
            _begin_slow_start(records[target], now)
            events.append(Returned(target, over_cap=True))
        for record in records.values():
            _decay(record, now)
            _forgive(record, now)
            _postpone_probe(record, now)
        if len(records) < MIN_POOL:
            return events
        outliers = sorted(
            self._find_outliers(records, now),
            key=lambda outlier: outlier.value / max(outlier.pool_value, 1e-9),
            reverse=True,
        )
        for outlier in outliers[: cap - len(ejected)]:
            seconds = _eject(records[outlier.target], now)
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
        """Remove all other targets, which the sheet no longer contains."""
        kept = set(targets)
        for target in [name for name in self._record_by_target if name not in kept]:
            del self._record_by_target[target]

    def reset_clocks(self, now: float) -> None:
        """Discard statistics from before a pause of this process.

        Requests in flight look slow because of the pause. Ejections last until their
        time is over.
        """
        for record in self._record_by_target.values():
            record.successes = record.failures = 0.0
            record.consecutive_failures = 0
            record.latency_ratio = 1.0
            record.latency_weight = 0.0
            record.step_seconds = 0.0
            record.slow_since = None
            record.decayed_at = now

    def _get(self, target: Target, now: float) -> _Record:
        record = self._record_by_target.get(target)
        if record is None:
            record = _Record(decayed_at=now, forgiven_at=now)
            self._record_by_target[target] = record
        return record

    def _take_probe_result(
        self,
        target: Target,
        record: _Record,
        success: bool,
        now: float,
    ) -> None:
        record.probe_sent_at = float("-inf")
        if not success:
            seconds = _eject(record, now)
            self._pending.append(Ejected(target, Cause.PROBE, 1.0, 0.0, seconds))
            return
        record.probes_passed += 1
        if record.probes_passed >= PROBES_TO_RETURN:
            _begin_slow_start(record, now)
            self._pending.append(Returned(target))

    def _find_outliers(
        self,
        records: dict[Target, _Record],
        now: float,
    ) -> list[Ejected]:
        error_limit = _median([_error_share(stats) for stats in records.values()])
        latency = _median([stats.latency_ratio for stats in records.values()])
        steps = [
            stats.step_seconds for stats in records.values() if stats.step_seconds > 0.0
        ]
        step = _median(steps) if len(steps) >= MIN_POOL else 0.0
        outliers = []
        for target, record in records.items():
            _watch_step_time(record, step, now)
            if record.ejected_at is not None:
                continue
            found = _judge_record(target, record, error_limit, latency, step, now)
            if found is not None:
                outliers.append(found)
        return outliers


def _judge_record(
    target: Target,
    record: _Record,
    pool_errors: float,
    pool_latency: float,
    pool_step: float,
    now: float,
) -> Ejected | None:
    errors = _error_share(record)
    failing = record.consecutive_failures >= CONSECUTIVE_FAILURES
    many = record.successes + record.failures >= MIN_RESULTS
    high = errors >= max(MIN_ERROR_SHARE, ERROR_RATIO * pool_errors)
    if (many and high) or (failing and errors > pool_errors):
        return Ejected(target, Cause.ERRORS, errors, pool_errors, 0.0)
    if record.slow_since is not None and now - record.slow_since >= OUTLIER_SECONDS:
        return Ejected(target, Cause.STEP_TIME, record.step_seconds, pool_step, 0.0)
    limit = LATENCY_RATIO * max(1.0, pool_latency)
    if record.latency_weight >= MIN_RESULTS and record.latency_ratio >= limit:
        ratio = record.latency_ratio
        return Ejected(target, Cause.LATENCY, ratio, pool_latency, 0.0)
    return None


def _watch_step_time(record: _Record, pool_step: float, now: float) -> None:
    if pool_step <= 0.0 or record.step_seconds < STEP_RATIO * pool_step:
        record.slow_since = None
    elif record.slow_since is None:
        record.slow_since = now


def _error_share(record: _Record) -> float:
    total = record.successes + record.failures
    return record.failures / total if total > 0.0 else 0.0


def _median(values: list[float]) -> float:
    return median(values) if values else 0.0


def _decay(record: _Record, now: float) -> None:
    elapsed = now - record.decayed_at
    if elapsed <= 0.0:
        return
    share = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
    record.successes *= share
    record.failures *= share
    record.latency_weight *= share
    record.decayed_at = now


def _forgive(record: _Record, now: float) -> None:
    if record.ejected_at is not None:
        record.forgiven_at = now
    elif record.strikes and now - record.forgiven_at >= FORGIVE_SECONDS:
        record.strikes -= 1
        record.forgiven_at = now


def _postpone_probe(record: _Record, now: float) -> None:
    """Delay the probe of an ejected target while its reported step time is high."""
    if record.ejected_at is not None and record.slow_since is not None:
        record.ejected_until = max(record.ejected_until, now + OUTLIER_SECONDS)


def _eject(record: _Record, now: float) -> float:
    seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**record.strikes)
    record.strikes += 1
    record.ejected_at = now
    record.ejected_until = now + seconds
    record.probes_passed = 0
    record.probe_sent_at = float("-inf")
    return seconds


def _begin_slow_start(record: _Record, now: float) -> None:
    record.ejected_at = None
    record.started_at = now
    record.forgiven_at = now
    record.successes = record.failures = 0.0
    record.consecutive_failures = 0
    record.latency_ratio = 1.0
    record.latency_weight = 0.0
    record.slow_since = None
