package org.lavenderstage.standin.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Records over all fake workers of a deployment where tasks run, for the oracles. */
public final class TaskLedger {
  private final Map<String, Set<String>> runningOn = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private long twoPlaces;
  private long overcommitted;
  private long checkpoints;
  private long completions;

  /** Starts without tasks. */
  public TaskLedger() {}

  synchronized void started(String job, String worker, boolean overcommits) {
    Set<String> places = runningOn.computeIfAbsent(job, key -> new HashSet<>());
    places.add(worker);
    if (places.size() > 1) {
      twoPlaces++;
    }
    if (overcommits) {
      overcommitted++;
    }
  }

  synchronized void stopped(String job, String worker, boolean finished, boolean checkpointed) {
    runningOn.getOrDefault(job, new HashSet<>()).remove(worker);
    if (checkpointed) {
      checkpoints++;
    }
    if (finished) {
      completions++;
      done.add(job);
    }
  }

  /**
   * Counts the times that a job ran in two places at once.
   *
   * @return the count
   */
  public synchronized long twoPlaces() {
    return twoPlaces;
  }

  /**
   * Counts the times that a worker held more than its size.
   *
   * @return the count
   */
  public synchronized long overcommitted() {
    return overcommitted;
  }

  /**
   * Counts the jobs that ran to their end.
   *
   * @return the count of distinct jobs
   */
  public synchronized long done() {
    return done.size();
  }

  /**
   * Counts runs to the end beyond the first of a job.
   *
   * @return the count
   */
  public synchronized long doneAgain() {
    return completions - done.size();
  }

  /**
   * Counts the checkpoints.
   *
   * @return the count
   */
  public synchronized long checkpoints() {
    return checkpoints;
  }
}
