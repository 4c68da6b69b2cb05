package org.lavenderstage.core.sheet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;

class SheetSyncTest {
  private static final long STALE_MILLIS = 6_000;
  private static final long MAX_SPREAD_MILLIS = 8_000;

  @Example
  void isNotCurrentOnceLogReadIsTooOld() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    assertFalse(sync.isCurrent(0, 0));
    sync.recordLogRead(0);
    assertTrue(sync.isCurrent(2, STALE_MILLIS));
    assertFalse(sync.isCurrent(2, STALE_MILLIS + 1));
  }

  @Example
  void isNotCurrentWithHeartbeatsFromFewerThanHalf() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    sync.recordPeerVersion("peer", 0, 0);
    assertFalse(sync.isCurrent(8, 0));
    assertTrue(sync.isCurrent(2, 0));
  }

  @Example
  void isNotCurrentWhilePeerHasNewerVersion() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    sync.recordPeerVersion("behind", 0, 0);
    sync.recordPeerVersion("ahead", 1, 0);
    assertFalse(sync.isCurrent(2, 0));
    sync.recordVersionInForce(1);
    assertTrue(sync.isCurrent(2, 0));
  }

  @Example
  void fetchesFromOtherPeerAfterFailure() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    sync.recordPeerVersion("a", 2, 0);
    sync.recordPeerVersion("b", 1, 0);
    assertEquals(Optional.empty(), sync.nextFetch(0));
    long first = SheetSync.FETCH_DELAY_MILLIS;
    assertEquals(Optional.of("a"), sync.nextFetch(first));
    sync.fetchFailed("a", first);
    assertEquals(Optional.of("b"), sync.nextFetch(first + SheetSync.FETCH_INTERVAL_MILLIS));
  }

  @Property(seed = "1", tries = 300)
  void versionReadByOneEntrySpreadsToAllDuringLogOutage(@ForAll long seed) {
    runOutage(seed, true);
  }

  @Tag("fresh")
  @Property(tries = 2000)
  void versionReadByOneEntrySpreadsToAllWithFreshSeeds(@ForAll long seed) {
    runOutage(seed, true);
  }

  @Example
  void detectsEntriesThatNeverFetch() {
    assertThrows(AssertionError.class, () -> runOutage(1, false));
  }

  private static void runOutage(long seed, boolean fetching) {
    Random random = new Random(seed);
    List<Node> nodes = new ArrayList<>();
    int count = 3 + random.nextInt(7);
    for (int i = 0; i < count; i++) {
      nodes.add(new Node("entry-" + i));
    }
    nodes.forEach(node -> node.adopt(1));
    Node reader = nodes.get(random.nextInt(count));
    reader.adopt(2);
    for (long nowMillis = 0; nowMillis <= MAX_SPREAD_MILLIS; nowMillis += 50) {
      for (Node node : nodes) {
        node.step(nodes, nowMillis, random, fetching);
      }
    }
    for (Node node : nodes) {
      assertTrue(node.version == 2, node.name + " still has version " + node.version);
    }
  }

  /**
   * An entry without access to the log, whose heartbeats may be lost and whose fetches may fail.
   */
  private static final class Node {
    private static final int HEARTBEAT_MILLIS = 500;
    private static final double LOSS_PROBABILITY = 0.3;

    private final String name;
    private final SheetSync sync = new SheetSync(STALE_MILLIS);
    private long version;

    private Node(String name) {
      this.name = name;
    }

    private void adopt(long newVersion) {
      assertTrue(newVersion > version, "the version decreased");
      version = newVersion;
      sync.recordVersionInForce(newVersion);
    }

    private void step(List<Node> nodes, long nowMillis, Random random, boolean fetching) {
      if (nowMillis % HEARTBEAT_MILLIS == 0) {
        for (Node peer : nodes) {
          if (peer != this && random.nextDouble() >= LOSS_PROBABILITY) {
            peer.sync.recordPeerVersion(name, version, nowMillis);
          }
        }
      }
      Optional<String> fetchFrom = sync.nextFetch(nowMillis);
      if (fetchFrom.isPresent() && fetching) {
        Node peer = nodes.stream().filter(n -> n.name.equals(fetchFrom.get())).findFirst().get();
        if (random.nextDouble() >= LOSS_PROBABILITY && peer.version > version) {
          adopt(peer.version);
        } else {
          sync.fetchFailed(peer.name, nowMillis);
        }
      }
    }
  }
}
