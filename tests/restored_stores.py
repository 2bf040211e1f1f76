"""An operator and servers that write to a store which is restored again and again."""

import threading
import time
from dataclasses import dataclass
from itertools import cycle
from random import Random

from tests.entry_process import make_config_item
from tests.fleet_simulation import STABILITY_SECONDS
from tests.odd_store_items import ODD_VALUE_BY_KIND
from tests.platform_fakes import FakeServer, FakeStore
from tests.store_contents import StoreContents

COPY_INTERVAL_SECONDS = 0.7
KEPT_COPIES = 10
OUTAGE_SECONDS = (0.05, 2.0)
REWRITE_SECONDS = (0.05, 1.5)
KEY_COUNT = 3
SERVER_COUNT = 4
# Items of another program that are there at the same time.
ODD_ITEM_COUNT = 5
# Servers that are draining or gone at the same time.
MAX_LEAVING = 2


@dataclass(slots=True)
class _Server:
    """Represent a server, what it last wrote, and when that was acknowledged."""

    fake: FakeServer
    state: str = "ready"
    run: int = 1
    acknowledged_at: float = float("-inf")


class RestoredStore:
    """Change the configuration and the servers, and restore the store meanwhile.

    What was acknowledged and then lost is written again after a while.

    :ivar key_added_at: when the store acknowledged the configuration with a key.
    :ivar key_removed_at: when it acknowledged the one without it.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self.store = FakeStore()
        self.servers = [_Server(FakeServer(f"i-{n}")) for n in range(SERVER_COUNT)]
        self._copies: list[StoreContents] = []
        self._copied_at = float("-inf")
        self._version = 0
        self.disturbed_until = float("-inf")
        self._odd_numbers = cycle(range(ODD_ITEM_COUNT))
        self._odd_values = cycle(ODD_VALUE_BY_KIND.values())
        self.keys: list[str] = []
        self.key_added_at: dict[str, float] = {}
        self.key_removed_at: dict[str, float] = {}
        for server in self.servers:
            self._write_server(server)
        self.change_config()

    def close(self) -> None:
        """Stop the store and the servers."""
        self.store.close()
        for server in self.servers:
            server.fake.close()

    def change_config(self) -> None:
        """Add a key, and remove the oldest one."""
        self._version += 1
        self.keys.append(f"k{self._version}")
        removed = self.keys[:-KEY_COUNT]
        self.keys = self.keys[-KEY_COUNT:]
        self._write_config()
        now = time.monotonic()
        self.key_added_at[self.keys[-1]] = now
        for key in removed:
            self.key_removed_at[key] = now

    def _write_config(self) -> None:
        config = make_config_item(self._version, tuple(self.keys))
        self.store.put("op/config", config)

    def change_server(self) -> None:
        """Let a server leave, be removed, or start again."""
        server = self._random.choice(self.servers)
        leaving = sum(other.state != "ready" for other in self.servers)
        match server.state:
            case "ready" if leaving < MAX_LEAVING:
                server.state = self._random.choice(("draining", "gone"))
            case "ready":
                return
            case "draining":
                server.state = "gone"
            case "gone":
                server.state = "ready"
                server.run += 1
        if server.state == "ready" or server.acknowledged_at == float("-inf"):
            server.acknowledged_at = time.monotonic()
        self._write_server(server)

    def _write_server(self, server: _Server) -> None:
        key = f"servers/{server.fake.name}"
        if server.state == "gone":
            self.store.remove(key)
        else:
            record = server.fake.store_record("s", server.state)
            self.store.put(key, {**record, "born": server.run})
        if server.state == "ready":
            server.acknowledged_at = float("-inf")

    def write_odd_item(self) -> None:
        """Write an item of another program among the records of the servers."""
        self.store.put(f"servers/a-{next(self._odd_numbers)}", next(self._odd_values))

    def left_seconds(self, name: str) -> float:
        """Return for how long a server has been known to leave, or to be gone."""
        server = next(item for item in self.servers if item.fake.name == name)
        if server.state == "ready":
            return float("-inf")
        return time.monotonic() - server.acknowledged_at

    def restore(self) -> None:
        """Restore the store from an older copy."""
        copy = self._random.choice(self._copies)
        with self.store.restoring(copy):
            time.sleep(self._random.uniform(*OUTAGE_SECONDS))
            # Written before an entry can have read the restored store.
            for change in (self.change_config, self.change_server):
                if self._random.random() < 0.5:
                    change()
            writers: list[_Server | None] = [None, *self.servers]
            self._random.shuffle(writers)
            first_count = self._random.randint(0, len(writers))
            for writer in writers[:first_count]:
                self._write_again(writer)
        # On threads of their own, as an entry that starts may wait for these writes.
        delays = [self._random.uniform(*REWRITE_SECONDS) for _ in writers[first_count:]]
        for delay, writer in zip(delays, writers[first_count:], strict=True):
            timer = threading.Timer(delay, self._write_again, (writer,))
            timer.daemon = True
            timer.start()
        self.disturbed_until = time.monotonic() + max([0.0, *delays])
        self._copies = [copy]

    def _write_again(self, writer: _Server | None) -> None:
        """Let a server, or the operator, write again what it wrote last."""
        if writer is None:
            self._write_config()
        else:
            self._write_server(writer)

    def step(self) -> None:
        """Take copies to restore from."""
        now = time.monotonic()
        if now - self._copied_at >= COPY_INTERVAL_SECONDS:
            self._copied_at = now
            self._copies = [*self._copies[1 - KEPT_COPIES :], self.store.copy()]

    def is_stable(self) -> bool:
        """Return whether the store has been undisturbed for the stability window."""
        return time.monotonic() - self.disturbed_until >= STABILITY_SECONDS
