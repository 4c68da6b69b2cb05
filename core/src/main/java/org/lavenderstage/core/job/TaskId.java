package org.lavenderstage.core.job;

/**
 * Identifies a task.
 *
 * @param job identifier of the job
 * @param occurrence number of the occurrence, 0 for a job without occurrences
 * @param step number of the step
 * @param index number of the task within its step
 */
public record TaskId(String job, int occurrence, int step, int index) {
  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
