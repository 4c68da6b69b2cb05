package org.lavenderstage.bench.request;

/** One submission of a request by a caller: the first one or a retry. */
final class Call {
  final Arrival arrival;
  final long atNanos;
  final boolean isRetry;
  final boolean marked;
  int attempts;

  private Call(Arrival arrival, long atNanos, boolean isRetry, boolean marked) {
    this.arrival = arrival;
    this.atNanos = atNanos;
    this.isRetry = isRetry;
    this.marked = marked;
  }

  /** Creates the first submission of a request. */
  static Call first(Arrival arrival) {
    return new Call(arrival, arrival.atNanos(), false, false);
  }

  /** Creates a retry; a marked retry identifies itself as scheduled. */
  static Call retry(Arrival arrival, long atNanos, boolean marked) {
    return new Call(arrival, atNanos, true, marked);
  }

  long deadlineNanos() {
    return atNanos + ArrivalPlan.TIMEOUT_NANOS;
  }
}
