"""state: compare two sheets, for operators to review before they publish."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields, replace
from datetime import UTC, datetime, timedelta

from lacewingcleat.claim_hours import claimed_shares
from lacewingcleat.sheet import (
    BackendServer,
    ClientAccount,
    ModelGroup,
    ServerState,
    Service,
    Sheet,
)

CAPACITY_DIFF_HOURS = 24


@dataclass(frozen=True, slots=True)
class FieldChange:
    """Represent a changed field of a record.

    The values of a record that does not exist in one sheet are `absent`.

    :param kind: `account`, `server`, `group` or `service`.
    """

    kind: str
    name: str
    field: str
    before: str
    after: str

    def __str__(self) -> str:
        """Format the change for operators."""
        return f"{self.kind} {self.name}: {self.field} {self.before} -> {self.after}"


@dataclass(frozen=True, slots=True)
class CapacityChange:
    """Represent a change of a firm's claimed slots in a pool during a period.

    :param start: beginning of the first hour with these numbers of slots.
    :param end: end of the last hour with these numbers of slots.
    """

    pool: str
    firm: str
    start: datetime
    end: datetime
    slots_before: float
    slots_after: float

    def __str__(self) -> str:
        """Format the change for operators."""
        hours = f"{self.start:%a %H:%M}-{self.end:%a %H:%M} {self.start:%Z}"
        return (
            f"capacity of {self.firm} in {self.pool}, {hours}:"
            f" {self.slots_before:g} -> {self.slots_after:g} slots"
        )


@dataclass(frozen=True, slots=True)
class SheetDiff:
    """Represent the differences between two sheets.

    :param joining: servers whose state becomes `joining`.
    :param leaving: servers whose state becomes `leaving`, and servers that are removed
        without having been in that state.
    :param added: servers that only the new sheet lists.
    :param removed: servers that only the old sheet lists.
    :param limits: changed fields of client accounts.
    :param other_fields: changed fields of servers, groups and services.
    """

    revision_before: int
    revision_after: int
    joining: tuple[str, ...]
    leaving: tuple[str, ...]
    added: tuple[str, ...]
    removed: tuple[str, ...]
    limits: tuple[FieldChange, ...]
    other_fields: tuple[FieldChange, ...]
    capacity: tuple[CapacityChange, ...]

    def lines(self) -> list[str]:
        """Return one line of text for each difference."""
        servers = (
            ("joining", self.joining),
            ("leaving", self.leaving),
            ("added", self.added),
            ("removed", self.removed),
        )
        return [
            f"revision {self.revision_before} -> {self.revision_after}",
            *(f"server {name}: {label}" for label, names in servers for name in names),
            *map(str, self.limits),
            *map(str, self.other_fields),
            *map(str, self.capacity),
        ]


def diff_sheets(before: Sheet, after: Sheet, wall_time: datetime) -> SheetDiff:
    """Compare two sheets.

    :param wall_time: aware datetime; capacity is compared for 24 hours from the
        beginning of its hour and printed in its time zone.
    """
    old, new = before.server_by_name, after.server_by_name
    removed = sorted(old.keys() - new.keys())
    removed_without_leaving = [
        name for name in removed if old[name].state != ServerState.LEAVING
    ]
    return SheetDiff(
        revision_before=before.revision,
        revision_after=after.revision,
        joining=_servers_entering_state(ServerState.JOINING, old, new),
        leaving=(
            *_servers_entering_state(ServerState.LEAVING, old, new),
            *removed_without_leaving,
        ),
        added=tuple(sorted(new.keys() - old.keys())),
        removed=tuple(removed),
        limits=tuple(
            _diff_records("account", before.account_by_name, after.account_by_name)
        ),
        other_fields=(
            *_diff_records("server", old, new, ignored=("state",), common_only=True),
            *_diff_records("group", before.group_by_name, after.group_by_name),
            *_diff_records("service", before.service_by_name, after.service_by_name),
        ),
        capacity=tuple(_diff_capacity(before, after, wall_time)),
    )


def claimed_slots(sheet: Sheet, wall_time: datetime) -> dict[tuple[str, str], float]:
    """Return the claimed slots by pool and firm at a point in time.

    All slots of a group that a firm owns count as claimed by it.

    :param wall_time: aware datetime.
    """
    slots: dict[tuple[str, str], float] = {}
    for name, group in sheet.group_by_name.items():
        capacity = sheet.server_by_name[group.front_server].slots
        shares = (
            {group.firm: 1.0} if group.firm else claimed_shares(sheet, name, wall_time)
        )
        for firm, share in shares.items():
            slots[name, firm] = round(share * capacity, 6)
    return slots


def _servers_entering_state(
    state: ServerState,
    before: Mapping[str, BackendServer],
    after: Mapping[str, BackendServer],
) -> tuple[str, ...]:
    return tuple(
        sorted(
            name
            for name, server in after.items()
            if server.state == state
            and (name not in before or before[name].state != state)
        )
    )


_Record = ClientAccount | BackendServer | ModelGroup | Service


def _diff_records(
    kind: str,
    before: Mapping[str, _Record],
    after: Mapping[str, _Record],
    ignored: Iterable[str] = (),
    common_only: bool = False,
) -> list[FieldChange]:
    changes: list[FieldChange] = []
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if common_only and (old is None or new is None):
            continue
        existing = old or new
        if existing is None:
            continue
        for record_field in fields(existing):
            if record_field.name == "name" or record_field.name in ignored:
                continue
            texts = (
                _format_field(old, record_field.name),
                _format_field(new, record_field.name),
            )
            if texts[0] != texts[1]:
                changes.append(FieldChange(kind, name, record_field.name, *texts))
    return changes


def _format_field(record: _Record | None, field: str) -> str:
    if record is None:
        return "absent"
    value = getattr(record, field)
    # A full hash is of no use to operators; they need to see only that it changed.
    return f"{value[:8]}..." if field == "key_sha256" else str(value)


def _diff_capacity(
    before: Sheet,
    after: Sheet,
    wall_time: datetime,
) -> list[CapacityChange]:
    """Compare claimed slots by hour and merge consecutive hours with equal changes.

    Hours are counted in UTC, so that a clock change neither skips nor repeats one.
    """
    first = wall_time.replace(minute=0, second=0, microsecond=0)
    changes: list[CapacityChange] = []
    for hour in range(CAPACITY_DIFF_HOURS):
        start = _add_hours(first, hour)
        slots_before = claimed_slots(before, start)
        slots_after = claimed_slots(after, start)
        for key in sorted(slots_before.keys() | slots_after.keys()):
            old, new = slots_before.get(key, 0.0), slots_after.get(key, 0.0)
            if old != new:
                change = CapacityChange(
                    *key, start, _add_hours(first, hour + 1), old, new
                )
                _append_or_merge(changes, change)
    return sorted(changes, key=lambda change: (change.pool, change.firm, change.start))


def _add_hours(moment: datetime, hours: int) -> datetime:
    zone = moment.tzinfo
    utc = moment.astimezone(UTC) + timedelta(hours=hours)
    return utc.astimezone(zone)


def _append_or_merge(changes: list[CapacityChange], change: CapacityChange) -> None:
    for index, previous in enumerate(changes):
        if previous.end == change.start and _is_same_change(previous, change):
            changes[index] = replace(previous, end=change.end)
            return
    changes.append(change)


def _is_same_change(first: CapacityChange, second: CapacityChange) -> bool:
    return (
        first.pool,
        first.firm,
        first.slots_before,
        first.slots_after,
    ) == (
        second.pool,
        second.firm,
        second.slots_before,
        second.slots_after,
    )
