package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobState;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;

/** Tests which claims in the log an entry may adopt after an append that was not answered. */
class PendingClaimTest {
  private static final long ANSWER_SECONDS = 5;
  private static final String EARLIER_INCARNATION = new Incarnation("vm-1", 1_000).toString();
  private static final String LATER_INCARNATION = new Incarnation("vm-1", 2_000).toString();
  private static final String OTHER_ENTRY = new Incarnation("vm-2", 3_000).toString();

  private final InMemoryKeyedLog log = new InMemoryKeyedLog();
  private final OwnershipManager ownership = TestOwnership.managerOf(log);
  private final OwnershipManager otherOwnership = TestOwnership.managerOf(log);

  @AfterEach
  void endOwnership() {
    ownership.end();
    otherOwnership.end();
  }

  private static OwnershipManager.ClaimResult claim(
      OwnershipManager manager, String entry, long replacedTerm, Predicate<String> hasEnded)
      throws InterruptedException {
    return manager.claim(entry, entry + ":1", replacedTerm, hasEnded, () -> true);
  }

  private static OwnershipManager.ClaimResult claim(
      OwnershipManager manager, String entry, long replacedTerm) throws InterruptedException {
    return claim(manager, entry, replacedTerm, incarnation -> false);
  }

  private static void assertWon(long term, OwnershipManager.ClaimResult result) {
    assertEquals(
        term, assertInstanceOf(OwnershipManager.ClaimResult.Won.class, result).owner().term());
  }

  private static void assertOvertaken(
      long term, String entry, OwnershipManager.ClaimResult result) {
    assertEquals(
        new OwnerView(term, entry, entry + ":1"),
        assertInstanceOf(OwnershipManager.ClaimResult.Overtaken.class, result).owner());
  }

  private Runnable claimByOtherEntry(long replacedTerm) {
    return () -> {
      try {
        claim(otherOwnership, OTHER_ENTRY, replacedTerm);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    };
  }

  private static JobAnswer sendCall(OwnershipManager manager, JobVerb verb, String job)
      throws Exception {
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 100);
    StepSpec step =
        new StepSpec(
            1, 1_000, 100, 0, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0,
            false, 0);
    JobRecord record = new JobRecord(job, rules, 1, "payload", List.of(step), 0, 0, 0);
    Optional<JobRecord> submission =
        verb == JobVerb.SUBMIT ? Optional.of(record) : Optional.empty();
    JobCall call =
        new JobCall("r", verb, "queue", job, submission, Clocks.monotonicMillis() + 3_000);
    return manager.current().orElseThrow().call(call).get(ANSWER_SECONDS, TimeUnit.SECONDS);
  }

  /** An entry mistook its own claim for another entry's, which left the jobs without an owner. */
  @Test
  void entryOwnsJobsAfterUnansweredClaim() throws Exception {
    claim(otherOwnership, OTHER_ENTRY, 0);
    assertEquals(
        new JobAnswer.Accepted(), sendCall(otherOwnership, JobVerb.SUBMIT, "00000000000000aa"));
    log.appendAnswersToLose = 1;
    assertWon(2, claim(ownership, LATER_INCARNATION, 1));
    assertEquals(
        new JobAnswer.State(JobState.QUEUED),
        sendCall(ownership, JobVerb.STATE, "00000000000000aa"));
    assertEquals(new JobAnswer.Accepted(), sendCall(ownership, JobVerb.SUBMIT, "00000000000000bb"));
  }

  /** The unanswered append is carried out after the log was read without the claim. */
  @Test
  void entryOwnsJobsAfterDelayedClaim() throws Exception {
    log.appendsToDelay = 1;
    assertWon(1, claim(ownership, LATER_INCARNATION, 0));
    assertEquals(new JobAnswer.Accepted(), sendCall(ownership, JobVerb.SUBMIT, "00000000000000aa"));
  }

