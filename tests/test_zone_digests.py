from testtools import TestCase

from lacewingcleat.sheet import Zone
from lacewingcleat.zone_digests import FAR_PERIOD, choose_digest_receivers

ZONES = {
    f"zone-{number:02}": Zone(f"zone-{number:02}", f"region-{number // 4}", 11)
    for number in range(31)
}
READERS = {name: (f"{name}-a", f"{name}-b") for name in ZONES}


def _receivers(turn: int, own: str = "zone-00-a") -> list[str]:
    return choose_digest_receivers(own, "zone-00", ZONES, READERS, turn)


class ChooseDigestReceiversTest(TestCase):
    def test_every_zone_hears_within_a_far_period(self) -> None:
        """Guards against a zone that never receives another zone's load."""
        heard = {name for turn in range(FAR_PERIOD) for name in _receivers(turn)}
        self.assertEqual({f"{name}-a" for name in ZONES} - {"zone-00-a"}, heard)

    def test_zones_of_the_region_hear_each_time(self) -> None:
        """Guards against spill-over within a region based on outdated load."""
        for turn in range(FAR_PERIOD):
            for near in ("zone-01-a", "zone-02-a", "zone-03-a"):
                self.assertIn(near, _receivers(turn))

    def test_messages_stay_few(self) -> None:
        """Guards against a reader that sends to all readers of all zones."""
        self.assertLessEqual(max(len(_receivers(turn)) for turn in range(20)), 6)

    def test_only_readers_tell(self) -> None:
        """Guards against duplicate digests from entries that are not readers."""
        self.assertEqual([], _receivers(0, own="zone-00-c"))

    def test_a_zone_with_one_reader_hears_both(self) -> None:
        """Guards against lost digests when a zone has only one reader left."""
        readers = READERS | {"zone-01": ("zone-01-a",)}
        for own in ("zone-00-a", "zone-00-b"):
            receivers = choose_digest_receivers(own, "zone-00", ZONES, readers, 0)
            self.assertIn("zone-01-a", receivers)
