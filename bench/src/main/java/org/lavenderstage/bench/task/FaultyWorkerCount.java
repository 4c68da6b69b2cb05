package org.lavenderstage.bench.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counts the tasks that bad workers are given after three distinct jobs failed on them. */
final class BadWorkerCount {
  private static final int FAILURES_TO_SHOW = 3;
  private static final long HOUR_MILLIS = 3_600_000;

  private final List<Integer> bad;
  private final Map<Integer, Set<String>> failures = new HashMap<>();
  private final Map<Integer, List<Long>> starts = new HashMap<>();

  BadWorkerCount(List<Integer> bad) {
    this.bad = bad;
  }

  void failed(int worker, String job, long nowMillis) {
    if (bad.contains(worker) && nowMillis >= TaskCase.BAD_FROM_MILLIS) {
      failures.computeIfAbsent(worker, key -> new HashSet<>()).add(job);
    }
  }

  void started(int worker, long nowMillis) {
    if (failures.getOrDefault(worker, Set.of()).size() >= FAILURES_TO_SHOW) {
      starts.computeIfAbsent(worker, key -> new ArrayList<>()).add(nowMillis);
    }
  }

  int worstPerHour() {
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
