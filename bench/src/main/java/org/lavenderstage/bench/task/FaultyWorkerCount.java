package org.lavenderstage.bench.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counts the tasks that faulty workers receive after three distinct jobs failed on them. */
final class FaultyWorkerCount {
  private static final int FAILED_JOBS_LIMIT = 3;
  private static final long HOUR_MILLIS = 3_600_000;

  private final List<Integer> faultyWorkers;
  private final Map<Integer, Set<String>> failures = new HashMap<>();
  private final Map<Integer, List<Long>> starts = new HashMap<>();

  FaultyWorkerCount(List<Integer> faultyWorkers) {
    this.faultyWorkers = faultyWorkers;
  }

  void failed(int worker, String job, long nowMillis) {
    if (faultyWorkers.contains(worker) && nowMillis >= TaskCase.FAULTY_FROM_MILLIS) {
      failures.computeIfAbsent(worker, key -> new HashSet<>()).add(job);
    }
  }

  void started(int worker, long nowMillis) {
    if (failures.getOrDefault(worker, Set.of()).size() >= FAILED_JOBS_LIMIT) {
      starts.computeIfAbsent(worker, key -> new ArrayList<>()).add(nowMillis);
    }
  }

  int maxStartsPerHour() {
    int worst = 0;
    for (List<Long> times : starts.values()) {
      for (long from : times) {
        long within = times.stream().filter(t -> t >= from && t < from + HOUR_MILLIS).count();
        worst = Math.max(worst, (int) within);
      }
    }
    return worst;
  }
}
