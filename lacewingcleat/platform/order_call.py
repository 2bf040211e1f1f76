"""protocol: orders to ranks on the platform, and reports and counts of ranks."""

from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from lacewingcleat.expert_demand import RankSelectionCounts
from lacewingcleat.map_orders import (
    ArmMap,
    DisarmMap,
    GroupOrder,
    HoldPass,
    OrderAnswer,
    PrepareMap,
    RankMapState,
    ReleasePass,
)
from lacewingcleat.platform.json_body import decode_json
from lacewingcleat.platform.report_call import GROUP_OPEN

ORDER_TARGET = b"/order"
COUNTS_TARGET = b"/picked"
EXPERTS_TARGET = b"/picked?lists=1"
# Largest count of which the estimate of the demand is exact.
MAX_COUNT = 1 << 53


class _Group(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _Armed(msgspec.Struct):
    version: int


class _Report(msgspec.Struct):
    group: _Group
    size: int
    step: int
    mapping: int
    prepared: int | None = None
    armed: int | _Armed | None = None
    held: int | None = None


class _Counts(msgspec.Struct):
    epoch: int
    counts: tuple[Annotated[int, Meta(ge=0, le=MAX_COUNT)], ...]


class _Lists(msgspec.Struct):
    version: int
    # Experts of the rank that sent the response, by set.
    experts: list[list[int]]


class _Mapping(msgspec.Struct):
    epoch: int
    mapping: _Lists


def encode_order(group_order: GroupOrder) -> bytes:
    """Encode an order with the epoch of its group as a JSON document.

    The field `expected` of orders is not used: a rank does not count these orders in
    the `sequence` that it names.
    """
    order = group_order.order
    body: dict[str, object] = {"epoch": group_order.epoch}
    match order:
        case PrepareMap(version, experts):
            body |= {"operation": "prepare", "version": version, "mapping": experts}
        case ArmMap(version, step):
            body |= {"operation": "arm", "version": version, "step": step}
        case DisarmMap(version):
            body |= {"operation": "disarm", "version": version}
        case HoldPass(step):
            body |= {"operation": "hold", "step": step}
        case ReleasePass(step):
            body |= {"operation": "go", "step": step}
    return msgspec.json.encode(body)


def decode_order_response(status: int) -> OrderAnswer:
    """Decode the HTTP status of the response to an order."""
    match status:
        case 200 | 202:
            return OrderAnswer.ACCEPTED
        case 400 | 409 | 412 | 421:
            return OrderAnswer.CONFLICT
        case _:
            return OrderAnswer.UNKNOWN


def decode_map_state(body: bytes) -> Result[RankMapState, str]:
    """Decode the state of a rank's map from a report."""
    decoded = decode_json(body, _Report)
    if isinstance(decoded, Err):
        return decoded
    report = decoded.ok_value
    armed = report.armed
    return Ok(
        RankMapState(
            group=report.group.name,
            epoch=report.group.epoch,
            rank=report.group.rank,
            size=report.size,
            is_open=report.group.state == GROUP_OPEN,
            step=report.step,
            map_version=report.mapping,
            prepared_version=report.prepared,
            armed_version=armed.version if isinstance(armed, _Armed) else armed,
            held_step=report.held,
        ),
    )


def decode_counts(body: bytes) -> Result[RankSelectionCounts, str]:
    """Decode how often the requests of a rank have chosen each expert."""
    decoded = decode_json(body, _Counts)
    if isinstance(decoded, Err):
        return decoded
    counts = decoded.ok_value
    return Ok(RankSelectionCounts(counts.epoch, counts.counts))


def decode_rank_experts(body: bytes) -> Result[tuple[int, list[set[int]]], str]:
    """Decode the version of a rank's map and the experts of the rank by set."""
    decoded = decode_json(body, _Mapping)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.ok_value
    mapping = document.mapping
    return Ok((mapping.version, [set(experts) for experts in mapping.experts]))
