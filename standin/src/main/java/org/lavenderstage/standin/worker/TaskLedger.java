package org.lavenderstage.standin.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskPhase;

/**
 * Records which tasks run on which fake workers of a deployment, so that test oracles can detect
 * violations of the scheduler's guarantees.
 */
public final class TaskLedger {
  private final Map<String, Set<String>> runningOn = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Set<String> checkpointsWritten = new HashSet<>();
  private final Set<String> resumed = new HashSet<>();
  private final Set<String> resumedOnce = new HashSet<>();
  private long starts;
  private long leaseExpiries;
  private long repeatedResumes;
  private long concurrentAttempts;
  private long overcommitted;
  private long checkpoints;
  private long completions;

  /** Creates an empty ledger. */
  public TaskLedger() {}

  synchronized void started(StartTask start, String worker, boolean overcommits) {
    Set<String> running = runningOn.computeIfAbsent(start.job(), key -> new HashSet<>());
    running.add(attemptOnWorker(start, worker));
    if (running.size() > 1) {
      concurrentAttempts++;
    }
    if (overcommits) {
      overcommitted++;
    }
    starts++;
    if (!start.checkpoint().isEmpty() && !resumed.add(start.checkpoint())) {
      repeatedResumes++;
    }
    resumedOnce.add(start.checkpoint());
  }

  synchronized void stopped(StartTask start, String worker, TaskPhase phase, String checkpoint) {
    runningOn.getOrDefault(start.job(), new HashSet<>()).remove(attemptOnWorker(start, worker));
    switch (phase) {
      case CHECKPOINTED -> {
        checkpoints++;
        checkpointsWritten.add(checkpoint);
      }
      case DONE -> {
        completions++;
        done.add(start.job());
      }
      case LAPSED -> leaseExpiries++;
      default -> {
        // not counted
      }
    }
    if (phase != TaskPhase.DONE && phase != TaskPhase.CHECKPOINTED) {
      resumed.remove(start.checkpoint());
    }
  }

  private static String attemptOnWorker(StartTask start, String worker) {
    return worker + "/" + start.attempt();
  }

  /**
   * Returns whether a job is running on any worker.
   *
   * @param job identifier of the job
   * @return whether an attempt of the job is running
   */
  public synchronized boolean isRunning(String job) {
    return !runningOn.getOrDefault(job, Set.of()).isEmpty();
  }

  /**
   * Returns how many attempts were started.
   *
   * @return the number
   */
  public synchronized long starts() {
    return starts;
  }

  /**
   * Returns how many attempts ended because their lease expired.
   *
   * @return the number
   */
  public synchronized long leaseExpiries() {
    return leaseExpiries;
  }

  /**
   * Returns how often an attempt resumed from a checkpoint although an earlier attempt that resumed
   * from it was still running, or had run to its end or to a later checkpoint.
   *
   * @return the number
   */
  public synchronized long repeatedResumes() {
    return repeatedResumes;
  }

  /**
   * Returns from how many checkpoints no attempt ever resumed.
   *
   * @return the number
   */
  public synchronized long unusedCheckpoints() {
    return checkpointsWritten.stream()
        .filter(checkpoint -> !resumedOnce.contains(checkpoint))
        .count();
  }

  /**
   * Returns how often a job was started while another attempt of it was running.
   *
   * @return the number
   */
  public synchronized long concurrentAttempts() {
    return concurrentAttempts;
  }

  /**
   * Returns how often a start overcommitted the capacity of a worker.
   *
   * @return the number
   */
  public synchronized long overcommitted() {
    return overcommitted;
  }

  /**
   * Returns how many jobs ran to their end.
   *
   * @return the number of distinct jobs
   */
  public synchronized long done() {
    return done.size();
  }

  /**
   * Returns how many runs to the end followed an earlier one of the same job.
   *
   * @return the number
   */
  public synchronized long repeatedCompletions() {
    return completions - done.size();
  }

  /**
   * Returns how many checkpoints were written.
   *
   * @return the number
   */
  public synchronized long checkpoints() {
    return checkpoints;
  }
}
