"""transport: exchange load datagrams between entries.

Loads are sent by UDP and not over a connection: a lost datagram is superseded by the
next one, whereas a stalled connection would hold back all later ones.
"""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from lacewingcleat.addresses import split_address
from lacewingcleat.load_gossip import MAX_DATAGRAM_BYTES, PeerLoad

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerLoad)


class LoadSocket(DatagramProtocol):
    """Send and receive load datagrams.

    :param on_load: called with the content of each well-formed datagram.
    """

    transport: Any

    def __init__(self, on_load: Callable[[PeerLoad], None]) -> None:
        self._on_load = on_load
        self.malformed_datagrams = 0
        self.unsent_datagrams = 0

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode a datagram and pass it to the callback, or count it as malformed."""
        try:
            load = _DECODER.decode(datagram)
        except (msgspec.MsgspecError, RecursionError):
            self.malformed_datagrams += 1
            return
        self._on_load(load)

    def send(self, load: PeerLoad, addresses: list[str]) -> None:
        """Send a load to the given addresses."""
        data = _ENCODER.encode(load)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.unsent_datagrams += 1
            return
        for address in addresses:
            try:
                self.transport.write(data, split_address(address))
            except OSError:
                # The link is congested or down; the next datagram supersedes this one.
                self.unsent_datagrams += 1
