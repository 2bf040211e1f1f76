"""transport: control messages over pynng sockets, driven by the reactor.

Each process listens on one Pull socket and dials a Push socket per peer. The receive
descriptor of the Pull socket is registered with the reactor as a reader, so messages
are handled on the reactor's thread. Sends do not block: a message is dropped if the
queue is full, and the state machines retransmit the messages that they depend on.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

import pynng
from result import Err, Ok
from twisted.internet.interfaces import IReadDescriptor
from twisted.logger import Logger
from zope.interface import implementer

from lacewingcleat.control_wire import MAX_FRAME_BYTES, decode, encode
from lacewingcleat.messages import Envelope

SEND_QUEUE_CAPACITY = 64
RECEIVE_QUEUE_CAPACITY = 1024
MAX_RECEIVES_PER_READ = 64
MAX_PEER_SOCKETS = 512
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000
_LOG = Logger()


class ReaderReactor(Protocol):
    """Define the reactor interface that the channel uses."""

    def addReader(self, reader: Any) -> None:
        """Register a reader for its descriptor."""

    def removeReader(self, reader: Any) -> None:
        """Remove a reader."""

    def callLater(
        self,
        delay: float,
        callable: Callable[..., object],
        *args: object,
    ) -> object:
        """Call a function after a delay in seconds."""


class ChannelCounters:
    """Count the messages and bytes of a channel.

    `dropped` counts messages that could not be queued for sending, `malformed` frames
    that could not be decoded, and `failed` messages whose handler raised an exception.
    """

    __slots__ = (
        "dropped",
        "failed",
        "malformed",
        "received",
        "received_bytes",
        "sent",
        "sent_bytes",
    )

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.dropped = 0
        self.malformed = 0
        self.failed = 0


@implementer(IReadDescriptor)
class ControlChannel:
    """Send and receive envelopes.

    :param reactor: reactor that watches the receive descriptor.
    :param address: IP and port to listen on.
    :param deliver: called with each envelope received.
    """

    def __init__(
        self,
        reactor: ReaderReactor,
        address: str,
        deliver: Callable[[Envelope], None],
    ) -> None:
        self._reactor = reactor
        self._deliver = deliver
        self._push_socket_by_address: OrderedDict[str, pynng.Push0] = OrderedDict()
        self.counters = ChannelCounters()
        self._pull_socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE_CAPACITY,
            recv_max_size=MAX_FRAME_BYTES,
        )
        self._pull_socket.listen(f"tcp://{address}")
        self._receive_descriptor: int = self._pull_socket.recv_fd
        self._closed = False
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the descriptor, which is readable while messages are waiting."""
        return self._receive_descriptor

    def logPrefix(self) -> str:
        """Return the name of this reader in the reactor's log."""
        return "control"

    def connectionLost(self, reason: object) -> None:
        """Ignore the loss of the descriptor; `close` ends the channel."""

    def doRead(self) -> None:
        """Deliver waiting messages, up to a fixed number per call.

        The limit prevents a burst of control messages from delaying token streams. The
        remaining messages are read in the reactor's next iteration.
        """
        for _ in range(MAX_RECEIVES_PER_READ):
            if self._closed:
                return
            try:
                data: bytes = self._pull_socket.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.exceptions.NNGException:
                self.counters.malformed += 1
                return
            except RuntimeError:
                # pynng raises this error for an empty frame. The reactor would remove
                # the reader if the error propagated.
                self.counters.malformed += 1
                continue
            self._handle_frame(data)
        self._reactor.callLater(0, self.doRead)

    def _handle_frame(self, data: bytes) -> None:
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        match decode(data):
            case Ok(envelope):
                try:
                    self._deliver(envelope)
                except Exception:
                    # If the error propagated, the reactor would remove the reader and
                    # the process would receive no more control messages.
                    self.counters.failed += 1
                    _LOG.failure("a control message failed")
            case Err():
                self.counters.malformed += 1

    def send(self, address: str, envelope: Envelope) -> bool:
        """Queue an envelope without blocking; return whether it was queued."""
        data = encode(envelope)
        if len(data) > MAX_FRAME_BYTES or self._closed:
            self.counters.dropped += 1
            return False
        try:
            self._get_push_socket(address).send(data, block=False)
        except pynng.exceptions.NNGException:
            self.counters.dropped += 1
            return False
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)
        return True

    def _get_push_socket(self, address: str) -> pynng.Push0:
        socket = self._push_socket_by_address.get(address)
        if socket is not None:
            self._push_socket_by_address.move_to_end(address)
            return socket
        if len(self._push_socket_by_address) >= MAX_PEER_SOCKETS:
            _, least_recently_used = self._push_socket_by_address.popitem(last=False)
            least_recently_used.close()
        socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE_CAPACITY,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            socket.dial(f"tcp://{address}", block=False)
        except pynng.exceptions.NNGException:
            socket.close()
            raise
        self._push_socket_by_address[address] = socket
        return socket

    def close(self) -> None:
        """Close all sockets."""
        if self._closed:
            return
        self._closed = True
        self._reactor.removeReader(self)
        for socket in self._push_socket_by_address.values():
            socket.close()
        self._push_socket_by_address.clear()
        self._pull_socket.close()
