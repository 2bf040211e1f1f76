"""transport: the clocks of a process.

Decisions take `now` from here. CLOCK_BOOTTIME counts the time during which the machine
was suspended, so that leases and tickets expire across a suspension.
"""

import time
from datetime import UTC, datetime


def read_now() -> float:
    """Return seconds of a monotonic clock that counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall() -> datetime:
    """Return the present time in UTC, for decisions by local hours."""
    return datetime.now(UTC)
