package org.lavenderstage.core.pool;

import java.util.List;
import java.util.Map;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StoredChange;

/**
 * Changes that are stored by one append, and the state that is stored with them.
 *
 * @param changes the changes
 * @param phases phase of each changed job once the changes are stored
 * @param storedEnds ended runs of workers that are stored with the changes
 */
public record JournalBatch(
    List<StoredChange> changes, Map<Job, JobPhase> phases, List<StoredEnds> storedEnds) {
  /** Copies the collections. */
  public JournalBatch {
    changes = List.copyOf(changes);
    phases = Map.copyOf(phases);
    storedEnds = List.copyOf(storedEnds);
  }

  /**
   * The stored state of a worker: its ended runs, and whether its leases are renewed.
   *
   * @param worker the worker
   * @param workerStartedAtMillis start time of the incarnation, wall-clock time in milliseconds
   *     since 1970
   * @param upTo number of the last ended run
   * @param renewalStop number of the decision not to renew leases, 0 if they are renewed
   */
  public record StoredEnds(
      Worker worker, long workerStartedAtMillis, long upTo, long renewalStop) {}
}
