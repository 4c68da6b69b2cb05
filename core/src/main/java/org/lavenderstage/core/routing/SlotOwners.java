package org.lavenderstage.core.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Assigns each slot an owner by rendezvous hashing over a set of entry VMs. The slots of an
 * executor are spread evenly: no VM owns more of them than the average, rounded up.
 */
public final class SlotOwners {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Multipliers and shift of the 64-bit finalizer of MurmurHash3. */
  private static final long MIX_MULTIPLIER_1 = 0xff51afd7ed558ccdL;

  private static final long MIX_MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private SlotOwners() {}

  /**
   * Returns the owners of an executor's slots.
   *
   * @param executor identifier of the executor
   * @param slots number of its slots
   * @param vms the entry VMs, without duplicates
   * @return for each slot the index of its owner in the list, or -1 if the list is empty
   */
  public static int[] owners(String executor, int slots, List<String> vms) {
    int[] owners = new int[slots];
    Arrays.fill(owners, -1);
    if (vms.isEmpty()) {
      return owners;
    }
    int maxPerVm = (slots + vms.size() - 1) / vms.size();
    int[] counts = new int[vms.size()];
    long[] hashes = new long[vms.size()];
    for (int i = 0; i < hashes.length; i++) {
      hashes[i] = mix(hash(executor) ^ Long.rotateLeft(hash(vms.get(i)), 1));
    }
    for (int slot = 0; slot < slots; slot++) {
      owners[slot] = findOwner(hashes, counts, maxPerVm, slot);
      counts[owners[slot]]++;
    }
    return owners;
  }

  /**
   * Returns the index of the VM with the highest weight for the slot, among those below the
   * maximum.
   */
  private static int findOwner(long[] hashes, int[] counts, int maxPerVm, int slot) {
    int best = -1;
    long bestWeight = 0;
    for (int i = 0; i < hashes.length; i++) {
      long weight = mix(hashes[i] + slot * FNV_OFFSET);
      if (counts[i] < maxPerVm && (best < 0 || Long.compareUnsigned(weight, bestWeight) > 0)) {
        best = i;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> MIX_SHIFT)) * MIX_MULTIPLIER_1;
    mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_MULTIPLIER_2;
    return mixed ^ (mixed >>> MIX_SHIFT);
  }
}
