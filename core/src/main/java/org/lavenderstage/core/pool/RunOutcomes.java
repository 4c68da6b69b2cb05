package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.Task;

/**
 * Records how runs end, for their workers and their tasks: a worker on which sound tasks fail is
 * quarantined, and a task that fails on sound workers is delayed.
 */
final class RunOutcomes {
  private final FailureAttribution attribution;
  private final DecisionLog log;

  RunOutcomes(DecisionLog log) {
    this.log = log;
    attribution = new FailureAttribution(log);
  }

  /** Records that a run is active. */
  void recordActive(Run run, long nowMillis) {
    if (run.task().recordActive(activeMillis(run, nowMillis))) {
      attribution.recordSuccess(run.task().step());
    }
  }

  private static long activeMillis(Run run, long nowMillis) {
    return run.state() == Run.State.RUNNING ? nowMillis - run.stateSinceMillis() : 0;
  }

  /**
   * Records that a tracked run failed. Delays the next run of its task if several in a row have
   * failed soon after their start.
   */
  void recordFailedRun(Worker worker, Run run, long nowMillis) {
    Task task = run.task();
    boolean suspectWorker = worker.history().hasFailureOfOther(task.step());
    long pauseMillis =
        task.recordFailedRun(run.attempt(), activeMillis(run, nowMillis), suspectWorker, nowMillis);
    if (pauseMillis > 0) {
      log.record(Decision.TASK_DELAYED, "task", task.id(), "millis", pauseMillis);
    }
  }

  /** Records how a run ended in the history of its worker. */
  void recordEnd(Worker worker, Task task, EndKind kind, long nowMillis) {
    if (kind == EndKind.DONE) {
      worker.history().recordSuccess();
      attribution.recordSuccess(task.step());
    } else if (kind == EndKind.FAILED && attribution.recordFailure(worker, task)) {
      long quarantineMillis = worker.history().recordFailure(task.step(), nowMillis);
      if (quarantineMillis > 0) {
        log.record(Decision.WORKER_QUARANTINED, "worker", worker.id(), "millis", quarantineMillis);
      }
    }
  }

  /** Discards what is known of the steps of a job that has ended. */
  void removeJob(Job job) {
    attribution.removeJob(job);
  }
}
