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

class JobDeskTest {
  private static final long WAIT_MILLIS = 5000;
  private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final FaultSwitch faults = new FaultSwitch();
  private final FakeLog log =
      new FakeLog(System::currentTimeMillis, TimeUnit.HOURS.toMillis(1), faults, 1);
  private final StreamReplica<CellLedger> replica =
      new StreamReplica<>(Cell.streamName("cell"), log, new CellLedger(10));
  private final StreamAppender appender =
      new StreamAppender(
          "entry", replica, log, new AppendBudget(10_000, () -> 1, System::nanoTime), 64);
  private final JobGateway desk =
      new JobGateway(List.of(new Cell("cell", replica, appender)), WAIT_MILLIS);

  @BeforeEach
  void startWithOneWorker() {
    replica.start();
    await(replica::isReachable);
    assertTrue(appender.offer(new WorkerRegistered("worker", "a", "cell", "rack", 4000, 4000, 0)));
    await(() -> replica.read(stream -> stream.fold().worker("worker").isPresent()));
  }

  @AfterEach
  void stop() {
    appender.close();
    replica.close();
  }

  @Test
  void anotherWorkspacesJobReadsLikeAMissingOne() {
    Submission submission = desk.submit("builders", job(1000)).join();
    assertEquals(JobFate.IN_LOG, submission.fate());
    assertTrue(desk.find("builders", submission.job()).isPresent());
    assertEquals(desk.find("workshop", "missing"), desk.find("workshop", submission.job()));
    assertEquals(JobFate.REFUSED, desk.cancel("workshop", submission.job()).join());
  }

  @Test
  void twoCancellationsAtOnceAreBothAnswered() {
    String job = desk.submit("builders", job(1000)).join().job();
    CompletableFuture<JobFate> first = desk.cancel("builders", job);
    CompletableFuture<JobFate> second = desk.cancel("builders", job);
    assertEquals(JobFate.IN_LOG, first.join());
    assertEquals(JobFate.IN_LOG, second.join());
  }

  @Test
  void aJobThatFitsNoWorkerIsRefusedAtOnce() {
    long appends = log.appends();
    assertEquals(JobFate.TOO_LARGE, desk.submit("builders", job(4001)).join().fate());
    assertEquals(appends, log.appends());
  }

  @Test
  void aSubmissionIsRefusedAtOnceWhileTheLogIsDown() {
    faults.set(FaultSwitch.Kind.DOWN, 1);
    await(() -> !replica.isReachable());
    CompletableFuture<Submission> submission = desk.submit("builders", job(1000));
    assertTrue(submission.isDone());
    assertEquals(JobFate.LOG_UNAVAILABLE, submission.join().fate());
  }

  private static JobRequest job(int cpuMillis) {
    return new JobRequest("class", cpuMillis, 1000, 0, 1000, false, "payload");
  }

  private static void await(BooleanSupplier condition) {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - startNanos < LIMIT_NANOS, "waited too long");
      Thread.onSpinWait();
    }
  }
}
