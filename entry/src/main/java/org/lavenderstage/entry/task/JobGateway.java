package org.lavenderstage.entry.task;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.wire.http.JobRequest;

/** Submits, finds and cancels jobs over all cells. A job is accepted once it is read back. */
public final class JobGateway {
  private final List<Cell> cells;
  private final long waitMillis;
  private final Map<String, CompletableFuture<JobFate>> submissions = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<JobFate>> cancellations = new ConcurrentHashMap<>();

  /**
   * Follows the cells.
   *
   * @param cells the cells, whose copies are not started yet
   * @param waitMillis longest wait for a record to be read back in milliseconds
   */
  public JobGateway(List<Cell> cells, long waitMillis) {
    this.cells = List.copyOf(cells);
    this.waitMillis = waitMillis;
    cells.forEach(cell -> cell.replica().observe(this::judged));
  }

  private void judged(RecordPosition at, LedgerRecord record, boolean effective) {
    switch (record) {
      case JobAccepted accepted ->
          complete(
              submissions.remove(accepted.job()), effective ? JobFate.IN_LOG : JobFate.REFUSED);
      // a cancellation without effect comes after another one or after the job's end
      case JobCancelled cancelled ->
          complete(cancellations.remove(cancelled.job()), JobFate.IN_LOG);
      default -> {
        // nobody waits for it here
      }
    }
  }

  private static void complete(CompletableFuture<JobFate> waiter, JobFate fate) {
    if (waiter != null) {
      CompletableFuture<?> unused = waiter.completeAsync(() -> fate);
    }
  }

  /**
   * Submits a job.
   *
   * @param workspace workspace of the caller
   * @param request what to run
   * @return completes with the job's identifier and fate
   */
  public CompletableFuture<Submission> submit(String workspace, JobRequest request) {
    String job = UUID.randomUUID().toString();
    Resources demand =
        new Resources(request.cpuMillis(), request.memoryMb(), request.accelerators());
    List<Cell> fitting = cells.stream().filter(cell -> mayFit(cell, demand)).toList();
    if (fitting.isEmpty()) {
      return CompletableFuture.completedFuture(new Submission(job, JobFate.TOO_LARGE));
    }
    JobAccepted accepted =
        new JobAccepted(
            job,
            workspace,
            request.batchClass(),
            request.cpuMillis(),
            request.memoryMb(),
            request.accelerators(),
            request.expectedMillis(),
            request.watcher(),
            request.payload());
    Cell cell = fitting.get(Math.floorMod(job.hashCode(), fitting.size()));
    return propose(cell, submissions, job, accepted).thenApply(fate -> new Submission(job, fate));
  }

  private static boolean mayFit(Cell cell, Resources demand) {
    return cell.replica().read(stream -> stream.fold().mayFit(demand));
  }

  /**
   * Cancels a job.
   *
   * @param workspace workspace of the caller
   * @param job identifier of the job
   * @return completes with the fate of the cancellation
   */
  public CompletableFuture<JobFate> cancel(String workspace, String job) {
    Optional<Cell> cell = cells.stream().filter(c -> find(c, workspace, job).isPresent()).findAny();
    if (cell.isEmpty()) {
      return CompletableFuture.completedFuture(JobFate.REFUSED);
    }
    return propose(cell.get(), cancellations, job, new JobCancelled(job, workspace));
  }

  private CompletableFuture<JobFate> propose(
      Cell cell, Map<String, CompletableFuture<JobFate>> pending, String job, LedgerRecord record) {
    if (cell.appender().isFailing() || !cell.replica().isReachable()) {
      return CompletableFuture.completedFuture(JobFate.LOG_UNAVAILABLE);
    }
    CompletableFuture<JobFate> waiter =
        pending.computeIfAbsent(job, key -> new CompletableFuture<>());
    if (!cell.appender().offer(record)) {
      pending.remove(job, waiter);
      return CompletableFuture.completedFuture(JobFate.REFUSED);
    }
    CompletableFuture<JobFate> answer =
        waiter.copy().completeOnTimeout(JobFate.UNKNOWN, waitMillis, TimeUnit.MILLISECONDS);
    return answer.whenComplete((fate, failure) -> pending.remove(job, waiter));
  }

  /**
   * Finds a job of a workspace.
   *
   * @param workspace workspace of the caller
   * @param job identifier of the job
   * @return its state, empty where the workspace has no such job
   */
  public Optional<JobState> find(String workspace, String job) {
    return cells.stream().flatMap(cell -> find(cell, workspace, job).stream()).findAny();
  }

  private static Optional<JobState> find(Cell cell, String workspace, String job) {
    return cell.replica()
        .read(stream -> stream.fold().job(job))
        .filter(state -> state.accepted().workspace().equals(workspace));
  }
}
