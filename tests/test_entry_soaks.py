"""Randomised faults of entries: kills, pauses and entries that join."""

import os
import time
from collections.abc import Callable
from http.client import HTTPException
from random import Random

import pytest
from testtools import TestCase

from tests.crashing_servers import (
    ALLOWED_LATE_REQUESTS,
    CRASHING_SEGMENT,
    KNOWN_AFTER_CRASHES,
    CrashingServers,
    PromptCaller,
)
from tests.entry_faults import EntryFaults
from tests.entry_process import EntryProcess, run_entries
from tests.fleet_simulation import STABILITY_SECONDS
from tests.limit_simulation import TOLD_SECONDS
from tests.limited_servers import (
    LIMIT_PER_SECOND,
    LimitedServers,
    allowed_arrivals,
    busiest_window,
)
from tests.restored_stores import RestoredStore

SHARED_SEGMENT = "aa01"
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
REVOCATION_SECONDS = 5.0
ENTRY_COUNT = 8
RESTORED_ENTRY_COUNT = 5
# Keys removed last that are tried again.
KEY_MEMORY = 4
MIN_RUNNING_ENTRIES = 3
PLAY_SECONDS = 16.0
FAULTS_PER_SECOND = 0.75
# Sound requests may begin half as often as without trouble.
MIN_SOUND_SHARE = 0.5
SOAK_SEEDS = 10


def play_seeds(play: Callable[[int], None]) -> None:
    """Play fresh seeds, or the one in SOAK_SEED."""
    fixed = os.environ.get("SOAK_SEED")
    fresh = [Random().getrandbits(32) for _ in range(SOAK_SEEDS)]
    for seed in [int(fixed)] if fixed else fresh:
        print(f"SOAK_SEED={seed}")
        play(seed)


def play_faults(
    faults: EntryFaults, random: Random, step_seconds: float, step: Callable[[], None]
) -> None:
    """Run steps while entries are disturbed."""
    for _ in range(int(PLAY_SECONDS / step_seconds)):
        time.sleep(step_seconds)
        faults.resume_due()
        is_due = random.random() < FAULTS_PER_SECOND * step_seconds
        if is_due and len(faults.running()) > MIN_RUNNING_ENTRIES:
            faults.disturb()
        step()


class CrashingSegmentSoak(TestCase):
    def _call(self, entry: EntryProcess, *segments: str) -> int:
        """Return the status, 0 if the entry does not answer."""
        try:
            return self.caller.call(entry, *segments)
        except (OSError, HTTPException):
            return 0

    def _play(self, seed: int) -> None:
        random = Random(seed)
        servers = CrashingServers(6)
        self.addCleanup(servers.close)
        self.caller = PromptCaller()
        crash_times: list[float] = []
        late_requests: list[float] = []
        sound: list[int] = []
        with run_entries(servers.store, ENTRY_COUNT) as entries:
            faults = EntryFaults(servers.store, entries, random)

            def step() -> None:
                entry = random.choice(faults.running())
                now = time.monotonic()
                known_at = [*crash_times, *[now] * KNOWN_AFTER_CRASHES]
                known_since = now - known_at[KNOWN_AFTER_CRASHES - 1]
                before = len(servers.reached)
                self._call(entry, SHARED_SEGMENT, CRASHING_SEGMENT)
                reached = [now] * (len(servers.reached) - before)
                crash_times.extend(reached)
                if known_since > STABILITY_SECONDS and faults.is_in_touch(entry):
                    late_requests.extend(reached)
                entry = random.choice(faults.running())
                status = self._call(entry, SHARED_SEGMENT)
                if faults.is_in_touch(entry):
                    sound.append(status)

            play_faults(faults, random, 0.2, step)
        served = sum(status == 200 for status in sound)
        print(f"{len(crash_times)} crashes, {served} of {len(sound)} sound served")
        self.assertLessEqual(len(late_requests), ALLOWED_LATE_REQUESTS, seed)
        self.assertGreaterEqual(served, MIN_SOUND_SHARE * len(sound), seed)
        self.assertLess(0, len(crash_times), seed)

    def test_a_disturbed_fleet_refuses_what_crashes_servers(self) -> None:
        """Guards against entries that forget or miss what has crashed servers."""
        self._play(1)

    @pytest.mark.soak
    @pytest.mark.timeout(3600)
    def test_disturbed_fleets_refuse_what_crashes_servers(self) -> None:
        """Guards against the same in rarer orders of events."""
        play_seeds(self._play)


