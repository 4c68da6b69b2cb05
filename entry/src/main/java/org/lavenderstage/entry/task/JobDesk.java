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
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.wire.http.JobRequest;

/** Submits, finds and cancels jobs over all cells. A job is accepted once it is read back. */
public final class JobDesk {
  private final List<Cell> cells;
  private final long waitMillis;
  private final Map<String, CompletableFuture<Boolean>> pending = new ConcurrentHashMap<>();

  /**
   * Follows the cells.
   *
   * @param cells the cells, whose copies are not started yet
   * @param waitMillis longest wait for a record to be read back in milliseconds
   */
  public JobDesk(List<Cell> cells, long waitMillis) {
    this.cells = List.copyOf(cells);
    this.waitMillis = waitMillis;
    cells.forEach(cell -> cell.replica().observe(this::judged));
  }

  private void judged(RecordPosition at, LedgerRecord record, boolean effective) {
    String job =
        switch (record) {
          case JobAccepted accepted -> accepted.job();
          case JobCancelled cancelled -> cancelled.job();
          default -> "";
        };
    CompletableFuture<Boolean> waiter = pending.remove(job);
    if (waiter != null) {
      waiter.completeAsync(() -> effective);
    }
  }

  /**
   * Submits a job.
   *
   * @param workspace workspace of the caller
   * @param request what to run
   * @return completes with the job's identifier once it is in the log, with nothing where it is not
   *     there in time
   */
  public CompletableFuture<Optional<String>> submit(String workspace, JobRequest request) {
    String job = UUID.randomUUID().toString();
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
    Cell cell = cells.get(Math.floorMod(job.hashCode(), cells.size()));
    return propose(cell, job, accepted)
        .thenApply(effective -> effective ? Optional.of(job) : Optional.empty());
  }

  /**
   * Cancels a job.
   *
   * @param workspace workspace of the caller
   * @param job identifier of the job
   * @return completes with whether the cancellation is in the log
   */
  public CompletableFuture<Boolean> cancel(String workspace, String job) {
    Optional<Cell> cell = cells.stream().filter(c -> find(c, workspace, job).isPresent()).findAny();
    if (cell.isEmpty()) {
      return CompletableFuture.completedFuture(false);
    }
    return propose(cell.get(), job, new JobCancelled(job, workspace));
  }

  private CompletableFuture<Boolean> propose(Cell cell, String job, LedgerRecord record) {
    CompletableFuture<Boolean> waiter = new CompletableFuture<>();
    pending.put(job, waiter);
    if (!cell.appender().offer(record)) {
      pending.remove(job);
      return CompletableFuture.completedFuture(false);
    }
    return waiter.completeOnTimeout(false, waitMillis, TimeUnit.MILLISECONDS);
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
