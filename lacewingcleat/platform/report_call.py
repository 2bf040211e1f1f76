"""protocol: reports of the servers of model services on the platform."""

import msgspec
from result import Err, Ok, Result

from lacewingcleat.group_tracker import RankStatus
from lacewingcleat.platform.json_body import decode_json

REPORT_TARGET = b"/report"
GROUP_OPEN = "open"


class _Group(msgspec.Struct):
    name: str
    epoch: int = 0
    rank: int = 0
    state: str = GROUP_OPEN


class _Report(msgspec.Struct):
    group: _Group | None = None
    size: int = 0
    # Greater than 1 if the server is slow.
    pace: float = 1.0


def decode_report(body: bytes) -> Result[RankStatus, str]:
    """Decode the status of a rank from a report, or return an error message."""
    decoded = decode_json(body, _Report)
    if isinstance(decoded, Err):
        return decoded
    report = decoded.ok_value
    group = report.group
    if group is None:
        return Ok(RankStatus("", 0, 0, 0, True, report.pace))
    is_open = group.state == GROUP_OPEN
    return Ok(
        RankStatus(
            group.name, group.epoch, group.rank, report.size, is_open, report.pace
        )
    )
