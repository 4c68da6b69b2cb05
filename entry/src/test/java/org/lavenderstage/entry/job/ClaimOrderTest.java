package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.wire.peer.OwnershipReply;

class ClaimOrderTest {
  private static final long LONGEST = 1_300;

  private static final int PROCESSOR = 300;

  private static OwnershipReply reply(
      String entry, long storeSilentMillis, boolean candidate, int processorMillis) {
    return new OwnershipReply(
        entry, 3, "a", "a:1", false, 0, storeSilentMillis, candidate, processorMillis);
  }

  private static OwnershipReply reply(String entry, long storeSilentMillis) {
    return reply(entry, storeSilentMillis, true, PROCESSOR);
  }

  private static long before(String entry, String replaced, OwnershipReply... replies) {
    return new ClaimOrder(entry, PROCESSOR).before(replaced, List.of(replies), LONGEST);
  }

  @Test
  void theLowestNameClaimsFirst() {
    assertEquals(1, before("c", "", reply("b", 0), reply("d", 0)));
    assertEquals(0, before("a", "", reply("b", 0), reply("d", 0)));
  }

  @Test
  void anOwnerThatStopsHoldsUpNobody() {
    assertEquals(0, before("b", "a", reply("a", 0)));
  }

  @Test
  void anEntryWithoutTheStoreHoldsUpNobody() {
    assertEquals(0, before("b", "x", reply("a", LONGEST)));
  }

  @Test
  void anEntryThatStopsHoldsUpNobody() {
    assertEquals(0, before("b", "x", reply("a", 0, false, PROCESSOR)));
  }

  @Test
  void moreProcessorClaimsBeforeALowerName() {
    assertEquals(1, before("a", "x", reply("b", 0, true, 2 * PROCESSOR)));
    assertEquals(0, before("c", "x", reply("b", 0, true, PROCESSOR / 2)));
  }
}
