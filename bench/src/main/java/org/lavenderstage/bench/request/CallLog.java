package org.lavenderstage.bench.request;

/** Takes note of what becomes of each call. */
interface CallLog {
  /** A call was answered at a time. */
  void answered(Call call, long nowNanos);

  /** A call was refused at a time and told when to come back, -1 for never. */
  void refused(Call call, long nowNanos, long retryAfterNanos);

  /** A call is sent to an executor by an entry. */
  default void sent(FakeEntry entry, Call call) {}
}
