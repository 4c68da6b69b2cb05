package org.lavenderstage.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Limits evictions and spreads them evenly over workspaces. The number of evictions of a workspace
 * is limited per window, and may exceed that of the least evicted workspace with running tasks only
 * by a fixed number.
 */
public final class EvictionBudget {
  private final int perWindow;
  private final long windowMillis;
  private final int maxExcess;
  private final Map<String, Long> counts = new HashMap<>();
  private final Map<String, Integer> countsInWindow = new HashMap<>();
  private long windowStartMillis = Long.MIN_VALUE / 2;
  private Set<String> lastRunningWorkspaces = Set.of();
  private long leastCount;

  /**
   * Creates a budget.
   *
   * @param perWindow the maximum number of evictions of a workspace in one window
   * @param windowMillis the length of the window in milliseconds
   * @param maxExcess the maximum number of evictions of a workspace beyond those of the least
   *     evicted one
   */
  public EvictionBudget(int perWindow, long windowMillis, int maxExcess) {
    this.perWindow = perWindow;
    this.windowMillis = windowMillis;
    this.maxExcess = maxExcess;
  }

  /**
   * Starts a plan. If a workspace had no running tasks in the previous plan, its count is raised to
   * the lowest count of the others; otherwise the others could not be evicted until it caught up.
   *
   * @param runningWorkspaces the names of the workspaces with running tasks
   * @param nowMillis the time of the plan in milliseconds
   */
  public void beginPlan(Collection<String> runningWorkspaces, long nowMillis) {
    if (nowMillis - windowStartMillis >= windowMillis) {
      windowStartMillis = nowMillis;
      countsInWindow.clear();
    }
    for (String workspace : runningWorkspaces) {
      if (!lastRunningWorkspaces.contains(workspace)) {
        counts.merge(workspace, leastCount, Math::max);
      }
    }
    lastRunningWorkspaces = Set.copyOf(runningWorkspaces);
    leastCount =
        runningWorkspaces.stream()
            .mapToLong(workspace -> counts.get(workspace))
            .min()
            .orElse(leastCount);
  }

  /**
   * Returns whether a task of a workspace may be evicted now.
   *
   * @param workspace the name of the workspace
   * @param planned the number of evictions of the workspace that are planned but not yet recorded
   * @return whether the budget allows one more
   */
  public boolean allows(String workspace, int planned) {
    long count = counts.getOrDefault(workspace, leastCount) + planned;
    int recent = countsInWindow.getOrDefault(workspace, 0) + planned;
    return recent < perWindow && count < leastCount + maxExcess;
  }

  /**
   * Records an eviction.
   *
   * @param workspace the name of the workspace
   */
  public void recordEviction(String workspace) {
    counts.merge(workspace, 1L, Long::sum);
    countsInWindow.merge(workspace, 1, Integer::sum);
  }

  /**
   * Returns the eviction count of a workspace.
   *
   * @param workspace the name of the workspace
   * @return the count, including the amount by which {@link #beginPlan} raised it
   */
  public long count(String workspace) {
    return counts.getOrDefault(workspace, leastCount);
  }
}
