package org.lavenderstage.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps refusals fair between sizes of jobs. Large jobs rank last by value density, so they alone
 * would be refused in an overload; this class limits the refused fraction of each size class by
 * that of all jobs of the queue.
 */
final class RefusalShares {
  /** Number of recent submissions of a queue that count. */
  private static final int WINDOW = 200;

  /** Maximum refused fraction of a size class, relative to that of all jobs. */
  private static final double MAX_REFUSED_RATIO = 2;

  /** Size classes from above: the users measure the largest tenth and the fifth below it. */
  private static final double[] LARGER_FRACTION_BOUNDS = {0.1, 0.3, 1};

  private final Map<String, Deque<Submission>> submissionsByQueue = new HashMap<>();

  /** A submission of a job of some work in core-milliseconds. */
  private record Submission(double work, boolean refused) {}

  /** Records the first submission of a job. */
  void record(String queue, double work, boolean refused) {
    Deque<Submission> recent = submissionsByQueue.computeIfAbsent(queue, key -> new ArrayDeque<>());
    recent.add(new Submission(work, refused));
    if (recent.size() > WINDOW) {
      recent.remove();
    }
  }

  /** Returns whether a job may be refused without its size class being refused too often. */
  boolean mayRefuse(String queue, double work) {
    Deque<Submission> recent = submissionsByQueue.getOrDefault(queue, new ArrayDeque<>());
    double[] ascending = recent.stream().mapToDouble(Submission::work).sorted().toArray();
    double upper = Double.POSITIVE_INFINITY;
    double lower = upper;
    for (double fraction : LARGER_FRACTION_BOUNDS) {
      upper = lower;
      lower = smallestOfLargest(fraction, ascending);
      if (work >= lower) {
        break;
      }
    }
    int refused = 0;
    int members = 0;
    int refusedMembers = 0;
    for (Submission submission : recent) {
      refused += submission.refused() ? 1 : 0;
      if (submission.work() >= lower && submission.work() < upper) {
        members++;
        refusedMembers += submission.refused() ? 1 : 0;
      }
    }
    double refusedFraction = (refused + 1.0) / (recent.size() + 1);
    return refusedMembers <= MAX_REFUSED_RATIO * refusedFraction * members;
  }

  /** Returns the least work among a fraction of the submissions, those of most work. */
  private static double smallestOfLargest(double fraction, double[] ascending) {
    int count = (int) Math.ceil(fraction * ascending.length);
    return count >= ascending.length ? 0 : ascending[ascending.length - count];
  }
}
