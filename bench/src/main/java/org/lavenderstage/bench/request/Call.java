package org.lavenderstage.bench.request;

/** One submission of a caller, from its arrival to its end. */
final class Call {
  final Arrival arrival;
  final long atNanos;
  final boolean returning;
  int attempts;
  boolean done;

  Call(Arrival arrival, long atNanos, boolean returning) {
    this.arrival = arrival;
    this.atNanos = atNanos;
    this.returning = returning;
  }

  long deadlineNanos() {
    return atNanos + ArrivalPlan.TIMEOUT_NANOS;
  }
}
