package org.lavenderstage.standin.executor;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the runs of each idempotency key over all fake executors of a deployment. */
public final class RunLedger {
  private final ConcurrentMap<String, Integer> runs = new ConcurrentHashMap<>();
  private final LongAdder repeatedRuns = new LongAdder();

  /** Creates an empty ledger. */
  public RunLedger() {}

  /**
   * Records the start of a request.
   *
   * @param workspace workspace of the caller
   * @param key idempotency key, empty for an idempotent request, which is not counted
   */
  public void started(String workspace, String key) {
    if (!key.isEmpty() && runs.merge(workspace + '/' + key, 1, Integer::sum) > 1) {
      repeatedRuns.increment();
    }
  }

  /**
   * Returns how often requests with a key ran.
   *
   * @param workspace workspace of the caller
   * @param key idempotency key
   * @return the number of runs
   */
  public int runs(String workspace, String key) {
    return runs.getOrDefault(workspace + '/' + key, 0);
  }

  /**
   * Returns how many runs followed an earlier run with the same key.
   *
   * @return the number of repeated runs
   */
  public long repeatedRuns() {
    return repeatedRuns.sum();
  }
}
