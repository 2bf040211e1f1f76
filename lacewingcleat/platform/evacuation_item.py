"""protocol: the operator's orders to evacuate zones, in the platform's store.

An order is the key of an item. Its value is not read, so that no value can make an
order ineffective.
"""

EVACUATION_PREFIX = "op/evacuate/"
# Names of zones appear in log lines and metrics.
MAX_ZONE_LENGTH = 200


def decode_evacuated_zone(key: str) -> str | None:
    """Return the zone that a key orders to evacuate, none if it names no zone."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(EVACUATION_PREFIX)
    return zone if 0 < len(zone) <= MAX_ZONE_LENGTH else None


def encode_evacuation_key(zone: str) -> str:
    """Return the key of the order to evacuate a zone."""
    return EVACUATION_PREFIX + zone
