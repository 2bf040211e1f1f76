from testtools import TestCase

from lacewingcleat.pause_detector import PAUSE_GAP_SECONDS, PauseWatch


class PauseWatchTest(TestCase):
    def test_gap_is_reported_once(self) -> None:
        """Guards against a woken process that goes on with old views."""
        watch = PauseWatch(10.0)
        self.assertFalse(watch.observe(10.25))
        self.assertTrue(watch.observe(10.25 + PAUSE_GAP_SECONDS + 0.01))
        self.assertFalse(watch.observe(11.5))

    def test_clock_that_steps_back_does_not_hide_a_pause(self) -> None:
        """Guards against a late reading that resets the reference point."""
        watch = PauseWatch(10.0)
        self.assertFalse(watch.observe(9.0))
        self.assertFalse(watch.observe(10.5))
