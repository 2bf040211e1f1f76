import json
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from json5.tokenizer import JSON5Token, tokenize
from result import Err, Ok
from testtools import TestCase

from lacewingcleat import documents
from lacewingcleat.documents import MAX_DEPTH, Document, parse_document
from lacewingcleat.findings import Finding


def parse(text: str) -> Document:
    return parse_document(text, "test").unwrap()


def first_finding(text: str | bytes) -> Finding:
    return parse_document(text, "test").unwrap_err()[0]


class DocumentTest(TestCase):
    def test_comments_and_trailing_commas(self) -> None:
        """Guards against rejecting documents with comments and trailing commas."""
        document = parse('// limits\n{"a": [1, -2.5], /* b */\n "b": null,}')
        self.assertEqual({"a": [1, -2.5], "b": None}, document.value)

    def test_lines_of_paths(self) -> None:
        """Guards against findings with a wrong line number."""
        plain = '{\n"a": [\n{"b": 1},\n{"b": 2}\n]}'
        for text in (plain, "// one\n" + plain):
            shift = text.count("// one")
            document = parse(text)
            self.assertEqual(4 + shift, document.line_of("a[1].b"))
            self.assertEqual(4 + shift, document.line_of("a[1].missing"))
            self.assertEqual(1 + shift, document.line_of("missing"))

    def test_duplicate_key(self) -> None:
        """Guards against a duplicate key that silently replaces the first value."""
        for text in ('{"a": {"b": 1,\n"b": 2}}', '{a: {b: 1,\n"b": 2}}'):
            finding = first_finding(text)
            self.assertIn("duplicate key 'b'", finding.text)
            self.assertEqual((2, "a.b"), (finding.line, finding.path))

    def test_deep_nesting_is_rejected(self) -> None:
        """Guards against a deeply nested document that exhausts the stack."""
        for depth in (MAX_DEPTH + 1, 5_000, 100_000):
            for text in ("[" * depth + "]" * depth, "/**/" + "[" * depth):
                self.assertIsInstance(parse_document(text, "test"), Err)
        deepest = "[" * MAX_DEPTH + "]" * MAX_DEPTH
        for text in (deepest, "// comment\n" + deepest):
            self.assertIsInstance(parse_document(text, "test"), Ok)

    def test_parsing_stops_at_first_error(self) -> None:
        """Guards against parsing time that is quadratic in the length of the document.

        The parser must stop at the first error, however long the document is.
        """
        for text in ("a ", "[1 1 ", "{a:1,", '"', "0x", "[", "{a:"):
            read: list[JSON5Token] = []

            def recording_tokenize(
                source: str, read: list[JSON5Token] = read
            ) -> object:
                return (read.append(token) or token for token in tokenize(source))

            with mock.patch.object(documents, "tokenize", recording_tokenize):
                self.assertIsInstance(parse_document(text * 5_000, "test"), Err)
            self.assertLess(len(read), 200, text)

    def test_size_limit(self) -> None:
        """Guards against a document that is large enough to fill memory."""
        self.assertIn("exceeds 10 bytes", _size_error_text("[1, 2, 3, 4]"))

    def test_numbers_are_finite(self) -> None:
        """Guards against NaN or infinite limits, whose comparisons are meaningless."""
        for number in ("NaN", "Infinity", "-Infinity", "1e999", "-1e999", "+NaN"):
            for text in (f'{{"a": {number}}}', f"{{a: {number}}}"):
                self.assertIsInstance(parse_document(text, "test"), Err, text)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.one_of(st.text(max_size=200), st.text("[]{}:,\"'\\/*-+.eEx01 \na")))
    def test_any_text_gives_a_document_or_a_finding(self, text: str) -> None:
        """Guards against an exception that stops the process."""
        self.assertIsInstance(parse_document(text, "test"), Ok | Err)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_document_or_a_finding(self, data: bytes) -> None:
        """Guards against an exception on data that is not UTF-8."""
        self.assertIsInstance(parse_document(data, "test"), Ok | Err)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            max_leaves=10,
        )
    )
    def test_both_parsers_agree(self, value: object) -> None:
        """Guards against a document that has another value because it has a comment."""
        text = json.dumps(value)
        expected = parse_document(text, "test")
        actual = parse_document("// comment\n" + text, "test")
        if isinstance(expected, Ok):
            self.assertEqual(expected.ok_value.value, actual.unwrap().value)


def _size_error_text(text: str) -> str:
    return parse_document(text, "test", max_bytes=10).unwrap_err()[0].text
