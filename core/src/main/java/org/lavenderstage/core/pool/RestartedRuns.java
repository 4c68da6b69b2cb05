package org.lavenderstage.core.pool;

import java.util.Map;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/** Decides what becomes of the runs of a worker that has restarted in place, or may have. */
final class RestartedRuns {
  private final RunTracker runs;

  RestartedRuns(RunTracker runs) {
    this.runs = runs;
  }

  /**
   * Marks the runs of a worker's previous incarnation as lost. Runs that the report contains, or
   * whose state changed after the poll (monotonic time), are of the new incarnation. That one may
   * still carry out an unanswered start, until it reports to a poll with the raised fencing token.
   */
  void handleRestart(Worker worker, WorkerReport report, long polledMillis, long nowMillis) {
    Map<TaskId, UnansweredOrders.Start> pendingStarts = worker.unansweredOrders().starts(nowMillis);
    for (Run run : worker.runs()) {
      UnansweredOrders.Start start = pendingStarts.get(run.task().id());
      boolean mayStillStart =
          run.state() == Run.State.STARTING || (start != null && start.attempt() == run.attempt());
      boolean startedSince =
          run.stateSinceMillis() >= polledMillis || report.contains(run.task().id(), run.attempt());
      if (!startedSince && !mayStillStart) {
        runs.markLost(worker, run, "the worker restarted");
      }
    }
  }

  /**
   * Handles the report that confirms a worker's raised fencing token. The worker ignores all orders
   * sent before, so the runs that it does not list will not be there.
   */
  void handleConfirmation(Worker worker, WorkerReport report) {
    if (!report.isComplete()) {
      return;
    }
    for (Run run : worker.runs()) {
      boolean expected = run.state() == Run.State.STARTING && !run.isStartSent();
      if (!expected && !report.contains(run.task().id(), run.attempt())) {
        runs.markLost(worker, run, "not carried out before its fencing token was raised");
      }
    }
  }
}
