package org.lavenderstage.bench.request;

/** Receives the outcome of each call. */
interface CallLog {
  /** Called when a call has been answered. */
  void answered(Call call, long nowNanos);

  /** Called when a call was rejected, with the delay after which to retry, -1 for no retry. */
  void refused(Call call, long nowNanos, long retryAfterNanos);

  /** Called when an entry sends a call to an executor. */
  default void sent(FakeEntry entry, Call call) {}
}
