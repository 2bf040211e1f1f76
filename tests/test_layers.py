"""Imports between modules follow the layers named in their docstrings."""

import ast
from pathlib import Path

from testtools import TestCase

PACKAGE = Path(__file__).parent.parent / "lacewingcleat"
LAYERS = ["state", "coordination", "protocol", "transport"]
FORBIDDEN_BELOW_TRANSPORT = {"twisted", "pynng", "socket", "time"}


def _modules() -> dict[str, ast.Module]:
    paths = sorted(PACKAGE.glob("*.py"))
    return {
        path.stem: ast.parse(path.read_text())
        for path in paths
        if path.stem != "__init__"
    }


def _layer(module: ast.Module) -> str:
    docstring = ast.get_docstring(module) or ""
    return docstring.partition(":")[0]


def _imported(module: ast.Module) -> set[str]:
    names = set()
    for node in ast.walk(module):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


class LayersTest(TestCase):
    def test_each_docstring_names_a_layer(self) -> None:
        """Guards against a module whose layer cannot be seen."""
        for name, module in _modules().items():
            self.assertIn(_layer(module), LAYERS, name)

    def test_imports_go_only_down(self) -> None:
        """Guards against decisions that depend on sockets or programs."""
        modules = _modules()
        for name, module in modules.items():
            rank = LAYERS.index(_layer(module))
            for imported in _imported(module):
                target = imported.removeprefix("lacewingcleat.").partition(".")[0]
                if not imported.startswith("lacewingcleat.") or target not in modules:
                    continue
                target_rank = LAYERS.index(_layer(modules[target]))
                self.assertLessEqual(target_rank, rank, f"{name} imports {target}")

    def test_decisions_hold_no_socket_or_clock(self) -> None:
        """Guards against a decision that cannot be replayed by a bench."""
        for name, module in _modules().items():
            if _layer(module) == "transport":
                continue
            roots = {imported.partition(".")[0] for imported in _imported(module)}
            self.assertEqual(set(), roots & FORBIDDEN_BELOW_TRANSPORT, name)
