import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import ExpectedException, TestCase

from bench.known_red import KnownRed, read_known_red
from bench.measure import Direction, Measure
from bench.run import find_benchmarks, run_benchmarks

GOOD = Measure("good", 1.0, "s", 2.0, Direction.AT_MOST)
BAD = Measure("bad", 3.0, "s", 2.0, Direction.AT_MOST)
FREE = Measure("free", 3.0, "s")


class BenchRunTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def _run(self, measures: list[Measure], listed: set[str]) -> int:
        known_red = KnownRed(frozenset(listed), frozenset())
        return run_benchmarks({"one": lambda: measures}, known_red, self.directory)

    def test_missed_bound_fails_unless_listed(self) -> None:
        """Guards against a missed bound that passes, or a listed one that blocks."""
        self.assertEqual(0, self._run([GOOD, FREE], set()))
        self.assertEqual(1, self._run([GOOD, BAD], set()))
        self.assertEqual(1, self._run([GOOD, BAD], {"good"}))
        self.assertEqual(0, self._run([GOOD, BAD], {"bad"}))

    def test_measures_are_written_as_json(self) -> None:
        """Guards against a run whose figures cannot be compared later."""
        self._run([GOOD, BAD], set())
        value = json.loads((self.directory / "one.json").read_text())
        self.assertEqual(
            ["ok", "MISSED"], [measure["result"] for measure in value["one"]]
        )

    def test_known_red_lists_names_and_refuses_other_lines(self) -> None:
        """Guards against a misspelt entry that silently excuses nothing."""
        path = self.directory / "KNOWN-RED.txt"
        path.write_text("# note\nbench: a b | seed 1\ntest: tests/t.py::T::x | issue\n")
        known_red = read_known_red(path)
        self.assertEqual({"a b"}, known_red.measures)
        self.assertEqual({"tests/t.py::T::x"}, known_red.tests)
        path.write_text("bnch: a\n")
        with ExpectedException(ValueError):
            read_known_red(path)

    def test_helper_modules_are_not_benchmarks(self) -> None:
        """Guards against a framework module that is run as a benchmark."""
        self.assertFalse({"run", "measure", "known_red"} & set(find_benchmarks()))
