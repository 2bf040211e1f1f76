from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.token_stream import (
    Complete,
    Deliver,
    Fail,
    Ignore,
    StreamCode,
    StreamProgress,
)

CHUNKS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 12), st.integers(0, 5)), max_size=30
)


class StreamProgressTest(TestCase):
    @given(CHUNKS)
    def test_no_token_is_duplicated_or_lost(
        self, chunks: list[tuple[int, int, int]]
    ) -> None:
        """Guards against doubled or missing tokens, whatever servers send."""
        progress = StreamProgress()
        received: list[int] = []
        for choice, offset, count in chunks:
            attempt = progress.begin_attempt() if choice == 0 else progress._attempt
            match progress.accept(attempt - (choice == 1), offset, count):
                case Deliver(skip=skip, count=forwarded):
                    self.assertGreaterEqual(skip, 0)
                    self.assertEqual(count, skip + forwarded)
                    received += range(offset + skip, offset + skip + forwarded)
                case Fail(code=code):
                    self.assertEqual(StreamCode.GAP, code)
        self.assertEqual(list(range(progress.delivered)), received)

    def test_abandoned_attempt_is_ignored(self) -> None:
        """Guards against two servers that write into one stream."""
        progress = StreamProgress()
        first = progress.begin_attempt()
        self.assertEqual(Deliver(0, 4), progress.accept(first, 0, 4))
        second = progress.begin_attempt()
        self.assertEqual(Ignore(), progress.accept(first, 4, 1))
        self.assertEqual(Ignore(), progress.finish(first, 4))
        self.assertEqual(Deliver(2, 1), progress.accept(second, 2, 3))
        self.assertEqual(Complete(), progress.finish(second, 5))

    def test_truncated_stream_fails(self) -> None:
        """Guards against a truncated response that looks complete."""
        progress = StreamProgress()
        attempt = progress.begin_attempt()
        progress.accept(attempt, 0, 4)
        self.assertEqual(Fail(StreamCode.SHORT), progress.finish(attempt, 5))
        self.assertEqual(Ignore(), progress.accept(attempt, 4, 1))
