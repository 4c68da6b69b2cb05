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
  void aCallerLearnsInTimeThatASilentOwnerLeavesItsRequestUndecided() throws Exception {
    CompletableFuture<JobAnswer> never = new CompletableFuture<>();
    JobAnswer answer =
        CallRouter.inTime(never, SHORT_MILLIS).get(LONG_MILLIS, TimeUnit.MILLISECONDS);
    assertInstanceOf(JobAnswer.Undecided.class, answer);
  }

  @Test
  void anAnswerThatComesInTimeIsTheOneThatTheCallerGets() throws Exception {
    CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
    CompletableFuture<JobAnswer> timed = CallRouter.inTime(answer, LONG_MILLIS);
    answer.complete(new JobAnswer.Accepted());
    assertEquals(new JobAnswer.Accepted(), timed.get(LONG_MILLIS, TimeUnit.MILLISECONDS));
  }

  @Test
  void aCallerWithLittlePatienceIsHeldForMoreOfIt() {
    assertEquals(1_350, FrontServer.heldMillis(3_000));
    assertEquals(425, FrontServer.heldMillis(500));
    assertTrue(FrontServer.heldMillis(1_500) <= 900);
  }
}
