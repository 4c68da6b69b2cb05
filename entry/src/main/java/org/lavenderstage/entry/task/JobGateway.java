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

/**
 * Submits, finds and cancels jobs in all cells. A job is accepted once its record has been read
 * from the log and applied to the ledger.
 */
public final class JobGateway {
  private final List<Cell> cells;
  private final long waitMillis;
  private final Map<String, CompletableFuture<ProposalOutcome>> submissions =
      new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<ProposalOutcome>> cancellations =
      new ConcurrentHashMap<>();

  /**
   * Creates a gateway and registers it as an observer of the cells' replicas.
   *
   * @param cells the cells, whose replicas must not have been started
   * @param waitMillis the maximum wait for a proposed record to be read from the log, in
   *     milliseconds
   */
  public JobGateway(List<Cell> cells, long waitMillis) {
    this.cells = List.copyOf(cells);
    this.waitMillis = waitMillis;
    cells.forEach(cell -> cell.replica().observe(this::onRecord));
  }

  private void onRecord(RecordPosition at, LedgerRecord record, boolean effective) {
    switch (record) {
      case JobAccepted accepted ->
          complete(
              submissions.remove(accepted.job()),
              effective ? ProposalOutcome.IN_LOG : ProposalOutcome.REFUSED);
      // a cancellation without effect follows another one, or the end of the job
      case JobCancelled cancelled ->
          complete(cancellations.remove(cancelled.job()), ProposalOutcome.IN_LOG);
      default -> {
        // no caller waits for other records
      }
    }
  }

  private static void complete(CompletableFuture<ProposalOutcome> waiter, ProposalOutcome outcome) {
    if (waiter != null) {
      CompletableFuture<?> unused = waiter.completeAsync(() -> outcome);
    }
  }

  /**
   * Submits a job to a cell with a worker that is large enough for it.
   *
   * @param workspace the workspace of the caller
   * @param request the job request
   * @return a future that completes with the identifier of the job and the outcome
   */
  public CompletableFuture<Submission> submit(String workspace, JobRequest request) {
    String job = UUID.randomUUID().toString();
    Resources demand =
        new Resources(request.cpuMillis(), request.memoryMb(), request.accelerators());
    List<Cell> candidates = cells.stream().filter(cell -> mayFit(cell, demand)).toList();
    if (candidates.isEmpty()) {
      return CompletableFuture.completedFuture(new Submission(job, ProposalOutcome.TOO_LARGE));
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
    Cell cell = candidates.get(Math.floorMod(job.hashCode(), candidates.size()));
    return propose(cell, submissions, job, accepted)
        .thenApply(outcome -> new Submission(job, outcome));
  }

  private static boolean mayFit(Cell cell, Resources demand) {
    return cell.replica().read(stream -> stream.stateMachine().mayFit(demand));
  }

  /**
   * Cancels a job.
   *
   * @param workspace the workspace of the caller
   * @param job the identifier of the job
   * @return a future that completes with the outcome of the cancellation; {@link
   *     ProposalOutcome#REFUSED} if the workspace has no such job or the record cannot be queued
   */
  public CompletableFuture<ProposalOutcome> cancel(String workspace, String job) {
    Optional<Cell> cell = cells.stream().filter(c -> find(c, workspace, job).isPresent()).findAny();
    if (cell.isEmpty()) {
      return CompletableFuture.completedFuture(ProposalOutcome.REFUSED);
    }
    return propose(cell.get(), cancellations, job, new JobCancelled(job, workspace));
  }

  private CompletableFuture<ProposalOutcome> propose(
      Cell cell,
      Map<String, CompletableFuture<ProposalOutcome>> pending,
      String job,
      LedgerRecord record) {
    if (cell.appender().isFailing() || !cell.replica().isReachable()) {
      return CompletableFuture.completedFuture(ProposalOutcome.LOG_UNAVAILABLE);
    }
    CompletableFuture<ProposalOutcome> waiter =
        pending.computeIfAbsent(job, key -> new CompletableFuture<>());
    if (!cell.appender().offer(record)) {
      pending.remove(job, waiter);
      return CompletableFuture.completedFuture(ProposalOutcome.REFUSED);
    }
    CompletableFuture<ProposalOutcome> outcomeOrTimeout =
        waiter.copy().completeOnTimeout(ProposalOutcome.UNKNOWN, waitMillis, TimeUnit.MILLISECONDS);
    return outcomeOrTimeout.whenComplete((outcome, failure) -> pending.remove(job, waiter));
  }

  /**
   * Finds a job of a workspace.
   *
   * @param workspace the workspace of the caller
   * @param job the identifier of the job
   * @return the state of the job, or empty if the workspace has no such job
   */
  public Optional<JobState> find(String workspace, String job) {
    return cells.stream().flatMap(cell -> find(cell, workspace, job).stream()).findAny();
  }

  private static Optional<JobState> find(Cell cell, String workspace, String job) {
    return cell.replica()
        .read(stream -> stream.stateMachine().job(job))
        .filter(state -> state.accepted().workspace().equals(workspace));
  }
}
