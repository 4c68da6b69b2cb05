package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.ProgressRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepProgress;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.job.TaskId;

/** A failed run counts once, though its worker reports it to several owners. */
class CountedFailureTest {
  private static final long SEED = 3;
  private static final String JOB = "00000000000000aa";
  private static final PoolTiming TIMING = new PoolTiming(6_000, 6_000, 300, 2_500);
  private static final long NOW = 10_000;

  /** A job was shown as failed after one failed run of two, whose worker had been cut off. */
  @Test
  void failedRunCountsOnceThoughTheRecordOfItsWorkerIsRemovedBeforeTheNextOwner() {
    PoolSimulation simulation = new PoolSimulation(SEED, 3);
    simulation.usePlatformDelays();
    simulation.run(1_000);
    simulation.failingRunRate = 1;
    Job job = simulation.submit(List.of(StepBuilder.step(1, 1_000, 60_000)), 0);
    simulation.workers.forEach(worker -> worker.workToEstimateRatio = task -> 0.005);
    runUntilFailed(simulation, job);
    SimulatedWorker failedOn =
        simulation.workers.stream().filter(w -> hasEnded(simulation, w)).findFirst().orElseThrow();
    failedOn.disconnected = true;
    simulation.unlisted.add(failedOn);
    simulation.failingRunRate = 0;
    simulation.workers.forEach(worker -> worker.workToEstimateRatio = task -> 1);
    simulation.run(10_000);
    assertFalse(simulation.store.containsKey("worker/" + failedOn.id), "the record is removed");

    simulation.replaceOwner();
    failedOn.disconnected = false;
    simulation.unlisted.clear();
    simulation.run(5_000);
    assertTrue(hasReportedTo(simulation, failedOn), "the worker reports the end once more");
    assertEquals(1, firstTask(simulation.owner.find(job.id()).orElseThrow()).failures());
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  private static void runUntilFailed(PoolSimulation simulation, Job job) {
    for (int i = 0; i < 1_000 && firstTask(job).failures() == 0; i++) {
      simulation.run(10);
    }
    assertEquals(1, firstTask(job).failures());
  }

  private static boolean hasEnded(PoolSimulation simulation, SimulatedWorker worker) {
    OrderResult.Reported reported = (OrderResult.Reported) worker.reportNow(simulation.now);
    return !reported.report().ended().isEmpty();
  }

  private static boolean hasReportedTo(PoolSimulation simulation, SimulatedWorker worker) {
    return simulation.owner.workers().stream()
        .anyMatch(known -> known.id().equals(worker.id) && known.ends().seenUpTo() > 0);
  }

  private static Task firstTask(Job job) {
    return job.openSteps().get(0).tasks().get(0);
  }

  /** The next owner counted a gang once for each member that had failed in the same attempt. */
  @Test
  void gangCountsOnceThoughTwoOwnersLearnOfTheFailuresOfItsMembers() {
    StepSpec gang = StepBuilder.of(3, 1_000, 5_000).gang().build();
    Job before = newJob(gang);
    List<Task> members = before.openSteps().get(0).tasks();
    before.recordTaskFailure(members.get(1), 1, NOW);

    JobScheduler owner = load(2, before.record(), before.progress());
    report(owner, failed(2, 1));
    assertEquals(1, firstTask(owner.find(JOB).orElseThrow()).failures());
    report(owner, failed(2, 2));
    assertEquals(JobPhase.FAILED, owner.find(JOB).orElseThrow().phase());
  }

  /** A worker that lists a failed run again has an older checkpoint than the task. */
  @Test
  void failedRunThatIsReportedAgainDoesNotReplaceTheCheckpoint() {
    Job before = newJob(StepBuilder.checkpointing(1, 1_000, 5_000));
    firstTask(before).updateCheckpoint("old");
    before.recordTaskFailure(firstTask(before), 1, NOW);
    firstTask(before).updateCheckpoint("new");

    JobScheduler owner = load(2, before.record(), before.progress());
    report(owner, new WorkerReport.EndedTask(1, taskId(0), 1, EndKind.FAILED, "old"));
    assertEquals("new", firstTask(owner.find(JOB).orElseThrow()).checkpoint());
  }

  /** An entry of the version before stores the number of failures without the attempts. */
  @Test
  void failuresInARecordOfTheVersionBeforeCount() {
    Job before = newJob(StepBuilder.step(2, 1_000, 5_000));
    StepProgress step =
        new StepProgress(0, 0, new byte[0], List.of(0, 1), List.of(), new byte[0], null, 0);
    ProgressRecord progress = new ProgressRecord(JOB, JobPhase.ACTIVE, 0, List.of(step), List.of());

    JobScheduler owner = load(2, before.record(), progress);
    assertEquals(
        List.of(0, 1),
        owner.find(JOB).orElseThrow().openSteps().get(0).tasks().stream()
            .map(Task::failures)
            .toList());
    report(owner, failed(1, 1_001));
    assertEquals(JobPhase.FAILED, owner.find(JOB).orElseThrow().phase());
  }

  private static Job newJob(StepSpec step) {
    QueueRules rules = new QueueRules("queue", "service", 0, 2, 2.0, 1_000);
    return new Job(new JobRecord(JOB, rules, NOW, "x", List.of(step), 0, 0, 0), NOW);
  }

  private static JobScheduler load(long term, StoredRecord... records) {
    JobScheduler owner = new JobScheduler(term, TIMING, 120_000, (decision, values) -> {});
    owner.load(List.of(records), new RenewalStops(), NOW, NOW);
    owner.workerListed(new SimulatedWorker(0, 1, new TaskOracle()).listing());
    return owner;
  }

  private static TaskId taskId(int index) {
    return new TaskId(JOB, 0, 0, index);
  }

  private static WorkerReport.EndedTask failed(int index, long attempt) {
    return new WorkerReport.EndedTask(attempt, taskId(index), attempt, EndKind.FAILED, "");
  }

  private static void report(JobScheduler owner, WorkerReport.EndedTask end) {
    List<Order> orders = new ArrayList<>(owner.step(NOW, NOW));
    Optional<Order> poll = orders.stream().filter(Order.Poll.class::isInstance).findFirst();
    owner.drainChanges(NOW, 0).ifPresent(batch -> owner.batchStored(batch, NOW));
    WorkerReport report = new WorkerReport(NOW, 1, List.of(), List.of(end));
    owner.orderCompleted(poll.orElseThrow(), new OrderResult.Reported(report), NOW, NOW);
    owner.drainChanges(NOW, 0).ifPresent(batch -> owner.batchStored(batch, NOW));
  }
}
