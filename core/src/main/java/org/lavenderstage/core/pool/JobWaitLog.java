package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.Task;

/**
 * Logs which jobs wait for a worker, for how long and why. A job waits from the first scheduling
 * round in which one of its tasks cannot be placed until one of its tasks is placed. The interval
 * between the records of one wait doubles each time, so that their number stays small however long
 * it lasts.
 */
final class JobWaitLog {
  /** Shortest wait that is logged, in milliseconds. */
  private static final long MIN_RECORDED_WAIT_MILLIS = 1_000;

  private final DecisionLog log;
  private Map<Job, Wait> previous = new HashMap<>();
  private Map<Job, Wait> current = new HashMap<>();

  /** The start of a job's wait, and the length of the wait at which it is logged next. */
  private record Wait(long sinceMillis, long nextRecordMillis) {}

  JobWaitLog(DecisionLog log) {
    this.log = log;
  }

  void beginRound() {
    previous = current;
    current = new HashMap<>();
  }

  /** Ends the wait of a job of which a task was placed. */
  void recordPlaced(Job job) {
    previous.remove(job);
    current.remove(job);
  }

  /** Returns how long a job has waited in this and the previous rounds, in milliseconds. */
  long waitedMillis(Job job, long nowMillis) {
    Wait wait = current.getOrDefault(job, previous.get(job));
    return wait == null ? 0 : nowMillis - wait.sinceMillis();
  }

  /**
   * Records that a task could not be placed.
   *
   * @param rank rank of the job in this round, from 1
   * @param fitCounts supplies the number of workers for each reason; called only if the wait is
   *     logged
   * @param nowMillis monotonic time in milliseconds
   */
  void recordDeferred(Task task, int rank, Supplier<Map<Fit, Integer>> fitCounts, long nowMillis) {
    Job job = task.step().job();
    if (current.containsKey(job)) {
      return;
    }
    Wait wait = previous.getOrDefault(job, new Wait(nowMillis, MIN_RECORDED_WAIT_MILLIS));
    long waitedMillis = nowMillis - wait.sinceMillis();
    if (waitedMillis >= wait.nextRecordMillis()) {
      log.record(
          Decision.JOB_WAITS,
          "job",
          job.id(),
          "queue",
          job.rules().queue(),
          "waited-ms",
          waitedMillis,
          "turn",
          rank,
          "task",
          task.id(),
          "image",
          task.step().spec().image(),
          "workers",
          fitCounts.get());
      wait = new Wait(wait.sinceMillis(), 2 * wait.nextRecordMillis());
    }
    current.put(job, wait);
  }
}