  @Test
  void pendingClaimIsFoundWhenStoreIsAvailableAgain() throws InterruptedException {
    log.appendAnswersToLose = 1;
    log.afterNextUnansweredAppend = () -> log.down = true;
    assertInstanceOf(
        OwnershipManager.ClaimResult.Failed.class, claim(ownership, LATER_INCARNATION, 0));
    log.down = false;
    assertWon(1, claim(ownership, LATER_INCARNATION, 0));
  }

  /** Other entries that have read the pending claim report it to the entry that made it. */
  @Test
  void pendingClaimIsFoundWhenOthersReportItAsOwner() throws InterruptedException {
    log.appendAnswersToLose = 1;
    log.afterNextUnansweredAppend = () -> log.down = true;
    claim(ownership, LATER_INCARNATION, 0);
    log.down = false;
    assertWon(1, claim(ownership, LATER_INCARNATION, 1));
  }

  /** All orders of a term must come from one scheduler. */
  @Test
  void endedTermIsNotStartedAgain() throws InterruptedException {
    assertWon(1, claim(ownership, LATER_INCARNATION, 0));
    ownership.end();
    assertOvertaken(1, LATER_INCARNATION, claim(ownership, LATER_INCARNATION, 0));
    assertWon(2, claim(ownership, LATER_INCARNATION, 1));
  }

  @Test
  void endedTermOfUnansweredClaimIsNotStartedAgain() throws InterruptedException {
    log.appendAnswersToLose = 1;
    assertWon(1, claim(ownership, LATER_INCARNATION, 0));
    ownership.end();
    assertOvertaken(1, LATER_INCARNATION, claim(ownership, LATER_INCARNATION, 0));
    log.appendAnswersToLose = 1;
    assertWon(2, claim(ownership, LATER_INCARNATION, 1));
  }

  @Test
  void pendingClaimOfEarlierIncarnationIsNotAdopted() throws InterruptedException {
    log.appendAnswersToLose = 1;
    log.afterNextUnansweredAppend = () -> log.down = true;
    assertInstanceOf(
        OwnershipManager.ClaimResult.Failed.class, claim(otherOwnership, EARLIER_INCARNATION, 0));
    log.down = false;
    assertOvertaken(1, EARLIER_INCARNATION, claim(ownership, LATER_INCARNATION, 0));
    assertWon(2, claim(ownership, LATER_INCARNATION, 0, EARLIER_INCARNATION::equals));
  }

  /** A process recognizes its claims by having appended them, not by its name in the log. */
  @Test
  void claimUnderOwnNameIsNotAdoptedWithoutAppend() throws InterruptedException {
    claim(otherOwnership, LATER_INCARNATION, 0);
    assertOvertaken(1, LATER_INCARNATION, claim(ownership, LATER_INCARNATION, 0));
  }

  @Test
  void claimOfOtherEntryForSameTermIsNotAdopted() throws InterruptedException {
    log.appendsToLose = 1;
    log.afterNextUnansweredAppend = claimByOtherEntry(0);
    assertOvertaken(1, OTHER_ENTRY, claim(ownership, LATER_INCARNATION, 0));
  }

  @Test
  void replacedPendingClaimIsNotAdopted() throws InterruptedException {
    log.appendAnswersToLose = 1;
    log.afterNextUnansweredAppend = claimByOtherEntry(1);
    assertOvertaken(2, OTHER_ENTRY, claim(ownership, LATER_INCARNATION, 0));
  }

  /** The own claim is read before another entry's claim is appended after it. */
  @Test
  void pendingClaimFollowedByOtherRecordsIsNotAdopted() throws InterruptedException {
    log.appendAnswersToLose = 1;
    log.afterNextUnansweredAppend =
        () -> log.beforeReads.addAll(List.of(() -> {}, claimByOtherEntry(1)));
    assertOvertaken(2, OTHER_ENTRY, claim(ownership, LATER_INCARNATION, 0));
  }
}
