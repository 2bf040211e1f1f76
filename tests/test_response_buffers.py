"""The common bound of responses that are being read."""

from testtools import TestCase

from lacewingcleat.response_buffers import SMALL_RESPONSE_BYTES, ResponseBuffers

LIMIT = 1 << 20


class ResponseBuffersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.buffers = ResponseBuffers(LIMIT)

    def test_a_single_response_beyond_the_limit_is_read(self) -> None:
        """Guards against responses that a small instance never delivers."""
        self.assertTrue(self.buffers.reserve(0, 4 * LIMIT))
        self.assertFalse(self.buffers.reserve(0, LIMIT))
        self.buffers.release(4 * LIMIT)
        self.assertTrue(self.buffers.reserve(0, LIMIT))

    def test_small_responses_are_read_beside_large_ones(self) -> None:
        """Guards against ordinary responses that fail beside one large one."""
        self.buffers.reserve(0, 4 * LIMIT)
        read = [self.buffers.reserve(0, SMALL_RESPONSE_BYTES) for _ in range(8)]
        self.assertEqual([True] * 4 + [False] * 4, read)

    def test_responses_that_grow_are_bounded_together(self) -> None:
        """Guards against many responses that each arrive in small parts."""
        sizes = [0] * 50
        part = SMALL_RESPONSE_BYTES // 4
        for _ in range(16):
            for index, size in enumerate(sizes):
                if self.buffers.reserve(size, part):
                    sizes[index] += part
        self.assertLessEqual(self.buffers.buffered_bytes, 2 * LIMIT)
        for size in sizes:
            self.buffers.release(size)
        self.assertEqual(0, self.buffers.buffered_bytes)
