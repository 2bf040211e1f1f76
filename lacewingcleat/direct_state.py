"""coordination: what a direct entry knows, and the decisions it takes from it."""

from random import Random

from lacewingcleat.direct_settings import RuleBounds
from lacewingcleat.load_view import Target
from lacewingcleat.outlier_ejection import OutlierEjection, OutlierEvent
from lacewingcleat.retries import RetryBudget, RetryPolicy
from lacewingcleat.routing_config import RoutingConfig
from lacewingcleat.server_choice import ServerChoice, ServerLoads, choose_server
from lacewingcleat.server_directory import ServerDirectory
from lacewingcleat.server_record import ServerRecord

# Entries over which the fleet's extra retries are divided. An entry need not know how
# many there are: with more of them each has fewer requests and seldom uses its part.
BUDGET_ENTRIES = 12.0
# Part of the allowed share that is used, since windows of entries do not coincide.
SHARE_USED = 0.6


class DirectState:
    """Hold configuration, servers, loads and retry budgets of one entry."""

    __slots__ = (
        "_bounds",
        "_budget_by_service",
        "_zone",
        "config",
        "directory",
        "loads",
        "outliers",
        "random",
    )

    def __init__(self, zone: str, bounds: RuleBounds, random: Random) -> None:
        self._zone = zone
        self._bounds = bounds
        self._budget_by_service: dict[str, RetryBudget] = {}
        self.config: RoutingConfig | None = None
        self.directory = ServerDirectory()
        self.loads = ServerLoads()
        self.outliers = OutlierEjection()
        self.random = random

    def budget(self, service: str, now: float) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            bounds = self._bounds
            extra = bounds.retry_extra / BUDGET_ENTRIES
            # A window sees the saved burst and what is earned meanwhile.
            policy = RetryPolicy(
                share=bounds.retry_share * SHARE_USED,
                per_second=extra / 2.0 / bounds.retry_window_seconds,
                burst=extra / 2.0,
            )
            budget = RetryBudget(now, policy)
            self._budget_by_service[service] = budget
        return budget

    def take_config(self, config: RoutingConfig) -> bool:
        """Put a configuration in force unless it is older than the present one."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        return True

    def choose(
        self,
        service: str,
        excluded: frozenset[str],
        now: float,
    ) -> ServerChoice:
        """Choose the server for a request of a service."""
        servers = self.directory.usable(service)
        left = [record for record in servers if record.name not in excluded]
        choice = choose_server(
            left,
            self.loads,
            lambda record: self._weight(record, now),
            self._zone,
            self.random,
            now,
        )
        return choice

    def _weight(self, record: ServerRecord, now: float) -> float:
        return self.outliers.weight(Target(record.service, record.name), now)

    def judge(self, now: float) -> list[OutlierEvent]:
        """Eject outliers of each service."""
        events: list[OutlierEvent] = []
        config = self.config
        targets: list[Target] = []
        for service in config.service_by_name if config else ():
            pool = [
                Target(service, record.name)
                for record in self.directory.usable(service)
            ]
            targets += pool
            events += self.outliers.judge(pool, now)
        self.outliers.retain(targets)
        self.loads.retain(self.directory.names())
        return events
