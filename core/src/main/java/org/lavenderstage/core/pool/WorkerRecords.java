package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lavenderstage.core.job.StoredChange;

/** Collects the changes of the workers' stored records, and records which of them are stored. */
final class WorkerRecords {
  private final RenewalPolicy renewals;
  private final Set<Worker> changed = new LinkedHashSet<>();
  private final List<StoredChange> removals = new ArrayList<>();

  WorkerRecords(RenewalPolicy renewals) {
    this.renewals = renewals;
  }

  /** Marks the record of a worker as changed. */
  void markChanged(Worker worker) {
    changed.add(worker);
  }

  /** Returns whether the record of a worker is to be stored. */
  boolean isChanged(Worker worker) {
    return changed.contains(worker);
  }

  /** Removes the stored record of a worker. */
  void remove(Worker worker) {
    removals.add(StoredChange.deleteWorker(worker.id()));
  }

  /** Discards the changes of a worker's record, and removes the record if it may be stored. */
  void discard(Worker worker) {
    changed.remove(worker);
    if (worker.mayHaveRecord()) {
      remove(worker);
    }
  }

  boolean hasChanges() {
    return !changed.isEmpty() || !removals.isEmpty();
  }

  /** Returns whether a worker gets no runs until its record is stored. */
  boolean hasAwaitedChanges() {
    return changed.stream()
        .anyMatch(worker -> !worker.isIncarnationStored() || worker.renewal().isResuming());
  }

  /** Returns the number up to which decisions to stop the renewal of leases are stored. */
  long lastStoredRenewalStop() {
    return renewals.lastStoredNumber();
  }

  /**
   * Adds the pending changes to a list. Removals come first, since a worker that was listed again
   * was removed before that.
   *
   * @return the ended runs that are stored with the changes
   */
  List<JournalBatch.StoredEnds> drain(List<StoredChange> changes) {
    changes.addAll(removals);
    List<JournalBatch.StoredEnds> storedEnds = new ArrayList<>(changed.size());
    for (Worker worker : changed) {
      worker.markRecordSent();
      changes.add(StoredChange.put(renewals.createRecord(worker)));
      storedEnds.add(
          new JournalBatch.StoredEnds(
              worker,
              worker.startedAtMillis(),
              worker.ends().seenUpTo(),
              worker.renewal().stop().map(RenewalStop::number).orElse(0L)));
    }
    changed.clear();
    removals.clear();
    return storedEnds;
  }

  void handleStoredEnds(JournalBatch.StoredEnds storedEnds, long nowMillis) {
    Worker worker = storedEnds.worker();
    if (renewals.recordStored(worker, storedEnds.renewalStop())) {
      worker.pollSoon(nowMillis);
    }
    if (!worker.isRecordRemoved()) {
      worker.markRecordStored(storedEnds.workerStartedAtMillis());
    }
    if (worker.startedAtMillis() == storedEnds.workerStartedAtMillis()
        && storedEnds.upTo() > worker.ends().storedUpTo()) {
      worker.ends().recordStored(storedEnds.upTo());
      worker.pollSoon(nowMillis);
    }
  }
}
