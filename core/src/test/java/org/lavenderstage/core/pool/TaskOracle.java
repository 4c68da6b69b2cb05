package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/** Observes all runs on the workers, and records violations of the guarantees about tasks. */
final class TaskOracle {
  final List<String> violations = new ArrayList<>();
  private final Map<TaskId, Set<String>> runningOn = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final Set<TaskId> acknowledgedDone = new HashSet<>();
  private final Map<TaskId, Integer> failures = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();

  /** Runs that are done, by task; a run is named by its worker, incarnation and number. */
  private final Map<TaskId, List<String>> doneRuns = new HashMap<>();

  /** First start after a run that is done; a violation once that run is acknowledged. */
  private final Map<String, String> startsAfterRun = new HashMap<>();

  void started(Run run, String worker, long now) {
    TaskId task = run.task().id();
    Set<String> workersOfTask = runningOn.computeIfAbsent(task, key -> new HashSet<>());
    boolean speculative = run.task().step().spec().speculative();
    if (!workersOfTask.isEmpty() && !speculative) {
      violations.add(now + ": " + task + " starts on " + worker + " and runs on " + workersOfTask);
    }
    workersOfTask.add(worker);
    if (acknowledgedDone.contains(task) && !speculative) {
      violations.add(now + ": " + task + " starts after its completion was acknowledged");
    }
    if (!speculative) {
      for (String endedRun : doneRuns.getOrDefault(task, List.of())) {
        startsAfterRun.putIfAbsent(endedRun, task + " starts on " + worker + " at " + now);
      }
    }
    JobStep step = run.task().step();
    for (int dependency : step.spec().dependsOn()) {
      for (int i = 0; i < step.job().record().steps().get(dependency).count(); i++) {
        if (!done.contains(new TaskId(task.job(), task.occurrence(), dependency, i))) {
          violations.add(now + ": " + task + " starts before step " + dependency + " is done");
        }
      }
    }
    if (failures.getOrDefault(task, 0) >= step.job().rules().maxAttempts()
        && !step.spec().lasting()) {
      violations.add(now + ": " + task + " starts after all its attempts have failed");
    }
    if (cancelledAt.containsKey(task.job()) && now > cancelledAt.get(task.job()) + 3_000) {
      violations.add(now + ": " + task + " starts though its job is cancelled");
    }
  }

  void ended(TaskId task, String worker, EndKind kind, String endedRun, long now) {
    runningOn.getOrDefault(task, new HashSet<>()).remove(worker);
    if (kind == EndKind.DONE) {
      done.add(task);
      doneRuns.computeIfAbsent(task, key -> new ArrayList<>()).add(endedRun);
    }
  }

  void acknowledged(TaskId task, EndKind kind, String endedRun, long now) {
    if (kind == EndKind.DONE) {
      acknowledgedDone.add(task);
      if (startsAfterRun.containsKey(endedRun)) {
        violations.add(
            now
                + ": "
                + startsAfterRun.get(endedRun)
                + " after the end of "
                + endedRun
                + ", which was acknowledged later");
      }
    } else if (kind == EndKind.FAILED) {
      failures.merge(task, 1, Integer::sum);
    }
  }

  void cancelled(String job, long now) {
    cancelledAt.putIfAbsent(job, now);
  }

  /** Returns the number of tasks that are done. */
  int doneCount() {
    return done.size();
  }

  boolean isDone(TaskId task) {
    return done.contains(task);
  }

  boolean isRunning(TaskId task) {
    return !runningOn.getOrDefault(task, Set.of()).isEmpty();
  }
}
