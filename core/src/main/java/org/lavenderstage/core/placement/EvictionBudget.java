package org.lavenderstage.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Spreads evictions evenly over workspaces: each may be evicted only so often in a window, and only
 * a few times more than the least evicted one that runs tasks.
 */
public final class EvictionBudget {
  private final int perWindow;
  private final long windowMillis;
  private final int maxLead;
  private final Map<String, Long> counts = new HashMap<>();
  private final Map<String, Integer> inWindow = new HashMap<>();
  private long windowStartMillis = Long.MIN_VALUE / 2;
  private Set<String> lastRunning = Set.of();
  private long leastCount;

  /**
   * Makes a budget.
   *
   * @param perWindow most evictions of a workspace in one window
   * @param windowMillis length of the window in milliseconds
   * @param maxLead most evictions of a workspace beyond those of the least evicted one
   */
  public EvictionBudget(int perWindow, long windowMillis, int maxLead) {
    this.perWindow = perWindow;
    this.windowMillis = windowMillis;
    this.maxLead = maxLead;
  }

  /**
   * Starts a plan. A workspace that appears late, or again, starts no lower than the least count of
   * the others.
   *
   * @param running the workspaces that run tasks now
   * @param nowMillis time of the plan in milliseconds
   */
  public void begin(Collection<String> running, long nowMillis) {
    if (nowMillis - windowStartMillis >= windowMillis) {
      windowStartMillis = nowMillis;
      inWindow.clear();
    }
    for (String workspace : running) {
      if (!lastRunning.contains(workspace)) {
        counts.merge(workspace, leastCount, Math::max);
      }
    }
    lastRunning = Set.copyOf(running);
    leastCount =
        running.stream().mapToLong(workspace -> counts.get(workspace)).min().orElse(leastCount);
  }

  /**
   * Tells whether a task of a workspace may be evicted now.
   *
   * @param workspace name of the workspace
   * @param planned evictions of the workspace that are chosen and not yet counted
   * @return whether the budget allows one more
   */
  public boolean allows(String workspace, int planned) {
    long count = counts.getOrDefault(workspace, leastCount) + planned;
    int recent = inWindow.getOrDefault(workspace, 0) + planned;
    return recent < perWindow && count < leastCount + maxLead;
  }

  /**
   * Counts an eviction.
   *
   * @param workspace name of the workspace
   */
  public void spend(String workspace) {
    counts.merge(workspace, 1L, Long::sum);
    inWindow.merge(workspace, 1, Integer::sum);
  }

  /**
   * Returns how often a workspace was evicted.
   *
   * @param workspace name of the workspace
   * @return the count, with what it was given for its late start
   */
  public long count(String workspace) {
    return counts.getOrDefault(workspace, leastCount);
  }
}