class ServerLimitSoak(TestCase):
    def _play(self, seed: int) -> None:
        random = Random(seed)
        servers = LimitedServers(4)
        self.addCleanup(servers.close)
        counted: list[float] = []
        told_at: dict[EntryProcess, float] = {}
        sound: list[int] = []
        with run_entries(servers.store, ENTRY_COUNT) as entries:
            faults = EntryFaults(servers.store, entries, random)

            def step() -> None:
                entry = random.choice(faults.running())
                now = time.monotonic()
                before = len(servers.arrivals)
                try:
                    response, _ = entry.call("/get/x", request_id=f"{now}")
                except (OSError, HTTPException):
                    return
                if faults.is_in_touch(entry):
                    sound.append(response.status)
                if len(servers.arrivals) == before:
                    return
                named_since = now - servers.arrivals[0]
                told_since = now - told_at.setdefault(entry, now)
                counts = named_since >= STABILITY_SECONDS and told_since >= TOLD_SECONDS
                if counts and faults.is_in_touch(entry):
                    counted.append(now)

            play_faults(faults, random, 0.04, step)
        most = busiest_window(counted)
        served = sum(status == 200 for status in sound)
        print(f"{most} requests in a window, {served} of {len(sound)} sound served")
        self.assertLessEqual(most, allowed_arrivals(LIMIT_PER_SECOND), seed)
        self.assertGreaterEqual(served, MIN_SOUND_SHARE * len(sound), seed)

    def test_a_disturbed_fleet_keeps_to_the_limit_of_a_server(self) -> None:
        """Guards against an excess by entries that forget or miss a limit."""
        self._play(1)

    @pytest.mark.soak
    @pytest.mark.timeout(3600)
    def test_disturbed_fleets_keep_to_the_limit_of_a_server(self) -> None:
        """Guards against the same in rarer orders of events."""
        play_seeds(self._play)


class RestoredStoreSoak(TestCase):
    """The store is restored while configurations change and servers come and go."""

    def _play(self, seed: int) -> None:
        random = Random(seed)
        writers = RestoredStore(random)
        self.addCleanup(writers.close)
        self.denied: set[tuple[EntryProcess, str]] = set()
        served: dict[str, int] = {}
        faults: list[str] = []
        with run_entries(writers.store, RESTORED_ENTRY_COUNT) as entries:
            entry_faults = EntryFaults(writers.store, entries, random)

            def step() -> None:
                writers.step()
                match random.randrange(120):
                    case 0:
                        writers.change_config()
                    case 1 | 2 | 3:
                        writers.change_server()
                    case 4:
                        writers.restore()
                    case 5 | 6 | 7 | 8:
                        writers.write_odd_item()
                entry = random.choice(entry_faults.running())
                removed = [*writers.key_removed_at][-KEY_MEMORY:]
                key = random.choice([*writers.keys, *removed])
                self._check_call(writers, entry_faults, entry, key, served, faults)

            play_faults(entry_faults, random, 0.05, step)
        self.assertEqual([], faults, seed)
        print(f"{sum(served.values())} requests: {served}")
        self.assertLess(0, served.get("200", 0), seed)

    def _check_call(
        self,
        writers: RestoredStore,
        entry_faults: EntryFaults,
        entry: EntryProcess,
        key: str,
        served: dict[str, int],
        faults: list[str],
    ) -> None:
        """Send a request with a key and check its answer against what holds now."""
        sent_at = time.monotonic()
        left = {
            item.fake.name: writers.left_seconds(item.fake.name)
            for item in writers.servers
        }
        try:
            response, body = entry.call("/get/x", key=key, request_id=f"{sent_at}")
        except (OSError, HTTPException):
            return
        status = response.status
        served[str(status)] = served.get(str(status), 0) + 1
        in_touch = entry_faults.is_in_touch(entry) and writers.is_stable()
        removed_since = sent_at - writers.key_removed_at.get(key, sent_at)
        added_since = sent_at - writers.key_added_at[key]
        if status == 401 and removed_since > 0.0:
            self.denied.add((entry, key))
        if status == 200 and (entry, key) in self.denied:
            faults.append(f"{key} admitted again after it was denied as removed")
        if status == 200 and removed_since > REVOCATION_SECONDS:
            faults.append(f"{key} admitted {removed_since:.2f} s after its removal")
        if in_touch and status == 200 and removed_since > APPLY_SECONDS:
            faults.append(f"{key} in force {removed_since:.2f} s after its removal")
        is_added = key in writers.keys and added_since > APPLY_SECONDS
        if in_touch and is_added and status in (401, 403, 404):
            faults.append(f"{key} denied with {status} after {added_since:.2f} s")
        name = body.rpartition(b" ")[2].decode()
        if in_touch and status == 200 and left.get(name, 0.0) > DRAIN_SECONDS:
            faults.append(f"{name} got a request {left[name]:.2f} s after it left")

    def test_entries_follow_a_store_that_is_restored(self) -> None:
        """Guards against requests to servers that left before the store's restore."""
        self._play(6)

    @pytest.mark.soak
    @pytest.mark.timeout(3600)
    def test_entries_follow_stores_that_are_restored(self) -> None:
        """Guards against the same in rarer orders of events."""
        play_seeds(self._play)
