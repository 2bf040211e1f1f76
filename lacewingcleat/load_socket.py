"""transport: datagrams between entries.

Loads are told by UDP and not over a connection: a lost datagram is replaced by the next
one, whereas a connection that has gone silent would withhold all later ones.
"""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from lacewingcleat.addresses import split_address
from lacewingcleat.load_gossip import MAX_DATAGRAM_BYTES, PeerLoad

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerLoad)


class PeerSocket(DatagramProtocol):
    """Send and receive load datagrams.

    :param on_load: told each well-formed datagram.
    """

    transport: Any

    def __init__(self, on_load: Callable[[PeerLoad], None]) -> None:
        self._on_load = on_load
        self.malformed = 0
        self.unsent = 0

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode a datagram."""
        try:
            load = _DECODER.decode(datagram)
        except (msgspec.MsgspecError, RecursionError):
            self.malformed += 1
            return
        self._on_load(load)

    def send(self, load: PeerLoad, addresses: list[str]) -> None:
        """Send a datagram to some peers."""
        data = _ENCODER.encode(load)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.unsent += 1
            return
        for address in addresses:
            try:
                self.transport.write(data, split_address(address))
            except OSError:
                # The link is full or down; the next datagram replaces this one.
                self.unsent += 1
