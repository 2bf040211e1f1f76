"""protocol: merge the status of many processes into one report and format it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result
from tabulate import tabulate


@dataclass(frozen=True, slots=True)
class StatusResponse:
    """Represent the response of one process to a status request.

    :param result: the status document, or the reason why the request failed.
    """

    address: str
    result: Result[dict[str, Any], str]


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """Summarise the status of one process."""

    address: str
    instance: str
    role: str
    zone: str
    revision: int
    digest: str
    state: str
    running: int
    waiting: int
    slots: int
    suspects: int


@dataclass(frozen=True, slots=True)
class GroupRow:
    """Summarise one group from the entries' status documents."""

    group: str
    server: str
    zone: str
    queued_seconds: float
    step_seconds: float
    report_age_seconds: float


@dataclass(slots=True)
class FleetReport:
    """Summarise the status of all processes queried.

    :param problems: conditions that need an operator's attention.
    """

    instances: list[InstanceRow] = field(default_factory=list)
    groups: list[GroupRow] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    @property
    def healthy(self) -> bool:
        """Return whether the report contains no problems."""
        return not self.problems


def make_fleet_report(responses: Iterable[StatusResponse]) -> FleetReport:
    """Build a report from the responses of many processes."""
    report = FleetReport()
    group_by_key: dict[tuple[str, str], GroupRow] = {}
    for response in responses:
        match response.result:
            case Err(reason):
                report.problems.append(f"{response.address} does not answer: {reason}")
            case Ok(document):
                report.instances.append(_instance_row(response.address, document))
                _merge_groups(group_by_key, document)
    report.groups = [group_by_key[key] for key in sorted(group_by_key)]
    _add_instance_problems(report)
    return report


def _instance_row(address: str, document: dict[str, Any]) -> InstanceRow:
    return InstanceRow(
        address,
        document.get("instance", ""),
        document.get("role", ""),
        document.get("zone", ""),
        document.get("revision", 0),
        document.get("digest", ""),
        _instance_state(document),
        document.get("running", 0),
        document.get("waiting", 0),
        document.get("slots", 0),
        document.get("suspects", 0),
    )


def _instance_state(document: dict[str, Any]) -> str:
    if document.get("leaving"):
        return "drained" if document.get("drained") else "leaving"
    if not document.get("ready"):
        return "no sheet"
    if not document.get("backend_up", True):
        return "backend down"
    return "ready"


def _merge_groups(
    group_by_key: dict[tuple[str, str], GroupRow],
    document: dict[str, Any],
) -> None:
    """Merge the groups of one process, keeping the most recent report of each.

    An age of -1 marks a group of which the process has no report; a row with this age
    is not replaced by later ones.
    """
    for item in document.get("groups", []):
        age = item["report_age_seconds"]
        row = GroupRow(
            item["group"],
            item["server"],
            item["zone"],
            item["queued_seconds"],
            item["step_seconds"],
            -1.0 if age is None else age,
        )
        key = (row.group, row.server)
        existing = group_by_key.get(key)
        if (
            existing is None
            or 0 <= row.report_age_seconds < existing.report_age_seconds
        ):
            group_by_key[key] = row


def _add_instance_problems(report: FleetReport) -> None:
    digests_by_revision: dict[int, set[str]] = {}
    for row in report.instances:
        digests_by_revision.setdefault(row.revision, set()).add(row.digest)
        if row.state in ("no sheet", "backend down"):
            report.problems.append(f"{row.instance} is in state '{row.state}'")
    if len(digests_by_revision) > 1:
        revisions = ", ".join(str(revision) for revision in sorted(digests_by_revision))
        report.problems.append(f"several revisions are in force: {revisions}")
    for revision, digests in digests_by_revision.items():
        if len(digests) > 1:
            report.problems.append(f"revision {revision} exists with several digests")


def format_fleet_report(report: FleetReport) -> str:
    """Format a report as tables for the command line."""
    instance_table = tabulate(
        [
            (
                row.instance,
                row.role,
                row.zone,
                row.revision,
                row.state,
                row.running,
                row.waiting,
                row.slots,
                row.suspects,
            )
            for row in report.instances
        ],
        headers=[
            "instance",
            "role",
            "zone",
            "revision",
            "state",
            "running",
            "waiting",
            "slots",
            "suspects",
        ],
    )
    group_table = tabulate(
        [
            (
                row.group,
                row.server,
                row.zone,
                f"{row.queued_seconds:.3f}",
                f"{row.step_seconds * 1000:.1f}",
                f"{row.report_age_seconds:.1f}" if row.report_age_seconds >= 0 else "-",
            )
            for row in report.groups
        ],
        headers=["group", "server", "zone", "queued s", "step ms", "report age s"],
    )
    problems = "\n".join(f"problem: {text}" for text in report.problems)
    return "\n\n".join(part for part in (instance_table, group_table, problems) if part)


def format_routing_explanation(document: dict[str, Any]) -> str:
    """Format the explanation of a routing choice for the command line.

    :param document: response to `POST /explain`.
    """
    if "error" in document:
        excluded = document.get("excluded", {})
        lines = [f"no target: {document['error']}"]
        lines += [f"  {count} excluded: {reason}" for reason, count in excluded.items()]
        return "\n".join(lines)
    head = (
        f"{document['group']} at {document['server']} in {document['zone']}: "
        f"{document['rule']}"
    )
    rows = [
        (item["group"], item["server"], f"{item['seconds']:.3f}", item["excluded"])
        for item in document["targets"]
    ]
    table = tabulate(rows, headers=["group", "server", "expected s", "excluded"])
    return f"{head}\n\n{table}"
