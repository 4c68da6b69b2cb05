package org.lavenderstage.core.placement;

import java.util.Arrays;
import org.lavenderstage.core.sheet.PairRow;

/**
 * Chooses a worker for a task from a sample of the cell, and from all workers where no sampled one
 * will do. A task that is no smaller than one of its class that fitted nowhere is passed over.
 */
final class BinChoice {
  private static final int SAMPLE = 32;
  private static final double HARM_WEIGHT = 8;
  private static final double SPREAD_WEIGHT = 0.5;

  private final CellView view;
  private final WorkerHealth health;
  private final double placeLimit;
  private Resources[] refused = new Resources[0];

  BinChoice(CellView view, WorkerHealth health, double placeLimit) {
    this.view = view;
    this.health = health;
    this.placeLimit = placeLimit;
  }

  /** Returns the best worker found, null for none. */
  WorkerSlot choose(TaskView task) {
    boolean plain = task.job.failedOn().isEmpty();
    if (plain && isRefused(task)) {
      return null;
    }
    int size = view.slots.length;
    int start = Math.floorMod(task.id.hashCode() * 0x9E3779B9, Math.max(1, size));
    WorkerSlot best = best(task, start, Math.min(SAMPLE, size));
    if (best == null && size > SAMPLE) {
      best = best(task, start + SAMPLE, size - SAMPLE);
    }
    if (best == null && plain) {
      refuse(task);
    }
    return best;
  }

  private boolean isRefused(TaskView task) {
    return task.batchClass < refused.length
        && refused[task.batchClass] != null
        && refused[task.batchClass].fitsIn(task.demand);
  }

  private void refuse(TaskView task) {
    if (task.batchClass >= refused.length) {
      refused = Arrays.copyOf(refused, task.batchClass + 1);
    }
    refused[task.batchClass] = task.demand;
  }

  private WorkerSlot best(TaskView task, int start, int count) {
    WorkerSlot best = null;
    double lowest = Double.MAX_VALUE;
    int size = view.slots.length;
    int index = size == 0 ? 0 : start % size;
    for (int i = 0; i < count; i++) {
      WorkerSlot slot = view.slots[index];
      index = index + 1 == size ? 0 : index + 1;
      if (slot.hasRoomFor(task.demand) && isAllowed(slot, task)) {
        double score = score(slot, task);
        if (score < lowest) {
          lowest = score;
          best = slot;
        }
      }
    }
    return best;
  }

  /** Everything but room: quarantine, earlier failures, pair rules and expected interference. */
  boolean isAllowed(WorkerSlot slot, TaskView task) {
    if (slot.quarantined || !isTrusted(slot, task)) {
      return false;
    }
    return slot.services.length == 0
        || (!view.pairs.has(slot, task, PairRow.Rule.APART)
            && view.pairs.staysBelow(slot, task, placeLimit));
  }

  /** A job that failed before is tried only where others run, so that bad workers end no job. */
  private boolean isTrusted(WorkerSlot slot, TaskView task) {
    return task.job.failedOn().isEmpty()
        || (!task.job.failedOn().contains(slot.id) && health.isProven(slot.id));
  }

  private double score(WorkerSlot slot, TaskView task) {
    double score = slot.freePart();
    if (slot.services.length > 0) {
      score += HARM_WEIGHT * view.pairs.harm(slot, task);
    }
    return task.isWatcher() ? score + SPREAD_WEIGHT * view.spread.neighbours(slot, task) : score;
  }
}
