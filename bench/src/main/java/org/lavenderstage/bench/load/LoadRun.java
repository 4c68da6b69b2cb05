package org.lavenderstage.bench.load;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.lavenderstage.wire.settings.LoadSettings;

/**
 * One run of an open-loop load: requests are due at fixed times, whether or not earlier ones have
 * been answered. Latency is measured from the due time, so that stalls of the sender or the target
 * are included (no coordinated omission).
 */
final class LoadRun {
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long SPIN_NANOS = 60_000;
  private static final int MAX_OUTSTANDING = 20_000;
  private static final int DIGITS = 3;
  private static final long DRAIN_SECONDS = 30;

  private final LoadTarget target;
  private final Histogram micros = new ConcurrentHistogram(DIGITS);
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final Semaphore outstanding = new Semaphore(MAX_OUTSTANDING);

  private LoadRun(LoadTarget target) {
    this.target = target;
  }

  /**
   * Sends a warm-up load and then the measured load.
   *
   * @param settings rate and durations
   * @param target destination of the requests
   * @return the results of the measured load
   */
  static LoadResult run(LoadSettings settings, LoadTarget target) {
    new LoadRun(target).send(settings.rate(), settings.warmupSeconds());
    LoadRun measured = new LoadRun(target);
    measured.send(settings.rate(), settings.seconds());
    return new LoadResult(measured.micros, measured.answered.get(), measured.failed.get());
  }

  private void send(int rate, int seconds) {
    long start = System.nanoTime();
    long requests = (long) rate * seconds;
    for (long number = 0; number < requests; number++) {
      long due = start + number * NANOS_PER_SECOND / rate;
      awaitTime(due);
      if (outstanding.tryAcquire()) {
        CompletableFuture<?> unused =
            target.send(number).thenAccept(complete -> finished(due, complete));
      } else {
        failed.incrementAndGet();
      }
    }
    awaitAll();
  }

  private void finished(long due, boolean complete) {
    micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due));
    (complete ? answered : failed).incrementAndGet();
    outstanding.release();
  }

  private static void awaitTime(long due) {
    long remainingNanos = due - System.nanoTime();
    while (remainingNanos > 0) {
      if (remainingNanos > SPIN_NANOS) {
        LockSupport.parkNanos(remainingNanos - SPIN_NANOS);
      } else {
        Thread.onSpinWait();
      }
      remainingNanos = due - System.nanoTime();
    }
  }

  private void awaitAll() {
    try {
      if (outstanding.tryAcquire(MAX_OUTSTANDING, DRAIN_SECONDS, TimeUnit.SECONDS)) {
        outstanding.release(MAX_OUTSTANDING);
      } else {
        failed.addAndGet(MAX_OUTSTANDING - outstanding.availablePermits());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
