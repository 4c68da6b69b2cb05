package org.lavenderstage.entry.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.entry.peer.PeerServer;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLog;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.peer.SheetQuery;

class ConfigurationTest {
  private static final String TEXT = "kind,name,rank,share\nclass,a,0,1\n";
  private static final long TIMEOUT_NANOS = 30_000_000_000L;

  private final EndTrackingLog log =
      new EndTrackingLog(new FakeLog(() -> 0, Long.MAX_VALUE, new FaultSwitch(), 1));
  private final StreamReplica<SheetLedger> replica =
      new StreamReplica<>("config", log, new SheetLedger());
  private final Configuration configuration = new Configuration(replica);

  @Test
  void newerVersionIsNotReplacedByDelayedOlderOne() {
    assertTrue(configuration.adopt(version(2)));
    assertFalse(configuration.adopt(version(1)));
    assertFalse(configuration.adopt(version(2)));
    assertEquals(2, configuration.inForce().version());
  }

  @Test
  void unreadableVersionLeavesCurrentOneInForce() {
    assertTrue(configuration.adopt(version(1)));
    assertFalse(configuration.adopt(new SheetVersion(2, "nonsense", "", 0)));
    assertEquals(1, configuration.inForce().version());
  }

  @Test
  void peerReceivesTextOnlyIfItsVersionIsOlder() {
    configuration.adopt(version(3));
    ConfigurationSync sync = sync();
    assertEquals(TEXT, sync.answer(new SheetQuery(2)).text());
    assertEquals("", sync.answer(new SheetQuery(3)).text());
    assertEquals(3, sync.answer(new SheetQuery(3)).version());
  }

  @Test
  void newerVersionIsFetchedFromPeer() {
    Configuration peerConfiguration = new Configuration(replica);
    peerConfiguration.adopt(version(5));
    ConfigurationSync peerSync = sync(peerConfiguration, List.of());
    try (PeerServer server =
        new PeerServer(
            "127.0.0.1", 0, message -> Optional.of(peerSync.answer((SheetQuery) message)))) {
      server.start();
      String address = "127.0.0.1:" + server.port();
      var member = new Member("peer", "vm", "a", address, 5, 0, "", false);
      try (ConfigurationSync sync = sync(configuration, List.of(member))) {
        sync.recordHeartbeat(new Heartbeat("peer", "vm", "a", address, 1, 5, 0, "", false));
        assertFalse(sync.isCurrent());
        sync.start();
        awaitVersion(5);
        assertTrue(sync.isCurrent());
      }
    }
  }

  private void awaitVersion(long expected) {
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (configuration.inForce().version() < expected && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    assertEquals(expected, configuration.inForce().version());
  }

  private ConfigurationSync sync() {
    return sync(configuration, List.of());
  }

  private ConfigurationSync sync(Configuration entryConfiguration, List<Member> members) {
    return new ConfigurationSync(entryConfiguration, replica, log, () -> members, () -> 1, 60_000);
  }

  private static SheetVersion version(long number) {
    return new SheetVersion(number, TEXT, StateDigest.sha256Hex(TEXT), 0);
  }
}
