package org.lavenderstage.bench.request;

/** The ways to route that the bench compares. */
enum PolicyKind {
  /** A single queue that knows every executor at once; no system can be built so. */
  CENTRAL,
  /** Any executor. */
  RANDOM,
  /** The executors in turn. */
  ROUND_ROBIN,
  /** The less loaded one of two, by this entry's own count. */
  LEAST_OF_TWO,
  /** Slot shares with lending, latency, breaker and admission. */
  SHARED
}
