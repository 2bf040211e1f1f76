from testtools import TestCase

from lacewingcleat.sheet import Zone
from lacewingcleat.zone_digests import (
    REMOTE_REGION_INTERVAL_SECONDS,
    choose_digest_receivers,
)

ZONES = {
    f"zone-{number:02}": Zone(f"zone-{number:02}", f"region-{number // 4}", 11)
    for number in range(31)
}
READERS = {name: (f"{name}-a", f"{name}-b") for name in ZONES}


def _receivers(digest_number: int, own_instance: str = "zone-00-a") -> list[str]:
    return choose_digest_receivers(
        own_instance, "zone-00", ZONES, READERS, digest_number
    )


class ChooseDigestReceiversTest(TestCase):
    def test_every_zone_receives_digest_within_interval(self) -> None:
        """Guards against a zone that never receives another zone's load."""
        reached = {
            name
            for digest_number in range(REMOTE_REGION_INTERVAL_SECONDS)
            for name in _receivers(digest_number)
        }
        self.assertEqual({f"{name}-a" for name in ZONES} - {"zone-00-a"}, reached)

    def test_zones_of_same_region_receive_every_digest(self) -> None:
        """Guards against spill-over within a region based on outdated load."""
        for digest_number in range(REMOTE_REGION_INTERVAL_SECONDS):
            for near in ("zone-01-a", "zone-02-a", "zone-03-a"):
                self.assertIn(near, _receivers(digest_number))

    def test_number_of_receivers_is_bounded(self) -> None:
        """Guards against a reader that sends to all readers of all zones."""
        self.assertLessEqual(
            max(len(_receivers(digest_number)) for digest_number in range(20)), 6
        )

    def test_only_readers_send(self) -> None:
        """Guards against duplicate digests from entries that are not readers."""
        self.assertEqual([], _receivers(0, own_instance="zone-00-c"))

    def test_zone_with_one_reader_receives_both_digests(self) -> None:
        """Guards against lost digests when a zone has only one reader left."""
        readers = READERS | {"zone-01": ("zone-01-a",)}
        for own in ("zone-00-a", "zone-00-b"):
            receivers = choose_digest_receivers(own, "zone-00", ZONES, readers, 0)
            self.assertIn("zone-01-a", receivers)
