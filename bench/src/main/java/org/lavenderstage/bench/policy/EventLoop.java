package org.lavenderstage.bench.policy;

import java.util.PriorityQueue;

/**
 * Event loop in virtual time. Runs scheduled actions in order of their times, and actions with
 * equal times in the order in which they were scheduled.
 */
public final class EventLoop {
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private long nowNanos;
  private long nextSequence;

  /** Creates an event loop at time zero. */
  public EventLoop() {}

  /**
   * Returns the virtual time.
   *
   * @return nanoseconds since the start
   */
  public long nowNanos() {
    return nowNanos;
  }

  /**
   * Schedules an action.
   *
   * @param delayNanos delay from the current virtual time, in nanoseconds
   * @param action action to run
   */
  public void schedule(long delayNanos, Runnable action) {
    queue.add(new Scheduled(nowNanos + Math.max(0, delayNanos), nextSequence++, action));
  }

  /**
   * Runs all actions that are due up to a time, and advances the virtual time to it.
   *
   * @param untilNanos the time in nanoseconds since the start
   */
  public void runUntil(long untilNanos) {
    while (!queue.isEmpty() && queue.peek().atNanos() <= untilNanos) {
      Scheduled next = queue.remove();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = Math.max(nowNanos, untilNanos);
  }

  /** A scheduled action; the sequence number orders actions with equal times. */
  private record Scheduled(long atNanos, long sequence, Runnable action)
      implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
