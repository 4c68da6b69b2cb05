package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobAnswer;

class CallRouterTest {
  private static final long SHORT_MILLIS = 50;
  private static final long LONG_MILLIS = 60_000;

  @Test
  void callerIsAnsweredInTimeWhenOwnerDoesNotReply() throws Exception {
    CompletableFuture<JobAnswer> pendingAnswer = new CompletableFuture<>();
    JobAnswer answer =
        CallRouter.withTimeout(pendingAnswer, SHORT_MILLIS).get(LONG_MILLIS, TimeUnit.MILLISECONDS);
    assertInstanceOf(JobAnswer.Undecided.class, answer);
  }

  @Test
  void callerReceivesAnswerThatArrivesInTime() throws Exception {
    CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
    CompletableFuture<JobAnswer> timed = CallRouter.withTimeout(answer, LONG_MILLIS);
    answer.complete(new JobAnswer.Accepted());
    assertEquals(new JobAnswer.Accepted(), timed.get(LONG_MILLIS, TimeUnit.MILLISECONDS));
  }

  @Test
  void callerWithShortDeadlineWaitsForLargerFraction() {
    assertEquals(1_350, FrontServer.replyTimeoutMillis(3_000));
    assertEquals(425, FrontServer.replyTimeoutMillis(500));
    assertTrue(FrontServer.replyTimeoutMillis(1_500) <= 900);
  }
}
