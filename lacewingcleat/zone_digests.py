"""coordination: choose the recipients of the load digest of a zone.

Spill-over goes to nearby zones first, so zones of the same region receive the digest
every second and other zones every ten seconds. Each reader sends to one reader of
another zone, which forwards the digest within its zone. Without these limits, a reader
would send 600 messages per second in a fleet of the target size.
"""

from collections.abc import Mapping, Sequence

from lacewingcleat.sheet import Zone

REMOTE_REGION_INTERVAL_SECONDS = 10


def choose_digest_receivers(
    own_instance: str,
    zone: str,
    zone_by_name: Mapping[str, Zone],
    readers_by_zone: Mapping[str, Sequence[str]],
    digest_number: int,
) -> list[str]:
    """Return the entries of other zones that a reader sends its digest to.

    :param own_instance: instance name of the reader.
    :param zone: zone of the reader.
    :param readers_by_zone: readers of each zone, in order of preference.
    :param digest_number: number of the digest, which increases by one every second.
    """
    own_readers = readers_by_zone.get(zone, ())
    if own_instance not in own_readers:
        return []
    index = list(own_readers).index(own_instance)
    region = zone_by_name[zone].region
    receivers = []
    for position, name in enumerate(sorted(zone_by_name)):
        readers = readers_by_zone.get(name, ())
        if name == zone or not readers:
            continue
        is_same_region = zone_by_name[name].region == region
        if (
            is_same_region
            or (position + digest_number) % REMOTE_REGION_INTERVAL_SECONDS == 0
        ):
            receivers.append(readers[index % len(readers)])
    return receivers
