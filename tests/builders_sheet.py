"""Builders of sheet documents, manifests and parts."""

import copy
from collections.abc import Mapping

from lacewingcleat.sheet_parts import SplitSheet, split_sheet


def make_server_row(name: str = "server-1", port: int = 9001) -> dict[str, object]:
    """Build a backend server record of a sheet document."""
    return {
        "name": name,
        "zone": "regina",
        "address": f"127.0.0.1:{port}",
        "control_address": f"127.0.0.1:{port + 1000}",
        "state": "serving",
        "slots": 8,
    }


def make_account_row(
    name: str = "acme",
    firm: str = "coteau",
    rate: float = 10,
) -> dict[str, object]:
    """Build a client account record with a key hash derived from its name."""
    return {
        "name": name,
        "firm": firm,
        "key_sha256": name.encode().hex()[:64].zfill(64),
        "requests_per_second": rate,
        "concurrency": 10,
        "tokens_per_minute": 60_000,
    }


def make_group_row(
    name: str = "group-1",
    ranks: tuple[str, ...] = ("server-1",),
    firm: str = "shared",
) -> dict[str, object]:
    """Build a model group record of a sheet document."""
    return {
        "name": name,
        "model": "drafting",
        "versions": ["1"],
        "ranks": list(ranks),
        "firm": firm,
        "experts": 8,
        "layers": 2,
    }


def make_claim_row(
    firm: str = "coteau",
    start: str = "08:00",
    end: str = "17:00",
    share: float = 0.5,
    days: tuple[str, ...] = ("mon", "tue", "wed", "thu", "fri"),
) -> dict[str, object]:
    """Build a claim record on the pool `group-1`."""
    return {
        "pool": "group-1",
        "firm": firm,
        "days": list(days),
        "from": start,
        "to": end,
        "share": share,
    }


def make_sheet_value(revision: int = 1, **changes: object) -> dict[str, object]:
    """Build the content of a valid sheet with few records and no services or claims.

    :param changes: top-level members to replace.
    """
    value: dict[str, object] = {
        "revision": revision,
        "firms": [
            _firm_row("coteau", "America/Regina"),
            _firm_row("kowhai", "Pacific/Auckland"),
        ],
        "zones": [{"name": "regina", "region": "prairie", "entries": 3}],
        "client_accounts": [make_account_row()],
        "backend_servers": [make_server_row()],
        "model_groups": [make_group_row()],
        "services": [],
        "claims": [],
    }
    value.update(changes)
    return copy.deepcopy(value)


def make_split_sheet(
    revision: int = 1,
    rate: float = 10,
    extra: Mapping[str, object] | None = None,
) -> SplitSheet:
    """Build the manifest and parts of a valid sheet.

    :param rate: rate limit of the only account; vary it to get different content.
    :param extra: top-level members to replace.
    """
    accounts = [make_account_row(rate=rate)]
    value = make_sheet_value(revision, client_accounts=accounts, **dict(extra or {}))
    return split_sheet(value)


def _firm_row(name: str, time_zone: str) -> dict[str, object]:
    return {
        "name": name,
        "time_zone": time_zone,
        "skew_weight": 1,
        "rebalance_weight": 1,
    }
