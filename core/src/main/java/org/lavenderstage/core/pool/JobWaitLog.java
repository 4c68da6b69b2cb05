package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.Task;

/**
 * Records which jobs wait for a place, for how long and why. A job waits from the first round in
 * which a task of it finds no place until one of its tasks is placed. Records of one wait come at
 * doubling distances, so that their number stays small however long it lasts.
 */
final class JobWaitLog {
  /** Shortest wait that is recorded, in milliseconds. */
  private static final long FIRST_RECORD_MILLIS = 1_000;

  private final DecisionLog log;
  private Map<Job, Wait> former = new HashMap<>();
  private Map<Job, Wait> current = new HashMap<>();

  /** Since when a job waits, and from which length of the wait it is recorded again. */
  private record Wait(long sinceMillis, long nextRecordMillis) {}

  JobWaitLog(DecisionLog log) {
    this.log = log;
  }

  void beginRound() {
    former = current;
    current = new HashMap<>();
  }

  /** Takes that a task of a job was placed. */
  void placed(Job job) {
    former.remove(job);
    current.remove(job);
  }

  /**
   * Takes that a task found no place.
   *
   * @param turn number of the job's turn in this round, from 1
   * @param fits counts the workers by what is against the task there; asked where it is recorded
   */
  void deferred(Task task, int turn, Supplier<Map<Fit, Integer>> fits, long nowMillis) {
    Job job = task.step().job();
    if (current.containsKey(job)) {
      return;
    }
    Wait wait = former.getOrDefault(job, new Wait(nowMillis, FIRST_RECORD_MILLIS));
    long waited = nowMillis - wait.sinceMillis();
    if (waited >= wait.nextRecordMillis()) {
      log.record(
          Decision.JOB_WAITS,
          "job",
          job.id(),
          "queue",
          job.rules().queue(),
          "waited-ms",
          waited,
          "turn",
          turn,
          "task",
          task.id(),
          "image",
          task.step().spec().image(),
          "workers",
          fits.get());
      wait = new Wait(wait.sinceMillis(), 2 * wait.nextRecordMillis());
    }
    current.put(job, wait);
  }
}
