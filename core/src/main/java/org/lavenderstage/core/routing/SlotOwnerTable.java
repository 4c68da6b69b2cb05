package org.lavenderstage.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Remembers the owners of the slots by the latest sets of entry VMs. */
final class SlotOwnerTable {
  private static final int SETS_KEPT = 16;

  private final int slotsPerExecutor;
  private final Map<List<String>, Map<String, int[]>> owners = new HashMap<>();

  SlotOwnerTable(int slotsPerExecutor) {
    this.slotsPerExecutor = slotsPerExecutor;
  }

  /** Tells whether a set gives a slot to a VM. */
  boolean isOwner(String vm, List<String> set, String executor, int slot) {
    int owner = owners(set, executor)[slot];
    return owner >= 0 && set.get(owner).equals(vm);
  }

  private int[] owners(List<String> set, String executor) {
    Map<String, int[]> known = owners.get(set);
    if (known == null) {
      if (owners.size() >= SETS_KEPT) {
        owners.clear();
      }
      known = new HashMap<>();
      owners.put(set, known);
    }
    return known.computeIfAbsent(executor, id -> SlotOwners.owners(id, slotsPerExecutor, set));
  }
}
