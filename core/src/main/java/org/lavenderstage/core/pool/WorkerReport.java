package org.lavenderstage.core.pool;

import java.util.List;
import org.lavenderstage.core.job.TaskId;

/**
 * A worker's report of its running and ended runs.
 *
 * @param clockMillis time on the worker's monotonic clock in milliseconds
 * @param startedAtMillis start time of the worker's process, wall-clock time in milliseconds since
 *     1970, 0 if unknown
 * @param running the runs that have not ended
 * @param ended the ended runs that are not acknowledged yet, oldest first, at most {@link
 *     #MAX_ENDED}
 */
public record WorkerReport(
    long clockMillis, long startedAtMillis, List<RunningTask> running, List<EndedTask> ended) {
  /** Largest number of ended runs in one report, from the platform's protocol. */
  public static final int MAX_ENDED = 500;

  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * Returns whether the report contains all ended runs. If it has the largest number, the worker
   * may have more.
   *
   * @return whether the report is complete
   */
  public boolean isComplete() {
    return ended.size() < MAX_ENDED;
  }

  /**
   * Returns whether the report contains a run.
   *
   * @param task the task
   * @param attempt attempt number of the run
   * @return whether the run is reported as running or as ended
   */
  public boolean contains(TaskId task, long attempt) {
    return running.stream().anyMatch(r -> r.task().equals(task) && r.attempt() == attempt)
        || ended.stream().anyMatch(e -> e.task().equals(task) && e.attempt() == attempt);
  }

  /**
   * A run that has not ended.
   *
   * @param task the task
   * @param attempt attempt number of the run
   * @param checkpoint newest checkpoint, empty if there is none
   * @param percent progress, or for a long-running task its readiness, in percent
   * @param load CPU usage in thousandths of a core, or the tail latency of a serving task in
   *     milliseconds
   */
  public record RunningTask(TaskId task, long attempt, String checkpoint, int percent, int load) {}

  /**
   * A run that has ended.
   *
   * @param number sequence number of the ended run in this incarnation of the worker, from 1
   * @param task the task
   * @param attempt attempt number of the run
   * @param kind how the run ended
   * @param checkpoint newest checkpoint, empty if there is none
   */
  public record EndedTask(
      long number, TaskId task, long attempt, EndKind kind, String checkpoint) {}
}
