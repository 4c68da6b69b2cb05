package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;

/** Tracks the resources of a cell that each workspace uses, relative to its weight and quota. */
final class FairShares {
  private final Sheet sheet;
  private final long cellCpuMillis;
  private final long cellMemoryMb;
  private final Map<String, Usage> usages = new HashMap<>();

  FairShares(Sheet sheet, long cellCpuMillis, long cellMemoryMb) {
    this.sheet = sheet;
    this.cellCpuMillis = Math.max(1, cellCpuMillis);
    this.cellMemoryMb = Math.max(1, cellMemoryMb);
  }

  void addUsage(String workspace, Resources demand) {
    Usage usage = usage(workspace);
    usage.used = usage.used.plus(demand);
  }

  boolean isWithinQuota(String workspace, Resources demand) {
    Usage usage = usage(workspace);
    return usage.row == null || usage.used.plus(demand).fitsIn(usage.row.quota());
  }

  /**
   * Returns the weighted dominant share of a workspace: the larger of its fractions of the cell's
   * CPU and memory, divided by its weight, which is its share in the sheet.
   */
  double weightedDominantShare(String workspace) {
    Usage usage = usage(workspace);
    double cpu = (double) usage.used.cpuMillis() / cellCpuMillis;
    double memory = (double) usage.used.memoryMb() / cellMemoryMb;
    int weight = usage.row == null ? 1 : Math.max(1, usage.row.share());
    return Math.max(cpu, memory) / weight;
  }

  Set<String> workspaces() {
    return usages.keySet();
  }

  private Usage usage(String workspace) {
    return usages.computeIfAbsent(workspace, name -> new Usage(sheet.workspace(name).orElse(null)));
  }

  /** The resource usage of one workspace. */
  private static final class Usage {
    final WorkspaceRow row;
    Resources used = Resources.NONE;

    Usage(WorkspaceRow row) {
      this.row = row;
    }
  }
}
