package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.placement.Resources;

/**
 * The runs that the latest report of a worker lists and that the owner does not track, since they
 * are to be stopped. They occupy their resources until a report lacks them.
 */
final class UntrackedRuns {
  private final Map<TaskId, Resources> demands = new HashMap<>();
  private Resources allocated = Resources.NONE;

  /** Forgets all runs; those that have not ended are in the next report. */
  void clear() {
    demands.clear();
    allocated = Resources.NONE;
  }

  void add(TaskId task, Resources demand) {
    if (demands.putIfAbsent(task, demand) == null) {
      allocated = allocated.plus(demand);
    }
  }

  /** Returns the resources that all these runs occupy. */
  Resources allocated() {
    return allocated;
  }

  int countOf(JobStep step) {
    int count = 0;
    for (TaskId task : demands.keySet()) {
      boolean ofStep =
          task.job().equals(step.job().id())
              && task.occurrence() == step.occurrence()
              && task.step() == step.number();
      count += ofStep ? 1 : 0;
    }
    return count;
  }
}
