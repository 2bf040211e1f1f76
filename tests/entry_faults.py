"""Entries that are killed, paused and added while requests are sent to them."""

import signal
import time
from random import Random

from tests.entry_process import EntryProcess, add_entry
from tests.fleet_simulation import STABILITY_SECONDS
from tests.platform_fakes import FakeStore

PAUSE_SECONDS = (0.5, 3.0)
MAX_ENTRIES = 12


class EntryFaults:
    """Disturb entries at random and tell which of them are in touch."""

    def __init__(
        self, store: FakeStore, entries: list[EntryProcess], random: Random
    ) -> None:
        self._store = store
        self._entries = entries
        self._random = random
        self._resume_at: dict[EntryProcess, float] = {}
        self._disturbed_at: dict[EntryProcess, float] = {}

    def disturb(self) -> None:
        """Kill, pause or add an entry."""
        match self._random.choice(("kill", "pause", "add")):
            case "kill":
                self._kill(self._random.choice(self.running()))
            case "pause":
                self._pause(self._random.choice(self.running()))
            case "add" if len(self._entries) < MAX_ENTRIES:
                self._add()

    def _kill(self, entry: EntryProcess) -> None:
        """Kill an entry and start another one in its place."""
        entry.process.kill()
        entry.process.wait()
        self._add()

    def _pause(self, entry: EntryProcess) -> None:
        entry.process.send_signal(signal.SIGSTOP)
        pause = self._random.uniform(*PAUSE_SECONDS)
        self._resume_at[entry] = time.monotonic() + pause

    def _add(self) -> None:
        running = [entry for entry in self._entries if entry.process.poll() is None]
        seeds = [entry for entry in running if entry not in self._resume_at]
        entry = add_entry(
            self._store, self._entries[0].folder, seeds, len(self._entries) + 1
        )
        self._entries.append(entry)
        self._disturbed_at[entry] = time.monotonic()

    def resume_due(self) -> None:
        """Continue the entries whose pause has ended."""
        now = time.monotonic()
        for entry, resume_at in list(self._resume_at.items()):
            if now >= resume_at:
                entry.process.send_signal(signal.SIGCONT)
                self._disturbed_at[entry] = now
                del self._resume_at[entry]

    def running(self) -> list[EntryProcess]:
        """Return the entries that are neither paused nor ended."""
        return [
            entry
            for entry in self._entries
            if entry.process.poll() is None and entry not in self._resume_at
        ]

    def is_in_touch(self, entry: EntryProcess) -> bool:
        """Return whether an entry has been undisturbed for the stability window."""
        disturbed_at = self._disturbed_at.get(entry, float("-inf"))
        return time.monotonic() - disturbed_at >= STABILITY_SECONDS
