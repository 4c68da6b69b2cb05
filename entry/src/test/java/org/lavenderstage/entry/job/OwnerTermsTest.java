package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobState;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;

class OwnerTermsTest {
  private static final String JOB = "00000000000000aa";
  private static final long ANSWER_SECONDS = 5;

  private final MemoryLog log = new MemoryLog();
  private final OwnerTerms first = TestTerms.over(log);
  private final OwnerTerms second = TestTerms.over(log);

  @AfterEach
  void endTerms() {
    first.end();
    second.end();
  }

  private static OwnerTerms.Claim claim(OwnerTerms terms, String entry, long replaced)
      throws InterruptedException {
    return terms.claim(entry, entry + ":1", replaced, former -> false, () -> true);
  }

  private static JobAnswer ask(OwnerTerms terms, JobVerb verb)
      throws InterruptedException, ExecutionException, TimeoutException {
    Optional<JobRecord> submission = verb == JobVerb.SUBMIT ? Optional.of(job()) : Optional.empty();
    JobCall call = new JobCall("r", verb, "queue", JOB, submission, Time.steadyMillis() + 3_000);
    return terms.current().orElseThrow().call(call).get(ANSWER_SECONDS, TimeUnit.SECONDS);
  }

  private static JobRecord job() {
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 100);
    StepSpec step =
        new StepSpec(
            1, 1_000, 100, 0, 100, List.of(), false, false, false, "", "", 0, false, false, "", 0,
            false, 0);
    return new JobRecord(JOB, rules, 1, "payload", List.of(step), 0, 0, 0);
  }

  @Test
  void aClaimIsGivenUpWhereTheLogHoldsANewerOne() throws InterruptedException {
    assertInstanceOf(OwnerTerms.Claim.Won.class, claim(first, "a", 0));
    OwnerTerms.Claim late = claim(second, "b", 0);
    OwnerTerms.Claim.Overtaken overtaken = assertInstanceOf(OwnerTerms.Claim.Overtaken.class, late);
    assertEquals(new OwnerView(1, "a", "a:1"), overtaken.owner());
  }

  @Test
  void aClaimGoesOnWhereTheProcessOfTheNewerOneHasEnded() throws InterruptedException {
    claim(first, "a", 0);
    OwnerTerms.Claim later = second.claim("b", "b:1", 0, "a"::equals, () -> true);
    assertEquals(2, assertInstanceOf(OwnerTerms.Claim.Won.class, later).owner().term());
  }

  @Test
  void anAcceptedJobIsKnownToTheNextOwner() throws Exception {
    claim(first, "a", 0);
    assertEquals(new JobAnswer.Accepted(), ask(first, JobVerb.SUBMIT));
    claim(second, "b", 1);
    assertEquals(new JobAnswer.State(JobState.QUEUED), ask(second, JobVerb.STATE));
  }

  @Test
  void anAppendWithoutItsAnswerIsFoundInTheLog() throws Exception {
    claim(first, "a", 0);
    log.answersToLose = 1;
    assertEquals(new JobAnswer.Accepted(), ask(first, JobVerb.SUBMIT));
  }

  @Test
  void aReplacedOwnerAcceptsNothing() throws Exception {
    claim(first, "a", 0);
    claim(second, "b", 1);
    assertInstanceOf(JobAnswer.Undecided.class, ask(first, JobVerb.SUBMIT));
    assertEquals(new JobAnswer.UnknownJob(), ask(second, JobVerb.STATE));
  }

  @Test
  void aClaimNeedsNoHistory() throws Exception {
    claim(first, "a", 0);
    ask(first, JobVerb.SUBMIT);
    log.forgetHistory(LogTopic.JOBS);
    assertInstanceOf(OwnerTerms.Claim.Won.class, claim(second, "b", 1));
    assertEquals(new JobAnswer.State(JobState.QUEUED), ask(second, JobVerb.STATE));
  }

  @Test
  void jobsAreTurnedAwayWhileTheStoreIsDown() throws Exception {
    claim(first, "a", 0);
    log.down = true;
    JobAnswer undecided = ask(first, JobVerb.SUBMIT);
    assertInstanceOf(JobAnswer.Undecided.class, undecided);
    JobCall next =
        new JobCall(
            "r2", JobVerb.SUBMIT, "queue", "bb", Optional.of(job()), Time.steadyMillis() + 3_000);
    JobAnswer rejected =
        first.current().orElseThrow().call(next).get(ANSWER_SECONDS, TimeUnit.SECONDS);
    assertTrue(
        rejected instanceof JobAnswer.Rejected r && r.retryAfterMillis() > 0, rejected.toString());
  }
}
