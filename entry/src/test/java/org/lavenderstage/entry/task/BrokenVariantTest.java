package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.standin.worker.TaskLedger;

/** Without its mechanism, each promise is seen to break. */
class BrokenVariantTest {
  private static final int TICKS = 300;

  @Test
  void aFoldThatIgnoresSizesOvercommitsAWorker() {
    assertTrue(run(BrokenVariant.FOLD_IGNORES_SIZES).overcommitted() > 0);
  }

  @Test
  void startsThatOutliveTheLeaseRunATaskInTwoPlaces() {
    TaskLedger oracle =
        run(
            BrokenVariant.STARTS_OUTLIVE_THE_LEASE,
            new Strike(Fault.STEP_VERY_LATE, Step.START),
            new Strike(Fault.OWNER_KILLED_AFTER, Step.START));
    assertTrue(oracle.twoPlaces() > 0);
  }

  @Test
  void silenceTakenForAnEndRunsATaskInTwoPlaces() {
    TaskLedger oracle =
        run(BrokenVariant.SILENCE_ENDS_ATTEMPTS, new Strike(Fault.WORKER_CUT, Step.RENEW));
    assertTrue(oracle.twoPlaces() > 0);
  }

  @Test
  void anEvictionThatDoesNotStopTheTaskRunsItInTwoPlaces() {
    assertTrue(run(BrokenVariant.EVICTION_WITHOUT_STOP).twoPlaces() > 0);
  }

  @Test
  void aCheckpointThatIsNotRecordedIsNeverResumed() {
    assertTrue(run(BrokenVariant.CHECKPOINT_NOT_RECORDED).neverResumed() > 0);
  }

  @Test
  void anAttemptThatEndsWhileItRunsResumesItsCheckpointAgain() {
    TaskWorld world = new TaskWorld(BrokenVariant.RESUMED_ATTEMPTS_END_AT_ONCE, List.of());
    for (int tick = 0; tick < TICKS; tick++) {
      world.tick();
    }
    assertTrue(world.oracle().resumedAgain() > 0);
  }

  private static TaskLedger run(BrokenVariant broken, Strike... strikes) {
    return new TaskWorld(broken, List.of(strikes)).run();
  }
}
