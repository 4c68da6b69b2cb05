package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.Task;

/**
 * Decides whether failed runs are the fault of their workers or of their step. A step that fails on
 * several workers, and on more than it runs on, fails by its own fault until one of its runs
 * succeeds; what fails on a single worker is held against that worker.
 */
final class FailureAttribution {
  /** Number of workers on which a faulty step has failed; faulty workers are few, and avoided. */
  private static final int MIN_WORKERS = 3;

  private final Map<JobStep, Failures> failuresByStep = new HashMap<>();
  private final DecisionLog log;

  FailureAttribution(DecisionLog log) {
    this.log = log;
  }

  /** Records that a run of a step succeeded, or lasted so long that the step works. */
  void recordSuccess(JobStep step) {
    failuresByStep.remove(step);
  }

  /**
   * Records a failed run. If this shows that the step is faulty, its failures are forgiven to all
   * workers. Those of a task that fails each time are not held against further ones.
   *
   * @return whether the failure is held against the worker
   */
  boolean recordFailure(Worker worker, Task task) {
    JobStep step = task.step();
    Failures failures = failuresByStep.computeIfAbsent(step, key -> new Failures());
    failures.workers.add(worker);
    if (!failures.stepFaulty && isFaulty(step, failures.workers)) {
      failures.stepFaulty = true;
      failures.workers.forEach(failed -> failed.history().forgive(step));
      log.record(
          Decision.STEP_FAULTY,
          "job",
          step.job().id(),
          "occurrence",
          step.occurrence(),
          "step",
          step.number(),
          "workers",
          failures.workers.size());
    }
    return !failures.stepFaulty && !task.failsRepeatedly();
  }

  private static boolean isFaulty(JobStep step, Set<Worker> failedOn) {
    if (failedOn.size() < MIN_WORKERS) {
      return false;
    }
    Set<String> others = new HashSet<>();
    for (Task task : step.tasks()) {
      for (Run run : task.runs()) {
        others.add(run.worker());
      }
    }
    failedOn.forEach(worker -> others.remove(worker.id()));
    return failedOn.size() > others.size();
  }

  /** Discards what is known of the steps of a job that has ended. */
  void removeJob(Job job) {
    failuresByStep.keySet().removeIf(step -> step.job() == job);
  }

  /** The failures of a step since its last success. */
  private static final class Failures {
    private final Set<Worker> workers = new HashSet<>();
    private boolean stepFaulty;
  }
}
