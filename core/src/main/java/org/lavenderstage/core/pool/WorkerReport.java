package org.lavenderstage.core.pool;

import java.util.List;
import org.lavenderstage.core.job.TaskId;

/**
 * A worker's report of what runs on it and what has ended.
 *
 * @param clockMillis the worker's steady clock
 * @param startedAtMillis wall time of the worker's start in milliseconds since 1970, 0 where
 *     unknown
 * @param running what runs
 * @param ended the ends that are not noted yet, the oldest first, at most {@link #MAX_ENDED}
 */
public record WorkerReport(
    long clockMillis, long startedAtMillis, List<RunningTask> running, List<EndedTask> ended) {
  /** Most ends in one report; from the platform's protocol. */
  public static final int MAX_ENDED = 500;

  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * Tells whether the report holds all ends; more wait behind as many as one report can name.
   *
   * @return whether it does
   */
  public boolean isComplete() {
    return ended.size() < MAX_ENDED;
  }

  /**
   * Tells whether the report names a run.
   *
   * @param task the task
   * @param attempt number of the run
   * @return whether it runs or has ended
   */
  public boolean contains(TaskId task, int attempt) {
    return running.stream().anyMatch(r -> r.task().equals(task) && r.attempt() == attempt)
        || ended.stream().anyMatch(e -> e.task().equals(task) && e.attempt() == attempt);
  }

  /**
   * One run that is under way.
   *
   * @param task the task
   * @param attempt number of the run
   * @param checkpoint newest checkpoint, empty for none
   * @param percent progress, or for a lasting task its readiness, in percent
   * @param load processors in use in thousandths of a core, or the tail latency in milliseconds of
   *     a task that serves users
   */
  public record RunningTask(TaskId task, int attempt, String checkpoint, int percent, int load) {}

  /**
   * One run that has ended.
   *
   * @param number number of the end in this life of the worker, from 1
   * @param task the task
   * @param attempt number of the run
   * @param kind how it ended
   * @param checkpoint newest checkpoint, empty for none
   */
  public record EndedTask(long number, TaskId task, int attempt, EndKind kind, String checkpoint) {}
}
