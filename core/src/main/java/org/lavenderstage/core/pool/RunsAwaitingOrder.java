package org.lavenderstage.core.pool;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lavenderstage.core.job.Run;

/** The tracked runs that may need an order: those that are starting or stopping. */
final class RunsAwaitingOrder {
  private final Set<Run> runs = new LinkedHashSet<>();

  void add(Run run) {
    runs.add(run);
  }

  void remove(Run run) {
    runs.remove(run);
  }

  /** Returns the runs that no start order was sent for. */
  List<Run> unsentStarts() {
    return runs.stream()
        .filter(run -> run.state() == Run.State.STARTING && !run.isStartSent())
        .toList();
  }

  /** Returns the starting runs. */
  List<Run> starts() {
    return runs.stream().filter(run -> run.state() == Run.State.STARTING).toList();
  }

  /** Returns the starting runs of interrupted long-running tasks. */
  List<Run> interruptedStarts() {
    return runs.stream()
        .filter(run -> run.state() == Run.State.STARTING && run.task().hasBegun())
        .toList();
  }

  /** Returns the identifiers of the workers with a run for which an order is due. */
  Set<String> dueWorkers(long nowMillis) {
    runs.removeIf(run -> run.state() != Run.State.STARTING && run.state() != Run.State.STOPPING);
    Set<String> ids = new HashSet<>();
    for (Run run : runs) {
      if (run.isOrderDue(nowMillis)) {
        ids.add(run.worker());
      }
    }
    return ids;
  }
}
