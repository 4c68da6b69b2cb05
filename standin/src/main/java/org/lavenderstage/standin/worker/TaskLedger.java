package org.lavenderstage.standin.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskPhase;

/** Records over all fake workers of a deployment where tasks run, for the oracles. */
public final class TaskLedger {
  private final Map<String, Set<String>> runningOn = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Set<String> written = new HashSet<>();
  private final Set<String> resumed = new HashSet<>();
  private final Set<String> resumedOnce = new HashSet<>();
  private long starts;
  private long lapses;
  private long resumedAgain;
  private long twoPlaces;
  private long overcommitted;
  private long checkpoints;
  private long completions;

  /** Starts without tasks. */
  public TaskLedger() {}

  synchronized void started(StartTask start, String worker, boolean overcommits) {
    Set<String> places = runningOn.computeIfAbsent(start.job(), key -> new HashSet<>());
    places.add(place(start, worker));
    if (places.size() > 1) {
      twoPlaces++;
    }
    if (overcommits) {
      overcommitted++;
    }
    starts++;
    if (!start.checkpoint().isEmpty() && !resumed.add(start.checkpoint())) {
      resumedAgain++;
    }
    resumedOnce.add(start.checkpoint());
  }

  synchronized void stopped(StartTask start, String worker, TaskPhase phase, String checkpoint) {
    runningOn.getOrDefault(start.job(), new HashSet<>()).remove(place(start, worker));
    switch (phase) {
      case CHECKPOINTED -> {
        checkpoints++;
        written.add(checkpoint);
      }
      case DONE -> {
        completions++;
        done.add(start.job());
      }
      case LAPSED -> lapses++;
      default -> {
        // counted nowhere
      }
    }
    if (phase != TaskPhase.DONE && phase != TaskPhase.CHECKPOINTED) {
      resumed.remove(start.checkpoint());
    }
  }

  private static String place(StartTask start, String worker) {
    return worker + "/" + start.attempt();
  }

  /**
   * Tells whether a job runs on some worker.
   *
   * @param job identifier of the job
   * @return whether an attempt runs
   */
  public synchronized boolean isRunning(String job) {
    return !runningOn.getOrDefault(job, Set.of()).isEmpty();
  }

  /**
   * Counts the attempts that were started.
   *
   * @return the count
   */
  public synchronized long starts() {
    return starts;
  }

  /**
   * Counts the attempts whose worker lease ended.
   *
   * @return the count
   */
  public synchronized long lapses() {
    return lapses;
  }

  /**
   * Counts resumes from a checkpoint whose earlier resume still runs, or ran on to its end or to a
   * later checkpoint.
   *
   * @return the count
   */
  public synchronized long resumedAgain() {
    return resumedAgain;
  }

  /**
   * Counts the checkpoints from which nothing was ever resumed.
   *
   * @return the count
   */
  public synchronized long neverResumed() {
    return written.stream().filter(checkpoint -> !resumedOnce.contains(checkpoint)).count();
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
