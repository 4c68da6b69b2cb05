package org.lavenderstage.core.pool;

import java.util.Comparator;
import java.util.List;

/** Work in the order in which it is served: by priority, then by value density. Immutable. */
final class WorkAhead {
  private static final Comparator<Part> BY_RANK =
      Comparator.comparingInt(Part::priority)
          .thenComparing(Comparator.comparingDouble(Part::valueDensity).reversed());

  private final List<Part> parts;

  /** Sum of the work before each part, and of all parts at the end. */
  private final double[] sums;

  /** The work of one job, in core-milliseconds. */
  record Part(int priority, double valueDensity, double coreMillis) {
    private boolean ranksBefore(int otherPriority, double otherDensity) {
      return priority < otherPriority || (priority == otherPriority && valueDensity > otherDensity);
    }
  }

  WorkAhead(List<Part> unsorted) {
    parts = unsorted.stream().sorted(BY_RANK).toList();
    sums = new double[parts.size() + 1];
    for (int i = 0; i < parts.size(); i++) {
      sums[i + 1] = sums[i] + parts.get(i).coreMillis();
    }
  }

  /** Returns the work that is served before a job, in core-milliseconds. */
  double before(int priority, double valueDensity) {
    int from = 0;
    int to = parts.size();
    while (from < to) {
      int middle = (from + to) >>> 1;
      if (parts.get(middle).ranksBefore(priority, valueDensity)) {
        from = middle + 1;
      } else {
        to = middle;
      }
    }
    return sums[from];
  }
}
