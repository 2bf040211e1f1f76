"""Builders of requests, reports and routers."""

from collections.abc import Iterable
from random import Random

from lacewingcleat.group_routing import GroupRouter
from lacewingcleat.load_view import Target
from lacewingcleat.messages import GroupReport
from lacewingcleat.routing_choice import ModelRequest, RoutedRequest, RouteRequest
from lacewingcleat.sheet import Service
from tests.builders import make_group, make_server, make_sheet


def make_target(number: int = 1) -> Target:
    """Name the target of `make_router` with this number."""
    return Target(f"group-{number}", f"server-{number}")


def make_report(
    number: int = 1,
    sequence: int = 1,
    queued_seconds: float = 0.0,
    running: int = 0,
    age: float = 0.0,
    step_seconds: float = 0.02,
    admitted_seconds: float = 0.0,
    versions: tuple[str, ...] = ("1",),
    adapters: tuple[str, ...] = (),
    capacity: int = 8,
) -> GroupReport:
    """Build a report of the target with this number."""
    return GroupReport(
        group=f"group-{number}",
        server=f"server-{number}",
        queued_seconds=queued_seconds,
        running=running,
        capacity=capacity,
        step_seconds=step_seconds,
        slowest_rank=0,
        prefill_tokens_per_second=10_000.0,
        adapters=adapters,
        versions=versions,
        kv_free_share=0.5,
        sequence=sequence,
        age=age,
        admitted_seconds=admitted_seconds,
    )


def make_request(
    prompt_tokens: int = 1000,
    max_tokens: int = 100,
    version: str = "",
    adapter: str = "",
    prefix_blocks: tuple[str, ...] = (),
    resume_group: str = "",
    excluded: Iterable[Target] = (),
    isolated: bool = False,
) -> ModelRequest:
    """Build a request to the model of `make_router`."""
    return ModelRequest(
        "drafting",
        "acme",
        "coteau",
        prompt_tokens,
        max_tokens,
        version,
        adapter,
        prefix_blocks,
        resume_group,
        frozenset(excluded),
        isolated,
    )


def send_request(
    router: GroupRouter, request: RouteRequest, now: float, seed: int
) -> RoutedRequest:
    """Choose a target and record the send."""
    choice = router.choose(request, now, Random(seed)).unwrap()
    return router.record_send(choice, request, now)


def make_router(zones: Iterable[str] = ("regina",) * 4) -> GroupRouter:
    """Build a router with one single-rank group per named zone, all available."""
    servers = [
        make_server(f"server-{number}", zone)
        for number, zone in enumerate(zones, start=1)
    ]
    groups = [
        make_group(f"group-{number}", ranks=(f"server-{number}",))
        for number in range(1, len(servers) + 1)
    ]
    service = Service("desk", tuple(server.name for server in servers), ())
    router = GroupRouter("regina")
    sheet = make_sheet(servers=servers, groups=groups, services=[service])
    router.set_sheet(sheet, 0.0)
    router.set_servers({server.name for server in servers}, set(), 0.0)
    return router
