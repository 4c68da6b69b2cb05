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

/** Which claims in the log an entry may take for its own after an append without an answer. */
class OpenClaimTest {
  private static final long ANSWER_SECONDS = 5;
  private static final String FORMER_LIFE = new Incarnation("vm-1", 1_000).toString();
  private static final String LATER_LIFE = new Incarnation("vm-1", 2_000).toString();
  private static final String OTHER = new Incarnation("vm-2", 3_000).toString();

  private final MemoryLog log = new MemoryLog();
  private final OwnerTerms terms = TestTerms.over(log);
  private final OwnerTerms others = TestTerms.over(log);

  @AfterEach
  void endTerms() {
    terms.end();
    others.end();
  }

  private static OwnerTerms.Claim claim(
      OwnerTerms terms, String entry, long replaced, Predicate<String> isGone)
      throws InterruptedException {
    return terms.claim(entry, entry + ":1", replaced, isGone, () -> true);
  }

  private static OwnerTerms.Claim claim(OwnerTerms terms, String entry, long replaced)
      throws InterruptedException {
    return claim(terms, entry, replaced, former -> false);
  }

  private static void assertWon(long term, OwnerTerms.Claim claim) {
    assertEquals(term, assertInstanceOf(OwnerTerms.Claim.Won.class, claim).owner().term());
  }

  private static void assertOvertaken(long term, String entry, OwnerTerms.Claim claim) {
    assertEquals(
        new OwnerView(term, entry, entry + ":1"),
        assertInstanceOf(OwnerTerms.Claim.Overtaken.class, claim).owner());
  }

  private Runnable otherClaims(long replaced) {
    return () -> {
      try {
        claim(others, OTHER, replaced);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    };
  }

  private static JobAnswer ask(OwnerTerms terms, JobVerb verb, String job) throws Exception {
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 100);
    StepSpec step =
        new StepSpec(
            1, 1_000, 100, 0, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0,
            false, 0);
    JobRecord record = new JobRecord(job, rules, 1, "payload", List.of(step), 0, 0, 0);
    Optional<JobRecord> submission =
        verb == JobVerb.SUBMIT ? Optional.of(record) : Optional.empty();
    JobCall call = new JobCall("r", verb, "queue", job, submission, Time.steadyMillis() + 3_000);
    return terms.current().orElseThrow().call(call).get(ANSWER_SECONDS, TimeUnit.SECONDS);
  }

  /** An entry that took its own claim for another's left the jobs without an owner for a while. */
  @Test
  void anEntryOwnsTheJobsUnderItsClaimWithoutAnswer() throws Exception {
    claim(others, OTHER, 0);
    assertEquals(new JobAnswer.Accepted(), ask(others, JobVerb.SUBMIT, "00000000000000aa"));
    log.answersToLose = 1;
    assertWon(2, claim(terms, LATER_LIFE, 1));
    assertEquals(
        new JobAnswer.State(JobState.QUEUED), ask(terms, JobVerb.STATE, "00000000000000aa"));
    assertEquals(new JobAnswer.Accepted(), ask(terms, JobVerb.SUBMIT, "00000000000000bb"));
  }

  /** The copy without an answer is carried out after the log was read without it. */
  @Test
  void anEntryOwnsTheJobsUnderTheLateCopyOfItsClaim() throws Exception {
    log.appendsToDelay = 1;
    assertWon(1, claim(terms, LATER_LIFE, 0));
    assertEquals(new JobAnswer.Accepted(), ask(terms, JobVerb.SUBMIT, "00000000000000aa"));
  }

  @Test
  void anEntryFindsItsOpenClaimOnceTheStoreIsBack() throws InterruptedException {
    log.answersToLose = 1;
    log.onceUnanswered = () -> log.down = true;
    assertInstanceOf(OwnerTerms.Claim.Failed.class, claim(terms, LATER_LIFE, 0));
    log.down = false;
    assertWon(1, claim(terms, LATER_LIFE, 0));
  }

  /** Other entries that read the open claim tell its maker of it. */
  @Test
  void anEntryFindsItsOpenClaimThoughItIsKnownAsItsOwner() throws InterruptedException {
    log.answersToLose = 1;
    log.onceUnanswered = () -> log.down = true;
    claim(terms, LATER_LIFE, 0);
    log.down = false;
    assertWon(1, claim(terms, LATER_LIFE, 1));
  }

  /** The orders of a term come from one scheduler only. */
  @Test
  void aTermThatHasEndedIsNotBegunAgain() throws InterruptedException {
    assertWon(1, claim(terms, LATER_LIFE, 0));
    terms.end();
    assertOvertaken(1, LATER_LIFE, claim(terms, LATER_LIFE, 0));
    assertWon(2, claim(terms, LATER_LIFE, 1));
  }

  @Test
  void aTermOfAClaimWithoutAnswerThatHasEndedIsNotBegunAgain() throws InterruptedException {
    log.answersToLose = 1;
    assertWon(1, claim(terms, LATER_LIFE, 0));
    terms.end();
    assertOvertaken(1, LATER_LIFE, claim(terms, LATER_LIFE, 0));
    log.answersToLose = 1;
    assertWon(2, claim(terms, LATER_LIFE, 1));
  }

  @Test
  void aLaterLifeDoesNotTakeTheClaimThatItsFormerLifeLeftOpen() throws InterruptedException {
    log.answersToLose = 1;
    log.onceUnanswered = () -> log.down = true;
    assertInstanceOf(OwnerTerms.Claim.Failed.class, claim(others, FORMER_LIFE, 0));
    log.down = false;
    assertOvertaken(1, FORMER_LIFE, claim(terms, LATER_LIFE, 0));
    assertWon(2, claim(terms, LATER_LIFE, 0, FORMER_LIFE::equals));
  }

  /** What a process has appended it knows by itself, not by its name in the log. */
  @Test
  void aProcessThatHasAppendedNoClaimTakesNoneUnderItsName() throws InterruptedException {
    claim(others, LATER_LIFE, 0);
    assertOvertaken(1, LATER_LIFE, claim(terms, LATER_LIFE, 0));
  }

  @Test
  void anothersClaimOfTheSameTermIsNotTaken() throws InterruptedException {
    log.appendsToLose = 1;
    log.onceUnanswered = otherClaims(0);
    assertOvertaken(1, OTHER, claim(terms, LATER_LIFE, 0));
  }

  @Test
  void anOpenClaimThatAnotherEntryHasReplacedIsNotTaken() throws InterruptedException {
    log.answersToLose = 1;
    log.onceUnanswered = otherClaims(1);
    assertOvertaken(2, OTHER, claim(terms, LATER_LIFE, 0));
  }

  /** The claim is read, and another entry's behind it is not read yet. */
  @Test
  void anOpenClaimIsNotTakenWhereMoreWasAppendedBehindIt() throws InterruptedException {
    log.answersToLose = 1;
    log.onceUnanswered = () -> log.beforeReads.addAll(List.of(() -> {}, otherClaims(1)));
    assertOvertaken(2, OTHER, claim(terms, LATER_LIFE, 0));
  }
}
