package org.lavenderstage.core.pool;

import java.util.List;
import java.util.Map;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StoredChange;

/**
 * Changes that are stored in one append, and what holds once they are.
 *
 * @param changes the changes
 * @param phases phase of each job that the changes tell of
 * @param storedEnds ends that are noted once the changes are stored
 */
public record JournalBatch(
    List<StoredChange> changes, Map<Job, JobPhase> phases, List<StoredEnds> storedEnds) {
  /** Copies the lists. */
  public JournalBatch {
    changes = List.copyOf(changes);
    phases = Map.copyOf(phases);
    storedEnds = List.copyOf(storedEnds);
  }

  /**
   * Ends of one life of a worker.
   *
   * @param worker the worker
   * @param workerStartedAtMillis start of that life
   * @param upTo number of the last end
   */
  public record StoredEnds(Worker worker, long workerStartedAtMillis, long upTo) {}
}
