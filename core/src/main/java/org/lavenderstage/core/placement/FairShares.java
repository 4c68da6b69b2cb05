package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;

/** What each workspace holds of a cell, against its share and its quota. */
final class FairShares {
  private final Sheet sheet;
  private final long cellCpuMillis;
  private final long cellMemoryMb;
  private final Map<String, Holding> holdings = new HashMap<>();

  FairShares(Sheet sheet, long cellCpuMillis, long cellMemoryMb) {
    this.sheet = sheet;
    this.cellCpuMillis = Math.max(1, cellCpuMillis);
    this.cellMemoryMb = Math.max(1, cellMemoryMb);
  }

  void hold(String workspace, Resources demand) {
    Holding holding = holding(workspace);
    holding.held = holding.held.plus(demand);
  }

  boolean isWithinQuota(String workspace, Resources demand) {
    Holding holding = holding(workspace);
    return holding.row == null || holding.held.plus(demand).fitsIn(holding.row.quota());
  }

  /** The larger part of the cell's processors and memory that is held, for one unit of share. */
  double heldPerShare(String workspace) {
    Holding holding = holding(workspace);
    double cpu = (double) holding.held.cpuMillis() / cellCpuMillis;
    double memory = (double) holding.held.memoryMb() / cellMemoryMb;
    int share = holding.row == null ? 1 : Math.max(1, holding.row.share());
    return Math.max(cpu, memory) / share;
  }

  Set<String> running() {
    return holdings.keySet();
  }

  private Holding holding(String workspace) {
    return holdings.computeIfAbsent(
        workspace, name -> new Holding(sheet.workspace(name).orElse(null)));
  }

  /** What one workspace holds. */
  private static final class Holding {
    final WorkspaceRow row;
    Resources held = Resources.NONE;

    Holding(WorkspaceRow row) {
      this.row = row;
    }
  }
}
