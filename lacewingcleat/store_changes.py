"""transport: apply changed items of the platform's store to the state of an entry.

Any program may write items below the prefix of the servers. Each item is applied on its
own, so that one that cannot be read takes no other change with it.
"""

from collections.abc import Callable

from result import Err

from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_state import DirectState
from lacewingcleat.platform.config_item import CONFIG_KEY, decode_config
from lacewingcleat.platform.evacuation_item import (
    EVACUATION_PREFIX,
    decode_evacuated_zone,
    encode_evacuation_key,
)
from lacewingcleat.platform.server_item import SERVER_PREFIX, decode_server
from lacewingcleat.routing_config import RoutingConfig
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.store_items import StoreItem
from lacewingcleat.store_view import NEVER, StoreView, ViewChange

# Part of a malformed text in a log line.
MAX_LOGGED_LENGTH = 60


class StoreChanges:
    """Apply the changes of each read to the configuration and the list of servers.

    :param view: view of the store that holds the changed items.
    :param on_config: called with a configuration that has come into force and the time.
    :param uses_accounts: whether the platform has client accounts with keys.
    """

    __slots__ = (
        "_has_listed",
        "_log",
        "_on_config",
        "_state",
        "_unread_since",
        "_uses_accounts",
        "_view",
    )

    def __init__(
        self,
        state: DirectState,
        view: StoreView,
        log: DecisionLog,
        on_config: Callable[[RoutingConfig, float], None],
        uses_accounts: bool = False,
    ) -> None:
        self._state = state
        self._view = view
        self._log = log
        self._on_config = on_config
        self._uses_accounts = uses_accounts
        self._unread_since: float | None = None
        self._has_listed = False

    def unread_config_seconds(self, now: float) -> float:
        """Return for how long a configuration may be in force that cannot be read.

        The keys that it has removed are unknown, so the one before must not go on
        admitting them.
        """
        return 0.0 if self._unread_since is None else now - self._unread_since

    def apply(self, change: ViewChange, now: float) -> None:
        """Apply each changed item; an error at one does not affect the others."""
        for key in change.keys:
            try:
                self._apply_item(key, change, now)
            except Exception as error:
                self._log.failure(
                    "store item failed",
                    key=key[:MAX_LOGGED_LENGTH],
                    error=repr(error)[:MAX_LOGGED_LENGTH],
                )
                self._reject_item(key, change, now)
        self._end_evacuations(now)
        self._has_listed = self._has_listed or self._view.complete_at > NEVER

    def _apply_item(self, key: str, change: ViewChange, now: float) -> None:
        item = self._view.item_by_key.get(key)
        if key == CONFIG_KEY and item is not None and item.value is not None:
            self._apply_config(item.value, change, now)
        elif key.startswith(SERVER_PREFIX):
            self._apply_server(key, item, change, now)
        elif key.startswith(EVACUATION_PREFIX) and item is not None:
            self._apply_evacuation(key, now)

    def _reject_item(self, key: str, change: ViewChange, now: float) -> None:
        """Use neither a server nor, for long, a configuration that cannot be read."""
        if key == CONFIG_KEY:
            if self._unread_since is None:
                self._unread_since = change.confirmed_at
            return
        if not key.startswith(SERVER_PREFIX):
            return
        name = key.removeprefix(SERVER_PREFIX)
        self._state.directory.remove(name, NEVER, now)

    def _apply_config(self, value: bytes, change: ViewChange, now: float) -> None:
        decoded = decode_config(value, self._uses_accounts)
        if isinstance(decoded, Err):
            self._log.belief("malformed config", now, error=decoded.err_value)
            self._reject_item(CONFIG_KEY, change, now)
            return
        config = decoded.ok_value
        previous = self._state.config
        age = round(self._view.age(now), 3)
        self._unread_since = None
        if not self._state.apply_config(config):
            in_force = previous.version if previous else None
            self._log.belief(
                "config ignored", now, version=config.version, in_force=in_force
            )
            return
        self._on_config(config, now)
        self._log.belief("config", now, version=config.version, age=age)

    def _apply_evacuation(self, key: str, now: float) -> None:
        zone = decode_evacuated_zone(key)
        if zone is None:
            self._log.belief("malformed evacuation", now, key=key[:MAX_LOGGED_LENGTH])
        elif self._state.restrictions.order_evacuation(zone, now):
            self._log.belief("zone evacuated", now, zone=zone)

    def _end_evacuations(self, now: float) -> None:
        """End the evacuations whose orders the store does not hold any more.

        All of them are compared with the view, so that no missed change can make an
        evacuation last. A store that was restored may lack an order for a moment.
        """
        restrictions = self._state.restrictions
        restrictions.extend_holds(self._view.rewrites_until, now)
        for zone in restrictions.ordered_zones():
            if encode_evacuation_key(zone) in self._view.item_by_key:
                continue
            ends_at = max(now, self._view.rewrites_until)
            restrictions.end_evacuation(zone, ends_at)
            self._log.belief(
                "evacuation ends", now, zone=zone, seconds=round(ends_at - now, 3)
            )

    def _apply_server(
        self, key: str, item: StoreItem | None, change: ViewChange, now: float
    ) -> None:
        name = key.removeprefix(SERVER_PREFIX)
        directory = self._state.directory
        if item is None or item.value is None:
            was_removed = directory.remove(name, self._view.recovered_at, now)
            self._log.belief("server missing", now, server=name, dropped=was_removed)
            return
        decoded = decode_server(key, item.value)
        if isinstance(decoded, Err):
            self._log.belief(
                "malformed server",
                now,
                server=name[:MAX_LOGGED_LENGTH],
                error=decoded.err_value,
            )
            self._reject_item(key, change, now)
            return
        self._put_server(decoded.ok_value, item, now)

    def _put_server(self, record: ServerRecord, item: StoreItem, now: float) -> None:
        name = record.name
        directory = self._state.directory
        may_be_copied = self._view.may_be_copied(item)
        has_started = self._has_listed and not directory.has_known_run(record)
        if may_be_copied:
            previous = directory.put_copied(record, now)
        else:
            previous = directory.put(record)
        record = directory.find(name) or record
        self._record_cold(record, previous, has_started, now)
        if previous is not None and previous == record:
            return
        if previous is not None and previous.started_ms != record.started_ms:
            self._state.groups.discard_server(name)
        self._log.belief(
            "server",
            now,
            server=name,
            service=record.service,
            address=record.address,
            leaving=record.leaving,
            accepts=directory.accepts_requests(name, now),
            copied=may_be_copied,
            started_ms=record.started_ms,
        )

    def _record_cold(
        self,
        record: ServerRecord,
        previous: ServerRecord | None,
        has_started: bool,
        now: float,
    ) -> None:
        """Record until when a server is cold, from the first sight of its record.

        The same record may be read again later, when its server is warmer than it says.
        """
        is_repeated = (
            previous is not None
            and previous.incarnation == record.incarnation
            and previous.cold_seconds == record.cold_seconds
        )
        if is_repeated:
            return
        if self._state.record_cold_record(record, has_started, now):
            seconds = self._state.cold_servers.warm_at(record.name, now) - now
            self._log.belief(
                "server cold",
                now,
                server=record.name,
                seconds=round(seconds, 3),
                source="new run" if has_started else "record",
            )
