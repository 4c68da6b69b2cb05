package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.entry.log.AppendBudget;
import org.lavenderstage.entry.log.StreamAppender;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLog;
import org.lavenderstage.wire.http.JobRequest;

class JobGatewayTest {
  private static final long WAIT_MILLIS = 5000;
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final FaultSwitch faults = new FaultSwitch();
  private final FakeLog log =
      new FakeLog(System::currentTimeMillis, TimeUnit.HOURS.toMillis(1), faults, 1);
  private final StreamReplica<CellLedger> replica =
      new StreamReplica<>(Cell.streamName("cell"), log, new CellLedger(10));
  private final StreamAppender appender =
      new StreamAppender(
          "entry", replica, log, new AppendBudget(10_000, () -> 1, System::nanoTime), 64);
  private final JobGateway gateway =
      new JobGateway(List.of(new Cell("cell", replica, appender)), WAIT_MILLIS);

  @BeforeEach
  void startWithOneWorker() {
    replica.start();
    await(replica::isReachable);
    assertTrue(appender.offer(new WorkerRegistered("worker", "a", "cell", "rack", 4000, 4000, 0)));
    await(() -> replica.read(stream -> stream.stateMachine().worker("worker").isPresent()));
  }

  @AfterEach
  void stop() {
    appender.close();
    replica.close();
  }

  @Test
  void aJobOfAnotherWorkspaceIsReportedAsMissing() {
    Submission submission = gateway.submit("builders", job(1000)).join();
    assertEquals(ProposalOutcome.IN_LOG, submission.outcome());
    assertTrue(gateway.find("builders", submission.job()).isPresent());
    assertEquals(gateway.find("workshop", "missing"), gateway.find("workshop", submission.job()));
    assertEquals(ProposalOutcome.REFUSED, gateway.cancel("workshop", submission.job()).join());
  }

  @Test
  void concurrentCancellationsAreBothAnswered() {
    String job = gateway.submit("builders", job(1000)).join().job();
    CompletableFuture<ProposalOutcome> first = gateway.cancel("builders", job);
    CompletableFuture<ProposalOutcome> second = gateway.cancel("builders", job);
    assertEquals(ProposalOutcome.IN_LOG, first.join());
    assertEquals(ProposalOutcome.IN_LOG, second.join());
  }

  @Test
  void aJobTooLargeForEveryWorkerIsRefusedWithoutAnAppend() {
    long appends = log.appends();
    assertEquals(ProposalOutcome.TOO_LARGE, gateway.submit("builders", job(4001)).join().outcome());
    assertEquals(appends, log.appends());
  }

  @Test
  void aSubmissionIsRefusedImmediatelyWhileTheLogIsDown() {
    faults.set(FaultSwitch.Kind.DOWN, 1);
    await(() -> !replica.isReachable());
    CompletableFuture<Submission> submission = gateway.submit("builders", job(1000));
    assertTrue(submission.isDone());
    assertEquals(ProposalOutcome.LOG_UNAVAILABLE, submission.join().outcome());
  }

  private static JobRequest job(int cpuMillis) {
    return new JobRequest("class", cpuMillis, 1000, 0, 1000, false, "payload");
  }

  private static void await(BooleanSupplier condition) {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - startNanos < TIMEOUT_NANOS, "condition not met within 20 s");
      Thread.onSpinWait();
    }
  }
}
