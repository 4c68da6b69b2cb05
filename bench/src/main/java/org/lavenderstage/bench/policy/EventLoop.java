package org.lavenderstage.bench.policy;

import java.util.PriorityQueue;

/** Virtual time: runs what was scheduled in order of time, and of scheduling at equal times. */
public final class EventLoop {
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private long nowNanos;
  private long nextOrder;

  /** Starts at time zero. */
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
   * @param delayNanos time from now in nanoseconds
   * @param action the action
   */
  public void schedule(long delayNanos, Runnable action) {
    queue.add(new Scheduled(nowNanos + Math.max(0, delayNanos), nextOrder++, action));
  }

  /**
   * Runs all actions up to a time.
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

  /** One action with its time. */
  private record Scheduled(long atNanos, long order, Runnable action)
      implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
