"""transport: whether a large request is still being written to a server."""

from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer


@implementer(IPushProducer)
class WriteProgress:
    """Follow the write buffer of a connection while one request is written.

    A transport pauses its producer while its buffer holds more than 64 KiB, and resumes
    it when all is written. Smaller requests are handed to the system at once.

    :ivar is_pending: whether a part of the request is not written yet.
    """

    __slots__ = ("_transport", "is_pending")

    def __init__(self, transport: Any) -> None:
        self.is_pending = False
        self._transport: Any = transport
        transport.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Note that the buffer is filled."""
        self.is_pending = True

    def resumeProducing(self) -> None:
        """Note that all is written."""
        self.is_pending = False

    def stopProducing(self) -> None:
        """Note that the connection is lost."""
        self.is_pending = False

    def end(self) -> None:
        """Stop to follow the connection, so that it may be used again."""
        self.is_pending = False
        if self._transport is not None:
            self._transport.unregisterProducer()
            self._transport = None
