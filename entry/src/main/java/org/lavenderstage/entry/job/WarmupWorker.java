package org.lavenderstage.entry.job;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.pool.EndKind;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.WorkerReport;

/** Worker of a warm-up: carries out all orders at once, and ends short tasks after their time. */
final class WarmupWorker {
  /** Tail latency of long-running tasks, in milliseconds; below their target. */
  private static final int TAIL_LATENCY_MILLIS = 20;

  private final String id;
  private final List<ActiveRun> active = new ArrayList<>();
  private final List<WorkerReport.EndedTask> ended = new ArrayList<>();
  private long lastEndedNumber;

  /** A run, which ends by itself at a time. */
  private record ActiveRun(TaskId task, long attempt, StepSpec spec, long endsAtMillis) {}

  WarmupWorker(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  /** Carries out an order at a time in milliseconds. */
  OrderResult execute(Order order, long nowMillis) {
    switch (order) {
      case Order.Start start -> active.add(activeRun(start.run(), nowMillis));
      case Order.Stop stop ->
          end(stop.run().task().id(), stop.run().attempt(), EndKind.STOPPED, Long.MAX_VALUE);
      case Order.StopUntracked stop ->
          end(stop.task(), stop.attempt(), EndKind.STOPPED, Long.MAX_VALUE);
      case Order.SetSpeedLimit limit -> {
        // the speed of a run does not change its end
      }
      case Order.Poll poll -> {
        return new OrderResult.Reported(report(poll, nowMillis));
      }
    }
    return new OrderResult.Accepted(nowMillis);
  }

  private static ActiveRun activeRun(Run run, long nowMillis) {
    StepSpec spec = run.task().step().spec();
    long endsAt = spec.lasting() ? Long.MAX_VALUE : nowMillis + spec.estimateMillis();
    return new ActiveRun(run.task().id(), run.attempt(), spec, endsAt);
  }

  private void end(TaskId task, long attempt, EndKind kind, long latestEndMillis) {
    Iterator<ActiveRun> runs = active.iterator();
    while (runs.hasNext()) {
      ActiveRun run = runs.next();
      if (run.task().equals(task)
          && run.attempt() == attempt
          && (kind == EndKind.STOPPED || run.endsAtMillis() <= latestEndMillis)) {
        runs.remove();
        ended.add(new WorkerReport.EndedTask(++lastEndedNumber, task, attempt, kind, ""));
      }
    }
  }

  private WorkerReport report(Order.Poll poll, long nowMillis) {
    ended.removeIf(run -> run.number() <= poll.acknowledgedUpTo());
    List.copyOf(active).forEach(run -> end(run.task(), run.attempt(), EndKind.DONE, nowMillis));
    List<WorkerReport.RunningTask> running = new ArrayList<>();
    for (ActiveRun run : active) {
      int load = run.spec().lasting() ? TAIL_LATENCY_MILLIS : run.spec().cpuMillis();
      running.add(new WorkerReport.RunningTask(run.task(), run.attempt(), "", 100, load));
    }
    return new WorkerReport(nowMillis, 1, running, ended);
  }
}
