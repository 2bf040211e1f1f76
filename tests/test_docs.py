"""Names and links in the pages."""

import re
from pathlib import Path

from prometheus_client import CollectorRegistry
from testtools import TestCase

from lacewingcleat.direct_metrics import DirectMetrics
from lacewingcleat.metrics import AgentMetrics, EntryMetrics
from lacewingcleat.relay_metrics import relay_figures
from lacewingcleat.sheet_relay import SheetRelay
from tests.builders import make_peer

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
# Member of a request body of the engine interface.
OTHER_NAMES = frozenset({"lacewing_resume_offset"})
METRIC_PATTERN = re.compile(r"\blacewing_[a-z0-9_]+")
LINK_PATTERN = re.compile(r"\]\(([^)\s]+)\)")


def _metric_names() -> set[str]:
    names: set[str] = set()
    registries: list[CollectorRegistry] = [
        EntryMetrics().registry,
        AgentMetrics().registry,
        DirectMetrics().registry,
    ]
    for registry in registries:
        for family in registry.collect():
            names.add(family.name)
            names |= {family.name + suffix for suffix in _suffixes(family.type)}
    figures = relay_figures(SheetRelay(make_peer(), 0.0), 0.0)
    names |= {figure.name for figure in figures}
    # The stages appear with the first change.
    return names | {"lacewing_sheet_stage_seconds"}


def _suffixes(kind: str) -> tuple[str, ...]:
    match kind:
        case "counter":
            return ("_total",)
        case "histogram":
            return ("_bucket", "_count", "_sum")
        case _:
            return ()


def _broken_links(page: Path) -> list[str]:
    broken = []
    for target in LINK_PATTERN.findall(page.read_text()):
        path = target.partition("#")[0]
        if path and "://" not in target and not (page.parent / path).exists():
            broken.append(f"{page.relative_to(ROOT)}: {target}")
    return broken


class DocsTest(TestCase):
    def test_metrics_exist(self) -> None:
        """Guards against alerts on metrics that no process has."""
        known = _metric_names() | OTHER_NAMES
        unknown = [
            f"{page.relative_to(ROOT)}: {name}"
            for page in sorted(DOCS.rglob("*.md"))
            for name in METRIC_PATTERN.findall(page.read_text())
            if name not in known
        ]
        self.assertEqual([], unknown)

    def test_links_of_the_readme(self) -> None:
        """Guards against a first page that leads nowhere."""
        self.assertEqual([], _broken_links(ROOT / "README.md"))

    def test_links_of_the_pages(self) -> None:
        """Guards against links to pages that were moved or never written."""
        broken = [
            link for page in sorted(DOCS.rglob("*.md")) for link in _broken_links(page)
        ]
        self.assertEqual([], broken)
