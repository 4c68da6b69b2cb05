package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobVerb;

class CallRouterTest {
  private static final long SHORT_MILLIS = 50;
  private static final long LONG_MILLIS = 60_000;

  private static ForwardedCall forwarded(boolean outcomeUnknown) {
    JobCall call =
        new JobCall("r", JobVerb.SUBMIT, "queue", "5c0e7a21d94b36f8", Optional.empty(), 0);
    return new ForwardedCall(call, outcomeUnknown);
  }

  private static JobAnswer answerOf(ForwardedCall forwarded) throws Exception {
    return forwarded.answer().get(LONG_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Test
  void callerIsAnsweredInTimeWhenOwnerDoesNotReply() throws Exception {
    ForwardedCall forwarded = forwarded(false);
    assertTrue(forwarded.beginAttempt());
    forwarded.answerAfter(SHORT_MILLIS);
    assertInstanceOf(JobAnswer.Undecided.class, answerOf(forwarded));
  }

  /** Such callers were told that the outcome is unknown, and could not try again elsewhere. */
  @Test
  void callerWhoseRequestWaitedInThisEntryAloneIsRejectedAndItsRequestIsNeverSent()
      throws Exception {
    ForwardedCall forwarded = forwarded(false);
    forwarded.answerAfter(SHORT_MILLIS);
    JobAnswer.Rejected rejected = assertInstanceOf(JobAnswer.Rejected.class, answerOf(forwarded));
    assertTrue(rejected.retryAfterMillis() > 0);
    assertFalse(forwarded.beginAttempt());
  }

  @Test
  void callerWhoseRequestReachedNoOwnerIsRejected() throws Exception {
    ForwardedCall forwarded = forwarded(false);
    assertTrue(forwarded.beginAttempt());
    forwarded.endAttempt(false);
    forwarded.answerAfter(SHORT_MILLIS);
    assertInstanceOf(JobAnswer.Rejected.class, answerOf(forwarded));
  }

  @Test
  void outcomeStaysUnknownAfterLaterAttemptThatReachedNoOwner() throws Exception {
    ForwardedCall forwarded = forwarded(false);
    assertTrue(forwarded.beginAttempt());
    forwarded.endAttempt(true);
    assertTrue(forwarded.beginAttempt());
    forwarded.endAttempt(false);
    forwarded.giveUp("no owner");
    assertInstanceOf(JobAnswer.Undecided.class, answerOf(forwarded));
  }

  @Test
  void outcomeThatWasUnknownBeforeForwardingStaysUnknown() throws Exception {
    ForwardedCall forwarded = forwarded(true);
    forwarded.giveUp("no owner");
    assertInstanceOf(JobAnswer.Undecided.class, answerOf(forwarded));
  }

  @Test
  void callerReceivesAnswerThatArrivesInTime() throws Exception {
    ForwardedCall forwarded = forwarded(false);
    forwarded.answerAfter(LONG_MILLIS);
    assertTrue(forwarded.beginAttempt());
    forwarded.complete(new JobAnswer.Accepted());
    assertEquals(new JobAnswer.Accepted(), answerOf(forwarded));
  }

  @Test
  void callerWithShortDeadlineWaitsForLargerFraction() {
    assertEquals(1_350, FrontServer.replyTimeoutMillis(3_000));
    assertEquals(425, FrontServer.replyTimeoutMillis(500));
    assertTrue(FrontServer.replyTimeoutMillis(1_500) <= 900);
  }
}
