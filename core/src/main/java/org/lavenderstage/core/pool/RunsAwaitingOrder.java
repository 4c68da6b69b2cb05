package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
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

  /**
   * Returns the runs for which an order is due: first those to be stopped, which free capacity,
   * then interrupted long-running tasks, then the others in the order in which they were placed.
   */
  List<Run> due(long nowMillis) {
    runs.removeIf(run -> run.state() != Run.State.STARTING && run.state() != Run.State.STOPPING);
    List<Run> due = new ArrayList<>();
    for (Run run : runs) {
      if (run.isOrderDue(nowMillis)) {
        due.add(run);
      }
    }
    due.sort(Comparator.comparingInt(RunsAwaitingOrder::precedence));
    return due;
  }

  private static int precedence(Run run) {
    if (run.state() == Run.State.STOPPING) {
      return 0;
    }
    return run.task().hasBegun() ? 1 : 2;
  }
}
