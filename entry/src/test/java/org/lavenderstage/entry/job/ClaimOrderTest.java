package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.MemberRecord;
import org.lavenderstage.wire.peer.OwnershipReply;

class ClaimOrderTest {
  private static final long STORE_TIMEOUT_MILLIS = 1_300;

  private static final int CPU_MILLIS = 300;

  private static OwnershipReply reply(
      String entry, long storeSilentMillis, boolean candidate, int processorMillis) {
    return new OwnershipReply(
        entry, 3, "a", "a:1", false, 0, storeSilentMillis, candidate, processorMillis, 0);
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

  private static List<MemberRecord> members(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new MemberRecord("vm-" + (100 + i) + "@1", "10.0.0.1:" + i, 0, CPU_MILLIS))
        .toList();
  }

  /**
   * Pattern: fan-in. All entries queried the owner five times a second, so that an owner of 47
   * entries answered 230 queries a second, as much work as its other calls.
   */
  @Test
  void queriesToTheOwnerOfFortySevenEntriesStayBelowAHundredASecond() {
    List<MemberRecord> all = members(47);
    String owner = all.get(20).entry();
    double queriesPerSecond =
        all.stream()
            .filter(member -> !member.entry().equals(owner))
            .mapToDouble(
                member ->
                    1_000.0
                        / new ClaimOrder(member.entry(), CPU_MILLIS)
                            .pollIntervalMillis(owner, without(member, all)))
            .sum();
    assertTrue(queriesPerSecond < 100, () -> "queries a second: " + queriesPerSecond);
  }

  /** Pattern: all pairs. Each candidate asked all entries five times a second. */
  @Test
  void candidatesAskTheEntriesThatClaimFirstAndNoOthers() {
    List<MemberRecord> all = members(47);
    for (MemberRecord member : all) {
      List<MemberRecord> asked =
          new ClaimOrder(member.entry(), CPU_MILLIS)
              .entriesToAsk(all.get(0).entry(), without(member, all));
      assertEquals(8, asked.size());
      List<MemberRecord> first = without(member, all.subList(1, 10));
      assertTrue(first.containsAll(asked), () -> "asked: " + asked);
    }
  }

  @Test
  void theSuccessorsAreTheEntriesWithMostCpu() {
    List<MemberRecord> all = new ArrayList<>(members(20));
    all.replaceAll(
        m ->
            new MemberRecord(
                m.entry(), m.peerAddress(), 0, m.peerAddress().endsWith("9") ? 1_500 : 300));
    List<String> successors = new ArrayList<>();
    for (MemberRecord member : all.subList(1, all.size())) {
      ClaimOrder order = new ClaimOrder(member.entry(), member.processorMillis());
      if (order.isSuccessor(all.get(0).entry(), without(member, all))) {
        successors.add(member.entry());
      }
    }
    assertEquals(List.of("vm-101@1", "vm-102@1", "vm-109@1", "vm-119@1"), successors);
  }

  /** Where none of the entries that are asked replies, the others must not all claim at once. */
  @Test
  void entriesThatAreNotAskedClaimOneAfterTheOther() {
    List<MemberRecord> all = members(47);
    List<Long> delays =
        all.stream()
            .map(
                member ->
                    new ClaimOrder(member.entry(), CPU_MILLIS)
                        .claimDelayMillis(
                            "", without(member, all), List.of(), STORE_TIMEOUT_MILLIS))
            .toList();
    assertEquals(0L, delays.get(8));
    assertEquals(20L, delays.get(9));
    assertEquals(760L, delays.get(46));
  }

  private static List<MemberRecord> without(MemberRecord member, List<MemberRecord> all) {
    return all.stream().filter(other -> !other.equals(member)).toList();
  }
}
