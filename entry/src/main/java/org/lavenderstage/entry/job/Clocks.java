package org.lavenderstage.entry.job;

/** The monotonic clock and the wall clock of the process, in milliseconds. */
final class Clocks {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private Clocks() {}

  /** Returns a time that never goes back; it may stand still while the VM is suspended. */
  static long monotonicMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  /** Returns the wall-clock time in milliseconds since 1970, which may jump. */
  static long wallMillis() {
    return System.currentTimeMillis();
  }
}
