package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.standin.worker.TaskLedger;

/** Tests that the oracle detects each defect, that is, that each mechanism is needed. */
class TaskDefectTest {
  private static final int TICKS = 300;

  @Test
  void aLedgerThatEnlargesWorkersOvercommitsThem() {
    assertTrue(run(TaskDefect.LEDGER_ENLARGES_WORKERS).overcommitted() > 0);
  }

  @Test
  void startsThatOutliveTheCellLeaseRunATaskTwiceAtOnce() {
    TaskLedger oracle =
        run(
            TaskDefect.STARTS_OUTLIVE_CELL_LEASE,
            new FaultInjection(Fault.STEP_DELAYED_PAST_CLAIM, Step.START),
            new FaultInjection(Fault.OWNER_KILLED_AFTER, Step.START));
    assertTrue(oracle.concurrentAttempts() > 0);
  }

  @Test
  void endingAttemptsOfUnresponsiveWorkersRunsATaskTwiceAtOnce() {
    TaskLedger oracle =
        run(
            TaskDefect.UNANSWERED_COMMANDS_END_ATTEMPTS,
            new FaultInjection(Fault.WORKER_PARTITIONED, Step.RENEW));
    assertTrue(oracle.concurrentAttempts() > 0);
  }

  @Test
  void anEvictionThatDoesNotStopTheTaskRunsItTwiceAtOnce() {
    assertTrue(run(TaskDefect.EVICTION_WITHOUT_STOP).concurrentAttempts() > 0);
  }

  @Test
  void aCheckpointThatIsNotRecordedIsNeverResumed() {
    assertTrue(run(TaskDefect.CHECKPOINT_NOT_RECORDED).unusedCheckpoints() > 0);
  }

  @Test
  void endingARunningAttemptResumesItsCheckpointAgain() {
    TaskSimulation simulation =
        new TaskSimulation(TaskDefect.RESUMED_ATTEMPTS_END_IMMEDIATELY, List.of());
    for (int tick = 0; tick < TICKS; tick++) {
      simulation.tick();
    }
    assertTrue(simulation.oracle().repeatedResumes() > 0);
  }

  private static TaskLedger run(TaskDefect defect, FaultInjection... injections) {
    return new TaskSimulation(defect, List.of(injections)).run();
  }
}
