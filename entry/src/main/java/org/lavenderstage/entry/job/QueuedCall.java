package org.lavenderstage.entry.job;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lavenderstage.core.job.JobAnswer;

/**
 * A caller's request that waits for the owner's thread. If the thread has not taken it shortly
 * before the caller is answered, it is rejected and never has an effect. Thread-safe.
 */
final class QueuedCall {
  /**
   * Longest time reserved for passing a rejection to the entry of the caller, in milliseconds;
   * several round trips.
   */
  private static final long REJECTION_MARGIN_MILLIS = 100;

  /** Time after which callers should retry while the owner is busy, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private static final JobAnswer OWNER_BUSY_ANSWER =
      new JobAnswer.Rejected("the owner of the jobs is busy", RETRY_AFTER_MILLIS);

  private final JobCall call;
  private final CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
  private final AtomicBoolean taken = new AtomicBoolean();

  QueuedCall(JobCall call) {
    this.call = call;
  }

  JobCall call() {
    return call;
  }

  /** Returns the future of the answer, which never completes exceptionally. */
  CompletableFuture<JobAnswer> answer() {
    return answer;
  }

  /**
   * Takes the call in order to handle it.
   *
   * @return false if the call was rejected and must not be handled
   */
  boolean take() {
    return taken.compareAndSet(false, true);
  }

  /** Rejects the call unless it was taken. */
  void reject() {
    if (take()) {
      answer.complete(OWNER_BUSY_ANSWER);
    }
  }

  /** Rejects the call when its time is nearly over, unless it was taken by then. */
  void rejectInTime(long nowMillis) {
    long remainingMillis = Math.max(0, call.answerByMillis() - nowMillis);
    long marginMillis = Math.min(REJECTION_MARGIN_MILLIS, remainingMillis / 2);
    CompletableFuture.delayedExecutor(
            remainingMillis - marginMillis, TimeUnit.MILLISECONDS, Runnable::run)
        .execute(this::reject);
  }
}
