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

/** Sees what the workers see, and notes where a promise about tasks is broken. */
final class TaskOracle {
  final List<String> violations = new ArrayList<>();
  private final Map<TaskId, Set<String>> runningOn = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final Set<TaskId> notedDone = new HashSet<>();
  private final Map<TaskId, Integer> failures = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();

  /** Ends of runs that are done, by task; an end is named by its worker, life and number. */
  private final Map<TaskId, List<String>> doneEnds = new HashMap<>();

  /** For ends that are done, the first start after them; it counts once the end is noted. */
  private final Map<String, String> startsAfter = new HashMap<>();

  void started(Run run, String worker, long now) {
    TaskId task = run.task().id();
    Set<String> places = runningOn.computeIfAbsent(task, key -> new HashSet<>());
    boolean speculative = run.task().step().spec().speculative();
    if (!places.isEmpty() && !speculative) {
      violations.add(now + ": " + task + " starts on " + worker + " and runs on " + places);
    }
    places.add(worker);
    if (notedDone.contains(task) && !speculative) {
      violations.add(now + ": " + task + " starts after its end was noted");
    }
    if (!speculative) {
      for (String end : doneEnds.getOrDefault(task, List.of())) {
        startsAfter.putIfAbsent(end, task + " starts on " + worker + " at " + now);
      }
    }
    JobStep step = run.task().step();
    for (int before : step.spec().dependsOn()) {
      for (int i = 0; i < step.job().record().steps().get(before).count(); i++) {
        if (!done.contains(new TaskId(task.job(), task.occurrence(), before, i))) {
          violations.add(now + ": " + task + " starts before step " + before + " is done");
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

  void ended(TaskId task, String worker, EndKind kind, String end, long now) {
    runningOn.getOrDefault(task, new HashSet<>()).remove(worker);
    if (kind == EndKind.DONE) {
      done.add(task);
      doneEnds.computeIfAbsent(task, key -> new ArrayList<>()).add(end);
    }
  }

  void noted(TaskId task, EndKind kind, String end, long now) {
    if (kind == EndKind.DONE) {
      notedDone.add(task);
      if (startsAfter.containsKey(end)) {
        violations.add(
            now + ": " + startsAfter.get(end) + " after its end " + end + ", noted since");
      }
    } else if (kind == EndKind.FAILED) {
      failures.merge(task, 1, Integer::sum);
    }
  }

  void cancelled(String job, long now) {
    cancelledAt.putIfAbsent(job, now);
  }

  /** Counts the tasks of which a run is done. */
  int endCount() {
    return done.size();
  }

  boolean isDone(TaskId task) {
    return done.contains(task);
  }

  boolean isRunning(TaskId task) {
    return !runningOn.getOrDefault(task, Set.of()).isEmpty();
  }
}
