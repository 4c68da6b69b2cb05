package org.lavenderstage.standin.executor;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the runs of each idempotency key over all fake executors of a deployment. */
public final class RunLedger {
  private final ConcurrentMap<String, Integer> runs = new ConcurrentHashMap<>();
  private final LongAdder doubled = new LongAdder();

  /** Starts without runs. */
  public RunLedger() {}

  /**
   * Records that a request starts.
   *
   * @param workspace workspace of the caller
   * @param key idempotency key, empty for an idempotent request
   */
  public void started(String workspace, String key) {
    if (!key.isEmpty() && runs.merge(workspace + '/' + key, 1, Integer::sum) > 1) {
      doubled.increment();
    }
  }

  /**
   * Tells how often a key ran.
   *
   * @param workspace workspace of the caller
   * @param key idempotency key
   * @return the count of runs
   */
  public int runs(String workspace, String key) {
    return runs.getOrDefault(workspace + '/' + key, 0);
  }

  /**
   * Counts runs of a key beyond its first.
   *
   * @return the count
   */
  public long doubled() {
    return doubled.sum();
  }
}
