package org.lavenderstage.bench.request;

/** One submission of a caller, from its arrival to its end. */
final class Call {
  final Arrival arrival;
  final long atNanos;
  final boolean second;
  final boolean marked;
  int attempts;

  private Call(Arrival arrival, long atNanos, boolean second, boolean marked) {
    this.arrival = arrival;
    this.atNanos = atNanos;
    this.second = second;
    this.marked = marked;
  }

  /** A new call. */
  static Call first(Arrival arrival) {
    return new Call(arrival, arrival.atNanos(), false, false);
  }

  /** A caller that comes back; a marked one says so. */
  static Call returning(Arrival arrival, long atNanos, boolean marked) {
    return new Call(arrival, atNanos, true, marked);
  }

  long deadlineNanos() {
    return atNanos + ArrivalPlan.TIMEOUT_NANOS;
  }
}
