"""Sheets of a given size for the benchmarks of the configuration."""

from hashlib import sha256
from random import Random

from lacewingcleat.sheet_parts import SplitSheet, split_sheet

TARGET_SERVERS = 12_000
TARGET_ACCOUNTS = 5_600
TARGET_ZONES = 31
TARGET_MODELS = 37
RANKS_PER_GROUP = 256
# Most changes at the target concern an account; the others a server or a group.
ACCOUNT_CHANGE_SHARE = 0.9


class GrowingSheet:
    """Produce the revisions of one sheet, one change at a time.

    :param scale: size relative to the target.
    """

    def __init__(self, scale: float, seed: int = 1) -> None:
        self._random = Random(seed)
        self.revision = 0
        servers = max(round(TARGET_SERVERS * scale), 4)
        accounts = max(round(TARGET_ACCOUNTS * scale), 4)
        ranks = min(RANKS_PER_GROUP, servers)
        self._servers = [_server(number) for number in range(servers)]
        self._accounts = [_account(number) for number in range(accounts)]
        self._groups = [
            _group(number, self._servers[start : start + ranks])
            for number, start in enumerate(range(0, servers - ranks + 1, ranks))
        ]

    @property
    def value(self) -> dict[str, object]:
        """Return the content as a document holds it."""
        return {
            "revision": self.revision,
            "firms": [
                _firm("coteau", "America/Regina"),
                _firm("kowhai", "Pacific/Auckland"),
            ],
            "zones": [
                {"name": f"zone-{number:02d}", "region": "r", "entries": 11}
                for number in range(TARGET_ZONES)
            ],
            "client_accounts": self._accounts,
            "backend_servers": self._servers,
            "model_groups": self._groups,
            "services": [],
            "claims": [],
        }

    def next_revision(self) -> SplitSheet:
        """Change one record and split the sheet."""
        self.revision += 1
        if self._random.random() < ACCOUNT_CHANGE_SHARE:
            row = self._random.choice(self._accounts)
            row["requests_per_second"] = self.revision
        else:
            server = self._random.choice(self._servers)
            server["slots"] = self._random.randint(1, 64)
        return split_sheet(self.value)


def _firm(name: str, time_zone: str) -> dict[str, object]:
    weights = {"skew_weight": 1, "rebalance_weight": 1}
    return {"name": name, "time_zone": time_zone, **weights}


def _server(number: int) -> dict[str, object]:
    host = f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}"
    return {
        "name": f"server-{number:05d}",
        "zone": f"zone-{number % TARGET_ZONES:02d}",
        "address": f"{host}:9100",
        "control_address": f"{host}:9200",
        "state": "serving",
        "slots": 32,
        "checks_fencing": True,
    }


def _account(number: int) -> dict[str, object]:
    return {
        "name": f"account-{number:05d}",
        "firm": "coteau" if number % 2 else "kowhai",
        "key_sha256": sha256(str(number).encode()).hexdigest(),
        "requests_per_second": 10,
        "concurrency": 20,
        "tokens_per_minute": 60_000,
        "max_priority": 5,
    }


def _group(number: int, servers: list[dict[str, object]]) -> dict[str, object]:
    return {
        "name": f"group-{number:03d}",
        "model": f"model-{number % TARGET_MODELS:02d}",
        "versions": ["1"],
        "adapters": [],
        "ranks": [server["name"] for server in servers],
        "firm": "shared",
        "experts": 256,
        "layers": 60,
    }
