package org.lavenderstage.entry.job;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.job.JobAnswer;

/**
 * A caller's request on its way to the owner of the jobs. A caller that is answered before the
 * owner replies is told truly whether its request may have an effect: one that reached no owner
 * never will. Thread-safe.
 */
final class ForwardedCall {
  /** Time after which callers should retry while the owner cannot be reached, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final JobCall call;
  private final CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
  private boolean outcomeUnknown;
  private boolean attempting;

  ForwardedCall(JobCall call) {
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
   * Begins an attempt.
   *
   * @return false if the caller was answered, so that the request must not be sent any more
   */
  synchronized boolean beginAttempt() {
    attempting = !answer.isDone();
    return attempting;
  }

  /**
   * Ends an attempt, and answers the caller if the result settles the request. Both are one step: a
   * caller whose time ends in between would be told that the request has no effect.
   *
   * @param result the owner's answer; a rejection with a retry time of 0 reached no owner
   * @return whether the request is settled, so that no other attempt is needed
   */
  synchronized boolean endAttempt(JobAnswer result) {
    attempting = false;
    if (result instanceof JobAnswer.Refused refused && outcomeUnknown) {
      // An earlier copy may still be accepted, but repeating this one would only delay the answer.
      answer.complete(new JobAnswer.Undecided(refused.why()));
      return true;
    }
    boolean settled =
        switch (result) {
          case JobAnswer.Undecided undecided -> {
            outcomeUnknown = true;
            yield false;
          }
          case JobAnswer.Rejected rejected -> rejected.retryAfterMillis() > 0 && !outcomeUnknown;
          default -> true;
        };
    if (settled) {
      answer.complete(result);
    }
    return settled;
  }

  /**
   * Answers the caller with what is known then, unless it was answered already: no attempt begins
   * afterwards. An attempt that is pending goes on, since closing its link would cost a busy owner
   * a new connection for each late reply.
   */
  void answerAfter(long millis) {
    CompletableFuture.delayedExecutor(Math.max(1, millis), TimeUnit.MILLISECONDS, Runnable::run)
        .execute(() -> giveUp("the owner of the jobs gave no answer in time"));
  }

  /** Answers the caller with what is known, unless it was answered already. */
  synchronized void giveUp(String why) {
    answer.complete(
        outcomeUnknown || attempting
            ? new JobAnswer.Undecided(why)
            : new JobAnswer.Rejected(why, RETRY_AFTER_MILLIS));
  }
}
