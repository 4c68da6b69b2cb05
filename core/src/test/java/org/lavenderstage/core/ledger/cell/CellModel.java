package org.lavenderstage.core.ledger.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.JobRefused;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;

/**
 * A simple model of the records that took effect. It ignores leases and epochs, and throws an
 * AssertionError if an effect violates an invariant.
 */
final class CellModel {
  private final int workerCpuMillis;
  private final Map<String, Integer> demands = new HashMap<>();
  private final Map<String, TaskPlaced> live = new HashMap<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Set<String> ended = new HashSet<>();
  private final Set<String> cancelled = new HashSet<>();

  CellModel(int workerCpuMillis) {
    this.workerCpuMillis = workerCpuMillis;
  }

  void recordEffect(LedgerRecord record) {
    switch (record) {
      case JobAccepted accepted ->
          require(demands.put(accepted.job(), accepted.cpuMillis()) == null, "job accepted twice");
      case JobCancelled cancel -> cancel(cancel.job());
      case JobRefused refused -> {
        require(!live.containsKey(refused.job()), "job with a live attempt refused");
        end(refused.job());
      }
      case TaskPlaced placed -> place(placed);
      case AttemptEnded attempt -> end(attempt);
      default -> {
        // does not concern jobs
      }
    }
  }

  private void cancel(String job) {
    require(!ended.contains(job), "job cancelled after its end");
    cancelled.add(job);
    if (!live.containsKey(job)) {
      end(job);
    }
  }

  private void place(TaskPlaced placed) {
    String job = placed.job();
    require(demands.containsKey(job), "job placed that was not accepted");
    require(!ended.contains(job), "job placed after its end");
    require(live.put(job, placed) == null, "job with two live attempts");
    require(
        placed.attempt() == attempts.getOrDefault(job, 0) + 1,
        "attempt number not one above the previous one");
    attempts.put(job, placed.attempt());
    require(used(placed.worker()) <= workerCpuMillis, "worker overcommitted");
  }

  private void end(AttemptEnded attempt) {
    TaskPlaced placed = live.remove(attempt.job());
    require(
        placed != null && placed.attempt() == attempt.attempt(), "attempt ended that was not live");
    if (attempt.reason() == EndReason.DONE || cancelled.contains(attempt.job())) {
      end(attempt.job());
    }
  }

  private void end(String job) {
    require(ended.add(job), "job ended twice");
  }

  int used(String worker) {
    return live.values().stream()
        .filter(placed -> placed.worker().equals(worker))
        .mapToInt(placed -> demands.get(placed.job()))
        .sum();
  }

  boolean isLive(String job) {
    return live.containsKey(job);
  }

  private static void require(boolean holds, String violation) {
    if (!holds) {
      throw new AssertionError(violation);
    }
  }
}
