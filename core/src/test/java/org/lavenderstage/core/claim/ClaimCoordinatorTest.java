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
  void aFailingLogIsSaidAtOnce() {
    assertEquals(
        List.of(ResultCode.LOG_UNAVAILABLE),
        codes(claims.arrived(submission(1, 1000), Optional.empty(), true)));
  }

  @Test
  void aProcessThatWasFrozenAfterReadBackGivesUpInsteadOfDispatching() {
    claims.arrived(submission(1, 1000), Optional.empty(), false);
    List<ClaimDecision> won = claims.readBack(CLAIM, true, mine(), true, 50);
    assertInstanceOf(ClaimDecision.Dispatch.class, won.getFirst());
    DispatchCheck check = claims.mayDispatch(KEY, 1, 1000);
    assertFalse(check.allowed());
    assertEquals(List.of(ResultCode.DEADLINE_PASSED), codes(check.decisions()));
    assertFalse(claims.mayDispatch(KEY, 1, 999).allowed());
  }

  @Test
  void aProcessThatWasFrozenBeforeReadBackReleasesTheClaim() {
    claims.arrived(submission(1, 1000), Optional.empty(), false);
    List<ClaimDecision> late = claims.readBack(CLAIM, true, mine(), true, 100);
    assertEquals(List.of(ResultCode.CLAIM_UNREAD), codes(late));
    assertInstanceOf(ClaimDecision.Append.class, late.getLast());
    assertFalse(claims.mayDispatch(KEY, 1, 100).allowed());
  }

  @Test
  void theAnswerThatDeniesComesBeforeTheRelease() {
    claims.arrived(submission(1, 1000), Optional.empty(), false);
    claims.readBack(CLAIM, true, mine(), true, 50);
    List<ClaimDecision> end = claims.ticked(1000);
    assertInstanceOf(ClaimDecision.Answer.class, end.getFirst());
    assertInstanceOf(ClaimDecision.Append.class, end.getLast());
  }

  /** A third entry may have run the request since the owner spoke. */
  @Test
  void anOwnersDenialIsNeverPassedOnAsNotRun() {
    claims.arrived(submission(1, 1000), Optional.empty(), false);
    claims.readBack(CLAIM, true, mine(), true, 50);
    claims.arrived(new ClaimSubmission(2, KEY, 0, 1000, true), mine(), false);
    List<ClaimDecision> end = claims.ticked(1000);
    assertEquals(List.of(ResultCode.DEADLINE_PASSED, ResultCode.CLAIM_RELEASED), codes(end));
    ClaimAnswer denied = ClaimAnswer.of(ResultCode.DEADLINE_PASSED);
    assertEquals(
        List.of(ResultCode.CLAIM_RELEASED),
        codes(claims.ownerReplied(submission(3, 1000), Optional.of(denied), mine())));
  }

  @Test
  void aRepeatAtTheSameEntryGetsTheSameAnswer() {
    dispatched();
    claims.arrived(submission(2, 2000), mine(), false);
    ClaimAnswer answer = ClaimAnswer.upstream(200, "text/plain", new byte[] {1, 2, 3});
    List<ClaimDecision> end = claims.dispatched(KEY, 1, new ClaimResult.Answered(answer));
    assertEquals(new ClaimDecision.Answer(1, answer), end.get(0));
    assertEquals(new ClaimDecision.Answer(2, answer), end.get(1));
    assertEquals(
        List.of(new ClaimDecision.Answer(3, answer)),
        claims.arrived(submission(3, 3000), mine(), false));
  }

  @Test
  void anAnswerThatIsTooLargeToKeepIsSaidToHaveRun() {
    dispatched();
    ClaimAnswer answer = ClaimAnswer.upstream(200, "text/plain", new byte[11]);
    claims.dispatched(KEY, 1, new ClaimResult.Answered(answer));
    assertEquals(0, claims.keptAnswers());
    assertEquals(
        List.of(ResultCode.ANSWER_GONE), codes(claims.arrived(submission(2, 1), mine(), false)));
  }

  @Test
  void aThirdOpenKeyIsRefusedWhereTwoAreAllowed() {
    claims.arrived(submission(1, 1000), Optional.empty(), false);
    claims.arrived(other(2, "k2"), Optional.empty(), false);
    assertEquals(
        List.of(ResultCode.OVERLOADED),
        codes(claims.arrived(other(3, "k3"), Optional.empty(), false)));
  }

  private void dispatched() {
    claims.arrived(submission(1, 1000), Optional.empty(), false);
    claims.readBack(CLAIM, true, mine(), true, 50);
    assertTrue(claims.mayDispatch(KEY, 1, 60).allowed());
  }

  private static Optional<ClaimState> mine() {
    return Optional.of(new ClaimState("me", 1, ClaimState.Phase.CLAIMED, 0));
  }

  private static ClaimSubmission submission(long id, long deadline) {
    return new ClaimSubmission(id, KEY, 0, deadline, false);
  }

  private static ClaimSubmission other(long id, String key) {
    return new ClaimSubmission(id, new RequestKey("w", key), 0, 1000, false);
  }

  private static List<ResultCode> codes(List<ClaimDecision> decisions) {
    return decisions.stream()
        .filter(ClaimDecision.Answer.class::isInstance)
        .map(one -> ((ClaimDecision.Answer) one).answer().code())
        .toList();
  }
}
