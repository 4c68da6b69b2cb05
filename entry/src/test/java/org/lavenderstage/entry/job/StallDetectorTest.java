package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
  private static final long CHECK_MILLIS = 200;
  private long nowMillis = 1_000;
  private final StallDetector detector = new StallDetector(() -> nowMillis);

  private boolean isEverStalled(long millis, long steps) {
    boolean stalled = false;
    for (long passed = 0; passed < millis; passed += CHECK_MILLIS) {
      nowMillis += CHECK_MILLIS;
      stalled |= detector.isStalled(1, steps);
    }
    return stalled;
  }

  @Test
  void threadThatBeginsNoStepIsStalled() {
    assertFalse(isEverStalled(StallDetector.STALL_MILLIS - CHECK_MILLIS, 7));
    assertTrue(isEverStalled(3 * CHECK_MILLIS, 7));
  }

  @Test
  void threadThatBeginsStepsIsNotStalled() {
    for (int step = 0; step < 10; step++) {
      assertFalse(isEverStalled(StallDetector.STALL_MILLIS - CHECK_MILLIS, step));
    }
  }

  /** A process that was suspended must not give up the jobs for the time of its pause. */
  @Test
  void pauseOfTheWholeProcessIsNoStall() {
    assertFalse(isEverStalled(2 * CHECK_MILLIS, 7));
    nowMillis += 60_000;
    assertFalse(isEverStalled(2 * CHECK_MILLIS, 7));
  }
}
