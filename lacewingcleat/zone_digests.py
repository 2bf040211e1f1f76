"""coordination: whom an entry tells about the load of its zone.

Spill-over goes to zones nearby first, so zones of the same region hear each second and
others every tenth. Each reader speaks to one reader of another zone, which passes the
digest on in its own zone; without these limits a reader at the target would send 600
messages a second.
"""

from collections.abc import Mapping, Sequence

from lacewingcleat.sheet import Zone

FAR_PERIOD = 10


def choose_digest_receivers(
    own: str,
    zone: str,
    zone_by_name: Mapping[str, Zone],
    readers_by_zone: Mapping[str, Sequence[str]],
    turn: int,
) -> list[str]:
    """Return the entries of other zones that a reader tells in one period.

    :param own: instance name of the reader.
    :param readers_by_zone: readers of each zone, in their order.
    :param turn: rises by one each second.
    """
    own_readers = readers_by_zone.get(zone, ())
    if own not in own_readers:
        return []
    index = list(own_readers).index(own)
    region = zone_by_name[zone].region
    receivers = []
    for position, name in enumerate(sorted(zone_by_name)):
        readers = readers_by_zone.get(name, ())
        if name == zone or not readers:
            continue
        is_near = zone_by_name[name].region == region
        if is_near or (position + turn) % FAR_PERIOD == 0:
            receivers.append(readers[index % len(readers)])
    return receivers
