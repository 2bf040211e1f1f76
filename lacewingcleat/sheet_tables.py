"""state: the records of a sheet by kind, and checks of references between them.

Tables of unchanged kinds are reused from the previous sheet, because at the target size
one of 18,000 records changes every 2 s.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from lacewingcleat.claim_hours import (
    find_claim_excess,
    find_claim_overlaps,
    load_time_zone,
)
from lacewingcleat.findings import Findings
from lacewingcleat.sheet import (
    BackendServer,
    Claim,
    ClientAccount,
    Firm,
    ModelGroup,
    Service,
    Sheet,
    Zone,
)
from lacewingcleat.sheet_parts import Manifest
from lacewingcleat.sheet_records import LocatedRecord

_Named = TypeVar(
    "_Named",
    Firm,
    Zone,
    ClientAccount,
    BackendServer,
    ModelGroup,
    Service,
)


@dataclass(frozen=True, slots=True)
class Table(Generic[_Named]):
    """Index the records of one kind.

    :param items: pairs of path in the document and record.
    :param by_name: records by name.
    """

    items: list[tuple[str, _Named]]
    by_name: dict[str, _Named]


@dataclass(frozen=True, slots=True)
class SheetTables:
    """Represent all records of a sheet by kind."""

    firms: Table[Firm]
    zones: Table[Zone]
    accounts: Table[ClientAccount]
    servers: Table[BackendServer]
    groups: Table[ModelGroup]
    services: Table[Service]
    claims: list[tuple[str, Claim]]

    def build(self, revision: int, manifest: Manifest) -> Sheet:
        """Build the sheet; call this only if the checks gave no findings."""
        claims_by_pool = {
            pool: tuple(claim for _path, claim in located_claims)
            for pool, located_claims in self._group_claims_by_pool().items()
        }
        return Sheet(
            revision=revision,
            digest=manifest.digest,
            routing_digest=manifest.routing_digest,
            firm_by_name=self.firms.by_name,
            zone_by_name=self.zones.by_name,
            account_by_name=self.accounts.by_name,
            server_by_name=self.servers.by_name,
            group_by_name=self.groups.by_name,
            service_by_name=self.services.by_name,
            claims_by_pool=claims_by_pool,
        )

    def check_accounts(self, findings: Findings) -> None:
        """Check that accounts have unique names and keys and existing firms."""
        _check_unique(self.accounts, findings)
        account_by_key: dict[str, str] = {}
        for path, account in self.accounts.items:
            if account.firm not in self.firms.by_name:
                findings.add(f"{path}.firm", f"no firm is named {account.firm!r}")
            first_account = account_by_key.setdefault(account.key_sha256, account.name)
            if first_account != account.name:
                text = f"the key is already used by account {first_account!r}"
                findings.add(f"{path}.key_sha256", text)

    def check_routing(self, findings: Findings) -> None:
        """Check all records other than accounts."""
        if not self.firms.items:
            findings.add("firms", "must not be empty")
        if not self.zones.items:
            findings.add("zones", "must not be empty")
        _check_unique(self.firms, findings)
        _check_unique(self.zones, findings)
        _check_unique(self.servers, findings)
        _check_unique(self.groups, findings)
        _check_unique(self.services, findings)
        self._check_servers(findings)
        self._check_server_assignments(findings)
        self._check_claims(findings)

    def check_time_zones(self, findings: Findings) -> None:
        """Run the checks that depend on the release of the time zone data."""
        for path, firm in self.firms.items:
            if load_time_zone(firm.time_zone) is None:
                text = f"{firm.time_zone!r} is not an IANA time zone"
                findings.add(f"{path}.time_zone", text)
        for located_claims in self._group_claims_by_pool().values():
            claims = [claim for _path, claim in located_claims]
            for conflict in find_claim_excess(claims, self.firms.by_name):
                findings.add(located_claims[conflict.index][0], conflict.text)

    def _check_servers(self, findings: Findings) -> None:
        server_by_address: dict[str, str] = {}
        for path, server in self.servers.items:
            if server.zone not in self.zones.by_name:
                findings.add(f"{path}.zone", f"no zone is named {server.zone!r}")
            for member, address in (
                ("address", server.address),
                ("control_address", server.control_address),
            ):
                first_path = server_by_address.setdefault(address, path)
                if first_path != path or server.address == server.control_address:
                    text = f"{address} is also an address of {first_path}"
                    findings.add(f"{path}.{member}", text)

    def _check_server_assignments(self, findings: Findings) -> None:
        """Check that each server belongs to at most one group or service.

        An agent forwards to exactly one engine or service.
        """
        owner_by_server: dict[str, str] = {}
        for path, group in self.groups.items:
            if group.firm and group.firm not in self.firms.by_name:
                findings.add(f"{path}.firm", f"no firm is named {group.firm!r}")
            servers_path, owner = f"{path}.ranks", f"group {group.name!r}"
            self._check_assigned_servers(
                servers_path, owner, group.ranks, owner_by_server, findings
            )
        for path, service in self.services.items:
            servers_path, owner = f"{path}.backend_servers", f"service {service.name!r}"
            names = service.backend_servers
            self._check_assigned_servers(
                servers_path, owner, names, owner_by_server, findings
            )

    def _check_assigned_servers(
        self,
        servers_path: str,
        owner: str,
        names: tuple[str, ...],
        owner_by_server: dict[str, str],
        findings: Findings,
    ) -> None:
        for index, name in enumerate(names):
            if name not in self.servers.by_name:
                text = f"no backend server is named {name!r}"
                findings.add(f"{servers_path}[{index}]", text)
                continue
            first_owner = owner_by_server.setdefault(name, owner)
            if first_owner != owner:
                findings.add(
                    f"{servers_path}[{index}]", f"{name!r} already serves {first_owner}"
                )

    def _check_claims(self, findings: Findings) -> None:
        for path, claim in self.claims:
            group = self.groups.by_name.get(claim.pool)
            if claim.firm not in self.firms.by_name:
                findings.add(f"{path}.firm", f"no firm is named {claim.firm!r}")
            elif group is None:
                findings.add(f"{path}.pool", f"no group is named {claim.pool!r}")
            elif group.firm:
                text = f"{claim.pool!r} belongs to {group.firm!r}; it is not shared"
                findings.add(f"{path}.pool", text)
        for located_claims in self._group_claims_by_pool().values():
            claims = [claim for _path, claim in located_claims]
            for conflict in find_claim_overlaps(claims):
                findings.add(located_claims[conflict.index][0], conflict.text)

    def _group_claims_by_pool(self) -> dict[str, list[tuple[str, Claim]]]:
        claims_by_pool: dict[str, list[tuple[str, Claim]]] = {}
        for path, claim in self.claims:
            claims_by_pool.setdefault(claim.pool, []).append((path, claim))
        return claims_by_pool


def build_tables(
    records_by_member: Mapping[str, Iterable[LocatedRecord]],
    previous: SheetTables | None = None,
    unchanged: Collection[str] = (),
) -> SheetTables:
    """Group the records of a sheet by kind.

    :param records_by_member: records by top-level member of the sheet.
    :param previous: tables of an earlier sheet.
    :param unchanged: members whose tables are reused from `previous`; claims are always
        rebuilt.
    """

    def build_table(
        kind: type[_Named], member: str, earlier: Table[_Named] | None
    ) -> Table[_Named]:
        if earlier is not None and member in unchanged:
            return earlier
        items = [
            (item.path, item.record)
            for item in records_by_member.get(member, ())
            if isinstance(item.record, kind)
        ]
        return Table(items, {record.name: record for _path, record in items})

    claims = [
        (item.path, item.record)
        for item in records_by_member.get("claims", ())
        if isinstance(item.record, Claim)
    ]
    old = previous
    return SheetTables(
        firms=build_table(Firm, "firms", old.firms if old else None),
        zones=build_table(Zone, "zones", old.zones if old else None),
        accounts=build_table(
            ClientAccount, "client_accounts", old.accounts if old else None
        ),
        servers=build_table(
            BackendServer, "backend_servers", old.servers if old else None
        ),
        groups=build_table(ModelGroup, "model_groups", old.groups if old else None),
        services=build_table(Service, "services", old.services if old else None),
        claims=claims,
    )


def _check_unique(table: Table[_Named], findings: Findings) -> None:
    if len(table.by_name) == len(table.items):
        return
    seen: set[str] = set()
    for path, record in table.items:
        if record.name in seen:
            findings.add(f"{path}.name", f"{record.name!r} is used twice")
        seen.add(record.name)
