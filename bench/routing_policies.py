"""Routing policies to compare: the project's router and four usual baselines.

The baselines see the same reports as the router, and avoid targets that have failed a
request or are not available.
"""

from random import Random

from bench.engine_model import SLOTS, Job
from lacewingcleat.group_routing import GroupRouter
from lacewingcleat.load_view import Target
from lacewingcleat.messages import CacheEvents, GroupReport
from lacewingcleat.routing_choice import (
    ChoiceRule,
    ModelRequest,
    Outcome,
    RoutedRequest,
)
from lacewingcleat.sheet import BackendServer, ModelGroup, ServerState, Sheet, Zone

MODEL = "m"


class Policy:
    """Choose groups for one entry."""

    def __init__(self, zones: list[str], zone: str, rng: Random, entries: int) -> None:
        self.zones = zones
        self.zone = zone
        self.rng = rng
        self.entries = entries
        self.available = set(range(len(zones)))
        self.reports: list[GroupReport | None] = [None] * len(zones)

    def choose(self, job: Job, now: float) -> int | None:
        """Return the number of the chosen group, None if there is none."""
        raise NotImplementedError

    def set_available(self, available: set[int], now: float) -> None:
        """Take over which groups are alive."""
        self.available = available

    def apply_report(self, group: int, report: GroupReport, now: float) -> None:
        """Take in a report."""
        self.reports[group] = report

    def apply_events(self, events: CacheEvents, now: float) -> None:
        """Take in cache events."""

    def tick(self, now: float) -> None:
        """Do what is due once a second."""

    def first_token(self, job: Job, now: float) -> None:
        """See the first token of a request."""

    def finish(self, job: Job, completed: bool, now: float) -> None:
        """See the end of a request."""

    def candidates(self, job: Job) -> list[int]:
        """Return the groups that may take a request, own zone first."""
        allowed = [g for g in sorted(self.available) if g not in job.excluded]
        near = [g for g in allowed if self.zones[g] == self.zone]
        return near or allowed

    def known_load(self, group: int) -> float:
        """Return the load by the last report."""
        report = self.reports[group]
        if report is None:
            return 0.0
        return report.running / SLOTS + report.queued_seconds


class RandomPolicy(Policy):
    """Choose any group."""

    def choose(self, job: Job, now: float) -> int | None:
        """Return the number of the chosen group."""
        groups = self.candidates(job)
        return self.rng.choice(groups) if groups else None


class RoundRobinPolicy(Policy):
    """Choose the groups in turn."""

    turn = -1

    def choose(self, job: Job, now: float) -> int | None:
        """Return the number of the chosen group."""
        groups = self.candidates(job)
        if self.turn < 0:
            self.turn = self.rng.randrange(len(self.zones))
        self.turn += 1
        return groups[self.turn % len(groups)] if groups else None


class LeastKnownLoadPolicy(Policy):
    """Choose the group with the least load by the last report."""

    def choose(self, job: Job, now: float) -> int | None:
        """Return the number of the chosen group."""
        groups = self.candidates(job)
        self.rng.shuffle(groups)
        return min(groups, key=self.known_load, default=None)


class TwoChoicesPolicy(Policy):
    """Choose the less loaded of two random groups by the last report."""

    def choose(self, job: Job, now: float) -> int | None:
        """Return the number of the chosen group."""
        groups = self.candidates(job)
        drawn = self.rng.sample(groups, min(2, len(groups)))
        return min(drawn, key=self.known_load, default=None)


class RouterPolicy(Policy):
    """Choose by the project's router."""

    def __init__(self, zones: list[str], zone: str, rng: Random, entries: int) -> None:
        super().__init__(zones, zone, rng, entries)
        self.router = GroupRouter(zone)
        self.router.set_sheet(make_sheet(zones, entries=entries), 0.0)
        self.set_available(self.available, 0.0)
        self.rules: dict[ChoiceRule, int] = {}

    def set_available(self, available: set[int], now: float) -> None:
        """Take over which groups are alive."""
        self.available = available
        names = {f"s{group}" for group in available}
        everything = {f"s{group}" for group in range(len(self.zones))}
        self.router.set_servers(names, everything - names, now)

    def choose(self, job: Job, now: float) -> int | None:
        """Return the number of the chosen group."""
        request = ModelRequest(
            MODEL,
            job.account,
            "f",
            job.prompt_tokens,
            prefix_blocks=job.blocks,
            excluded=frozenset(Target(f"g{g}", f"s{g}") for g in job.excluded),
        )
        result = self.router.choose(request, now, self.rng)
        if result.is_err():
            return None
        choice = result.unwrap()
        self.rules[choice.rule] = self.rules.get(choice.rule, 0) + 1
        job.handle = self.router.record_send(choice, request, now)
        return int(choice.target.group[1:])

    def apply_report(self, group: int, report: GroupReport, now: float) -> None:
        """Take in a report."""
        self.router.loads.apply_report(report, "incarnation", now)

    def apply_events(self, events: CacheEvents, now: float) -> None:
        """Take in cache events."""
        self.router.prefixes.apply_events(events, "incarnation", now)

    def tick(self, now: float) -> None:
        """Judge outliers."""
        self.router.tick(now)

    def first_token(self, job: Job, now: float) -> None:
        """See the first token of a request."""
        if isinstance(job.handle, RoutedRequest):
            self.router.record_first_token(job.handle, now)

    def finish(self, job: Job, completed: bool, now: float) -> None:
        """See the end of a request."""
        if not isinstance(job.handle, RoutedRequest):
            return
        outcome = Outcome.COMPLETED if completed else Outcome.FAILED
        self.router.record_finish(
            job.handle,
            outcome,
            now,
            job.output_tokens if completed else 0,
            job.cached_tokens if completed else None,
        )


def make_sheet(zones: list[str], ranks: int = 1, entries: int = 8) -> Sheet:
    """Return a sheet with one group per named zone.

    :param entries: entries per zone.
    """
    servers = {}
    groups = {}
    for number, zone in enumerate(zones):
        names = [f"s{number}", *(f"s{number}-{rank}" for rank in range(1, ranks))]
        for name in names:
            servers[name] = BackendServer(
                name, zone, "127.0.0.1:1", "127.0.0.1:2", ServerState.SERVING, SLOTS
            )
        groups[f"g{number}"] = ModelGroup(
            f"g{number}", MODEL, ("1",), (), tuple(names), "", 8, 2
        )
    zone_by_name = {zone: Zone(zone, "r", entries) for zone in zones}
    return Sheet(1, "d", "r", {}, zone_by_name, {}, servers, groups, {}, {})
