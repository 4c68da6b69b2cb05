package org.lavenderstage.bench.request;

/** The routing policies that the benchmark compares. */
enum PolicyKind {
  /** One queue that knows the state of all executors without delay; an ideal, not implementable. */
  CENTRAL,
  /** A random executor. */
  RANDOM,
  /** The executors in turn. */
  ROUND_ROBIN,
  /** The less loaded of two random executors, by the entry's own count of requests. */
  LEAST_OF_TWO,
  /** Slots owned by entries, with lending, latency tracking, circuit breakers and admission. */
  SHARED
}
