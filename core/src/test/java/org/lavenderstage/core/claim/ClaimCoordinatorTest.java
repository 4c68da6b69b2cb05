package org.lavenderstage.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.record.RequestClaimed;

class ClaimCoordinatorTest {
  private static final RequestKey KEY = new RequestKey("w", "k");
  private static final RequestClaimed CLAIM = new RequestClaimed("w", "k", "me", 1);

  private final ClaimCoordinator claims =
      new ClaimCoordinator("me", new ClaimLimits(100, 2, 10, 10));

  @Test
  void rejectsSubmissionAtOnceWhileLogFails() {
    assertEquals(
        List.of(ResultCode.LOG_UNAVAILABLE),
        codes(claims.onSubmission(submission(1, 1000), Optional.empty(), true)));
  }

  /** Guards against a dispatch by a process that was paused after its claim was applied. */
  @Test
  void releasesClaimInsteadOfDispatchingPastDeadline() {
    claims.onSubmission(submission(1, 1000), Optional.empty(), false);
    List<ClaimDecision> won = claims.onRecordApplied(CLAIM, true, ownClaim(), true, 50);
    assertInstanceOf(ClaimDecision.Dispatch.class, won.getFirst());
    DispatchCheck check = claims.checkDispatch(KEY, 1, 1000);
    assertFalse(check.allowed());
    assertEquals(List.of(ResultCode.DEADLINE_PASSED), codes(check.decisions()));
    assertFalse(claims.checkDispatch(KEY, 1, 999).allowed());
  }

  /** Guards against a dispatch by a process that was paused before its claim was applied. */
  @Test
  void releasesClaimThatIsAppliedAfterClaimWait() {
    claims.onSubmission(submission(1, 1000), Optional.empty(), false);
    List<ClaimDecision> late = claims.onRecordApplied(CLAIM, true, ownClaim(), true, 100);
    assertEquals(List.of(ResultCode.CLAIM_UNREAD), codes(late));
    assertInstanceOf(ClaimDecision.Append.class, late.getLast());
    assertFalse(claims.checkDispatch(KEY, 1, 100).allowed());
  }

  @Test
  void answersBeforeReleasingClaim() {
    claims.onSubmission(submission(1, 1000), Optional.empty(), false);
    claims.onRecordApplied(CLAIM, true, ownClaim(), true, 50);
    List<ClaimDecision> end = claims.onTick(1000);
    assertInstanceOf(ClaimDecision.Answer.class, end.getFirst());
    assertInstanceOf(ClaimDecision.Append.class, end.getLast());
  }

  /** A third entry may have run the request since the owner replied. */
  @Test
  void doesNotForwardNotRunFromOwner() {
    claims.onSubmission(submission(1, 1000), Optional.empty(), false);
    claims.onRecordApplied(CLAIM, true, ownClaim(), true, 50);
    claims.onSubmission(new ClaimSubmission(2, KEY, 0, 1000, true), ownClaim(), false);
    List<ClaimDecision> end = claims.onTick(1000);
    assertEquals(List.of(ResultCode.DEADLINE_PASSED, ResultCode.CLAIM_RELEASED), codes(end));
    ClaimAnswer denied = ClaimAnswer.of(ResultCode.DEADLINE_PASSED);
    assertEquals(
        List.of(ResultCode.CLAIM_RELEASED),
        codes(claims.onOwnerReply(submission(3, 1000), Optional.of(denied), ownClaim())));
  }

  @Test
  void repeatAtSameEntryGetsSameAnswer() {
    dispatch();
    claims.onSubmission(submission(2, 2000), ownClaim(), false);
    ClaimAnswer answer = ClaimAnswer.upstream(200, "text/plain", new byte[] {1, 2, 3});
    List<ClaimDecision> end = claims.onDispatchResult(KEY, 1, new ClaimResult.Answered(answer));
    assertEquals(new ClaimDecision.Answer(1, answer), end.get(0));
    assertEquals(new ClaimDecision.Answer(2, answer), end.get(1));
    assertEquals(
        List.of(new ClaimDecision.Answer(3, answer)),
        claims.onSubmission(submission(3, 3000), ownClaim(), false));
  }

  @Test
  void reportsRequestAsRunWhereAnswerIsTooLargeToCache() {
    dispatch();
    ClaimAnswer answer = ClaimAnswer.upstream(200, "text/plain", new byte[11]);
    claims.onDispatchResult(KEY, 1, new ClaimResult.Answered(answer));
    assertEquals(0, claims.cachedAnswerCount());
    assertEquals(
        List.of(ResultCode.ANSWER_GONE),
        codes(claims.onSubmission(submission(2, 1), ownClaim(), false)));
  }

  @Test
  void rejectsKeyBeyondOpenKeyLimit() {
    claims.onSubmission(submission(1, 1000), Optional.empty(), false);
    claims.onSubmission(submissionOf(2, "k2"), Optional.empty(), false);
    assertEquals(
        List.of(ResultCode.OVERLOADED),
        codes(claims.onSubmission(submissionOf(3, "k3"), Optional.empty(), false)));
  }

  private void dispatch() {
    claims.onSubmission(submission(1, 1000), Optional.empty(), false);
    claims.onRecordApplied(CLAIM, true, ownClaim(), true, 50);
    assertTrue(claims.checkDispatch(KEY, 1, 60).allowed());
  }

  private static Optional<ClaimState> ownClaim() {
    return Optional.of(new ClaimState("me", 1, ClaimState.Phase.CLAIMED, 0));
  }

  private static ClaimSubmission submission(long id, long deadlineNanos) {
    return new ClaimSubmission(id, KEY, 0, deadlineNanos, false);
  }

  private static ClaimSubmission submissionOf(long id, String key) {
    return new ClaimSubmission(id, new RequestKey("w", key), 0, 1000, false);
  }

  private static List<ResultCode> codes(List<ClaimDecision> decisions) {
    return decisions.stream()
        .filter(ClaimDecision.Answer.class::isInstance)
        .map(decision -> ((ClaimDecision.Answer) decision).answer().code())
        .toList();
  }
}
