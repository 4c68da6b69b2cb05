package org.lavenderstage.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Caches the owners of the slots for recently used sets of entry VMs. */
final class SlotOwnerCache {
  private static final int MAX_OWNER_SETS = 16;

  private final int slotsPerExecutor;
  private final Map<List<String>, Map<String, int[]>> owners = new HashMap<>();

  SlotOwnerCache(int slotsPerExecutor) {
    this.slotsPerExecutor = slotsPerExecutor;
  }

  /** Returns whether a VM owns a slot if the slots are divided over the given VMs. */
  boolean isOwner(String vm, List<String> ownerVms, String executor, int slot) {
    int owner = owners(ownerVms, executor)[slot];
    return owner >= 0 && ownerVms.get(owner).equals(vm);
  }

  private int[] owners(List<String> ownerVms, String executor) {
    Map<String, int[]> ownersByExecutor = owners.get(ownerVms);
    if (ownersByExecutor == null) {
      if (owners.size() >= MAX_OWNER_SETS) {
        owners.clear();
      }
      ownersByExecutor = new HashMap<>();
      owners.put(ownerVms, ownersByExecutor);
    }
    return ownersByExecutor.computeIfAbsent(
        executor, id -> SlotOwners.owners(id, slotsPerExecutor, ownerVms));
  }
}
