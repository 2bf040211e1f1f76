"""Versions of expert maps that several leaders of a group choose."""

from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from lacewingcleat import map_driver
from lacewingcleat.map_driver import MapDriver

START = datetime(2026, 12, 6, tzinfo=UTC)
# Largest integer up to which engines may represent versions as floating-point numbers.
MAX_EXACT_INTEGER = 2**53


class MapVersionsTest(TestCase):
    def _driver(self, seed: int) -> MapDriver:
        state: Any = SimpleNamespace(random=Random(seed))
        log: Any = SimpleNamespace()
        return MapDriver(None, "e1", state, None, lambda now: [], log)  # type: ignore[arg-type]

    def _next(self, driver: MapDriver, above: int, clock: float) -> int:
        self.patch(map_driver, "read_wall", lambda: START + timedelta(seconds=clock))
        return driver._next_version(above)

    def test_leaders_with_different_clocks_never_choose_the_same_version(self) -> None:
        """Guards against two maps with the same version, which ranks would mix.

        Two leaders whose clocks are behind the newest version, which a third one has
        chosen, both took it plus one.
        """
        for seed in range(200):
            random = Random(seed)
            leaders = [self._driver(3 * seed + index) for index in range(3)]
            offsets = [random.uniform(-2.0, 2.0) for _ in leaders]
            chosen: list[set[int]] = [set(), set(), set()]
            newest = 0
            for step in range(30):
                index = random.randrange(3)
                clock = 0.3 * step + offsets[index]
                # A leader may know an older version than the newest one.
                above = random.choice([newest, *set().union(*chosen)])
                version = self._next(leaders[index], above, clock)
                self.assertGreater(version, above)
                chosen[index].add(version)
                newest = max(newest, version)
            total = sum(len(versions) for versions in chosen)
            self.assertEqual(total, len(set().union(*chosen)), f"seed {seed}")

    def test_versions_grow_and_stay_exact(self) -> None:
        """Guards against versions that ranks refuse or round.

        The versions of the release before were milliseconds times 1,000.
        """
        driver = self._driver(1)
        former = int(START.timestamp() * 1000) * 1000 + 999
        versions = [self._next(driver, former, 0.1 * step) for step in range(50)]
        self.assertEqual(sorted(set(versions)), versions)
        self.assertLess(former, versions[0])
        self.assertLess(versions[-1], MAX_EXACT_INTEGER)
