package org.lavenderstage.core.placement;

import java.util.Arrays;
import org.lavenderstage.core.sheet.PairRow;

/**
 * Selects the worker with the best score for a task from a sample of the cell, and from the
 * remaining workers if no sampled one is suitable. A task is skipped if it is at least as large as
 * another task of its class that could not be placed in the same plan.
 */
final class SampledWorkerSelector {
  private static final int SAMPLE_SIZE = 32;
  private static final double INTERFERENCE_WEIGHT = 8;
  private static final double SPREAD_WEIGHT = 0.5;

  private final CellView view;
  private final WorkerHealth health;
  private final double placeLimit;
  private Resources[] unplaceableDemands = new Resources[0];

  SampledWorkerSelector(CellView view, WorkerHealth health, double placeLimit) {
    this.view = view;
    this.health = health;
    this.placeLimit = placeLimit;
  }

  /** Returns the worker with the lowest score, or null if no worker is suitable. */
  WorkerView select(TaskView task) {
    boolean neverFailed = task.job.failedOn().isEmpty();
    if (neverFailed && isKnownUnplaceable(task)) {
      return null;
    }
    int size = view.workerViews.length;
    int start = Math.floorMod(task.id.hashCode() * 0x9E3779B9, Math.max(1, size));
    WorkerView best = bestInRange(task, start, Math.min(SAMPLE_SIZE, size));
    if (best == null && size > SAMPLE_SIZE) {
      best = bestInRange(task, start + SAMPLE_SIZE, size - SAMPLE_SIZE);
    }
    if (best == null && neverFailed) {
      recordUnplaceable(task);
    }
    return best;
  }

  private boolean isKnownUnplaceable(TaskView task) {
    return task.batchClass < unplaceableDemands.length
        && unplaceableDemands[task.batchClass] != null
        && unplaceableDemands[task.batchClass].fitsIn(task.demand);
  }

  private void recordUnplaceable(TaskView task) {
    if (task.batchClass >= unplaceableDemands.length) {
      unplaceableDemands = Arrays.copyOf(unplaceableDemands, task.batchClass + 1);
    }
    unplaceableDemands[task.batchClass] = task.demand;
  }

  private WorkerView bestInRange(TaskView task, int start, int count) {
    WorkerView best = null;
    double lowestScore = Double.MAX_VALUE;
    int size = view.workerViews.length;
    int index = size == 0 ? 0 : start % size;
    for (int i = 0; i < count; i++) {
      WorkerView workerView = view.workerViews[index];
      index = index + 1 == size ? 0 : index + 1;
      if (workerView.hasCapacityFor(task.demand) && isAllowed(workerView, task)) {
        double score = score(workerView, task);
        if (score < lowestScore) {
          lowestScore = score;
          best = workerView;
        }
      }
    }
    return best;
  }

  /**
   * Returns whether a task may run on a worker, apart from free resources. Checks quarantine,
   * earlier failures of the job, pair rules and expected interference.
   */
  boolean isAllowed(WorkerView workerView, TaskView task) {
    if (workerView.quarantined || !allowsRetry(workerView, task)) {
      return false;
    }
    return workerView.services.length == 0
        || (!view.pairs.hasRule(workerView, task, PairRow.Rule.APART)
            && view.pairs.staysBelow(workerView, task, placeLimit));
  }

  /**
   * Returns whether a job may be retried on a worker. A job that has failed is retried only on
   * proven workers, so that faulty workers do not use up its attempts. If no proven worker is large
   * enough, it is retried on any worker that is not quarantined and on which it has not failed.
   */
  private boolean allowsRetry(WorkerView workerView, TaskView task) {
    if (task.job.failedOn().isEmpty()) {
      return true;
    }
    return !task.job.failedOn().contains(workerView.id)
        && (health.isProven(workerView.id) || !hasProvenCandidate(task));
  }

  private boolean hasProvenCandidate(TaskView task) {
    if (task.provenCandidateExists == null) {
      task.provenCandidateExists =
          Arrays.stream(view.workerViews)
              .anyMatch(
                  workerView ->
                      !workerView.quarantined
                          && health.isProven(workerView.id)
                          && !task.job.failedOn().contains(workerView.id)
                          && task.demand.fitsIn(workerView.state.total()));
    }
    return task.provenCandidateExists;
  }

  private double score(WorkerView workerView, TaskView task) {
    double score = workerView.freeCpuFraction();
    if (workerView.services.length > 0) {
      score += INTERFERENCE_WEIGHT * view.pairs.expectedIncrease(workerView, task);
    }
    return task.isWatcher()
        ? score + SPREAD_WEIGHT * view.watcherSpread.neighbourWeight(workerView, task)
        : score;
  }
}
