from testtools import TestCase

from lacewingcleat.pause_detector import PAUSE_THRESHOLD_SECONDS, PauseDetector


class PauseDetectorTest(TestCase):
    def test_pause_is_reported_once(self) -> None:
        """Guards against a resumed process that continues with outdated state."""
        watch = PauseDetector(10.0)
        self.assertFalse(watch.observe(10.25))
        self.assertTrue(watch.observe(10.25 + PAUSE_THRESHOLD_SECONDS + 0.01))
        self.assertFalse(watch.observe(11.5))

    def test_earlier_clock_reading_does_not_hide_a_pause(self) -> None:
        """Guards against an out-of-order clock reading that hides a pause.

        An earlier time must not become the new reference point.
        """
        watch = PauseDetector(10.0)
        self.assertFalse(watch.observe(9.0))
        self.assertFalse(watch.observe(10.5))
