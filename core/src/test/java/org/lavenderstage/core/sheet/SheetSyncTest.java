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
  private static final long BOUND_MILLIS = 8_000;

  @Example
  void anEntryWithoutLogAndPeersIsStaleAfterItsTime() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    assertFalse(sync.isCurrent(0, 0));
    sync.logShown(0);
    assertTrue(sync.isCurrent(2, STALE_MILLIS));
    assertFalse(sync.isCurrent(2, STALE_MILLIS + 1));
  }

  @Example
  void twoEntriesOfNineThatOnlyHearEachOtherAreStale() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    sync.heard("peer", 0, 0);
    assertFalse(sync.isCurrent(8, 0));
    assertTrue(sync.isCurrent(2, 0));
  }

  @Example
  void anEntryThatHearsOfANewerVersionIsNotCurrentByItsPeers() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    sync.heard("behind", 0, 0);
    sync.heard("ahead", 1, 0);
    assertFalse(sync.isCurrent(2, 0));
    sync.inForce(1);
    assertTrue(sync.isCurrent(2, 0));
  }

  @Example
  void anotherPeerIsAskedAfterOneThatFailed() {
    SheetSync sync = new SheetSync(STALE_MILLIS);
    sync.heard("a", 2, 0);
    sync.heard("b", 1, 0);
    assertEquals(Optional.empty(), sync.nextFetch(0));
    long first = SheetSync.FETCH_DELAY_MILLIS;
    assertEquals(Optional.of("a"), sync.nextFetch(first));
    sync.fetchFailed("a", first);
    assertEquals(Optional.of("b"), sync.nextFetch(first + SheetSync.FETCH_INTERVAL_MILLIS));
  }

  @Property(seed = "1", tries = 300)
  void aVersionThatOneEntryReadIsInForceOnAllInTimeWithTheLogDown(@ForAll long seed) {
    runOutage(seed, true);
  }

  @Tag("fresh")
  @Property(tries = 2000)
  void aVersionThatOneEntryReadIsInForceOnAllInTimeUnderFreshSeeds(@ForAll long seed) {
    runOutage(seed, true);
  }

  @Example
  void entriesThatNeverAskTheirPeersAreCaught() {
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
    for (long now = 0; now <= BOUND_MILLIS; now += 50) {
      for (Node node : nodes) {
        node.step(nodes, now, random, fetching);
      }
    }
    for (Node node : nodes) {
      assertTrue(node.version == 2, node.name + " still has version " + node.version);
    }
  }

  /** One entry without the log: heartbeats that are lost or late, fetches that fail. */
  private static final class Node {
    private static final int HEARTBEAT_MILLIS = 500;
    private static final double LOSS = 0.3;

    private final String name;
    private final SheetSync sync = new SheetSync(STALE_MILLIS);
    private long version;

    private Node(String name) {
      this.name = name;
    }

    private void adopt(long adopted) {
      assertTrue(adopted > version, "a version went back");
      version = adopted;
      sync.inForce(adopted);
    }

    private void step(List<Node> nodes, long now, Random random, boolean fetching) {
      if (now % HEARTBEAT_MILLIS == 0) {
        for (Node peer : nodes) {
          if (peer != this && random.nextDouble() >= LOSS) {
            peer.sync.heard(name, version, now);
          }
        }
      }
      Optional<String> asked = sync.nextFetch(now);
      if (asked.isPresent() && fetching) {
        Node peer = nodes.stream().filter(n -> n.name.equals(asked.get())).findFirst().get();
        if (random.nextDouble() >= LOSS && peer.version > version) {
          adopt(peer.version);
        } else {
          sync.fetchFailed(peer.name, now);
        }
      }
    }
  }
}
