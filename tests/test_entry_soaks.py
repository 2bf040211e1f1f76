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

SHARED_SEGMENT = "aa01"
ENTRY_COUNT = 8
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
