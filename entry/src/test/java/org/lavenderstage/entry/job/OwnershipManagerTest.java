package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobState;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.WorkerRecord;
import org.lavenderstage.core.pool.Decision;
import org.lavenderstage.wire.codec.StoredCodec;

class OwnershipManagerTest {
  private static final String JOB = "00000000000000aa";
  private static final long ANSWER_SECONDS = 5;

  private final InMemoryKeyedLog log = new InMemoryKeyedLog();
  private final OwnershipManager first = TestOwnership.managerOf(log);
  private final OwnershipManager second = TestOwnership.managerOf(log);

  @AfterEach
  void endOwnership() {
    first.end();
    second.end();
  }

  private static OwnershipManager.ClaimResult claim(
      OwnershipManager manager, String entry, long replacedTerm) throws InterruptedException {
    return manager.claim(entry, entry + ":1", replacedTerm, incarnation -> false, () -> true);
  }

  private static JobAnswer sendCall(OwnershipManager manager, JobVerb verb)
      throws InterruptedException, ExecutionException, TimeoutException {
    Optional<JobRecord> submission = verb == JobVerb.SUBMIT ? Optional.of(job()) : Optional.empty();
    JobCall call =
        new JobCall("r", verb, "queue", JOB, submission, Clocks.monotonicMillis() + 3_000);
    return manager.current().orElseThrow().call(call).get(ANSWER_SECONDS, TimeUnit.SECONDS);
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
  void claimIsOvertakenByNewerOne() throws InterruptedException {
    assertInstanceOf(OwnershipManager.ClaimResult.Won.class, claim(first, "a", 0));
    OwnershipManager.ClaimResult late = claim(second, "b", 0);
    OwnershipManager.ClaimResult.Overtaken overtaken =
        assertInstanceOf(OwnershipManager.ClaimResult.Overtaken.class, late);
    assertEquals(new OwnerView(1, "a", "a:1"), overtaken.owner());
  }

  @Test
  void claimReplacesNewerOneOfEndedProcess() throws InterruptedException {
    claim(first, "a", 0);
    OwnershipManager.ClaimResult result = second.claim("b", "b:1", 0, "a"::equals, () -> true);
    assertEquals(
        2, assertInstanceOf(OwnershipManager.ClaimResult.Won.class, result).owner().term());
  }

  /**
   * Regression: an owner that knew that the process of the last claim had ended did not allow for
   * the owner before, which may not have learned of that claim yet.
   */
  @Test
  void ownerAfterAnEndedOneAllowsForTheOwnerBefore() throws Exception {
    WorkerRecord worker = new WorkerRecord("w", "7", "10.0.0.1:80", 0, 0, 0, 0, null, false, null);
    StoredChange stored = StoredChange.put(worker);
    claim(first, "a", 0);
    log.append(
            LogTopic.JOBS,
            OptionalLong.empty(),
            List.of(new KeyedRecord(stored.key(), Optional.of(StoredCodec.encode(worker)))))
        .get(ANSWER_SECONDS, TimeUnit.SECONDS);
    CompletableFuture<Long> stoppedMillis = new CompletableFuture<>();
    OwnershipManager next =
        TestOwnership.managerOf(
            log,
            (decision, values) -> {
              if (decision == Decision.RENEWAL_STOPPED) {
                stoppedMillis.complete(Clocks.monotonicMillis());
              }
            });
    long knownMillis = Clocks.monotonicMillis();
    next.recordTerm(1);
    try {
      next.claim("b", "b:1", 0, "a"::equals, () -> true);
      long waitedMillis = stoppedMillis.get(ANSWER_SECONDS, TimeUnit.SECONDS) - knownMillis;
      assertTrue(waitedMillis >= TestOwnership.PREVIOUS_OWNER_RENEWAL_MILLIS, waitedMillis + "");
    } finally {
      next.end();
    }
  }

  @Test
  void nextOwnerKnowsAcceptedJob() throws Exception {
    claim(first, "a", 0);
    assertEquals(new JobAnswer.Accepted(), sendCall(first, JobVerb.SUBMIT));
    claim(second, "b", 1);
    assertEquals(new JobAnswer.State(JobState.QUEUED), sendCall(second, JobVerb.STATE));
  }

  @Test
  void unansweredAppendIsFoundInLog() throws Exception {
    claim(first, "a", 0);
    log.appendAnswersToLose = 1;
    assertEquals(new JobAnswer.Accepted(), sendCall(first, JobVerb.SUBMIT));
  }

  @Test
  void replacedOwnerAcceptsNoJobs() throws Exception {
    claim(first, "a", 0);
    claim(second, "b", 1);
    assertInstanceOf(JobAnswer.Undecided.class, sendCall(first, JobVerb.SUBMIT));
    assertEquals(new JobAnswer.UnknownJob(), sendCall(second, JobVerb.STATE));
  }

  @Test
  void claimSucceedsAfterCompaction() throws Exception {
    claim(first, "a", 0);
    sendCall(first, JobVerb.SUBMIT);
    log.compact(LogTopic.JOBS);
    assertInstanceOf(OwnershipManager.ClaimResult.Won.class, claim(second, "b", 1));
    assertEquals(new JobAnswer.State(JobState.QUEUED), sendCall(second, JobVerb.STATE));
  }

  @Test
  void jobsAreRejectedWhileStoreIsDown() throws Exception {
    claim(first, "a", 0);
    log.down = true;
    JobAnswer undecided = sendCall(first, JobVerb.SUBMIT);
    assertInstanceOf(JobAnswer.Undecided.class, undecided);
    JobCall next =
        new JobCall(
            "r2",
            JobVerb.SUBMIT,
            "queue",
            "bb",
            Optional.of(job()),
            Clocks.monotonicMillis() + 3_000);
    JobAnswer rejected =
        first.current().orElseThrow().call(next).get(ANSWER_SECONDS, TimeUnit.SECONDS);
    assertTrue(
        rejected instanceof JobAnswer.Rejected r && r.retryAfterMillis() > 0, rejected.toString());
  }
}
