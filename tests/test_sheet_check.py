from result import Err, Ok
from testtools import TestCase

from lacewingcleat.sheet import ServerState
from lacewingcleat.sheet_check import check_parts, check_sheet
from lacewingcleat.sheet_parts import join_parts, split_sheet
from tests.builders_sheet import make_sheet_value


class CheckSheetTest(TestCase):
    def test_valid_sheet(self) -> None:
        """Guards against a check that refuses what operators may write."""
        sheet = check_sheet(make_sheet_value(7), "test").unwrap()
        self.assertEqual(7, sheet.revision)
        self.assertEqual(ServerState.SERVING, sheet.server_by_name["server-1"].state)
        self.assertEqual("", sheet.group_by_name["group-1"].firm)

    def test_parts_give_the_same_sheet(self) -> None:
        """Guards against processes that build different sheets from one revision."""
        value = make_sheet_value(7)
        split = split_sheet(value)
        sheet = check_sheet(value, "test").unwrap()
        joined = join_parts(split.manifest, split.part_by_name).unwrap()
        self.assertEqual(Ok(sheet), check_sheet(joined, "joined"))
        self.assertEqual(
            Ok(sheet), check_parts(split.manifest, split.part_by_name, "parts")
        )

    def test_missing_part(self) -> None:
        """Guards against a sheet in force without some of its records."""
        split = split_sheet(make_sheet_value())
        for name in split.part_by_name:
            parts = dict(split.part_by_name)
            del parts[name]
            self.assertIsInstance(check_parts(split.manifest, parts, "test"), Err)
