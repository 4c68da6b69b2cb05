package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.wire.peer.OwnershipReply;

class ClaimOrderTest {
  private static final long STORE_TIMEOUT_MILLIS = 1_300;

  private static final int CPU_MILLIS = 300;

  private static OwnershipReply reply(
      String entry, long storeSilentMillis, boolean candidate, int processorMillis) {
    return new OwnershipReply(
        entry, 3, "a", "a:1", false, 0, storeSilentMillis, candidate, processorMillis);
  }

  private static OwnershipReply reply(String entry, long storeSilentMillis) {
    return reply(entry, storeSilentMillis, true, CPU_MILLIS);
  }

  private static long countPreferredEntries(
      String entry, String replacedOwner, OwnershipReply... replies) {
    return new ClaimOrder(entry, CPU_MILLIS)
        .countPreferred(replacedOwner, List.of(replies), STORE_TIMEOUT_MILLIS);
  }

  @Test
  void lowestNameClaimsFirst() {
    assertEquals(1, countPreferredEntries("c", "", reply("b", 0), reply("d", 0)));
    assertEquals(0, countPreferredEntries("a", "", reply("b", 0), reply("d", 0)));
  }

  @Test
  void replacedOwnerDelaysNoClaim() {
    assertEquals(0, countPreferredEntries("b", "a", reply("a", 0)));
  }

  @Test
  void entryWithoutStoreDelaysNoClaim() {
    assertEquals(0, countPreferredEntries("b", "x", reply("a", STORE_TIMEOUT_MILLIS)));
  }

  @Test
  void stoppingEntryDelaysNoClaim() {
    assertEquals(0, countPreferredEntries("b", "x", reply("a", 0, false, CPU_MILLIS)));
  }

  @Test
  void entryWithMoreCpuClaimsFirst() {
    assertEquals(1, countPreferredEntries("a", "x", reply("b", 0, true, 2 * CPU_MILLIS)));
    assertEquals(0, countPreferredEntries("c", "x", reply("b", 0, true, CPU_MILLIS / 2)));
  }
}
