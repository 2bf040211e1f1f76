"""Commands, output and exit codes of the programs that operators start."""

import importlib
import io
import json
import subprocess
import sys
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, ClassVar

from testtools import TestCase

from bench.process_fleet import ENTRIES, ProcessFleet
from lacewingcleat import __version__
from lacewingcleat.documents import parse_document

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples"
MODULE_BY_PROGRAM = {
    "lacewing-entry": "entry_main",
    "lacewing-agent": "agent_main",
    "lacewing-ctl": "ctl_main",
    "lacewing-demo": "demo_main",
}
RUN_SECONDS = 30.0


def _run(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", f"lacewingcleat.{module}", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_SECONDS,
        check=False,
    )


def _call(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a program in this process, which is faster where no reactor runs."""
    main = importlib.import_module(f"lacewingcleat.{module}").main
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        try:
            code = main(arguments)
        except SystemExit as end:
            code = end.code
    return subprocess.CompletedProcess(
        arguments, code, output.getvalue(), errors.getvalue()
    )


def _ctl(*arguments: str) -> subprocess.CompletedProcess[str]:
    return _run("ctl_main", *arguments)


class _FilesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def _write(self, name: str, content: str | bytes) -> str:
        path = self.directory / name
        path.write_bytes(content.encode() if isinstance(content, str) else content)
        return str(path)


class ProgramTest(_FilesTest):
    def test_help_and_version(self) -> None:
        """Guards against a program that cannot say what it is."""
        for program, module in MODULE_BY_PROGRAM.items():
            shown = _call(module, "--help")
            self.assertEqual((0, ""), (shown.returncode, shown.stderr))
            self.assertIn(f"usage: {program}", shown.stdout)
            shown = _call(module, "--version")
            self.assertEqual(
                (0, f"{program} {__version__}\n"), (shown.returncode, shown.stdout)
            )

    def test_usage_and_unreadable_files(self) -> None:
        """Guards against scripts that take a missing file for a valid one."""
        missing = str(self.directory / "missing.json")
        binary = self._write("binary.json", b'{"instance": "\xff"}')
        for program, module in MODULE_BY_PROGRAM.items():
            shown = _call(module, "--no-such-option")
            self.assertEqual(2, shown.returncode, program)
            self.assertIn("usage:", shown.stderr)
        for path in (missing, binary, "/dev/zero", str(self.directory)):
            for command in (
                ("entry_main", path),
                ("agent_main", path),
                ("ctl_main", "check", path),
                ("ctl_main", "diff", path, str(EXAMPLES / "coteau.sheet.json")),
                ("ctl_main", "diff", str(EXAMPLES / "coteau.sheet.json"), path),
            ):
                shown = _call(*command)
                self.assertEqual(2, shown.returncode, command)
                self.assertIn(path, shown.stderr)
                self.assertNotIn("Traceback", shown.stderr)

    def test_demo_of_an_unreadable_or_wrong_sheet(self) -> None:
        """Guards against a demo that starts without its sheet."""
        for path, wanted in (("/dev/zero", 2), (self._write("a.json", "{}"), 1)):
            shown = _run("demo_main", "--sheet", path)
            self.assertEqual(wanted, shown.returncode)
            self.assertIn(path, shown.stderr)

    def test_malformed_settings(self) -> None:
        """Guards against a traceback, and a start with wrong settings."""
        cases = ["", "[]", "{", "[" * 50_000, '{"instance": 5}', '{"a":1,"a":2}']
        for index, text in enumerate(cases):
            path = self._write(f"{index}.json", text)
            for module in ("entry_main", "agent_main"):
                shown = _call(module, path)
                self.assertEqual(1, shown.returncode, text[:20])
                self.assertIn(f"{path}:", shown.stderr)
                self.assertNotIn("Traceback", shown.stderr)


class CheckAndDiffTest(_FilesTest):
    def _sheet(self) -> dict[str, Any]:
        text = (EXAMPLES / "coteau.sheet.json").read_text()
        value: Any = parse_document(text, "coteau").unwrap().value
        return dict(value)

    def test_check_of_the_examples(self) -> None:
        """Guards against examples that the programs refuse."""
        files = sorted(str(path) for path in EXAMPLES.glob("*.json"))
        shown = _call("ctl_main", "check", *files)
        self.assertEqual(0, shown.returncode, shown.stderr)
        self.assertEqual(
            [f"{path}: valid" for path in files], shown.stdout.split("\n")[:-1]
        )

    def test_check_reports_all_findings_with_their_place(self) -> None:
        """Guards against a check that stops at the first finding."""
        sheet = self._sheet()
        accounts = sheet["client_accounts"]
        accounts[0]["tokens_per_minute"] = "many"
        accounts[1]["concurrency"] = -1
        wrong_sheet = self._write("sheet.json", json.dumps(sheet, indent=1))
        settings = (EXAMPLES / "coteau-entry.settings.json").read_text()
        value = '"zone": 7, "no_such_member": 1, "config_address"'
        wrong = settings.replace('"config_address"', value, 1)
        wrong_settings = self._write("entry.json", wrong)
        shown = _call("ctl_main", "check", wrong_sheet, wrong_settings)
        self.assertEqual(1, shown.returncode)
        text = Path(wrong_sheet).read_text().splitlines()
        self.assertIn(f"{wrong_settings}:", shown.stderr)
        for path in (
            "client_accounts[0].tokens_per_minute",
            "client_accounts[1].concurrency",
        ):
            line = next(
                item for item in shown.stderr.splitlines() if f" {path}: " in item
            )
            number = int(line.removeprefix(f"{wrong_sheet}:").partition(":")[0])
            self.assertIn(path.rpartition(".")[2], text[number - 1])

    def test_check_reports_references_beside_malformed_members(self) -> None:
        """Guards against findings that appear only after others are fixed."""
        sheet = self._sheet()
        accounts = sheet["client_accounts"]
        accounts[0]["firm"] = "nobody"
        accounts[1]["concurrency"] = -1
        shown = _call("ctl_main", "check", self._write("a.json", json.dumps(sheet)))
        self.assertEqual(1, shown.returncode)
        self.assertIn("client_accounts[1].concurrency", shown.stderr)
        self.assertIn("client_accounts[0].firm", shown.stderr)

    def test_check_goes_on_after_an_unreadable_file(self) -> None:
        """Guards against findings that are hidden by another file."""
        wrong = self._write("wrong.json", "{}")
        missing = str(self.directory / "missing.json")
        good = str(EXAMPLES / "coteau.sheet.json")
        shown = _call("ctl_main", "check", missing, wrong, good)
        self.assertEqual(2, shown.returncode)
        self.assertIn(f"{wrong}:", shown.stderr)
        self.assertIn(f"{good}: valid", shown.stdout)

    def test_diff(self) -> None:
        """Guards against a change that operators are not shown."""
        sheet = self._sheet()
        old = self._write("old.json", json.dumps(sheet))
        same = _call("ctl_main", "diff", old, old)
        revision = sheet["revision"]
        unchanged = f"revision {revision} -> {revision}\nno changes\n"
        self.assertEqual((0, unchanged), (same.returncode, same.stdout))
        accounts = sheet["client_accounts"]
        accounts[0]["requests_per_second"] = 41
        new = self._write("new.json", json.dumps(sheet))
        shown = _call("ctl_main", "diff", old, new)
        self.assertEqual(0, shown.returncode, shown.stderr)
        self.assertIn(accounts[0]["name"], shown.stdout)
        wrong = self._write("wrong.json", "{}")
        self.assertEqual(1, _call("ctl_main", "diff", old, wrong).returncode)


class FleetCommandsTest(TestCase):
    fleet: ClassVar[ProcessFleet]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = ProcessFleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def test_status(self) -> None:
        """Guards against a process that is missing from the report."""
        admins = list(self.fleet.admin_by_name.values())
        shown = _ctl("status", *admins)
        self.assertEqual(0, shown.returncode, shown.stdout + shown.stderr)
        for name in ENTRIES:
            self.assertIn(name, shown.stdout)
        self.assertIn("group-draft-1", shown.stdout)
        shown = _ctl("status", "--json", *admins)
        document = json.loads(shown.stdout)
        self.assertEqual(len(admins), len(document["instances"]))
        self.assertEqual([], document["problems"])

    def test_status_of_addresses_that_do_not_answer(self) -> None:
        """Guards against a traceback, and a report that seems healthy."""
        admin = self.fleet.admin_by_name[ENTRIES[0]]
        silent = self.fleet.ports.take()
        for address in (silent, "nonsense", "127.0.0.1:99999", "127.0.0.1:x"):
            shown = _ctl("status", admin, address)
            self.assertEqual(1, shown.returncode, address)
            self.assertIn(ENTRIES[0], shown.stdout)
            self.assertIn(f"problem: {address} does not answer", shown.stdout)
            self.assertNotIn("Traceback", shown.stdout + shown.stderr)

    def test_explain(self) -> None:
        """Guards against an explanation that does not name target and rule."""
        admin = self.fleet.admin_by_name[ENTRIES[0]]
        question = ("explain", admin, "--model", "drafting", "--firm", "coteau")
        shown = _ctl(*question)
        self.assertEqual(0, shown.returncode, shown.stdout + shown.stderr)
        self.assertIn("group-draft-", shown.stdout)
        document = json.loads(_ctl(*question, "--json").stdout)
        self.assertEqual(2, len(document["targets"]))
        shown = _ctl("explain", admin, "--model", "missing")
        self.assertEqual(1, shown.returncode)
        self.assertIn("no target", shown.stdout)

    def test_address_in_use(self) -> None:
        """Guards against a second process that seems to have started."""
        for name, module in ((ENTRIES[0], "entry_main"), ("draft-1", "agent_main")):
            file = name if name in ENTRIES else f"agent-{name}"
            path = str(Path(self.fleet.directory.name) / f"{file}.json")
            shown = _run(module, path)
            self.assertEqual(3, shown.returncode, shown.stderr)
